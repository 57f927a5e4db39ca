//! Target that ended while it ran a suspect.

use serde::Deserialize;
use serde::Serialize;

use super::LostRun;
use super::rounds::RunSpan;

/// Target that ended while it ran a suspect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LostTarget {
    /// Name of the target.
    pub target: String,
    /// Number of the run; 0 if it is unknown.
    #[serde(default)]
    pub run_id: i64,
    /// Time at which the run began, in milliseconds since the epoch.
    pub started_ms: u64,
    /// Time at which the end of the target was noticed, in milliseconds since the epoch.
    pub lost_ms: u64,
    /// Longest time by which the run may be older than it says, in milliseconds.
    #[serde(default)]
    pub delay_max_ms: u64,
    /// Whether a part of the answer had arrived.
    #[serde(default)]
    pub was_answering: bool,
    /// Whether the run was a trial.
    #[serde(default)]
    pub was_on_trial: bool,
    /// Whether the head of the answer had arrived.
    #[serde(default)]
    pub has_head: bool,
    /// Whether the target ran another request, too, under which at least as many targets had ended before.
    #[serde(default)]
    pub is_shared: bool,
}

impl LostTarget {
    /// Returns the target of a lost run that is recorded at `now_ms`.
    pub(super) fn of_run(run: &LostRun, now_ms: u64) -> LostTarget {
        LostTarget {
            target: run.target.clone(),
            run_id: run.run_id,
            started_ms: now_ms.saturating_sub(run.started_ago_ms),
            lost_ms: now_ms.saturating_sub(run.lost_ago_ms),
            delay_max_ms: run.delay_max_ms,
            was_answering: run.was_answering,
            was_on_trial: run.was_on_trial,
            has_head: run.has_head,
            is_shared: false,
        }
    }

    /// Returns whether both are the same end of a target. Reports of one run may differ in its times by as long as they
    /// were on the way.
    pub(super) fn is_same_end(&self, other: &LostTarget) -> bool {
        is_same_run_id(self.run_id, other.run_id)
            || self.target == other.target
                && self.lost_ms + other.delay_max_ms >= other.started_ms
                && other.lost_ms + self.delay_max_ms >= self.started_ms
    }

    pub(super) fn span(&self) -> RunSpan {
        RunSpan {
            started_ms: self.started_ms,
            lost_ms: self.lost_ms,
            was_answering: self.was_answering,
            was_on_trial: self.was_on_trial,
            has_head: self.has_head,
            is_shared: self.is_shared,
        }
    }
}

/// Returns whether two numbers are known and name the same run.
pub(super) fn is_same_run_id(one: i64, other: i64) -> bool {
    one != 0 && one == other
}
