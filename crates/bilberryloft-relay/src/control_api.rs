//! Control API, which every daemon serves: operators write and read routing documents
//! and evacuate data centres, and targets announce themselves.

use std::sync::Arc;
use std::time::Duration;

use axum::body::Bytes;
use axum::http::HeaderValue;
use axum::http::Request;
use axum::http::StatusCode;
use axum::http::header;
use axum::response::IntoResponse;
use axum::response::Response;
use bilberryloft_daemon::events::Event;
use bilberryloft_daemon::log_event;
use bilberryloft_daemon::view::document_version_of;
use bilberryloft_daemon::view_sync::confirmation_request;
use bilberryloft_protocol::wire;
use bilberryloft_protocol::wire::Body;
use bilberryloft_routing::document::Document;
use bilberryloft_routing::header_text::check_header_text;
use bilberryloft_routing::targets::TargetInfo;
use bilberryloft_state::document::DocumentPatch;
use bilberryloft_state::document::StoredDocument;
use bilberryloft_state::error::Result;
use bilberryloft_state::membership::TargetDescription;
use bilberryloft_state::state_machine::Command;
use bilberryloft_state::state_machine::Outcome;
use bilberryloft_transport::account::Holder;
use bilberryloft_transport::account::Purpose;
use hyper::body::Incoming;
use serde_json::json;
use tokio::time::Instant;

use crate::dialect::ControlCall;
use crate::evacuation::handle_order;
use crate::memory::body::BodyLimits;
use crate::memory::caller_connection::CallerConnection;
use crate::memory::caller_connection::Phase;
use crate::memory::report::BodyFault;
use crate::memory::serve::accept;
use crate::memory::serve::listen;
use crate::state::RelayState;
use crate::target_leave::leave;

/// Largest document in bytes.
const DOCUMENT_BYTES_MAX: usize = 8 << 20;
/// Time within which a document must have arrived: the largest one over a link of 1 MB/s. Operators wait for one second.
const DOCUMENT_TIMEOUT: Duration = Duration::from_secs(8);
/// Largest announcement of a target, in bytes; they have a few hundred.
const ANNOUNCEMENT_BYTES_MAX: usize = 64 << 10;
/// Time within which an announcement must have arrived; targets wait for about a second.
const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_secs(3);
/// Time after which a client comes back that was refused for want of memory.
const RETRY_AFTER_S: HeaderValue = HeaderValue::from_static("0.5");
/// Timeout for committing a document or an announcement; callers wait for one second.
pub const COMMIT_TIMEOUT: Duration = Duration::from_millis(900);
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
    let listener = listen(&address, &state.memory).await?;
    let (table, served) = (state.memory.operators.clone(), state.clone());
    let serve = move |request, client: Arc<CallerConnection>| {
        let state = served.clone();
        async move { handle(&state, request, &client).await }
    };
    tokio::spawn(accept(listener, state, table, serve));
    Ok(())
}

async fn handle(
    state: &RelayState,
    request: Request<Incoming>,
    client: &CallerConnection,
) -> Response {
    let call = state.dialect.control_call(request.method(), request.uri().path());
    let (bytes_max, timeout, purpose) = match call {
        ControlCall::PutDocument => (DOCUMENT_BYTES_MAX, DOCUMENT_TIMEOUT, Purpose::Document),
        _ => (ANNOUNCEMENT_BYTES_MAX, ANNOUNCEMENT_TIMEOUT, Purpose::Heartbeat),
    };
    let holder = Holder { address: client.address, name: String::new() };
    let deadline = Instant::now() + timeout;
    let limits = BodyLimits { bytes_max, deadline, purpose, holder };
    let body = match state.memory.read_body(request.into_body(), limits).await {
        Ok(body) => body,
        Err(fault) => return body_fault_response(fault),
    };
    client.set_phase(Phase::Serving);
    match call {
        ControlCall::PutDocument => put_document(state, &body).await,
        ControlCall::ReadDocument => read_document(state).await,
        ControlCall::Announce { id } => announce(state, &id, &body).await,
        ControlCall::Leave { id } => leave(state, &id).await,
        ControlCall::Evacuate { data_center, is_evacuated } => {
            handle_order(state, &data_center, is_evacuated).await
        }
        ControlCall::Unknown => error_response(StatusCode::NOT_FOUND, "no such call"),
    }
}

fn body_fault_response(fault: BodyFault) -> Response {
    let status = match fault {
        BodyFault::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        BodyFault::Broken => StatusCode::BAD_REQUEST,
        BodyFault::Late => StatusCode::REQUEST_TIMEOUT,
        BodyFault::Dropped => StatusCode::TOO_MANY_REQUESTS,
        BodyFault::NoRoom => StatusCode::SERVICE_UNAVAILABLE,
    };
    let mut response = error_response(status, &fault.to_string());
    if matches!(fault, BodyFault::Dropped | BodyFault::NoRoom) {
        response.headers_mut().insert(header::RETRY_AFTER, RETRY_AFTER_S);
    }
    response
}

async fn put_document(state: &RelayState, body: &Bytes) -> Response {
    // The semaphore is never closed.
    let _turn = state.memory.documents.acquire().await;
    let decoded = state.dialect.decode_document(body);
    // What is in force is acknowledged again, also if an earlier version accepted it with fewer checks.
    let is_in_force = state.daemon.view.document().is_some_and(|it| it.text.as_bytes() == body);
    let checked = if is_in_force { decoded } else { decoded.and_then(Document::checked) };
    let document = match checked {
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
        Ok(Outcome::EarlierMember) => {
            log_event!(warn, Event::DocumentDecided, outcome = "earlier_member", version);
            let text = "members of an earlier version take no document of version 0";
            error_response(StatusCode::SERVICE_UNAVAILABLE, text)
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
        let Some(base) = view.document() else {
            break;
        };
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
                view.wait_for_document(Some(in_force), REBASE_WAIT).await;
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
                let version = document_version_of(&update);
                let remaining = until.saturating_duration_since(Instant::now());
                if view.wait_for_document(version, remaining).await {
                    return document_response(view.document().as_deref());
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

fn document_response(document: Option<&StoredDocument>) -> Response {
    let Some(document) = document else {
        return error_response(StatusCode::SERVICE_UNAVAILABLE, "there is no document yet");
    };
    ([(header::CONTENT_TYPE, "application/json")], document.text.clone()).into_response()
}

async fn announce(state: &RelayState, id: &str, body: &Bytes) -> Response {
    let decoded = match check_header_text(id) {
        Ok(()) => state.dialect.decode_announcement(id, body),
        Err(fault) => Err(format!(
            "id: targets are sent the id that is meant, and {id:?} can't be sent: {fault}"
        )),
    };
    let target = match decoded {
        Ok(target) => target,
        Err(fault) => {
            log_event!(warn, Event::AnnouncementRefused, target_id = id, fault);
            return error_response(StatusCode::BAD_REQUEST, &fault);
        }
    };
    let routes = state.routes();
    if routes.version().is_some() && routes.service(&target.service).is_none() {
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
        incarnation: incarnation.cast_signed(),
        description,
        leaving: false,
        forwarded: false,
    };
    match state.daemon.control.call(Body::Announce(announce), COMMIT_TIMEOUT).await {
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
        cold_for_ms: target.cold_for_ms,
    }
}

/// Builds the answer that says why a call was not carried out.
pub fn error_response(status: StatusCode, text: &str) -> Response {
    (status, axum::Json(json!({"error": text}))).into_response()
}
