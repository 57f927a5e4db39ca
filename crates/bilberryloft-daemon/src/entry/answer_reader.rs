//! Reader of one attempt's answer: returns the pieces in order, checks that none is missing, and rejoins
//! the attempt after contact was lost.

use std::sync::Arc;
use std::time::Duration;

use bilberryloft_protocol::problem::Problem;
use bilberryloft_protocol::wire;
use bilberryloft_protocol::wire::Body;
use bilberryloft_state::key::TargetKey;
use bilberryloft_state::refusal::Reason;
use bilberryloft_state::refusal::RunState;
use bilberryloft_transport::client::Client;
use bilberryloft_transport::client::ResponseStream;
use tokio::time::Instant;

use crate::entry::agent_loss::DispatchedAttempt;
use crate::entry::state::Entry;
use crate::events::Event;
use crate::log_event;
use crate::trial::Trial;

/// Time to rejoin an attempt before it counts as lost.
const REJOIN_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Pause between tries to rejoin.
const REJOIN_PAUSE: Duration = Duration::from_millis(60);
/// Time beyond the deadline for the agent's own deadline refusal to arrive.
pub(super) const DEADLINE_GRACE: Duration = Duration::from_millis(250);

/// Next part of an answer.
#[derive(Debug)]
pub(super) enum AnswerPart {
    /// Status code and headers.
    Head(wire::Head),
    /// Piece of the body with its sequence number.
    Piece(u32, Vec<u8>),
    /// End of the answer, after all its pieces.
    End,
}

/// Reads the answer of one attempt from its agent.
#[derive(Debug)]
pub(super) struct AnswerReader {
    pub entry: Arc<Entry>,
    pub client: Client,
    pub key: Option<TargetKey>,
    pub target: String,
    pub request_id: String,
    pub attempt: u32,
    pub team: String,
    pub deadline: Instant,
    /// Trial under which the attempt runs.
    pub trial: Option<Trial>,
    /// The dispatched attempt, to report if its agent turns out to have failed.
    pub dispatched: Option<DispatchedAttempt>,
    stream: Option<ResponseStream>,
    /// Frame that was read before this reader was created.
    first_frame: Option<Body>,
    has_head: bool,
    next_sequence: u32,
    body_bytes: u64,
    /// Whether the body is read from its first piece on, so that its length can be checked.
    is_from_start: bool,
    is_ended: bool,
}

/// Identifies an attempt at an agent, with the team and deadline needed to read its answer.
#[derive(Clone, Debug)]
pub(super) struct AttemptRef {
    pub target: String,
    pub request_id: String,
    pub attempt: u32,
    pub team: String,
    pub deadline: Instant,
}

impl AnswerReader {
    /// Creates a reader; without a `stream` it joins the attempt first.
    pub fn new(
        entry: Arc<Entry>,
        client: Client,
        key: Option<TargetKey>,
        attempt_ref: AttemptRef,
        stream: Option<ResponseStream>,
        first_frame: Option<Body>,
        from_sequence: u32,
    ) -> AnswerReader {
        AnswerReader {
            entry,
            client,
            key,
            target: attempt_ref.target,
            request_id: attempt_ref.request_id,
            attempt: attempt_ref.attempt,
            team: attempt_ref.team,
            deadline: attempt_ref.deadline,
            trial: None,
            dispatched: None,
            stream,
            first_frame,
            has_head: false,
            next_sequence: from_sequence,
            body_bytes: 0,
            is_from_start: from_sequence == 0,
            is_ended: false,
        }
    }

    /// Waits for the next part, at most until shortly after the deadline.
    ///
    /// # Errors
    ///
    /// Returns the agent's refusal, or `Deadline` or `ContactLost` if no complete answer arrived.
    pub async fn next(&mut self) -> Result<AnswerPart, Problem> {
        let read_deadline = self.deadline + DEADLINE_GRACE;
        let next = tokio::time::timeout_at(read_deadline, self.next_unbounded()).await;
        let part = next.unwrap_or_else(|_| {
            let detail = "the deadline passed before the answer was complete";
            Err(Problem::new(Reason::Deadline, RunState::Unknown, 0, detail))
        });
        if let Err(problem) = &part
            && matches!(problem.reason, Reason::ContactLost | Reason::NoSuchAttempt)
            && let Some(dispatched) = self.dispatched.take()
        {
            self.entry.watch_for_agent_loss(dispatched);
        }
        part
    }

    async fn next_unbounded(&mut self) -> Result<AnswerPart, Problem> {
        loop {
            let body = match (self.first_frame.take(), &mut self.stream) {
                (Some(first_frame), _) => Some(first_frame),
                (None, Some(stream)) => stream.next().await.ok(),
                (None, None) => None,
            };
            match body {
                Some(body) => {
                    if let Some(part) = self.accept_frame(body)? {
                        return Ok(part);
                    }
                }
                None => self.rejoin().await?,
            }
        }
    }

    /// Processes a frame; frames of other attempts and pieces already returned give `None`.
    fn accept_frame(&mut self, body: Body) -> Result<Option<AnswerPart>, Problem> {
        match body {
            Body::Head(head) => {
                self.update_load(&head.load);
                if head.request_id != self.request_id
                    || head.attempt != self.attempt.cast_signed()
                    || self.has_head
                {
                    return Ok(None);
                }
                self.has_head = true;
                Ok(Some(AnswerPart::Head(head)))
            }
            Body::Piece(piece) if piece.attempt != self.attempt.cast_signed() => Ok(None),
            Body::Piece(piece) if piece.sequence.cast_unsigned() < self.next_sequence => Ok(None),
            Body::Piece(piece) if piece.sequence.cast_unsigned() > self.next_sequence => {
                // A piece is missing: drop the stream, so that `rejoin` requests it again.
                self.stream = None;
                Ok(None)
            }
            Body::Piece(piece) => {
                self.next_sequence += 1;
                self.body_bytes += piece.data.len() as u64;
                Ok(Some(AnswerPart::Piece(piece.sequence.cast_unsigned(), piece.data)))
            }
            Body::Complete(complete) => self.complete(&complete),
            Body::Refused(refused) => {
                self.update_load(&refused.load);
                self.is_ended = true;
                Err(problem_from_refused(&refused))
            }
            Body::Fault(fault) => Err(Problem::new(
                Reason::ContactLost,
                RunState::Unknown,
                0,
                format!("{}: {}", fault.step, fault.detail),
            )),
            _ => Ok(None),
        }
    }

    fn complete(&mut self, complete: &wire::Complete) -> Result<Option<AnswerPart>, Problem> {
        if complete.attempt != self.attempt.cast_signed() {
            return Ok(None);
        }
        self.update_load(&complete.load);
        self.is_ended = true;
        let has_all_pieces = complete.pieces.cast_unsigned() == self.next_sequence;
        let has_all_bytes =
            !self.is_from_start || complete.body_bytes.cast_unsigned() == self.body_bytes;
        if let Some(trial) = &mut self.trial {
            trial.target_survived = true;
        }
        if has_all_pieces && has_all_bytes {
            return Ok(Some(AnswerPart::End));
        }
        Err(Problem::new(
            Reason::ContactLost,
            RunState::Ran,
            0,
            "the answer's length does not match the length in its end frame",
        ))
    }

    fn update_load(&self, load: &wire::Load) {
        if let Some(key) = self.key {
            self.entry.update_load(key, load);
        }
    }

    /// Rejoins the attempt from the next missing piece on.
    async fn rejoin(&mut self) -> Result<(), Problem> {
        let until = (Instant::now() + REJOIN_TIMEOUT).min(self.deadline);
        loop {
            let attach = wire::Attach {
                request_id: self.request_id.clone(),
                attempt: self.attempt.cast_signed(),
                from_sequence: self.next_sequence.cast_signed(),
                team: self.team.clone(),
            };
            match self.client.open_stream(Body::Attach(attach)).await {
                Ok(stream) => {
                    log_event!(
                        info,
                        Event::AttemptRejoined,
                        request_id = self.request_id,
                        from = self.next_sequence
                    );
                    self.stream = Some(stream);
                    return Ok(());
                }
                Err(error) if Instant::now() + REJOIN_PAUSE >= until => {
                    let detail = format!("contact with {} was lost: {error}", self.target);
                    return Err(Problem::new(Reason::ContactLost, RunState::Unknown, 0, detail));
                }
                Err(_) => tokio::time::sleep(REJOIN_PAUSE).await,
            }
        }
    }
}

impl Drop for AnswerReader {
    fn drop(&mut self) {
        if let Some(key) = self.key {
            self.entry.lock().picker.note_end(key);
        }
        if self.is_ended {
            return;
        }
        // The answer is no longer read; the agent decides whether the attempt may stop.
        let cancel = wire::Cancel::new(self.request_id.clone(), self.attempt.cast_signed());
        let client = self.client.clone();
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(async move {
                let _ = client.notify(Body::Cancel(cancel)).await;
            });
        }
    }
}

/// Converts an agent's refusal into a problem.
pub(super) fn problem_from_refused(refused: &wire::Refused) -> Problem {
    let reason = Reason::from_wire_number(refused.reason).unwrap_or(Reason::TargetFailed);
    let run = RunState::from_wire_number(refused.run);
    Problem::new(reason, run, refused.retry_after_ms.max(0).cast_unsigned(), refused.detail.clone())
}
