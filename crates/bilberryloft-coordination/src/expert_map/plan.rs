//! Planning of moves between expert maps. The planner makes single changes, starting at the busiest rank, until the
//! load is even enough, and adopts the plan only if its savings over the horizon exceed its cost.
//!
//! The rules that a change must save more than it costs over a forecast horizon and that decisions must last are
//! taken from Daedalus (Pfister et al., ICPE 2024, section 3.2); `docs/design/expert-maps.md` has the figures.

use serde::Deserialize;
use serde::Serialize;

use crate::expert_map::ExpertId;
use crate::expert_map::Placement;
use crate::expert_map::RankId;
use crate::expert_map::align;
use crate::expert_map::pack;

/// Number of moves at which the search for a plan stops.
const MOVES_MAX: usize = 256;

/// Largest share of a replica, as a fraction of the mean load of a rank, that needs no further replica.
const REPLICA_SHARE_MAX: f64 = 0.6;
/// Factor by which the share of a hot replica must exceed the share that each remaining replica has of the expert that
/// gives one up.
const REPLICATION_MARGIN: f64 = 1.3;

/// Operator's preference between an even load and few moves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Preset {
    /// An even load matters more than the cost of the moves.
    Skew,
    /// The cost of the moves matters more than an even load.
    Cost,
}

/// Costs and limits of a plan.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Costs {
    /// Time to load the weights of one expert from the weight store at its rate limit, in milliseconds.
    pub load_ms: f64,
    /// Time for which all ranks stall at the switch, in milliseconds.
    pub stall_ms: f64,
    /// Time over which a map is expected to last, in milliseconds.
    pub horizon_ms: f64,
    /// Cost of a millisecond of weight-store time, in milliseconds of forward-pass time.
    pub store_cost: f64,
    /// Lowest skew at which a plan is made, as highest over mean load.
    pub trigger_skew: f64,
    /// Skew at which a plan stops making changes.
    pub desired_skew: f64,
}

impl Costs {
    /// Costs and limits of a preset.
    pub fn from_preset(preset: Preset, load_ms: f64, stall_ms: f64) -> Costs {
        match preset {
            Preset::Skew => Costs {
                load_ms,
                stall_ms,
                horizon_ms: 600_000.0,
                store_cost: 0.05,
                trigger_skew: 1.03,
                desired_skew: 1.015,
            },
            Preset::Cost => Costs {
                load_ms,
                stall_ms,
                horizon_ms: 600_000.0,
                store_cost: 0.5,
                trigger_skew: 1.12,
                desired_skew: 1.06,
            },
        }
    }
}

/// Loading of the weights of one expert into a slot, in place of the expert there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Move {
    /// Rank that loads the weights.
    pub rank: RankId,
    /// Slot of the rank.
    pub slot: u16,
    /// Expert that is loaded.
    pub expert: ExpertId,
    /// Expert that is replaced.
    pub replaces: ExpertId,
}

/// A new map and the moves that lead to it.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The map.
    pub placement: Placement,
    /// Weights to load, in order.
    pub moves: Vec<Move>,
    /// Estimated skew before the moves.
    pub skew_before: f64,
    /// Estimated skew after the moves.
    pub skew_after: f64,
}

/// Plans the moves of one layer; `None` when no plan saves more than it costs.
pub fn plan_moves(current: &Placement, popularity: &[f64], costs: &Costs) -> Option<Plan> {
    let skew_before = current.skew(popularity);
    if skew_before < costs.trigger_skew {
        return None;
    }
    let mut search = Search::new(current.clone(), popularity);
    while search.moves.len() < MOVES_MAX && search.replicate_hottest() {}
    while search.moves.len() < MOVES_MAX && search.skew() > costs.desired_skew {
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
    // If the current map is far from even, single changes end in a local optimum or load more weights than a map
    // built from scratch.
    let is_even_enough = searched.skew_after <= costs.desired_skew;
    let candidates = match is_even_enough {
        true => vec![searched],
        false => vec![searched, plan_from_scratch(current, popularity, skew_before)],
    };
    let net_saving_ms = |plan: &Plan| {
        let saved_ms = (plan.skew_before - plan.skew_after) * costs.horizon_ms;
        let loading_ms = plan.moves.len() as f64 * costs.load_ms * costs.store_cost;
        saved_ms - loading_ms - costs.stall_ms
    };
    let best = candidates
        .into_iter()
        .max_by(|left, right| net_saving_ms(left).total_cmp(&net_saving_ms(right)))?;
    let is_worthwhile = !best.moves.is_empty() && net_saving_ms(&best) > 0.0;
    is_worthwhile.then_some(best)
}

fn plan_from_scratch(current: &Placement, popularity: &[f64], skew_before: f64) -> Plan {
    let target = align(&pack(current.shape(), popularity), current);
    let (placement, moves) = moves_between(current, &target);
    Plan { skew_before, skew_after: placement.skew(popularity), placement, moves }
}

/// Loads the experts that each rank lacks into the slots whose experts it no longer needs.
fn moves_between(current: &Placement, target: &Placement) -> (Placement, Vec<Move>) {
    let mut placement = current.clone();
    let mut moves = Vec::new();
    for rank in 0..current.shape().ranks {
        let mut wanted = target.rank(rank).to_vec();
        let mut free = Vec::new();
        for (slot, expert) in current.rank(rank).iter().enumerate() {
            match wanted.iter().position(|it| it == expert) {
                Some(idx) => drop(wanted.swap_remove(idx)),
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

/// A change of one or two slots under consideration; a swap names each slot by its rank and its number.
#[derive(Clone, Copy, Debug)]
enum Change {
    /// Adds a replica of `hot` in place of an expert that has another replica.
    Replicate { hot: ExpertId, rank: usize, slot: usize },
    /// Exchanges the experts of two slots on different ranks.
    Swap { left: (usize, usize), right: (usize, usize) },
}

/// State of the greedy search for a better map.
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

    /// Adds a replica of the expert with the largest share per replica, in place of a replica of the expert whose
    /// other replicas would then have the smallest share. This is done only while one replica of the hottest expert
    /// has so large a share that no swap can even out its rank. Returns whether it made a change.
    fn replicate_hottest(&mut self) -> bool {
        let experts = 0..self.placement.shape().experts as ExpertId;
        let share = |it: &ExpertId| self.placement.share(*it, self.popularity);
        let Some(hot) = experts.clone().max_by(|left, right| share(left).total_cmp(&share(right)))
        else {
            return false;
        };
        let remaining_share = |it: &ExpertId| {
            let replicas = f64::from(self.placement.replicas(*it));
            share(it) * replicas / (replicas - 1.0)
        };
        let replicated = experts.filter(|it| self.placement.replicas(*it) > 1 && *it != hot);
        let Some(victim) = replicated
            .min_by(|left, right| remaining_share(left).total_cmp(&remaining_share(right)))
        else {
            return false;
        };
        let is_worth_it = share(&hot) > REPLICA_SHARE_MAX * self.mean
            && share(&hot) > REPLICATION_MARGIN * remaining_share(&victim);
        match self.find_victim_slot(victim, hot) {
            Some((rank, slot)) if is_worth_it => {
                self.apply(Change::Replicate { hot, rank, slot });
                true
            }
            Some(_) | None => false,
        }
    }

    /// Finds the least loaded rank that holds `victim` but not `hot`, and the slot of `victim` there.
    fn find_victim_slot(&self, victim: ExpertId, hot: ExpertId) -> Option<(usize, usize)> {
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

    /// Applies the change at the busiest rank that lowers the excess load most per weight that it loads. Returns
    /// whether there was such a change.
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
        self.apply(change);
        true
    }

    fn busiest(&self) -> usize {
        let by_load =
            |left: &usize, right: &usize| self.loads[*left].total_cmp(&self.loads[*right]);
        (0..self.loads.len()).max_by(by_load).unwrap_or(0)
    }

    /// Keeps the better of the best change so far and a new one; gains up to rounding errors do not count.
    fn keep_better(best: &mut Option<(f64, Change)>, gain: f64, change: Change) {
        if gain > 1e-12 && best.is_none_or(|(highest, _)| gain > highest) {
            *best = Some((gain, change));
        }
    }

    /// Squared excess of the load of a rank over the mean; a change must lower the sum over all ranks.
    fn excess(&self, load: f64) -> f64 {
        (load - self.mean).max(0.0).powi(2)
    }

    /// Considers a further replica of an expert of the busiest rank; it reduces the load of all ranks with that expert.
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
                let victim_replicas = f64::from(self.placement.replicas(*victim));
                if victim_replicas < 2.0 {
                    continue;
                }
                let victim_share = self.placement.share(*victim, self.popularity);
                let victim_after = victim_share * victim_replicas / (victim_replicas - 1.0);
                let gain = self.replication_gain(
                    (hot, old_share, new_share),
                    (*victim, victim_share, victim_after),
                    rank,
                );
                Self::keep_better(best, gain, Change::Replicate { hot, rank, slot });
            }
        }
    }

    /// Reduction of the excess load by a replica of `hot` on `replica_rank` in place of `victim`. Each expert is
    /// given with its share per replica before and after.
    fn replication_gain(
        &self,
        hot: (ExpertId, f64, f64),
        victim: (ExpertId, f64, f64),
        replica_rank: usize,
    ) -> f64 {
        let mut gain = 0.0;
        for (rank, load) in self.loads.iter().enumerate() {
            let experts = self.placement.rank(rank);
            let mut after = *load;
            if experts.contains(&hot.0) {
                after += hot.2 - hot.1;
            }
            if experts.contains(&victim.0) {
                after += if rank == replica_rank { -victim.1 } else { victim.2 - victim.1 };
            }
            if rank == replica_rank {
                after += hot.2;
            }
            gain += self.excess(*load) - self.excess(after);
        }
        gain
    }

    /// Considers swaps between the busiest rank and other ranks. A swap loads two weights, so its gain is halved.
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
                Self::keep_better(best, (before - after) / 2.0, change);
            }
        }
    }

    fn apply(&mut self, change: Change) {
        match change {
            Change::Replicate { hot, rank, slot } => self.load_expert(rank, slot, hot),
            Change::Swap { left, right } => {
                let experts =
                    (self.placement.rank(left.0)[left.1], self.placement.rank(right.0)[right.1]);
                self.load_expert(left.0, left.1, experts.1);
                self.load_expert(right.0, right.1, experts.0);
            }
        }
        self.loads = self.placement.loads(self.popularity);
    }

    fn load_expert(&mut self, rank: usize, slot: usize, expert: ExpertId) {
        let replaces = self.placement.rank(rank)[slot];
        self.placement.set(rank, slot, expert);
        self.moves.push(Move { rank: rank as RankId, slot: slot as u16, expert, replaces });
    }
}
