//! HTTP responses to callers: answers and refusals.

use std::sync::Arc;

use axum::body::Body;
use axum::http::StatusCode;
use axum::response::Response;
use bilberryloft_protocol::problem::Problem;
use bilberryloft_protocol::wire;
use bilberryloft_state::refusal::Reason;
use bilberryloft_transport::clock::epoch_ms;
use bilberryloft_transport::http::is_final;
use bytes::Bytes;
use bytes::BytesMut;
use tokio::time::Instant;

use crate::entry::answer_reader::AnswerPart;
use crate::entry::answer_reader::AnswerReader;
use crate::entry::attempt::ended_problem;
use crate::entry::started_answer::StartedAnswer;
use crate::entry::state::Entry;
use crate::entry::state::OpenRequest;
use crate::events::Event;
use crate::log_event;

/// Header with the request id.
pub const REQUEST_ID_HEADER: &str = "bilberryloft-request-id";
/// Header with the entry's configuration version when the response was built.
pub const CONFIGURATION_VERSION_HEADER: &str = "bilberryloft-configuration";

/// Data of a request that is needed to build its response.
pub(super) struct ResponseContext {
    pub entry: Arc<Entry>,
    pub request_id: String,
    pub team: String,
    pub arrived: Instant,
    pub open_request: OpenRequest,
}

impl ResponseContext {
    fn observe_first_byte(&self) {
        let elapsed = self.arrived.elapsed();
        self.entry.metrics.first_byte_s.observe(elapsed.as_secs_f64());
        let is_late = elapsed.as_millis() as u64 > self.entry.settings.first_token_objective_ms;
        self.entry.lock().burn_rates.record(&self.team, is_late, epoch_ms());
    }
}

/// Builds the response for a refusal, and records the refusal.
pub(super) fn refusal_response(
    entry: &Entry,
    request_id: &str,
    team: &str,
    problem: Problem,
) -> Response {
    let problem = problem.with_request_id(request_id);
    record_refusal(entry, request_id, team, &problem);
    let status = StatusCode::from_u16(problem.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = Response::builder()
        .status(status)
        .header("content-type", "application/problem+json")
        .header(REQUEST_ID_HEADER, request_id);
    if problem.retry_after_ms > 0 {
        response =
            response.header("retry-after", problem.retry_after_ms.div_ceil(1_000).to_string());
    }
    let body = serde_json::to_vec(&problem).unwrap_or_default();
    response.body(Body::from(body)).unwrap_or_default()
}

fn record_refusal(entry: &Entry, request_id: &str, team: &str, problem: &Problem) {
    entry.metrics.count_refusal(problem.reason);
    entry.push_refusal_record(request_id, team, problem);
    log_event!(info, Event::RequestRefused, request_id, team, reason = ?problem.reason, run = ?problem.run, detail = problem.detail);
    if !team.is_empty() && counts_against_error_budget(problem.reason) {
        entry.lock().burn_rates.record(team, true, epoch_ms());
    }
}

/// Whether a refusal counts as an error of the service rather than of the caller.
fn counts_against_error_budget(reason: Reason) -> bool {
    !matches!(
        reason,
        Reason::BadRequest
            | Reason::TooLarge
            | Reason::UnknownToken
            | Reason::NotAllowed
            | Reason::NoTarget
            | Reason::KeyReused
            | Reason::Cancelled
    )
}

/// Builds the response for an answer that was read completely.
pub(super) fn buffered_response(context: ResponseContext, mut started: StartedAnswer) -> Response {
    context.observe_first_byte();
    context.entry.metrics.answers.inc();
    let body = started.first.take().map(|(_, data)| data).unwrap_or_default();
    let response = response_head(&context, &started.head);
    let stream = futures_util::stream::once(async move {
        let _open_request = context.open_request;
        Ok::<Bytes, std::io::Error>(Bytes::from(body))
    });
    response.body(Body::from_stream(stream)).unwrap_or_default()
}

/// Builds a response that streams an answer as it arrives.
pub(super) fn streamed_response(context: ResponseContext, started: StartedAnswer) -> Response {
    context.observe_first_byte();
    let response = response_head(&context, &started.head);
    let writer =
        StreamWriter { reader: started.reader, context, first: started.first, is_done: false };
    let stream = futures_util::stream::unfold(writer, |mut writer| async move {
        let bytes = writer.next().await?;
        Some((Ok::<Bytes, std::io::Error>(bytes), writer))
    });
    response.body(Body::from_stream(stream)).unwrap_or_default()
}

fn response_head(context: &ResponseContext, head: &wire::Head) -> axum::http::response::Builder {
    let version = context.entry.view.configuration().version();
    let mut response = Response::builder().status(answer_status(head.status));
    for header in &head.headers {
        response = response.header(&header.name, &header.value);
    }
    response
        .header(REQUEST_ID_HEADER, &context.request_id)
        .header(CONFIGURATION_VERSION_HEADER, version.to_string())
}

/// Returns the status for the caller of an answer whose agent names the given one.
fn answer_status(named: i32) -> StatusCode {
    let status = u16::try_from(named).ok().and_then(|it| StatusCode::from_u16(it).ok());
    status.filter(|it| is_final(*it)).unwrap_or(StatusCode::BAD_GATEWAY)
}

struct StreamWriter {
    reader: AnswerReader,
    context: ResponseContext,
    first: Option<(u32, Vec<u8>)>,
    is_done: bool,
}

impl StreamWriter {
    /// Returns the next bytes for the caller; `None` after the end.
    async fn next(&mut self) -> Option<Bytes> {
        if self.is_done {
            return None;
        }
        if let Some((sequence, data)) = self.first.take() {
            return Some(self.encode(sequence, &data));
        }
        loop {
            let part = tokio::select! {
                part = self.reader.next() => part,
                () = self.context.entry.wait_for_end() => Err(ended_problem()),
            };
            match part {
                Ok(AnswerPart::Piece(sequence, data)) => return Some(self.encode(sequence, &data)),
                Ok(AnswerPart::Head(_)) => {}
                Ok(AnswerPart::End) => {
                    self.context.entry.metrics.answers.inc();
                    return None;
                }
                Err(problem) => return Some(self.encode_error(problem)),
            }
        }
    }

    /// Encodes a piece with an event id in front, so that the caller can resume the stream after it.
    fn encode(&self, sequence: u32, data: &[u8]) -> Bytes {
        self.context.entry.metrics.pieces.inc();
        let reader = &self.reader;
        let id =
            format!("id: {sequence}/{}/{}/{}\n", reader.attempt, reader.target, reader.request_id);
        let mut bytes = BytesMut::with_capacity(id.len() + data.len());
        bytes.extend_from_slice(id.as_bytes());
        bytes.extend_from_slice(data);
        bytes.freeze()
    }

    fn encode_error(&mut self, problem: Problem) -> Bytes {
        self.is_done = true;
        let problem = problem.with_request_id(&self.context.request_id);
        record_refusal(&self.context.entry, &self.context.request_id, &self.context.team, &problem);
        let text = serde_json::to_string(&problem).unwrap_or_default();
        Bytes::from(format!("event: error\ndata: {text}\n\n"))
    }
}
