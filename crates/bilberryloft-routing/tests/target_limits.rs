//! Limits that targets name on the requests that they take from all entries together, at entries that tell each other,
//! start, end, freeze or are cut off.
#![allow(clippy::unwrap_used)]

mod support;

use std::collections::BTreeMap;

use bilberryloft_routing::limit_backlog::LimitBacklog;
use bilberryloft_routing::selection::NoTarget;
use bilberryloft_routing::selection::PickLimits;
use bilberryloft_routing::sharing_entries::Division;
use bilberryloft_routing::sharing_entries::Members;
use bilberryloft_routing::sharing_entries::SharingEntries;
use bilberryloft_routing::sharing_entries::own_part;
use bilberryloft_routing::target_limits::LimitObservation;
use bilberryloft_routing::target_limits::LimitReport;
use bilberryloft_routing::target_limits::LimitState;
use bilberryloft_routing::target_limits::LimitedWait;
use bilberryloft_routing::target_limits::TargetLimits;
use bilberryloft_routing::targets::TargetTable;

/// Window over which requests are counted, in milliseconds.
const WINDOW_MS: u64 = 4_000;
/// Step of the simulations, in milliseconds.
const STEP_MS: u64 = 10;
/// Interval at which entries hear each other, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 400;
/// Length of the simulations, in milliseconds.
const LENGTH_MS: u64 = 30_000;
const INCARNATION: u64 = 1;

const LIMITS: PickLimits = PickLimits {
    load_max: None,
    queue_max: 4,
    own_load_max: u32::MAX,
    idle_load: 0.0,
    entries: 1,
    memory: None,
};

fn observed(per_s: Option<f64>, sent_ms: u64) -> LimitObservation {
    LimitObservation { per_s, incarnation: INCARNATION, sent_ms }
}

/// Entry whose limits are divided among the entries that it hears.
struct Entry {
    name: String,
    sharing: SharingEntries,
    limits: TargetLimits,
    division: Division,
    members: Members,
}

impl Entry {
    fn new(number: usize) -> Entry {
        Entry {
            name: format!("entry-{number}"),
            sharing: SharingEntries::default(),
            limits: TargetLimits::default(),
            division: Division::Active,
            members: Members::default(),
        }
    }

    /// Divides the limits anew if other entries share them now.
    fn divide(&mut self, now_ms: u64) {
        let members = self.sharing.members(&self.name, self.division, now_ms).unwrap();
        if members != self.members {
            let part = |it: &str, parts_max: usize| own_part(&members, &self.name, it, parts_max);
            self.limits.divide(part, now_ms);
            self.members = members;
        }
    }

    /// Sends a request to a target if its limit allows that.
    fn try_send(&mut self, target: &str, now_ms: u64) -> bool {
        let may_send = self.limits.state(target, INCARNATION, now_ms).may_send();
        if may_send {
            self.limits.take(target, INCARNATION, now_ms);
        }
        may_send
    }
}

/// Whether an entry runs and hears the others at a time.
type IsUp = fn(entry: usize, now_ms: u64) -> bool;

/// Simulates entries that send as much as a target's limit allows; returns the times at which requests arrive.
fn arrivals(entries: usize, per_s: f64, is_up: IsUp) -> Vec<u64> {
    let mut all: Vec<Entry> = (0..entries).map(Entry::new).collect();
    let mut arrivals = Vec::new();
    for now_ms in (0..LENGTH_MS).step_by(STEP_MS as usize) {
        let up: Vec<usize> = (0..entries).filter(|it| is_up(*it, now_ms)).collect();
        let names: Vec<String> = up.iter().map(|it| all[*it].name.clone()).collect();
        for idx in up {
            let entry = &mut all[idx];
            entry.limits.observe("t", observed(Some(per_s), now_ms), now_ms);
            if now_ms % REPORT_INTERVAL_MS == 0 {
                let others = names.iter().filter(|it| **it != entry.name);
                others.for_each(|it| entry.sharing.record(it, now_ms));
                entry.divide(now_ms);
            }
            while entry.try_send("t", now_ms) {
                arrivals.push(now_ms);
            }
        }
    }
    arrivals
}

/// Returns the largest number of arrivals in a window.
fn largest_count(arrivals: &[u64]) -> usize {
    let count =
        |start: &u64| arrivals.iter().filter(|it| (*start..start + WINDOW_MS).contains(it)).count();
    arrivals.iter().map(count).max().unwrap_or(0)
}

fn allowed(per_s: f64) -> usize {
    (1.5 * per_s * WINDOW_MS as f64 / 1_000.0 + 5.0) as usize
}

fn always_up(_entry: usize, _now_ms: u64) -> bool {
    true
}

/// The first entry freezes for 5 s, the second leaves for good, and the third starts late.
fn comes_and_goes(entry: usize, now_ms: u64) -> bool {
    match entry {
        0 => !(8_000..13_000).contains(&now_ms),
        1 => now_ms < 15_000,
        2 => now_ms >= 20_000,
        _ => true,
    }
}

/// Guards against a burst from many entries with a part each, and against a limit that isn't used.
#[test]
fn limit_is_kept_and_used_by_any_number_of_entries() {
    for entries in [1, 2, 7, 60] {
        for per_s in [0.1, 1.0, 1.1, 5.0, 40.0] {
            let arrivals = arrivals(entries, per_s, always_up);
            let (most, used) = (largest_count(&arrivals), arrivals.len() as f64);
            assert!(most <= allowed(per_s), "{entries} entries, {per_s}/s: {most} in a window");
            let expected = per_s * LENGTH_MS as f64 / 1_000.0;
            assert!(used >= 0.7 * expected - 1.0, "{entries} entries, {per_s}/s: {used} used");
        }
    }
}

/// At the size that the design is for, a limit has as many parts as at any other size.
#[test]
fn limit_is_divided_into_few_parts_among_many_entries() {
    let members: Members = (0..320).map(|it| format!("entry-{it}")).collect();
    let holders = |target: &str| {
        members.iter().filter(|it| own_part(&members, it, target, 4).is_some()).count()
    };
    assert_eq!((holders("t1"), holders("t2")), (4, 4));
}

#[test]
fn limit_is_kept_while_entries_freeze_leave_and_start() {
    for entries in [3, 7, 30] {
        for per_s in [0.5, 1.0, 5.0] {
            let most = largest_count(&arrivals(entries, per_s, comes_and_goes));
            assert!(most <= allowed(per_s), "{entries} entries, {per_s}/s: {most} in a window");
        }
    }
}

/// Guards against two halves that each divide the whole limit: the one without a quorum keeps to the parts of before.
#[test]
fn entries_without_a_quorum_do_not_take_over_parts() {
    let mut entries: Vec<Entry> = (0..7).map(Entry::new).collect();
    for entry in &mut entries {
        (0..7).for_each(|it| entry.sharing.record(&format!("entry-{it}"), 0));
        entry.limits.observe("t", observed(Some(1.0), 0), 0);
        entry.divide(0);
    }
    let parts = |entries: &[Entry]| -> Vec<bool> {
        entries.iter().map(|it| it.limits.part("t").is_some()).collect()
    };
    let before = parts(&entries);
    assert_eq!(before.iter().filter(|it| **it).count(), 4);
    for entry in &mut entries {
        entry.division = Division::Known;
        entry.divide(10_000);
    }
    assert_eq!(parts(&entries), before);
}

#[test]
fn limit_that_is_lifted_or_changed_is_in_force_at_once() {
    let mut limits = TargetLimits::default();
    limits.observe("t", observed(Some(1.0), 0), 100);
    assert!(matches!(limits.state("t", INCARNATION, 100), LimitState::NoPart { .. }));
    // The answer to a request from before says nothing of now.
    assert_eq!(limits.observe("t", observed(None, 50), 150), None);
    let change = limits.observe("t", observed(Some(3.0), 140), 160).unwrap();
    assert_eq!((change.before, change.per_s), (Some(1.0), Some(3.0)));
    let change = limits.observe("t", observed(None, 170), 200).unwrap();
    assert_eq!((change.before, change.per_s), (Some(3.0), None));
    assert_eq!(limits.state("t", INCARNATION, 200), LimitState::Unlimited);
}

#[test]
fn limit_ends_with_the_incarnation_of_its_target() {
    let mut limits = TargetLimits::default();
    limits.observe("t", observed(Some(1.0), 0), 0);
    assert_eq!(limits.state("t", INCARNATION + 1, 0), LimitState::Unlimited);
    let older = LimitReport { per_s: Some(1.0), incarnation: INCARNATION, age_ms: 0 };
    limits.observe(
        "t",
        LimitObservation { incarnation: INCARNATION + 1, ..observed(Some(2.0), 5) },
        10,
    );
    assert_eq!(limits.merge("t", &older, 20), None);
    assert!(matches!(limits.state("t", INCARNATION + 1, 20), LimitState::NoPart { .. }));
}

/// Guards against an old report that brings back a limit which was lifted, and one that is missed by an entry which never
/// sent to the target.
#[test]
fn reports_of_other_entries_count_by_their_age() {
    let mut limits = TargetLimits::default();
    let report =
        |per_s: Option<f64>, age_ms: u64| LimitReport { per_s, incarnation: INCARNATION, age_ms };
    assert!(limits.merge("t", &report(Some(1.0), 100), 1_000).is_some());
    assert_eq!(limits.merge("t", &report(Some(2.0), 300), 1_050), None);
    assert!(limits.merge("t", &report(None, 10), 1_100).is_some());
    assert_eq!(limits.merge("t", &report(Some(1.0), 300), 1_200), None);
    assert_eq!(limits.limited_targets(), 0);
    limits.expire(20_000);
    assert!(limits.is_empty());
}

#[test]
fn reports_are_bounded_and_hold_the_latest_limits() {
    let mut limits = TargetLimits::default();
    for number in 0..2_600 {
        limits.observe(&format!("t{number}"), observed(Some(1.0), number), number);
    }
    let reports = limits.reports(2_600);
    assert_eq!(reports.len(), 128);
    assert!(reports.contains_key("t2599") && !reports.contains_key("t100"));
}

fn limited_table(targets: usize, per_s: &[f64]) -> TargetTable {
    let mut table = support::target_table("t", targets, 12);
    let incarnation = support::info("t", 0, 12).incarnation;
    for (number, per_s) in per_s.iter().enumerate() {
        let observed = LimitObservation { per_s: Some(*per_s), incarnation, sent_ms: 0 };
        table.limits.observe(&format!("t{number}"), observed, 0);
    }
    let own = ["own".to_string()].into();
    table.limits.divide(|it, parts_max| own_part(&own, "own", it, parts_max), 0);
    table
}

#[test]
fn pick_goes_round_a_target_that_has_reached_its_limit() {
    let mut table = limited_table(3, &[1.0]);
    let mut counts = BTreeMap::new();
    for step in 0..400 {
        let picked = table.pick("writer", &[], &LIMITS, step * 10, || 0.5).unwrap();
        *counts.entry(picked.id.clone()).or_insert(0) += 1;
        let outcome = bilberryloft_routing::targets::AttemptOutcome::Success;
        table.finish(picked.key, outcome, step * 10);
    }
    assert!((3..=4).contains(&counts["t0"]), "{counts:?}");
}

/// All targets have limits: what fits is sent, and the rest hears when the next one fits.
#[test]
fn pick_tells_the_wait_if_all_targets_have_reached_their_limits() {
    let mut table = limited_table(2, &[1.0, 4.0]);
    let wait = LimitedWait { has_part: true, first_ms: 250, interval_ms: 200 };
    assert_eq!(table.pick("writer", &[], &LIMITS, 0, || 0.5).unwrap_err(), NoTarget::Limited(wait));
    assert_eq!(table.limited_wait("writer", 0), Some(wait));
    let picked = table.pick("writer", &[], &LIMITS, 250, || 0.5).unwrap();
    assert_eq!(picked.id, "t1");
    // A request that is not sent does not count.
    table.cancel(picked.key);
    assert_eq!(table.pick("writer", &[], &LIMITS, 250, || 0.5).unwrap().id, "t1");
}

#[test]
fn refused_callers_come_back_one_after_the_other_the_more_urgent_first() {
    let wait = LimitedWait { has_part: true, first_ms: 300, interval_ms: 200 };
    let mut backlog = LimitBacklog::default();
    assert_eq!(backlog.refuse(3, wait, 0), 300);
    assert_eq!(backlog.refuse(3, wait, 0), 500);
    assert_eq!(backlog.refuse(1, wait, 0), 300);
    assert_eq!(backlog.refuse(5, wait, 0), 700);
    for _ in 0..100 {
        backlog.refuse(5, wait, 0);
    }
    assert_eq!(backlog.refuse(5, wait, 0), 5_000);
    assert_eq!(backlog.refuse(1, wait, 0), 500);
}

#[test]
fn less_urgent_requests_yield_but_are_not_starved() {
    let wait = LimitedWait { has_part: true, first_ms: 300, interval_ms: 200 };
    let mut backlog = LimitBacklog::default();
    assert!(!backlog.must_yield(5, 0));
    backlog.refuse(1, wait, 0);
    assert!(!backlog.must_yield(1, 10));
    let sent = (0..100).filter(|_| !backlog.must_yield(5, 10)).count();
    assert_eq!(sent, 25);
    assert!(!backlog.must_yield(5, 1_500));
}
