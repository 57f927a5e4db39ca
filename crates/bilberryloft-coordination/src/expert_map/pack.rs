//! Builds a map from scratch: chooses the number of replicas of each expert by popularity, then places the replicas,
//! largest share first, on the least loaded rank.

use crate::expert_map::ExpertId;
use crate::expert_map::Placement;
use crate::expert_map::Shape;

/// Builds the map of a layer for a given popularity.
pub fn pack(shape: Shape, popularity: &[f64]) -> Placement {
    let replicas = count_replicas(shape, popularity);
    let mut items: Vec<(f64, ExpertId)> = Vec::new();
    for (expert, count) in replicas.iter().enumerate() {
        let share = popularity[expert] / f64::from(*count);
        items.extend((0..*count).map(|_| (share, expert as ExpertId)));
    }
    items.sort_by(|left, right| right.0.total_cmp(&left.0).then(left.1.cmp(&right.1)));
    let mut ranks: Vec<(f64, Vec<ExpertId>)> = vec![(0.0, Vec::new()); shape.ranks];
    for (share, expert) in items {
        let rank = least_loaded(&ranks, shape.slots, expert);
        ranks[rank].0 += share;
        ranks[rank].1.push(expert);
    }
    let slots: Vec<ExpertId> = ranks.into_iter().flat_map(|it| it.1).collect();
    Placement::from_slots(shape, slots).unwrap_or_else(|| Placement::in_order(shape))
}

/// Gives each spare slot to the expert whose replicas have the largest share of the load.
fn count_replicas(shape: Shape, popularity: &[f64]) -> Vec<u16> {
    let mut replicas = vec![1_u16; shape.experts];
    for _ in shape.experts..shape.ranks * shape.slots {
        let mut best = 0;
        let mut best_share = f64::MIN;
        for (expert, count) in replicas.iter().enumerate() {
            let share = popularity[expert] / f64::from(*count);
            if share > best_share && usize::from(*count) < shape.ranks {
                best = expert;
                best_share = share;
            }
        }
        replicas[best] += 1;
    }
    replicas
}

/// Returns the least loaded rank with a free slot, preferably one without a replica of the expert.
fn least_loaded(ranks: &[(f64, Vec<ExpertId>)], slots: usize, expert: ExpertId) -> usize {
    let mut best: Option<(bool, f64, usize)> = None;
    for (rank, (load, experts)) in ranks.iter().enumerate() {
        if experts.len() == slots {
            continue;
        }
        // A second replica on the same rank does not spread the load, so such a rank is the last choice.
        let candidate = (experts.contains(&expert), *load, rank);
        let is_better = best.is_none_or(|it| (candidate.0, candidate.1) < (it.0, it.1));
        if is_better {
            best = Some(candidate);
        }
    }
    best.map_or(0, |it| it.2)
}

/// Renumbers the ranks of a map so that each rank keeps as many of its earlier experts as possible. The matching is
/// greedy.
pub fn align(map: &Placement, earlier: &Placement) -> Placement {
    let shape = map.shape();
    let mut pairs = Vec::new();
    for from in 0..shape.ranks {
        for to in 0..shape.ranks {
            let common = map.rank(from).iter().filter(|it| earlier.has(to, **it)).count();
            pairs.push((common, from, to));
        }
    }
    pairs.sort_by(|left, right| right.cmp(left));
    let mut source_of = vec![None; shape.ranks];
    let mut is_taken = vec![false; shape.ranks];
    for (_, from, to) in pairs {
        if source_of[to].is_none() && !is_taken[from] {
            source_of[to] = Some(from);
            is_taken[from] = true;
        }
    }
    let slots = source_of.iter().flat_map(|from| map.rank(from.unwrap_or(0)).to_vec()).collect();
    Placement::from_slots(shape, slots).unwrap_or_else(|| map.clone())
}
