//! Simulates targets that fail every request immediately, and measures how many requests of all entries fail.
//!
//! Such targets finish their requests sooner than the others, so their load is always the lowest and they attract most
//! of the requests unless the entries eject them.
#![allow(clippy::unwrap_used)]

mod support;

use bilberryloft_routing::selection::PickLimits;
use bilberryloft_routing::targets::AttemptOutcome;
use bilberryloft_routing::targets::TargetTable;

const LIMITS: PickLimits = PickLimits {
    load_max: None,
    queue_max: 4,
    own_load_max: u32::MAX,
    idle_load: 13.0,
    entries: 1,
    memory: None,
};
/// Duration of a request at a healthy target, in milliseconds.
const HEALTHY_MS: u64 = 1_200;
/// Duration of a request at a failing target, in milliseconds.
const FAILING_MS: u64 = 50;
/// Time between two reports of an entry, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 120;

fn tables(entries: usize, targets: usize) -> Vec<TargetTable> {
    (0..entries).map(|_| support::target_table("t", targets, 10)).collect()
}

fn exchange_reports(tables: &mut [TargetTable], now_ms: u64) {
    for idx in 0..tables.len() {
        let (loads, failing) = (tables[idx].own_loads(), tables[idx].own_failure_rates(now_ms));
        for (_, table) in tables.iter_mut().enumerate().filter(|it| it.0 != idx) {
            table.record_entry(&format!("e{idx}"), loads.clone(), failing.clone(), now_ms);
        }
    }
}

/// Returns the share of failed requests in six seconds during which the first `failing` targets fail, with a request
/// every 3 ms.
fn failed_share(entries: usize, targets: usize, failing: usize) -> f64 {
    let mut tables = tables(entries, targets);
    let mut running = Vec::new();
    let mut random = fastrand::Rng::with_seed(7);
    let (mut sent, mut failed) = (0_u32, 0_u32);
    for now_ms in (0..8_000_u64).step_by(3) {
        if now_ms % REPORT_INTERVAL_MS < 3 {
            exchange_reports(&mut tables, now_ms);
        }
        let (ended, still_running): (Vec<_>, Vec<_>) =
            running.into_iter().partition(|it: &(u64, _, _, _)| it.0 <= now_ms);
        running = still_running;
        for (_, entry, key, outcome) in ended {
            let table: &mut TargetTable = &mut tables[entry];
            table.finish(key, outcome, now_ms);
        }
        let entry = random.usize(0..entries);
        let picked = tables[entry].pick("writer", &[], &LIMITS, now_ms, || random.f64()).unwrap();
        let number: usize = picked.id[1..].parse().unwrap();
        let fails = number < failing && now_ms > 2_000;
        let (duration_ms, outcome) = match fails {
            true => (FAILING_MS, AttemptOutcome::Failed),
            false => (HEALTHY_MS, AttemptOutcome::Success),
        };
        running.push((now_ms + duration_ms, entry, picked.key, outcome));
        sent += u32::from(now_ms > 2_000);
        failed += u32::from(fails);
    }
    f64::from(failed) / f64::from(sent)
}

#[test]
fn failing_targets_do_not_attract_requests() {
    let share = failed_share(17, 72, 4);
    assert!(share < 0.04, "{share}");
}

#[test]
fn targets_are_not_ejected_when_most_fail() {
    let mut tables = tables(1, 3);
    for number in 0..60 {
        let picked = tables[0].pick("writer", &[], &LIMITS, number * 10, || 0.5).unwrap();
        tables[0].finish(picked.key, AttemptOutcome::Failed, number * 10);
    }
    assert!(tables[0].pick("writer", &[], &LIMITS, 600, || 0.5).is_ok());
}

#[test]
fn failing_target_is_retried_after_some_seconds() {
    let mut tables = tables(1, 2);
    let table = &mut tables[0];
    for now_ms in 0..20 {
        let picked = table.pick("writer", &[], &LIMITS, now_ms, || 0.5).unwrap();
        let outcome =
            if picked.id == "t0" { AttemptOutcome::Failed } else { AttemptOutcome::Success };
        table.finish(picked.key, outcome, now_ms);
    }
    assert!(table.own_failure_rates(20).contains_key("t0"));
    let later = (0..6).map(|_| table.pick("writer", &[], &LIMITS, 12_000, || 0.5).unwrap().id);
    assert!(later.collect::<Vec<_>>().contains(&"t0".to_string()));
}

#[test]
fn failing_target_is_retried_at_growing_intervals_under_low_load() {
    let mut tables = tables(1, 3);
    let mut failed = [0, 0];
    for now_ms in (0..60_000_u64).step_by(1_000) {
        let picked = tables[0].pick("writer", &[], &LIMITS, now_ms, || 0.5).unwrap();
        let fails = picked.id == "t0";
        failed[usize::from(now_ms >= 30_000)] += u32::from(fails);
        let outcome = if fails { AttemptOutcome::Failed } else { AttemptOutcome::Success };
        tables[0].finish(picked.key, outcome, now_ms);
    }
    assert!(failed[0] <= 6 && failed[1] <= 3, "{failed:?}");
}
