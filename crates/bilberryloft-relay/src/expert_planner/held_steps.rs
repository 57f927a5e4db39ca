//! Passes before which a planner has held its groups, none of which it holds again.

use std::collections::BTreeMap;

#[derive(Clone, Copy, Debug)]
struct HeldStep {
    epoch: u64,
    step: u64,
}

/// Latest pass before which each group was held in its present epoch. Orders of an earlier epoch are refused anyway.
#[derive(Debug, Default)]
pub(super) struct HeldSteps {
    latest: BTreeMap<String, HeldStep>,
}

impl HeldSteps {
    /// Records that an order to hold a group before a pass is sent.
    pub fn record(&mut self, group: &str, epoch: u64, step: u64) {
        let held = self.latest.get(group).filter(|it| it.epoch == epoch);
        let step = held.map_or(step, |it| it.step.max(step));
        self.latest.insert(group.to_string(), HeldStep { epoch, step });
    }

    /// Returns the first pass after all that were held in an epoch.
    pub fn next_after(&self, group: &str, epoch: u64) -> u64 {
        let latest = self.latest.get(group).filter(|it| it.epoch == epoch);
        latest.map_or(0, |it| it.step + 1)
    }
}
