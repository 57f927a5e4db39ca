//! Decision records: each explains one decision about a request, with its inputs.

use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

/// A candidate target as the entry knew it when it picked one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CandidateRecord {
    /// Name of the target.
    pub target: String,
    /// Requests running and queued, as reported by the last answer that carried a load.
    pub reported: u32,
    /// Requests that the entry itself has dispatched since that report.
    pub own_since: u32,
    /// Age of the report in milliseconds.
    pub report_age_ms: u64,
    /// Score of the candidate; the lowest is picked.
    pub score: f64,
}

/// One decision, with copies of its inputs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DecisionRecord {
    /// Id of the request.
    pub request_id: String,
    /// Name of the daemon that decided.
    pub daemon: String,
    /// Time of the decision, in milliseconds since the epoch.
    pub at_ms: u64,
    /// Kind of decision.
    pub step: String,
    /// Team of the caller.
    pub team: String,
    /// Number of the attempt.
    pub attempt: u32,
    /// Configuration version that the decision used.
    pub configuration_version: u64,
    /// Membership version that the decision used.
    pub membership_version: u64,
    /// Targets that were compared.
    pub candidates: Vec<CandidateRecord>,
    /// Rule that determined the outcome.
    pub rule: String,
    /// Outcome of the decision.
    pub outcome: String,
}

/// Ring buffer of decision records that drops the oldest when full.
#[derive(Debug, Default)]
pub struct RecordRing {
    records: VecDeque<DecisionRecord>,
    capacity: usize,
}

impl RecordRing {
    /// Creates an empty ring for `capacity` records.
    pub fn with_capacity(capacity: usize) -> RecordRing {
        RecordRing { records: VecDeque::new(), capacity }
    }

    /// Adds a record, dropping the oldest if the ring is full.
    pub fn push(&mut self, record: DecisionRecord) {
        if self.records.len() >= self.capacity {
            self.records.pop_front();
        }
        self.records.push_back(record);
    }

    /// Records of one request, oldest first.
    pub fn find(&self, request_id: &str) -> Vec<DecisionRecord> {
        self.records.iter().filter(|it| it.request_id == request_id).cloned().collect()
    }
}
