//! Targets that fail what they are sent while they look healthy.
//!
//! The pattern: a few targets of many answer every request at once with an error. They end their requests sooner than
//! the others, so they always have the fewest, and draw most of the work; each entry has to learn of each of them by
//! itself. So a target counts as failing after two failures in a row, entries tell each other, and a failing one is
//! tried again seldom.

/// Weight of the latest outcome in the share of failures.
const SMOOTHING_FACTOR: f64 = 0.2;
/// Time in which the share halves without outcomes, so that a target is tried again, in milliseconds; for each failure
/// in a row.
const HALF_LIFE_MS: f64 = 2_000.0;
/// Failures in a row that lengthen that time, at most.
const CONSECUTIVE_FAILURES_MAX: u32 = 6;
/// Share of failures up to which a target counts as sound.
const TOLERATED_RATE: f64 = 0.2;
/// Share of failures from which a target gets nothing while most others are sound.
const EJECTION_RATE: f64 = 0.35;
/// Requests that a target with only failures counts as having besides those it runs.
const PENALTY_REQUESTS: f64 = 60.0;

/// Share of failures among a target's latest outcomes.
#[derive(Clone, Copy, Debug, Default)]
pub struct FailureRate {
    rate: f64,
    recorded_ms: u64,
    consecutive_failures: u32,
}

impl FailureRate {
    /// Takes an outcome.
    pub fn record(&mut self, is_failure: bool, now_ms: u64) {
        let previous = self.rate(now_ms);
        let latest = if is_failure { 1.0 } else { 0.0 };
        self.rate = previous + SMOOTHING_FACTOR * (latest - previous);
        self.recorded_ms = now_ms;
        self.consecutive_failures = if is_failure { self.consecutive_failures + 1 } else { 0 };
    }

    /// The share now, from 0 to 1.
    pub fn rate(&self, now_ms: u64) -> f64 {
        let elapsed_ms = now_ms.saturating_sub(self.recorded_ms) as f64;
        let half_life_ms =
            HALF_LIFE_MS * f64::from(self.consecutive_failures.clamp(1, CONSECUTIVE_FAILURES_MAX));
        self.rate * 0.5_f64.powf(elapsed_ms / half_life_ms)
    }
}

/// Whether other entries should know of a share.
pub fn should_report(rate: f64) -> bool {
    rate > TOLERATED_RATE
}

/// Whether a target gets nothing while most others are sound.
pub fn is_ejected(rate: f64) -> bool {
    rate > EJECTION_RATE
}

/// Requests that a target counts as having besides those it runs.
pub fn penalty(rate: f64) -> f64 {
    (rate - TOLERATED_RATE).max(0.0) * PENALTY_REQUESTS
}
