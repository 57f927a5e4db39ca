//! Evacuated data centres, whose targets are not candidates for any request.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::selection::LimitedCandidates;
use crate::selection::NoTarget;
use crate::target::Target;
use crate::targets::TargetTable;

/// Data centres that are evacuated, and when evacuations ended.
#[derive(Clone, Debug, Default)]
pub(super) struct EvacuatedDataCenters {
    evacuated: BTreeSet<String>,
    ended_ms: BTreeMap<String, u64>,
}

impl EvacuatedDataCenters {
    /// Returns whether a target may get no request because its data centre is evacuated.
    pub(super) fn contains(&self, target: &Target) -> bool {
        // Usually none is evacuated, and this is asked for each target at each request.
        !self.evacuated.is_empty() && self.evacuated.contains(&target.info.data_center)
    }
}

impl TargetTable {
    /// Replaces the evacuated data centres. Requests in flight there are not affected.
    pub fn set_evacuated(&mut self, data_centers: BTreeSet<String>) {
        self.evacuated.evacuated = data_centers;
    }

    /// Returns the evacuated data centres.
    pub fn evacuated(&self) -> &BTreeSet<String> {
        &self.evacuated.evacuated
    }

    /// Records that the evacuation of a data centre ended at a time in milliseconds. Its targets may be cold.
    pub fn record_evacuation_end(&mut self, data_center: &str, now_ms: u64) {
        self.evacuated.ended_ms.insert(data_center.to_string(), now_ms);
        self.record_unused_data_center(data_center, now_ms);
    }

    /// Returns when the evacuation of a data centre ended last, if that was recorded.
    pub fn evacuation_ended_ms(&self, data_center: &str) -> Option<u64> {
        self.evacuated.ended_ms.get(data_center).copied()
    }

    /// Returns whether a service has eligible targets and all of them are in evacuated data centres.
    pub fn is_evacuated(&self, service: &str, now_ms: u64) -> bool {
        if self.evacuated.evacuated.is_empty() {
            return false;
        }
        let keys = self.by_service.get(service).into_iter().flatten();
        let mut eligible =
            keys.map(|it| &self.targets[it.0]).filter(|it| it.is_eligible(now_ms)).peekable();
        eligible.peek().is_some() && eligible.all(|it| self.evacuated.contains(it))
    }

    /// Returns why none of the candidates of a service was picked.
    pub(super) fn no_target(
        &self,
        service: &str,
        limited: &LimitedCandidates,
        candidates: usize,
        now_ms: u64,
    ) -> NoTarget {
        match limited.no_target(candidates) {
            NoTarget::Absent if self.is_evacuated(service, now_ms) => NoTarget::Evacuated,
            reason => reason,
        }
    }
}
