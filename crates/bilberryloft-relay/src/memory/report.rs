//! Counts and log lines on what is refused and closed. Floods of clients cause few lines.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use bilberryloft_daemon::events::Event;
use bilberryloft_daemon::log_event;
use bilberryloft_daemon::metrics::Metrics;
use bilberryloft_transport::clock::monotonic_ms;
use parking_lot::Mutex;

use crate::memory::caller_connection::CallerConnection;

/// Least time between two lines on the same cause, in milliseconds.
const LINE_INTERVAL_MS: u64 = 1_000;

/// Why a connection was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CloseCause {
    /// Nothing arrived for the idle timeout.
    Idle,
    /// The head of a request did not arrive in time.
    SlowHead,
    /// The client has not taken what was sent.
    Unread,
    /// Another client needed the connection.
    Crowded,
    /// There was no connection to spare for a new client.
    Full,
}

impl CloseCause {
    /// All causes.
    pub const ALL: [CloseCause; 5] = [
        CloseCause::Idle,
        CloseCause::SlowHead,
        CloseCause::Unread,
        CloseCause::Crowded,
        CloseCause::Full,
    ];

    /// Returns the name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            CloseCause::Idle => "idle",
            CloseCause::SlowHead => "slow_head",
            CloseCause::Unread => "unread",
            CloseCause::Crowded => "crowded",
            CloseCause::Full => "full",
        }
    }
}

/// Why a body was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum BodyFault {
    /// It is larger than allowed.
    #[error("the body is too large")]
    TooLarge,
    /// It could not be read.
    #[error("the body can't be read")]
    Broken,
    /// It did not end in time.
    #[error("the body did not end in time")]
    Late,
    /// It was the largest unfinished body of the largest holder when memory was short.
    #[error("memory is short, and this client holds the most in unfinished bodies")]
    Dropped,
    /// There was no memory for it.
    #[error("memory is short")]
    NoRoom,
}

impl BodyFault {
    /// All faults.
    pub const ALL: [BodyFault; 5] = [
        BodyFault::TooLarge,
        BodyFault::Broken,
        BodyFault::Late,
        BodyFault::Dropped,
        BodyFault::NoRoom,
    ];

    /// Returns the name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            BodyFault::TooLarge => "too_large",
            BodyFault::Broken => "broken",
            BodyFault::Late => "late",
            BodyFault::Dropped => "dropped",
            BodyFault::NoRoom => "no_room",
        }
    }
}

/// Count of one cause, and when it was last logged.
#[derive(Debug, Default)]
struct Tally {
    count: AtomicU64,
    logged: AtomicU64,
    /// Time of the last line plus one; zero if there was none.
    line_ms: AtomicU64,
}

impl Tally {
    /// Counts one; returns how many there were since the last line if it is time for a line.
    fn add(&self) -> Option<u64> {
        let count = self.count.fetch_add(1, Ordering::Relaxed) + 1;
        let (now_ms, line_ms) = (monotonic_ms() + 1, self.line_ms.load(Ordering::Relaxed));
        if line_ms > 0 && now_ms < line_ms + LINE_INTERVAL_MS {
            return None;
        }
        let exchange = Ordering::Relaxed;
        self.line_ms.compare_exchange(line_ms, now_ms, exchange, exchange).ok()?;
        Some(count - self.logged.swap(count, Ordering::Relaxed))
    }

    fn count(&self) -> u64 {
        self.count.load(Ordering::Relaxed)
    }
}

/// Counts and log lines.
#[derive(Debug, Default)]
pub struct Report {
    targets_dropped: Tally,
    closed: [Tally; CloseCause::ALL.len()],
    faults: [Tally; BodyFault::ALL.len()],
    /// Requests whose connection this process ended before their answer was complete, by cause and progress.
    cut: Mutex<BTreeMap<(&'static str, &'static str), u64>>,
}

impl Report {
    /// Records that a connection was closed.
    pub fn record_closed(&self, cause: CloseCause, client: &str, connections: usize) {
        let Some(count) = self.closed[cause as usize].add() else {
            return;
        };
        let name = cause.name();
        match cause {
            // Ordinary clients leave their connections too.
            CloseCause::Idle => {}
            CloseCause::Full => {
                log_event!(warn, Event::ConnectionsFull, client, connections, count);
            }
            CloseCause::SlowHead | CloseCause::Unread | CloseCause::Crowded => {
                log_event!(info, Event::ConnectionClosed, cause = name, client, connections, count);
            }
        }
    }

    /// Records that this process ends a connection; logs its request if that has no complete answer.
    pub fn record_cut(&self, connection: &CallerConnection, cause: &'static str) {
        let Some(progress) = connection.phase().progress() else {
            return;
        };
        *self.cut.lock().entry((cause, progress)).or_default() += 1;
        let request_id = connection.request_id();
        let client = connection.address.to_string();
        log_event!(warn, Event::RequestCut, request_id, cause, progress, client);
    }

    /// Records that a connection to a target was dropped because memory is short and the target holds the most of it.
    pub fn record_target_dropped(&self, target: IpAddr, held_bytes: u64) {
        let Some(count) = self.targets_dropped.add() else {
            return;
        };
        let target = target.to_string();
        log_event!(warn, Event::TargetReadDropped, target, held_bytes, count);
    }

    /// Records that a body was refused, with what is held at the moment.
    pub fn record_fault(&self, fault: BodyFault, client: &str, held_bytes: u64, total_bytes: u64) {
        let Some(count) = self.faults[fault as usize].add() else {
            return;
        };
        let cause = fault.name();
        match fault {
            // Faults of single callers, which the line on the refused request tells.
            BodyFault::TooLarge | BodyFault::Broken => {}
            BodyFault::Late => log_event!(info, Event::BodyLate, client, held_bytes, count),
            BodyFault::Dropped | BodyFault::NoRoom => {
                log_event!(warn, Event::MemoryShort, cause, client, held_bytes, total_bytes, count);
            }
        }
    }

    /// Sets the metrics.
    pub fn set_metrics(&self, metrics: &Metrics) {
        for cause in CloseCause::ALL {
            metrics.memory.set_closed(cause.name(), self.closed[cause as usize].count());
        }
        for fault in BodyFault::ALL {
            metrics.memory.set_refused(fault.name(), self.faults[fault as usize].count());
        }
        for ((cause, progress), requests) in self.cut.lock().iter() {
            metrics.memory.set_cut(cause, progress, *requests);
        }
    }
}
