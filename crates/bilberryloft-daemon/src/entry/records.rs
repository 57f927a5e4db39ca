//! Decision records of an entry and their upload to a control host.

use std::sync::Arc;
use std::time::Duration;

use bilberryloft_protocol::problem::Problem;
use bilberryloft_protocol::wire::Body;
use bilberryloft_protocol::wire::StoreRecords;
use bilberryloft_state::record::CandidateRecord;
use bilberryloft_state::record::DecisionRecord;
use bilberryloft_transport::clock::epoch_ms;

use crate::entry::request::ParsedRequest;
use crate::entry::state::Entry;

/// Time between uploads of a batch to a control host.
const STORE_INTERVAL: Duration = Duration::from_millis(1_000);
/// Records that may wait for upload; more are dropped, because a control host's capacity is limited.
const UNSENT_RECORDS_MAX: usize = 256;
/// Time for a control host to take a batch.
const STORE_TIMEOUT: Duration = Duration::from_millis(2_000);

impl Entry {
    /// Builds a record of a decision on a request.
    pub(super) fn new_record(
        &self,
        request: &ParsedRequest,
        step: &str,
        attempt: u32,
        candidates: Vec<CandidateRecord>,
        rule: &str,
        outcome: String,
    ) -> DecisionRecord {
        let versions = *self.view.versions().borrow();
        DecisionRecord {
            request_id: request.request_id.clone(),
            daemon: self.daemon.clone(),
            at_ms: epoch_ms(),
            step: step.to_string(),
            team: request.policy.team.clone(),
            attempt,
            configuration_version: versions.configuration,
            membership_version: versions.membership,
            candidates,
            rule: rule.to_string(),
            outcome,
        }
    }

    /// Adds a record to this entry's ring buffer.
    pub(super) fn push_record(&self, record: DecisionRecord) {
        self.lock().records.push(record);
    }

    /// Records a refusal here and queues a copy for a control host, where it outlives this entry.
    pub(super) fn push_refusal_record(&self, request_id: &str, team: &str, problem: &Problem) {
        let versions = *self.view.versions().borrow();
        let record = DecisionRecord {
            request_id: request_id.to_string(),
            daemon: self.daemon.clone(),
            at_ms: epoch_ms(),
            step: "refuse".to_string(),
            team: team.to_string(),
            attempt: 0,
            configuration_version: versions.configuration,
            membership_version: versions.membership,
            candidates: Vec::new(),
            rule: problem.reason.name(),
            outcome: format!(
                "status {}, run {:?}: {}",
                problem.status, problem.run, problem.detail
            ),
        };
        let encoded = serde_json::to_vec(&record).unwrap_or_default();
        let mut inner = self.lock();
        inner.records.push(record);
        if inner.unsent_records.len() < UNSENT_RECORDS_MAX {
            inner.unsent_records.push(encoded);
        }
    }

    /// Returns the records of a request that this entry still has.
    pub fn records_of(&self, request_id: &str) -> Vec<DecisionRecord> {
        self.lock().records.find(request_id)
    }

    /// Spawns a task on the current runtime that uploads refusal records to a control host.
    pub(super) fn spawn_record_upload(self: &Arc<Self>) {
        let entry = self.clone();
        tokio::spawn(async move {
            loop {
                tokio::time::sleep(STORE_INTERVAL).await;
                let records = std::mem::take(&mut entry.lock().unsent_records);
                if !records.is_empty() {
                    let store = Body::StoreRecords(StoreRecords::new(records));
                    let _ = entry.control.call(store, STORE_TIMEOUT).await;
                }
            }
        });
    }
}
