//! Targets that ask this entry for rest are not picked until its end, and are used again after it.
#![allow(clippy::unwrap_used)]

use bilberryloft_routing::selection::NoTarget;
use bilberryloft_routing::selection::PickLimits;
use bilberryloft_routing::targets::AttemptOutcome;
use bilberryloft_routing::targets::TargetInfo;
use bilberryloft_routing::targets::TargetTable;

const SERVICE: &str = "writer";
const REST_MS: u64 = 3_000;

fn info(number: usize, incarnation: u64) -> TargetInfo {
    TargetInfo {
        id: format!("t{number}"),
        incarnation,
        service: SERVICE.to_string(),
        address: format!("127.0.0.1:{}", 9_000 + number),
        data_center: "hall-a".to_string(),
        slots: 6,
        is_leaving: false,
        is_announced: true,
        cold_for_ms: 0,
    }
}

fn table(targets: usize) -> TargetTable {
    let mut table = TargetTable::new("hall-a");
    (0..targets).for_each(|it| table.apply(info(it, 1)));
    table
}

fn limits(entries: usize) -> PickLimits {
    PickLimits {
        load_max: None,
        queue_max: 0,
        own_load_max: 6,
        idle_load: 0.0,
        entries,
        memory: None,
    }
}

/// Picks a target and ends its request at once; a resting one answers that it rests.
fn send(table: &mut TargetTable, resting: &[&str], entries: usize, now_ms: u64) -> Option<String> {
    let picked = table.pick(SERVICE, &[], &limits(entries), now_ms, fastrand::f64).ok()?;
    let outcome = match resting.contains(&picked.id.as_str()) {
        true => {
            table.record_rest(picked.key, picked.incarnation, now_ms + REST_MS);
            AttemptOutcome::Resting
        }
        false => AttemptOutcome::Success,
    };
    table.finish(picked.key, outcome, now_ms);
    Some(picked.id)
}

/// Guards against picking a resting target for its low load, also where entries compare only a few of many targets.
#[test]
fn resting_target_is_picked_once_a_rest() {
    for (targets, entries) in [(16, 7), (192, 55)] {
        let mut table = table(targets);
        let mut picks = 0;
        for now_ms in (0..REST_MS).step_by(5) {
            let picked = send(&mut table, &["t3"], entries, now_ms).unwrap();
            picks += usize::from(picked == "t3");
        }
        assert!(picks <= 1, "{picks} picks of {targets} targets");
    }
}

#[test]
fn target_is_used_again_after_its_rest() {
    let mut table = table(2);
    while send(&mut table, &["t0"], 1, 0).unwrap() != "t0" {}
    let used_at = |table: &mut TargetTable, now_ms: u64| {
        (0..20).any(|_| send(table, &[], 1, now_ms).unwrap() == "t0")
    };
    assert!(!used_at(&mut table, REST_MS - 1));
    assert!(used_at(&mut table, REST_MS));
}

/// Guards against a refusal without the time to come back while all targets rest.
#[test]
fn wait_is_told_while_all_targets_rest() {
    let mut table = table(3);
    let all = ["t0", "t1", "t2"];
    for now_ms in [0, 100, 200] {
        send(&mut table, &all, 1, now_ms).unwrap();
    }
    let picked = table.pick(SERVICE, &[], &limits(1), 1_000, fastrand::f64);
    assert_eq!(picked, Err(NoTarget::Resting { wait_ms: REST_MS - 1_000 }));
    assert_eq!(table.rest_wait_ms(SERVICE, 1_000), Some(REST_MS - 1_000));
    assert_eq!(table.rest_wait_ms(SERVICE, REST_MS), None);
}

/// A target that is full and not resting may have a slot soon.
#[test]
fn full_target_beside_resting_ones_is_waited_for() {
    let mut table = table(2);
    while send(&mut table, &["t0"], 1, 0).unwrap() != "t0" {}
    for _ in 0..6 {
        table.pick(SERVICE, &[], &limits(1), 10, fastrand::f64).unwrap();
    }
    let picked = table.pick(SERVICE, &[], &limits(1), 10, fastrand::f64);
    assert_eq!(picked, Err(NoTarget::Full));
    assert_eq!(table.rest_wait_ms(SERVICE, 10), None);
}

/// A target that starts again under its name has asked for nothing.
#[test]
fn restarted_target_does_not_rest() {
    let mut table = table(1);
    send(&mut table, &["t0"], 1, 0).unwrap();
    assert!(send(&mut table, &[], 1, 10).is_none());
    table.apply(info(0, 2));
    assert!(send(&mut table, &[], 1, 20).is_some());
}
