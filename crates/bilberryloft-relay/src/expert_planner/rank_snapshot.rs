//! State of a rank as the planner reads it.

use std::sync::Arc;

use crate::dialect::ExpertCounts;
use crate::dialect::RankReport;
use crate::rank_client::RankClient;

/// State of a rank as read in one poll.
pub(super) struct RankSnapshot {
    pub client: Arc<RankClient>,
    pub report: RankReport,
    pub counts: Option<ExpertCounts>,
}
