//! Targets that say in their answers that they are leaving, as this entry or another one has heard.
#![allow(clippy::unwrap_used)]

use bilberryloft_routing::selection::NoTarget;
use bilberryloft_routing::selection::PickLimits;
use bilberryloft_routing::targets::TargetInfo;
use bilberryloft_routing::targets::TargetTable;

const SERVICE: &str = "plain";
const LIMITS: PickLimits = PickLimits {
    load_max: None,
    queue_max: 0,
    own_load_max: 6,
    idle_load: 0.0,
    entries: 1,
    memory: None,
};

fn info(incarnation: u64, is_leaving: bool) -> TargetInfo {
    TargetInfo {
        id: "t".to_string(),
        incarnation,
        service: SERVICE.to_string(),
        address: "127.0.0.1:9000".to_string(),
        data_center: "hall-a".to_string(),
        slots: 6,
        is_leaving,
        is_announced: true,
        cold_for_ms: 0,
    }
}

fn table() -> TargetTable {
    let mut table = TargetTable::new("hall-a");
    table.apply(info(7, false));
    table
}

fn is_used(table: &mut TargetTable) -> bool {
    table.pick(SERVICE, &[], &LIMITS, 0, || 0.5).is_ok()
}

/// Guards against sending requests to a target that says in its answers that it leaves, while its announcements don't.
#[test]
fn target_that_says_leaving_is_not_picked() {
    let mut table = table();
    assert!(table.record_leaving("t", 7));
    assert_eq!(table.pick(SERVICE, &[], &LIMITS, 0, || 0.5), Err(NoTarget::Absent));
    table.apply(info(7, false));
    assert!(!is_used(&mut table));
    assert!(!table.record_leaving("t", 7), "told twice");
}

#[test]
fn restarted_target_is_picked_again() {
    let mut table = table();
    table.record_leaving("t", 7);
    table.apply(info(8, false));
    assert!(is_used(&mut table));
    // An entry that has not heard of the restart tells of the incarnation before.
    assert!(!table.record_leaving("t", 7));
    assert!(is_used(&mut table));
}

#[test]
fn other_entries_are_told_until_the_control_hosts_know() {
    let mut table = table();
    assert!(table.unrecorded_leaving().is_empty());
    table.record_leaving("t", 7);
    assert_eq!(table.unrecorded_leaving().into_iter().collect::<Vec<_>>(), [("t".to_string(), 7)]);
    table.apply(info(7, true));
    assert!(table.unrecorded_leaving().is_empty());
}
