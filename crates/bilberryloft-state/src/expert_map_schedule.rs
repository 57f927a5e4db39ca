//! Replicated schedules of expert map changes in groups whose ranks know nothing of the quorum: before which pass a group is held
//! for a version, so that a later leader can complete what an earlier one has begun.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

/// Largest number of groups. Beyond it, the group whose name comes first is dropped, whose changes are then not completed.
const GROUPS_MAX: usize = 1_024;

/// The latest change of one group that was scheduled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MapSchedule {
    /// Epoch of the group, which grows each time it forms again.
    pub epoch: u64,
    /// Version of the map.
    pub version: u64,
    /// Pass before which the group is held, and at which all ranks switch.
    pub step: u64,
}

/// The latest schedules, by group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MapSchedules {
    by_group: BTreeMap<String, MapSchedule>,
}

impl MapSchedules {
    /// Returns the latest schedule of a group.
    pub fn get(&self, group: &str) -> Option<MapSchedule> {
        self.by_group.get(group).copied()
    }

    /// Records a schedule, unless a higher version was scheduled in the same epoch; returns whether it was recorded.
    pub fn record(&mut self, group: &str, schedule: MapSchedule) -> bool {
        let latest = self.get(group).filter(|it| it.epoch == schedule.epoch);
        if latest.is_some_and(|it| it.version > schedule.version) {
            return false;
        }
        self.by_group.insert(group.to_string(), schedule);
        if self.by_group.len() > GROUPS_MAX {
            self.by_group.pop_first();
        }
        true
    }
}
