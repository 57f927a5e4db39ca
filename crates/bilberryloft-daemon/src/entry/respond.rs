//! Writing answers and refusals for callers.

use std::sync::Arc;

use axum::body::Body;
use axum::http::StatusCode;
use axum::response::Response;
use bilberryloft_protocol::problem::Problem;
use bilberryloft_protocol::wire;
use bilberryloft_state::refusal::Reason;
use bilberryloft_transport::clock::epoch_ms;
use bytes::Bytes;
use bytes::BytesMut;
use tokio::time::Instant;

use crate::entry::answer::AnswerSource;
use crate::entry::answer::Item;
use crate::entry::attempt::Started;
use crate::entry::state::Entry;
use crate::entry::state::OpenRequest;
use crate::events::Event;
use crate::log_event;

/// Header with the id of the request.
pub const REQUEST_ID: &str = "bilberryloft-request-id";
/// Header with the configuration version that decided.
pub const CONFIGURATION: &str = "bilberryloft-configuration";

/// What is needed to write an answer, beside the answer itself.
pub(super) struct Terms {
    pub entry: Arc<Entry>,
    pub request_id: String,
    pub team: String,
    pub arrived: Instant,
    pub open: OpenRequest,
}

impl Terms {
    fn note_first_byte(&self) {
        let elapsed = self.arrived.elapsed();
        self.entry.metrics.first_byte_s.observe(elapsed.as_secs_f64());
        let is_late = elapsed.as_millis() as u64 > self.entry.settings.first_token_objective_ms;
        self.entry.lock().burn.record(&self.team, is_late, epoch_ms());
    }
}

/// Writes a refusal.
pub(super) fn refuse(entry: &Entry, request_id: &str, team: &str, problem: Problem) -> Response {
    let problem = problem.with_request_id(request_id);
    note_refusal(entry, request_id, team, &problem);
    let status = StatusCode::from_u16(problem.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = Response::builder()
        .status(status)
        .header("content-type", "application/problem+json")
        .header(REQUEST_ID, request_id);
    if problem.retry_after_ms > 0 {
        response =
            response.header("retry-after", problem.retry_after_ms.div_ceil(1_000).to_string());
    }
    let body = serde_json::to_vec(&problem).unwrap_or_default();
    response.body(Body::from(body)).unwrap_or_default()
}

fn note_refusal(entry: &Entry, request_id: &str, team: &str, problem: &Problem) {
    entry.metrics.count_refusal(problem.reason);
    entry.keep_refusal(request_id, team, problem);
    log_event!(info, Event::RequestRefused, request_id, team, reason = ?problem.reason, run = ?problem.run, detail = problem.detail);
    if !team.is_empty() && spends_budget(problem.reason) {
        entry.lock().burn.record(team, true, epoch_ms());
    }
}

/// Whether a refusal counts against the service rather than the caller.
fn spends_budget(reason: Reason) -> bool {
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

/// Writes an answer that was read whole.
pub(super) fn write_whole(terms: Terms, mut started: Started) -> Response {
    terms.note_first_byte();
    terms.entry.metrics.answers.inc();
    let body = started.first.take().map(|(_, data)| data).unwrap_or_default();
    let response = response_head(&terms, &started.head);
    let guarded = futures_util::stream::once(async move {
        let _open = terms.open;
        Ok::<Bytes, std::io::Error>(Bytes::from(body))
    });
    response.body(Body::from_stream(guarded)).unwrap_or_default()
}

/// Writes an answer as it comes.
pub(super) fn write_stream(terms: Terms, started: Started) -> Response {
    terms.note_first_byte();
    let response = response_head(&terms, &started.head);
    let writer =
        StreamWriter { source: started.source, terms, first: started.first, is_done: false };
    let stream = futures_util::stream::unfold(writer, |mut writer| async move {
        let bytes = writer.next().await?;
        Some((Ok::<Bytes, std::io::Error>(bytes), writer))
    });
    response.body(Body::from_stream(stream)).unwrap_or_default()
}

fn response_head(terms: &Terms, head: &wire::Head) -> axum::http::response::Builder {
    let status = StatusCode::from_u16(head.status as u16).unwrap_or(StatusCode::BAD_GATEWAY);
    let version = terms.entry.view.configuration().version();
    let mut response = Response::builder().status(status);
    for header in &head.headers {
        response = response.header(&header.name, &header.value);
    }
    response.header(REQUEST_ID, &terms.request_id).header(CONFIGURATION, version.to_string())
}

struct StreamWriter {
    source: AnswerSource,
    terms: Terms,
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
            return Some(self.write_piece(sequence, &data));
        }
        loop {
            match self.source.next().await {
                Ok(Item::Piece(sequence, data)) => return Some(self.write_piece(sequence, &data)),
                Ok(Item::Head(_)) => {}
                Ok(Item::End) => {
                    self.terms.entry.metrics.answers.inc();
                    return None;
                }
                Err(problem) => return Some(self.write_error(problem)),
            }
        }
    }

    /// Puts an id in front of each event, with which the stream can be resumed after it.
    fn write_piece(&self, sequence: u32, data: &[u8]) -> Bytes {
        self.terms.entry.metrics.pieces.inc();
        let source = &self.source;
        let id =
            format!("id: {sequence}/{}/{}/{}\n", source.attempt, source.target, source.request_id);
        let mut bytes = BytesMut::with_capacity(id.len() + data.len());
        bytes.extend_from_slice(id.as_bytes());
        bytes.extend_from_slice(data);
        bytes.freeze()
    }

    fn write_error(&mut self, problem: Problem) -> Bytes {
        self.is_done = true;
        let problem = problem.with_request_id(&self.terms.request_id);
        note_refusal(&self.terms.entry, &self.terms.request_id, &self.terms.team, &problem);
        let text = serde_json::to_string(&problem).unwrap_or_default();
        Bytes::from(format!("event: error\ndata: {text}\n\n"))
    }
}
