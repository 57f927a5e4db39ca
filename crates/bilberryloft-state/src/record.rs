//! Records that explain one decision each.

use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

/// One candidate as the entry saw it when it picked.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CandidateRecord {
    /// Name of the target.
    pub target: String,
    /// Requests running and queued in the last answer that carried a load.
    pub reported: u32,
    /// The entry's own dispatches since then.
    pub own_since: u32,
    /// Age of the report in milliseconds.
    pub report_age_ms: u64,
    /// Score that was compared; the lowest wins.
    pub score: f64,
}

/// One decision, with its inputs by value.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DecisionRecord {
    /// Request that was decided on.
    pub request_id: String,
    /// Daemon that decided.
    pub daemon: String,
    /// Time in milliseconds since the epoch.
    pub at_ms: u64,
    /// What kind of decision.
    pub step: String,
    /// Team of the caller.
    pub team: String,
    /// Number of the attempt.
    pub attempt: u32,
    /// Configuration version used.
    pub configuration_version: u64,
    /// Membership version used.
    pub membership_version: u64,
    /// Targets that were compared.
    pub candidates: Vec<CandidateRecord>,
    /// Rule that decided.
    pub rule: String,
    /// Outcome.
    pub outcome: String,
}

/// A bounded list of decision records, oldest dropped first.
#[derive(Debug, Default)]
pub struct RecordRing {
    records: VecDeque<DecisionRecord>,
    capacity: usize,
}

impl RecordRing {
    /// Makes a ring for `capacity` records.
    pub fn with_capacity(capacity: usize) -> RecordRing {
        RecordRing { records: VecDeque::new(), capacity }
    }

    /// Adds a record.
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
