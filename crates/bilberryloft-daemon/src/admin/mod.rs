//! The operators' HTTP interface, metrics, and the platform's checks; all on the control thread.

mod explain;

use std::sync::Arc;
use std::time::Duration;

use axum::Json;
use axum::Router;
use axum::extract::Path;
use axum::extract::State;
use axum::http::StatusCode;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::get;
use axum::routing::post;
use bilberryloft_protocol::api::DaemonStatus;
use bilberryloft_protocol::api::History;
use bilberryloft_protocol::api::TargetRow;
use bilberryloft_protocol::api::TeamList;
use bilberryloft_protocol::wire;
use bilberryloft_protocol::wire::Body;
use bilberryloft_state::configuration::ChangeOutcome;
use bilberryloft_state::configuration::ChangeRequest;
use bilberryloft_state::error::Error;
use bilberryloft_state::error::Result;
use bilberryloft_state::member_set::MemberSet;
use bilberryloft_state::state_machine::Command;
use bilberryloft_state::state_machine::Outcome;
use serde_json::json;
use tokio::net::TcpListener;
use tower::limit::GlobalConcurrencyLimitLayer;

use crate::control::ControlService;
use crate::daemon::Shared;

/// Calls that are served side by side, so that operators' scripts can't crowd out the control thread.
const CALLS_MAX: usize = 64;
/// Longest time for a change to be committed.
const CHANGE_LIMIT: Duration = Duration::from_millis(5_000);
/// Time for a control host to give its status.
const STATUS_TIMEOUT: Duration = Duration::from_millis(800);

#[derive(Clone)]
struct Admin {
    shared: Arc<Shared>,
    control: Option<Arc<ControlService>>,
}

/// Listens for operators on the current runtime.
pub async fn serve_admin(shared: Arc<Shared>, control: Option<Arc<ControlService>>) -> Result<()> {
    let address = shared.settings.admin_address.clone();
    let listener =
        TcpListener::bind(&address).await.map_err(|it| Error::network("listen", &address, it))?;
    let router = Router::new()
        .route("/livez", get(|| async { "ok\n" }))
        .route("/readyz", get(readyz))
        .route("/metrics", get(metrics))
        .route("/operator/status", get(status))
        .route("/operator/fleet", get(fleet))
        .route("/operator/changes", post(change))
        .route("/operator/history", get(history))
        .route("/operator/teams", get(teams))
        .route("/operator/targets", get(targets))
        .route("/operator/burn", get(burn))
        .route("/operator/members", get(members).post(change_members))
        .route("/operator/explain/{request_id}", get(explain))
        .with_state(Admin { shared, control })
        .layer(GlobalConcurrencyLimitLayer::new(CALLS_MAX));
    tokio::spawn(async move { axum::serve(listener, router).await });
    Ok(())
}

async fn readyz(State(admin): State<Admin>) -> (StatusCode, &'static str) {
    match admin.shared.view.may_serve() && !admin.shared.is_stopping() {
        true => (StatusCode::OK, "ready\n"),
        false => (StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
    }
}

async fn metrics(State(admin): State<Admin>) -> String {
    let version = admin.shared.view.configuration().version();
    admin.shared.metrics.configuration_version.set(version as i64);
    admin.shared.metrics.render()
}

async fn status(State(admin): State<Admin>) -> Json<DaemonStatus> {
    let quorum = admin.control.as_ref().map(|it| it.node().status());
    let watchers = admin.control.as_ref().map(|it| it.watcher_rows()).unwrap_or_default();
    Json(admin.shared.status(quorum, watchers))
}

/// Asks every control host, so that the operator sees each daemon's version and who leads.
async fn fleet(State(admin): State<Admin>) -> Json<Vec<std::result::Result<DaemonStatus, String>>> {
    let mut rows = Vec::new();
    for client in admin.shared.control.clients() {
        let answer = client.call(Body::Status(wire::Status::new()), STATUS_TIMEOUT).await;
        let row = match answer {
            Ok(Body::StatusReply(reply)) => {
                serde_json::from_slice(&reply.status).map_err(|it| it.to_string())
            }
            Ok(_) => Err("an unexpected answer".to_string()),
            Err(error) => Err(error.to_string()),
        };
        rows.push(row.map_err(|it| format!("{}: {it}", client.address())));
    }
    Json(rows)
}

async fn change(
    State(admin): State<Admin>,
    body: std::result::Result<Json<ChangeRequest>, axum::extract::rejection::JsonRejection>,
) -> Response {
    let Json(request) = match body {
        Ok(body) => body,
        Err(error) => return failure(StatusCode::BAD_REQUEST, &error.body_text()),
    };
    if request.change_id.is_empty() {
        return failure(
            StatusCode::BAD_REQUEST,
            "change_id: \"\" is empty, each change needs an id of its own",
        );
    }
    match admin.shared.control.propose(&Command::Change(request), CHANGE_LIMIT).await {
        Ok(Outcome::Change(outcome)) => {
            let status = match outcome {
                ChangeOutcome::Accepted { .. } => StatusCode::OK,
                ChangeOutcome::Conflict { .. } => StatusCode::CONFLICT,
                ChangeOutcome::Invalid { .. } => StatusCode::UNPROCESSABLE_ENTITY,
            };
            (status, Json(outcome)).into_response()
        }
        Ok(other) => failure(StatusCode::BAD_GATEWAY, &format!("the quorum answered {other:?}")),
        Err(error) => {
            let text = format!(
                "{error}; whether the change was accepted is unknown, send it again with the same id"
            );
            failure(StatusCode::SERVICE_UNAVAILABLE, &text)
        }
    }
}

async fn history(State(admin): State<Admin>) -> Json<History> {
    let configuration = admin.shared.view.configuration();
    let changes = configuration.history().iter().cloned().collect();
    Json(History { version: configuration.version(), changes })
}

async fn teams(State(admin): State<Admin>) -> Json<TeamList> {
    let configuration = admin.shared.view.configuration();
    Json(TeamList {
        version: configuration.version(),
        templates: configuration.templates().values().cloned().collect(),
        teams: configuration.teams().values().cloned().collect(),
    })
}

async fn targets(State(admin): State<Admin>) -> Json<Vec<TargetRow>> {
    let membership = admin.shared.view.membership();
    let configuration = admin.shared.view.configuration();
    let mut rows = Vec::new();
    for record in membership.targets().values() {
        rows.push(TargetRow {
            record: record.clone(),
            draining: configuration.is_draining(&record.name),
        });
    }
    Json(rows)
}

async fn burn(State(admin): State<Admin>) -> Response {
    match &admin.shared.entry {
        Some(entry) => Json(entry.burn_report()).into_response(),
        None => failure(StatusCode::NOT_FOUND, "this daemon is no entry; ask one for its report"),
    }
}

async fn members(State(admin): State<Admin>) -> Response {
    match &admin.control {
        Some(control) => Json(control.node().status().members).into_response(),
        None => failure(StatusCode::NOT_FOUND, "this daemon is no control host"),
    }
}

async fn change_members(State(admin): State<Admin>, Json(members): Json<MemberSet>) -> Response {
    let Some(control) = &admin.control else {
        return failure(StatusCode::NOT_FOUND, "this daemon is no control host");
    };
    match control.node().change_members(members).await {
        Ok(true) => Json(json!({"accepted": true})).into_response(),
        Ok(false) => failure(
            StatusCode::CONFLICT,
            "another change of members is under way, or more than one voter differs",
        ),
        Err(error) => failure(StatusCode::SERVICE_UNAVAILABLE, &format!("{error:?}")),
    }
}

async fn explain(State(admin): State<Admin>, Path(request_id): Path<String>) -> Response {
    Json(explain::collect(&admin.shared, &request_id).await).into_response()
}

fn failure(status: StatusCode, text: &str) -> Response {
    (status, Json(json!({"error": text}))).into_response()
}
