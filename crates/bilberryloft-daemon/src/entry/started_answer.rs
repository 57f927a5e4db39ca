//! The first part of an answer, which decides whether an attempt has been answered.

use std::time::Duration;

use bilberryloft_protocol::problem::Problem;
use bilberryloft_protocol::wire;
use bilberryloft_state::refusal::Reason;
use bilberryloft_state::refusal::RunState;

use crate::entry::answer_reader::AnswerPart;
use crate::entry::answer_reader::AnswerReader;

/// Time to find out the state of a lost attempt whose request must not run twice.
pub(super) const RESOLVE_TIMEOUT_AT_MOST_ONCE: Duration = Duration::from_millis(3_000);
/// Retry-after for callers when no target can be picked, in milliseconds.
pub(super) const NO_TARGET_RETRY_AFTER_MS: u64 = 1_000;

/// An answer whose head and first piece have arrived.
#[derive(Debug)]
pub(super) struct StartedAnswer {
    /// Status code and headers.
    pub head: wire::Head,
    /// First piece of the body with its sequence number, or the whole body of an answer that is not
    /// streamed; `None` when the body is empty.
    pub first: Option<(u32, Vec<u8>)>,
    /// Reader for the rest of the answer.
    pub reader: AnswerReader,
}

/// Reads the head of an answer and, for a stream, its first piece.
///
/// An answer that is not streamed is read completely, so that the caller gets all of it or a refusal.
pub(super) async fn read_answer_start(
    mut reader: AnswerReader,
    is_streamed: bool,
) -> Result<StartedAnswer, Problem> {
    let head = loop {
        match reader.next().await? {
            AnswerPart::Head(head) => break head,
            AnswerPart::Piece(..) => {}
            AnswerPart::End => {
                return Err(Problem::new(
                    Reason::ContactLost,
                    RunState::Ran,
                    0,
                    "the answer ended before its status and headers",
                ));
            }
        }
    };
    if is_streamed {
        let first = match reader.next().await? {
            AnswerPart::Piece(sequence, data) => Some((sequence, data)),
            AnswerPart::Head(_) | AnswerPart::End => None,
        };
        return Ok(StartedAnswer { head, first, reader });
    }
    let max_bytes = reader.entry.settings.answer_max_bytes;
    let mut body = Vec::new();
    loop {
        match reader.next().await? {
            AnswerPart::Head(_) => {}
            AnswerPart::End => break,
            AnswerPart::Piece(_, data) => body.extend_from_slice(&data),
        }
        if body.len() > max_bytes {
            let detail = format!("the answer is larger than {max_bytes} bytes");
            return Err(Problem::new(Reason::TooLarge, RunState::Ran, 0, detail));
        }
    }
    Ok(StartedAnswer { head, first: Some((0, body)), reader })
}
