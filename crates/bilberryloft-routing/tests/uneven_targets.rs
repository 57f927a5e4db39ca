//! Simulates callers of targets of which some are slow, some slow down when they are busy, and some end their streams too
//! soon, and counts the requests that each target gets.
#![allow(clippy::unwrap_used)]

mod support;

use bilberryloft_routing::learned::AnswerSample;
use bilberryloft_routing::selection::PickLimits;
use bilberryloft_routing::targets::AttemptOutcome;
use bilberryloft_routing::targets::TargetTable;
use support::target_table;

const LIMITS: PickLimits = PickLimits {
    load_max: None,
    queue_max: 4,
    own_load_max: u32::MAX,
    idle_load: 0.0,
    entries: 1,
    memory: None,
};
/// Mean size of a stream, in bytes.
const STREAM_BYTES: f64 = 2_000.0;

/// How a target answers.
#[derive(Clone, Copy)]
struct Behaviour {
    /// Mean time of a request without others, in milliseconds.
    base_ms: f64,
    /// Time that each other request adds, in milliseconds.
    per_request_ms: f64,
    /// Part of its streams that a target sends before it ends them; 1.0 for a sound one.
    sent_share: f64,
}

const SOUND: Behaviour = Behaviour { base_ms: 80.0, per_request_ms: 0.0, sent_share: 1.0 };
const SLOW: Behaviour = Behaviour { base_ms: 400.0, ..SOUND };
const TRUNCATING: Behaviour = Behaviour { base_ms: 2.0, sent_share: 0.05, ..SOUND };
/// Slows down with each request as the others don't.
const SMALL: Behaviour = Behaviour { per_request_ms: 80.0, ..SOUND };

/// One request in flight.
struct Running {
    ends_ms: u64,
    started_ms: u64,
    key: bilberryloft_routing::selection::TargetKey,
    target: usize,
    load: u32,
    bytes: usize,
}

/// What callers saw.
struct Seen {
    requests: Vec<usize>,
    truncated: usize,
    mean_ms: f64,
}

impl Seen {
    fn share(&self, target: usize) -> f64 {
        self.requests[target] as f64 / self.requests.iter().sum::<usize>() as f64
    }
}

/// Runs callers, each of which sends its next request after the answer to the one before, for a time.
fn run(behaviours: &[Behaviour], callers: usize, duration_ms: u64, is_stream: bool) -> Seen {
    let mut table = target_table("t", behaviours.len(), 12);
    let mut random = fastrand::Rng::with_seed(11);
    let mut running: Vec<Running> = Vec::new();
    let mut seen = Seen { requests: vec![0; behaviours.len()], truncated: 0, mean_ms: 0.0 };
    let (mut sum_ms, mut answers) = (0.0, 0_u32);
    for now_ms in 0..duration_ms {
        let (ended, rest): (Vec<_>, Vec<_>) =
            running.into_iter().partition(|it| it.ends_ms <= now_ms);
        running = rest;
        for it in ended {
            let elapsed_ms = (now_ms - it.started_ms) as f64;
            let sample = AnswerSample {
                elapsed_ms,
                load: it.load,
                request_bytes: 100,
                answer_bytes: it.bytes,
                is_stream,
            };
            let outcome = table.record_answer(it.key, &sample, now_ms);
            table.finish(it.key, outcome, now_ms);
            seen.truncated += usize::from(outcome == AttemptOutcome::Truncated);
            (sum_ms, answers) = (sum_ms + elapsed_ms, answers + 1);
        }
        while running.len() < callers {
            let request = start(&mut table, behaviours, now_ms, &mut random);
            seen.requests[request.target] += 1;
            running.push(request);
        }
    }
    seen.mean_ms = sum_ms / f64::from(answers);
    seen
}

fn start(
    table: &mut TargetTable,
    behaviours: &[Behaviour],
    now_ms: u64,
    random: &mut fastrand::Rng,
) -> Running {
    let picked = table.pick("writer", &[], &LIMITS, now_ms, || random.f64()).unwrap();
    let target: usize = picked.id[1..].parse().unwrap();
    let behaviour = behaviours[target];
    // The length of a stream is exponentially distributed, and its time with it.
    let length = -(1.0 - random.f64()).ln();
    let time_ms = behaviour.base_ms + behaviour.per_request_ms * f64::from(picked.own_load);
    Running {
        ends_ms: now_ms + 1 + (time_ms * length) as u64,
        started_ms: now_ms,
        key: picked.key,
        target,
        load: picked.own_load + 1,
        bytes: (STREAM_BYTES * length * behaviour.sent_share) as usize,
    }
}

/// Guards against a target that always has the fewest requests in flight because it truncates its streams at once.
#[test]
fn target_that_ends_its_streams_too_soon_gets_few_requests() {
    let seen = run(&[SOUND, SOUND, SOUND, TRUNCATING], 8, 6_000, true);
    println!("truncating: {:?} of {:?}, {} found", seen.share(3), seen.requests, seen.truncated);
    assert!(seen.share(3) < 0.08, "{:?}", seen.requests);
    assert!(seen.truncated > 0);
}

/// Guards against long and short streams that a sound target sends being taken for truncated ones.
#[test]
fn sound_streams_of_different_lengths_count_as_sound() {
    let seen = run(&[SOUND; 8], 40, 60_000, true);
    assert!(seen.requests.iter().sum::<usize>() > 20_000, "{:?}", seen.requests);
    assert_eq!(seen.truncated, 0);
}

/// Guards against equal targets that get unequal shares because of what is learned by chance.
#[test]
fn equal_targets_get_equal_shares() {
    let seen = run(&[SOUND; 6], 18, 60_000, false);
    let shares = (0..6).map(|it| seen.share(it));
    assert!(shares.clone().all(|it| (it - 1.0 / 6.0).abs() < 0.02), "{:?}", seen.requests);
}

/// Guards against a slow target that has as many requests in flight as the others, and so the longest answers.
#[test]
fn slow_target_gets_its_share_and_no_more() {
    let seen = run(&[SOUND, SOUND, SOUND, SLOW], 12, 30_000, false);
    println!("slow: {:?} of {:?}, mean {} ms", seen.share(3), seen.requests, seen.mean_ms);
    // By its speed it could take 1 of 16 requests, with as many in flight as the others.
    assert!(seen.share(3) < 0.03, "{:?}", seen.requests);
    assert!(seen.requests[3] > 5, "it is still tried: {:?}", seen.requests);
    assert!(seen.mean_ms < 95.0, "{}", seen.mean_ms);
}

/// Guards against a target that slows down with its load being used as if it did not.
#[test]
fn target_that_slows_down_when_busy_is_not_kept_busy() {
    let seen = run(&[SOUND, SOUND, SOUND, SMALL], 16, 30_000, false);
    println!("small: {:?} of {:?}, mean {} ms", seen.share(3), seen.requests, seen.mean_ms);
    assert!(seen.mean_ms < 95.0, "{}", seen.mean_ms);
    assert!(seen.share(3) > 0.02, "{:?}", seen.requests);
}

/// Guards against a slow target that is never tried again after it has recovered.
#[test]
fn target_without_requests_counts_as_usual_again_after_some_time() {
    let mut table = target_table("t", 4, 12);
    let mut answer = |wanted: &str, elapsed_ms: f64, now_ms: u64| {
        let picked = (0..200).find_map(|_| {
            let picked = table.pick("writer", &[], &LIMITS, now_ms, fastrand::f64).unwrap();
            if picked.id == wanted {
                return Some(picked);
            }
            table.cancel(picked.key);
            None
        });
        let Some(picked) = picked else {
            return false;
        };
        let sample = AnswerSample {
            elapsed_ms,
            load: 1,
            request_bytes: 0,
            answer_bytes: 1,
            is_stream: false,
        };
        table.record_answer(picked.key, &sample, now_ms);
        table.finish(picked.key, AttemptOutcome::Success, now_ms);
        true
    };
    for number in 0..40 {
        for id in ["t0", "t1", "t2"] {
            assert!(answer(id, 20.0, number * 10));
        }
        answer("t3", 200.0, number * 10);
    }
    assert!(!answer("t3", 200.0, 700), "a slow target is not picked while others are idle");
    assert!(answer("t3", 20.0, 40_000), "it is tried again");
}
