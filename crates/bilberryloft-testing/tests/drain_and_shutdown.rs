//! Targets that leave get no new work, and daemons that stop cut off nothing.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use bilberryloft_state::configuration::ChangeKind;
use bilberryloft_state::configuration::ChangeOutcome;
use bilberryloft_state::refusal::Reason;
use bilberryloft_testing::caller::Caller;
use bilberryloft_testing::engine::expected_answer;
use bilberryloft_testing::fleet::Fleet;
use bilberryloft_testing::links::Links;
use bilberryloft_testing::proxy::Fault;

/// Tokens of the long answers in these tests.
const TOKENS: u64 = 50;

fn drain(target: &str, draining: bool) -> ChangeKind {
    ChangeKind::SetTarget { name: target.to_string(), draining }
}

/// Starts callers that go on until the fleet is dropped, each request with a prompt of its own.
fn spawn_load(fleet: &Fleet, callers: usize) -> tokio::task::JoinSet<()> {
    let mut tasks = tokio::task::JoinSet::new();
    for number in 0..callers {
        let entries: Vec<String> =
            (0..fleet.entry_ips.len()).map(|it| fleet.entry_address(it)).collect();
        tasks.spawn(async move {
            let caller = Caller::new("depot-token").with_header("bilberryloft-deadline-ms", "3000");
            for turn in 0_usize.. {
                let prompt = format!("load-{number}-{turn}");
                caller.request_completion(&entries[turn % entries.len()], &prompt, false).await;
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        });
    }
    tasks
}

async fn started(fleet: &mut Fleet) {
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

#[tokio::test]
async fn drained_target_gets_no_new_work() {
    let mut fleet = Fleet::plan("drain", 1, 2, 2);
    started(&mut fleet).await;
    let _load = spawn_load(&fleet, 6);
    fleet.wait_for("work at target-1", async || runs_at(&fleet, 1) > 20).await;
    fleet.change_with_retry(drain("target-1", true)).await;
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    let (drained, other) = (runs_at(&fleet, 1), runs_at(&fleet, 2));
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    assert_eq!(runs_at(&fleet, 1), drained);
    assert!(runs_at(&fleet, 2) > other, "the other target goes on");
    fleet.change_with_retry(drain("target-1", false)).await;
    fleet.wait_for("work at target-1 again", async || runs_at(&fleet, 1) > drained).await;
}

/// Drains a target whose agent and entry are both cut off from control, and returns its new runs
/// later than the lease allows.
async fn runs_after_cut_off_drain(name: &str, serves_on: bool) -> usize {
    let mut fleet = Fleet::plan(name, 3, 1, 1);
    for daemon in ["entry-1", "agent-1"] {
        if serves_on {
            fleet.settings_mut(daemon).on_lost_control =
                bilberryloft_coordination::freshness::OnLostControl::Serve;
        }
    }
    let links = Links::interpose(&mut fleet).await;
    started(&mut fleet).await;
    let _load = spawn_load(&fleet, 3);
    fleet.wait_for("work at target-1", async || runs_at(&fleet, 1) > 20).await;
    links.set_daemon_faults("entry-1", Fault::Hold);
    for control in ["control-1", "control-2", "control-3"] {
        links.set_fault("agent-1", control, Fault::Hold);
    }
    fleet.change_with_retry(drain("target-1", true)).await;
    tokio::time::sleep(Duration::from_millis(4_500)).await;
    let later = runs_at(&fleet, 1);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    runs_at(&fleet, 1) - later
}

#[tokio::test]
async fn drained_target_that_is_cut_off_stands_down() {
    assert_eq!(runs_after_cut_off_drain("drain-cut-off", false).await, 0);
}

#[tokio::test]
async fn drained_target_that_is_told_to_serve_on_does() {
    assert!(
        runs_after_cut_off_drain("drain-serve-on", true).await > 0,
        "the cut must be what the lease answers"
    );
}

#[tokio::test]
async fn entry_that_can_not_reach_control_learns_through_the_agent() {
    let mut fleet = Fleet::plan("drain-entry-cut", 1, 1, 2);
    let links = Links::interpose(&mut fleet).await;
    started(&mut fleet).await;
    let _load = spawn_load(&fleet, 4);
    fleet.wait_for("work at target-1", async || runs_at(&fleet, 1) > 20).await;
    links.set_fault("entry-1", "control-1", Fault::Hold);
    fleet.change_with_retry(drain("target-1", true)).await;
    tokio::time::sleep(Duration::from_millis(800)).await;
    let drained = runs_at(&fleet, 1);
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    assert_eq!(runs_at(&fleet, 1), drained, "the agent binds itself, whatever the entry knows");
}

async fn stop_during_streams(name: &str, daemon: &str) {
    let mut fleet = Fleet::plan(name, 1, 1, 1);
    let engine = fleet.engine_settings_mut("engine-1");
    engine.tokens = TOKENS;
    engine.token_ms = 20;
    started(&mut fleet).await;
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
    fleet.wait_for("all work to run", async || runs_at(&fleet, 1) == 6).await;
    fleet.processes[daemon].signal("TERM");
    tokio::time::sleep(Duration::from_millis(100)).await;
    let late =
        Caller::new("depot-token").request_completion(&fleet.entry_address(0), "late", false).await;
    assert!(!late.is_complete, "a stopping daemon takes nothing new: {late:?}");
    while let Some(caller) = callers.join_next().await {
        let (prompt, reply) = caller.unwrap();
        assert!(reply.is_complete, "{reply:?}");
        assert_eq!(reply.text, expected_answer(&prompt, TOKENS));
    }
    let mut process = fleet.processes.remove(daemon).unwrap();
    assert_eq!(process.wait(Duration::from_secs(20)), Some(true));
    assert_eq!(runs_at(&fleet, 1), 6, "the late request did not run");
}

#[tokio::test]
async fn entry_that_stops_finishes_what_is_in_flight() {
    stop_during_streams("stop-entry", "entry-1").await;
}

#[tokio::test]
async fn agent_that_stops_finishes_what_is_in_flight() {
    stop_during_streams("stop-agent", "agent-1").await;
}

#[tokio::test]
async fn refusal_comes_at_once_and_says_when_to_come_back() {
    let mut fleet = Fleet::plan("refusal", 1, 1, 1);
    let engine = fleet.engine_settings_mut("engine-1");
    engine.tokens = 400;
    engine.token_ms = 20;
    started(&mut fleet).await;
    let entry = fleet.entry_address(0);
    let long = tokio::spawn({
        let entry = entry.clone();
        async move { Caller::new("depot-token").request_completion(&entry, "long", true).await }
    });
    fleet.wait_for("the long work to run", async || runs_at(&fleet, 1) == 1).await;
    let outcome = fleet.change_with_retry(drain("target-1", true)).await;
    let ChangeOutcome::Accepted { version } = outcome else { panic!("{outcome:?}") };
    fleet.wait_for_version(version).await;
    // A second caller with the same deadline is refused while the first is still being served.
    let reply = Caller::new("depot-token").request_completion(&entry, "refused", false).await;
    assert!(!long.is_finished(), "a refusal is never held back");
    let problem = reply.problem.unwrap();
    assert_eq!(problem.reason, Reason::TargetUnreachable);
    assert!(problem.retry_after_ms > 0);
    assert!(long.await.unwrap().is_complete, "what runs at a target that leaves ends whole");
}
