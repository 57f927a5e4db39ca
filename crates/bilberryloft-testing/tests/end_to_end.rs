//! End-to-end path through separate processes: an answer, a refusal, and the explanation of each.
#![allow(clippy::unwrap_used)]

use bilberryloft_protocol::api::Explanation;
use bilberryloft_state::refusal::Reason;
use bilberryloft_state::refusal::RunState;
use bilberryloft_testing::caller::Caller;
use bilberryloft_testing::engine::expected_answer;
use bilberryloft_testing::fleet::Fleet;

/// Guards against a broken path through one control host, one entry and one target: streamed and unstreamed answers, a
/// refusal that says the request did not run, and the decision records of both.
#[tokio::test]
async fn fleet_answers_refuses_and_explains() {
    let mut fleet = Fleet::plan("thin", 1, 1, 1);
    fleet.start_all();
    fleet.make_team().await;
    fleet.wait_until_ready().await;
    let caller = Caller::new("depot-token");

    let reply = caller.request_completion(&fleet.entry_address(0), "kamikawa route", true).await;
    assert_eq!(reply.status, 200, "{reply:?}");
    assert!(reply.is_complete, "{reply:?}");
    assert_eq!(reply.text, expected_answer("kamikawa route", 8));

    let unstreamed =
        caller.request_completion(&fleet.entry_address(0), "pass closure", false).await;
    assert!(unstreamed.is_complete, "{unstreamed:?}");
    assert_eq!(unstreamed.text, expected_answer("pass closure", 8));

    let body = r#"{"model": "unknown-model", "prompt": "x"}"#;
    let refused = caller.send(&fleet.entry_address(0), "POST", "/v1/completions", body).await;
    let problem = refused.problem.clone().unwrap();
    assert_eq!(
        (refused.status, problem.reason, problem.run),
        (403, Reason::NotAllowed, RunState::NotRun)
    );

    let ip = fleet.control_ips[0].clone();
    let explained: Explanation =
        fleet.get(&ip, &format!("/operator/explain/{}", reply.request_id)).await.unwrap();
    assert!(
        explained.records.iter().any(|it| it.step == "pick" && it.outcome.contains("target-1")),
        "{explained:?}"
    );
    let explained: Explanation =
        fleet.get(&ip, &format!("/operator/explain/{}", refused.request_id)).await.unwrap();
    assert!(
        explained.records.iter().any(|it| it.step == "refuse" && it.rule == "not_allowed"),
        "{explained:?}"
    );
}
