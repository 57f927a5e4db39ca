//! Requests that must not repeat run at most once while processes are killed and links are cut.
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

/// Seed of the random faults.
const SEED: u64 = 41;
/// Number of requests.
const REQUESTS: usize = 120;
/// Maximum number of times that a caller sends one request.
const SENDS_MAX: usize = 8;

fn at_most_once_caller(key: &str) -> Caller {
    Caller::new("depot-token")
        .with_header("bilberryloft-run", "at-most-once")
        .with_header("idempotency-key", key)
}

/// All replies that a caller received to one request.
#[derive(Debug)]
struct History {
    prompt: String,
    replies: Vec<Reply>,
}

impl History {
    fn is_answered(&self) -> bool {
        self.replies.iter().any(|it| it.is_complete)
    }

    fn was_only_refused_as_not_run(&self) -> bool {
        let is_not_run =
            |it: &Reply| it.problem.as_ref().is_some_and(|problem| problem.run == RunState::NotRun);
        self.replies.iter().all(is_not_run)
    }
}

/// Sends a request until it is answered or a refusal is final.
async fn send_until_answered(number: usize, entries: Vec<String>, is_claimed: bool) -> History {
    let prompt = format!("advisory-{number}");
    let caller = match is_claimed {
        true => at_most_once_caller(&prompt),
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

/// Checks the replies against the runs; returns the number of answered requests and of those refused as not run.
fn check_histories(histories: &[History], runs: &BTreeMap<String, u64>) -> (usize, usize) {
    let (mut answered, mut refused) = (0, 0);
    for history in histories {
        let count = runs.get(&history.prompt).copied().unwrap_or(0);
        assert!(count <= 1, "{} ran {count} times: {:#?}", history.prompt, history.replies);
        for reply in history.replies.iter().filter(|it| it.is_complete) {
            assert_eq!(
                reply.text,
                expected_answer(&history.prompt, 8),
                "the answer belongs to another request"
            );
        }
        if history.is_answered() {
            answered += 1;
            assert_eq!(count, 1, "{} was answered without a run", history.prompt);
        }
        if history.was_only_refused_as_not_run() {
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

/// Sends all requests while processes are killed and links are cut; returns the replies and the number of runs of each
/// prompt.
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
    for number in 0..REQUESTS {
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

/// Guards against a claimed request that runs twice when an entry, agent, engine or control host is killed or cut off
/// between its dispatch and its answer and the caller resends it. Also checks that no reply contradicts the runs.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn claimed_requests_run_at_most_once_under_faults() {
    let (histories, runs) = send_under_faults("at-most-once", true).await;
    let (answered, refused) = check_histories(&histories, &runs);
    println!("{answered} of {REQUESTS} answered, {refused} refused as not run");
    assert!(
        answered > REQUESTS / 2,
        "too few requests were answered for a meaningful check: {answered}"
    );
}

/// Guards against faults that are too mild: without claims, the same faults must make some requests run twice.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn repeatable_requests_run_twice_under_the_same_faults() {
    let (_, runs) = send_under_faults("repeatable", false).await;
    let repeated = runs.values().filter(|it| **it > 1).count();
    assert!(
        repeated > 0,
        "no request without a claim ran twice, so the faults do not test the claims"
    );
}

/// Guards against a second run when a caller resends a request at another entry while the first attempt is running.
#[tokio::test]
async fn resend_joins_the_running_attempt_at_another_entry() {
    let mut fleet = Fleet::plan("resend-joins", 1, 2, 2);
    for number in 1..=2 {
        fleet.engine_settings_mut(&format!("engine-{number}")).first_token_ms = 600;
    }
    fleet.start_all();
    fleet.make_team().await;
    fleet.wait_until_ready().await;
    let caller = at_most_once_caller("offer-1");
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
    assert_eq!(later.text, original.text, "the resend gets the buffered answer");
    assert_eq!(fleet.runs()["offer"], 1);
}

/// Guards against a run or a wrong answer when an idempotency key is used again with another body.
#[tokio::test]
async fn reused_key_with_another_body_is_refused_and_does_not_run() {
    let mut fleet = Fleet::plan("key-reused", 1, 1, 1);
    fleet.start_all();
    fleet.make_team().await;
    fleet.wait_until_ready().await;
    let caller = at_most_once_caller("offer-2");
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

/// Guards against two runs when a dispatch is delayed on its link, the caller resends the request at another entry, and
/// the delayed dispatch arrives afterwards.
#[tokio::test]
async fn delayed_dispatch_does_not_start_a_second_run() {
    let mut fleet = Fleet::plan("late-copy", 1, 2, 2);
    let links = Links::interpose(&mut fleet).await;
    fleet.start_all();
    fleet.make_team().await;
    fleet.wait_until_ready().await;
    let entry = fleet.entry_address(0);
    // Opens connections to both agents first, so that a dispatch can be sent on them and held back.
    for number in 0..20 {
        assert!(
            at_most_once_caller(&format!("warm-{number}"))
                .request_completion(&entry, &format!("warm-{number}"), false)
                .await
                .is_complete
        );
    }
    // Holds back the dispatch to whichever target is picked.
    for agent in ["agent-1", "agent-2"] {
        links.set_fault("entries", agent, Fault::HoldToServer);
    }
    let caller = at_most_once_caller("moved").with_header("bilberryloft-deadline-ms", "1500");
    let first = caller.request_completion(&entry, "moved", false).await;
    assert!(!first.is_complete);
    assert_ne!(first.problem.unwrap().run, RunState::NotRun, "the dispatch may still arrive");
    links.clear_faults();
    let again = at_most_once_caller("moved")
        .request_completion(&fleet.entry_address(1), "moved", false)
        .await;
    assert!(again.is_complete || again.problem.is_some(), "{again:?}");
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert!(fleet.runs().get("moved").copied().unwrap_or(0) <= 1);
}

/// Guards against a request that runs without its claim when two of three control hosts are down.
#[tokio::test]
async fn request_does_not_run_without_a_quorum_for_its_claim() {
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
    let reply = at_most_once_caller("no-quorum")
        .with_header("bilberryloft-deadline-ms", "2500")
        .request_completion(&fleet.entry_address(0), "no quorum", false)
        .await;
    let problem = reply.problem.unwrap();
    assert_eq!((problem.reason, problem.run), (Reason::ClaimsUnavailable, RunState::NotRun));
    assert!(problem.retry_after_ms > 0);
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert!(fleet.runs().is_empty());
}

/// Guards against a third run when a repeatable request was retried at a second target because the first crashed, and
/// the caller then resends it with the same idempotency key.
#[tokio::test]
async fn resend_of_a_repeatable_request_finds_its_retry_at_another_target() {
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
    fleet.wait_for("the request to run", async || fleet.runs().contains_key("brief")).await;
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
    assert_eq!(fleet.runs()["brief"], 2, "it was retried at the other target");
    let again = caller.request_completion(&entry, "brief", false).await;
    assert!(again.is_complete, "{again:?}");
    assert_eq!(fleet.runs()["brief"], 2, "the resend gets the buffered answer");
}
