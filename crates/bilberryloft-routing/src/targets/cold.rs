//! Cold targets and the memory of targets in the selection of targets.

use std::collections::BTreeMap;

use crate::cold_targets::ColdBound;
use crate::cold_targets::ColdCause;
use crate::cold_targets::ColdRecord;
use crate::cold_targets::ColdState;
use crate::selection::LimitedCandidates;
use crate::selection::PickLimits;
use crate::selection::TargetKey;
use crate::target_limits::LimitedWait;
use crate::targets::TargetTable;

impl TargetTable {
    /// Sets the services whose targets may be cold.
    pub fn set_cold_bounds(&mut self, bounds: BTreeMap<String, ColdBound>) {
        self.cold.set_bounds(bounds);
        self.has_cold_services = self.cold.has_bounds();
    }

    /// Records whether a known target may be cold; `version` is that of its record, which has not changed for
    /// `unchanged_ms`. Returns why it has become cold, if it has.
    pub fn record_cold(
        &mut self,
        id: &str,
        version: u64,
        unchanged_ms: u64,
        now_ms: u64,
    ) -> Option<ColdCause> {
        if !self.has_cold_services && self.cold.is_empty() {
            return None;
        }
        let key = *self.by_id.get(id)?;
        let info = &self.targets[key.0].info;
        let record = ColdRecord {
            service: &info.service,
            incarnation: info.incarnation,
            is_announced: info.is_announced,
            remaining_ms: info.cold_for_ms,
            version,
            unchanged_ms,
        };
        self.cold.record(key, id, &record, now_ms)
    }

    /// Records that targets of a data centre may be cold, as they got no requests during its evacuation.
    pub(super) fn record_unused_data_center(&mut self, data_center: &str, now_ms: u64) {
        for idx in 0..self.targets.len() {
            if self.targets[idx].info.data_center == data_center {
                self.cold.record_may_be_cold(TargetKey(idx), now_ms);
            }
        }
    }

    /// Records that other entries find a target failing, so that it may have restarted.
    pub(super) fn record_failing(&mut self, ids: &[String], now_ms: u64) {
        for key in ids.iter().filter_map(|it| self.by_id.get(it)) {
            self.cold.record_failing(*key, now_ms);
        }
    }

    /// Returns whether this entry may send a request to a target, as far as coldness is concerned.
    pub fn cold_state(&self, key: TargetKey, now_ms: u64) -> ColdState {
        if self.cold.is_empty() { ColdState::Warm } else { self.cold.state(key, now_ms) }
    }

    /// Returns the wait for a target if all targets of a service are cold and this entry may not send to any now.
    pub fn cold_wait(&self, service: &str, now_ms: u64) -> Option<LimitedWait> {
        if self.cold.is_empty() {
            return None;
        }
        let candidates = self.candidates(service, &[], now_ms);
        let mut cold = LimitedCandidates::default();
        for (key, _) in &candidates {
            match self.cold.state(*key, now_ms) {
                ColdState::Cold { wait_ms, rate_per_s } if wait_ms > 0 => {
                    cold.add_cold(wait_ms, rate_per_s);
                }
                ColdState::Cold { .. } | ColdState::Warm => return None,
            }
        }
        (!candidates.is_empty()).then(|| cold.cold_wait())
    }

    /// Returns whether a target's memory has room for one more request.
    pub(super) fn has_memory(&self, key: TargetKey, limits: &PickLimits) -> bool {
        let Some(need) = limits.memory else {
            return true;
        };
        let others = u64::from(self.targets[key.0].others_load) * need.usual_tokens;
        self.own_tokens(key) + others + need.tokens <= need.memory_tokens
    }

    /// Returns the tokens of this entry's requests at a target.
    pub fn own_tokens(&self, key: TargetKey) -> u64 {
        self.tokens.get(&key).copied().unwrap_or(0)
    }

    /// Counts the tokens of one more request at a target.
    pub(super) fn add_tokens(&mut self, key: TargetKey, tokens: u64) {
        if tokens > 0 {
            *self.tokens.entry(key).or_default() += tokens;
        }
    }

    /// Releases the tokens of a request that has ended at a target.
    pub fn release_tokens(&mut self, key: TargetKey, tokens: u64) {
        if let Some(held) = self.tokens.get_mut(&key) {
            *held = held.saturating_sub(tokens);
        }
    }
}
