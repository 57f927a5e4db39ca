//! Rebalancing of one expert set within the limits of one map change.
//!
//! Copying an expert to a rank costs bandwidth, so each rank may receive only a few new experts per set. The search
//! is greedy: it applies the best single change at one of the most loaded ranks until no change gains enough.

use crate::expert_map::ExpertId;

/// Number of least loaded ranks that are tried as the receiver of an expert.
const RECEIVERS_TRIED: usize = 8;
/// Number of most loaded ranks that are tried as the sender of an expert.
const SENDERS_TRIED: usize = 2;
/// Exponent of the p-norm that approximates the maximum over ranks.
const SMOOTH_MAX_EXPONENT: i32 = 16;
/// Maximum number of changes to one set in one plan.
const CHANGES_MAX: usize = 160;

/// Experts that each rank holds of one expert set, by rank; a rank may have free slots.
pub type ExpertSetMap = Vec<Vec<ExpertId>>;

/// Limits on a change of the map of one expert set.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ChangeLimits {
    /// Maximum number of experts of the set that a rank holds.
    pub slots: usize,
    /// Maximum number of experts that are new to a rank.
    pub new_max: usize,
    /// Minimum reduction of the skew for which one more change is made.
    pub gain_min: f64,
}

/// Slowdown factor of each rank, 1.0 at normal speed; ranks beyond the end run at normal speed.
pub type Slowness<'a> = &'a [f64];

/// Time that each rank spends on its experts; the tokens of an expert are split evenly among the ranks that hold it.
fn times(map: &ExpertSetMap, popularity: &[f64], slowness: Slowness<'_>) -> Vec<f64> {
    let replicas = count_replicas(map, popularity.len());
    let share = |it: &ExpertId| {
        let idx = usize::from(*it);
        popularity[idx] / f64::from(replicas[idx].max(1))
    };
    let time = |(rank, experts): (usize, &Vec<ExpertId>)| {
        experts.iter().map(share).sum::<f64>() * slowness_of(slowness, rank)
    };
    map.iter().enumerate().map(time).collect()
}

fn slowness_of(slowness: Slowness<'_>, rank: usize) -> f64 {
    slowness.get(rank).copied().unwrap_or(1.0)
}

/// Longest time of a rank divided by the mean time of ranks at normal speed; 1.0 means an even load.
pub fn skew(map: &ExpertSetMap, popularity: &[f64], slowness: Slowness<'_>) -> f64 {
    let mean = popularity.iter().sum::<f64>() / map.len().max(1) as f64;
    match mean > 0.0 {
        true => times(map, popularity, slowness).into_iter().fold(0.0, f64::max) / mean,
        false => 1.0,
    }
}

fn count_replicas(map: &ExpertSetMap, experts: usize) -> Vec<u16> {
    let mut replicas = vec![0; experts];
    for expert in map.iter().flatten() {
        replicas[usize::from(*expert)] += 1;
    }
    replicas
}

/// A single change of the map under consideration.
#[derive(Clone, Copy, Debug)]
enum Change {
    /// Copies an expert into a free slot.
    Add { to: usize, expert: ExpertId },
    /// Copies an expert into a slot whose expert other ranks hold as well.
    Replace { to: usize, expert: ExpertId, slot: usize },
    /// Removes an expert from a rank; other ranks hold it as well.
    Drop { from: usize, slot: usize },
    /// Exchanges one expert between two ranks.
    Exchange { from: usize, from_slot: usize, to: usize, slot: usize },
}

/// State of the greedy search for a better map.
struct Search<'a> {
    map: ExpertSetMap,
    original: &'a ExpertSetMap,
    popularity: &'a [f64],
    slowness: Slowness<'a>,
    limits: ChangeLimits,
    /// Ranks that hold each expert, by expert.
    holders: Vec<Vec<usize>>,
    times: Vec<f64>,
    mean: f64,
    /// Sum of [`Search::power`] over the times of all ranks.
    power_sum: f64,
}

/// Returns a better map of one expert set. `allowance` is the number of new experts that each rank may still receive
/// over all sets; the call deducts those that it used.
pub fn rebalance(
    current: &ExpertSetMap,
    popularity: &[f64],
    slowness: Slowness<'_>,
    limits: ChangeLimits,
    allowance: &mut [usize],
) -> ExpertSetMap {
    let mut search = Search::new(current, popularity, slowness, limits);
    for _ in 0..CHANGES_MAX {
        let Some(change) = search.best_change(allowance) else {
            break;
        };
        search.apply(change, allowance);
    }
    search.map
}

impl<'a> Search<'a> {
    fn new(
        current: &'a ExpertSetMap,
        popularity: &'a [f64],
        slowness: Slowness<'a>,
        limits: ChangeLimits,
    ) -> Search<'a> {
        let mut holders = vec![Vec::new(); popularity.len()];
        for (rank, held) in current.iter().enumerate() {
            for expert in held {
                holders[usize::from(*expert)].push(rank);
            }
        }
        let mean = popularity.iter().sum::<f64>() / current.len().max(1) as f64;
        let mut search = Search {
            map: current.clone(),
            original: current,
            popularity,
            slowness,
            limits,
            holders,
            times: times(current, popularity, slowness),
            mean,
            power_sum: 0.0,
        };
        search.power_sum = search.times.iter().map(|it| search.power(*it)).sum();
        search
    }

    /// Returns the change with the highest gain at the slowest ranks; `None` when no change gains enough.
    fn best_change(&self, allowance: &[usize]) -> Option<Change> {
        let mut ranks: Vec<usize> = (0..self.times.len()).collect();
        ranks.sort_by(|a, b| self.times[*a].total_cmp(&self.times[*b]));
        let receivers = &ranks[..RECEIVERS_TRIED.min(ranks.len())];
        let mut best: Option<(f64, Change)> = None;
        for from in ranks.iter().rev().take(SENDERS_TRIED).copied() {
            for change in self.changes(from, receivers, allowance) {
                let gain = self.gain(change);
                if best.is_none_or(|it| gain > it.0) {
                    best = Some((gain, change));
                }
            }
        }
        best.filter(|it| it.0 > self.limits.gain_min).map(|it| it.1)
    }

    /// A rank's term in the p-norm of the times. The p-norm approximates the longest time but is smooth, so relieving
    /// one of several equally slow ranks counts as a gain.
    fn power(&self, time: f64) -> f64 {
        (time / self.mean).max(0.0).powi(SMOOTH_MAX_EXPONENT)
    }

    fn norm(power_sum: f64) -> f64 {
        power_sum.max(0.0).powf(1.0 / f64::from(SMOOTH_MAX_EXPONENT))
    }

    /// Reduction of the p-norm of the times that a change brings.
    fn gain(&self, change: Change) -> f64 {
        let mut power_sum = self.power_sum;
        for (rank, added) in self.effects(change) {
            power_sum += self.power(self.times[rank] + added) - self.power(self.times[rank]);
        }
        Search::norm(self.power_sum) - Search::norm(power_sum)
    }

    /// Lists the changes that take load off a rank and stay within the limits.
    fn changes(&self, from: usize, receivers: &[usize], allowance: &[usize]) -> Vec<Change> {
        let mut changes = Vec::new();
        for (from_slot, expert) in self.map[from].iter().copied().enumerate() {
            if self.replicas(expert) > 1 {
                changes.push(Change::Drop { from, slot: from_slot });
            }
            for to in receivers.iter().copied().filter(|it| *it != from) {
                if self.map[to].contains(&expert) || !self.can_take(to, expert, allowance) {
                    continue;
                }
                if self.map[to].len() < self.limits.slots {
                    changes.push(Change::Add { to, expert });
                }
                for (slot, other) in self.map[to].iter().copied().enumerate() {
                    if self.replicas(other) > 1 {
                        changes.push(Change::Replace { to, expert, slot });
                    }
                    let can_swap =
                        !self.map[from].contains(&other) && self.can_take(from, other, allowance);
                    if can_swap {
                        changes.push(Change::Exchange { from, from_slot, to, slot });
                    }
                }
            }
        }
        changes
    }

    fn replicas(&self, expert: ExpertId) -> usize {
        self.holders[usize::from(expert)].len()
    }

    /// Whether a rank may receive an expert. An expert that the rank holds in the original map need not be copied, so
    /// it does not count against the limits.
    fn can_take(&self, rank: usize, expert: ExpertId, allowance: &[usize]) -> bool {
        let original = &self.original[rank];
        if original.contains(&expert) {
            return true;
        }
        let new = self.map[rank].iter().filter(|it| !original.contains(it)).count();
        new < self.limits.new_max && allowance[rank] > 0
    }

    /// Ranks that a change affects, with the time that it adds to each.
    fn effects(&self, change: Change) -> Vec<(usize, f64)> {
        let mut effects = Vec::with_capacity(8);
        match change {
            Change::Add { to, expert } => self.redistribute(&mut effects, expert, Some(to), None),
            Change::Drop { from, slot } => {
                self.redistribute(&mut effects, self.map[from][slot], None, Some(from));
            }
            Change::Replace { to, expert, slot } => {
                self.redistribute(&mut effects, expert, Some(to), None);
                self.redistribute(&mut effects, self.map[to][slot], None, Some(to));
            }
            Change::Exchange { from, from_slot, to, slot } => {
                self.redistribute(&mut effects, self.map[from][from_slot], Some(to), Some(from));
                self.redistribute(&mut effects, self.map[to][slot], Some(from), Some(to));
            }
        }
        effects
    }

    /// Adds to `effects` how the time of each rank changes when an expert is added to or removed from a rank: its
    /// tokens are then split among another number of ranks.
    fn redistribute(
        &self,
        effects: &mut Vec<(usize, f64)>,
        expert: ExpertId,
        added_to: Option<usize>,
        removed_from: Option<usize>,
    ) {
        let idx = usize::from(expert);
        let replicas = self.replicas(expert);
        let after =
            replicas + usize::from(added_to.is_some()) - usize::from(removed_from.is_some());
        let share_before = self.popularity[idx] / replicas.max(1) as f64;
        let share_after = self.popularity[idx] / after.max(1) as f64;
        let mut add = |rank: usize, share: f64| {
            let time = share * slowness_of(self.slowness, rank);
            match effects.iter_mut().find(|it| it.0 == rank) {
                Some(effect) => effect.1 += time,
                None => effects.push((rank, time)),
            }
        };
        for rank in self.holders[idx].iter().copied() {
            let kept = if removed_from == Some(rank) { 0.0 } else { share_after };
            add(rank, kept - share_before);
        }
        if let Some(rank) = added_to {
            add(rank, share_after);
        }
    }

    fn apply(&mut self, change: Change, allowance: &mut [usize]) {
        for (rank, added) in self.effects(change) {
            self.times[rank] += added;
        }
        match change {
            Change::Add { to, expert } => self.add_expert(to, expert, allowance),
            Change::Drop { from, slot } => self.remove_expert(from, slot),
            Change::Replace { to, expert, slot } => {
                self.remove_expert(to, slot);
                self.add_expert(to, expert, allowance);
            }
            Change::Exchange { from, from_slot, to, slot } => {
                let (expert, other) = (self.map[from][from_slot], self.map[to][slot]);
                self.remove_expert(from, from_slot);
                self.remove_expert(to, slot);
                self.add_expert(to, expert, allowance);
                self.add_expert(from, other, allowance);
            }
        }
        self.power_sum = self.times.iter().map(|it| self.power(*it)).sum();
    }

    fn remove_expert(&mut self, rank: usize, slot: usize) {
        let expert = self.map[rank].remove(slot);
        self.holders[usize::from(expert)].retain(|it| *it != rank);
    }

    fn add_expert(&mut self, rank: usize, expert: ExpertId, allowance: &mut [usize]) {
        self.map[rank].push(expert);
        self.holders[usize::from(expert)].push(rank);
        if !self.original[rank].contains(&expert) {
            allowance[rank] -= 1;
        }
    }
}

/// Number of experts of one set that ranks must copy to change from one map to another.
pub fn copies_needed(from: &ExpertSetMap, to: &ExpertSetMap) -> usize {
    let new = |(had, has): (&Vec<ExpertId>, &Vec<ExpertId>)| {
        has.iter().filter(|it| !had.contains(it)).count()
    };
    from.iter().zip(to).map(new).sum()
}
