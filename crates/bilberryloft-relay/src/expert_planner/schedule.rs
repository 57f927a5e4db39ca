//! Schedules of changes in the quorum's log: before which pass a group is held for a version. Only the leader can write one, and a
//! later leader finds it.

use std::time::Duration;

use bilberryloft_coordination::expert_map::RankMaps;
use bilberryloft_coordination::expert_map::completable_version;
use bilberryloft_daemon::events::Event;
use bilberryloft_daemon::log_event;
use bilberryloft_state::expert_map_schedule::MapSchedule;
use bilberryloft_state::state_machine::Command;
use bilberryloft_state::state_machine::Outcome;

use crate::expert_planner::Planner;
use crate::expert_planner::change::Change;
use crate::expert_planner::rank_snapshot::RankSnapshot;

/// Timeout for the quorum to commit a schedule, or to confirm that this host has applied all of them.
const QUORUM_TIMEOUT: Duration = Duration::from_millis(500);

impl Planner {
    /// Records in the quorum's log before which pass the group is held for a change; returns whether the change may go on.
    pub(super) async fn record_schedule(&self, key: &str, change: Change) -> bool {
        let Change { version, step, epoch, .. } = change;
        let schedule = MapSchedule { epoch, version, step };
        let command = Command::ScheduleExpertMap { group: key.to_string(), schedule };
        let proposed = tokio::time::timeout(QUORUM_TIMEOUT, self.control.propose(command)).await;
        match proposed {
            // Beside members of an earlier version, no later leader completes the change.
            Ok(Ok(Outcome::ExpertMapScheduled { is_latest: true } | Outcome::EarlierMember)) => {
                true
            }
            other => {
                let at = "schedule";
                log_event!(warn, Event::ExpertMapAbandoned, group = key, ?change, at, ?other);
                false
            }
        }
    }

    /// Returns the change that a held group may still complete: all ranks have prepared it, and the group is held before the
    /// pass that was scheduled for it.
    pub(super) async fn unfinished_change(
        &self,
        key: &str,
        ranks: &[RankSnapshot],
        maps: &[RankMaps],
    ) -> Option<MapSchedule> {
        let version = completable_version(maps)?;
        let schedule = self.confirmed_schedule(key).await?;
        let is_scheduled = schedule.version == version && schedule.epoch == ranks[0].report.epoch;
        let is_held = ranks.iter().any(|it| it.report.held_step == Some(schedule.step));
        (is_scheduled && is_held).then_some(schedule)
    }

    /// Returns the latest schedule of a group, once a quorum has confirmed that this host leads and has applied all.
    async fn confirmed_schedule(&self, key: &str) -> Option<MapSchedule> {
        let confirm = async {
            let index = self.control.read_index().await.ok()?;
            let mut applied = self.control.applied();
            applied.wait_for(|it| it.index >= index).await.ok()?;
            self.control.machine().map_schedules.get(key)
        };
        tokio::time::timeout(QUORUM_TIMEOUT, confirm).await.ok()?
    }
}
