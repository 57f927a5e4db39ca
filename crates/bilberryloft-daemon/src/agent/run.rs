//! Runs one attempt at the target.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use bilberryloft_coordination::admission::BYTES_PER_TOKEN;
use bilberryloft_coordination::attempts::AttemptState;
use bilberryloft_coordination::rank_choice::RankWork;
use bilberryloft_protocol::wire::Dispatch;
use bilberryloft_protocol::wire::Header;
use bilberryloft_state::refusal::Reason;
use bilberryloft_state::refusal::RunState;
use bilberryloft_transport::clock::monotonic_ms;
use bilberryloft_transport::http::BODY_DESCRIPTIONS;
use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use tokio::time::Instant;

use crate::agent::Agent;
use crate::agent::SseSplitter;
use crate::agent::answer_buffer::AnswerBuffer;
use crate::agent::answer_buffer::AnswerHead;
use crate::agent::answer_buffer::AttemptOutcome;
use crate::agent::answer_buffer::wait_until_abandoned;
use crate::agent::dispatch::Slot;
use crate::events::Event;
use crate::log_event;

/// Time for which an idempotent attempt continues after its last reader left, in milliseconds.
const ABANDONED_AFTER_MS: u64 = 10_000;
/// Answer headers that belong to one connection and are not forwarded.
const CONNECTION_HEADERS: [&str; 4] =
    ["connection", "transfer-encoding", "content-length", "keep-alive"];

impl Agent {
    /// Runs an admitted attempt until it ends, its deadline passes or it is cancelled.
    pub(super) async fn run(
        self: Arc<Self>,
        dispatch: Dispatch,
        slot: Slot,
        deadline: Instant,
        buffer: Arc<AnswerBuffer>,
    ) {
        let started_ms = monotonic_ms();
        self.lock().fingerprints_at_target.insert(slot.id, dispatch.fingerprint);
        self.metrics.attempts_started.inc();
        let mut cancellation = buffer.cancellation();
        let outcome = tokio::select! {
            outcome = self.call_target(&dispatch, &slot, &buffer, started_ms) => outcome,
            () = tokio::time::sleep_until(deadline) => {
                refused_after_run(Reason::Deadline, 0, "the deadline passed while the target was processing the request")
            }
            _ = cancellation.wait_for(|it| *it), if !buffer.non_idempotent => refused_after_run(Reason::Cancelled, 0, "the caller disconnected"),
            () = wait_until_abandoned(&buffer, ABANDONED_AFTER_MS), if !buffer.non_idempotent => refused_after_run(Reason::Cancelled, 0, "no entry has been reading the answer"),
        };
        self.finish(&dispatch, &slot, &buffer, outcome);
    }

    fn finish(
        &self,
        dispatch: &Dispatch,
        slot: &Slot,
        buffer: &AnswerBuffer,
        outcome: AttemptOutcome,
    ) {
        let now_ms = monotonic_ms();
        let state = match &outcome {
            AttemptOutcome::Complete => AttemptState::Finished,
            AttemptOutcome::Refused { run: RunState::NotRun, .. } => AttemptState::NotStarted,
            AttemptOutcome::Refused { reason: Reason::Cancelled, .. } => {
                self.metrics.attempts_cancelled.inc();
                log_event!(info, Event::AttemptCancelled, request_id = dispatch.request_id);
                AttemptState::Failed
            }
            AttemptOutcome::Refused { .. } => AttemptState::Failed,
        };
        {
            let mut inner = self.lock();
            inner.fingerprints_at_target.remove(&slot.id);
            inner.attempts.end(
                &dispatch.request_id,
                dispatch.attempt.cast_unsigned(),
                state,
                now_ms,
            );
        }
        self.free_slot(slot.id);
        buffer.end(outcome, now_ms);
        self.drop_old_answers(now_ms);
    }

    /// Drops ended answers after `hold_ms`, and the oldest ones while all together exceed the memory limit.
    ///
    /// Answers are kept after their end for resends and for the resumption of streams.
    fn drop_old_answers(&self, now_ms: u64) {
        let hold_ms = self.settings.hold_ms;
        let mut inner = self.lock();
        inner.answers.retain(|_, it| it.ended_ms().is_none_or(|ended| ended + hold_ms > now_ms));
        let mut total_bytes: usize = inner.answers.values().map(|it| it.held_bytes()).sum();
        while total_bytes > self.settings.hold_total_max_bytes {
            let oldest =
                inner.answers.iter().filter_map(|(key, it)| Some((it.ended_ms()?, key))).min();
            let Some((_, key)) = oldest else { break };
            let key = key.clone();
            total_bytes -= inner.answers.remove(&key).map_or(0, |it| it.held_bytes());
        }
    }

    async fn call_target(
        &self,
        dispatch: &Dispatch,
        slot: &Slot,
        buffer: &AnswerBuffer,
        started_ms: u64,
    ) -> AttemptOutcome {
        let assignment = RankAssignment::choose(self, dispatch);
        let request = match build_request(dispatch, &slot.target.url, assignment.rank) {
            Ok(request) => request,
            Err(detail) => return refused_not_run(Reason::BadRequest, detail),
        };
        let response = match self.http.send(request).await {
            Ok(response) => response,
            Err(failure) if failure.is_connect => {
                self.lock().is_target_down = true;
                return refused_not_run(Reason::TargetUnreachable, failure.detail);
            }
            Err(failure) => {
                return self.failure_outcome(started_ms, RunState::Unknown, failure.detail).await;
            }
        };
        let is_stream = is_event_stream(&response);
        let head = answer_head(&response, is_stream);
        assignment.note_prefilled();
        buffer.set_head(head);
        match forward_body(response, is_stream, buffer).await {
            Ok(()) => AttemptOutcome::Complete,
            Err(detail) => self.failure_outcome(started_ms, RunState::Ran, detail).await,
        }
    }

    async fn failure_outcome(
        &self,
        started_ms: u64,
        run: RunState,
        detail: String,
    ) -> AttemptOutcome {
        let has_crashed = self.check_for_crash(started_ms).await;
        let detail = match has_crashed {
            true => format!("the target crashed: {detail}"),
            false => format!("the exchange with the target failed: {detail}"),
        };
        AttemptOutcome::Refused { reason: Reason::TargetFailed, run, retry_after_ms: 0, detail }
    }
}

/// Assignment of a request to a rank of the target's group; dropping it removes the request's load.
struct RankAssignment<'a> {
    agent: &'a Agent,
    rank: usize,
    prompt_tokens: u64,
    is_prefilled: AtomicBool,
}

impl<'a> RankAssignment<'a> {
    fn choose(agent: &'a Agent, dispatch: &Dispatch) -> RankAssignment<'a> {
        let prompt_tokens = dispatch.body.len() as u64 / BYTES_PER_TOKEN;
        let answer_tokens =
            dispatch.work_tokens.max(0).cast_unsigned().saturating_sub(prompt_tokens);
        let rank = agent.lock().ranks.place(RankWork { prompt_tokens, answer_tokens });
        RankAssignment { agent, rank, prompt_tokens, is_prefilled: AtomicBool::new(false) }
    }

    /// Moves the prompt's tokens from prefill to the cache; called when the first part of the answer arrives,
    /// which shows that the prompt has been processed.
    fn note_prefilled(&self) {
        self.is_prefilled.store(true, Ordering::Relaxed);
        self.agent.lock().ranks.note_prefilled(self.rank, self.prompt_tokens);
    }
}

impl Drop for RankAssignment<'_> {
    fn drop(&mut self) {
        let (unread, cached) = match self.is_prefilled.load(Ordering::Relaxed) {
            true => (0, self.prompt_tokens),
            false => (self.prompt_tokens, 0),
        };
        let mut inner = self.agent.lock();
        // The target may have restarted with fewer ranks.
        if self.rank < inner.ranks.ranks() {
            inner.ranks.end(self.rank, unread, cached);
        }
    }
}

async fn forward_body(
    response: Response<Incoming>,
    is_stream: bool,
    buffer: &AnswerBuffer,
) -> Result<(), String> {
    let mut body = response.into_body();
    let mut splitter = SseSplitter::default();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|it| it.to_string())?;
        let Ok(chunk) = frame.into_data() else {
            continue;
        };
        if !is_stream {
            buffer.push(chunk).await;
            continue;
        }
        for event in splitter.push(&chunk) {
            buffer.push(event).await;
        }
    }
    match splitter.finish() {
        Some(_) => Err("the stream ended inside an event".to_string()),
        None => Ok(()),
    }
}

fn build_request(
    dispatch: &Dispatch,
    url: &str,
    rank: usize,
) -> Result<Request<Full<Bytes>>, String> {
    let mut request =
        Request::builder().method(dispatch.method.as_str()).uri(format!("{url}{}", dispatch.path));
    for header in &dispatch.headers {
        request = request.header(&header.name, &header.value);
    }
    request
        .header("x-request-id", &dispatch.request_id)
        .header("x-priority", dispatch.priority.to_string())
        .header("x-rank", rank.to_string())
        .body(Full::new(Bytes::from(dispatch.body.clone())))
        .map_err(|it| it.to_string())
}

/// Returns the head of an answer for its caller. Entries add ids to the events of a stream, so what describes its bytes is left
/// out.
fn answer_head(response: &Response<Incoming>, is_stream: bool) -> AnswerHead {
    let mut headers = Vec::new();
    for (name, value) in response.headers() {
        let Ok(value) = value.to_str() else { continue };
        let is_changed = is_stream && BODY_DESCRIPTIONS.contains(name);
        if !is_changed && !CONNECTION_HEADERS.contains(&name.as_str()) {
            headers.push(Header::new(name.to_string(), value.to_string()));
        }
    }
    AnswerHead { status: response.status().as_u16(), headers }
}

fn is_event_stream(response: &Response<Incoming>) -> bool {
    let content_type = response.headers().get("content-type").and_then(|it| it.to_str().ok());
    content_type.is_some_and(|it| it.starts_with("text/event-stream"))
}

fn refused_not_run(reason: Reason, detail: impl Into<String>) -> AttemptOutcome {
    AttemptOutcome::Refused {
        reason,
        run: RunState::NotRun,
        retry_after_ms: 50,
        detail: detail.into(),
    }
}

fn refused_after_run(reason: Reason, retry_after_ms: u64, detail: &str) -> AttemptOutcome {
    AttemptOutcome::Refused {
        reason,
        run: RunState::Ran,
        retry_after_ms,
        detail: detail.to_string(),
    }
}
