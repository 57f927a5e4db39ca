//! Loss of one of three data centres: the others keep serving, and no request runs twice.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use bilberryloft_protocol::api::TargetRow;
use bilberryloft_testing::caller::Caller;
use bilberryloft_testing::engine::expected_answer;
use bilberryloft_testing::fleet::Fleet;

/// Number of requests sent around the time of the loss.
const REQUESTS: usize = 60;
/// Maximum number of times that a caller sends one request.
const SENDS_MAX: usize = 8;

fn at_most_once_caller(key: &str) -> Caller {
    let caller = Caller::new("depot-token").with_header("bilberryloft-run", "at-most-once");
    caller.with_header("idempotency-key", key).with_header("bilberryloft-deadline-ms", "6000")
}

async fn send_until_answered(prompt: String, entries: [String; 2]) -> (String, bool) {
    for send in 0..SENDS_MAX {
        let reply = at_most_once_caller(&prompt)
            .request_completion(&entries[send % 2], &prompt, true)
            .await;
        if reply.is_complete {
            assert_eq!(reply.text, expected_answer(&prompt, 8));
            return (prompt, true);
        }
        tokio::time::sleep(Duration::from_millis(150)).await;
    }
    (prompt, false)
}

/// Guards against requests that run twice, and against a quarter or more of them without an answer, when every role of
/// one data centre is killed while requests run; and against remaining data centres that refuse requests or changes
/// afterwards.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn loss_of_a_data_center_stops_neither_requests_nor_changes() {
    let mut fleet = Fleet::plan("data-center", 3, 3, 3);
    for number in 1..=3 {
        for role in ["control", "entry", "agent"] {
            fleet.settings_mut(&format!("{role}-{number}")).data_center = format!("dc-{number}");
        }
        fleet.engine_settings_mut(&format!("engine-{number}")).first_token_ms = 100;
    }
    fleet.start_all();
    fleet.make_team().await;
    fleet.wait_until_ready().await;
    let entries = [fleet.entry_address(0), fleet.entry_address(1)];
    let mut callers = tokio::task::JoinSet::new();
    for number in 0..REQUESTS {
        let entries = entries.clone();
        callers.spawn(async move {
            tokio::time::sleep(Duration::from_millis(30 * number as u64)).await;
            send_until_answered(format!("advisory-{number}"), entries).await
        });
    }
    tokio::time::sleep(Duration::from_millis(700)).await;
    for role in ["control", "entry", "agent", "engine"] {
        fleet.kill(&format!("{role}-3"));
    }
    let mut answered = 0;
    while let Some(caller) = callers.join_next().await {
        answered += usize::from(caller.unwrap().1);
    }
    assert!(fleet.runs().values().all(|it| *it == 1), "{:?}", fleet.runs());
    assert!(answered > REQUESTS * 3 / 4, "{answered} of {REQUESTS} answered");
    println!("{answered} of {REQUESTS} answered");

    let ip = fleet.entry_ips[0].clone();
    fleet
        .wait_for("the lost target to be marked unreachable", async || {
            let targets: Vec<TargetRow> =
                fleet.get(&ip, "/operator/targets").await.unwrap_or_default();
            targets.iter().any(|it| it.record.name == "target-3" && !it.record.reachable)
        })
        .await;
    for number in 0..20 {
        let prompt = format!("after-{number}");
        let reply = at_most_once_caller(&prompt)
            .request_completion(&entries[number % 2], &prompt, false)
            .await;
        assert!(reply.is_complete, "{reply:?}");
    }
    fleet.make_team().await;
    for role in ["control", "entry", "agent", "engine"] {
        fleet.start(&format!("{role}-3"));
    }
    fleet.wait_until_ready().await;
}
