//! Evacuations that an entry puts into force, and what it notes of those that have ended.
#![allow(clippy::unwrap_used)]

use std::sync::Arc;

use bilberryloft_daemon::evacuation::HeldEvacuations;
use bilberryloft_daemon::metrics::Metrics;
use bilberryloft_relay::evacuation::EvacuationTracker;
use bilberryloft_relay::services::Services;
use bilberryloft_state::evacuation::Evacuation;
use bilberryloft_state::evacuation::ListedEvacuation;

const HALL: &str = "hall-b";
/// Time of the entry at which it learns of the first list.
const NOW_MS: u64 = 100_000;

/// Returns the list of an order that was committed `age_ms` before the entry learns of it at `now_ms`.
fn held(is_evacuated: bool, version: u64, age_ms: u64, now_ms: u64) -> Arc<HeldEvacuations> {
    let state = Evacuation { is_evacuated, version, changed_ms: 10 * version };
    let listed = ListedEvacuation { data_center: HALL.to_string(), state, age_ms };
    Arc::new(HeldEvacuations::new(version, vec![listed], now_ms))
}

fn services() -> Services {
    Services::new("hall-a", Arc::new(Metrics::new().unwrap()))
}

fn ended_ms(services: &Services) -> Option<u64> {
    services.targets.lock().evacuation_ended_ms(HALL)
}

fn is_excluded(services: &Services) -> bool {
    services.targets.lock().evacuated().contains(HALL)
}

/// Guards against targets that became cold during an evacuation and are not taken for cold after it.
#[test]
fn end_of_an_evacuation_is_recorded_when_the_entry_learns_of_it() {
    let (tracker, services) = (EvacuationTracker::default(), services());
    tracker.apply(held(true, 1, 50, NOW_MS), &services, NOW_MS);
    assert!(is_excluded(&services));
    let later_ms = NOW_MS + 60_000;
    // The entry was cut off when the evacuation ended, and has sent nothing there until now.
    tracker.apply(held(false, 2, 40_000, later_ms), &services, later_ms);
    assert!(!is_excluded(&services));
    assert_eq!(ended_ms(&services), Some(later_ms));
}

/// Guards against an entry that has just started and takes targets for warm that others know to be cold, and against one
/// that takes them for cold long after the end.
#[test]
fn entry_that_has_just_started_learns_of_recent_ends() {
    for (age_ms, expected_ms) in [(2_000, Some(NOW_MS - 2_000)), (15_001, None)] {
        let (tracker, services) = (EvacuationTracker::default(), services());
        tracker.apply(held(false, 2, age_ms, NOW_MS), &services, NOW_MS);
        assert_eq!(ended_ms(&services), expected_ms, "{age_ms} ms");
    }
}

/// Guards against an end that is recorded anew because its order was sent again, and against lists that go back.
#[test]
fn repeated_and_older_lists_change_nothing() {
    let (tracker, services) = (EvacuationTracker::default(), services());
    tracker.apply(held(true, 1, 0, NOW_MS), &services, NOW_MS);
    tracker.apply(held(false, 2, 0, NOW_MS + 100), &services, NOW_MS + 100);
    let mut repeated = (*held(false, 3, 900, NOW_MS + 1_000)).clone();
    let state = &mut repeated.by_data_center.get_mut(HALL).unwrap().state;
    state.changed_ms = 20;
    tracker.apply(Arc::new(repeated), &services, NOW_MS + 1_000);
    tracker.apply(held(true, 1, 0, NOW_MS), &services, NOW_MS + 2_000);
    assert!(!is_excluded(&services));
    assert_eq!((tracker.version(), ended_ms(&services)), (3, Some(NOW_MS + 100)));
}

/// Guards against an evacuation that began and ended while the entry was cut off, of which it notes no end.
#[test]
fn evacuation_between_two_lists_is_noted() {
    let (tracker, services) = (EvacuationTracker::default(), services());
    tracker.apply(held(false, 2, 60_000, NOW_MS), &services, NOW_MS);
    tracker.apply(held(false, 4, 3_000, NOW_MS + 20_000), &services, NOW_MS + 20_000);
    assert_eq!(ended_ms(&services), Some(NOW_MS + 17_000));
}
