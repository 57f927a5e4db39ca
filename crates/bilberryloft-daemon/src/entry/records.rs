//! Decision records of an entry, and handing them to a control host.

use std::sync::Arc;
use std::time::Duration;

use bilberryloft_protocol::problem::Problem;
use bilberryloft_protocol::wire::Body;
use bilberryloft_protocol::wire::StoreRecords;
use bilberryloft_state::record::CandidateRecord;
use bilberryloft_state::record::DecisionRecord;
use bilberryloft_transport::clock::epoch_ms;

use crate::entry::request::Work;
use crate::entry::state::Entry;

/// Time between batches to control.
const STORE_EVERY: Duration = Duration::from_millis(1_000);
/// Records that wait at most; more are dropped, since control has a budget.
const TO_STORE_MAX: usize = 256;
/// Time for a control host to take a batch.
const STORE_TIMEOUT: Duration = Duration::from_millis(2_000);

impl Entry {
    /// Builds a record of a decision on a request.
    pub(super) fn record(
        &self,
        work: &Work,
        step: &str,
        attempt: u32,
        candidates: Vec<CandidateRecord>,
        rule: &str,
        outcome: String,
    ) -> DecisionRecord {
        let versions = *self.view.versions().borrow();
        DecisionRecord {
            request_id: work.request_id.clone(),
            daemon: self.daemon.clone(),
            at_ms: epoch_ms(),
            step: step.to_string(),
            team: work.policy.team.clone(),
            attempt,
            configuration_version: versions.configuration,
            membership_version: versions.membership,
            candidates,
            rule: rule.to_string(),
            outcome,
        }
    }

    /// Keeps a record.
    pub(super) fn keep(&self, record: DecisionRecord) {
        self.lock().records.push(record);
    }

    /// Keeps a refusal's record here and hands a copy to control, where it outlives the entry.
    pub(super) fn keep_refusal(&self, request_id: &str, team: &str, problem: &Problem) {
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
        if inner.to_store.len() < TO_STORE_MAX {
            inner.to_store.push(encoded);
        }
    }

    /// Records of a request that this entry still has.
    pub fn records_of(&self, request_id: &str) -> Vec<DecisionRecord> {
        self.lock().records.find(request_id)
    }

    /// Starts handing refusal records to control, on the current runtime.
    pub(super) fn spawn_record_keeper(self: &Arc<Self>) {
        let entry = self.clone();
        tokio::spawn(async move {
            loop {
                tokio::time::sleep(STORE_EVERY).await;
                let records = std::mem::take(&mut entry.lock().to_store);
                if !records.is_empty() {
                    let store = Body::StoreRecords(StoreRecords::new(records));
                    let _ = entry.control.call(store, STORE_TIMEOUT).await;
                }
            }
        });
    }
}
