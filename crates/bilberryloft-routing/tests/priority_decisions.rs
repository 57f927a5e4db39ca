//! Decisions of admission by priority, each with the failure that it guards against.
#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;

use bilberryloft_routing::document::Document;
use bilberryloft_routing::document::Engine;
use bilberryloft_routing::document::RequestKind;
use bilberryloft_routing::document::Route;
use bilberryloft_routing::document::Service;
use bilberryloft_routing::document::Share;
use bilberryloft_routing::priority_admission::AdmissionRequest;
use bilberryloft_routing::priority_admission::Decision;
use bilberryloft_routing::priority_admission::GroupLoad;
use bilberryloft_routing::priority_admission::PriorityAdmission;
use bilberryloft_routing::priority_admission::bound::LoadBound;
use bilberryloft_routing::priority_admission::configuration::configurations;
use bilberryloft_routing::priority_admission::demand::PriorityDemand;
use bilberryloft_routing::routes::RouteTable;

const SLOTS: usize = 10;
const OBJECTIVE_MS: f64 = 150.0;

fn engine() -> Engine {
    Engine {
        slots: SLOTS,
        step_ms: 4.55,
        request_ms: 1.09,
        memory_tokens: None,
        usual_tokens: None,
        experts: None,
    }
}

fn pass_ms(load: f64, stretch: f64) -> f64 {
    5.0 * (4.55 + 1.09 * load) * stretch
}

/// Records passes of one length, with 20 pauses each, until `to_ms`; returns the bound then.
fn record(bound: &mut LoadBound, load: f64, pass_ms: f64, from_ms: u64, to_ms: u64) -> f64 {
    let mut now_ms = from_ms;
    while now_ms + (pass_ms as u64) < to_ms {
        now_ms += pass_ms as u64;
        (0..20).for_each(|_| bound.record(pass_ms, load, now_ms));
        bound.at(load, now_ms);
    }
    bound.at(load, to_ms)
}

/// Returns a bound that has settled at the usual load.
fn settled() -> (LoadBound, f64) {
    let mut bound = LoadBound::new(engine(), OBJECTIVE_MS);
    let settled = record(&mut bound, 6.5, pass_ms(6.5, 1.4), 0, 3_000);
    (bound, settled)
}

/// Guards against slots that are granted up to the batch size, at which all pauses are late.
#[test]
fn bound_falls_when_full_ranks_make_passes_late() {
    let (mut bound, before) = settled();
    let after = record(&mut bound, 9.0, pass_ms(9.0, 2.2), 3_000, 4_000);
    assert!(before > 7.0 && after < 8.5 && after < 9.0, "{before} {after}");
}

/// Guards against no limit at all when the limit would have to be low.
#[test]
fn bound_has_a_floor_when_passes_of_full_ranks_are_very_long() {
    let (mut bound, _) = settled();
    let after = record(&mut bound, 10.0, pass_ms(10.0, 6.0), 3_000, 6_000);
    assert!((4.0..=9.0).contains(&after), "{after}");
}

/// Guards against requests that are rejected without gain while one rank is slow: the ranks are not full, and no batch
/// would make the passes short.
#[test]
fn bound_is_not_lowered_by_a_slow_rank() {
    let (mut bound, before) = settled();
    let after = record(&mut bound, 6.0, 400.0, 3_000, 6_000);
    assert!(bound.is_disturbed(6_000) && after >= before, "{before} {after}");
}

/// Guards against a bound that stays low after the demand for experts has shifted for half a second.
#[test]
fn bound_recovers_within_a_second_after_a_shift() {
    let (mut bound, before) = settled();
    let during = record(&mut bound, 6.5, pass_ms(6.5, 2.8), 3_000, 3_500);
    assert!(during >= 5.5, "falls by one request at most: {during}");
    let after = record(&mut bound, 6.5, pass_ms(6.5, 1.4), 3_500, 4_500);
    assert!(after >= 0.75 * before && after >= 6.0, "{before} {during} {after}");
}

/// Guards against one stream with a slow caller that decides for all.
#[test]
fn bound_ignores_a_single_long_pause() {
    let (mut bound, before) = settled();
    bound.record(900.0, 8.0, 3_010);
    assert!(bound.at(6.5, 3_020) >= 0.95 * before);
}

/// Guards against a group that comes back and is filled at once, and against an entry that has just started and takes
/// nothing while the others run many.
#[test]
fn bound_without_passes_is_the_floor_or_what_runs() {
    let mut bound = LoadBound::new(engine(), OBJECTIVE_MS);
    assert!((bound.at(0.0, 100) - 4.0).abs() < 1e-9);
    assert!((bound.at(7.0, 200) - 8.0).abs() < 1e-9);
}

fn admission_request(priority: u8, elapsed_ms: f64) -> AdmissionRequest {
    let objective_ms = if priority == 2 { 1_000.0 } else { 500.0 };
    AdmissionRequest { priority, objective_ms, elapsed_ms, time_left_ms: 6_000.0 - elapsed_ms }
}

/// Returns the state of a group with 72 targets, a settled bound, and known times of requests.
fn admission(running: u32, now_ms: u64) -> PriorityAdmission {
    let mut admission = PriorityAdmission::new(engine(), OBJECTIVE_MS);
    admission.set_group(GroupLoad { targets: 72, running: 430, entries: 18 });
    for at_ms in (0..=now_ms).step_by(100) {
        (0..20).for_each(|_| admission.record_pause(100.0, at_ms));
        admission.bound(at_ms);
    }
    admission.record_first_event(200.0);
    admission.record_start(0, now_ms - 900);
    admission.record_end(0, Some(1_900.0));
    admission.record_report("other", BTreeMap::new(), now_ms);
    admission.set_group(GroupLoad { targets: 72, running, entries: 18 });
    admission
}

fn demand(waiting: u32, arrivals_per_s: u32) -> PriorityDemand {
    PriorityDemand { running: 100, waiting, arrivals_per_s }
}

const NOW_MS: u64 = 3_000;

/// Guards against slots that go to whoever asks first, so that urgent requests find none.
#[test]
fn room_is_kept_for_urgent_requests_that_arrive_elsewhere() {
    let mut admission = admission(550, NOW_MS);
    let bound = admission.inputs_for(&admission_request(0, 0.0), NOW_MS).bound;
    admission.set_group(GroupLoad { targets: 72, running: bound as u32 - 15, entries: 18 });
    let reports = BTreeMap::from([(0, demand(0, 92)), (1, demand(0, 121)), (2, demand(0, 40))]);
    admission.record_report("other", reports, NOW_MS);
    let starts =
        [0, 1, 2].map(|it| admission.decide(&admission_request(it, 0.0), NOW_MS, || 0.0).0);
    assert_eq!(starts[0], Decision::Start);
    assert_ne!(starts[2], Decision::Start);
}

/// Guards against an entry that starts less urgent requests while urgent ones wait elsewhere.
#[test]
fn less_urgent_request_does_not_start_while_urgent_ones_wait_elsewhere() {
    let mut admission = admission(450, NOW_MS);
    assert_eq!(admission.decide(&admission_request(2, 0.0), NOW_MS, || 0.0).0, Decision::Start);
    admission.record_report("other", BTreeMap::from([(0, demand(200, 0))]), NOW_MS);
    assert_ne!(admission.decide(&admission_request(2, 0.0), NOW_MS, || 0.0).0, Decision::Start);
}

/// Guards against a queue in which a waiting request holds up a more urgent one.
#[test]
fn waiting_request_does_not_hold_up_more_urgent_ones() {
    let mut admission = admission(400, NOW_MS);
    let waiting = admission.join(&admission_request(2, 0.0));
    assert_eq!(admission.decide(&admission_request(0, 0.0), NOW_MS, || 0.0).0, Decision::Start);
    let urgent = admission.join(&admission_request(0, 0.0));
    assert!(!admission.may_start(waiting, NOW_MS, || 0.0));
    assert!(admission.may_start(urgent, NOW_MS, || 0.0));
    admission.leave(urgent);
    assert!(admission.may_start(waiting, NOW_MS, || 0.0));
}

/// Guards against requests that have missed their objective going before those that can still meet it.
#[test]
fn late_request_waits_behind_those_of_its_priority_in_time() {
    let mut admission = admission(400, NOW_MS);
    let late = admission.join(&admission_request(1, 2_500.0));
    let timely = admission.join(&admission_request(1, 0.0));
    let next = admission.join(&admission_request(2, 0.0));
    assert!(
        admission.may_start(timely, NOW_MS, || 0.0) && !admission.may_start(late, NOW_MS, || 0.0)
    );
    admission.leave(timely);
    assert!(
        admission.may_start(late, NOW_MS, || 0.0) && !admission.may_start(next, NOW_MS, || 0.0)
    );
}

/// Guards against waits after which the first event is late, and against longer waits of a class with a longer objective
/// while it goes last.
#[test]
fn request_waits_only_if_it_can_still_meet_its_objective() {
    let mut admission = admission(720, NOW_MS);
    let all = BTreeMap::from([(0, demand(0, 92)), (1, demand(0, 121)), (2, demand(0, 360))]);
    admission.record_report("other", all, NOW_MS);
    for priority in [0, 1, 2] {
        let (decision, inputs) =
            admission.decide(&admission_request(priority, 0.0), NOW_MS, || 0.0);
        let max_ms = admission.wait_max_ms(&admission_request(priority, 0.0));
        assert!(max_ms <= admission_request(priority, 0.0).objective_ms - 200.0, "{max_ms}");
        assert_eq!(decision == Decision::Reject, inputs.expected_ms > max_ms, "{inputs:?}");
    }
    assert_eq!(admission.decide(&admission_request(2, 0.0), NOW_MS, || 0.0).0, Decision::Reject);
}

/// Guards against callers that all come back at once, before there is room, or later than they honour.
#[test]
fn rejected_callers_come_back_spread_by_priority() {
    let mut admission = admission(600, NOW_MS);
    let all = BTreeMap::from([(0, demand(0, 92)), (1, demand(0, 121)), (2, demand(0, 360))]);
    admission.record_report("other", all, NOW_MS);
    let mut mean_ms = [0.0; 3];
    for priority in [0, 1, 2] {
        let caller = admission_request(priority, 0.0);
        let inputs = admission.inputs_for(&caller, NOW_MS);
        let times: Vec<u64> = (0..40)
            .map(|it| admission.retry_after_ms(&caller, &inputs, NOW_MS, || f64::from(it) / 40.0))
            .collect();
        let (first, last) = (*times.iter().min().unwrap(), *times.iter().max().unwrap());
        assert!(last - first > 200 && last <= 2_000, "{times:?}");
        assert!(first as f64 >= inputs.expected_ms.min(900.0), "{inputs:?} {times:?}");
        mean_ms[usize::from(priority)] = times.iter().sum::<u64>() as f64 / 40.0;
    }
    assert!(mean_ms[0] <= mean_ms[2], "{mean_ms:?}");
    let hurried = AdmissionRequest { time_left_ms: 900.0, ..admission_request(2, 0.0) };
    let inputs = admission.inputs_for(&hurried, NOW_MS);
    assert!(admission.retry_after_ms(&hurried, &inputs, NOW_MS, || 0.99) <= 300);
}

/// Guards against a priority that gets nothing as long as more urgent requests fill the group.
#[test]
fn starved_priority_gets_a_turn() {
    let mut admission = admission(450, NOW_MS);
    admission.record_arrival(2, NOW_MS);
    admission.record_report("other", BTreeMap::from([(0, demand(300, 90))]), NOW_MS);
    assert_ne!(admission.decide(&admission_request(2, 0.0), NOW_MS, || 0.0).0, Decision::Start);
    let later_ms = NOW_MS + 2_000;
    (0..20).for_each(|_| admission.record_pause(100.0, later_ms));
    admission.record_report("other", BTreeMap::from([(0, demand(300, 90))]), later_ms);
    assert_eq!(admission.decide(&admission_request(2, 0.0), later_ms, || 0.0).0, Decision::Start);
    admission.record_start(2, later_ms);
    assert_ne!(admission.decide(&admission_request(2, 0.0), later_ms, || 0.0).0, Decision::Start);
}

/// Guards against an entry that is frozen, cut off or has just started and fills the group on its own.
#[test]
fn entry_that_hears_nobody_uses_its_part_of_the_bound() {
    let mut admission = PriorityAdmission::new(engine(), OBJECTIVE_MS);
    let mut started = 0;
    loop {
        admission.set_group(GroupLoad { targets: 72, running: started, entries: 16 });
        if admission.decide(&admission_request(0, 0.0), 100, || 0.0).0 != Decision::Start {
            break;
        }
        started += 1;
    }
    assert_eq!(started, 72 * 4 / 16);
}

fn table(routes: &[(u8, Option<u64>)]) -> RouteTable {
    let route = |it: (usize, &(u8, Option<u64>))| Route {
        name: format!("r{}", it.0),
        host: "depot.example".to_string(),
        path_prefix: format!("/{}/", it.0),
        kind: RequestKind::Stream,
        timeout_ms: 6_000,
        objective_ms: 500,
        gap_objective_ms: it.1.1,
        priority: it.1.0,
        shares: vec![Share { service: "writer".to_string(), weight: 1 }],
        attempts_max: 2,
        is_public: true,
        is_resumable: true,
    };
    let service = Service {
        name: "writer".to_string(),
        connections_max: 10,
        engine: Some(engine()),
        cold_start: None,
        distances: Vec::new(),
    };
    let routes = routes.iter().enumerate().map(route).collect();
    RouteTable::new(Document { version: 1, routes, services: vec![service], ..Document::default() })
}

/// Guards against a change for deployments with one priority or without an objective for pauses.
#[test]
fn configurations_need_several_priorities_and_an_objective() {
    assert!(configurations(&table(&[(1, Some(150)), (1, Some(150))])).is_empty());
    assert!(configurations(&table(&[(0, None), (1, None)])).is_empty());
    let found = configurations(&table(&[(0, Some(150)), (1, Some(120)), (2, None)]));
    assert_eq!(found.len(), 1);
    assert!((found[0].gap_objective_ms - 120.0).abs() < 1e-9);
}
