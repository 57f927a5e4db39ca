//! A few targets of many that answer at once with an error, and what callers of many entries get meanwhile.
#![allow(clippy::unwrap_used)]

mod support;

use bilberryloft_routing::targets::PickBounds;
use bilberryloft_routing::targets::TargetBoard;
use bilberryloft_routing::targets::Verdict;

const BOUNDS: PickBounds =
    PickBounds { load_max: None, queue_max: 4, own_max: u32::MAX, idle_load: 13.0 };
/// Time that a sound target takes, in milliseconds.
const SOUND_MS: u64 = 1_200;
/// Time that a failing target takes, in milliseconds.
const FAILING_MS: u64 = 50;
/// Time between two words of an entry, in milliseconds.
const WORD_EVERY_MS: u64 = 120;

fn boards(entries: usize, targets: usize) -> Vec<TargetBoard> {
    (0..entries).map(|_| support::board("t", targets, 10)).collect()
}

fn tell_all(boards: &mut [TargetBoard], now_ms: u64) {
    for at in 0..boards.len() {
        let (loads, failing) = (boards[at].own_loads(), boards[at].own_failing(now_ms));
        for (_, board) in boards.iter_mut().enumerate().filter(|it| it.0 != at) {
            board.note_entry(&format!("e{at}"), loads.clone(), failing.clone(), now_ms);
        }
    }
}

/// Part of all requests that fail in some seconds in which the first `failing` targets fail, 3 ms between requests.
fn failed_part(entries: usize, targets: usize, failing: usize) -> f64 {
    let mut boards = boards(entries, targets);
    let mut running = Vec::new();
    let mut random = fastrand::Rng::with_seed(7);
    let (mut sent, mut failed) = (0_u32, 0_u32);
    for now_ms in (0..8_000_u64).step_by(3) {
        if now_ms % WORD_EVERY_MS < 3 {
            tell_all(&mut boards, now_ms);
        }
        let (ended, rest): (Vec<_>, Vec<_>) =
            running.into_iter().partition(|it: &(u64, _, _, _)| it.0 <= now_ms);
        running = rest;
        for (_, entry, key, verdict) in ended {
            let board: &mut TargetBoard = &mut boards[entry];
            board.finish(key, verdict, now_ms);
        }
        let entry = random.usize(0..entries);
        let picked = boards[entry].pick("writer", &[], &BOUNDS, now_ms, || random.f64()).unwrap();
        let number: usize = picked.id[1..].parse().unwrap();
        let fails = number < failing && now_ms > 2_000;
        let (time_ms, verdict) = match fails {
            true => (FAILING_MS, Verdict::Failed),
            false => (SOUND_MS, Verdict::Sound),
        };
        running.push((now_ms + time_ms, entry, picked.key, verdict));
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
    let mut boards = boards(1, 3);
    for number in 0..60 {
        let picked = boards[0].pick("writer", &[], &BOUNDS, number * 10, || 0.5).unwrap();
        boards[0].finish(picked.key, Verdict::Failed, number * 10);
    }
    assert!(boards[0].pick("writer", &[], &BOUNDS, 600, || 0.5).is_ok());
}

#[test]
fn failing_target_is_used_again_some_seconds_after_it_is_sound() {
    let mut boards = boards(1, 2);
    let board = &mut boards[0];
    for now_ms in 0..20 {
        let picked = board.pick("writer", &[], &BOUNDS, now_ms, || 0.5).unwrap();
        let verdict = if picked.id == "t0" { Verdict::Failed } else { Verdict::Sound };
        board.finish(picked.key, verdict, now_ms);
    }
    assert!(board.own_failing(20).contains_key("t0"));
    let later = (0..6).map(|_| board.pick("writer", &[], &BOUNDS, 12_000, || 0.5).unwrap().id);
    assert!(later.collect::<Vec<_>>().contains(&"t0".to_string()));
}

#[test]
fn failing_target_of_a_service_with_little_work_is_tried_ever_more_seldom() {
    let mut boards = boards(1, 3);
    let mut failed = [0, 0];
    for now_ms in (0..60_000_u64).step_by(1_000) {
        let picked = boards[0].pick("writer", &[], &BOUNDS, now_ms, || 0.5).unwrap();
        let fails = picked.id == "t0";
        failed[usize::from(now_ms >= 30_000)] += u32::from(fails);
        let verdict = if fails { Verdict::Failed } else { Verdict::Sound };
        boards[0].finish(picked.key, verdict, now_ms);
    }
    assert!(failed[0] <= 6 && failed[1] <= 3, "{failed:?}");
}
