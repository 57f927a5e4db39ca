//! The answer of one attempt: written once by the target, read by any number of readers.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use bilberryloft_protocol::wire::Header;
use bilberryloft_state::refusal::Reason;
use bilberryloft_state::refusal::RunState;
use bytes::Bytes;
use parking_lot::Mutex;
use parking_lot::MutexGuard;
use tokio::sync::Notify;
use tokio::sync::watch;

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The answer is whole.
    Complete,
    /// There is no whole answer.
    Refused {
        /// Why.
        reason: Reason,
        /// Whether it ran.
        run: RunState,
        /// When to come back, in milliseconds.
        retry_after_ms: u64,
        /// What happened.
        detail: String,
    },
}

/// Status line and headers of the target's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerHead {
    /// HTTP status.
    pub status: u16,
    /// Headers that callers get.
    pub headers: Vec<Header>,
}

/// What a reader gets next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadResult {
    /// The head.
    Head(AnswerHead),
    /// A piece with its number.
    Piece(u32, Bytes),
    /// The end, with the number of pieces and bytes of the body.
    End(AttemptOutcome, u32, u64),
    /// The wanted piece is no longer held.
    Dropped,
    /// Nothing new yet.
    Pending,
}

/// Position of a reader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cursor {
    /// Number of the reader.
    pub reader: u64,
    /// Whether it has had the head.
    pub has_head: bool,
    /// Number of the piece that it wants next.
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

/// The answer of one attempt.
#[derive(Debug)]
pub struct AnswerBuffer {
    /// Team that may read it.
    pub team: String,
    /// Whether the attempt must run to its end even when nobody listens.
    pub non_idempotent: bool,
    max_bytes: usize,
    inner: Mutex<Inner>,
    changed: watch::Sender<()>,
    consumed: Notify,
    cancelled: watch::Sender<bool>,
}

impl AnswerBuffer {
    /// Starts an answer that holds about `max_bytes` of its body.
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

    /// Writes the head.
    pub fn set_head(&self, head: AnswerHead) {
        self.lock().head = Some(head);
        self.changed.send_replace(());
    }

    /// Adds a piece, waiting while a reader is so far behind that it would lose its place.
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

    /// Writes the end; the first one stays.
    pub fn end(&self, outcome: AttemptOutcome, now_ms: u64) {
        let mut inner = self.lock();
        if inner.outcome.is_none() {
            inner.outcome = Some(outcome);
            inner.ended_ms = now_ms;
        }
        drop(inner);
        self.changed.send_replace(());
    }

    /// How the attempt ended, if it has.
    pub fn outcome(&self) -> Option<AttemptOutcome> {
        self.lock().outcome.clone()
    }

    /// Time of the end, if it has come.
    pub fn ended_ms(&self) -> Option<u64> {
        let inner = self.lock();
        inner.outcome.as_ref().map(|_| inner.ended_ms)
    }

    /// Bytes of the body that are held.
    pub fn held_bytes(&self) -> usize {
        self.lock().held_bytes
    }

    /// Adds a reader that wants pieces from a number on.
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

    /// Time since which nobody listens, if so.
    pub fn abandoned_since_ms(&self) -> Option<u64> {
        self.lock().abandoned_since_ms
    }

    /// Signals each change; subscribe before reading.
    pub fn changes(&self) -> watch::Receiver<()> {
        self.changed.subscribe()
    }

    /// Returns what comes next and moves the cursor past it.
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

    /// Asks the attempt to stop; work that must not be repeated heeds this only until it starts.
    pub fn cancel(&self) {
        self.cancelled.send_replace(true);
    }

    /// Signals the wish to stop.
    pub fn cancellation(&self) -> watch::Receiver<bool> {
        self.cancelled.subscribe()
    }
}
