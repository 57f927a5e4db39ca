//! Health of a lock-step group: all its ranks refuse requests while one of them is down.
//!
//! After a rank crashes, the group refuses every request for some seconds. Callers that retry after the usual short
//! delay find it down again and give up. So the entry refuses requests itself, without asking the group, and sends the
//! longest retry delay that callers accept. Single probe requests find out when the group is back.
//!
//! A single rank may turn requests away for reasons of its own, so the group counts as down only if two ranks refuse
//! without an answer in between.

use crate::selection::TargetKey;

/// Time between two probe requests, in milliseconds.
const PROBE_INTERVAL_MS: u64 = 250;
/// Share of a group's slots; with a lower mean load, a refusal cannot mean that the group is full.
const FULL_LOAD_SHARE: f64 = 0.8;

/// Health of a group as one entry sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GroupHealth {
    next_probe_ms: Option<u64>,
    /// Rank that refused a request since the last answer.
    refused_by: Option<TargetKey>,
}

impl GroupHealth {
    /// Records that a rank refused a request; returns whether the group counts as down.
    pub fn record_refusal(
        &mut self,
        rank: TargetKey,
        mean_load: f64,
        slots: u32,
        now_ms: u64,
    ) -> bool {
        let first = *self.refused_by.get_or_insert(rank);
        let is_by_several = first != rank || self.next_probe_ms.is_some();
        let is_down = is_by_several && mean_load < FULL_LOAD_SHARE * f64::from(slots);
        if is_down {
            self.next_probe_ms = Some(now_ms + PROBE_INTERVAL_MS);
        }
        is_down
    }

    /// Records that a rank answered a request.
    pub fn record_answer(&mut self) {
        self.next_probe_ms = None;
        self.refused_by = None;
    }

    /// Returns whether a request may be sent: always while the group is up, every 250 ms as a probe while it is down.
    pub fn may_send(&mut self, now_ms: u64) -> bool {
        match self.next_probe_ms {
            None => true,
            Some(due_ms) if now_ms >= due_ms => {
                self.next_probe_ms = Some(now_ms + PROBE_INTERVAL_MS);
                true
            }
            Some(_) => false,
        }
    }
}
