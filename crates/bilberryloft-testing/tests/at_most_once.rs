//! Work that must not repeat runs at most once, whatever dies or is cut off meanwhile.
#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::time::Duration;

use bilberryloft_state::refusal::Reason;
use bilberryloft_state::refusal::RunState;
use bilberryloft_testing::caller::Caller;
use bilberryloft_testing::caller::Reply;
use bilberryloft_testing::engine::expected_answer;
use bilberryloft_testing::fleet::Fleet;
use bilberryloft_testing::links::Links;
use bilberryloft_testing::proxy::Fault;

/// Seed of the faults.
const SEED: u64 = 41;
/// Pieces of work.
const ADVISORIES: usize = 120;
/// Times that a caller sends one piece of work at most.
const SENDS_MAX: usize = 8;

fn depot(key: &str) -> Caller {
    Caller::new("depot-token")
        .with_header("bilberryloft-run", "at-most-once")
        .with_header("idempotency-key", key)
}

/// Everything that one caller heard about one piece of work.
#[derive(Debug)]
struct History {
    prompt: String,
    replies: Vec<Reply>,
}

impl History {
    fn is_answered(&self) -> bool {
        self.replies.iter().any(|it| it.is_complete)
    }

    fn was_never_run_by_its_word(&self) -> bool {
        let says_not_run =
            |it: &Reply| it.problem.as_ref().is_some_and(|problem| problem.run == RunState::NotRun);
        self.replies.iter().all(says_not_run)
    }
}

/// Sends one piece of work until it is answered or a refusal says that there is no use in more.
async fn send_until_answered(number: usize, entries: Vec<String>, is_claimed: bool) -> History {
    let prompt = format!("advisory-{number}");
    let caller = match is_claimed {
        true => depot(&prompt),
        false => Caller::new("depot-token").with_header("bilberryloft-run", "repeatable"),
    };
    let caller = caller.with_header("bilberryloft-deadline-ms", "6000");
    let mut replies = Vec::new();
    for send in 0..SENDS_MAX {
        let entry = &entries[(number + send) % entries.len()];
        let reply = caller.request_completion(entry, &prompt, number.is_multiple_of(2)).await;
        let is_final = reply.is_complete
            || reply.problem.as_ref().is_some_and(|it| {
                matches!(it.reason, Reason::AnswerGone | Reason::TargetFailed | Reason::Quarantined)
            });
        replies.push(reply);
        if is_final {
            break;
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    History { prompt, replies }
}

fn check(histories: &[History], runs: &BTreeMap<String, u64>) -> (usize, usize) {
    let (mut answered, mut refused) = (0, 0);
    for history in histories {
        let count = runs.get(&history.prompt).copied().unwrap_or(0);
        assert!(count <= 1, "{} ran {count} times: {:#?}", history.prompt, history.replies);
        for reply in history.replies.iter().filter(|it| it.is_complete) {
            assert_eq!(reply.text, expected_answer(&history.prompt, 8), "another request's answer");
        }
        if history.is_answered() {
            answered += 1;
            assert_eq!(count, 1, "{} was answered without a run", history.prompt);
        }
        if history.was_never_run_by_its_word() {
            refused += 1;
            assert_eq!(
                count, 0,
                "{} ran though it was refused as not run: {history:#?}",
                history.prompt
            );
        }
    }
    (answered, refused)
}

/// Sends all work while processes die and links are cut; returns what callers heard and what ran.
async fn send_under_faults(name: &str, is_claimed: bool) -> (Vec<History>, BTreeMap<String, u64>) {
    let mut fleet = Fleet::plan(name, 3, 2, 3);
    for number in 1..=3 {
        fleet.engine_settings_mut(&format!("engine-{number}")).first_token_ms = 60;
        fleet.engine_settings_mut(&format!("engine-{number}")).token_ms = 10;
    }
    let links = Links::interpose(&mut fleet).await;
    fleet.start_all();
    fleet.make_team().await;
    fleet.wait_until_ready().await;

    let entries = vec![fleet.entry_address(0), fleet.entry_address(1)];
    let mut callers = tokio::task::JoinSet::new();
    for number in 0..ADVISORIES {
        let entries = entries.clone();
        callers.spawn(async move {
            tokio::time::sleep(Duration::from_millis(50 * number as u64)).await;
            send_until_answered(number, entries, is_claimed).await
        });
    }
    let mut random = fastrand::Rng::with_seed(SEED);
    let victims = [
        "agent-1",
        "agent-2",
        "agent-3",
        "engine-2",
        "entry-1",
        "entry-2",
        "control-1",
        "control-2",
        "control-3",
    ];
    let mut histories = Vec::new();
    while !callers.is_empty() {
        let victim = victims[random.usize(0..victims.len())];
        match random.u32(0..4) {
            0 | 1 => {
                fleet.kill(victim);
                tokio::time::sleep(Duration::from_millis(random.u64(50..400))).await;
                fleet.start(victim);
            }
            2 => {
                links.set_daemon_faults(victim, Fault::Hold);
                tokio::time::sleep(Duration::from_millis(random.u64(100..900))).await;
                links.clear_faults();
            }
            _ => {
                links.set_fault("entries", "agent-1", Fault::Reset);
                tokio::time::sleep(Duration::from_millis(50)).await;
                links.clear_faults();
            }
        }
        tokio::time::sleep(Duration::from_millis(random.u64(100..500))).await;
        while let Some(history) = callers.try_join_next() {
            histories.push(history.unwrap());
        }
    }
    (histories, fleet.runs())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn advisories_run_at_most_once_under_kills_and_cuts() {
    let (histories, runs) = send_under_faults("at-most-once", true).await;
    let (answered, refused) = check(&histories, &runs);
    println!("{answered} of {ADVISORIES} answered, {refused} refused as not run");
    assert!(answered > ADVISORIES / 2, "too little was answered to prove anything: {answered}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn repeatable_work_runs_twice_under_the_same_faults() {
    let (_, runs) = send_under_faults("repeatable", false).await;
    let doubled = runs.values().filter(|it| **it > 1).count();
    assert!(doubled > 0, "the faults are too mild to tell claimed work from other work");
}

#[tokio::test]
async fn resend_joins_the_running_attempt_at_another_entry() {
    let mut fleet = Fleet::plan("resend-joins", 1, 2, 2);
    for number in 1..=2 {
        fleet.engine_settings_mut(&format!("engine-{number}")).first_token_ms = 600;
    }
    fleet.start_all();
    fleet.make_team().await;
    fleet.wait_until_ready().await;
    let caller = depot("offer-1");
    let (first, second) = (fleet.entry_address(0), fleet.entry_address(1));
    let sent = tokio::spawn({
        let caller = caller.clone();
        async move { caller.request_completion(&first, "offer", true).await }
    });
    tokio::time::sleep(Duration::from_millis(200)).await;
    let joined = caller.request_completion(&second, "offer", true).await;
    let original = sent.await.unwrap();
    assert!(original.is_complete && joined.is_complete, "{original:?} {joined:?}");
    assert_eq!(original.text, joined.text);
    let later = caller.request_completion(&second, "offer", true).await;
    assert_eq!(later.text, original.text, "the held answer");
    assert_eq!(fleet.runs()["offer"], 1);
}

#[tokio::test]
async fn key_with_another_body_is_refused_and_does_not_run() {
    let mut fleet = Fleet::plan("key-reused", 1, 1, 1);
    fleet.start_all();
    fleet.make_team().await;
    fleet.wait_until_ready().await;
    let caller = depot("offer-2");
    assert!(
        caller.request_completion(&fleet.entry_address(0), "one offer", false).await.is_complete
    );
    let problem = caller
        .request_completion(&fleet.entry_address(0), "another offer", false)
        .await
        .problem
        .unwrap();
    assert_eq!((problem.reason, problem.run), (Reason::KeyReused, RunState::NotRun));
    assert!(!fleet.runs().contains_key("another offer"));
}

#[tokio::test]
async fn late_copy_of_a_dispatch_does_not_start_after_the_work_moved() {
    let mut fleet = Fleet::plan("late-copy", 1, 2, 2);
    let links = Links::interpose(&mut fleet).await;
    fleet.start_all();
    fleet.make_team().await;
    fleet.wait_until_ready().await;
    let entry = fleet.entry_address(0);
    // Connections to both agents are made first, so that a dispatch can be on its way.
    for number in 0..20 {
        assert!(
            depot(&format!("warm-{number}"))
                .request_completion(&entry, &format!("warm-{number}"), false)
                .await
                .is_complete
        );
    }
    // The dispatch is held on its way, whichever target is picked.
    for agent in ["agent-1", "agent-2"] {
        links.set_fault("entries", agent, Fault::HoldToServer);
    }
    let caller = depot("moved").with_header("bilberryloft-deadline-ms", "1500");
    let first = caller.request_completion(&entry, "moved", false).await;
    assert!(!first.is_complete);
    assert_ne!(first.problem.unwrap().run, RunState::NotRun, "the dispatch may still arrive");
    links.clear_faults();
    let again = depot("moved").request_completion(&fleet.entry_address(1), "moved", false).await;
    assert!(again.is_complete || again.problem.is_some(), "{again:?}");
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert!(fleet.runs().get("moved").copied().unwrap_or(0) <= 1);
}

#[tokio::test]
async fn claims_unavailable_means_not_run() {
    let mut fleet = Fleet::plan("no-quorum", 3, 1, 1);
    fleet.start_all();
    fleet.make_team().await;
    fleet.wait_until_ready().await;
    let leader = fleet.leader().await;
    for number in 0..3 {
        if number != leader {
            fleet.kill(&format!("control-{}", number + 1));
        }
    }
    let reply = depot("no-quorum")
        .with_header("bilberryloft-deadline-ms", "2500")
        .request_completion(&fleet.entry_address(0), "no quorum", false)
        .await;
    let problem = reply.problem.unwrap();
    assert_eq!((problem.reason, problem.run), (Reason::ClaimsUnavailable, RunState::NotRun));
    assert!(problem.retry_after_ms > 0);
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert!(fleet.runs().is_empty());
}

#[tokio::test]
async fn resend_of_repeatable_work_finds_the_target_that_it_moved_to() {
    let mut fleet = Fleet::plan("moved-repeatable", 1, 1, 2);
    for number in 1..=2 {
        fleet.engine_settings_mut(&format!("engine-{number}")).first_token_ms = 800;
    }
    fleet.start_all();
    fleet.make_team().await;
    fleet.wait_until_ready().await;
    let keyed = Caller::new("depot-token").with_header("idempotency-key", "moved");
    let caller = keyed.with_header("bilberryloft-run", "repeatable");
    let entry = fleet.entry_address(0);
    let sent = tokio::spawn({
        let (caller, entry) = (caller.clone(), entry.clone());
        async move { caller.request_completion(&entry, "brief", false).await }
    });
    fleet.wait_for("the work to run", async || fleet.runs().contains_key("brief")).await;
    for number in 1..=2 {
        let ip = fleet.target_ips[number - 1].clone();
        let metrics =
            Caller::new("").send(&fleet.admin_address(&ip), "GET", "/metrics", "").await.text;
        if metrics.contains("bilberryloft_attempts_started_total 1") {
            fleet.kill(&format!("engine-{number}"));
        }
    }
    let first = sent.await.unwrap();
    assert!(first.is_complete, "{first:?}");
    assert_eq!(fleet.runs()["brief"], 2, "it was tried elsewhere");
    let again = caller.request_completion(&entry, "brief", false).await;
    assert!(again.is_complete, "{again:?}");
    assert_eq!(fleet.runs()["brief"], 2, "the resend gets the held answer");
}
