//! State of one connection of a client, by which it is decided whether and when to close it.
//!
//! Others may ask for a connection to be closed. It is decided where its state changes: its own task ends it if the reason
//! still holds once the task has read and written what it could, and keeps it open otherwise.

use std::net::IpAddr;
use std::time::Duration;

use bilberryloft_transport::clock::monotonic_ms;
use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::memory::report::CloseCause;

/// Time after which a body that is still arriving, or an answer that is not read, counts as unfinished, in
/// milliseconds. Those of ordinary callers take less.
pub const UNFINISHED_MS: u64 = 1_000;

/// What a connection is used for at the moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Nothing has arrived yet.
    Opened,
    /// The head of a request is arriving.
    Head,
    /// The body of a request is arriving.
    Body,
    /// A whole request has arrived and was not sent to a target yet.
    Serving,
    /// A target has the request.
    Sent,
    /// The answer to a request is sent.
    Answering,
    /// The whole answer was handed over, and a part of it has not been written yet.
    Flushing,
    /// Kept by its client for the next request.
    Idle,
}

impl Phase {
    /// Returns whether a stop waits for a connection in this phase: until it is closed, or its request is answered or
    /// refused. The head of a request may also not arrive at all.
    pub fn holds_stop(self) -> bool {
        match self {
            Phase::Head => false,
            Phase::Opened
            | Phase::Body
            | Phase::Serving
            | Phase::Idle
            | Phase::Sent
            | Phase::Answering
            | Phase::Flushing => true,
        }
    }

    /// Returns how far a whole request without a complete answer has come, for logs and metrics; `None` if there is none.
    pub fn progress(self) -> Option<&'static str> {
        match self {
            Phase::Opened | Phase::Head | Phase::Body | Phase::Idle => None,
            Phase::Serving => Some("not_sent"),
            Phase::Sent => Some("sent"),
            Phase::Answering | Phase::Flushing => Some("answering"),
        }
    }
}

/// Order in which connections are closed to make room.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CloseOrder {
    /// No whole head has arrived on it.
    Headless,
    /// A body takes long to arrive.
    SlowBody,
    /// Its client does not read its answer.
    Unread,
    /// Its client keeps it for the next request.
    Idle,
}

/// Timeouts of a connection.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionTimeouts {
    /// Time within which the head of a request must arrive, from its first byte.
    pub head: Duration,
    /// Time for which a connection may stay idle, or leave what is sent to it unread.
    pub idle: Duration,
}

/// How the client learns where the answer that is sent ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerEnd {
    /// From its length or its chunks; or all of it has been written.
    Marked,
    /// From the end of the connection, and a part of it has not been handed over.
    Open,
    /// From the end of the connection, and all of it has been handed over.
    HandedOver,
}

/// What changes in a connection.
#[derive(Debug)]
struct ConnectionState {
    phase: Phase,
    /// Time at which the phase began.
    since_ms: u64,
    /// Time since which nothing could be written.
    blocked_since_ms: Option<u64>,
    /// Why others have asked for it to be closed.
    asked: Option<CloseCause>,
    /// Whether this process has ended the connection.
    is_ended: bool,
    answer_end: AnswerEnd,
}

impl ConnectionState {
    fn unread_ms(&self, now_ms: u64) -> Option<u64> {
        self.blocked_since_ms.map(|it| now_ms.saturating_sub(it))
    }

    /// Returns when the connection is closed to make room; `None` if it stays open.
    fn close_order(&self, now_ms: u64) -> Option<CloseOrder> {
        let age_ms = now_ms.saturating_sub(self.since_ms);
        let is_unread = self.unread_ms(now_ms).is_some_and(|it| it >= UNFINISHED_MS);
        match self.phase {
            Phase::Opened | Phase::Head => Some(CloseOrder::Headless),
            Phase::Body if age_ms >= UNFINISHED_MS => Some(CloseOrder::SlowBody),
            _ if is_unread => Some(CloseOrder::Unread),
            Phase::Idle => Some(CloseOrder::Idle),
            Phase::Body | Phase::Serving | Phase::Sent | Phase::Answering | Phase::Flushing => None,
        }
    }

    /// Returns whether a reason to close the connection holds now.
    fn may_close(&self, cause: CloseCause, now_ms: u64) -> bool {
        match cause {
            CloseCause::Crowded => self.close_order(now_ms).is_some(),
            CloseCause::Unread => self.unread_ms(now_ms).is_some_and(|it| it >= UNFINISHED_MS),
            CloseCause::Idle | CloseCause::SlowHead | CloseCause::Full => false,
        }
    }

    /// Returns why the connection has outlived its timeouts, if it has.
    fn overdue(&self, timeouts: &ConnectionTimeouts, now_ms: u64) -> Option<CloseCause> {
        let age_ms = now_ms.saturating_sub(self.since_ms);
        let (head_ms, idle_ms) = (timeouts.head.as_millis(), timeouts.idle.as_millis());
        if self.unread_ms(now_ms).is_some_and(|it| u128::from(it) >= idle_ms) {
            return Some(CloseCause::Unread);
        }
        match self.phase {
            Phase::Head if u128::from(age_ms) >= head_ms => Some(CloseCause::SlowHead),
            Phase::Opened | Phase::Idle if u128::from(age_ms) >= idle_ms => Some(CloseCause::Idle),
            _ => None,
        }
    }
}

/// State of one connection.
#[derive(Debug)]
pub struct CallerConnection {
    /// Address of the client.
    pub address: IpAddr,
    state: Mutex<ConnectionState>,
    asked: Notify,
    request_id: Mutex<String>,
}

impl CallerConnection {
    /// Creates the state of a connection that has just been opened.
    pub fn new(address: IpAddr) -> CallerConnection {
        let state = ConnectionState {
            phase: Phase::Opened,
            since_ms: monotonic_ms(),
            blocked_since_ms: None,
            asked: None,
            is_ended: false,
            answer_end: AnswerEnd::Marked,
        };
        let (state, request_id) = (Mutex::new(state), Mutex::default());
        CallerConnection { address, state, asked: Notify::new(), request_id }
    }

    /// Returns the phase.
    pub fn phase(&self) -> Phase {
        self.state.lock().phase
    }

    /// Returns the time at which the phase began, in milliseconds.
    pub fn since_ms(&self) -> u64 {
        self.state.lock().since_ms
    }

    /// Begins a phase.
    pub fn set_phase(&self, phase: Phase) {
        let mut state = self.state.lock();
        state.since_ms = monotonic_ms();
        state.phase = phase;
    }

    /// Begins to serve a whole request.
    pub fn begin_request(&self, id: &str) {
        self.request_id.lock().replace_range(.., id);
        self.set_phase(Phase::Serving);
    }

    /// Returns the id of the latest request.
    pub fn request_id(&self) -> String {
        self.request_id.lock().clone()
    }

    /// Records that this process ends the connection.
    pub fn record_end(&self) {
        self.state.lock().is_ended = true;
    }

    /// Records how the client learns where the answer that is sent ends.
    pub fn set_answer_end(&self, answer_end: AnswerEnd) {
        self.state.lock().answer_end = answer_end;
    }

    /// Returns whether the connection must end with a reset, because its end would make a part of an answer look whole.
    pub fn must_reset(&self) -> bool {
        self.state.lock().answer_end != AnswerEnd::Marked
    }

    /// Returns whether this process has ended the connection.
    pub fn is_ended(&self) -> bool {
        self.state.lock().is_ended
    }

    /// Records that bytes have arrived.
    pub fn record_read(&self) {
        if matches!(self.phase(), Phase::Opened | Phase::Idle) {
            self.set_phase(Phase::Head);
        }
    }

    /// Records that everything was written that had been handed over.
    pub fn record_flushed(&self) {
        if self.phase() != Phase::Flushing {
            return;
        }
        self.set_phase(Phase::Idle);
        let mut state = self.state.lock();
        if state.answer_end == AnswerEnd::HandedOver {
            state.answer_end = AnswerEnd::Marked;
        }
    }

    /// Records whether bytes could be written.
    pub fn record_write(&self, is_blocked: bool) {
        let mut state = self.state.lock();
        match (is_blocked, state.blocked_since_ms) {
            (true, None) => state.blocked_since_ms = Some(monotonic_ms()),
            (false, Some(_)) => state.blocked_since_ms = None,
            (true, Some(_)) | (false, None) => {}
        }
    }

    /// Returns the time for which the client has taken nothing of what is sent to it, in milliseconds.
    pub fn unread_ms(&self, now_ms: u64) -> Option<u64> {
        self.state.lock().unread_ms(now_ms)
    }

    /// Returns when the connection is closed to make room; `None` if it stays open.
    pub fn close_order(&self, now_ms: u64) -> Option<CloseOrder> {
        self.state.lock().close_order(now_ms)
    }

    /// Ends the connection if it has outlived its timeouts; returns why. To be called by its own task.
    pub fn end_if_overdue(&self, timeouts: &ConnectionTimeouts) -> Option<CloseCause> {
        let mut state = self.state.lock();
        let cause = state.overdue(timeouts, monotonic_ms())?;
        state.is_ended = true;
        Some(cause)
    }

    /// Asks the task of the connection to close it.
    pub fn ask_to_close(&self, cause: CloseCause) {
        self.state.lock().asked = Some(cause);
        self.asked.notify_one();
    }

    /// Returns whether its task closes it or has been asked to and has not decided yet.
    pub fn is_closing(&self) -> bool {
        let state = self.state.lock();
        state.is_ended || state.asked.is_some()
    }

    /// Waits until it is asked to close.
    pub async fn wait_until_asked(&self) {
        while self.state.lock().asked.is_none() {
            self.asked.notified().await;
        }
    }

    /// Ends the connection if the reason for which it was asked to close still holds, and returns the reason; it stays open
    /// otherwise. To be called by its own task.
    pub fn end_if_asked(&self) -> Option<CloseCause> {
        let mut state = self.state.lock();
        let cause = state.asked.take()?;
        if !state.may_close(cause, monotonic_ms()) {
            return None;
        }
        state.is_ended = true;
        Some(cause)
    }
}
