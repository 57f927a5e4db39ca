//! State of one connection of a client, by which it is decided whether and when to close it.

use std::net::IpAddr;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bilberryloft_transport::clock::monotonic_ms;
use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::memory::report::CloseCause;

/// What a connection is used for at the moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum Phase {
    /// Nothing has arrived yet.
    Opened = 0,
    /// The head of a request is arriving.
    Head = 1,
    /// The body of a request is arriving.
    Body = 2,
    /// A whole request has arrived and was not sent to a target yet.
    Serving = 3,
    /// Kept by its client for the next request.
    Idle = 4,
    /// A target has the request.
    Sent = 5,
    /// The answer to a request is sent.
    Answering = 6,
    /// The whole answer has been handed over, and the last bytes of it are written.
    Flushing = 7,
}

impl Phase {
    const ALL: [Phase; 8] = [
        Phase::Opened,
        Phase::Head,
        Phase::Body,
        Phase::Serving,
        Phase::Idle,
        Phase::Sent,
        Phase::Answering,
        Phase::Flushing,
    ];

    fn of(number: u8) -> Phase {
        Phase::ALL.into_iter().find(|it| *it as u8 == number).unwrap_or(Phase::Serving)
    }

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

/// Timeouts of a connection.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionTimeouts {
    /// Time within which the head of a request must arrive, from its first byte.
    pub head: Duration,
    /// Time for which a connection may stay idle, or leave what is sent to it unread.
    pub idle: Duration,
}

/// State of one connection.
#[derive(Debug)]
pub struct CallerConnection {
    /// Address of the client.
    pub address: IpAddr,
    phase: AtomicU8,
    since_ms: AtomicU64,
    /// Time since which nothing could be written, plus one; zero if writing goes on.
    blocked_ms: AtomicU64,
    /// Number of the cause for which it is to be closed, plus one.
    closing: AtomicU8,
    closed: Notify,
    request_id: Mutex<String>,
    /// Whether this process has ended the connection.
    is_ended: AtomicBool,
}

impl CallerConnection {
    /// Creates the state of a connection that has just been opened.
    pub fn new(address: IpAddr) -> CallerConnection {
        CallerConnection {
            address,
            phase: AtomicU8::new(Phase::Opened as u8),
            since_ms: AtomicU64::new(monotonic_ms()),
            blocked_ms: AtomicU64::new(0),
            closing: AtomicU8::new(0),
            closed: Notify::new(),
            request_id: Mutex::default(),
            is_ended: AtomicBool::new(false),
        }
    }

    /// Returns the phase.
    pub fn phase(&self) -> Phase {
        Phase::of(self.phase.load(Ordering::Relaxed))
    }

    /// Returns the time at which the phase began, in milliseconds.
    pub fn since_ms(&self) -> u64 {
        self.since_ms.load(Ordering::Relaxed)
    }

    /// Begins a phase.
    pub fn set_phase(&self, phase: Phase) {
        self.since_ms.store(monotonic_ms(), Ordering::Relaxed);
        self.phase.store(phase as u8, Ordering::Relaxed);
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
        self.is_ended.store(true, Ordering::SeqCst);
    }

    /// Returns whether this process has ended the connection.
    pub fn is_ended(&self) -> bool {
        self.is_ended.load(Ordering::SeqCst)
    }

    /// Records that bytes have arrived.
    pub fn record_read(&self) {
        if matches!(self.phase(), Phase::Opened | Phase::Idle) {
            self.set_phase(Phase::Head);
        }
    }

    /// Records that everything handed over has been written, so that an answer that was handed over whole is complete.
    pub fn record_flush(&self) {
        if self.phase() == Phase::Flushing {
            self.set_phase(Phase::Idle);
        }
    }

    /// Records whether bytes could be written.
    pub fn record_write(&self, is_blocked: bool) {
        let is_known = self.blocked_ms.load(Ordering::Relaxed) > 0;
        if is_blocked != is_known {
            let since_ms = if is_blocked { monotonic_ms() + 1 } else { 0 };
            self.blocked_ms.store(since_ms, Ordering::Relaxed);
        }
    }

    /// Returns the time for which the client has taken nothing of what is sent to it, in milliseconds.
    pub fn unread_ms(&self, now_ms: u64) -> Option<u64> {
        let blocked_ms = self.blocked_ms.load(Ordering::Relaxed).checked_sub(1)?;
        Some(now_ms.saturating_sub(blocked_ms))
    }

    /// Returns why the connection has outlived its timeouts, if it has.
    pub fn overdue(&self, timeouts: &ConnectionTimeouts) -> Option<CloseCause> {
        let now_ms = monotonic_ms();
        let age_ms = now_ms.saturating_sub(self.since_ms());
        let (head_ms, idle_ms) = (timeouts.head.as_millis(), timeouts.idle.as_millis());
        if self.unread_ms(now_ms).is_some_and(|it| u128::from(it) >= idle_ms) {
            return Some(CloseCause::Unread);
        }
        match self.phase() {
            Phase::Head if u128::from(age_ms) >= head_ms => Some(CloseCause::SlowHead),
            Phase::Opened | Phase::Idle if u128::from(age_ms) >= idle_ms => Some(CloseCause::Idle),
            _ => None,
        }
    }

    /// Asks the task of the connection to close it.
    pub fn close(&self, cause: CloseCause) {
        self.closing.store(cause as u8 + 1, Ordering::SeqCst);
        self.closed.notify_one();
    }

    /// Returns whether it is to be closed.
    pub fn is_closing(&self) -> bool {
        self.closing.load(Ordering::SeqCst) > 0
    }

    /// Waits until it is to be closed.
    pub async fn wait_for_close(&self) -> CloseCause {
        loop {
            let closing = self.closing.load(Ordering::SeqCst);
            let cause = CloseCause::ALL.into_iter().find(|it| *it as u8 + 1 == closing);
            match cause {
                Some(cause) => return cause,
                None => self.closed.notified().await,
            }
        }
    }
}
