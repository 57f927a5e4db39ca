//! Each caller gets the complete answer to its own request or an error.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use bilberryloft_state::refusal::Reason;
use bilberryloft_state::refusal::RunState;
use bilberryloft_testing::caller::Caller;
use bilberryloft_testing::caller::ReplyStream;
use bilberryloft_testing::engine::expected_answer;
use bilberryloft_testing::fleet::Fleet;
use bilberryloft_testing::links::Links;
use bilberryloft_testing::proxy::Fault;

/// Number of tokens of a long answer.
const TOKENS: u64 = 60;

/// Starts a fleet whose engines take 1.2 s for a long answer: 60 tokens, 20 ms each.
async fn slow_fleet(name: &str, entries: usize, targets: usize) -> (Fleet, Links) {
    let mut fleet = Fleet::plan(name, 1, entries, targets);
    for number in 1..=targets {
        let engine = fleet.engine_settings_mut(&format!("engine-{number}"));
        engine.tokens = TOKENS;
        engine.token_ms = 20;
    }
    let links = Links::interpose(&mut fleet).await;
    fleet.start_all();
    fleet.make_team().await;
    fleet.wait_until_ready().await;
    (fleet, links)
}

/// Returns the body of a request for a streamed completion.
fn streamed_request(prompt: &str) -> String {
    format!("{{\"model\": \"forecast-writer\", \"prompt\": \"{prompt}\", \"stream\": true}}")
}

async fn open_stream(fleet: &Fleet, prompt: &str) -> ReplyStream {
    let caller = Caller::new("depot-token");
    let body = streamed_request(prompt);
    caller.open_stream(&fleet.entry_address(0), "POST", "/v1/completions", &body).await.unwrap()
}

/// Guards against a stream that ends inside an event and is passed on as complete.
#[tokio::test]
async fn stream_that_ends_inside_an_event_ends_with_an_error_event() {
    let mut fleet = Fleet::plan("inside-event", 1, 1, 1);
    fleet.engine_settings_mut("engine-1").ends_inside_event = true;
    fleet.start_all();
    fleet.make_team().await;
    fleet.wait_until_ready().await;
    let reply = open_stream(&fleet, "brief").await.finish().await;
    assert!(!reply.is_complete);
    let problem = reply.problem.expect("the stream has no error event");
    assert_eq!((problem.reason, problem.run), (Reason::TargetFailed, RunState::Ran));
}

/// Guards against a validator of the engine's bytes with a stream to which ids of events were added.
#[tokio::test]
async fn stream_with_added_ids_has_no_validator_of_its_engine() {
    let mut fleet = Fleet::plan("validators", 1, 1, 1);
    fleet.start_all();
    fleet.make_team().await;
    fleet.wait_until_ready().await;
    let reply = open_stream(&fleet, "brief").await.finish().await;
    assert!(reply.is_complete && reply.last_event_id.is_some());
    assert_eq!(reply.validator, "");
}

/// Guards against a stream that ends without an error event, or with wrong text, when its engine is killed.
#[tokio::test]
async fn stream_ends_with_an_error_event_when_its_engine_is_killed() {
    let (mut fleet, _links) = slow_fleet("dies", 1, 1).await;
    let mut stream = open_stream(&fleet, "brief").await;
    assert!(stream.read_events(5).await);
    fleet.kill("engine-1");
    let reply = stream.finish().await;
    assert!(!reply.is_complete);
    let problem = reply.problem.expect("the stream has no error event");
    assert_eq!((problem.reason, problem.run), (Reason::TargetFailed, RunState::Ran));
    assert!(
        expected_answer("brief", TOKENS).starts_with(&reply.text),
        "the text must be the start of the answer"
    );
}

/// Guards against lost or repeated tokens, and against a second run, when the entry of a stream is killed and the
/// caller resumes at another entry with the id of the last event.
#[tokio::test]
async fn stream_resumes_at_another_entry_when_its_entry_is_killed() {
    let (mut fleet, _links) = slow_fleet("resume", 2, 2).await;
    let caller = Caller::new("depot-token");
    let mut stream = open_stream(&fleet, "route 39").await;
    assert!(stream.read_events(10).await);
    fleet.kill("entry-1");
    let before = stream.finish().await;
    assert!(!before.is_complete);
    let id = before.last_event_id.clone().unwrap();
    let resumed = caller.with_header("last-event-id", &id);
    let after = resumed
        .send(&fleet.entry_address(1), "POST", "/v1/completions", &streamed_request("route 39"))
        .await;
    assert!(after.is_complete, "{after:?}");
    assert_eq!(format!("{}{}", before.text, after.text), expected_answer("route 39", TOKENS));
    assert_eq!(fleet.runs()["route 39"], 1);
}

/// Guards against one team reading the answer of another by resuming its stream.
#[tokio::test]
async fn stream_of_another_team_cannot_be_resumed() {
    let (fleet, _links) = slow_fleet("foreign", 1, 1).await;
    let mut other_team = bilberryloft_testing::fleet::depot_team();
    other_team.name = "boat-exchange".to_string();
    other_team.token_sha256 = vec![bilberryloft_state::configuration::token_digest("boat-token")];
    let kind = bilberryloft_state::configuration::ChangeKind::SetTeam(other_team);
    fleet.change_with_retry(kind).await;
    fleet.wait_for_version(3).await;
    let reply_to_owner = Caller::new("depot-token")
        .request_completion(&fleet.entry_address(0), "secret", true)
        .await;
    let id = reply_to_owner.last_event_id.unwrap();
    let other_caller = Caller::new("boat-token").with_header("last-event-id", &id);
    let reply = other_caller
        .send(&fleet.entry_address(0), "POST", "/v1/completions", &streamed_request("secret"))
        .await;
    assert!(reply.text.find("secret").is_none(), "{reply:?}");
    assert!(reply.problem.is_some());
}

/// Guards against lost or repeated tokens, and against a second run, when the connection between the entry and the
/// agent is closed several times during a stream.
#[tokio::test]
async fn stream_continues_when_the_connection_to_the_agent_is_closed() {
    let (fleet, links) = slow_fleet("rejoin", 1, 1).await;
    let mut stream = open_stream(&fleet, "ice call").await;
    for _ in 0..3 {
        assert!(stream.read_events(8).await);
        links.set_fault("entries", "agent-1", Fault::Reset);
        tokio::time::sleep(Duration::from_millis(30)).await;
        links.clear_faults();
    }
    let reply = stream.finish().await;
    assert!(reply.is_complete, "{reply:?}");
    assert_eq!(reply.text, expected_answer("ice call", TOKENS));
    assert_eq!(fleet.runs()["ice call"], 1);
}

/// Guards against answers that are incomplete or reach another caller when 60 requests run at once and the connections
/// to one of two agents are slow.
#[tokio::test]
async fn many_callers_get_their_own_answers_over_a_slow_network() {
    let (fleet, links) = slow_fleet("own-answers", 2, 2).await;
    links.set_fault("entries", "agent-1", Fault::DelayMs(15));
    let mut callers = tokio::task::JoinSet::new();
    for number in 0..60 {
        let entry = fleet.entry_address(number % 2);
        callers.spawn(async move {
            let prompt = format!("depot {number}");
            let reply = Caller::new("depot-token")
                .request_completion(&entry, &prompt, number % 3 != 0)
                .await;
            assert!(reply.is_complete, "{reply:?}");
            assert_eq!(reply.text, expected_answer(&prompt, TOKENS));
        });
    }
    while let Some(caller) = callers.join_next().await {
        caller.unwrap();
    }
}

/// Guards against an attempt that keeps running after the caller closed the connection.
#[tokio::test]
async fn attempt_is_cancelled_when_the_caller_disconnects() {
    let (fleet, _links) = slow_fleet("hang-up", 1, 1).await;
    let mut stream = open_stream(&fleet, "gone").await;
    assert!(stream.read_events(3).await);
    drop(stream);
    let ip = fleet.target_ips[0].clone();
    fleet
        .wait_for("the attempt to be cancelled", async || {
            let reply = Caller::new("depot-token")
                .send(&fleet.entry_address(0), "GET", "/v1/models", "")
                .await;
            let metrics =
                Caller::new("x").send(&fleet.admin_address(&ip), "GET", "/metrics", "").await.text;
            reply.status == 200 && metrics.contains("bilberryloft_attempts_cancelled_total 1")
        })
        .await;
}

/// Guards against a caller that reads slowly and thereby loses part of its stream or delays other requests.
#[tokio::test]
async fn slow_caller_gets_its_complete_stream_and_blocks_no_other() {
    let (fleet, _links) = slow_fleet("slow-caller", 1, 1).await;
    let caller = Caller::new("depot-token");
    let long = "x".repeat(4_000);
    let body = format!(
        "{{\"model\": \"forecast-writer\", \"prompt\": \"{long}\", \"stream\": true, \"max_tokens\": 100}}"
    );
    let mut slow = caller
        .open_stream(&fleet.entry_address(0), "POST", "/v1/completions", &body)
        .await
        .unwrap();
    assert!(slow.read_events(1).await);
    let other = caller.request_completion(&fleet.entry_address(0), "quick", false).await;
    assert!(other.is_complete);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let reply = slow.finish().await;
    assert!(reply.is_complete);
    assert_eq!(reply.text, expected_answer(&long, 100));
}
