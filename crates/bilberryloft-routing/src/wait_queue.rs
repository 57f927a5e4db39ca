//! Requests that wait at an entry for a place at a target, the most urgent first and then in the order in which
//! they came; and whether the wait is worth beginning.

use std::collections::BTreeSet;

/// Weight of the latest interval in the measured rate.
const RATE_SMOOTHING: f64 = 0.3;
/// Interval over which places that became free are counted, in milliseconds.
const RATE_INTERVAL_MS: u64 = 250;

/// A place in a [`WaitQueue`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket {
    priority: u8,
    number: u64,
}

/// The line of one service at one entry.
#[derive(Debug, Default)]
pub struct WaitQueue {
    tickets: BTreeSet<Ticket>,
    last_number: u64,
    finished: u32,
    interval_start_ms: u64,
    finished_per_ms: f64,
}

impl WaitQueue {
    /// Counts a request that ended and so left a place.
    pub fn record_finished(&mut self, now_ms: u64) {
        self.finished += 1;
        let elapsed_ms = now_ms.saturating_sub(self.interval_start_ms);
        if elapsed_ms >= RATE_INTERVAL_MS {
            let rate = f64::from(self.finished) / elapsed_ms as f64;
            self.finished_per_ms += RATE_SMOOTHING * (rate - self.finished_per_ms);
            self.finished = 0;
            self.interval_start_ms = now_ms;
        }
    }

    /// Time until a newcomer of this priority would get a place, in milliseconds; infinite while none ends.
    pub fn expected_wait_ms(&self, priority: u8) -> f64 {
        let ahead = self.tickets.iter().filter(|it| it.priority <= priority).count();
        (ahead + 1) as f64 / self.finished_per_ms.max(1e-9)
    }

    /// Joins the line.
    pub fn join(&mut self, priority: u8) -> Ticket {
        self.last_number += 1;
        let ticket = Ticket { priority, number: self.last_number };
        self.tickets.insert(ticket);
        ticket
    }

    /// Whether the next place is this one's.
    pub fn is_first(&self, ticket: Ticket) -> bool {
        self.tickets.first() == Some(&ticket)
    }

    /// Whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.tickets.is_empty()
    }

    /// Leaves the line.
    pub fn leave(&mut self, ticket: Ticket) {
        self.tickets.remove(&ticket);
    }
}
