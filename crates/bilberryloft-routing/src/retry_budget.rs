//! How many repeats an entry may send, as its part of a budget that all entries share.

use std::collections::VecDeque;

/// Slices of the window; repeats are forgotten a slice at a time.
const SLICES: u64 = 10;

/// What a repeat is for; the more hangs on it, the more of the budget it may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPurpose {
    /// Its own request.
    Request,
    /// All streams of a group, which wait for the one that is moved.
    Group,
}

impl RetryPurpose {
    /// Part of the budget that may be in use after it. The rest is left since windows of all entries end at different
    /// times.
    fn share(self) -> f64 {
        match self {
            RetryPurpose::Request => 0.5,
            RetryPurpose::Group => 0.7,
        }
    }
}

/// Limits of the shared budget, for one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetLimits {
    /// Window over which repeats are counted, in milliseconds.
    pub window_ms: u64,
    /// Repeats allowed for each request.
    pub ratio: f64,
    /// Repeats allowed besides, over all entries.
    pub slack: f64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Slice {
    number: u64,
    requests: u32,
    retries: u32,
}

/// Requests and repeats of one service at one entry.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    limits: BudgetLimits,
    slices: VecDeque<Slice>,
}

impl RetryBudget {
    /// Starts without requests.
    pub fn new(limits: BudgetLimits) -> RetryBudget {
        RetryBudget { limits, slices: VecDeque::new() }
    }

    /// Counts a caller's request.
    pub fn record_request(&mut self, now_ms: u64) {
        self.slice(now_ms).requests += 1;
    }

    /// Takes one repeat, if this entry's part of the budget has room: a share of what the requests allow, and of an
    /// equal part of the slack.
    pub fn try_take(&mut self, purpose: RetryPurpose, entries: usize, now_ms: u64) -> bool {
        self.slice(now_ms);
        let requests: u32 = self.slices.iter().map(|it| it.requests).sum();
        let retries: u32 = self.slices.iter().map(|it| it.retries).sum();
        let allowed =
            self.limits.ratio * f64::from(requests) + self.limits.slack / entries.max(1) as f64;
        if f64::from(retries + 1) > allowed * purpose.share() {
            return false;
        }
        self.slice(now_ms).retries += 1;
        true
    }

    fn slice(&mut self, now_ms: u64) -> &mut Slice {
        let number = now_ms / (self.limits.window_ms / SLICES).max(1);
        while self.slices.front().is_some_and(|it| it.number + SLICES < number) {
            self.slices.pop_front();
        }
        if self.slices.back().is_none_or(|it| it.number != number) {
            self.slices.push_back(Slice { number, ..Slice::default() });
        }
        let last = self.slices.len() - 1;
        &mut self.slices[last]
    }
}
