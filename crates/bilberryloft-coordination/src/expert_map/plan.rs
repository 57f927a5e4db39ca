//! Which moves pay: single changes from the busiest rank on, until the map is even enough, and all of it
//! only if what it saves over the horizon exceeds what it costs.
//!
//! The rule that a change must pay for itself over a forecast horizon, and that decisions are made to last,
//! is taken from Daedalus (Pfister et al., ICPE 2024, section 3.2); `docs/design/expert-maps.md` has the figures.

use serde::Deserialize;
use serde::Serialize;

use crate::expert_map::ExpertId;
use crate::expert_map::Placement;
use crate::expert_map::RankId;
use crate::expert_map::align;
use crate::expert_map::pack;

/// Changes that one plan makes at most.
const MOVES_MAX: usize = 256;

/// Share of the mean load of a rank above which one replica is too much.
const SHARE_MAX: f64 = 0.6;
/// Factor by which a hot replica must exceed what giving up another one leaves.
const SPREAD_MARGIN: f64 = 1.3;

/// What an operator weighs more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Preset {
    /// An even step matters more than what moves.
    Skew,
    /// What moves matters more than an even step.
    Cost,
}

/// Prices and limits of a plan.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Costs {
    /// Time to load one expert's weights from the weight store at its rate limit, in milliseconds.
    pub load_ms: f64,
    /// Time for which all ranks stall at the switch, in milliseconds.
    pub stall_ms: f64,
    /// Time over which a map is expected to last, in milliseconds.
    pub horizon_ms: f64,
    /// Worth of a millisecond of weight-store time, in milliseconds of step time.
    pub store_weight: f64,
    /// Skew at which a plan begins, as highest over mean load.
    pub begin_skew: f64,
    /// Skew that a plan aims for.
    pub aim_skew: f64,
}

impl Costs {
    /// Prices of a preset.
    pub fn from_preset(preset: Preset, load_ms: f64, stall_ms: f64) -> Costs {
        match preset {
            Preset::Skew => Costs {
                load_ms,
                stall_ms,
                horizon_ms: 600_000.0,
                store_weight: 0.05,
                begin_skew: 1.03,
                aim_skew: 1.015,
            },
            Preset::Cost => Costs {
                load_ms,
                stall_ms,
                horizon_ms: 600_000.0,
                store_weight: 0.5,
                begin_skew: 1.12,
                aim_skew: 1.06,
            },
        }
    }
}

/// One weight to load: an expert into a slot, in place of what is there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Move {
    /// Rank that loads.
    pub rank: RankId,
    /// Slot of the rank.
    pub slot: u16,
    /// Expert that is loaded.
    pub expert: ExpertId,
    /// Expert that was there.
    pub replaces: ExpertId,
}

/// A new map and what it takes to get there.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The map.
    pub placement: Placement,
    /// Weights to load.
    pub moves: Vec<Move>,
    /// Skew before, by the estimate.
    pub skew_before: f64,
    /// Skew after, by the estimate.
    pub skew_after: f64,
}

/// Plans the moves of one layer; `None` when none pays.
pub fn plan_moves(current: &Placement, popularity: &[f64], costs: &Costs) -> Option<Plan> {
    let skew_before = current.skew(popularity);
    if skew_before < costs.begin_skew {
        return None;
    }
    let mut search = Search::new(current.clone(), popularity);
    while search.moves.len() < MOVES_MAX && search.spread_hottest() {}
    while search.moves.len() < MOVES_MAX && search.skew() > costs.aim_skew {
        if !search.improve() {
            break;
        }
    }
    let searched = Plan {
        skew_before,
        skew_after: search.skew(),
        placement: search.placement,
        moves: search.moves,
    };
    // Far from an even map, single changes get stuck or load more than a map from scratch does.
    let is_enough = searched.skew_after <= costs.aim_skew;
    let candidates = match is_enough {
        true => vec![searched],
        false => vec![searched, plan_from_scratch(current, popularity, skew_before)],
    };
    let value = |plan: &Plan| {
        let saved_ms = (plan.skew_before - plan.skew_after) * costs.horizon_ms;
        let loading_ms = plan.moves.len() as f64 * costs.load_ms * costs.store_weight;
        saved_ms - loading_ms - costs.stall_ms
    };
    let best = candidates.into_iter().max_by(|left, right| value(left).total_cmp(&value(right)))?;
    let pays = !best.moves.is_empty() && value(&best) > 0.0;
    pays.then_some(best)
}

fn plan_from_scratch(current: &Placement, popularity: &[f64], skew_before: f64) -> Plan {
    let target = align(&pack(current.shape(), popularity), current);
    let (placement, moves) = moves_between(current, &target);
    Plan { skew_before, skew_after: placement.skew(popularity), placement, moves }
}

/// Loads what each rank lacks into the slots that it no longer needs.
fn moves_between(current: &Placement, target: &Placement) -> (Placement, Vec<Move>) {
    let mut placement = current.clone();
    let mut moves = Vec::new();
    for rank in 0..current.shape().ranks {
        let mut wanted = target.rank(rank).to_vec();
        let mut free = Vec::new();
        for (slot, expert) in current.rank(rank).iter().enumerate() {
            match wanted.iter().position(|it| it == expert) {
                Some(at) => drop(wanted.swap_remove(at)),
                None => free.push((slot, *expert)),
            }
        }
        for ((slot, replaces), expert) in free.into_iter().zip(wanted) {
            placement.set(rank, slot, expert);
            moves.push(Move { rank: rank as RankId, slot: slot as u16, expert, replaces });
        }
    }
    (placement, moves)
}

/// A change of one or two slots under consideration.
#[derive(Clone, Copy, Debug)]
enum Change {
    /// A replica of `hot` replaces an expert that has another replica elsewhere.
    Replicate { hot: ExpertId, rank: usize, slot: usize },
    /// Two ranks exchange experts.
    Swap { left: (usize, usize), right: (usize, usize) },
}

struct Search<'a> {
    placement: Placement,
    popularity: &'a [f64],
    loads: Vec<f64>,
    mean: f64,
    moves: Vec<Move>,
}

impl<'a> Search<'a> {
    fn new(placement: Placement, popularity: &'a [f64]) -> Search<'a> {
        let loads = placement.loads(popularity);
        let mean = loads.iter().sum::<f64>() / loads.len() as f64;
        Search { placement, popularity, loads, mean, moves: Vec::new() }
    }

    fn skew(&self) -> f64 {
        self.loads.iter().copied().fold(0.0, f64::max) / self.mean
    }

    /// Gives the hottest expert a further replica in place of the most dispensable one, while a single
    /// replica of it carries so much that no exchange can even out its rank; false when none does.
    fn spread_hottest(&mut self) -> bool {
        let experts = 0..self.placement.shape().experts as ExpertId;
        let share = |it: &ExpertId| self.placement.share(*it, self.popularity);
        let Some(hot) = experts.clone().max_by(|left, right| share(left).total_cmp(&share(right)))
        else {
            return false;
        };
        let left_share = |it: &ExpertId| {
            let replicas = f64::from(self.placement.replicas(*it));
            share(it) * replicas / (replicas - 1.0)
        };
        let spare = experts.filter(|it| self.placement.replicas(*it) > 1 && *it != hot);
        let Some(victim) =
            spare.min_by(|left, right| left_share(left).total_cmp(&left_share(right)))
        else {
            return false;
        };
        let is_worth_it = share(&hot) > SHARE_MAX * self.mean
            && share(&hot) > SPREAD_MARGIN * left_share(&victim);
        match self.slot_to_give_up(victim, hot) {
            Some((rank, slot)) if is_worth_it => {
                self.make(Change::Replicate { hot, rank, slot });
                true
            }
            Some(_) | None => false,
        }
    }

    /// Slot of an expert on the least loaded rank that does not have the other one yet.
    fn slot_to_give_up(&self, victim: ExpertId, hot: ExpertId) -> Option<(usize, usize)> {
        let mut best: Option<(f64, usize, usize)> = None;
        for (rank, load) in self.loads.iter().enumerate() {
            let slot = self.placement.rank(rank).iter().position(|it| *it == victim);
            let Some(slot) = slot.filter(|_| !self.placement.has(rank, hot)) else {
                continue;
            };
            if best.is_none_or(|it| *load < it.0) {
                best = Some((*load, rank, slot));
            }
        }
        best.map(|it| (it.1, it.2))
    }

    /// Makes the change that lowers the busiest rank the most for each weight it loads; false when none does.
    fn improve(&mut self) -> bool {
        let busiest = self.busiest();
        let mut best: Option<(f64, Change)> = None;
        for slot in 0..self.placement.shape().slots {
            self.consider_replicas(busiest, slot, &mut best);
            self.consider_swaps(busiest, slot, &mut best);
        }
        let Some((_, change)) = best else {
            return false;
        };
        self.make(change);
        true
    }

    fn busiest(&self) -> usize {
        let by_load =
            |left: &usize, right: &usize| self.loads[*left].total_cmp(&self.loads[*right]);
        (0..self.loads.len()).max_by(by_load).unwrap_or(0)
    }

    fn keep(best: &mut Option<(f64, Change)>, gain: f64, change: Change) {
        if gain > 1e-12 && best.is_none_or(|(highest, _)| gain > highest) {
            *best = Some((gain, change));
        }
    }

    /// Excess over the mean of one rank, squared; the sum over ranks is what a change must lower.
    fn excess(&self, load: f64) -> f64 {
        (load - self.mean).max(0.0).powi(2)
    }

    /// A further replica of a busy expert takes a part of its load off all its ranks.
    fn consider_replicas(&self, busiest: usize, hot_slot: usize, best: &mut Option<(f64, Change)>) {
        let hot = self.placement.rank(busiest)[hot_slot];
        let old_share = self.placement.share(hot, self.popularity);
        let replicas = f64::from(self.placement.replicas(hot));
        let new_share = old_share * replicas / (replicas + 1.0);
        for rank in (0..self.loads.len()).filter(|it| *it != busiest) {
            if self.placement.has(rank, hot) {
                continue;
            }
            for (slot, victim) in self.placement.rank(rank).iter().enumerate() {
                let victims = f64::from(self.placement.replicas(*victim));
                if victims < 2.0 {
                    continue;
                }
                let victim_share = self.placement.share(*victim, self.popularity);
                let victim_after = victim_share * victims / (victims - 1.0);
                let gain = self.replication_gain(
                    (hot, old_share, new_share),
                    (*victim, victim_share, victim_after),
                    rank,
                );
                Self::keep(best, gain, Change::Replicate { hot, rank, slot });
            }
        }
    }

    fn replication_gain(
        &self,
        hot: (ExpertId, f64, f64),
        victim: (ExpertId, f64, f64),
        at: usize,
    ) -> f64 {
        let mut gain = 0.0;
        for (rank, load) in self.loads.iter().enumerate() {
            let experts = self.placement.rank(rank);
            let mut after = *load;
            if experts.contains(&hot.0) {
                after += hot.2 - hot.1;
            }
            if experts.contains(&victim.0) {
                after += if rank == at { -victim.1 } else { victim.2 - victim.1 };
            }
            if rank == at {
                after += hot.2;
            }
            gain += self.excess(*load) - self.excess(after);
        }
        gain
    }

    /// Two ranks exchange experts, which costs two loads.
    fn consider_swaps(&self, busiest: usize, slot: usize, best: &mut Option<(f64, Change)>) {
        let own = self.placement.rank(busiest)[slot];
        let own_share = self.placement.share(own, self.popularity);
        for rank in (0..self.loads.len()).filter(|it| *it != busiest) {
            if self.placement.has(rank, own) {
                continue;
            }
            for (other_slot, other) in self.placement.rank(rank).iter().enumerate() {
                let difference = own_share - self.placement.share(*other, self.popularity);
                if difference <= 0.0 || self.placement.has(busiest, *other) {
                    continue;
                }
                let before = self.excess(self.loads[busiest]) + self.excess(self.loads[rank]);
                let after = self.excess(self.loads[busiest] - difference)
                    + self.excess(self.loads[rank] + difference);
                let change = Change::Swap { left: (busiest, slot), right: (rank, other_slot) };
                Self::keep(best, (before - after) / 2.0, change);
            }
        }
    }

    fn make(&mut self, change: Change) {
        match change {
            Change::Replicate { hot, rank, slot } => self.set(rank, slot, hot),
            Change::Swap { left, right } => {
                let experts =
                    (self.placement.rank(left.0)[left.1], self.placement.rank(right.0)[right.1]);
                self.set(left.0, left.1, experts.1);
                self.set(right.0, right.1, experts.0);
            }
        }
        self.loads = self.placement.loads(self.popularity);
    }

    fn set(&mut self, rank: usize, slot: usize, expert: ExpertId) {
        let replaces = self.placement.rank(rank)[slot];
        self.placement.set(rank, slot, expert);
        self.moves.push(Move { rank: rank as RankId, slot: slot as u16, expert, replaces });
    }
}
