//! Retries at an entry: when a failed attempt is retried, and the retry budget that limits them.

use bilberryloft_state::refusal::Reason;
use bilberryloft_state::refusal::RunState;

/// Maximum number of attempts of one request.
pub const ATTEMPTS_MAX: u32 = 4;
/// Tokens that each first attempt adds to the budget; a retry costs one token.
pub const RETRY_RATIO: f64 = 0.2;
/// Maximum number of tokens in the budget.
pub const BUDGET_TOKENS_MAX: f64 = 50.0;

/// Token bucket that limits the retries of one entry to a share of its first attempts.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    tokens: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget { tokens: BUDGET_TOKENS_MAX }
    }
}

impl RetryBudget {
    /// Adds the tokens of a first attempt.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + RETRY_RATIO).min(BUDGET_TOKENS_MAX);
    }

    /// Takes the token of one retry; returns whether there was one.
    pub fn spend(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// What is known about an attempt that failed.
#[derive(Clone, Copy, Debug)]
pub struct Failure {
    /// Reason of the failure.
    pub reason: Reason,
    /// Whether the attempt ran at a target.
    pub run: RunState,
    /// Whether the caller has already received a part of the answer.
    pub answer_started: bool,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Number of attempts so far.
    pub attempts: u32,
    /// Time left until the deadline in milliseconds.
    pub time_left_ms: u64,
}

/// Decision after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Retry at another target.
    TryElsewhere,
    /// Return the failure to the caller.
    GiveUp,
}

/// Decides whether to retry a failed attempt. The budget is checked last, so that only actual retries consume tokens.
pub fn decide_retry(failure: Failure, budget: &mut RetryBudget) -> RetryDecision {
    if failure.answer_started || failure.attempts >= ATTEMPTS_MAX || failure.time_left_ms == 0 {
        return RetryDecision::GiveUp;
    }
    let can_repeat = match failure.run {
        RunState::NotRun => true,
        RunState::Ran | RunState::Unknown => failure.idempotent,
    };
    if !can_repeat || !is_worth_retrying(failure.reason) {
        return RetryDecision::GiveUp;
    }
    match budget.spend() {
        true => RetryDecision::TryElsewhere,
        false => RetryDecision::GiveUp,
    }
}

fn is_worth_retrying(reason: Reason) -> bool {
    match reason {
        Reason::Busy
        | Reason::Draining
        | Reason::Stopping
        | Reason::ConfigurationUnconfirmed
        | Reason::ConfigurationStale
        | Reason::ConfigurationBehind
        | Reason::WrongIncarnation
        | Reason::Voided
        | Reason::Duplicate
        | Reason::ContactLost
        | Reason::TargetFailed
        | Reason::TargetUnreachable => true,
        Reason::UnknownToken
        | Reason::NotAllowed
        | Reason::NoTarget
        | Reason::BadRequest
        | Reason::TooLarge
        | Reason::TeamLimit
        | Reason::Deadline
        | Reason::ClaimsUnavailable
        | Reason::KeyReused
        | Reason::AnswerGone
        | Reason::SuspectTrial
        | Reason::Quarantined
        | Reason::NoSuchAttempt
        | Reason::SlowCaller
        | Reason::Cancelled => false,
    }
}
