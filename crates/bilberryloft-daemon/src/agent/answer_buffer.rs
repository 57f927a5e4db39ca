//! Buffer for the answer of one attempt: written once by the target, read by any number of readers.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use bilberryloft_protocol::wire::Header;
use bilberryloft_state::refusal::Reason;
use bilberryloft_state::refusal::RunState;
use bilberryloft_transport::clock::monotonic_ms;
use bytes::Bytes;
use parking_lot::Mutex;
use parking_lot::MutexGuard;
use tokio::sync::Notify;
use tokio::sync::watch;

/// Time between checks whether an attempt still has readers.
const ABANDONED_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// How an attempt ended at its agent, as reported to the entry.
///
/// Unlike `bilberryloft_routing::targets::AttemptOutcome`, it is not evidence for a target's health.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The answer is complete.
    Complete,
    /// The attempt was refused or failed, so there is no complete answer.
    Refused {
        /// Reason of the refusal.
        reason: Reason,
        /// Whether the attempt ran.
        run: RunState,
        /// Time after which the caller may retry, in milliseconds.
        retry_after_ms: u64,
        /// Description of what happened.
        detail: String,
    },
}

/// Status code and headers of the target's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerHead {
    /// HTTP status code.
    pub status: u16,
    /// Headers that are forwarded to the caller.
    pub headers: Vec<Header>,
}

/// Result of one read from the buffer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadResult {
    /// Status code and headers.
    Head(AnswerHead),
    /// Piece of the body with its sequence number.
    Piece(u32, Bytes),
    /// End of the answer, with the number of pieces and of bytes of the body.
    End(AttemptOutcome, u32, u64),
    /// The requested piece is no longer in the buffer.
    Dropped,
    /// No new data yet.
    Pending,
}

/// Position of one reader in the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cursor {
    /// Number of the reader.
    pub reader: u64,
    /// Whether the reader has received the head.
    pub has_head: bool,
    /// Sequence number of the piece to read next.
    pub sequence: u32,
}

#[derive(Debug, Default)]
struct Inner {
    head: Option<AnswerHead>,
    pieces: VecDeque<Bytes>,
    first_sequence: u32,
    held_bytes: usize,
    body_bytes: u64,
    outcome: Option<AttemptOutcome>,
    ended_ms: u64,
    readers: BTreeMap<u64, u32>,
    next_reader: u64,
    abandoned_since_ms: Option<u64>,
}

/// Buffer that holds the latest part of one attempt's answer.
#[derive(Debug)]
pub struct AnswerBuffer {
    /// Team that may read the answer.
    pub team: String,
    /// Whether the attempt must run to its end even without a reader.
    pub non_idempotent: bool,
    max_bytes: usize,
    inner: Mutex<Inner>,
    changed: watch::Sender<()>,
    consumed: Notify,
    cancelled: watch::Sender<bool>,
}

impl AnswerBuffer {
    /// Creates a buffer that holds about `max_bytes` of the body.
    pub fn new(team: &str, non_idempotent: bool, max_bytes: usize) -> AnswerBuffer {
        AnswerBuffer {
            team: team.to_string(),
            non_idempotent,
            max_bytes,
            inner: Mutex::default(),
            changed: watch::channel(()).0,
            consumed: Notify::new(),
            cancelled: watch::channel(false).0,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock()
    }

    /// Sets the status code and headers.
    pub fn set_head(&self, head: AnswerHead) {
        self.lock().head = Some(head);
        self.changed.send_replace(());
    }

    /// Appends a piece; waits while making room for it would drop a piece that a reader still needs.
    pub async fn push(&self, piece: Bytes) {
        loop {
            let consumed = self.consumed.notified();
            if self.try_push(&piece) {
                self.changed.send_replace(());
                return;
            }
            consumed.await;
        }
    }

    fn try_push(&self, piece: &Bytes) -> bool {
        let mut inner = self.lock();
        while inner.held_bytes + piece.len() > self.max_bytes && !inner.pieces.is_empty() {
            let first = inner.first_sequence;
            if inner.readers.values().any(|it| *it <= first) {
                return false;
            }
            if let Some(dropped) = inner.pieces.pop_front() {
                inner.held_bytes -= dropped.len();
                inner.first_sequence += 1;
            }
        }
        inner.held_bytes += piece.len();
        inner.body_bytes += piece.len() as u64;
        inner.pieces.push_back(piece.clone());
        true
    }

    /// Ends the answer; later calls don't change the outcome.
    pub fn end(&self, outcome: AttemptOutcome, now_ms: u64) {
        let mut inner = self.lock();
        if inner.outcome.is_none() {
            inner.outcome = Some(outcome);
            inner.ended_ms = now_ms;
        }
        drop(inner);
        self.changed.send_replace(());
    }

    /// Returns how the attempt ended; `None` while it runs.
    pub fn outcome(&self) -> Option<AttemptOutcome> {
        self.lock().outcome.clone()
    }

    /// Returns the monotonic time of the end in milliseconds; `None` while the attempt runs.
    pub fn ended_ms(&self) -> Option<u64> {
        let inner = self.lock();
        inner.outcome.as_ref().map(|_| inner.ended_ms)
    }

    /// Returns the bytes of the body in the buffer.
    pub fn held_bytes(&self) -> usize {
        self.lock().held_bytes
    }

    /// Adds a reader that starts at the piece with the given sequence number.
    pub fn subscribe(&self, from_sequence: u32) -> Cursor {
        let mut inner = self.lock();
        inner.next_reader += 1;
        let reader = inner.next_reader;
        inner.readers.insert(reader, from_sequence);
        inner.abandoned_since_ms = None;
        Cursor { reader, has_head: false, sequence: from_sequence }
    }

    /// Removes a reader.
    pub fn unsubscribe(&self, cursor: Cursor, now_ms: u64) {
        let mut inner = self.lock();
        inner.readers.remove(&cursor.reader);
        if inner.readers.is_empty() {
            inner.abandoned_since_ms = Some(now_ms);
        }
        drop(inner);
        self.consumed.notify_one();
    }

    /// Returns the time at which the last reader left, in milliseconds; `None` while there is a reader and
    /// before the first one.
    pub fn abandoned_since_ms(&self) -> Option<u64> {
        self.lock().abandoned_since_ms
    }

    /// Returns a receiver that is notified of each change; get it before reading.
    pub fn changes(&self) -> watch::Receiver<()> {
        self.changed.subscribe()
    }

    /// Reads the next part of the answer and moves the cursor past it.
    pub fn next(&self, cursor: &mut Cursor) -> ReadResult {
        let mut inner = self.lock();
        if !cursor.has_head {
            if let Some(head) = inner.head.clone() {
                cursor.has_head = true;
                return ReadResult::Head(head);
            }
            return match inner.outcome.clone() {
                Some(outcome) => ReadResult::End(outcome, 0, 0),
                None => ReadResult::Pending,
            };
        }
        if cursor.sequence < inner.first_sequence {
            return ReadResult::Dropped;
        }
        let offset = (cursor.sequence - inner.first_sequence) as usize;
        if let Some(piece) = inner.pieces.get(offset).cloned() {
            let sequence = cursor.sequence;
            cursor.sequence += 1;
            inner.readers.insert(cursor.reader, cursor.sequence);
            drop(inner);
            self.consumed.notify_one();
            return ReadResult::Piece(sequence, piece);
        }
        let pieces = inner.first_sequence + inner.pieces.len() as u32;
        match inner.outcome.clone() {
            Some(outcome) => ReadResult::End(outcome, pieces, inner.body_bytes),
            None => ReadResult::Pending,
        }
    }

    /// Asks the attempt to stop; one that must not run twice stops only if it has not started.
    pub fn cancel(&self) {
        self.cancelled.send_replace(true);
    }

    /// Returns a receiver that becomes `true` when the attempt is asked to stop.
    pub fn cancellation(&self) -> watch::Receiver<bool> {
        self.cancelled.subscribe()
    }
}

/// Returns when the answer has had no reader for `after_ms`.
pub(super) async fn wait_until_abandoned(buffer: &AnswerBuffer, after_ms: u64) {
    loop {
        tokio::time::sleep(ABANDONED_POLL_INTERVAL).await;
        if buffer.abandoned_since_ms().is_some_and(|since| since + after_ms < monotonic_ms()) {
            return;
        }
    }
}
