//! A better map within reach of one change: each rank may take only a few new experts of a set, and each one
//! costs bytes. Single changes are tried at the rank that carries most, as long as they help enough.

use crate::expert_map::ExpertId;

/// Ranks, from the least loaded on, that are tried as the receiver of an expert.
const RECEIVERS_TRIED: usize = 8;
/// Ranks, from the most loaded on, that are tried as the one that has too much.
const SENDERS_TRIED: usize = 2;
/// Exponent of the smooth maximum over ranks.
const EXPONENT: i32 = 16;
/// Changes of one set in one plan, at most.
const CHANGES_MAX: usize = 160;

/// Experts of one set by rank; a rank may have free slots.
pub type ExpertSetMap = Vec<Vec<ExpertId>>;

/// What one change may do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ChangeLimits {
    /// Experts that a rank holds, at most.
    pub slots: usize,
    /// Experts that are new to a rank, at most.
    pub new_max: usize,
    /// Least gain in skew for which one more change is made.
    pub gain_min: f64,
}

/// How many times as long as usual each rank takes; ranks beyond the end are at their usual speed.
pub type Slowness<'a> = &'a [f64];

/// Time that each rank takes for its experts: their tokens are split evenly among the ranks that hold them.
fn times(map: &ExpertSetMap, popularity: &[f64], slowness: Slowness<'_>) -> Vec<f64> {
    let copies = count_copies(map, popularity.len());
    let share = |it: &ExpertId| {
        let at = usize::from(*it);
        popularity[at] / f64::from(copies[at].max(1))
    };
    let time = |(at, rank): (usize, &Vec<ExpertId>)| {
        rank.iter().map(share).sum::<f64>() * slowness_of(slowness, at)
    };
    map.iter().enumerate().map(time).collect()
}

fn slowness_of(slowness: Slowness<'_>, rank: usize) -> f64 {
    slowness.get(rank).copied().unwrap_or(1.0)
}

/// Longest time of a rank over the mean time of ranks at their usual speed; 1.0 is even.
pub fn skew(map: &ExpertSetMap, popularity: &[f64], slowness: Slowness<'_>) -> f64 {
    let mean = popularity.iter().sum::<f64>() / map.len().max(1) as f64;
    match mean > 0.0 {
        true => times(map, popularity, slowness).into_iter().fold(0.0, f64::max) / mean,
        false => 1.0,
    }
}

fn count_copies(map: &ExpertSetMap, experts: usize) -> Vec<u16> {
    let mut copies = vec![0; experts];
    for expert in map.iter().flatten() {
        copies[usize::from(*expert)] += 1;
    }
    copies
}

#[derive(Clone, Copy, Debug)]
enum Change {
    /// A copy of an expert into a free slot.
    Add { to: usize, expert: ExpertId },
    /// A copy of an expert in place of one that others hold, too.
    Replace { to: usize, expert: ExpertId, slot: usize },
    /// A rank gives up an expert that others hold, too.
    Drop { from: usize, slot: usize },
    /// Two ranks exchange an expert each.
    Exchange { from: usize, from_slot: usize, to: usize, slot: usize },
}

struct Search<'a> {
    map: ExpertSetMap,
    original: &'a ExpertSetMap,
    popularity: &'a [f64],
    slowness: Slowness<'a>,
    reach: ChangeLimits,
    /// Ranks that hold each expert.
    holders: Vec<Vec<usize>>,
    times: Vec<f64>,
    mean: f64,
    /// Sum of the weights of all times.
    weights: f64,
}

/// Improves one set; `allowance` bounds the new experts of each rank over all sets, and is used up.
pub fn rebalance(
    current: &ExpertSetMap,
    popularity: &[f64],
    slowness: Slowness<'_>,
    reach: ChangeLimits,
    allowance: &mut [usize],
) -> ExpertSetMap {
    let mut search = Search::new(current, popularity, slowness, reach);
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
        reach: ChangeLimits,
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
            reach,
            holders,
            times: times(current, popularity, slowness),
            mean,
            weights: 0.0,
        };
        search.weights = search.times.iter().map(|it| search.weight(*it)).sum();
        search
    }

    /// The change at a rank that takes longest which gains most; `None` when none helps enough.
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
        best.filter(|it| it.0 > self.reach.gain_min).map(|it| it.1)
    }

    /// A smooth stand-in for the longest time, so that one of several ranks that take equally long counts.
    fn weight(&self, time: f64) -> f64 {
        (time / self.mean).max(0.0).powi(EXPONENT)
    }

    fn norm(weights: f64) -> f64 {
        weights.max(0.0).powf(1.0 / f64::from(EXPONENT))
    }

    fn gain(&self, change: Change) -> f64 {
        let mut weights = self.weights;
        for (rank, added) in self.effects(change) {
            weights += self.weight(self.times[rank] + added) - self.weight(self.times[rank]);
        }
        Search::norm(self.weights) - Search::norm(weights)
    }

    fn changes(&self, from: usize, receivers: &[usize], allowance: &[usize]) -> Vec<Change> {
        let mut changes = Vec::new();
        for (from_slot, expert) in self.map[from].iter().copied().enumerate() {
            if self.copies(expert) > 1 {
                changes.push(Change::Drop { from, slot: from_slot });
            }
            for to in receivers.iter().copied().filter(|it| *it != from) {
                if self.map[to].contains(&expert) || !self.may_take(to, expert, allowance) {
                    continue;
                }
                if self.map[to].len() < self.reach.slots {
                    changes.push(Change::Add { to, expert });
                }
                for (slot, other) in self.map[to].iter().copied().enumerate() {
                    if self.copies(other) > 1 {
                        changes.push(Change::Replace { to, expert, slot });
                    }
                    let may_swap =
                        !self.map[from].contains(&other) && self.may_take(from, other, allowance);
                    if may_swap {
                        changes.push(Change::Exchange { from, from_slot, to, slot });
                    }
                }
            }
        }
        changes
    }

    fn copies(&self, expert: ExpertId) -> usize {
        self.holders[usize::from(expert)].len()
    }

    /// Whether a rank may take an expert: one that it has in the present map costs nothing.
    fn may_take(&self, rank: usize, expert: ExpertId, allowance: &[usize]) -> bool {
        let original = &self.original[rank];
        if original.contains(&expert) {
            return true;
        }
        let new = self.map[rank].iter().filter(|it| !original.contains(it)).count();
        new < self.reach.new_max && allowance[rank] > 0
    }

    /// What a change adds to the time of each rank that it touches.
    fn effects(&self, change: Change) -> Vec<(usize, f64)> {
        let mut effects = Vec::with_capacity(8);
        match change {
            Change::Add { to, expert } => self.spread(&mut effects, expert, Some(to), None),
            Change::Drop { from, slot } => {
                self.spread(&mut effects, self.map[from][slot], None, Some(from));
            }
            Change::Replace { to, expert, slot } => {
                self.spread(&mut effects, expert, Some(to), None);
                self.spread(&mut effects, self.map[to][slot], None, Some(to));
            }
            Change::Exchange { from, from_slot, to, slot } => {
                self.spread(&mut effects, self.map[from][from_slot], Some(to), Some(from));
                self.spread(&mut effects, self.map[to][slot], Some(from), Some(to));
            }
        }
        effects
    }

    /// Takes an expert's share off its ranks and lays it on those that hold it after a change.
    fn spread(
        &self,
        effects: &mut Vec<(usize, f64)>,
        expert: ExpertId,
        added: Option<usize>,
        removed: Option<usize>,
    ) {
        let at = usize::from(expert);
        let copies = self.copies(expert);
        let after = copies + usize::from(added.is_some()) - usize::from(removed.is_some());
        let share_before = self.popularity[at] / copies.max(1) as f64;
        let share_after = self.popularity[at] / after.max(1) as f64;
        let mut add = |rank: usize, share: f64| {
            let time = share * slowness_of(self.slowness, rank);
            match effects.iter_mut().find(|it| it.0 == rank) {
                Some(effect) => effect.1 += time,
                None => effects.push((rank, time)),
            }
        };
        for rank in self.holders[at].iter().copied() {
            let kept = if removed == Some(rank) { 0.0 } else { share_after };
            add(rank, kept - share_before);
        }
        if let Some(rank) = added {
            add(rank, share_after);
        }
    }

    fn apply(&mut self, change: Change, allowance: &mut [usize]) {
        for (rank, added) in self.effects(change) {
            self.times[rank] += added;
        }
        match change {
            Change::Add { to, expert } => self.take(to, expert, allowance),
            Change::Drop { from, slot } => self.give_up(from, slot),
            Change::Replace { to, expert, slot } => {
                self.give_up(to, slot);
                self.take(to, expert, allowance);
            }
            Change::Exchange { from, from_slot, to, slot } => {
                let (expert, other) = (self.map[from][from_slot], self.map[to][slot]);
                self.give_up(from, from_slot);
                self.give_up(to, slot);
                self.take(to, expert, allowance);
                self.take(from, other, allowance);
            }
        }
        self.weights = self.times.iter().map(|it| self.weight(*it)).sum();
    }

    fn give_up(&mut self, rank: usize, slot: usize) {
        let expert = self.map[rank].remove(slot);
        self.holders[usize::from(expert)].retain(|it| *it != rank);
    }

    fn take(&mut self, rank: usize, expert: ExpertId, allowance: &mut [usize]) {
        self.map[rank].push(expert);
        self.holders[usize::from(expert)].push(rank);
        if !self.original[rank].contains(&expert) {
            allowance[rank] -= 1;
        }
    }
}

/// Experts of a set that ranks must copy to get from one map to another.
pub fn copies_needed(from: &ExpertSetMap, to: &ExpertSetMap) -> usize {
    let new = |(had, has): (&Vec<ExpertId>, &Vec<ExpertId>)| {
        has.iter().filter(|it| !had.contains(it)).count()
    };
    from.iter().zip(to).map(new).sum()
}
