//! Load and health of each service's targets, as one entry knows them, and target selection.

mod cold;
mod data_centers;
mod entry_reports;
mod evacuated;
mod info;
mod notices;

use std::collections::BTreeMap;

use crate::cold_targets::ColdState;
use crate::cold_targets::ColdTargets;
use crate::failing::is_ejected;
use crate::failing::penalty;
use crate::failing::should_report;
use crate::load_exchange::TargetTag;
use crate::remote::AwayChoice;
use crate::remote::places::Places;
use crate::selection::LimitedCandidates;
use crate::selection::NoMigration;
use crate::selection::NoTarget;
use crate::selection::PickLimits;
use crate::selection::PickedTarget;
use crate::selection::TargetKey;
use crate::slow_ranks::SlowRanks;
use crate::slow_ranks::load_max;
use crate::slow_ranks::should_migrate;
use crate::target::Target;
use crate::target_limits::LimitState;
use crate::target_limits::TargetLimits;
use crate::targets::data_centers::LearnedService;
use crate::targets::data_centers::Reach;
use crate::targets::entry_reports::EntryReport;
use crate::targets::evacuated::EvacuatedDataCenters;

pub use crate::targets::data_centers::AwayRow;
pub use crate::targets::info::AttemptOutcome;
pub use crate::targets::info::TargetInfo;

/// First back-off after a target was lost, in milliseconds; doubles with each consecutive loss.
const BACKOFF_FIRST_MS: u64 = 100;
/// Longest back-off after a target was lost, in milliseconds.
const BACKOFF_MAX_MS: u64 = 1_600;
/// First back-off after a target refused a request because it was full, in milliseconds; doubles with each consecutive
/// refusal. One that refuses all requests has few of them, and would be picked again and again.
const BACKOFF_FULL_FIRST_MS: u64 = 60;
/// Longest back-off after a target refused a request, in milliseconds.
const BACKOFF_FULL_MAX_MS: u64 = 480;
/// Time for which a target is excluded after another one answered at its address, in milliseconds. Within that time,
/// the control hosts notice that it no longer announces itself.
const MISDIRECTED_EXCLUSION_MS: u64 = 4_000;
/// Largest random part of a target's score.
const DRAW_WEIGHT: f64 = 0.3;

/// Whether a target may get a request.
enum Assessment {
    /// It has reached its load limit.
    NoSlot,
    /// It has reached the limit that it names.
    Limited(LimitState),
    /// It is cold, and this entry may not send it a request now.
    Cold {
        /// Time until this entry may, in milliseconds.
        wait_ms: u64,
        /// Requests a second that this entry may send.
        rate_per_s: f64,
    },
    /// It has asked for rest.
    Resting {
        /// Time at which the rest ends, in milliseconds.
        until_ms: u64,
    },
    /// It was lost or full a moment ago.
    InBackoff {
        /// Time at which the back-off ends, in milliseconds.
        until_ms: u64,
    },
    /// It may get a request; the lower the score, the better it suits.
    Usable {
        /// Score without its random part.
        score: f64,
    },
}

/// Best of the targets that were compared.
#[derive(Default)]
struct Choice {
    best: Option<TargetKey>,
    /// The target in back-off whose back-off ends first.
    in_backoff: Option<TargetKey>,
    limited: LimitedCandidates,
}

/// All targets that one entry knows, with their load and health.
#[derive(Debug, Default)]
pub struct TargetTable {
    places: Places,
    heard_data_centers: BTreeMap<String, u64>,
    remote_due_ms: u64,
    learned: BTreeMap<String, LearnedService>,
    targets: Vec<Target>,
    by_id: BTreeMap<String, TargetKey>,
    by_tag: BTreeMap<TargetTag, Vec<TargetKey>>,
    by_service: BTreeMap<String, Vec<TargetKey>>,
    entries: BTreeMap<String, EntryReport>,
    slow_ranks: SlowRanks,
    evacuated: EvacuatedDataCenters,
    /// Limits that targets name on their requests.
    pub limits: TargetLimits,
    /// Targets that can handle only few requests a second.
    pub cold: ColdTargets,
    has_cold_services: bool,
    /// Tokens of this entry's requests by target, of services whose targets have a known memory.
    tokens: BTreeMap<TargetKey, u64>,
}

impl TargetTable {
    /// Creates an empty table for an entry in the given data centre.
    pub fn new(data_center: &str) -> TargetTable {
        TargetTable { places: Places::new(data_center), ..TargetTable::default() }
    }

    /// Adds a target or updates its description.
    pub fn apply(&mut self, info: TargetInfo) {
        let key = match self.by_id.get(&info.id).copied() {
            Some(key) => {
                let target = &mut self.targets[key.0];
                if target.info.incarnation == info.incarnation {
                    target.info = info;
                    return;
                }
                if target.info.service != info.service {
                    self.by_service
                        .entry(target.info.service.clone())
                        .or_default()
                        .retain(|it| *it != key);
                }
                // A restarted target starts without the failures, back-off and remote load of the previous
                // incarnation. This entry's requests stay counted until they finish.
                let own_load = target.own_load;
                *target = Target { own_load, ..Target::new(info.clone()) };
                self.sum_loads_of(key);
                key
            }
            None => {
                let key = TargetKey(self.targets.len());
                self.targets.push(Target::new(info.clone()));
                self.by_id.insert(info.id.clone(), key);
                self.by_tag.entry(self.targets[key.0].tag).or_default().push(key);
                self.sum_loads_of(key);
                key
            }
        };
        let keys = self.by_service.entry(info.service).or_default();
        if !keys.contains(&key) {
            keys.push(key);
        }
    }

    /// Stores a host's report of the slowness of slow ranks, by target.
    pub fn record_slow_ranks(&mut self, host: &str, slowness: BTreeMap<String, f64>, now_ms: u64) {
        self.slow_ranks.record(host, slowness, now_ms);
    }

    /// Returns a host's latest report of slow ranks while it is valid.
    pub fn slow_ranks_from(&self, host: &str, now_ms: u64) -> Option<&BTreeMap<String, f64>> {
        self.slow_ranks.reported_by(host, now_ms)
    }

    /// Returns this entry's requests in flight by target, to be reported to the other entries.
    pub fn own_loads(&self) -> BTreeMap<TargetTag, u32> {
        let loaded = self.targets.iter().filter(|it| it.own_load > 0);
        loaded.map(|it| (it.tag, it.own_load)).collect()
    }

    /// Returns this entry's high failure rates by target, to be reported to the other entries, and the rates of targets at
    /// which an attempt was lost a moment ago, which may be cold after a restart.
    pub fn own_failure_rates(&self, now_ms: u64) -> BTreeMap<String, f64> {
        let rates = self.targets.iter().map(|it| (&it.info.id, it.own_failure_rate.rate(now_ms)));
        let failure_rates = rates.filter(|it| should_report(it.1));
        let mut failure_rates: BTreeMap<String, f64> =
            failure_rates.map(|(id, rate)| (id.clone(), rate)).collect();
        for key in self.cold.lost_lately(now_ms) {
            let target = &self.targets[key.0];
            let rate = target.own_failure_rate.rate(now_ms);
            failure_rates.entry(target.info.id.clone()).or_insert(rate);
        }
        failure_rates
    }

    /// Returns the targets of a service that accept requests, also those in evacuated data centres.
    pub fn eligible(&self, service: &str, now_ms: u64) -> Vec<&TargetInfo> {
        let keys = self.by_service.get(service).into_iter().flatten();
        let targets = keys.map(|it| &self.targets[it.0]);
        targets.filter(|it| it.is_eligible(now_ms)).map(|it| &it.info).collect()
    }

    /// Returns whether a target is draining.
    pub fn is_leaving(&self, key: TargetKey) -> bool {
        self.targets[key.0].is_leaving()
    }

    /// Returns whether a target has answered or another entry has reported since the given time.
    pub fn has_heard_since(&self, since_ms: u64) -> bool {
        let mut answers = self.targets.iter().filter_map(|it| it.last_answer_ms);
        let mut reports = self.entries.values().map(|it| it.received_ms);
        answers.any(|it| it >= since_ms) || reports.any(|it| it >= since_ms)
    }

    /// Returns the mean number of requests at the eligible targets of a service that don't rest and are not evacuated.
    pub fn mean_load(&self, service: &str, now_ms: u64) -> f64 {
        let (sum, count) = self.total_load(service, now_ms);
        f64::from(sum) / count.max(1) as f64
    }

    /// Returns the number of requests at the eligible targets of a service that don't rest, and of these targets.
    pub fn total_load(&self, service: &str, now_ms: u64) -> (u32, usize) {
        let keys = self.by_service.get(service).into_iter().flatten();
        let (mut sum, mut count) = (0, 0);
        let targets = keys.map(|it| &self.targets[it.0]);
        let targets = targets.filter(|it| !self.evacuated.contains(it));
        for target in targets.filter(|it| it.is_eligible(now_ms) && !it.is_resting(now_ms)) {
            sum += target.load();
            count += 1;
        }
        (sum, count)
    }

    /// Picks the target with the lowest score and counts one more request there.
    ///
    /// The score is the number of requests, weighted by the time that they take there, or the pass time for ranks, plus a
    /// penalty for failures and the cost of another data centre. `draw` returns a number in 0..1 that varies the choice
    /// among targets with similar scores and selects those that are compared. A target in back-off is picked only if
    /// there is no other.
    pub fn pick(
        &mut self,
        service: &str,
        tried: &[TargetKey],
        limits: &PickLimits,
        now_ms: u64,
        mut draw: impl FnMut() -> f64,
    ) -> Result<PickedTarget, NoTarget> {
        let candidates = self.candidates(service, tried, now_ms);
        let count = candidates.len();
        let fastest = fastest(&candidates);
        let reach = self.reach(service, limits, &mut draw);
        let here = match reach {
            Reach::Anywhere => None,
            Reach::HereFirst => {
                let is_here = |it: &(TargetKey, f64)| !self.is_far(&self.targets[it.0.0]);
                let here = candidates.iter().copied().filter(is_here).collect();
                self.choose(here, fastest, limits, now_ms, &mut draw).best
            }
        };
        let chosen = match here {
            Some(key) => Ok(key),
            None => {
                let choice = self.choose(candidates, fastest, limits, now_ms, &mut draw);
                let chosen = choice.best.or(choice.in_backoff);
                chosen.ok_or_else(|| self.no_target(service, &choice.limited, count, now_ms))
            }
        };
        let picked = self.reserve(chosen?, count, limits, now_ms);
        Ok(PickedTarget { away: self.away_choice(picked.key, &reach), ..picked })
    }

    /// Compares candidates, or a random part of them.
    fn choose(
        &self,
        mut candidates: Vec<(TargetKey, f64)>,
        fastest: f64,
        limits: &PickLimits,
        now_ms: u64,
        draw: &mut impl FnMut() -> f64,
    ) -> Choice {
        let count = candidates.len();
        let sample = limits.sample_size(count);
        let mut compared = 0;
        let mut choice = Choice::default();
        let mut first_in_backoff = None;
        let mut best: Option<(f64, TargetKey)> = None;
        for idx in 0..count {
            if compared == sample {
                break;
            }
            if sample < count {
                candidates.swap(idx, idx + ((count - idx) as f64 * draw()) as usize);
            }
            let (key, slowness) = candidates[idx];
            match self.assess(key, slowness / fastest, limits, now_ms) {
                Assessment::NoSlot => {}
                Assessment::Limited(limit) => _ = choice.limited.add(limit),
                Assessment::Cold { wait_ms, rate_per_s } => {
                    choice.limited.add_cold(wait_ms, rate_per_s);
                }
                Assessment::Resting { until_ms } => choice.limited.add_resting(until_ms - now_ms),
                Assessment::InBackoff { until_ms } => {
                    if first_in_backoff.is_none_or(|(soonest_ms, _)| until_ms < soonest_ms) {
                        first_in_backoff = Some((until_ms, key));
                    }
                }
                Assessment::Usable { score } => {
                    compared += 1;
                    let score = score + DRAW_WEIGHT * draw();
                    if best.is_none_or(|it| score < it.0) {
                        best = Some((score, key));
                    }
                }
            }
        }
        choice.best = best.map(|it| it.1);
        choice.in_backoff = first_in_backoff.map(|it| it.1);
        choice
    }

    /// Returns whether a target may get a request, and how well it suits.
    fn assess(
        &self,
        key: TargetKey,
        slowness: f64,
        limits: &PickLimits,
        now_ms: u64,
    ) -> Assessment {
        let target = &self.targets[key.0];
        if target.is_resting(now_ms) {
            return Assessment::Resting { until_ms: target.rest_until_ms };
        }
        let full_load = self.load_max_of(target, limits.load_max(target.info.slots));
        let load_max = load_max(limits.idle_load, full_load, slowness);
        if target.load() >= load_max || target.own_load >= limits.own_load_max {
            return Assessment::NoSlot;
        }
        if !self.has_memory(key, limits) {
            return Assessment::NoSlot;
        }
        if let ColdState::Cold { wait_ms, rate_per_s } = self.cold_state(key, now_ms)
            && wait_ms > 0
        {
            return Assessment::Cold { wait_ms, rate_per_s };
        }
        let limit = self.limits.state(&target.info.id, target.info.incarnation, now_ms);
        if !limit.may_send() {
            return Assessment::Limited(limit);
        }
        if target.backoff_until_ms > now_ms {
            return Assessment::InBackoff { until_ms: target.backoff_until_ms };
        }
        let load_score = self.load_score(target, limits, slowness, now_ms);
        Assessment::Usable { score: load_score + self.preference(target, now_ms) }
    }

    /// Returns the part of a target's score that does not depend on its load.
    fn preference(&self, target: &Target, now_ms: u64) -> f64 {
        penalty(target.failure_rate(now_ms)) + self.remote_cost(target)
    }

    /// Counts one more request at a target, also against its limit.
    fn reserve(
        &mut self,
        key: TargetKey,
        candidates: usize,
        limits: &PickLimits,
        now_ms: u64,
    ) -> PickedTarget {
        let tokens = limits.memory.map_or(0, |it| it.tokens);
        self.add_tokens(key, tokens);
        self.cold.take(key, now_ms);
        self.record_start(key, now_ms);
        let target = &mut self.targets[key.0];
        let incarnation = target.info.incarnation;
        let picked = PickedTarget {
            key,
            id: target.info.id.clone(),
            incarnation,
            address: target.info.address.clone(),
            data_center: target.info.data_center.clone(),
            away: AwayChoice::default(),
            own_load: target.own_load,
            others_load: target.others_load,
            candidates,
            tokens,
            limit: self.limits.take(&target.info.id, incarnation, now_ms),
        };
        target.own_load += 1;
        picked
    }

    /// Picks another rank with a free slot for a stream whose rank is so slow that it slows down the group.
    pub fn pick_migration(
        &mut self,
        key: TargetKey,
        limits: &PickLimits,
        now_ms: u64,
        draw: impl FnMut() -> f64,
    ) -> Result<PickedTarget, NoMigration> {
        let target = &self.targets[key.0];
        let (load, slots, service) = (target.load(), target.info.slots, &target.info.service);
        let other_ranks = self.candidates(service, &[key], now_ms);
        let slowness = self.slow_ranks.slowness(&target.info.id, now_ms) / fastest(&other_ranks);
        if !should_migrate(limits.idle_load, load, slots, slowness) {
            return Err(NoMigration::NotSlow);
        }
        let service = service.clone();
        let limits = PickLimits { load_max: Some(slots), ..*limits };
        self.pick(&service, &[key], &limits, now_ms, draw).map_err(|_| NoMigration::NoSlot)
    }

    /// Returns the eligible targets of a service that have not been tried, are not evacuated and not ejected, each with its
    /// slowness.
    fn candidates(&self, service: &str, tried: &[TargetKey], now_ms: u64) -> Vec<(TargetKey, f64)> {
        let keys = self.by_service.get(service).into_iter().flatten().copied();
        let keys = keys.filter(|it| self.targets[it.0].is_eligible(now_ms) && !tried.contains(it));
        let keys = keys.filter(|it| !self.evacuated.contains(&self.targets[it.0]));
        let keys: Vec<TargetKey> = keys.collect();
        let is_healthy = |it: &TargetKey| !is_ejected(self.targets[it.0].failure_rate(now_ms));
        let healthy = keys.iter().filter(|it| is_healthy(it)).count();
        // If most targets fail, the cause is elsewhere, so none is ejected.
        let may_eject = 2 * healthy >= keys.len();
        let keys = keys.into_iter().filter(|it| !may_eject || is_healthy(it));
        keys.map(|it| (it, self.slow_ranks.slowness(&self.targets[it.0].info.id, now_ms))).collect()
    }

    /// Takes back a pick whose request was not sent.
    pub fn cancel(&mut self, key: TargetKey) {
        let target = &mut self.targets[key.0];
        target.own_load = target.own_load.saturating_sub(1);
        self.limits.refund(&target.info.id);
        self.cold.refund(key);
    }

    /// Removes a finished request from its target's load and records the outcome.
    pub fn finish(&mut self, key: TargetKey, outcome: AttemptOutcome, now_ms: u64) {
        let target = &mut self.targets[key.0];
        target.own_load = target.own_load.saturating_sub(1);
        match outcome {
            AttemptOutcome::Success => target.own_failure_rate.record(false, now_ms),
            AttemptOutcome::Failed | AttemptOutcome::Truncated | AttemptOutcome::Lost => {
                target.own_failure_rate.record(true, now_ms)
            }
            AttemptOutcome::Full
            | AttemptOutcome::Resting
            | AttemptOutcome::Misdirected
            | AttemptOutcome::Unknown => {}
        }
        match outcome {
            AttemptOutcome::Success | AttemptOutcome::Failed | AttemptOutcome::Truncated => {
                self.cold.record_answer(key, now_ms);
                target.last_answer_ms = Some(now_ms);
                target.consecutive_losses = 0;
                target.consecutive_refusals = 0;
            }
            AttemptOutcome::Misdirected => {
                target.last_answer_ms = None;
                target.excluded_until_ms = now_ms + MISDIRECTED_EXCLUSION_MS;
            }
            AttemptOutcome::Full => {
                let backoff_ms = BACKOFF_FULL_FIRST_MS << target.consecutive_refusals.min(6);
                target.consecutive_refusals += 1;
                target.backoff_until_ms = now_ms + backoff_ms.min(BACKOFF_FULL_MAX_MS);
            }
            AttemptOutcome::Lost => {
                self.cold.record_lost(key, now_ms);
                let backoff_ms =
                    (BACKOFF_FIRST_MS << target.consecutive_losses.min(6)).min(BACKOFF_MAX_MS);
                target.consecutive_losses += 1;
                target.backoff_until_ms = now_ms + backoff_ms;
            }
            AttemptOutcome::Resting | AttemptOutcome::Unknown => {}
        }
    }
}

/// Returns the lowest slowness of the candidates; infinite if there are none, so that nothing counts as slow.
fn fastest(candidates: &[(TargetKey, f64)]) -> f64 {
    candidates.iter().map(|it| it.1).fold(f64::INFINITY, f64::min)
}
