//! Outlier ejection: detects targets that answer requests with errors although they pass their health checks.
//!
//! A target that fails every request immediately finishes its requests sooner than the others. It therefore always has
//! the lowest load and attracts most of the traffic, and each entry would have to find out about it separately. So a
//! target counts as failing after two consecutive failures, entries share their failure rates, and a failing target is
//! retried at growing intervals.

/// Weight of the latest outcome in the failure rate.
const SMOOTHING_FACTOR: f64 = 0.2;
/// Half-life of the failure rate while there are no outcomes, in milliseconds, so that a target is tried again. It is
/// multiplied by the number of consecutive failures.
const HALF_LIFE_MS: f64 = 2_000.0;
/// Consecutive failures that lengthen the half-life, at most.
const CONSECUTIVE_FAILURES_MAX: u32 = 6;
/// Failure rate up to which a target counts as healthy.
const TOLERATED_RATE: f64 = 0.2;
/// Failure rate above which a target is ejected while at least half of the targets are healthy.
const EJECTION_RATE: f64 = 0.35;
/// Load penalty for each unit of failure rate above [`TOLERATED_RATE`], in requests.
const PENALTY_REQUESTS: f64 = 60.0;

/// Failure rate of a target's latest attempts, as an exponentially weighted average.
#[derive(Clone, Copy, Debug, Default)]
pub struct FailureRate {
    rate: f64,
    recorded_ms: u64,
    consecutive_failures: u32,
}

impl FailureRate {
    /// Adds the outcome of an attempt.
    pub fn record(&mut self, is_failure: bool, now_ms: u64) {
        let previous = self.rate(now_ms);
        let latest = if is_failure { 1.0 } else { 0.0 };
        self.rate = previous + SMOOTHING_FACTOR * (latest - previous);
        self.recorded_ms = now_ms;
        self.consecutive_failures = if is_failure { self.consecutive_failures + 1 } else { 0 };
    }

    /// Returns the failure rate at `now_ms`, from 0 to 1.
    pub fn rate(&self, now_ms: u64) -> f64 {
        let elapsed_ms = now_ms.saturating_sub(self.recorded_ms) as f64;
        let half_life_ms =
            HALF_LIFE_MS * f64::from(self.consecutive_failures.clamp(1, CONSECUTIVE_FAILURES_MAX));
        self.rate * 0.5_f64.powf(elapsed_ms / half_life_ms)
    }
}

/// Returns whether a failure rate is high enough to be sent to the other entries.
pub fn should_report(rate: f64) -> bool {
    rate > TOLERATED_RATE
}

/// Returns whether a target with this failure rate is ejected while at least half of the targets are healthy.
pub fn is_ejected(rate: f64) -> bool {
    rate > EJECTION_RATE
}

/// Returns the requests that are added to a target's load because of its failure rate.
pub fn penalty(rate: f64) -> f64 {
    (rate - TOLERATED_RATE).max(0.0) * PENALTY_REQUESTS
}
