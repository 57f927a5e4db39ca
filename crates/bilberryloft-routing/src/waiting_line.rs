//! Requests that wait at an entry for a place at a target, the most urgent first and then in the order in which
//! they came; and whether the wait is worth beginning.

use std::collections::BTreeSet;

/// Weight of the latest interval in the measured rate.
const RATE_GAIN: f64 = 0.3;
/// Interval over which places that became free are counted, in milliseconds.
const RATE_INTERVAL_MS: u64 = 250;

/// A place in a [`WaitingLine`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket {
    priority: u8,
    number: u64,
}

/// The line of one service at one entry.
#[derive(Debug, Default)]
pub struct WaitingLine {
    waiting: BTreeSet<Ticket>,
    next: u64,
    ended: u32,
    counted_from_ms: u64,
    per_ms: f64,
}

impl WaitingLine {
    /// Counts a request that ended and so left a place.
    pub fn note_end(&mut self, now_ms: u64) {
        self.ended += 1;
        let passed_ms = now_ms.saturating_sub(self.counted_from_ms);
        if passed_ms >= RATE_INTERVAL_MS {
            let rate = f64::from(self.ended) / passed_ms as f64;
            self.per_ms += RATE_GAIN * (rate - self.per_ms);
            self.ended = 0;
            self.counted_from_ms = now_ms;
        }
    }

    /// Time until a newcomer of this priority would get a place, in milliseconds; infinite while none ends.
    pub fn expected_wait_ms(&self, priority: u8) -> f64 {
        let before = self.waiting.iter().filter(|it| it.priority <= priority).count();
        (before + 1) as f64 / self.per_ms.max(1e-9)
    }

    /// Joins the line.
    pub fn join(&mut self, priority: u8) -> Ticket {
        self.next += 1;
        let ticket = Ticket { priority, number: self.next };
        self.waiting.insert(ticket);
        ticket
    }

    /// Whether the next place is this one's.
    pub fn is_first(&self, ticket: Ticket) -> bool {
        self.waiting.first() == Some(&ticket)
    }

    /// Whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Leaves the line.
    pub fn leave(&mut self, ticket: Ticket) {
        self.waiting.remove(&ticket);
    }
}
