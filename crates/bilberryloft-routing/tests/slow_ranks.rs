//! Load limits and stream migration when one rank of a lock-step group is slow and would lengthen every forward pass.
#![allow(clippy::unwrap_used)]

mod support;

use std::collections::BTreeMap;

use bilberryloft_routing::load_exchange::TargetTag;
use bilberryloft_routing::selection::NoMigration;
use bilberryloft_routing::selection::PickLimits;
use bilberryloft_routing::selection::PickedTarget;
use bilberryloft_routing::slow_ranks::SlowRanks;
use bilberryloft_routing::slow_ranks::load_max;
use bilberryloft_routing::slow_ranks::pass_cost;
use bilberryloft_routing::targets::AttemptOutcome;
use bilberryloft_routing::targets::TargetTable;

const RANKS: usize = 16;
const SLOTS: u32 = 12;
/// Time of a step without requests, in units of the time that one request adds.
const IDLE_LOAD: f64 = 13.4;
const LIMITS: PickLimits = PickLimits {
    load_max: None,
    queue_max: 4,
    own_load_max: u32::MAX,
    idle_load: IDLE_LOAD,
    entries: 1,
    memory: None,
};

fn slow_group(slowness: &[(usize, f64)]) -> TargetTable {
    let mut table = support::target_table("r", RANKS, SLOTS);
    let slow = slowness.iter().map(|(rank, slowness)| (format!("r{rank}"), *slowness)).collect();
    table.record_slow_ranks("leader", slow, 0);
    table
}

fn pick(table: &mut TargetTable, now_ms: u64) -> Option<PickedTarget> {
    table.pick("writer", &[], &LIMITS, now_ms, || 0.5).ok()
}

/// Returns the longest pass time of any rank, relative to a rank at usual speed with `per_rank` requests, under a
/// steady load of `per_rank` requests per rank.
fn longest_pass(slowness: &[(usize, f64)], per_rank: usize) -> f64 {
    let mut table = slow_group(slowness);
    let mut running = Vec::new();
    let mut loads: BTreeMap<String, u32> = BTreeMap::new();
    let mut longest: f64 = 0.0;
    for round in 0..RANKS * per_rank * 4 {
        let picked = pick(&mut table, 0).unwrap();
        *loads.entry(picked.id.clone()).or_default() += 1;
        running.push(picked);
        if running.len() > RANKS * per_rank {
            let ended = running.remove(round * 7 % running.len());
            table.finish(ended.key, AttemptOutcome::Success, 0);
            *loads.get_mut(&ended.id).unwrap() -= 1;
        }
        for rank in 0..RANKS {
            let slow = slowness.iter().find(|it| it.0 == rank).map_or(1.0, |it| it.1);
            let load = loads.get(&format!("r{rank}")).copied().unwrap_or(0);
            if load > 0 || slow == 1.0 {
                longest = longest.max(pass_cost(IDLE_LOAD, load, slow));
            }
        }
    }
    longest / pass_cost(IDLE_LOAD, per_rank as u32, 1.0)
}

#[test]
fn very_slow_rank_gets_no_requests() {
    for slowness in [2.0, 5.0, 12.0] {
        let ratio = longest_pass(&[(3, slowness)], 6);
        assert!(ratio < 1.15, "{slowness}: {ratio}");
    }
}

#[test]
fn slightly_slow_rank_gets_fewer_requests() {
    let ratio = longest_pass(&[(3, 1.3)], 9);
    assert!(ratio < 1.15, "{ratio}");
    assert!(load_max(IDLE_LOAD, SLOTS, 1.3) > 0);
    assert_eq!(load_max(IDLE_LOAD, SLOTS, 4.0), 0);
}

#[test]
fn equally_slow_ranks_share_the_requests() {
    let all: Vec<(usize, f64)> = (0..RANKS).map(|it| (it, 4.0)).collect();
    let mut table = slow_group(&all);
    let mut counts = BTreeMap::new();
    for _ in 0..RANKS * 4 {
        *counts.entry(pick(&mut table, 0).unwrap().id).or_insert(0) += 1;
    }
    assert!(counts.values().all(|it| *it == 4), "{counts:?}");
}

#[test]
fn slow_rank_is_used_when_the_others_have_been_tried() {
    let mut table = slow_group(&[(0, 6.0)]);
    let tried: Vec<_> = (1..RANKS).map(|_| pick(&mut table, 0).unwrap().key).collect();
    assert_eq!(table.pick("writer", &tried, &LIMITS, 0, || 0.5).unwrap().id, "r0");
}

#[test]
fn slow_rank_is_used_again_after_its_report_expires() {
    let mut table = slow_group(&[(0, 12.0)]);
    let picks = |table: &mut TargetTable, now_ms| -> Vec<String> {
        (0..RANKS).map(|_| pick(table, now_ms).unwrap().id).collect()
    };
    assert!(!picks(&mut table, 0).contains(&"r0".to_string()));
    assert!(picks(&mut table, 2_000).contains(&"r0".to_string()));
}

#[test]
fn slow_ranks_use_the_latest_report_of_each_host() {
    let mut slow = SlowRanks::default();
    slow.record("a", [("r0".to_string(), 3.0)].into(), 0);
    slow.record("b", [("r0".to_string(), 2.0)].into(), 0);
    assert_eq!(slow.slowness("r0", 100), 3.0);
    slow.record("a", BTreeMap::new(), 200);
    assert_eq!(slow.slowness("r0", 300), 2.0);
    assert_eq!(slow.slowness("r0", 1_600), 1.0);
}

#[test]
fn streams_move_from_a_rank_that_slows_down_its_group() {
    let mut table = slow_group(&[]);
    let streams: Vec<PickedTarget> = (0..RANKS * 6).map(|_| pick(&mut table, 0).unwrap()).collect();
    let (slow, others): (Vec<_>, Vec<_>) = streams.into_iter().partition(|it| it.id == "r3");
    table.record_slow_ranks("leader", [("r3".to_string(), 12.0)].into(), 10);
    let other = table.pick_migration(others[0].key, &LIMITS, 10, || 0.5);
    assert_eq!(other, Err(NoMigration::NotSlow), "a rank at usual speed keeps its streams");
    for stream in slow {
        let next = table.pick_migration(stream.key, &LIMITS, 10, || 0.5).unwrap();
        assert_ne!(next.id, "r3");
        table.finish(stream.key, AttemptOutcome::Unknown, 10);
    }
    assert_eq!(table.own_loads().get(&TargetTag::of("r3")), None);
}

#[test]
fn streams_stay_on_a_slightly_slow_rank_or_while_no_slot_is_free() {
    let mut table = slow_group(&[(3, 1.4)]);
    let streams: Vec<PickedTarget> = (0..RANKS * 8).map(|_| pick(&mut table, 0).unwrap()).collect();
    let slow = streams.iter().find(|it| it.id == "r3").unwrap();
    let other = table.pick_migration(slow.key, &LIMITS, 0, || 0.5);
    assert_eq!(other, Err(NoMigration::NotSlow));
    while pick(&mut table, 0).is_some() {}
    table.record_slow_ranks("leader", [("r3".to_string(), 9.0)].into(), 10);
    let other = table.pick_migration(slow.key, &LIMITS, 10, || 0.5);
    assert_eq!(other, Err(NoMigration::NoSlot));
    let ended = streams.iter().find(|it| it.id == "r5").unwrap();
    table.finish(ended.key, AttemptOutcome::Success, 20);
    (0..4).for_each(|_| table.finish(ended.key, AttemptOutcome::Success, 20));
    let other = table.pick_migration(slow.key, &LIMITS, 20, || 0.5).unwrap();
    assert_eq!(other.id, "r5", "the freed slot is used");
}
