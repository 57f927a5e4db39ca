//! State of one lock-step group in the planner: how often each expert is chosen, how long forward passes take, and
//! which map would be better.
//!
//! The skew of a map measures how unevenly it distributes the expert load over the ranks.

use bilberryloft_coordination::expert_map::ChangeLimits;
use bilberryloft_coordination::expert_map::ExpertSetMap;
use bilberryloft_coordination::expert_map::Popularity;
use bilberryloft_coordination::expert_map::copies_needed;
use bilberryloft_coordination::expert_map::rebalance;
use bilberryloft_coordination::expert_map::skew;
use bilberryloft_routing::document::Experts;
use bilberryloft_transport::clock::monotonic_ms;
use tokio::time::Instant;

use crate::dialect::RankReport;
use crate::expert_planner::rank_snapshot::RankSnapshot;

/// Half-life of the counts of chosen experts, in milliseconds.
const POPULARITY_HALF_LIFE_MS: u64 = 500;
/// Difference between the skew of the latest choices and that of the estimate above which the demand counts as shifted.
/// The estimate is then restarted.
const SHIFT_SKEW: f64 = 0.45;
/// Smallest number of choices on which an estimate must be based.
const CHOICES_MIN: f64 = 20_000.0;
/// Time that a rank may spend on copying for one change, in milliseconds, because passes take longer meanwhile. One
/// expert may always be copied.
const COPY_MAX_MS: f64 = 120.0;
/// Reduction of a set's skew that justifies one more copy of an expert for each millisecond that it takes, if each rank
/// gets one. Ranks copy at the same time, so in a group with more ranks each copy has to gain less.
const GAIN_PER_COPY_MS: f64 = 0.004;
/// The same, however fast the copy is.
const GAIN_PER_COPY_MIN: f64 = 0.24;
/// Skew that a search seldom gets below.
const SKEW_MIN: f64 = 1.02;
/// Reduction of the mean skew that justifies a change if passes take [`PASS_BUSY_MS`]. Shorter passes delay no stream,
/// so a change must then gain more.
const GAIN_PER_CHANGE: f64 = 0.14;
/// Pass length at which the pauses between stream events come near their usual objective, in milliseconds.
const PASS_BUSY_MS: f64 = 70.0;
/// Bounds of the factor by which the pass length scales the required gain.
const GAIN_FACTOR: std::ops::RangeInclusive<f64> = 0.5..=2.5;
/// Number of passes over which the pass length is averaged.
const PASSES_TIMED: u64 = 8;

/// A map for which the ranks are copying experts.
pub(super) struct PendingMap {
    pub version: u64,
    pub map: Vec<ExpertSetMap>,
    pub since: Instant,
    /// Whether each rank has answered the order to copy.
    pub answered: Vec<bool>,
    /// Number of ranks that did not answer when the order was first sent.
    pub unanswered: usize,
}

/// State of one group.
pub(super) struct Group {
    pub epoch: u64,
    pub map_version: Option<u64>,
    pub map: Vec<ExpertSetMap>,
    popularity: Vec<Popularity>,
    pub pending: Option<PendingMap>,
    /// Slowness of each rank; 1.0 for ranks that do not count as slow.
    slowness: Vec<f64>,
    /// Mean length of the latest passes, in milliseconds; 0 until it has been measured.
    pub pass_ms: f64,
    measured_from: Option<(Instant, u64)>,
}

/// A map whose gain justifies a change.
pub(super) struct BetterMap {
    /// Map by set and rank.
    pub map: Vec<ExpertSetMap>,
    /// Mean skew of the sets with the map in use.
    pub before: f64,
    /// Mean skew of the sets with the new map.
    pub after: f64,
    /// Number of experts that ranks must copy.
    pub copies: usize,
}

fn slowness_of(report: &RankReport) -> f64 {
    if report.is_slow() { report.slowness } else { 1.0 }
}

/// Returns the number of experts, over all sets, that a rank may copy for one change.
fn copies_per_rank_max(experts: Experts) -> usize {
    ((COPY_MAX_MS / experts.copy_ms.max(1.0)) as usize).max(1)
}

impl Group {
    /// Creates the state of a group without observations.
    pub fn new(epoch: u64, experts: Experts) -> Group {
        let estimate = Popularity::new(experts.experts, POPULARITY_HALF_LIFE_MS);
        Group {
            epoch,
            map_version: None,
            map: Vec::new(),
            popularity: vec![estimate; experts.sets],
            pending: None,
            slowness: Vec::new(),
            pass_ms: 0.0,
            measured_from: None,
        }
    }

    /// Returns whether this state is for the given epoch and number of sets.
    pub fn matches(&self, epoch: u64, experts: Experts) -> bool {
        self.epoch == epoch && self.popularity.len() == experts.sets
    }

    /// Applies the ranks' state from one poll.
    pub fn update(&mut self, ranks: &[RankSnapshot], experts: Experts) {
        self.slowness = ranks.iter().map(|it| slowness_of(&it.report)).collect();
        self.count_choices(ranks, experts);
        self.measure_pass_time(ranks);
    }

    /// Adds the choices since the last poll to the estimate.
    fn count_choices(&mut self, ranks: &[RankSnapshot], experts: Experts) {
        let size = experts.sets * experts.experts;
        let mut chosen = vec![0_u64; size];
        let choices = ranks.iter().filter_map(|it| it.choices.as_ref());
        for choices in choices.filter(|it| it.epoch == self.epoch) {
            for (sum, number) in chosen.iter_mut().zip(choices.decode(size).unwrap_or_default()) {
                *sum += number;
            }
        }
        if self.has_shifted(&chosen, experts) {
            let fresh = Popularity::new(experts.experts, POPULARITY_HALF_LIFE_MS);
            self.popularity = vec![fresh; experts.sets];
        }
        let now_ms = monotonic_ms();
        for (popularity, chosen) in self.popularity.iter_mut().zip(chosen.chunks(experts.experts)) {
            popularity.add(chosen, now_ms);
        }
    }

    /// Returns whether the latest choices fit the map in use much worse than the earlier ones.
    fn has_shifted(&self, chosen: &[u64], experts: Experts) -> bool {
        if self.map.len() != experts.sets || self.popularity.iter().any(|it| it.weight() < 1.0) {
            return false;
        }
        let mut skew_increase = 0.0;
        for ((map, popularity), chosen) in
            self.map.iter().zip(&self.popularity).zip(chosen.chunks(experts.experts))
        {
            let latest: Vec<f64> = chosen.iter().map(|it| *it as f64).collect();
            skew_increase += skew(map, &latest, &self.slowness)
                - skew(map, &popularity.shares(), &self.slowness);
        }
        skew_increase / experts.sets as f64 > SHIFT_SKEW
    }

    /// Returns a better map if the observations are sufficient and its gain justifies a change.
    pub fn better_map(&self, ranks: usize, experts: Experts) -> Option<BetterMap> {
        let shares: Vec<Vec<f64>> = self.popularity.iter().map(Popularity::shares).collect();
        if self.popularity.iter().any(|it| it.weight() < CHOICES_MIN) {
            return None;
        }
        let skews: Vec<f64> =
            self.map.iter().zip(&shares).map(|(map, it)| skew(map, it, &self.slowness)).collect();
        let mean = |skews: &[f64]| skews.iter().sum::<f64>() / skews.len().max(1) as f64;
        let before = mean(&skews);
        if before - SKEW_MIN < self.required_gain() {
            return None;
        }
        let mut sets_by_skew: Vec<usize> = (0..experts.sets).collect();
        sets_by_skew.sort_by(|a, b| skews[*b].total_cmp(&skews[*a]));
        let limits = ChangeLimits {
            slots: experts.slots,
            new_max: experts.new_max,
            gain_min: self.copy_gain_min(ranks, experts),
        };
        let mut copies_left = vec![copies_per_rank_max(experts); ranks];
        let mut map = self.map.clone();
        for set in sets_by_skew {
            map[set] =
                rebalance(&self.map[set], &shares[set], &self.slowness, limits, &mut copies_left);
        }
        let after: Vec<f64> =
            map.iter().zip(&shares).map(|(map, it)| skew(map, it, &self.slowness)).collect();
        let after = mean(&after);
        let copies = self.map.iter().zip(&map).map(|(from, to)| copies_needed(from, to)).sum();
        (before - after >= self.required_gain()).then_some(BetterMap { map, before, after, copies })
    }

    /// Returns the reduction of a set's skew that justifies copying one more expert.
    fn copy_gain_min(&self, ranks: usize, experts: Experts) -> f64 {
        let for_all = (GAIN_PER_COPY_MS * experts.copy_ms).max(GAIN_PER_COPY_MIN);
        for_all / ranks.max(1) as f64 * self.gain_factor()
    }

    fn required_gain(&self) -> f64 {
        GAIN_PER_CHANGE * self.gain_factor()
    }

    /// Returns the factor for the required gain, relative to that at [`PASS_BUSY_MS`]: short passes delay no stream,
    /// long ones delay all.
    fn gain_factor(&self) -> f64 {
        let relative = PASS_BUSY_MS / self.pass_ms.max(1.0);
        (relative * relative).clamp(*GAIN_FACTOR.start(), *GAIN_FACTOR.end())
    }

    /// Measures the pass length from the pass numbers and the time between two polls.
    fn measure_pass_time(&mut self, ranks: &[RankSnapshot]) {
        let step = ranks.iter().filter_map(|it| it.choices.as_ref().map(|it| it.step)).max();
        let (Some(step), now) = (step, Instant::now()) else {
            return;
        };
        let Some((since, first)) = self.measured_from else {
            self.measured_from = Some((now, step));
            return;
        };
        if step >= first + PASSES_TIMED {
            let elapsed_ms = (now - since).as_secs_f64() * 1_000.0;
            self.pass_ms = elapsed_ms / (step - first) as f64;
            self.measured_from = Some((now, step));
        }
    }
}
