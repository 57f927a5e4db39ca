//! Reports of other entries on the loads and failure rates of targets.

use std::collections::BTreeMap;

use crate::load_exchange::TargetTag;
use crate::selection::TargetKey;
use crate::sharing_entries::ACTIVE_MS;
use crate::targets::TargetTable;

/// Latest report of another entry.
#[derive(Clone, Debug)]
pub(super) struct EntryReport {
    pub(super) received_ms: u64,
    pub(super) loads: BTreeMap<TargetTag, u32>,
    pub(super) failure_rates: BTreeMap<String, f64>,
}

impl TargetTable {
    /// Stores another entry's report: its requests in flight and its high failure rates, by target.
    pub fn record_entry(
        &mut self,
        entry: &str,
        loads: BTreeMap<TargetTag, u32>,
        failure_rates: BTreeMap<String, f64>,
        now_ms: u64,
    ) {
        self.remove_entry(entry);
        self.change_others_load(&loads, u32::saturating_add);
        let has_failures = !failure_rates.is_empty();
        if has_failures && !self.cold.is_empty() {
            self.record_failing(&failure_rates.keys().cloned().collect::<Vec<_>>(), now_ms);
        }
        let report = EntryReport { received_ms: now_ms, loads, failure_rates };
        self.entries.insert(entry.to_string(), report);
        if has_failures {
            self.merge_failure_rates();
        }
    }

    /// Takes an entry's report out of the sums.
    fn remove_entry(&mut self, entry: &str) {
        let Some(report) = self.entries.remove(entry) else {
            return;
        };
        self.change_others_load(&report.loads, u32::saturating_sub);
        if !report.failure_rates.is_empty() {
            self.merge_failure_rates();
        }
    }

    fn change_others_load(
        &mut self,
        loads: &BTreeMap<TargetTag, u32>,
        change: impl Fn(u32, u32) -> u32,
    ) {
        for (tag, load) in loads {
            for key in self.by_tag.get(tag).into_iter().flatten() {
                let target = &mut self.targets[key.0];
                target.others_load = change(target.others_load, *load);
            }
        }
    }

    /// Sums the loads that other entries report for a target that is new or has restarted.
    pub(super) fn sum_loads_of(&mut self, key: TargetKey) {
        let target = &mut self.targets[key.0];
        let loads = self.entries.values().filter_map(|it| it.loads.get(&target.tag));
        target.others_load = loads.sum();
    }

    /// Sets the failure rate of each target that other entries report to the highest one.
    fn merge_failure_rates(&mut self) {
        for target in &mut self.targets {
            target.others_failure_rate = 0.0;
        }
        for (id, rate) in self.entries.values().flat_map(|it| &it.failure_rates) {
            if let Some(key) = self.by_id.get(id) {
                let target = &mut self.targets[key.0];
                target.others_failure_rate = target.others_failure_rate.max(*rate);
            }
        }
    }

    /// Removes entries whose reports have expired; returns the number of entries, including this one.
    pub fn expire_entries(&mut self, now_ms: u64) -> usize {
        let expired = self.entries.iter().filter(|it| it.1.received_ms + ACTIVE_MS <= now_ms);
        let expired: Vec<String> = expired.map(|it| it.0.clone()).collect();
        for entry in expired {
            self.remove_entry(&entry);
        }
        self.entries.len() + 1
    }
}
