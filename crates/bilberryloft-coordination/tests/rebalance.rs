//! Rebalancing of expert sets: a change stays within its limits, and a few changes make the load of a group even.
#![allow(clippy::unwrap_used)]

use bilberryloft_coordination::expert_map::ChangeLimits;
use bilberryloft_coordination::expert_map::ExpertSetMap;
use bilberryloft_coordination::expert_map::copies_needed;
use bilberryloft_coordination::expert_map::rebalance;
use bilberryloft_coordination::expert_map::skew;

const LIMITS: ChangeLimits = ChangeLimits { slots: 5, new_max: 2, gain_min: 0.005 };

/// Map that assigns the experts to the ranks round-robin.
fn round_robin(ranks: usize, experts: usize) -> ExpertSetMap {
    let held = |rank: usize| (rank..experts).step_by(ranks).map(|it| it as u16).collect();
    (0..ranks).map(held).collect()
}

/// Popularity by a Zipf law, assigned to the experts in an order that depends on the seed.
fn zipf(experts: usize, exponent: f64, seed: u64) -> Vec<f64> {
    let mut order: Vec<usize> = (0..experts).collect();
    fastrand::Rng::with_seed(seed).shuffle(&mut order);
    let mut popularity = vec![0.0; experts];
    for (position, expert) in order.into_iter().enumerate() {
        popularity[expert] = 1.0 / ((position + 1) as f64).powf(exponent);
    }
    popularity
}

/// Rebalances a map and checks that the result stays within the limits.
fn rebalance_and_check(
    map: &ExpertSetMap,
    popularity: &[f64],
    slowness: &[f64],
    new_per_rank: usize,
) -> ExpertSetMap {
    let mut allowance = vec![new_per_rank; map.len()];
    let next = rebalance(map, popularity, slowness, LIMITS, &mut allowance);
    check_limits(map, &next, popularity.len(), new_per_rank);
    next
}

/// Checks the limits, and that a rank holds no expert twice and each expert is on some rank.
fn check_limits(before: &ExpertSetMap, after: &ExpertSetMap, experts: usize, new_per_rank: usize) {
    let mut held = vec![0; experts];
    for (rank, experts) in after.iter().enumerate() {
        assert!(experts.len() <= LIMITS.slots);
        let new = experts.iter().filter(|it| !before[rank].contains(it)).count();
        assert!(new <= LIMITS.new_max.min(new_per_rank), "rank {rank} gets {new} new experts");
        for expert in experts {
            assert_eq!(experts.iter().filter(|it| *it == expert).count(), 1);
            held[usize::from(*expert)] += 1;
        }
    }
    assert!(held.iter().all(|it| *it > 0), "an expert has no rank");
}

#[test]
fn map_of_shifted_demand_is_even_after_three_changes() {
    for seed in 0..40 {
        let popularity = zipf(64, 1.1, seed);
        let mut map = round_robin(16, 64);
        let before = skew(&map, &popularity, &[]);
        for _ in 0..3 {
            map = rebalance_and_check(&map, &popularity, &[], 2);
        }
        let after = skew(&map, &popularity, &[]);
        assert!(after < 1.25, "seed {seed}: {before} to {after}");
    }
}

#[test]
fn map_with_one_new_expert_per_rank_loses_most_of_the_skew() {
    for seed in 0..40 {
        let popularity = zipf(64, 1.1, seed);
        let map = round_robin(16, 64);
        let before = skew(&map, &popularity, &[]);
        let after = skew(&rebalance_and_check(&map, &popularity, &[], 1), &popularity, &[]);
        assert!(after - 1.0 < 0.45 * (before - 1.0), "seed {seed}: {before} to {after}");
    }
}

#[test]
fn even_map_is_not_changed() {
    let popularity = vec![1.0; 64];
    let map = round_robin(16, 64);
    let next = rebalance_and_check(&map, &popularity, &[], 2);
    assert_eq!(copies_needed(&map, &next), 0);
}

#[test]
fn map_of_a_large_group_with_few_slots_becomes_even() {
    let popularity = zipf(144, 0.54, 3);
    let limits = ChangeLimits { slots: 3, new_max: 2, gain_min: 0.003 };
    let mut map = round_robin(72, 144);
    let before = skew(&map, &popularity, &[]);
    for _ in 0..3 {
        let mut allowance = vec![2; 72];
        map = rebalance(&map, &popularity, &[], limits, &mut allowance);
    }
    let after = skew(&map, &popularity, &[]);
    assert!(before > 2.5 && after < 1.35, "{before} to {after}");
}

#[test]
fn slow_rank_keeps_little_load() {
    let popularity = zipf(64, 0.6, 5);
    let mut map = round_robin(16, 64);
    let mut slowness = vec![1.0; 16];
    slowness[7] = 5.0;
    let before = skew(&map, &popularity, &slowness);
    for _ in 0..3 {
        map = rebalance_and_check(&map, &popularity, &slowness, 2);
    }
    let after = skew(&map, &popularity, &slowness);
    assert!(after < 0.35 * before, "{before} to {after}");
}

#[test]
fn map_of_hundreds_of_ranks_becomes_even_in_one_change() {
    for seed in 0..10 {
        let popularity = zipf(384, 0.44, seed);
        let limits = ChangeLimits { slots: 3, new_max: 2, gain_min: 0.001 };
        let map = round_robin(192, 384);
        let before = skew(&map, &popularity, &[]);
        let next = rebalance(&map, &popularity, &[], limits, &mut vec![2; 192]);
        let after = skew(&next, &popularity, &[]);
        assert!(before > 3.0 && after < 1.25, "seed {seed}: {before} to {after}");
    }
}
