//! Which start of a target a call means that names only the target.

use bilberryloft_routing::target_starts::LATE_CALL_MS;
use bilberryloft_routing::target_starts::MeantStart;
use bilberryloft_routing::target_starts::TargetStarts;

fn uncertain(remaining_ms: u64) -> MeantStart {
    MeantStart::Uncertain { remaining_ms }
}

/// Guards against taking a late call of an earlier start for one of the present start.
#[test]
fn meant_start_is_uncertain_while_calls_of_earlier_starts_may_arrive() {
    let mut starts = TargetStarts::default();
    starts.record([("t", 2)].into_iter(), 1_000);
    assert_eq!(starts.meant_start("t", 2, 0, 1_000), uncertain(LATE_CALL_MS));
    starts.record([("t", 2), ("u", 5)].into_iter(), 2_000);
    assert_eq!(starts.meant_start("t", 2, 0, 10_999), uncertain(1));
    assert_eq!(starts.meant_start("t", 2, 0, 11_000), MeantStart::Present);
    assert_eq!(starts.meant_start("u", 5, 0, 11_000), uncertain(1_000));
}

/// Guards against counting the time for which a host was stalled as time in which it has read its calls.
#[test]
fn meant_start_is_uncertain_for_longer_after_a_stall() {
    let mut starts = TargetStarts::default();
    starts.record([("t", 2)].into_iter(), 0);
    assert_eq!(starts.meant_start("t", 2, 4_000, LATE_CALL_MS), uncertain(4_000));
    assert_eq!(starts.meant_start("t", 2, 4_000, LATE_CALL_MS + 4_000), MeantStart::Present);
}

#[test]
fn meant_start_is_uncertain_for_a_start_that_this_entry_has_just_learnt_of() {
    let mut starts = TargetStarts::default();
    starts.record([("t", 2)].into_iter(), 0);
    let now_ms = 60_000;
    assert_eq!(starts.meant_start("t", 3, 0, now_ms), uncertain(LATE_CALL_MS));
    starts.record([("t", 3)].into_iter(), now_ms);
    assert_eq!(starts.meant_start("t", 3, 0, now_ms + 1), uncertain(LATE_CALL_MS - 1));
    starts.record(std::iter::empty(), now_ms);
    assert_eq!(starts.meant_start("t", 3, 0, now_ms + LATE_CALL_MS), uncertain(LATE_CALL_MS));
}
