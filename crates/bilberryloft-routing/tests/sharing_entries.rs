//! How many entries share a bound over all entries.

use bilberryloft_routing::sharing_entries::Division;
use bilberryloft_routing::sharing_entries::SharingEntries;

const HOUR_MS: u64 = 3_600_000;

#[test]
fn entry_that_is_not_heard_for_an_hour_still_counts() {
    let mut entries = SharingEntries::default();
    assert_eq!(entries.count(0), 1);
    entries.record("a", 0);
    entries.record("b", 0);
    entries.record("a", HOUR_MS);
    assert_eq!(entries.count(HOUR_MS), 3);
    assert_eq!(entries.count(24 * HOUR_MS), 2);
    assert_eq!(entries.count(25 * HOUR_MS), 1);
}

#[test]
fn entries_are_bounded_and_the_latest_are_kept() {
    let mut entries = SharingEntries::default();
    for number in 0..2_000 {
        entries.record(&format!("e{number}"), number);
    }
    assert_eq!(entries.count(2_000), 1_025);
}

/// Guards against an entry that takes the connections of all entries to a target in the moment after its start.
#[test]
fn entry_that_has_heard_no_other_yet_assumes_many() {
    let mut entries = SharingEntries::default();
    assert_eq!(entries.count_from_start(1_000, 1_200), 16);
    // It hears no other: it is the only one.
    assert_eq!(entries.count_from_start(1_000, 1_800), 1);
    entries.record("a", 1_300);
    assert_eq!(entries.count_from_start(1_000, 1_310), 2);
}

/// Guards against an entry that starts inside a partition and divides a bound among its side only.
#[test]
fn entry_counts_those_that_others_have_heard() {
    let mut entries = SharingEntries::default();
    entries.record_known("a", 7, 0);
    assert_eq!((entries.heard_count(0), entries.count(0)), (2, 7));
    entries.record_known("a", 2, 400);
    assert_eq!(entries.count(400), 2);
}

/// Guards against a part that is computed among fewer entries than the others count: an entry that has started while
/// the quorum was away doesn't know those that others still count.
#[test]
fn entry_that_knows_of_fewer_than_others_has_no_part_without_a_quorum() {
    let mut entries = SharingEntries::default();
    entries.record_known("a", 3, 0);
    assert_eq!(entries.members("own", Division::Known, 0), None);
    assert_eq!(entries.members("own", Division::Active, 0).unwrap().len(), 2);
    entries.record_known("b", 3, 0);
    assert_eq!(entries.members("own", Division::Known, 0).unwrap().len(), 3);
}
