//! Single cases of admission, attempts, retries, freshness, leases, and the choice of ranks and targets.
#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;

use bilberryloft_coordination::admission::Admission;
use bilberryloft_coordination::admission::AdmissionOutcome;
use bilberryloft_coordination::admission::SlotRequest;
use bilberryloft_coordination::attempts::AttemptState;
use bilberryloft_coordination::attempts::AttemptTable;
use bilberryloft_coordination::attempts::BeginOutcome;
use bilberryloft_coordination::attempts::RETENTION_MS;
use bilberryloft_coordination::attempts::VoidAnswer;
use bilberryloft_coordination::freshness::Freshness;
use bilberryloft_coordination::freshness::OnLostControl;
use bilberryloft_coordination::leases::EXPIRY_BATCH_MS;
use bilberryloft_coordination::leases::LeaseTable;
use bilberryloft_coordination::pick::Picker;
use bilberryloft_coordination::pick::TargetView;
use bilberryloft_coordination::rank_choice::RankChooser;
use bilberryloft_coordination::rank_choice::RankWork;
use bilberryloft_coordination::rank_choice::StepCosts;
use bilberryloft_coordination::retry::Failure;
use bilberryloft_coordination::retry::RetryBudget;
use bilberryloft_coordination::retry::RetryDecision;
use bilberryloft_coordination::retry::decide_retry;
use bilberryloft_state::key::TargetKey;
use bilberryloft_state::refusal::Reason;
use bilberryloft_state::refusal::RunState;
use quickcheck::Gen;
use quickcheck::QuickCheck;

fn slot_request(id: u64, team: &str, work_tokens: u64) -> SlotRequest {
    SlotRequest {
        id,
        team: team.to_string(),
        weight: 10,
        priority: 0,
        work_tokens,
        deadline_ms: 1_000_000,
        arrived_ms: 0,
        is_exclusive: false,
    }
}

/// Serves teams with a backlog, one request at a time, and returns the tokens served of each team.
fn serve_backlog(team_requests: &[(&str, u32, u64)], rounds: usize) -> BTreeMap<String, u64> {
    let mut admission = Admission::new(1, 100_000);
    let mut requests = BTreeMap::new();
    let mut id = 0;
    for (team, weight, work_tokens) in team_requests {
        for _ in 0..rounds {
            id += 1;
            let request = SlotRequest { weight: *weight, ..slot_request(id, team, *work_tokens) };
            requests.insert(id, request.clone());
            admission.request_slot(request);
        }
    }
    let mut served = BTreeMap::new();
    let mut running = 1;
    for _ in 0..rounds {
        let request: &SlotRequest = &requests[&running];
        *served.entry(request.team.clone()).or_insert(0) += request.work_tokens;
        running = admission.finish(running, 0).start[0];
    }
    served
}

#[test]
fn admission_shares_by_tokens_not_requests() {
    let served = serve_backlog(&[("large", 10, 1_000), ("small", 10, 100)], 1_000);
    let ratio = served["large"] as f64 / served["small"] as f64;
    assert!((0.95..1.05).contains(&ratio), "{served:?}");
}

#[test]
fn admission_shares_by_weight() {
    let served = serve_backlog(&[("heavy", 30, 100), ("light", 10, 100)], 1_000);
    let ratio = served["heavy"] as f64 / served["light"] as f64;
    assert!((2.85..3.15).contains(&ratio), "{served:?}");
}

#[test]
fn admission_serves_urgent_requests_first_without_starvation() {
    let mut admission = Admission::new(1, 10_000);
    admission.request_slot(slot_request(0, "running", 100));
    admission.request_slot(SlotRequest { priority: 9, ..slot_request(1, "patient", 100) });
    for id in 2..1_000 {
        admission.request_slot(slot_request(id, "urgent", 100));
    }
    let mut order = Vec::new();
    let mut running = 0;
    for _ in 0..900 {
        running = admission.finish(running, 0).start[0];
        order.push(running);
    }
    let position = order.iter().position(|it| *it == 1).unwrap();
    assert!(position > 10, "the urgent team is served first");
    assert!(position < 300, "the patient team is served while urgent work still waits: {position}");
}

#[test]
fn admission_full_queue_makes_room_for_a_team_below_its_share() {
    let mut admission = Admission::new(1, 10);
    for id in 0..11 {
        admission.request_slot(slot_request(id, "flood", 100));
    }
    assert_eq!(admission.request_slot(slot_request(20, "flood", 100)), AdmissionOutcome::Busy);
    assert_eq!(
        admission.request_slot(slot_request(21, "quiet", 100)),
        AdmissionOutcome::Wait { evicted: Some(10) }
    );
}

#[test]
fn admission_refuses_a_request_that_would_miss_its_deadline() {
    let mut admission = Admission::new(1, 10);
    admission.request_slot(slot_request(0, "a", 100));
    admission.request_slot(slot_request(1, "a", 100));
    assert_eq!(admission.finish(0, 10_000).start, [1]);
    // A token now takes 10 ms, so half of the running request and all of the new one take 1.5 s.
    let late = SlotRequest { deadline_ms: 11_400, arrived_ms: 10_000, ..slot_request(2, "a", 100) };
    assert_eq!(admission.request_slot(late.clone()), AdmissionOutcome::TooLate);
    let in_time = SlotRequest { deadline_ms: 11_600, ..late };
    assert_eq!(admission.request_slot(in_time), AdmissionOutcome::Wait { evicted: None });
}

#[test]
fn admission_refuses_a_queued_request_that_can_no_longer_meet_its_deadline() {
    let mut admission = Admission::new(1, 10);
    admission.request_slot(slot_request(0, "a", 100));
    admission.request_slot(SlotRequest { deadline_ms: 10_500, ..slot_request(1, "a", 100) });
    admission.request_slot(slot_request(2, "a", 100));
    let next = admission.finish(0, 10_000);
    assert_eq!((next.start, next.late), (vec![2], vec![1]));
    assert_eq!(admission.queued_tokens(), 0);
}

#[test]
fn admission_never_exceeds_its_slots() {
    fn property(operations: Vec<u8>) -> bool {
        let mut admission = Admission::new(3, 5);
        let mut running: Vec<u64> = Vec::new();
        let mut waiting: Vec<u64> = Vec::new();
        for (id, operation) in (0..).zip(operations) {
            let team = format!("team-{}", operation % 4);
            match operation % 3 {
                0 | 1 => {
                    match admission.request_slot(slot_request(id, &team, u64::from(operation) + 1))
                    {
                        AdmissionOutcome::Run => running.push(id),
                        AdmissionOutcome::Wait { evicted } => {
                            waiting.retain(|it| Some(*it) != evicted);
                            waiting.push(id);
                        }
                        AdmissionOutcome::Busy | AdmissionOutcome::TooLate => {}
                    }
                }
                _ if !running.is_empty() => {
                    let ended = running.remove(usize::from(operation) % running.len());
                    for next in admission.finish(ended, id).start {
                        waiting.retain(|it| *it != next);
                        running.push(next);
                    }
                }
                _ => {}
            }
            let counts_agree =
                admission.running() == running.len() && admission.queued() == waiting.len();
            let uses_all_slots = running.len() == 3 || waiting.is_empty();
            if running.len() > 3 || waiting.len() > 5 || !counts_agree || !uses_all_slots {
                return false;
            }
        }
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, 11))
        .tests(500)
        .quickcheck(property as fn(Vec<u8>) -> bool);
}

#[test]
fn admission_runs_a_suspect_alone() {
    let mut admission = Admission::new(3, 10);
    assert_eq!(admission.request_slot(slot_request(0, "a", 10)), AdmissionOutcome::Run);
    let suspect = SlotRequest { is_exclusive: true, ..slot_request(1, "a", 10) };
    assert_eq!(admission.request_slot(suspect), AdmissionOutcome::Wait { evicted: None });
    assert_eq!(
        admission.request_slot(slot_request(2, "a", 10)),
        AdmissionOutcome::Wait { evicted: None },
        "requests queue behind the suspect"
    );
    assert_eq!(admission.finish(0, 0).start, [1]);
    assert_eq!(
        admission.request_slot(slot_request(3, "b", 10)),
        AdmissionOutcome::Wait { evicted: None }
    );
    assert_eq!(admission.running(), 1);
    assert_eq!(admission.finish(1, 0).start.len(), 2);
}

#[test]
fn admission_continues_when_a_queued_suspect_is_withdrawn() {
    let mut admission = Admission::new(3, 10);
    admission.request_slot(slot_request(0, "a", 10));
    admission.request_slot(SlotRequest { is_exclusive: true, ..slot_request(1, "a", 10) });
    admission.request_slot(slot_request(2, "a", 10));
    assert!(admission.withdraw(1));
    assert_eq!(admission.start_waiting(0).start, [2]);
}

#[test]
fn attempt_starts_once() {
    let mut table = AttemptTable::new(5);
    assert_eq!(table.begin("e-1-1", 1, 5), BeginOutcome::Start);
    assert_eq!(table.begin("e-1-1", 1, 5), BeginOutcome::Duplicate(AttemptState::Running));
    table.end("e-1-1", 1, AttemptState::Finished, 0);
    assert_eq!(table.begin("e-1-1", 1, 5), BeginOutcome::Duplicate(AttemptState::Finished));
    assert_eq!(table.begin("e-1-1", 2, 5), BeginOutcome::Start);
}

#[test]
fn attempt_for_an_earlier_incarnation_never_starts() {
    let mut table = AttemptTable::new(5);
    assert_eq!(table.begin("e-1-1", 1, 4), BeginOutcome::WrongIncarnation);
    assert_eq!(table.void("e-1-1", 1, 4, 0), VoidAnswer::OtherIncarnation);
}

#[test]
fn attempt_voided_before_its_start_never_starts() {
    let mut table = AttemptTable::new(5);
    assert_eq!(table.void("e-1-1", 1, 5, 0), VoidAnswer::NotStarted);
    assert_eq!(table.begin("e-1-1", 1, 5), BeginOutcome::Voided);
}

#[test]
fn attempt_that_runs_is_not_voided() {
    let mut table = AttemptTable::new(5);
    table.begin("e-1-1", 1, 5);
    assert_eq!(table.void("e-1-1", 1, 5, 0), VoidAnswer::Running);
    table.end("e-1-1", 1, AttemptState::Failed, 0);
    assert_eq!(table.void("e-1-1", 1, 5, 0), VoidAnswer::Failed);
}

#[test]
fn attempt_forgotten_never_starts_again() {
    let mut table = AttemptTable::new(5);
    table.begin("e-1-10", 1, 5);
    table.end("e-1-10", 1, AttemptState::NotStarted, 0);
    table.begin("e-1-11", 1, 5);
    table.end("e-1-11", 1, AttemptState::Finished, RETENTION_MS + 1);
    assert_eq!(table.len(), 1, "the older attempt is forgotten");
    assert_eq!(table.begin("e-1-10", 1, 5), BeginOutcome::Forgotten);
    assert_eq!(table.begin("e-1-12", 1, 5), BeginOutcome::Start);
    assert_eq!(
        table.begin("f-1-3", 1, 5),
        BeginOutcome::Start,
        "another issuer has its own numbers"
    );
}

fn failure(run: RunState, idempotent: bool) -> Failure {
    Failure {
        reason: Reason::ContactLost,
        run,
        answer_started: false,
        idempotent,
        attempts: 1,
        time_left_ms: 1_000,
    }
}

#[test]
fn retry_of_non_idempotent_work_requires_that_it_did_not_run() {
    let mut budget = RetryBudget::default();
    assert_eq!(
        decide_retry(failure(RunState::NotRun, false), &mut budget),
        RetryDecision::TryElsewhere
    );
    assert_eq!(decide_retry(failure(RunState::Unknown, false), &mut budget), RetryDecision::GiveUp);
    assert_eq!(decide_retry(failure(RunState::Ran, false), &mut budget), RetryDecision::GiveUp);
    assert_eq!(
        decide_retry(failure(RunState::Unknown, true), &mut budget),
        RetryDecision::TryElsewhere
    );
}

#[test]
fn retry_is_not_made_after_the_answer_started() {
    let started = Failure { answer_started: true, ..failure(RunState::Ran, true) };
    assert_eq!(decide_retry(started, &mut RetryBudget::default()), RetryDecision::GiveUp);
}

#[test]
fn retry_budget_bounds_added_load() {
    let mut budget = RetryBudget::default();
    let mut retries = 0;
    for _ in 0..10_000 {
        budget.earn();
        if decide_retry(failure(RunState::NotRun, true), &mut budget) == RetryDecision::TryElsewhere
        {
            retries += 1;
        }
    }
    assert!(retries <= 2_051, "{retries}");
}

#[test]
fn freshness_counts_from_the_request() {
    let mut freshness = Freshness::new(1_000, OnLostControl::StandDown);
    assert!(!freshness.may_serve(0));
    freshness.confirm(100);
    assert!(freshness.may_serve(1_100));
    assert!(!freshness.may_serve(1_101));
    freshness.confirm(50);
    assert!(
        !freshness.may_serve(1_101),
        "a late answer to an old request does not renew the confirmation"
    );
}

#[test]
fn freshness_can_be_set_to_keep_serving() {
    let mut freshness = Freshness::new(1_000, OnLostControl::Serve);
    assert!(!freshness.may_serve(0), "a daemon without a configuration does not serve");
    freshness.confirm(0);
    assert!(freshness.may_serve(1_000_000));
}

/// Guards against targets without a lease: a leader may be elected before it has applied the log entries that name the
/// targets.
#[test]
fn leases_are_granted_to_targets_that_a_leader_learns_of_late() {
    let mut leases = LeaseTable::new(1_000);
    leases.start_term([], 0);
    leases.grant_missing([("gone".to_string(), 1), ("alive".to_string(), 1)], 500);
    leases.renew("alive", 1, 1_400);
    // A target that has a lease gets no new one.
    leases.grant_missing([("gone".to_string(), 1), ("alive".to_string(), 1)], 1_400);
    assert!(leases.take_expired(1_500).is_empty(), "expiries are batched first");
    assert_eq!(leases.take_expired(1_500 + EXPIRY_BATCH_MS), [("gone".to_string(), 1)]);
}

#[test]
fn leases_of_a_rack_expire_as_one_event() {
    let mut leases = LeaseTable::new(1_000);
    for number in 0..40 {
        leases.renew(&format!("target-{number}"), 1, number * 5);
    }
    leases.renew("other", 1, 5_000);
    assert!(leases.take_expired(1_010).is_empty());
    assert_eq!(leases.take_expired(1_010 + EXPIRY_BATCH_MS).len(), 40);
    assert_eq!(leases.len(), 1);
}

#[test]
fn leases_renewed_within_the_batch_window_do_not_expire() {
    let mut leases = LeaseTable::new(1_000);
    leases.renew("slow", 1, 0);
    assert!(leases.take_expired(1_000).is_empty());
    leases.renew("slow", 1, 1_100);
    assert!(leases.take_expired(1_000 + EXPIRY_BATCH_MS).is_empty());
}

#[test]
fn leases_are_full_at_a_new_leader() {
    let mut leases = LeaseTable::new(1_000);
    leases.start_term([("a".to_string(), 1)], 50_000);
    assert!(leases.take_expired(50_500).is_empty());
    assert!(!leases.renew("a", 0, 50_600), "an earlier incarnation does not renew the lease");
}

fn work(prompt_tokens: u64) -> RankWork {
    RankWork { prompt_tokens, answer_tokens: 256 }
}

#[test]
fn rank_choice_spreads_the_work_of_requests() {
    let mut chooser = RankChooser::new(2, StepCosts::default());
    let long = chooser.place(work(30_000));
    chooser.note_prefilled(long, 30_000);
    let mut short = Vec::new();
    for _ in 0..10 {
        let rank = chooser.place(work(100));
        chooser.note_prefilled(rank, 100);
        short.push(rank);
    }
    assert!(short.iter().all(|it| *it != long), "{short:?}");
    chooser.end(long, 0, 30_000);
    assert_eq!(chooser.place(work(100)), long, "a request that has ended adds no load");
}

/// Records 200 forward passes in which rank 0 takes `factor` times as long as its load explains.
fn record_steps(chooser: &mut RankChooser, factor: f64) {
    for step in 0..200 {
        let base_us = 500.0 + f64::from(step % 7) * 3.0;
        chooser.note_step(&[
            base_us * factor + 160.0 * factor,
            base_us + 160.0,
            base_us + 400.0,
            base_us + 20.0,
        ]);
    }
}

#[test]
fn rank_choice_tells_a_slow_rank_from_a_loaded_one_and_reuses_it_after_recovery() {
    let mut chooser = RankChooser::new(4, StepCosts::default());
    // Places 8 requests on ranks 0 and 1, 20 on rank 2 and 1 on rank 3, which matches the times that `record_steps`
    // records.
    let mut placed = [0, 0, 0, 0];
    for _ in 0..200 {
        let rank = chooser.place(work(0));
        placed[rank] += 1;
        if placed[rank] > [8, 8, 20, 1][rank] {
            chooser.end(rank, 0, 0);
        }
    }
    record_steps(&mut chooser, 1.0);
    assert!(chooser.stragglers().is_empty(), "a loaded rank is not a slow one");
    record_steps(&mut chooser, 3.0);
    assert_eq!(chooser.stragglers(), [0]);
    let placed: Vec<usize> = (0..10).map(|_| chooser.place(work(100))).collect();
    assert!(!placed.contains(&0), "{placed:?}");
    placed.iter().for_each(|rank| chooser.end(*rank, 100, 0));
    record_steps(&mut chooser, 1.0);
    assert!(chooser.stragglers().is_empty(), "the rank has recovered");
}

fn target(name: &str) -> TargetView {
    TargetView::new(name, "", 1, 8)
}

#[test]
fn pick_follows_what_targets_offer() {
    let mut picker = Picker::new(1);
    let offers = |names: &[&str]| names.iter().map(|it| it.to_string()).collect::<Vec<String>>();
    let first = picker.upsert(target("a"), &offers(&["m", "n"]));
    assert_eq!(picker.upsert(target("a"), &offers(&["n"])), first, "an update keeps the key");
    assert!(picker.pick("m", 1, &[], 0).is_none());
    assert_eq!(picker.pick("n", 1, &[], 0).unwrap().key, first);
    assert!(picker.pick("n", 1, &[first], 0).is_none(), "a tried target is not picked again");
    picker.set_all_ineligible();
    assert!(picker.pick("n", 1, &[], 0).is_none());
    assert!(picker.is_offered("n") && !picker.is_offered("m"));
}

#[test]
fn pick_adds_own_dispatches_to_an_earlier_report() {
    let mut picker = Picker::new(1);
    for name in ["a", "b"] {
        let key = picker.upsert(target(name), &["m".to_string()]);
        picker.note_load(key, 0, 1_000);
    }
    let mut counts = std::collections::BTreeMap::new();
    for _ in 0..8 {
        let key = picker.pick("m", 0, &[], 1_000).unwrap().key;
        picker.note_dispatch(key);
        *counts.entry(key).or_insert(0) += 1;
    }
    assert_eq!(counts.values().copied().collect::<Vec<u32>>(), [4, 4]);
}

#[test]
fn pick_prefers_a_warm_target_until_it_is_loaded() {
    let mut picker = Picker::new(1);
    let keys: Vec<TargetKey> =
        ["a", "b"].map(|it| picker.upsert(target(it), &["m".to_string()])).to_vec();
    let warm = picker.pick("m", 77, &[], 1_000).unwrap().key;
    let other = if warm == keys[0] { keys[1] } else { keys[0] };
    picker.note_load(other, 0, 1_000);
    picker.note_load(warm, 2, 1_000);
    let pick = picker.pick("m", 77, &[], 1_000).unwrap();
    assert_eq!((pick.key, pick.rule), (warm, "warm_prefix"));
    picker.note_load(warm, 8, 1_000);
    assert_eq!(picker.pick("m", 77, &[], 1_000).unwrap().key, other);
}

#[test]
fn pick_uses_another_data_centre_only_under_load() {
    let mut picker = Picker::new(1);
    let near = picker.upsert(target("near"), &["m".to_string()]);
    let far = picker.upsert(TargetView { is_local: false, ..target("far") }, &["m".to_string()]);
    picker.note_load(near, 4, 1_000);
    assert_eq!(picker.pick("m", 0, &[], 1_000).unwrap().key, near);
    picker.note_load(near, 8, 1_000);
    assert_eq!(picker.pick("m", 0, &[], 1_000).unwrap().key, far);
    picker.penalize(far, 1_000);
    assert_eq!(picker.pick("m", 0, &[], 1_000).unwrap().key, near);
}
