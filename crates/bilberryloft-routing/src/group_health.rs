//! A lock-step group that is down: all its ranks refuse while one is away.
//!
//! The pattern: a rank crashes, every request for the group is refused for some seconds, and callers that come
//! back after the usual short pause find it down again and give up. So requests are refused at once, without asking
//! the group, and asked to come back as late as callers accept; one request at a time finds out whether the group is
//! back.

/// Time between two requests that are let through to find out, in milliseconds.
const PROBE_INTERVAL_MS: u64 = 250;
/// Part of a group's places under which a refusal can't mean that the group is full.
const FULL_LOAD_SHARE: f64 = 0.8;

/// What an entry believes of a group.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GroupHealth {
    next_probe_ms: Option<u64>,
}

impl GroupHealth {
    /// Takes a refusal by a rank; returns whether the group counts as down.
    pub fn record_refusal(&mut self, mean_load: f64, slots: u32, now_ms: u64) -> bool {
        let is_down = mean_load < FULL_LOAD_SHARE * f64::from(slots);
        if is_down {
            self.next_probe_ms = Some(now_ms + PROBE_INTERVAL_MS);
        }
        is_down
    }

    /// Takes an answer by a rank.
    pub fn record_answer(&mut self) {
        self.next_probe_ms = None;
    }

    /// Whether a request may be sent: always while the group works, and from time to time while it is down.
    pub fn may_send(&mut self, now_ms: u64) -> bool {
        match self.next_probe_ms {
            None => true,
            Some(due_ms) if now_ms >= due_ms => {
                self.next_probe_ms = Some(now_ms + PROBE_INTERVAL_MS);
                true
            }
            Some(_) => false,
        }
    }
}
