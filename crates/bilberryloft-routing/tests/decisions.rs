//! Target selection, retry budgets, batch limits, wait queues, event framing and group health under the load that each
//! of them is meant to handle.
#![allow(clippy::unwrap_used)]

mod support;

use std::collections::BTreeMap;

use bilberryloft_routing::batch_limit::PauseMeter;
use bilberryloft_routing::batch_limit::batch_limit;
use bilberryloft_routing::document::Engine;
use bilberryloft_routing::event_stream::EventFramer;
use bilberryloft_routing::event_stream::StreamFault;
use bilberryloft_routing::group_health::GroupHealth;
use bilberryloft_routing::load_exchange::TargetTag;
use bilberryloft_routing::retry_budget::BudgetLimits;
use bilberryloft_routing::retry_budget::RetryBudget;
use bilberryloft_routing::retry_budget::RetryPurpose;
use bilberryloft_routing::selection::NoTarget;
use bilberryloft_routing::selection::PickLimits;
use bilberryloft_routing::selection::TargetKey;
use bilberryloft_routing::selection::connection_share;
use bilberryloft_routing::targets::AttemptOutcome;
use bilberryloft_routing::targets::TargetInfo;
use bilberryloft_routing::targets::TargetTable;
use bilberryloft_routing::wait_queue::WaitQueue;
use quickcheck::quickcheck;

const LIMITS: PickLimits = PickLimits {
    load_max: None,
    queue_max: 4,
    own_load_max: u32::MAX,
    idle_load: 0.0,
    entries: 1,
    memory: None,
};

fn info(number: usize) -> TargetInfo {
    support::info("t", number, 12)
}

fn table(targets: usize) -> TargetTable {
    support::target_table("t", targets, 12)
}

fn pick(table: &mut TargetTable, now_ms: u64) -> Result<String, NoTarget> {
    table.pick("writer", &[], &LIMITS, now_ms, || 0.5).map(|it| it.id)
}

#[test]
fn pick_spreads_a_burst_evenly() {
    let mut table = table(16);
    let mut counts = BTreeMap::new();
    for _ in 0..160 {
        *counts.entry(pick(&mut table, 0).unwrap()).or_insert(0) += 1;
    }
    assert!(counts.values().all(|it| *it == 10), "{counts:?}");
}

#[test]
fn pick_counts_the_requests_of_other_entries() {
    let mut table = table(2);
    table.record_entry("other", [(TargetTag::of("t0"), 5)].into(), BTreeMap::new(), 0);
    for _ in 0..5 {
        assert_eq!(pick(&mut table, 0).unwrap(), "t1");
    }
    // The report of the other entry has expired.
    assert_eq!(table.expire_entries(2_000), 1);
    assert_eq!(pick(&mut table, 2_000).unwrap(), "t0");
}

#[test]
fn pick_fails_when_all_slots_are_taken() {
    let mut table = table(1);
    for _ in 0..16 {
        pick(&mut table, 0).unwrap();
    }
    assert_eq!(pick(&mut table, 0), Err(NoTarget::Full));
    assert_eq!(table.pick("nobody", &[], &LIMITS, 0, || 0.5).unwrap_err(), NoTarget::Absent);
}

/// Returns the largest number of connections to one of three targets when every entry sends as many requests as it
/// may.
fn max_connections_under_overload(entries: usize, connections_max: usize) -> u32 {
    let own_load_max = connection_share(connections_max, entries) as u32;
    let limits = PickLimits { own_load_max, ..LIMITS };
    let mut tables: Vec<TargetTable> = (0..entries).map(|_| table(3)).collect();
    for table in &mut tables {
        while table.pick("writer", &[], &limits, 0, || 0.5).is_ok() {}
    }
    let loads = tables.iter().flat_map(|it| it.own_loads());
    let mut sums: BTreeMap<TargetTag, u32> = BTreeMap::new();
    loads.for_each(|(id, load)| *sums.entry(id).or_default() += load);
    sums.into_values().max().unwrap()
}

/// Entries that do not divide a target's connections among them open more than the target accepts under overload.
#[test]
fn pick_keeps_overload_from_all_entries_within_the_connections_of_a_target() {
    for (entries, connections_max) in [(9, 56), (19, 75), (7, 110)] {
        let highest = max_connections_under_overload(entries, connections_max) as usize;
        assert!(highest <= connections_max, "{entries}: {highest} > {connections_max}");
        assert!(highest > connections_max / 2, "{entries}: {highest} uses too few");
    }
}

#[test]
fn pick_skips_a_leaving_target() {
    let mut table = table(2);
    table.apply(TargetInfo { is_leaving: true, ..info(0) });
    for _ in 0..8 {
        assert_eq!(pick(&mut table, 0).unwrap(), "t1");
    }
}

#[test]
fn pick_uses_an_unannounced_target_while_it_answers() {
    let mut table = table(1);
    let picked = table.pick("writer", &[], &LIMITS, 0, || 0.5).unwrap();
    table.finish(picked.key, AttemptOutcome::Success, 1_000);
    table.apply(TargetInfo { is_announced: false, ..info(0) });
    assert!(pick(&mut table, 2_000).is_ok());
    assert_eq!(pick(&mut table, 4_100), Err(NoTarget::Absent));
}

/// A restarted target may take over the address of another one, which is then still known by its old name.
#[test]
fn pick_excludes_a_target_whose_address_another_target_has() {
    let mut table = table(2);
    table.apply(TargetInfo { address: "10.0.0.0:80".to_string(), ..info(2) });
    let misdirected = loop {
        let picked = table.pick("writer", &[], &LIMITS, 0, || 0.5).unwrap();
        if picked.id == "t0" {
            break picked;
        }
    };
    table.finish(misdirected.key, AttemptOutcome::Misdirected, 0);
    for _ in 0..20 {
        assert_ne!(pick(&mut table, 1_000).unwrap(), "t0");
    }
}

#[test]
fn pick_backs_off_from_a_lost_target_and_returns_to_it() {
    let mut table = table(2);
    let first = table.pick("writer", &[], &LIMITS, 0, || 0.5).unwrap();
    table.finish(first.key, AttemptOutcome::Lost, 0);
    for _ in 0..4 {
        assert_ne!(pick(&mut table, 50).unwrap(), first.id);
    }
    assert_eq!(pick(&mut table, 150).unwrap(), first.id);
}

#[test]
fn pick_avoids_a_target_that_fails_part_of_its_requests() {
    let mut table = table(3);
    for round in 0..60 {
        let picked = table.pick("writer", &[], &LIMITS, round * 1_000, || 0.5).unwrap();
        let outcome =
            if picked.id == "t0" { AttemptOutcome::Failed } else { AttemptOutcome::Success };
        table.finish(picked.key, outcome, round * 1_000);
    }
    let mut picks_of_failing = 0;
    for round in 0..20 {
        let picked = table.pick("writer", &[], &LIMITS, 60_000 + round, || 0.5).unwrap();
        picks_of_failing += u32::from(picked.id == "t0");
        table.finish(picked.key, AttemptOutcome::Success, 60_000 + round);
    }
    assert!(picks_of_failing <= 1, "{picks_of_failing}");
}

#[test]
fn pick_uses_an_excluded_target_after_its_restart() {
    let mut table = table(1);
    let picked = table.pick("writer", &[], &LIMITS, 0, || 0.5).unwrap();
    table.finish(picked.key, AttemptOutcome::Misdirected, 0);
    assert_eq!(pick(&mut table, 10), Err(NoTarget::Absent));
    table.apply(TargetInfo { incarnation: 2, ..info(0) });
    assert!(pick(&mut table, 10).is_ok());
}

#[test]
fn budget_of_all_entries_together_stays_under_the_limit() {
    let limits = BudgetLimits { window_ms: 10_000, ratio: 0.2, slack: 94.0 };
    let entries = 7;
    let mut budgets = vec![RetryBudget::new(limits, 0); entries];
    let mut retries: Vec<u64> = Vec::new();
    let mut requests: Vec<u64> = Vec::new();
    // The worst case: every request fails and is retried as often as the budget allows.
    for now_ms in (0..40_000).step_by(12) {
        let budget = &mut budgets[(now_ms / 12) as usize % entries];
        budget.record_request(now_ms);
        requests.push(now_ms);
        while budget.try_take(RetryPurpose::Request, Some(entries), now_ms).is_allowed
            || budget.try_take(RetryPurpose::Group, Some(entries), now_ms).is_allowed
        {
            retries.push(now_ms);
        }
    }
    for from_ms in (0..30_000).step_by(250) {
        let count_in_window = |times: &[u64]| {
            times.iter().filter(|it| (from_ms..from_ms + 10_000).contains(*it)).count() as f64
        };
        let allowed = 0.2 * count_in_window(&requests) + 94.0;
        assert!(count_in_window(&retries) <= allowed, "{} > {allowed}", count_in_window(&retries));
    }
    assert!(retries.len() > 100, "the budget allows too few retries: {}", retries.len());
}

#[test]
fn budget_reserves_a_part_for_moving_streams_of_a_group() {
    let limits = BudgetLimits { window_ms: 10_000, ratio: 0.2, slack: 94.0 };
    let mut budget = RetryBudget::new(limits, 0);
    while budget.try_take(RetryPurpose::Request, Some(7), 0).is_allowed {}
    assert!(budget.try_take(RetryPurpose::Group, Some(7), 0).is_allowed);
}

/// Guards against a process that takes its part of the slack again after each start.
#[test]
fn budget_has_no_slack_until_the_window_of_the_process_before_is_over() {
    let limits = BudgetLimits { window_ms: 10_000, ratio: 0.2, slack: 94.0 };
    let mut budget = RetryBudget::new(limits, 15_000);
    (0..40).for_each(|_| budget.record_request(14_990));
    let mut take = |now_ms| budget.try_take(RetryPurpose::Request, Some(1), now_ms).is_allowed;
    assert_eq!((0..100).filter(|_| take(14_999)).count(), 4);
    assert_eq!((0..100).filter(|_| take(15_000)).count(), 47);
}

#[test]
fn events_are_split_only_at_their_ends() {
    let stream = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda";
    let mut framer = EventFramer::default();
    let mut forwarded = Vec::new();
    for byte in stream.bytes() {
        forwarded.extend(framer.push(&[byte]).unwrap());
    }
    assert_eq!(String::from_utf8(forwarded).unwrap(), "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    assert_eq!(framer.last_id(), Some(2));
    assert!(framer.has_partial());
    framer.begin_continuation();
    let rest = framer.push(b"id: 3\ndata: c\n\n").unwrap();
    assert_eq!(rest, b"id: 3\ndata: c\n\n");
    assert_eq!(framer.last_id(), Some(3));
}

#[test]
fn events_that_do_not_follow_the_last_one_are_not_forwarded() {
    for (after, events, expected) in [
        (Some(2), "id: 3\ndata: c\n\n", Ok(())),
        (Some(2), ": comment\n\nid: 5\ndata: e\n\n", Ok(())),
        (Some(2), "version: 4\nid: 3\ndata: c\n\ndata: no id\n\n", Ok(())),
        (None, "data: no id\n\n", Ok(())),
        (None, "id: 0\ndata: a\n\nid: 7\r\ndata: b\r\n\r\n", Ok(())),
        (Some(2), "id: 2\ndata: b\n\nid: 3\ndata: c\n\n", Err(StreamFault::OutOfOrder)),
        (Some(2), "id: 1\ndata: a\n\n", Err(StreamFault::OutOfOrder)),
        (None, "id: 4\ndata: a\n\nid: 4\ndata: a\n\n", Err(StreamFault::OutOfOrder)),
        (Some(2), "no such stream\n\n", Err(StreamFault::NoId)),
        (Some(2), "data: x\n\nid: 3\ndata: c\n\n", Err(StreamFault::NoId)),
    ] {
        let mut framer = EventFramer::after(after);
        let forwarded = framer.push(events.as_bytes());
        assert_eq!(forwarded.clone().map(|_| ()), expected, "{after:?}: {events:?}");
        if forwarded.is_err() {
            assert_eq!(framer.last_id(), after, "events that aren't forwarded don't count");
        }
    }
}

quickcheck! {
    fn events_stay_complete_for_any_chunk_sizes(chunk_lens: Vec<u8>) -> bool {
        let mut stream = Vec::new();
        for number in 1..20 {
            stream.extend(format!("id: {number}\ndata: {}\n\n", "x".repeat(number)).into_bytes());
        }
        let mut framer = EventFramer::default();
        let (mut forwarded, mut at) = (Vec::new(), 0);
        for chunk_len in chunk_lens.into_iter().chain(std::iter::repeat(7)) {
            let end = (at + usize::from(chunk_len).max(1)).min(stream.len());
            let complete = framer.push(&stream[at..end]).unwrap();
            if !(complete.is_empty() || complete.ends_with(b"\n\n")) {
                return false;
            }
            forwarded.extend(complete);
            at = end;
            if at == stream.len() {
                break;
            }
        }
        forwarded == stream && !framer.has_partial()
    }
}

fn engine() -> Engine {
    Engine {
        slots: 12,
        step_ms: 4.84,
        request_ms: 0.362,
        memory_tokens: None,
        usual_tokens: None,
        experts: None,
    }
}

/// Returns the length of a forward pass, which takes six engine steps, for a batch under uneven expert load.
fn pass_ms(load: f64, stretch: f64) -> f64 {
    6.0 * (4.84 + 0.362 * load) * stretch
}

#[test]
fn batch_limit_does_not_limit_short_passes() {
    assert_eq!(batch_limit(&engine(), 120.0, pass_ms(7.0, 1.1), 7.0), 12);
}

#[test]
fn batch_limit_brings_long_passes_under_the_objective() {
    for stretch in [2.2, 2.4, 2.6] {
        let limit = batch_limit(&engine(), 120.0, pass_ms(10.0, stretch), 10.0);
        assert!(limit < 12, "{limit}");
        assert!(pass_ms(f64::from(limit), stretch) <= 120.0, "{stretch}: {limit}");
        assert!(pass_ms(f64::from(limit) + 2.0, stretch) > 110.0, "{stretch}: {limit} is too low");
    }
}

#[test]
fn batch_limit_does_not_limit_when_no_batch_meets_the_objective() {
    assert_eq!(batch_limit(&engine(), 120.0, 400.0, 8.0), 12);
}

#[test]
fn pause_meter_follows_a_change_and_discards_old_pauses() {
    let mut meter = PauseMeter::default();
    (0..20).for_each(|it| meter.record(45.0, it * 45));
    assert!((meter.pause_ms(900).unwrap() - 45.0).abs() < 1.0);
    for pass in 1..=3 {
        (0..5).for_each(|stream| meter.record(110.0, 900 + pass * 110 + stream));
    }
    assert!(meter.pause_ms(1_250).unwrap() > 95.0, "{:?}", meter.pause_ms(1_250));
    assert_eq!(meter.pause_ms(5_000), None);
}

#[test]
fn wait_queue_orders_by_priority_then_arrival() {
    let mut queue = WaitQueue::default();
    let (first, second, urgent) = (queue.join(1), queue.join(1), queue.join(0));
    assert!(queue.is_first(urgent) && !queue.is_first(first));
    queue.leave(urgent);
    assert!(queue.is_first(first) && !queue.is_first(second));
    queue.leave(first);
    assert!(queue.is_first(second));
}

#[test]
fn wait_queue_estimates_the_wait_from_length_and_rate() {
    let mut queue = WaitQueue::default();
    assert!(queue.expected_wait_ms(1) > 1e6, "no request has finished yet");
    (0..200).for_each(|it| queue.record_finished(it * 50));
    let first_wait_ms = queue.expected_wait_ms(1);
    assert!((40.0..70.0).contains(&first_wait_ms), "{first_wait_ms}");
    for _ in 0..9 {
        queue.join(1);
    }
    let tenth_wait_ms = queue.expected_wait_ms(1);
    assert!((9.0..11.0).contains(&(tenth_wait_ms / first_wait_ms)), "{tenth_wait_ms}");
    assert!(queue.expected_wait_ms(0) < 2.0 * first_wait_ms, "urgent requests wait for others");
}

fn two_ranks() -> [TargetKey; 2] {
    let mut table = table(2);
    let mut pick =
        |tried: &[TargetKey]| table.pick("writer", tried, &LIMITS, 0, || 0.5).unwrap().key;
    let first = pick(&[]);
    [first, pick(&[first])]
}

/// Guards against refusing all requests to a group because one rank turns them away.
#[test]
fn group_does_not_count_as_down_while_one_rank_alone_refuses() {
    let mut group = GroupHealth::default();
    let [first, second] = two_ranks();
    for now_ms in 0..20 {
        assert!(!group.record_refusal(first, 1.0, 12, now_ms));
    }
    group.record_answer();
    assert!(!group.record_refusal(second, 1.0, 12, 20));
    assert!(group.may_send(21));
}

/// Guards against picking a target that refuses all requests, and so has few, again and again.
#[test]
fn target_that_refuses_all_requests_is_picked_less_and_less() {
    let mut table = table(2);
    let mut refused = 0;
    for now_ms in 0..2_000 {
        let picked = table.pick("writer", &[], &LIMITS, now_ms, || 0.5).unwrap();
        let outcome = match picked.id.as_str() {
            "t0" => AttemptOutcome::Full,
            _ => AttemptOutcome::Success,
        };
        refused += usize::from(outcome == AttemptOutcome::Full);
        table.finish(picked.key, outcome, now_ms);
    }
    assert!(refused <= 8, "{refused} requests in two seconds");
}

/// Returns how many requests find the group up again after one retry. The requests have a time limit of eight seconds
/// and arrive every 50 ms while the group is down for four seconds.
fn retries_after_outage(retry_after_ms: u64) -> usize {
    let down_until_ms = 4_000;
    let arrivals = (0..down_until_ms).step_by(50);
    arrivals.filter(|it| it + retry_after_ms >= down_until_ms).count()
}

/// Callers that retry after the usual short delay find a group still down and give up, and requests that all go to the
/// group anyway are refused one by one. So the entry only probes the group, and a longer retry delay must pay.
#[test]
fn group_that_is_down_is_probed_until_it_is_back() {
    let mut group = GroupHealth::default();
    let [first, second] = two_ranks();
    assert!(group.may_send(0));
    assert!(!group.record_refusal(first, 3.0, 12, 0));
    assert!(group.record_refusal(second, 3.0, 12, 0));
    let sent = (0..4_000).filter(|now_ms| group.may_send(*now_ms)).count();
    assert!((10..=16).contains(&sent), "{sent}");
    group.record_answer();
    assert!((4_000..4_010).all(|now_ms| group.may_send(now_ms)));
    assert!(retries_after_outage(2_400) > 3 * retries_after_outage(600));
}

#[test]
fn group_that_is_full_does_not_count_as_down() {
    let mut group = GroupHealth::default();
    let [first, second] = two_ranks();
    assert!(!group.record_refusal(first, 11.5, 12, 0));
    assert!(!group.record_refusal(second, 11.5, 12, 0));
    assert!(group.may_send(1));
}
