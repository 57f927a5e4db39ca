//! A single attempt: sends a request to one target and reads the head of the answer.

use std::sync::Arc;

use bilberryloft_daemon::events::Event;
use bilberryloft_daemon::log_event;
use bilberryloft_routing::document::RequestKind;
use bilberryloft_routing::header_text::HeaderTextFault;
use bilberryloft_routing::header_text::check_header_text;
use bilberryloft_routing::selection::PickedTarget;
use bilberryloft_routing::targets::AttemptOutcome;
use bilberryloft_transport::clock::monotonic_ms;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;

use crate::answer_check::AnswerKind;
use crate::answer_check::SentRequest;
use crate::answer_check::check_answer;
use crate::connection::Connection;
use crate::leaving;
use crate::leaving::LeavingSource;
use crate::request::RelayRequest;
use crate::state::RelayState;
use crate::target_notice::TargetNotice;

/// A target's answer whose body has not been read yet.
pub struct Answered {
    /// Head and body.
    pub response: Response<Incoming>,
    /// Connection on which the answer arrives.
    pub connection: Connection,
    /// Address of the target.
    pub address: String,
}

/// Result of sending a request to one target, which decides whether the request may be retried.
///
/// [`AttemptResult::outcome`] derives the evidence of the target's health from it.
pub enum AttemptResult {
    /// The target answered.
    Answered(Box<Answered>),
    /// The target answered that it did not run the request.
    NotRun {
        /// Status of the answer.
        status: StatusCode,
        /// Whether the target asked for rest.
        wants_rest: bool,
    },
    /// The request was not sent.
    NotSent {
        /// Reason for the failure.
        error: String,
    },
    /// The request was sent, but it is unknown whether it ran.
    Unknown {
        /// Reason for the failure.
        error: String,
    },
}

impl AttemptResult {
    /// Returns the name used in logs.
    pub fn name(&self) -> &'static str {
        match self {
            AttemptResult::Answered(_) => "answered",
            AttemptResult::NotRun { .. } => "not_run",
            AttemptResult::NotSent { .. } => "not_sent",
            AttemptResult::Unknown { .. } => "unknown",
        }
    }

    /// Returns what the result says about the target's health.
    pub fn outcome(&self) -> AttemptOutcome {
        match self {
            AttemptResult::Answered(it) if it.response.status().is_server_error() => {
                AttemptOutcome::Failed
            }
            AttemptResult::Answered(_) => AttemptOutcome::Success,
            AttemptResult::NotRun { status, .. } if *status == StatusCode::MISDIRECTED_REQUEST => {
                AttemptOutcome::Misdirected
            }
            AttemptResult::NotRun { wants_rest: true, .. } => AttemptOutcome::Resting,
            AttemptResult::NotRun { .. } => AttemptOutcome::Full,
            AttemptResult::NotSent { .. } | AttemptResult::Unknown { .. } => AttemptOutcome::Lost,
        }
    }
}

/// What one attempt sent.
struct SentAttempt {
    at_ms: u64,
    /// Id of the event after which a stream goes on.
    resume_after: Option<u64>,
}

/// Sends a request and waits for the head of the answer.
///
/// Dropping the future closes the connection, which cancels the request at the target.
pub async fn send(
    state: &Arc<RelayState>,
    request: &RelayRequest,
    picked: &PickedTarget,
    resume_after: Option<u64>,
) -> AttemptResult {
    let mut next = match take_connection(state, request, picked).await {
        Ok(connection) => Some(connection),
        Err(error) => return AttemptResult::NotSent { error: error.to_string() },
    };
    while let Some(mut connection) = next.take() {
        state.lifecycle.wait_after_stall().await;
        let message = match build_message(state, request, picked, resume_after) {
            Ok(message) => message,
            Err(error) => {
                let (request_id, target_id) = (&request.id, &picked.id);
                log_event!(error, Event::HeaderUnsendable, request_id, target_id, %error);
                return AttemptResult::NotSent { error: error.to_string() };
            }
        };
        let sent = SentAttempt { at_ms: monotonic_ms(), resume_after };
        match connection.send(message).await {
            Ok(response) => {
                let address = picked.address.clone();
                let answered = Answered { response, connection, address };
                return classify_answer(state, request, picked, &sent, answered);
            }
            Err(mut error) => {
                if error.take_message().is_none() {
                    return AttemptResult::Unknown { error: error.into_error().to_string() };
                }
                // The connection was closed before any byte of the request was written.
                match state.pool.open(&picked.address).await {
                    Ok(fresh) => next = Some(fresh),
                    Err(error) => return AttemptResult::NotSent { error: error.to_string() },
                }
            }
        }
    }
    AttemptResult::NotSent { error: "no connection".to_string() }
}

/// Returns a pooled or a new connection. At-most-once requests always get a new one, because a pooled connection may
/// close while the request is being sent.
async fn take_connection(
    state: &Arc<RelayState>,
    request: &RelayRequest,
    picked: &PickedTarget,
) -> std::io::Result<Connection> {
    let may_reuse = request.route.kind != RequestKind::AtMostOnce;
    let pooled = if may_reuse { state.pool.take(&picked.address) } else { None };
    match pooled {
        Some(connection) => Ok(connection),
        None => {
            // The new connection and those in use also count against the share.
            let share = state.connection_share(&request.service);
            state.pool.trim(&picked.address, share.saturating_sub(picked.own_load as usize + 1));
            state.pool.open(&picked.address).await
        }
    }
}

/// A value that a target must be told can't be sent as a header.
#[derive(Debug, thiserror::Error)]
#[error("the header {name} can't have the value {value:?}: {fault}")]
struct UnsendableHeader {
    name: HeaderName,
    value: String,
    fault: HeaderTextFault,
}

/// Builds the message for a target. A request is never sent without one of the headers that it must have.
fn build_message(
    state: &Arc<RelayState>,
    request: &RelayRequest,
    picked: &PickedTarget,
    resume_after: Option<u64>,
) -> Result<Request<Full<Bytes>>, UnsendableHeader> {
    let names = state.dialect.headers();
    let mut message = Request::new(Full::new(request.body.clone()));
    *message.method_mut() = request.method.clone();
    // The path comes from a parsed request line, so parsing it again succeeds.
    *message.uri_mut() = request.target_path.parse().unwrap_or_default();
    let headers = message.headers_mut();
    *headers = request.headers.clone();
    let mut set = |name: &HeaderName, text: &str| {
        let unsendable =
            |fault| UnsendableHeader { name: name.clone(), value: text.to_string(), fault };
        check_header_text(text).map_err(unsendable)?;
        let value = HeaderValue::from_str(text);
        let value = value.map_err(|_| unsendable(HeaderTextFault::ControlCharacter))?;
        headers.insert(name.clone(), value);
        Ok(())
    };
    set(&names.time_left, &request.time_left_ms().to_string())?;
    set(&names.expected_target, &picked.id)?;
    set(&names.priority, &request.priority.to_string())?;
    if let Some(team) = &request.team {
        set(&names.team, team)?;
    }
    if let Some(id) = resume_after {
        set(&names.last_event_id, &id.to_string())?;
    }
    Ok(message)
}

/// Records the limit that an answer names, or that it names none. Only the target's own answer to a request lifts a limit.
fn observe_limit(
    state: &RelayState,
    picked: &PickedTarget,
    response: &Response<Incoming>,
    sent_ms: u64,
) {
    let (names, answer) = (state.dialect.headers(), response.headers());
    if response.status() == StatusCode::MISDIRECTED_REQUEST {
        return;
    }
    let Some(limit) = answer.get(&names.limit) else {
        if answer.contains_key(&names.signature) {
            state.limits.record_answer(picked, None, sent_ms);
        }
        return;
    };
    let per_s = limit.to_str().ok().and_then(|it| it.trim().parse::<f64>().ok());
    if let Some(per_s) = per_s.filter(|it| it.is_finite() && *it >= 0.0) {
        state.limits.record_answer(picked, Some(per_s), sent_ms);
    }
}

/// Records and returns what an answer says of its target.
fn observe_notice(
    state: &Arc<RelayState>,
    request: &RelayRequest,
    picked: &PickedTarget,
    response: &Response<Incoming>,
) -> TargetNotice {
    let names = state.dialect.headers();
    let notice = TargetNotice::read(response.status(), response.headers(), names);
    notice.log(request, &picked.id);
    if notice.is_leaving {
        leaving::record(state, &picked.id, picked.incarnation, LeavingSource::Answer);
    }
    if let Some(rest) = notice.rest {
        let until_ms = monotonic_ms() + rest.as_millis() as u64;
        let mut targets = state.services.targets.lock();
        targets.record_rest(picked.key, picked.incarnation, until_ms);
        state.daemon.metrics.target_rests.inc();
    }
    notice
}

/// Checks that an answer belongs to this request, records what it says of its target, and detects refusals.
fn classify_answer(
    state: &Arc<RelayState>,
    request: &RelayRequest,
    picked: &PickedTarget,
    sent: &SentAttempt,
    answered: Answered,
) -> AttemptResult {
    let names = state.dialect.headers();
    let (status, answer) = (answered.response.status(), answered.response.headers());
    let expected = SentRequest {
        id: &request.id,
        is_first_on_connection: answered.connection.is_first_request(),
        wants_stream: request.route.kind == RequestKind::Stream,
        is_continuation: sent.resume_after.is_some(),
    };
    let kind = match check_answer(&expected, status, answer, names) {
        Ok(kind) => kind,
        Err(mismatch) => return AttemptResult::Unknown { error: mismatch.to_string() },
    };
    observe_limit(state, picked, &answered.response, sent.at_ms);
    let notice = observe_notice(state, request, picked, &answered.response);
    match kind {
        AnswerKind::NotRun => AttemptResult::NotRun { status, wants_rest: notice.rest.is_some() },
        AnswerKind::Ran => AttemptResult::Answered(Box::new(answered)),
    }
}
