//! Sends a buffered answer, or a refusal, to one entry.

use bilberryloft_protocol::wire;
use bilberryloft_protocol::wire::Body;
use bilberryloft_state::refusal::Reason;
use bilberryloft_state::refusal::RunState;
use bilberryloft_transport::clock::monotonic_ms;
use bilberryloft_transport::server::Responder;

use crate::agent::Agent;
use crate::agent::answer_buffer::AnswerBuffer;
use crate::agent::answer_buffer::AttemptOutcome;
use crate::agent::answer_buffer::Cursor;
use crate::agent::answer_buffer::ReadResult;

/// A refusal to send to an entry.
#[derive(Clone, Debug)]
pub(super) struct Refusal {
    pub reason: Reason,
    pub run: RunState,
    pub retry_after_ms: u64,
    pub detail: String,
}

impl Refusal {
    /// Creates a refusal of an attempt that did not run.
    pub fn not_run(reason: Reason, retry_after_ms: u64, detail: impl Into<String>) -> Refusal {
        Refusal { reason, run: RunState::NotRun, retry_after_ms, detail: detail.into() }
    }

    /// Converts the refusal into the outcome of its attempt.
    pub fn into_outcome(self) -> AttemptOutcome {
        let Refusal { reason, run, retry_after_ms, detail } = self;
        AttemptOutcome::Refused { reason, run, retry_after_ms, detail }
    }
}

impl Agent {
    /// Sends the answer from the given piece on until its end, or until the entry disconnects.
    pub(super) async fn send_answer(
        &self,
        request_id: &str,
        attempt: u32,
        buffer: &AnswerBuffer,
        from_sequence: u32,
        responder: &Responder,
    ) {
        let mut changes = buffer.changes();
        let mut cursor = buffer.subscribe(from_sequence);
        loop {
            changes.mark_unchanged();
            if !self.send_available(request_id, attempt, buffer, &mut cursor, responder).await {
                break;
            }
            tokio::select! {
                changed = changes.changed() => if changed.is_err() { break },
                () = responder.closed() => break,
            }
        }
        buffer.unsubscribe(cursor, monotonic_ms());
    }

    /// Sends what the buffer holds; returns whether more may follow.
    async fn send_available(
        &self,
        request_id: &str,
        attempt: u32,
        buffer: &AnswerBuffer,
        cursor: &mut Cursor,
        responder: &Responder,
    ) -> bool {
        loop {
            let body = match buffer.next(cursor) {
                ReadResult::Pending => return true,
                ReadResult::Head(head) => Body::Head(wire::Head {
                    request_id: request_id.to_string(),
                    attempt: attempt.cast_signed(),
                    status: i32::from(head.status),
                    headers: head.headers,
                    load: self.load(),
                }),
                ReadResult::Piece(sequence, piece) => Body::Piece(wire::Piece::new(
                    attempt.cast_signed(),
                    sequence.cast_signed(),
                    piece.to_vec(),
                )),
                ReadResult::Dropped => {
                    let refusal = Refusal {
                        reason: Reason::AnswerGone,
                        run: RunState::Ran,
                        retry_after_ms: 0,
                        detail: "the requested part of the answer is no longer buffered"
                            .to_string(),
                    };
                    self.refuse(attempt, refusal, responder).await;
                    return false;
                }
                ReadResult::End(outcome, pieces, body_bytes) => {
                    self.send_outcome(attempt, outcome, pieces, body_bytes, responder).await;
                    return false;
                }
            };
            if responder.send(body).await.is_err() {
                return false;
            }
        }
    }

    async fn send_outcome(
        &self,
        attempt: u32,
        outcome: AttemptOutcome,
        pieces: u32,
        body_bytes: u64,
        responder: &Responder,
    ) {
        match outcome {
            AttemptOutcome::Complete => {
                let complete = wire::Complete {
                    attempt: attempt.cast_signed(),
                    pieces: pieces.cast_signed(),
                    body_bytes: body_bytes.cast_signed(),
                    load: self.load(),
                };
                let _ = responder.send(Body::Complete(complete)).await;
            }
            AttemptOutcome::Refused { reason, run, retry_after_ms, detail } => {
                self.refuse(attempt, Refusal { reason, run, retry_after_ms, detail }, responder)
                    .await;
            }
        }
    }

    /// Sends a refusal with the target's current load.
    pub(super) async fn refuse(&self, attempt: u32, refusal: Refusal, responder: &Responder) {
        self.metrics.count_agent_refusal(refusal.reason);
        let refused = wire::Refused {
            attempt: attempt.cast_signed(),
            reason: refusal.reason.wire_number(),
            run: refusal.run.wire_number(),
            retry_after_ms: refusal.retry_after_ms.cast_signed(),
            configuration_version: self.view.configuration().version().cast_signed(),
            detail: refusal.detail,
            load: self.load(),
        };
        let _ = responder.send(Body::Refused(refused)).await;
    }
}
