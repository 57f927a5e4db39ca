//! Work that was at a target whose host died, agent and all: nobody but the entry can name it.

use std::sync::Arc;
use std::time::Duration;

use bilberryloft_state::claim::ClaimSite;
use bilberryloft_state::key::digest;
use bilberryloft_state::state_machine::Command;

use crate::entry::state::Entry;

/// Time for which an entry waits to learn whether a target that it lost contact with has died.
const DEATH_WAIT: Duration = Duration::from_millis(15_000);
/// Time between looks.
const DEATH_LOOK: Duration = Duration::from_millis(100);
/// Time for control to record the suspect.
const REPORT_TIMEOUT: Duration = Duration::from_millis(2_000);

/// An attempt with which contact was lost.
#[derive(Clone, Debug)]
pub(super) struct LostAttempt {
    pub request_id: String,
    pub attempt: u32,
    pub fingerprint: i64,
    pub site: ClaimSite,
}

impl LostAttempt {
    /// The number is unique for the attempt, so that several entries can each name their own work.
    fn crash_report(&self) -> Command {
        let number = digest(&[self.request_id.as_bytes(), &self.attempt.to_le_bytes()]);
        Command::ReportCrash {
            target: self.site.target.clone(),
            crash_number: number as u64,
            fingerprints: vec![self.fingerprint],
        }
    }
}

impl Entry {
    /// Makes work suspect if the life of the agent that ran it turns out to have ended.
    ///
    /// A link that was merely cut makes nothing suspect: the target's lease goes on.
    pub(super) fn watch_for_death(self: &Arc<Self>, lost: LostAttempt) {
        let entry = self.clone();
        let command = lost.crash_report();
        let site = lost.site;
        tokio::spawn(async move {
            let until = tokio::time::Instant::now() + DEATH_WAIT;
            while tokio::time::Instant::now() < until {
                if entry.has_died(&site) {
                    let _ = entry.control.propose(&command, REPORT_TIMEOUT).await;
                    return;
                }
                tokio::time::sleep(DEATH_LOOK).await;
            }
        });
    }

    /// Makes work suspect whose agent is known to have died.
    pub(super) async fn report_death(&self, lost: &LostAttempt) {
        let _ = self.control.propose(&lost.crash_report(), REPORT_TIMEOUT).await;
    }

    fn has_died(&self, site: &ClaimSite) -> bool {
        let membership = self.view.membership();
        let record = membership.targets().get(&site.target);
        record.is_none_or(|it| !it.reachable || it.incarnation != site.agent_incarnation)
    }
}
