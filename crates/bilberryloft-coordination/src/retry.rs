//! When an entry tries again, and how much of that it may do.

use bilberryloft_state::refusal::Reason;
use bilberryloft_state::refusal::RunState;

/// Attempts of one request at most.
pub const ATTEMPTS_MAX: u32 = 4;
/// Share of a token that each first attempt adds to the budget.
pub const RETRY_RATIO: f64 = 0.2;
/// Tokens that the budget holds at most.
pub const BUDGET_MAX: f64 = 50.0;

/// Retries that one entry may still make; each first attempt earns a share of one.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    tokens: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget { tokens: BUDGET_MAX }
    }
}

impl RetryBudget {
    /// Counts a first attempt.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + RETRY_RATIO).min(BUDGET_MAX);
    }

    /// Takes one retry out of the budget, if there is one.
    pub fn spend(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// What is known when an attempt ends without an answer.
#[derive(Clone, Copy, Debug)]
pub struct Failure {
    /// Why it ended.
    pub reason: Reason,
    /// Whether it ran.
    pub run: RunState,
    /// Whether the caller has already seen a part of the answer.
    pub answer_started: bool,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Attempts so far.
    pub attempts: u32,
    /// Time left until the deadline in milliseconds.
    pub time_left_ms: u64,
}

/// What the entry does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Try another target.
    TryElsewhere,
    /// Give the final answer now.
    GiveUp,
}

/// Decides after a failed attempt. The budget is asked last, so that only real retries cost.
pub fn decide_retry(failure: Failure, budget: &mut RetryBudget) -> RetryDecision {
    if failure.answer_started || failure.attempts >= ATTEMPTS_MAX || failure.time_left_ms == 0 {
        return RetryDecision::GiveUp;
    }
    let may_repeat = match failure.run {
        RunState::NotRun => true,
        RunState::Ran | RunState::Unknown => failure.idempotent,
    };
    if !may_repeat || !is_worth_retrying(failure.reason) {
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
