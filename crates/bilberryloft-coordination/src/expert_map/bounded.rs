//! A better map within reach of one change: each rank may take only a few new experts of a set, and each one
//! costs bytes. Single changes are tried at the rank that carries most, as long as they help enough.

use crate::expert_map::ExpertId;

/// Ranks, from the least loaded on, that are tried as the receiver of an expert.
const RECEIVERS_TRIED: usize = 8;
/// Changes of one set in one plan, at most.
const CHANGES_MAX: usize = 64;

/// Experts of one set by rank; a rank may have free slots.
pub type SetMap = Vec<Vec<ExpertId>>;

/// What one change may do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reach {
    /// Experts that a rank holds, at most.
    pub slots: usize,
    /// Experts that are new to a rank, at most.
    pub new_max: usize,
    /// Least gain, as a part of the mean load, for which one more expert is copied.
    pub gain_min: f64,
}

/// Load of each rank: an expert's tokens are split evenly among the ranks that hold it.
pub fn loads(map: &SetMap, popularity: &[f64]) -> Vec<f64> {
    let copies = count_copies(map, popularity.len());
    let share = |it: &ExpertId| {
        let at = usize::from(*it);
        popularity[at] / f64::from(copies[at].max(1))
    };
    map.iter().map(|rank| rank.iter().map(share).sum()).collect()
}

/// Highest load over mean load; 1.0 is even.
pub fn skew(map: &SetMap, popularity: &[f64]) -> f64 {
    let loads = loads(map, popularity);
    let mean = loads.iter().sum::<f64>() / loads.len().max(1) as f64;
    match mean > 0.0 {
        true => loads.iter().copied().fold(0.0, f64::max) / mean,
        false => 1.0,
    }
}

fn count_copies(map: &SetMap, experts: usize) -> Vec<u16> {
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
    /// Two ranks exchange an expert each.
    Exchange { from: usize, from_slot: usize, to: usize, slot: usize },
}

struct Search<'a> {
    map: SetMap,
    original: &'a SetMap,
    popularity: &'a [f64],
    reach: Reach,
    copies: Vec<u16>,
    loads: Vec<f64>,
    mean: f64,
}

/// Improves one set; `allowance` bounds the new experts of each rank over all sets, and is used up.
pub fn improve(
    current: &SetMap,
    popularity: &[f64],
    reach: Reach,
    allowance: &mut [usize],
) -> SetMap {
    let mut search = Search::new(current, popularity, reach);
    for _ in 0..CHANGES_MAX {
        let Some(change) = search.best_change(allowance) else {
            break;
        };
        search.apply(change, allowance);
    }
    search.map
}

impl<'a> Search<'a> {
    fn new(current: &'a SetMap, popularity: &'a [f64], reach: Reach) -> Search<'a> {
        let loads = loads(current, popularity);
        let mean = loads.iter().sum::<f64>() / loads.len().max(1) as f64;
        Search {
            map: current.clone(),
            original: current,
            popularity,
            reach,
            copies: count_copies(current, popularity.len()),
            loads,
            mean,
        }
    }

    /// The change at the most loaded rank that lowers the loads most; `None` when none helps enough.
    fn best_change(&self, allowance: &[usize]) -> Option<Change> {
        let from =
            (0..self.loads.len()).max_by(|a, b| self.loads[*a].total_cmp(&self.loads[*b]))?;
        let mut receivers: Vec<usize> = (0..self.loads.len()).filter(|it| *it != from).collect();
        receivers.sort_by(|a, b| self.loads[*a].total_cmp(&self.loads[*b]));
        receivers.truncate(RECEIVERS_TRIED);
        let before = self.badness(&self.loads);
        let mut best: Option<(f64, Change)> = None;
        for change in self.changes(from, &receivers, allowance) {
            let gain = before - self.badness(&self.loads_after(change));
            if best.is_none_or(|it| gain > it.0) {
                best = Some((gain, change));
            }
        }
        best.filter(|it| it.0 > self.reach.gain_min * self.mean).map(|it| it.1)
    }

    /// What counts is the highest load; the second highest decides among changes that leave it alike.
    fn badness(&self, loads: &[f64]) -> f64 {
        let (mut first, mut second) = (0.0_f64, 0.0_f64);
        for load in loads {
            if *load > first {
                second = first;
                first = *load;
            } else if *load > second {
                second = *load;
            }
        }
        first + 0.25 * second
    }

    fn changes(&self, from: usize, receivers: &[usize], allowance: &[usize]) -> Vec<Change> {
        let mut changes = Vec::new();
        for (from_slot, expert) in self.map[from].iter().copied().enumerate() {
            for to in receivers.iter().copied() {
                if self.map[to].contains(&expert) || !self.may_take(to, expert, allowance) {
                    continue;
                }
                if self.map[to].len() < self.reach.slots {
                    changes.push(Change::Add { to, expert });
                }
                for (slot, other) in self.map[to].iter().copied().enumerate() {
                    if self.copies[usize::from(other)] > 1 {
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

    /// Whether a rank may take an expert: one that it has in the present map costs nothing.
    fn may_take(&self, rank: usize, expert: ExpertId, allowance: &[usize]) -> bool {
        let original = &self.original[rank];
        if original.contains(&expert) {
            return true;
        }
        let new = self.map[rank].iter().filter(|it| !original.contains(it)).count();
        new < self.reach.new_max && allowance[rank] > 0
    }

    fn loads_after(&self, change: Change) -> Vec<f64> {
        let mut loads = self.loads.clone();
        match change {
            Change::Add { to, expert } => self.spread(&mut loads, expert, Some(to), None),
            Change::Replace { to, expert, slot } => {
                self.spread(&mut loads, expert, Some(to), None);
                self.spread(&mut loads, self.map[to][slot], None, Some(to));
            }
            Change::Exchange { from, from_slot, to, slot } => {
                self.spread(&mut loads, self.map[from][from_slot], Some(to), Some(from));
                self.spread(&mut loads, self.map[to][slot], Some(from), Some(to));
            }
        }
        loads
    }

    /// Takes an expert's share off its ranks and lays it on those that hold it after a change.
    fn spread(
        &self,
        loads: &mut [f64],
        expert: ExpertId,
        added: Option<usize>,
        removed: Option<usize>,
    ) {
        let at = usize::from(expert);
        let copies = self.copies[at];
        let after = copies + u16::from(added.is_some()) - u16::from(removed.is_some());
        let share_before = self.popularity[at] / f64::from(copies.max(1));
        let share_after = self.popularity[at] / f64::from(after.max(1));
        for (rank, held) in self.map.iter().enumerate() {
            if held.contains(&expert) {
                loads[rank] -= share_before;
                if removed != Some(rank) {
                    loads[rank] += share_after;
                }
            } else if added == Some(rank) {
                loads[rank] += share_after;
            }
        }
    }

    fn apply(&mut self, change: Change, allowance: &mut [usize]) {
        self.loads = self.loads_after(change);
        match change {
            Change::Add { to, expert } => {
                self.take(to, expert, allowance);
                self.map[to].push(expert);
            }
            Change::Replace { to, expert, slot } => {
                self.copies[usize::from(self.map[to][slot])] -= 1;
                self.take(to, expert, allowance);
                self.map[to][slot] = expert;
            }
            Change::Exchange { from, from_slot, to, slot } => {
                let (expert, other) = (self.map[from][from_slot], self.map[to][slot]);
                self.copies[usize::from(expert)] -= 1;
                self.copies[usize::from(other)] -= 1;
                self.take(to, expert, allowance);
                self.take(from, other, allowance);
                self.map[from][from_slot] = other;
                self.map[to][slot] = expert;
            }
        }
    }

    fn take(&mut self, rank: usize, expert: ExpertId, allowance: &mut [usize]) {
        self.copies[usize::from(expert)] += 1;
        if !self.original[rank].contains(&expert) {
            allowance[rank] -= 1;
        }
    }
}

/// Experts of a set that ranks must copy to get from one map to another.
pub fn copies_needed(from: &SetMap, to: &SetMap) -> usize {
    let new = |(had, has): (&Vec<ExpertId>, &Vec<ExpertId>)| {
        has.iter().filter(|it| !had.contains(it)).count()
    };
    from.iter().zip(to).map(new).sum()
}
