//! What targets say of themselves in their answers: limits, rest and leaving.

use std::collections::BTreeMap;

use crate::selection::LimitedCandidates;
use crate::selection::TargetKey;
use crate::target_limits::LimitedWait;
use crate::targets::TargetTable;

/// Largest number of leaving targets in a report.
const REPORTED_LEAVING_MAX: usize = 64;

impl TargetTable {
    /// Returns the wait for a target if all targets of a service name limits; it is 0 if one may get a request now.
    pub fn limited_wait(&self, service: &str, now_ms: u64) -> Option<LimitedWait> {
        if self.limits.is_empty() {
            return None;
        }
        let candidates = self.candidates(service, &[], now_ms);
        let mut limited = LimitedCandidates::default();
        for (key, _) in &candidates {
            let info = &self.targets[key.0].info;
            if !limited.add(self.limits.state(&info.id, info.incarnation, now_ms)) {
                return None;
            }
        }
        (!candidates.is_empty()).then(|| limited.wait())
    }

    /// Records that an incarnation of a target wants no request of this entry before a time.
    pub fn record_rest(&mut self, key: TargetKey, incarnation: u64, until_ms: u64) {
        let target = &mut self.targets[key.0];
        if target.info.incarnation == incarnation {
            target.rest_until_ms = target.rest_until_ms.max(until_ms);
        }
    }

    /// Records that an incarnation of a target has said in an answer that it is leaving; returns whether that is news.
    pub fn record_leaving(&mut self, id: &str, incarnation: u64) -> bool {
        let key = self.by_id.get(id).copied();
        let Some(target) = key.map(|it| &mut self.targets[it.0]) else {
            return false;
        };
        if target.info.incarnation != incarnation || target.is_leaving() {
            return false;
        }
        target.said_leaving = true;
        true
    }

    /// Returns targets that have said in an answer that they are leaving, with their incarnations, as long as the control
    /// hosts don't know it.
    pub fn unrecorded_leaving(&self) -> BTreeMap<String, u64> {
        let leaving = self.targets.iter().filter(|it| it.said_leaving && !it.info.is_leaving);
        let announced = leaving.filter(|it| it.info.is_announced).take(REPORTED_LEAVING_MAX);
        announced.map(|it| (it.info.id.clone(), it.info.incarnation)).collect()
    }

    /// Returns the time until the first of a service's targets may get a request, if all of them rest, in milliseconds.
    pub fn rest_wait_ms(&self, service: &str, now_ms: u64) -> Option<u64> {
        let candidates = self.candidates(service, &[], now_ms);
        let waits = candidates.iter().map(|it| &self.targets[it.0.0]);
        let waits = waits.map(|it| it.rest_until_ms.saturating_sub(now_ms));
        waits.min().filter(|it| *it > 0)
    }
}
