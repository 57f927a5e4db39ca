//! Queue of requests that wait at an entry for a free slot at a target, by priority and then in order of arrival, with
//! an estimate of the wait.

use std::collections::BTreeSet;

/// Weight of the latest interval in the smoothed rate.
const RATE_SMOOTHING: f64 = 0.3;
/// Interval over which finished requests are counted, in milliseconds.
const RATE_INTERVAL_MS: u64 = 250;

/// Position of a request in a [`WaitQueue`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket {
    priority: u8,
    number: u64,
}

/// Queue of one service at one entry.
#[derive(Debug, Default)]
pub struct WaitQueue {
    tickets: BTreeSet<Ticket>,
    last_number: u64,
    finished: u32,
    interval_start_ms: u64,
    finished_per_ms: f64,
}

impl WaitQueue {
    /// Counts a request that finished and freed its slot.
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

    /// Returns the estimated wait of a new request with this priority, in milliseconds; very large while no request
    /// has finished yet.
    pub fn expected_wait_ms(&self, priority: u8) -> f64 {
        (self.ahead(priority) + 1) as f64 / self.finished_per_ms.max(1e-9)
    }

    /// Returns the number of requests that a new one with this priority would wait for.
    pub fn ahead(&self, priority: u8) -> usize {
        self.tickets.iter().filter(|it| it.priority <= priority).count()
    }

    /// Adds a request to the queue.
    pub fn join(&mut self, priority: u8) -> Ticket {
        self.last_number += 1;
        let ticket = Ticket { priority, number: self.last_number };
        self.tickets.insert(ticket);
        ticket
    }

    /// Returns whether this request is next.
    pub fn is_first(&self, ticket: Ticket) -> bool {
        self.tickets.first() == Some(&ticket)
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.tickets.is_empty()
    }

    /// Removes a request from the queue.
    pub fn leave(&mut self, ticket: Ticket) {
        self.tickets.remove(&ticket);
    }
}
