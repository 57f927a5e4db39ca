//! Retry budget of an entry: its part of a budget that all entries share.

use std::collections::VecDeque;

/// Slices of the window; counts expire one slice at a time.
const SLICES: u64 = 10;

/// What a retry is for. A retry on which more streams depend may use more of the budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPurpose {
    /// The retried request alone.
    Request,
    /// All streams of a lock-step group, which a stream on a slow rank holds up until it is moved.
    Group,
}

impl RetryPurpose {
    /// Returns the share of the budget that may be in use after the retry. The rest is kept in reserve because the
    /// windows of the entries end at different times.
    fn share(self) -> f64 {
        match self {
            RetryPurpose::Request => 0.5,
            RetryPurpose::Group => 0.7,
        }
    }
}

/// Limits of the budget that all entries share, for one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetLimits {
    /// Window over which retries are counted, in milliseconds.
    pub window_ms: u64,
    /// Retries allowed for each request.
    pub ratio: f64,
    /// Additional retries allowed in a window, over all entries.
    pub slack: f64,
}

/// Decision on one retry, with the counts of the window that decided it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetDecision {
    /// Whether the retry was taken out of the budget.
    pub is_allowed: bool,
    /// Requests of callers in the window.
    pub requests: u32,
    /// Retries in the window before this one.
    pub retries: u32,
    /// Retries that this entry may make in the window for the purpose.
    pub allowed: f64,
}

/// Counts of one slice of the window.
#[derive(Clone, Copy, Debug, Default)]
struct Slice {
    number: u64,
    requests: u32,
    retries: u32,
}

/// Retry budget of one service at one entry, with the requests and retries of the current window.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    limits: BudgetLimits,
    slack_from_ms: u64,
    slices: VecDeque<Slice>,
}

impl RetryBudget {
    /// Creates a budget without recorded requests, which has no slack before `slack_from_ms`.
    pub fn new(limits: BudgetLimits, slack_from_ms: u64) -> RetryBudget {
        RetryBudget { limits, slack_from_ms, slices: VecDeque::new() }
    }

    /// Counts a caller's request.
    pub fn record_request(&mut self, now_ms: u64) {
        self.slice(now_ms).requests += 1;
    }

    /// Takes one retry out of the budget, unless this entry's part is used up.
    ///
    /// An entry's part is what its own requests allow, plus an equal part of the slack. The retry's purpose decides
    /// which share of that part may be used. `entries` is the number of entries that share the slack, or `None` if
    /// that is not known, which leaves no slack.
    pub fn try_take(
        &mut self,
        purpose: RetryPurpose,
        entries: Option<usize>,
        now_ms: u64,
    ) -> BudgetDecision {
        self.slice(now_ms);
        let requests: u32 = self.slices.iter().map(|it| it.requests).sum();
        let retries: u32 = self.slices.iter().map(|it| it.retries).sum();
        let sharing = entries.filter(|_| now_ms >= self.slack_from_ms);
        let slack = sharing.map_or(0.0, |it| self.limits.slack / it.max(1) as f64);
        let allowed = (self.limits.ratio * f64::from(requests) + slack) * purpose.share();
        let is_allowed = f64::from(retries + 1) <= allowed;
        if is_allowed {
            self.slice(now_ms).retries += 1;
        }
        BudgetDecision { is_allowed, requests, retries, allowed }
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
