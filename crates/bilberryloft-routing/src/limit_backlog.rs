//! Callers that were refused because all targets of a service have reached the limits that they name: when they are told
//! to come back, and who yields to them.
//!
//! What is left of the limits goes to whoever asks first. So refused callers are told times that follow each other as
//! the limits allow, the more urgent ones first. A request that could be sent yields to more urgent ones that were
//! refused a moment ago, but not each time, so that no priority is starved.

use std::collections::BTreeMap;

use crate::target_limits::LimitedWait;

/// Longest time after which a caller is told to come back, in milliseconds.
const RETRY_AFTER_MAX_MS: u64 = 5_000;
/// Time for which a refused request makes less urgent ones yield, in milliseconds.
const YIELD_MS: u64 = 1_000;
/// One in this many requests that would have to yield is sent all the same.
const TURNS: u32 = 4;

/// Refused callers of one priority.
#[derive(Clone, Copy, Debug)]
struct Refused {
    last_ms: u64,
    /// Time from which the next one may come back.
    next_return_ms: u64,
}

/// Refused callers of one service at one entry, by priority; 0 is the most urgent.
#[derive(Clone, Debug, Default)]
pub struct LimitBacklog {
    by_priority: BTreeMap<u8, Refused>,
    asked_to_yield: u32,
}

impl LimitBacklog {
    /// Records that a request is refused; returns the time after which its caller should come back, in milliseconds.
    pub fn refuse(&mut self, priority: u8, wait: LimitedWait, now_ms: u64) -> u64 {
        let ahead = self.by_priority.range(..=priority).map(|it| it.1.next_return_ms);
        let return_ms = ahead.fold(now_ms + wait.first_ms, u64::max);
        let return_ms = return_ms.min(now_ms + RETRY_AFTER_MAX_MS);
        let next_return_ms = return_ms + wait.interval_ms;
        self.by_priority.insert(priority, Refused { last_ms: now_ms, next_return_ms });
        return_ms - now_ms
    }

    /// Returns whether a request that could be sent has to leave that to more urgent ones.
    pub fn must_yield(&mut self, priority: u8, now_ms: u64) -> bool {
        let mut more_urgent = self.by_priority.range(..priority);
        if !more_urgent.any(|it| it.1.last_ms + YIELD_MS > now_ms) {
            return false;
        }
        self.asked_to_yield += 1;
        !self.asked_to_yield.is_multiple_of(TURNS)
    }
}
