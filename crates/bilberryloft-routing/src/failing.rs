//! Targets that fail what they are sent while they look healthy.
//!
//! The pattern: a few targets of many answer every request at once with an error. They end their requests sooner than
//! the others, so they always have the fewest, and draw most of the work; each entry has to learn of each of them by
//! itself. So a target counts as failing after two failures in a row, entries tell each other, and a failing one is
//! tried again seldom.

/// Weight of the latest outcome in the share of failures.
const GAIN: f64 = 0.2;
/// Time in which the share halves without outcomes, so that a target is tried again, in milliseconds; for each failure
/// in a row.
const HALF_LIFE_MS: f64 = 2_000.0;
/// Failures in a row that lengthen that time, at most.
const IN_A_ROW_MAX: u32 = 6;
/// Share of failures up to which a target counts as sound.
const TOLERATED: f64 = 0.2;
/// Share of failures from which a target gets nothing while most others are sound.
const EJECTED_FROM: f64 = 0.35;
/// Requests that a target with only failures counts as having besides those it runs.
const PENALTY: f64 = 60.0;

/// Share of failures among a target's latest outcomes.
#[derive(Clone, Copy, Debug, Default)]
pub struct FailureShare {
    share: f64,
    noted_ms: u64,
    in_a_row: u32,
}

impl FailureShare {
    /// Takes an outcome.
    pub fn note(&mut self, is_failure: bool, now_ms: u64) {
        let before = self.share(now_ms);
        let latest = if is_failure { 1.0 } else { 0.0 };
        self.share = before + GAIN * (latest - before);
        self.noted_ms = now_ms;
        self.in_a_row = if is_failure { self.in_a_row + 1 } else { 0 };
    }

    /// The share now, from 0 to 1.
    pub fn share(&self, now_ms: u64) -> f64 {
        let passed_ms = now_ms.saturating_sub(self.noted_ms) as f64;
        let half_life_ms = HALF_LIFE_MS * f64::from(self.in_a_row.clamp(1, IN_A_ROW_MAX));
        self.share * 0.5_f64.powf(passed_ms / half_life_ms)
    }
}

/// Whether other entries should know of a share.
pub fn is_worth_telling(share: f64) -> bool {
    share > TOLERATED
}

/// Whether a target gets nothing while most others are sound.
pub fn is_ejected(share: f64) -> bool {
    share > EJECTED_FROM
}

/// Requests that a target counts as having besides those it runs.
pub fn penalty(share: f64) -> f64 {
    (share - TOLERATED).max(0.0) * PENALTY
}
