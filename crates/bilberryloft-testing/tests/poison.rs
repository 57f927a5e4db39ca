//! Poison requests, which crash the target that runs them: each crashes at most two targets, and other requests that
//! were in flight at a crash still get answers.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use bilberryloft_state::refusal::Reason;
use bilberryloft_testing::caller::Caller;
use bilberryloft_testing::engine::CRASH_MARKER;
use bilberryloft_testing::fleet::Fleet;

/// Guards against a poison request that crashes one target after another when its caller resends it at different
/// entries: after at most two crashes it must be quarantined, while other requests are still answered.
#[tokio::test]
async fn poison_request_crashes_at_most_two_targets_across_entries_and_resends() {
    let mut fleet = Fleet::plan("poison", 1, 2, 4);
    fleet.start_all();
    fleet.make_team().await;
    fleet.wait_until_ready().await;
    let poison = format!("{CRASH_MARKER} offer");
    let mut last = None;
    for send in 0..8 {
        let reply = Caller::new("depot-token")
            .request_completion(&fleet.entry_address(send % 2), &poison, send % 2 == 0)
            .await;
        assert!(!reply.is_complete);
        last = reply.problem;
        tokio::time::sleep(Duration::from_millis(30)).await;
    }
    assert_eq!(last.unwrap().reason, Reason::Quarantined);
    assert!(fleet.runs()[&poison] <= 2, "{:?}", fleet.runs());
    let reply = Caller::new("depot-token")
        .request_completion(&fleet.entry_address(0), "a neighbour", false)
        .await;
    assert!(reply.is_complete, "{reply:?}");
}

/// Guards against requests that stay suspect because they were in flight when another request crashed their target: a
/// run without a crash must clear each of them.
#[tokio::test]
async fn suspect_is_cleared_by_a_run_without_a_crash() {
    let mut fleet = Fleet::plan("neighbour", 1, 1, 2);
    for number in 1..=2 {
        fleet.engine_settings_mut(&format!("engine-{number}")).tokens = 60;
        fleet.engine_settings_mut(&format!("engine-{number}")).token_ms = 20;
    }
    fleet.start_all();
    fleet.make_team().await;
    fleet.wait_until_ready().await;
    let entry = fleet.entry_address(0);
    let mut other_requests = tokio::task::JoinSet::new();
    for number in 0..6 {
        let entry = entry.clone();
        other_requests.spawn(async move {
            let prompt = format!("neighbour {number}");
            Caller::new("depot-token").request_completion(&entry, &prompt, false).await
        });
    }
    fleet.wait_for("all other requests to run", async || fleet.runs().len() == 6).await;
    let poison = format!("{CRASH_MARKER} advisory");
    Caller::new("depot-token").request_completion(&entry, &poison, false).await;
    for number in 1..=2 {
        if !fleet.processes.get_mut(&format!("engine-{number}")).unwrap().is_running() {
            fleet.start(&format!("engine-{number}"));
        }
    }
    while other_requests.join_next().await.is_some() {}
    for number in 0..6 {
        let prompt = format!("neighbour {number}");
        fleet
            .wait_for(&format!("{prompt} to be answered"), async || {
                Caller::new("depot-token")
                    .request_completion(&entry, &prompt, false)
                    .await
                    .is_complete
            })
            .await;
    }
}

/// Guards against a poison request that takes down more than two hosts when the agent dies with its engine and so
/// cannot report the crash.
#[tokio::test]
async fn poison_request_kills_at_most_two_hosts() {
    let mut fleet = Fleet::plan("host-poison", 1, 1, 4);
    for number in 1..=4 {
        fleet.engine_settings_mut(&format!("engine-{number}")).first_token_ms = 400;
    }
    fleet.start_all();
    fleet.make_team().await;
    fleet.wait_until_ready().await;
    // The test kills both the agent and the engine of each host that runs the request.
    let entry = fleet.entry_address(0);
    let sender = tokio::spawn(async move {
        let mut last = None;
        for _ in 0..6 {
            let reply =
                Caller::new("depot-token").request_completion(&entry, "kills hosts", false).await;
            let pause_ms = reply.problem.as_ref().map_or(0, |it| it.retry_after_ms);
            last = reply.problem;
            tokio::time::sleep(Duration::from_millis(pause_ms.max(3_500))).await;
        }
        last
    });
    let mut killed = 0;
    while !sender.is_finished() {
        tokio::time::sleep(Duration::from_millis(20)).await;
        let runs = fleet.runs().get("kills hosts").copied().unwrap_or(0);
        if runs > killed {
            killed = runs;
            for number in 1..=4 {
                let ip = fleet.target_ips[number - 1].clone();
                let metrics = Caller::new("")
                    .send(&fleet.admin_address(&ip), "GET", "/metrics", "")
                    .await
                    .text;
                if metrics.contains("bilberryloft_attempts_started_total 1") {
                    fleet.kill(&format!("engine-{number}"));
                    fleet.kill(&format!("agent-{number}"));
                }
            }
        }
    }
    let last = sender.await.unwrap().unwrap();
    assert!(killed <= 2, "{killed} hosts died");
    assert_eq!(last.reason, Reason::Quarantined, "{last:?}");
}
