//! A map from scratch: replicas by popularity, then the largest first onto the least loaded rank.

use crate::expert_map::ExpertId;
use crate::expert_map::Placement;
use crate::expert_map::Shape;

/// Packs a layer for a known popularity.
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

/// Gives each spare slot to the expert whose replicas carry the most.
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

fn least_loaded(ranks: &[(f64, Vec<ExpertId>)], slots: usize, expert: ExpertId) -> usize {
    let mut best: Option<(bool, f64, usize)> = None;
    for (rank, (load, experts)) in ranks.iter().enumerate() {
        if experts.len() == slots {
            continue;
        }
        // A second replica on the same rank spreads nothing, so it comes last.
        let candidate = (experts.contains(&expert), *load, rank);
        let is_better = best.is_none_or(|it| (candidate.0, candidate.1) < (it.0, it.1));
        if is_better {
            best = Some(candidate);
        }
    }
    best.map_or(0, |it| it.2)
}

/// Renames the ranks of a map so that each keeps as much as possible of what it has.
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
    let mut place_of = vec![None; shape.ranks];
    let mut taken = vec![false; shape.ranks];
    for (_, from, to) in pairs {
        if place_of[to].is_none() && !taken[from] {
            place_of[to] = Some(from);
            taken[from] = true;
        }
    }
    let slots = place_of.iter().flat_map(|from| map.rank(from.unwrap_or(0)).to_vec()).collect();
    Placement::from_slots(shape, slots).unwrap_or_else(|| map.clone())
}
