//! Drained targets get no new requests, and daemons that shut down finish the requests in flight.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use bilberryloft_state::configuration::ChangeKind;
use bilberryloft_state::configuration::ChangeOutcome;
use bilberryloft_state::refusal::Reason;
use bilberryloft_state::refusal::RunState;
use bilberryloft_testing::caller::Caller;
use bilberryloft_testing::caller::Reply;
use bilberryloft_testing::engine::expected_answer;
use bilberryloft_testing::fleet::Fleet;
use bilberryloft_testing::links::Links;
use bilberryloft_testing::proxy::Fault;

/// Number of tokens of a long answer.
const TOKENS: u64 = 50;
/// An answer of about 16 MB, which no buffer of a connection holds, and the speed of the link that it takes.
const LARGE_ANSWER_TOKENS: u64 = 16_000;
const PROMPT_BYTES: usize = 1_000;
const LINK_BYTES_PER_S: u64 = 8_000_000;

fn drain(target: &str, draining: bool) -> ChangeKind {
    ChangeKind::SetTarget { name: target.to_string(), draining }
}

/// Starts callers that send requests with unique prompts until the returned tasks are dropped.
fn spawn_load(fleet: &Fleet, callers: usize) -> tokio::task::JoinSet<()> {
    let mut tasks = tokio::task::JoinSet::new();
    for number in 0..callers {
        let entries: Vec<String> =
            (0..fleet.entry_ips.len()).map(|it| fleet.entry_address(it)).collect();
        tasks.spawn(async move {
            let caller = Caller::new("depot-token").with_header("bilberryloft-deadline-ms", "3000");
            for round in 0_usize.. {
                let prompt = format!("load-{number}-{round}");
                caller.request_completion(&entries[round % entries.len()], &prompt, false).await;
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        });
    }
    tasks
}

/// Starts the fleet with a separate file of runs for each engine, and waits until it is ready.
async fn start_fleet(fleet: &mut Fleet) {
    for number in 1..=fleet.target_ips.len() {
        let runs = fleet.folder.path.join(format!("runs-{number}"));
        fleet.engine_settings_mut(&format!("engine-{number}")).runs_file = Some(runs);
    }
    fleet.start_all();
    fleet.make_team().await;
    fleet.wait_until_ready().await;
}

fn runs_at(fleet: &Fleet, number: usize) -> usize {
    let path = fleet.folder.path.join(format!("runs-{number}"));
    std::fs::read_to_string(path).unwrap_or_default().lines().count()
}

/// Guards against requests that still run at a drained target, and against a target that gets none after the drain has
/// ended.
#[tokio::test]
async fn drained_target_gets_no_new_requests() {
    let mut fleet = Fleet::plan("drain", 1, 2, 2);
    start_fleet(&mut fleet).await;
    let _load = spawn_load(&fleet, 6);
    fleet.wait_for("requests at target-1", async || runs_at(&fleet, 1) > 20).await;
    fleet.change_with_retry(drain("target-1", true)).await;
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    let (drained, other) = (runs_at(&fleet, 1), runs_at(&fleet, 2));
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    assert_eq!(runs_at(&fleet, 1), drained);
    assert!(runs_at(&fleet, 2) > other, "the other target must get new requests");
    fleet.change_with_retry(drain("target-1", false)).await;
    fleet.wait_for("requests at target-1 again", async || runs_at(&fleet, 1) > drained).await;
}

/// Drains a target whose agent and entry are both cut off from control, and returns the number of its runs that start
/// after the configuration lease of 4 s has expired.
async fn runs_after_cut_off_drain(name: &str, keeps_serving: bool) -> usize {
    let mut fleet = Fleet::plan(name, 3, 1, 1);
    for daemon in ["entry-1", "agent-1"] {
        if keeps_serving {
            fleet.settings_mut(daemon).on_lost_control =
                bilberryloft_coordination::freshness::OnLostControl::Serve;
        }
    }
    let links = Links::interpose(&mut fleet).await;
    start_fleet(&mut fleet).await;
    let _load = spawn_load(&fleet, 3);
    fleet.wait_for("requests at target-1", async || runs_at(&fleet, 1) > 20).await;
    links.set_daemon_faults("entry-1", Fault::Hold);
    for control in ["control-1", "control-2", "control-3"] {
        links.set_fault("agent-1", control, Fault::Hold);
    }
    fleet.change_with_retry(drain("target-1", true)).await;
    tokio::time::sleep(Duration::from_millis(4_500)).await;
    let after_expiry = runs_at(&fleet, 1);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    runs_at(&fleet, 1) - after_expiry
}

/// Guards against new runs at a drained target when neither the agent nor the entry can learn of the drain because both
/// are cut off from control: they must stop serving when their configuration lease expires.
#[tokio::test]
async fn drained_target_that_is_cut_off_stops_serving() {
    assert_eq!(runs_after_cut_off_drain("drain-cut-off", false).await, 0);
}

/// Guards against `drained_target_that_is_cut_off_stops_serving` passing for another reason than the expired lease:
/// with the setting to keep serving, the same target does run new requests.
#[tokio::test]
async fn drained_target_that_is_set_to_keep_serving_runs_new_requests() {
    assert!(
        runs_after_cut_off_drain("drain-serve-on", true).await > 0,
        "only the expired lease may stop new requests"
    );
}

/// Guards against new runs at a drained target when only the entry cannot reach control: the agent knows of the drain
/// and refuses the dispatches.
#[tokio::test]
async fn agent_refuses_when_the_entry_does_not_know_of_the_drain() {
    let mut fleet = Fleet::plan("drain-entry-cut", 1, 1, 2);
    let links = Links::interpose(&mut fleet).await;
    start_fleet(&mut fleet).await;
    let _load = spawn_load(&fleet, 4);
    fleet.wait_for("requests at target-1", async || runs_at(&fleet, 1) > 20).await;
    links.set_fault("entry-1", "control-1", Fault::Hold);
    fleet.change_with_retry(drain("target-1", true)).await;
    tokio::time::sleep(Duration::from_millis(800)).await;
    let drained = runs_at(&fleet, 1);
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    assert_eq!(
        runs_at(&fleet, 1),
        drained,
        "the agent refuses new requests although the entry does not know of the drain"
    );
}

/// Stops a daemon with SIGTERM while 6 requests run, and checks that all get complete answers, that a later request is
/// not taken, and that the process exits successfully.
async fn stop_during_streams(name: &str, daemon: &str) {
    let mut fleet = Fleet::plan(name, 1, 1, 1);
    let engine = fleet.engine_settings_mut("engine-1");
    engine.tokens = TOKENS;
    engine.token_ms = 20;
    start_fleet(&mut fleet).await;
    let mut callers = tokio::task::JoinSet::new();
    for number in 0..6 {
        let entry = fleet.entry_address(0);
        callers.spawn(async move {
            let prompt = format!("brief {number}");
            (
                prompt.clone(),
                Caller::new("depot-token")
                    .request_completion(&entry, &prompt, number % 2 == 0)
                    .await,
            )
        });
    }
    fleet.wait_for("all requests to run", async || runs_at(&fleet, 1) == 6).await;
    fleet.processes[daemon].signal("TERM");
    tokio::time::sleep(Duration::from_millis(100)).await;
    let late =
        Caller::new("depot-token").request_completion(&fleet.entry_address(0), "late", false).await;
    assert!(!late.is_complete, "a stopping daemon accepted a new request: {late:?}");
    while let Some(caller) = callers.join_next().await {
        let (prompt, reply) = caller.unwrap();
        assert!(reply.is_complete, "{reply:?}");
        assert_eq!(reply.text, expected_answer(&prompt, TOKENS));
    }
    let mut process = fleet.processes.remove(daemon).unwrap();
    assert_eq!(process.wait(Duration::from_secs(20)), Some(true));
    assert_eq!(runs_at(&fleet, 1), 6, "the late request did not run");
}

/// Guards against answers that are cut off when an entry shuts down.
#[tokio::test]
async fn stopping_entry_finishes_requests_in_flight() {
    stop_during_streams("stop-entry", "entry-1").await;
}

/// Guards against answers that are cut off when an agent shuts down.
#[tokio::test]
async fn stopping_agent_finishes_requests_in_flight() {
    stop_during_streams("stop-agent", "agent-1").await;
}

/// Guards against a refusal that is delayed until other requests are done or lacks the time after which to retry, and
/// against a drain that cuts off a running request: the only target is drained while a long request runs there.
#[tokio::test]
async fn refusal_is_immediate_and_says_when_to_retry() {
    let mut fleet = Fleet::plan("refusal", 1, 1, 1);
    let engine = fleet.engine_settings_mut("engine-1");
    engine.tokens = 400;
    engine.token_ms = 20;
    start_fleet(&mut fleet).await;
    let entry = fleet.entry_address(0);
    let long_request = tokio::spawn({
        let entry = entry.clone();
        async move { Caller::new("depot-token").request_completion(&entry, "long", true).await }
    });
    fleet.wait_for("the long request to run", async || runs_at(&fleet, 1) == 1).await;
    let outcome = fleet.change_with_retry(drain("target-1", true)).await;
    let ChangeOutcome::Accepted { version } = outcome else { panic!("{outcome:?}") };
    fleet.wait_for_version(version).await;
    // A second request with the same deadline is refused while the first is still being served.
    let reply = Caller::new("depot-token").request_completion(&entry, "refused", false).await;
    assert!(!long_request.is_finished(), "the refusal must not wait for the long request");
    let problem = reply.problem.unwrap();
    assert_eq!(problem.reason, Reason::TargetUnreachable);
    assert!(problem.retry_after_ms > 0);
    assert!(
        long_request.await.unwrap().is_complete,
        "a request that runs at a drained target must finish"
    );
}

/// Stops an entry whose time to stop is shorter than a request takes, and returns what its caller got.
async fn reply_of_stopped_entry(name: &str, is_streamed: bool) -> Reply {
    let mut fleet = Fleet::plan(name, 1, 1, 1);
    let engine = fleet.engine_settings_mut("engine-1");
    engine.tokens = TOKENS;
    engine.token_ms = 1_000;
    fleet.settings_mut("entry-1").shutdown_max_ms = 2_000;
    start_fleet(&mut fleet).await;
    let entry = fleet.entry_address(0);
    let request = tokio::spawn(async move {
        let caller = Caller::new("depot-token").with_header("bilberryloft-deadline-ms", "60000");
        caller.request_completion(&entry, "long", is_streamed).await
    });
    fleet.wait_for("the request to run", async || runs_at(&fleet, 1) == 1).await;
    fleet.processes["entry-1"].signal("TERM");
    let reply = request.await.unwrap();
    let mut process = fleet.processes.remove("entry-1").unwrap();
    assert_eq!(process.wait(Duration::from_secs(20)), Some(true));
    reply
}

/// Guards against a request that is cut off without an answer when the time of a stopping entry is over.
#[tokio::test]
async fn request_that_outlasts_the_stop_is_told_that_it_may_have_run() {
    let reply = reply_of_stopped_entry("stop-outlasting", false).await;
    let problem = reply.problem.unwrap_or_else(|| panic!("cut off: {:?}", reply.error));
    assert_eq!((reply.status, problem.run), (504, RunState::Unknown));
}

/// Guards against a stream that is cut off without a final event when the time of a stopping entry is over.
#[tokio::test]
async fn stream_that_outlasts_the_stop_ends_with_an_error_event() {
    let reply = reply_of_stopped_entry("stop-outlasting-stream", true).await;
    assert!(!reply.is_complete);
    let problem = reply.problem.unwrap_or_else(|| panic!("cut off: {:?}", reply.error));
    assert_eq!(problem.run, RunState::Unknown);
}

/// Guards against an answer that is cut off because its agent counts runs at the target, and not what its entry has still to
/// get over a slow link.
#[tokio::test]
async fn stopping_agent_sends_its_answers_to_their_ends_over_a_slow_link() {
    let mut fleet = Fleet::plan("stop-agent-slow", 1, 1, 1);
    let engine = fleet.engine_settings_mut("engine-1");
    engine.tokens = LARGE_ANSWER_TOKENS;
    engine.token_ms = 0;
    let links = Links::interpose(&mut fleet).await;
    start_fleet(&mut fleet).await;
    links.set_fault("entries", "agent-1", Fault::BytesPerS(LINK_BYTES_PER_S));
    let prompt = "p".repeat(PROMPT_BYTES);
    let (entry, sent) = (fleet.entry_address(0), prompt.clone());
    let caller = tokio::spawn(async move {
        Caller::new("depot-token").request_completion(&entry, &sent, false).await
    });
    fleet.wait_for("the request to run", async || runs_at(&fleet, 1) == 1).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert!(!caller.is_finished(), "the link isn't slow");
    fleet.processes["agent-1"].signal("TERM");
    let reply = caller.await.unwrap();
    assert!(reply.is_complete, "{:?} {:?}", reply.error, reply.problem);
    assert_eq!(reply.text.len(), expected_answer(&prompt, LARGE_ANSWER_TOKENS).len());
    let mut process = fleet.processes.remove("agent-1").unwrap();
    assert_eq!(process.wait(Duration::from_secs(20)), Some(true));
}
