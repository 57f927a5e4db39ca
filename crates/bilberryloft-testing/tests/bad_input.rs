//! Invalid requests are refused with their reason and do not run.
#![allow(clippy::unwrap_used)]

use bilberryloft_state::refusal::Reason;
use bilberryloft_state::refusal::RunState;
use bilberryloft_testing::caller::Caller;
use bilberryloft_testing::fleet::Fleet;

/// Guards against an invalid request that runs, or whose refusal has the wrong reason or status or no detail.
#[tokio::test]
async fn invalid_request_is_refused_with_its_reason() {
    let mut fleet = Fleet::plan("bad-input", 1, 1, 1);
    fleet.engine_settings_mut("engine-1").services = vec!["sensors".to_string()];
    fleet.settings_mut("entry-1").entry.as_mut().unwrap().body_max_bytes = 2_048;
    fleet.start_all();
    fleet.make_team().await;
    fleet.wait_until_ready().await;
    let valid = r#"{"model": "forecast-writer", "prompt": "x"}"#;
    let too_large = format!(r#"{{"model": "forecast-writer", "prompt": "{}"}}"#, "x".repeat(4_000));
    let team_caller = Caller::new("depot-token");
    let cases = [
        (Caller::new("wrong"), "/v1/completions", valid, Reason::UnknownToken, 401),
        (team_caller.clone(), "/v1/completions", "{not json", Reason::BadRequest, 400),
        (
            team_caller.clone(),
            "/v1/completions",
            r#"{"prompt": "no model"}"#,
            Reason::BadRequest,
            400,
        ),
        (team_caller.clone(), "/v1/completions", r#"{"model": "other"}"#, Reason::NotAllowed, 403),
        (team_caller.clone(), "/v1/completions", &too_large, Reason::TooLarge, 413),
        (team_caller.clone(), "/services/other/x", valid, Reason::NotAllowed, 403),
        (
            team_caller.with_header("bilberryloft-deadline-ms", "soon"),
            "/v1/completions",
            valid,
            Reason::BadRequest,
            400,
        ),
        (
            team_caller.with_header("bilberryloft-run", "perhaps"),
            "/v1/completions",
            valid,
            Reason::BadRequest,
            400,
        ),
        (
            team_caller.with_header("idempotency-key", ""),
            "/v1/completions",
            valid,
            Reason::BadRequest,
            400,
        ),
        (
            team_caller.with_header("last-event-id", "nonsense"),
            "/v1/completions",
            valid,
            Reason::BadRequest,
            400,
        ),
    ];
    for (caller, path, body, reason, status) in cases {
        let reply = caller.send(&fleet.entry_address(0), "POST", path, body).await;
        let problem = reply.problem.clone().unwrap_or_else(|| panic!("{path} {body}: {reply:?}"));
        assert_eq!((problem.reason, reply.status), (reason, status), "{path} {body}");
        assert_eq!(problem.run, RunState::NotRun);
        assert!(!problem.request_id.is_empty() && !problem.detail.is_empty());
    }
    assert!(fleet.runs().is_empty(), "{:?}", fleet.runs());
}

/// Guards against plain service calls that lose their method, path or query on the way to the service.
#[tokio::test]
async fn plain_services_take_any_method() {
    let mut fleet = Fleet::plan("services", 1, 1, 1);
    fleet.engine_settings_mut("engine-1").services = vec!["sensors".to_string()];
    fleet.start_all();
    fleet.make_team().await;
    fleet.wait_until_ready().await;
    let caller = Caller::new("depot-token");
    for method in ["GET", "PUT", "DELETE", "POST", "PATCH"] {
        let reply = caller
            .send(&fleet.entry_address(0), method, "/services/sensors/road/39?ice=1", "reading")
            .await;
        assert_eq!(reply.status, 200, "{reply:?}");
        assert!(reply.text.contains(&format!("{method} /road/39?ice=1")), "{reply:?}");
    }
}

/// Guards against a team that exceeds its limit of requests in flight: of 6 concurrent requests with a limit of 2, 4
/// are refused with the time after which to retry.
#[tokio::test]
async fn team_over_its_limit_is_refused() {
    let mut fleet = Fleet::plan("team-limit", 1, 1, 1);
    fleet.engine_settings_mut("engine-1").first_token_ms = 1_500;
    fleet.start_all();
    fleet.make_team().await;
    let mut team = bilberryloft_testing::fleet::depot_team();
    team.in_flight_max = Some(2);
    fleet.change_with_retry(bilberryloft_state::configuration::ChangeKind::SetTeam(team)).await;
    fleet.wait_for_version(3).await;
    fleet.wait_until_ready().await;
    let mut callers = tokio::task::JoinSet::new();
    for number in 0..6 {
        let entry = fleet.entry_address(0);
        callers.spawn(async move {
            Caller::new("depot-token")
                .request_completion(&entry, &format!("p{number}"), false)
                .await
        });
    }
    let (mut answered, mut refused) = (0, 0);
    while let Some(reply) = callers.join_next().await {
        let reply = reply.unwrap();
        answered += usize::from(reply.is_complete);
        refused += usize::from(
            reply.problem.is_some_and(|it| it.reason == Reason::TeamLimit && it.retry_after_ms > 0),
        );
    }
    assert_eq!((answered, refused), (2, 4));
}
