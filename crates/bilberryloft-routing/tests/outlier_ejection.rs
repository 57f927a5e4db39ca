//! A few targets of many that answer at once with an error, and what callers of many entries get meanwhile.
#![allow(clippy::unwrap_used)]

mod support;

use bilberryloft_routing::targets::AttemptOutcome;
use bilberryloft_routing::targets::PickLimits;
use bilberryloft_routing::targets::TargetTable;

const LIMITS: PickLimits =
    PickLimits { load_max: None, queue_max: 4, own_load_max: u32::MAX, idle_load: 13.0 };
/// Time that a sound target takes, in milliseconds.
const SOUND_MS: u64 = 1_200;
/// Time that a failing target takes, in milliseconds.
const FAILING_MS: u64 = 50;
/// Time between two words of an entry, in milliseconds.
const WORD_EVERY_MS: u64 = 120;

fn tables(entries: usize, targets: usize) -> Vec<TargetTable> {
    (0..entries).map(|_| support::target_table("t", targets, 10)).collect()
}

fn tell_all(tables: &mut [TargetTable], now_ms: u64) {
    for at in 0..tables.len() {
        let (loads, failing) = (tables[at].own_loads(), tables[at].own_failure_rates(now_ms));
        for (_, table) in tables.iter_mut().enumerate().filter(|it| it.0 != at) {
            table.record_entry(&format!("e{at}"), loads.clone(), failing.clone(), now_ms);
        }
    }
}

/// Part of all requests that fail in some seconds in which the first `failing` targets fail, 3 ms between requests.
fn failed_part(entries: usize, targets: usize, failing: usize) -> f64 {
    let mut tables = tables(entries, targets);
    let mut running = Vec::new();
    let mut random = fastrand::Rng::with_seed(7);
    let (mut sent, mut failed) = (0_u32, 0_u32);
    for now_ms in (0..8_000_u64).step_by(3) {
        if now_ms % WORD_EVERY_MS < 3 {
            tell_all(&mut tables, now_ms);
        }
        let (ended, rest): (Vec<_>, Vec<_>) =
            running.into_iter().partition(|it: &(u64, _, _, _)| it.0 <= now_ms);
        running = rest;
        for (_, entry, key, outcome) in ended {
            let table: &mut TargetTable = &mut tables[entry];
            table.finish(key, outcome, now_ms);
        }
        let entry = random.usize(0..entries);
        let picked = tables[entry].pick("writer", &[], &LIMITS, now_ms, || random.f64()).unwrap();
        let number: usize = picked.id[1..].parse().unwrap();
        let fails = number < failing && now_ms > 2_000;
        let (time_ms, outcome) = match fails {
            true => (FAILING_MS, AttemptOutcome::Failed),
            false => (SOUND_MS, AttemptOutcome::Success),
        };
        running.push((now_ms + time_ms, entry, picked.key, outcome));
        sent += u32::from(now_ms > 2_000);
        failed += u32::from(fails);
    }
    f64::from(failed) / f64::from(sent)
}

#[test]
fn failing_targets_do_not_draw_the_work() {
    let part = failed_part(17, 72, 4);
    assert!(part < 0.04, "{part}");
}

#[test]
fn failing_targets_are_still_used_when_most_fail() {
    let mut tables = tables(1, 3);
    for number in 0..60 {
        let picked = tables[0].pick("writer", &[], &LIMITS, number * 10, || 0.5).unwrap();
        tables[0].finish(picked.key, AttemptOutcome::Failed, number * 10);
    }
    assert!(tables[0].pick("writer", &[], &LIMITS, 600, || 0.5).is_ok());
}

#[test]
fn failing_target_is_used_again_some_seconds_after_it_is_sound() {
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
fn failing_target_of_a_service_with_little_work_is_tried_ever_more_seldom() {
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
