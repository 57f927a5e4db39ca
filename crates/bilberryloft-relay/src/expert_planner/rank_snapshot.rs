//! State of a rank as the planner reads it.

use std::sync::Arc;

use bilberryloft_coordination::expert_map::RankMaps;
use tokio::time::Instant;

use crate::dialect::RankReport;
use crate::ranks::client::RankClient;
use crate::ranks::state::RankChoices;

/// State of a rank as read in one poll.
pub(super) struct RankSnapshot {
    pub client: Arc<RankClient>,
    pub read_at: Instant,
    pub report: RankReport,
    /// Choices of experts since the last reading, if the rank's agent answers.
    pub choices: Option<RankChoices>,
}

impl RankSnapshot {
    /// Returns the number of the forward pass that has probably started last, if passes take `pass_ms`.
    pub fn current_step(&self, pass_ms: f64) -> Option<u64> {
        let step = self.choices.as_ref()?.step;
        let elapsed_ms = self.read_at.elapsed().as_secs_f64() * 1_000.0;
        let passes = if pass_ms > 0.0 { (elapsed_ms / pass_ms) as u64 } else { 0 };
        Some(step + passes)
    }

    /// Returns what decides whether a held group may be released.
    pub fn maps(&self) -> RankMaps {
        RankMaps { prepared: self.report.prepared, is_armed: self.report.is_armed }
    }
}

/// Returns whether these are all ranks of an open group in one epoch, in order.
pub(super) fn is_whole_group(ranks: &[RankSnapshot]) -> bool {
    let Some(first) = ranks.first() else {
        return false;
    };
    ranks.len() == first.report.ranks
        && ranks.iter().enumerate().all(|(at, it)| it.report.rank == at)
        && ranks.iter().all(|it| it.report.epoch == first.report.epoch && it.report.is_open)
}

/// Returns the highest version that any rank shows as prepared; 0 if none does.
pub(super) fn highest_prepared(ranks: &[RankSnapshot]) -> u64 {
    ranks.iter().filter_map(|it| it.report.prepared).max().unwrap_or(0)
}
