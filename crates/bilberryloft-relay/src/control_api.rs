//! Control API, which every daemon serves: operators write and read routing documents, and targets announce themselves.

use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::body::Bytes;
use axum::extract::DefaultBodyLimit;
use axum::extract::State;
use axum::http::Method;
use axum::http::StatusCode;
use axum::http::Uri;
use axum::http::header;
use axum::response::IntoResponse;
use axum::response::Response;
use bilberryloft_daemon::events::Event;
use bilberryloft_daemon::log_event;
use bilberryloft_daemon::view_sync::confirmation_request;
use bilberryloft_protocol::wire;
use bilberryloft_protocol::wire::Body;
use bilberryloft_routing::document::Document;
use bilberryloft_routing::targets::TargetInfo;
use bilberryloft_state::document::DocumentPatch;
use bilberryloft_state::document::StoredDocument;
use bilberryloft_state::error::Error;
use bilberryloft_state::error::Result;
use bilberryloft_state::membership::TargetDescription;
use bilberryloft_state::state_machine::Command;
use bilberryloft_state::state_machine::Outcome;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::time::Instant;

use crate::dialect::ControlCall;
use crate::state::RelayState;

/// Largest document in bytes.
const DOCUMENT_BYTES_MAX: usize = 8 << 20;
/// Timeout for committing a document or an announcement; callers wait for one second.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(900);
/// Patches of a document that are tried before the whole text is proposed.
const PATCH_ATTEMPTS: usize = 2;
/// Time to wait for the version in force after a patch was made for an older one.
const REBASE_WAIT: Duration = Duration::from_millis(200);
/// Timeout for a quorum to confirm which document is the newest.
const READ_TIMEOUT: Duration = Duration::from_millis(900);
/// Timeout for one control host to confirm which document is the newest.
const READ_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(400);

/// Serves the control API at the configured address.
pub async fn serve_control_api(state: Arc<RelayState>) -> Result<()> {
    let address = state.settings.control_api_address.clone();
    let listener =
        TcpListener::bind(&address).await.map_err(|it| Error::network("listen", &address, it))?;
    let router = Router::new()
        .fallback(handle)
        .layer(DefaultBodyLimit::max(DOCUMENT_BYTES_MAX))
        .with_state(state);
    tokio::spawn(async move { axum::serve(listener, router).await });
    Ok(())
}

async fn handle(
    State(state): State<Arc<RelayState>>,
    method: Method,
    uri: Uri,
    body: Bytes,
) -> Response {
    match state.dialect.control_call(&method, uri.path()) {
        ControlCall::PutDocument => put_document(&state, &body).await,
        ControlCall::ReadDocument => read_document(&state).await,
        ControlCall::Announce { id } => announce(&state, &id, &body).await,
        ControlCall::Leave { id } => leave(&state, &id).await,
        ControlCall::Unknown => error_response(StatusCode::NOT_FOUND, "no such call"),
    }
}

async fn put_document(state: &RelayState, body: &Bytes) -> Response {
    let decoded = state.dialect.decode_document(body);
    let document = match decoded.and_then(Document::checked) {
        Ok(document) => document,
        Err(fault) => {
            log_event!(warn, Event::DocumentDecided, outcome = "invalid", %fault);
            return error_response(StatusCode::BAD_REQUEST, &fault.to_string());
        }
    };
    let version = document.version;
    // Decoding has succeeded, so the text is valid UTF-8.
    let text = String::from_utf8_lossy(body).into_owned();
    match commit_document(state, StoredDocument { version, text }).await {
        Ok(Outcome::Document { version: in_force }) => {
            log_event!(info, Event::DocumentDecided, outcome = "accepted", version, in_force);
            axum::Json(json!({"version": in_force})).into_response()
        }
        Ok(other) => {
            log_event!(error, Event::DocumentDecided, outcome = "unexpected", version, ?other);
            error_response(
                StatusCode::SERVICE_UNAVAILABLE,
                "the quorum returned an unexpected outcome",
            )
        }
        Err(error) => {
            log_event!(warn, Event::DocumentDecided, outcome = "unknown", version, %error);
            error_response(StatusCode::SERVICE_UNAVAILABLE, &error.to_string())
        }
    }
}

/// Proposes a document until its outcome is known: as a patch of the version that this entry holds, or as a whole if
/// patches don't fit because other operators were faster.
async fn commit_document(state: &RelayState, document: StoredDocument) -> Result<Outcome> {
    let (control, view) = (&state.daemon.control, &state.daemon.view);
    let until = Instant::now() + COMMIT_TIMEOUT;
    for _ in 0..PATCH_ATTEMPTS {
        let base = view.document();
        if base.version == 0 {
            break;
        }
        let patch = DocumentPatch::between(&base, &document);
        let remaining = until.saturating_duration_since(Instant::now());
        match control.propose(&Command::PatchDocument(patch), remaining).await? {
            Outcome::DocumentBase { version: in_force } => {
                let (base, version) = (base.version, document.version);
                log_event!(
                    info,
                    Event::DocumentDecided,
                    outcome = "rebased",
                    version,
                    base,
                    in_force
                );
                view.wait_for_document(in_force, REBASE_WAIT).await;
            }
            // The member that applied the patch could not read it.
            Outcome::Unreadable => break,
            outcome => return Ok(outcome),
        }
    }
    let remaining = until.saturating_duration_since(Instant::now());
    control.propose(&Command::PutDocument(document), remaining).await
}

/// Returns the newest document, once a quorum has confirmed its version and this entry holds it.
async fn read_document(state: &RelayState) -> Response {
    let until = Instant::now() + READ_TIMEOUT;
    let (view, control, settings) =
        (&state.daemon.view, &state.daemon.control, &state.daemon.settings);
    while Instant::now() < until {
        let client = control.preferred();
        let request = confirmation_request(view, &settings.daemon, &settings.peer_address);
        match client.call(Body::Watch(request), READ_ATTEMPT_TIMEOUT).await {
            Ok(Body::Update(update)) if update.confirmed => {
                view.apply_document(&update);
                let version = update.document_version.unwrap_or_default() as u64;
                let remaining = until.saturating_duration_since(Instant::now());
                if view.wait_for_document(version, remaining).await {
                    return document_response(&view.document());
                }
            }
            Ok(Body::Redirect(redirect)) => control.follow_redirect(&client, &redirect.addresses),
            Ok(_) => control.avoid(&client),
            Err(error) => {
                tracing::debug!(%error, "a control host did not confirm the newest document");
                control.avoid(&client);
            }
        }
    }
    error_response(
        StatusCode::SERVICE_UNAVAILABLE,
        "no quorum confirms which document is the newest",
    )
}

fn document_response(document: &StoredDocument) -> Response {
    if document.version == 0 {
        return error_response(StatusCode::SERVICE_UNAVAILABLE, "there is no document yet");
    }
    ([(header::CONTENT_TYPE, "application/json")], document.text.clone()).into_response()
}

async fn announce(state: &RelayState, id: &str, body: &Bytes) -> Response {
    let target = match state.dialect.decode_announcement(id, body) {
        Ok(target) => target,
        Err(fault) => {
            log_event!(warn, Event::AnnouncementRefused, target_id = id, fault);
            return error_response(StatusCode::BAD_REQUEST, &fault);
        }
    };
    let routes = state.routes();
    if routes.version() > 0 && routes.service(&target.service).is_none() {
        let fault = format!("service: {:?} is not in the document in force", target.service);
        log_event!(
            warn,
            Event::AnnouncementRefused,
            target_id = id,
            fault,
            version = routes.version()
        );
        return error_response(StatusCode::BAD_REQUEST, &fault);
    }
    if target.is_leaving {
        log_event!(info, Event::TargetLeaves, target_id = id, incarnation = target.incarnation);
    }
    let incarnation = target.incarnation;
    let description = serde_json::to_vec(&target_description(target)).unwrap_or_default();
    let announce = wire::Announce {
        target: id.to_string(),
        incarnation: incarnation as i64,
        description,
        leaving: false,
        forwarded: false,
    };
    match state.daemon.control.call(Body::Announce(announce), COMMIT_TIMEOUT).await {
        Ok(_) => axum::Json(json!({})).into_response(),
        Err(error) => error_response(StatusCode::SERVICE_UNAVAILABLE, &error.to_string()),
    }
}

async fn leave(state: &RelayState, id: &str) -> Response {
    log_event!(info, Event::TargetLeaves, target_id = id, at = "end");
    let command = Command::Leave { name: id.to_string(), incarnation: None };
    match state.daemon.control.propose(&command, COMMIT_TIMEOUT).await {
        Ok(_) => axum::Json(json!({})).into_response(),
        Err(error) => error_response(StatusCode::SERVICE_UNAVAILABLE, &error.to_string()),
    }
}

fn target_description(target: TargetInfo) -> TargetDescription {
    TargetDescription {
        agent_address: target.address,
        data_center: target.data_center,
        models: Vec::new(),
        services: vec![target.service],
        slots: target.slots,
        ranks: 1,
        checks_fencing: false,
        direct: true,
        leaving: target.is_leaving,
        cold_remaining_ms: target.cold_remaining_ms,
    }
}

fn error_response(status: StatusCode, text: &str) -> Response {
    (status, axum::Json(json!({"error": text}))).into_response()
}
