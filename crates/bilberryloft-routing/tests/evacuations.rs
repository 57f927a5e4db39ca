//! Targets of evacuated data centres, which get no requests.
#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use bilberryloft_routing::selection::NoMigration;
use bilberryloft_routing::selection::NoTarget;
use bilberryloft_routing::selection::PickLimits;
use bilberryloft_routing::selection::PickedTarget;
use bilberryloft_routing::targets::AttemptOutcome;
use bilberryloft_routing::targets::TargetInfo;
use bilberryloft_routing::targets::TargetTable;

const SERVICE: &str = "writer";
const SLOTS: u32 = 4;
const LIMITS: PickLimits = PickLimits {
    load_max: None,
    queue_max: 0,
    own_load_max: 100,
    idle_load: 0.0,
    entries: 1,
    memory: None,
};

fn info(id: &str, data_center: &str) -> TargetInfo {
    TargetInfo {
        id: id.to_string(),
        incarnation: 1,
        service: SERVICE.to_string(),
        address: format!("127.0.0.1:{}", 9_000 + id.len()),
        data_center: data_center.to_string(),
        slots: SLOTS,
        is_leaving: false,
        is_announced: true,
        cold_for_ms: 0,
    }
}

/// Returns the table of an entry in hall-a with two targets there and two in hall-b.
fn table() -> TargetTable {
    let mut table = TargetTable::new("hall-a");
    for (id, data_center) in
        [("a0", "hall-a"), ("a1", "hall-a"), ("b0", "hall-b"), ("b1", "hall-b")]
    {
        table.apply(info(id, data_center));
    }
    table
}

fn halls(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(|it| it.to_string()).collect()
}

fn pick(table: &mut TargetTable) -> Result<PickedTarget, NoTarget> {
    table.pick(SERVICE, &[], &LIMITS, 0, || 0.5)
}

/// Guards against requests to an evacuated data centre, also when it is the entry's own, and when all others are full.
#[test]
fn evacuated_targets_are_not_picked() {
    let mut table = table();
    table.set_evacuated(halls(&["hall-a"]));
    for _ in 0..2 * SLOTS {
        assert!(pick(&mut table).unwrap().id.starts_with('b'));
    }
    assert_eq!(pick(&mut table), Err(NoTarget::Full));
}

/// Guards against retries, moved and resumed streams that are sent to an evacuated data centre because the others have been
/// tried.
#[test]
fn evacuated_targets_are_not_picked_after_all_others_were_tried() {
    let mut table = table();
    table.set_evacuated(halls(&["hall-b"]));
    let first = pick(&mut table).unwrap().key;
    let second = table.pick(SERVICE, &[first], &LIMITS, 0, || 0.5).unwrap().key;
    let none = table.pick(SERVICE, &[first, second], &LIMITS, 0, || 0.5);
    assert_eq!(none, Err(NoTarget::Absent));
}

/// Guards against targets that are chosen although they are evacuated because all others are ejected for their failures.
#[test]
fn failing_targets_are_preferred_to_evacuated_ones() {
    let mut table = table();
    table.set_evacuated(halls(&["hall-b"]));
    for now_ms in 0..40 {
        if let Ok(picked) = table.pick(SERVICE, &[], &LIMITS, 10_000 * now_ms, || 0.5) {
            assert!(picked.id.starts_with('a'));
            table.finish(picked.key, AttemptOutcome::Failed, 10_000 * now_ms);
        }
    }
}

/// Guards against refusals that don't name the evacuation, and against those that do although another cause exists.
#[test]
fn refusal_names_the_evacuation_only_if_it_is_the_cause() {
    let mut table = table();
    table.set_evacuated(halls(&["hall-a", "hall-b"]));
    assert!(table.is_evacuated(SERVICE, 0));
    assert_eq!(pick(&mut table), Err(NoTarget::Evacuated));
    assert_eq!(table.pick("other", &[], &LIMITS, 0, || 0.5), Err(NoTarget::Absent));
    assert!(!table.is_evacuated("other", 0));
    table.apply(TargetInfo { is_leaving: true, ..info("a0", "hall-a") });
    assert_eq!(pick(&mut table), Err(NoTarget::Evacuated));
    table.set_evacuated(halls(&["hall-b"]));
    assert_eq!(pick(&mut table).unwrap().id, "a1");
}

/// Guards against an evacuation that stays in force after it ended, and against requests in flight that are forgotten.
#[test]
fn targets_are_picked_again_after_the_end_with_their_load() {
    let mut table = table();
    let (first, second) = (pick(&mut table).unwrap(), pick(&mut table).unwrap());
    table.set_evacuated(halls(&["hall-a"]));
    assert_eq!(table.own_loads().values().sum::<u32>(), 2, "requests in flight stay counted");
    table.finish(first.key, AttemptOutcome::Success, 0);
    table.set_evacuated(halls(&[]));
    table.record_evacuation_end("hall-a", 70);
    assert_eq!(table.evacuation_ended_ms("hall-a"), Some(70));
    assert_eq!(table.own_loads().values().sum::<u32>(), 1);
    table.finish(second.key, AttemptOutcome::Success, 0);
    assert!(pick(&mut table).unwrap().id.starts_with('a'));
}

/// Guards against passes and expert maps of a group that change with an evacuation: orders to ranks are not requests.
#[test]
fn evacuated_targets_stay_ranks_of_their_group() {
    let mut table = table();
    table.set_evacuated(halls(&["hall-b"]));
    assert_eq!(table.eligible(SERVICE, 0).len(), 4);
}

/// Guards against streams that are moved from a slow rank to an evacuated one.
#[test]
fn streams_are_not_moved_to_evacuated_ranks() {
    let limits = PickLimits { idle_load: 4.0, ..LIMITS };
    let moved_to = |evacuated: &[&str]| {
        let mut table = table();
        let slow = (0..SLOTS).map(|_| table.pick(SERVICE, &[], &limits, 0, || 0.0).unwrap());
        let slow: Vec<PickedTarget> = slow.collect();
        let slow = slow.iter().find(|it| it.id == "a0").unwrap();
        table.record_slow_ranks("host", BTreeMap::from([("a0".to_string(), 4.0)]), 0);
        table.set_evacuated(halls(evacuated));
        table.pick_migration(slow.key, &limits, 0, || 0.0).map(|it| it.id)
    };
    assert_eq!(moved_to(&["hall-b"]), Ok("a1".to_string()));
    assert!(moved_to(&["hall-a"]).unwrap().starts_with('b'));
    assert_eq!(moved_to(&["hall-a", "hall-b"]), Err(NoMigration::NotSlow));
}
