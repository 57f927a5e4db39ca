//! Decides whether the head of an answer belongs to the request that was sent, and what it says of the request's run.
//!
//! A target in trouble may send an earlier answer once more. Targets repeat the id of a request in their answers, so the id
//! tells whose answer it is. Without an id, only the first answer on a connection can't be one of an earlier request.

use bilberryloft_transport::http::is_final;
use hyper::HeaderMap;
use hyper::StatusCode;
use hyper::header;

use crate::dialect::HeaderNames;

/// Type of content of a stream of events.
const EVENT_STREAM: &str = "text/event-stream";

/// What was sent, as far as an answer has to fit it.
#[derive(Clone, Copy, Debug)]
pub struct SentRequest<'a> {
    /// Id of the request.
    pub id: &'a str,
    /// Whether the connection carried no request before.
    pub is_first_on_connection: bool,
    /// Whether the answer must be a stream of events if it is a success.
    pub wants_stream: bool,
    /// Whether the answer continues a stream that has begun.
    pub is_continuation: bool,
}

/// What an answer to the request says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerKind {
    /// The target did not run the request and never will.
    NotRun,
    /// The target ran the request.
    Ran,
}

/// Reason for which an answer is not believed. The request may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Mismatch {
    /// The status is no final one of HTTP.
    #[error("status {} is no final status of HTTP", .0.as_u16())]
    NoFinalStatus(StatusCode),
    /// The answer has the id of another request.
    #[error("the answer belongs to another request")]
    OtherId,
    /// The answer has no id and may be one of an earlier request on the connection.
    #[error("the answer has no request id and is not the first one on its connection")]
    NoId,
    /// A success has no signature of a target, or no id.
    #[error("the answer has no signature of a target")]
    Unsigned,
    /// The status promises that the request has not run, but the target doesn't say so.
    #[error("status {0} promises that the request has not run, but the target doesn't say so")]
    UnprovenPromise(StatusCode),
    /// A success on a route of streams is no stream of events, or not one that can follow the events sent so far.
    #[error("the answer is not the expected stream of events")]
    NoStream,
}

/// Checks the head of an answer against the request that was sent.
pub fn check_answer(
    sent: &SentRequest<'_>,
    status: StatusCode,
    answer: &HeaderMap,
    names: &HeaderNames,
) -> Result<AnswerKind, Mismatch> {
    if !is_final(status) {
        return Err(Mismatch::NoFinalStatus(status));
    }
    let id = answer.get(&names.request_id);
    match id {
        Some(id) if id.as_bytes() != sent.id.as_bytes() => return Err(Mismatch::OtherId),
        None if !sent.is_first_on_connection => return Err(Mismatch::NoId),
        Some(_) | None => {}
    }
    if answer.contains_key(&names.not_run) || status == StatusCode::MISDIRECTED_REQUEST {
        return Ok(AnswerKind::NotRun);
    }
    if promises_no_run(status) {
        return Err(Mismatch::UnprovenPromise(status));
    }
    if !status.is_success() {
        return Ok(AnswerKind::Ran);
    }
    if id.is_none() || !answer.contains_key(&names.signature) {
        return Err(Mismatch::Unsigned);
    }
    match sent.wants_stream && !is_expected_stream(sent, status, answer) {
        true => Err(Mismatch::NoStream),
        false => Ok(AnswerKind::Ran),
    }
}

/// Whether callers take a status as a promise that the request has not run and never will.
fn promises_no_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Whether a success is a stream of events. The first answer may leave out its type; a continuation must be the content
/// itself, in the same form.
fn is_expected_stream(sent: &SentRequest<'_>, status: StatusCode, answer: &HeaderMap) -> bool {
    let has_type = match answer.get(header::CONTENT_TYPE) {
        Some(value) => is_event_stream(value.as_bytes()),
        None => true,
    };
    has_type && (is_unencoded_content(status, answer) || !sent.is_continuation)
}

/// Whether the body of an answer is the whole content itself, neither a part of it nor encoded.
pub fn is_unencoded_content(status: StatusCode, answer: &HeaderMap) -> bool {
    status == StatusCode::OK && !answer.contains_key(header::CONTENT_ENCODING)
}

fn is_event_stream(content_type: &[u8]) -> bool {
    let media_type = content_type.split(|it| *it == b';').next().unwrap_or_default();
    media_type.trim_ascii().eq_ignore_ascii_case(EVENT_STREAM.as_bytes())
}
