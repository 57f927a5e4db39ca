//! Reports of requests that were running on a host that failed together with its agent.
//!
//! Only the entry that dispatched such a request still knows of it.

use std::sync::Arc;
use std::time::Duration;

use bilberryloft_state::claim::ClaimSite;
use bilberryloft_state::key::digest;
use bilberryloft_state::state_machine::Command;

use crate::entry::state::Entry;

/// Time for which an entry checks whether the agent of a lost attempt has failed.
const AGENT_LOSS_WATCH_TIME: Duration = Duration::from_millis(15_000);
/// Time between these checks.
const AGENT_LOSS_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time for the quorum to record the suspect.
const REPORT_TIMEOUT: Duration = Duration::from_millis(2_000);

/// An attempt that was sent to an agent, with what is needed to report it if the agent fails.
#[derive(Clone, Debug)]
pub(super) struct DispatchedAttempt {
    pub request_id: String,
    pub attempt: u32,
    pub fingerprint: i64,
    pub site: ClaimSite,
}

impl DispatchedAttempt {
    /// Builds the crash report for this attempt.
    ///
    /// Its number is unique for the attempt, so that several entries can each report their own requests.
    fn crash_report(&self) -> Command {
        let number = digest(&[self.request_id.as_bytes(), &self.attempt.to_le_bytes()]);
        Command::ReportCrash {
            target: self.site.target.clone(),
            crash_number: number.cast_unsigned(),
            fingerprints: vec![self.fingerprint],
        }
    }
}

impl Entry {
    /// Marks a request as suspect if the agent incarnation that ran it turns out to have ended.
    ///
    /// A broken connection alone makes no request suspect, because the target's lease continues.
    pub(super) fn watch_for_agent_loss(self: &Arc<Self>, attempt: DispatchedAttempt) {
        let entry = self.clone();
        let command = attempt.crash_report();
        let site = attempt.site;
        tokio::spawn(async move {
            let until = tokio::time::Instant::now() + AGENT_LOSS_WATCH_TIME;
            while tokio::time::Instant::now() < until {
                if entry.is_agent_gone(&site) {
                    let _ = entry.control.propose(&command, REPORT_TIMEOUT).await;
                    return;
                }
                tokio::time::sleep(AGENT_LOSS_POLL_INTERVAL).await;
            }
        });
    }

    /// Marks a request as suspect after its agent is known to have failed.
    pub(super) async fn report_agent_loss(&self, attempt: &DispatchedAttempt) {
        let _ = self.control.propose(&attempt.crash_report(), REPORT_TIMEOUT).await;
    }

    fn is_agent_gone(&self, site: &ClaimSite) -> bool {
        let membership = self.view.membership();
        let record = membership.targets().get(&site.target);
        record
            .is_none_or(|target| !target.reachable || target.incarnation != site.agent_incarnation)
    }
}
