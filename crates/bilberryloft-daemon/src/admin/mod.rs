//! The HTTP interface for operators, metrics and the platform's health checks; it runs on the control thread.

mod evacuations;
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
use bilberryloft_protocol::api::QuorumReport;
use bilberryloft_protocol::api::RemoteRow;
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
use crate::shared::Shared;

/// Most calls that are served concurrently, so that operators' scripts can't overload the control thread.
const CONCURRENT_CALLS_MAX: usize = 64;
/// Time for a change to be committed.
const CHANGE_TIMEOUT: Duration = Duration::from_millis(5_000);
/// Time for a control host to return its status.
const STATUS_TIMEOUT: Duration = Duration::from_millis(800);

#[derive(Clone)]
struct AdminState {
    shared: Arc<Shared>,
    control: Option<Arc<ControlService>>,
}

/// Binds the admin address and serves it on the current runtime; fails when the address can't be bound.
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
        .route("/operator/changes", post(submit_change))
        .route("/operator/history", get(history))
        .route("/operator/teams", get(teams))
        .route("/operator/targets", get(targets))
        .route("/operator/burn", get(burn))
        .route("/operator/remote", get(remote))
        .route("/operator/members", get(members).post(change_members))
        .route("/operator/quorum", get(quorum))
        .route("/operator/evacuations", get(evacuations::list))
        .route("/operator/evacuations/{data_center}", post(evacuations::submit))
        .route("/operator/explain/{request_id}", get(explain))
        .with_state(AdminState { shared, control })
        .layer(GlobalConcurrencyLimitLayer::new(CONCURRENT_CALLS_MAX));
    tokio::spawn(async move { axum::serve(listener, router).await });
    Ok(())
}

async fn readyz(State(admin): State<AdminState>) -> (StatusCode, &'static str) {
    match admin.shared.view.may_serve() && !admin.shared.is_stopping() {
        true => (StatusCode::OK, "ready\n"),
        false => (StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
    }
}

async fn metrics(State(admin): State<AdminState>) -> String {
    let version = admin.shared.view.configuration().version();
    admin.shared.metrics.configuration_version.set(version.cast_signed());
    let quorum = admin.control.as_ref().map(|it| it.node().status());
    admin.shared.metrics.set_loss_tolerance(quorum.and_then(|it| it.loss_tolerance).as_ref());
    admin.shared.metrics.render()
}

async fn status(State(admin): State<AdminState>) -> Json<DaemonStatus> {
    let quorum = admin.control.as_ref().map(|it| it.node().status());
    let watchers = admin.control.as_ref().map(|it| it.watcher_rows()).unwrap_or_default();
    Json(admin.shared.status(quorum, watchers))
}

/// Asks every control host for its status, so that operators see each daemon's version and the leader.
async fn fleet(
    State(admin): State<AdminState>,
) -> Json<Vec<std::result::Result<DaemonStatus, String>>> {
    let mut rows = Vec::new();
    for client in admin.shared.control.clients() {
        let response = client.call(Body::Status(wire::Status::new()), STATUS_TIMEOUT).await;
        let row = match response {
            Ok(Body::StatusReply(reply)) => {
                serde_json::from_slice(&reply.status).map_err(|it| it.to_string())
            }
            Ok(_) => Err("unexpected response".to_string()),
            Err(error) => Err(error.to_string()),
        };
        rows.push(row.map_err(|it| format!("{}: {it}", client.address())));
    }
    Json(rows)
}

async fn submit_change(
    State(admin): State<AdminState>,
    body: std::result::Result<Json<ChangeRequest>, axum::extract::rejection::JsonRejection>,
) -> Response {
    let Json(request) = match body {
        Ok(body) => body,
        Err(error) => return error_response(StatusCode::BAD_REQUEST, &error.body_text()),
    };
    if request.change_id.is_empty() {
        return error_response(
            StatusCode::BAD_REQUEST,
            "change_id: \"\" is empty; each change needs a unique id",
        );
    }
    match admin.shared.control.propose(&Command::Change(request), CHANGE_TIMEOUT).await {
        Ok(Outcome::Change(outcome)) => {
            let status = match outcome {
                ChangeOutcome::Accepted { .. } => StatusCode::OK,
                ChangeOutcome::Conflict { .. } => StatusCode::CONFLICT,
                ChangeOutcome::Invalid { .. } => StatusCode::UNPROCESSABLE_ENTITY,
            };
            (status, Json(outcome)).into_response()
        }
        Ok(other) => error_response(
            StatusCode::BAD_GATEWAY,
            &format!("unexpected response from the quorum: {other:?}"),
        ),
        Err(error) => {
            let text = format!(
                "{error}; it is unknown whether the change was accepted, send it again with the same id"
            );
            error_response(StatusCode::SERVICE_UNAVAILABLE, &text)
        }
    }
}

async fn history(State(admin): State<AdminState>) -> Json<History> {
    let configuration = admin.shared.view.configuration();
    let changes = configuration.history().iter().cloned().collect();
    Json(History { version: configuration.version(), changes })
}

async fn teams(State(admin): State<AdminState>) -> Json<TeamList> {
    let configuration = admin.shared.view.configuration();
    Json(TeamList {
        version: configuration.version(),
        templates: configuration.templates().values().cloned().collect(),
        teams: configuration.teams().values().cloned().collect(),
    })
}

async fn targets(State(admin): State<AdminState>) -> Json<Vec<TargetRow>> {
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

async fn burn(State(admin): State<AdminState>) -> Response {
    match &admin.shared.entry {
        Some(entry) => Json(entry.burn_report()).into_response(),
        None => error_response(
            StatusCode::NOT_FOUND,
            "this daemon does not have the entry role; ask an entry for its report",
        ),
    }
}

/// Reports what share of each service's requests this daemon may send to far data centres, and why.
async fn remote(State(admin): State<AdminState>) -> Json<Vec<RemoteRow>> {
    Json(admin.shared.remote_shares.rows())
}

async fn members(State(admin): State<AdminState>) -> Response {
    match &admin.control {
        Some(control) => Json(control.node().status().members).into_response(),
        None => error_response(StatusCode::NOT_FOUND, "this daemon is not a control host"),
    }
}

/// Reports the members and the losses that the quorum tolerates, which only its leader knows.
async fn quorum(State(admin): State<AdminState>) -> Response {
    let Some(control) = &admin.control else {
        return error_response(StatusCode::NOT_FOUND, "this daemon is not a control host");
    };
    let status = control.node().status();
    let loss_tolerance = match (&status.leader_address, status.leads) {
        (Some(leader), false) => control.ask_loss_tolerance(leader, STATUS_TIMEOUT).await,
        _ => status.loss_tolerance,
    };
    let (members, leader) = (status.members, status.leader_address);
    Json(QuorumReport { members, leader, loss_tolerance }).into_response()
}

async fn change_members(
    State(admin): State<AdminState>,
    Json(members): Json<MemberSet>,
) -> Response {
    let Some(control) = &admin.control else {
        return error_response(StatusCode::NOT_FOUND, "this daemon is not a control host");
    };
    match control.node().change_members(members).await {
        Ok(true) => Json(json!({"accepted": true})).into_response(),
        Ok(false) => error_response(
            StatusCode::CONFLICT,
            "another change of members is in progress, or more than one voter differs",
        ),
        Err(error) => error_response(StatusCode::SERVICE_UNAVAILABLE, &format!("{error:?}")),
    }
}

async fn explain(State(admin): State<AdminState>, Path(request_id): Path<String>) -> Response {
    Json(explain::collect(&admin.shared, &request_id).await).into_response()
}

fn error_response(status: StatusCode, text: &str) -> Response {
    (status, Json(json!({"error": text}))).into_response()
}
