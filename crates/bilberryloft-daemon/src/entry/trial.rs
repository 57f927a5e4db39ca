//! Running a suspect alone, by leave of the quorum.

use std::time::Duration;

use bilberryloft_protocol::problem::Problem;
use bilberryloft_state::refusal::Reason;
use bilberryloft_state::refusal::RunState;
use bilberryloft_state::state_machine::Command;
use bilberryloft_state::state_machine::Outcome;
use bilberryloft_state::suspect::TrialOutcome;

use crate::control_client::ControlClient;
use crate::entry::request::Work;
use crate::entry::state::Entry;

/// Longest time for the quorum to answer.
const TRIAL_LIMIT: Duration = Duration::from_millis(2_000);
/// Time after which a caller should come back while another trial runs, in milliseconds.
const TRIAL_RETRY_AFTER_MS: u64 = 2_000;

/// A trial under way; its end is reported when the value is dropped.
#[derive(Debug)]
pub(super) struct Trial {
    control: ControlClient,
    fingerprint: i64,
    request_id: String,
    /// Whether the target has survived.
    pub is_clean: bool,
}

impl Drop for Trial {
    fn drop(&mut self) {
        let command = Command::EndTrial {
            fingerprint: self.fingerprint,
            request_id: self.request_id.clone(),
            clean: self.is_clean,
        };
        let control = self.control.clone();
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(async move {
                let _ = control.propose(&command, TRIAL_LIMIT).await;
            });
        }
    }
}

impl Entry {
    /// Asks for leave to run work that may be suspect; `None` when it is not.
    pub(super) async fn begin_trial(
        &self,
        work: &Work,
        is_certain: bool,
    ) -> Result<Option<Trial>, Problem> {
        if !is_certain && self.view.suspect(work.fingerprint).is_none() {
            return Ok(None);
        }
        let command = Command::BeginTrial {
            fingerprint: work.fingerprint,
            request_id: work.request_id.clone(),
        };
        let limit = TRIAL_LIMIT.min(work.time_left());
        let refuse = |reason: Reason, retry_after_ms: u64, detail: &str| {
            Err(Problem::new(reason, RunState::NotRun, retry_after_ms, detail))
        };
        match self.control.propose(&command, limit).await {
            Ok(Outcome::Trial(TrialOutcome::Clear)) => Ok(None),
            Ok(Outcome::Trial(TrialOutcome::Granted)) => Ok(Some(Trial {
                control: self.control.clone(),
                fingerprint: work.fingerprint,
                request_id: work.request_id.clone(),
                is_clean: false,
            })),
            Ok(Outcome::Trial(TrialOutcome::Running)) => refuse(
                Reason::SuspectTrial,
                TRIAL_RETRY_AFTER_MS,
                "the same work is on trial after a crash",
            ),
            Ok(Outcome::Trial(TrialOutcome::Quarantined)) => {
                refuse(Reason::Quarantined, 0, "the work was in flight at two crashes of targets")
            }
            Ok(other) => refuse(
                Reason::SuspectTrial,
                TRIAL_RETRY_AFTER_MS,
                &format!("the quorum answered {other:?}"),
            ),
            Err(error) => refuse(Reason::SuspectTrial, TRIAL_RETRY_AFTER_MS, &error.to_string()),
        }
    }
}
