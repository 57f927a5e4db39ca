//! Trials: running a suspect request alone at its target, with the quorum's permission.

use std::time::Duration;

use bilberryloft_protocol::problem::Problem;
use bilberryloft_state::refusal::Reason;
use bilberryloft_state::refusal::RunState;
use bilberryloft_state::state_machine::Command;
use bilberryloft_state::state_machine::Outcome;
use bilberryloft_state::suspect::TrialOutcome;

use crate::control_client::ControlClient;
use crate::entry::request::ParsedRequest;
use crate::entry::state::Entry;

/// Time for the quorum to respond.
const QUORUM_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Retry-after for callers while another trial runs, in milliseconds.
const TRIAL_RETRY_AFTER_MS: u64 = 2_000;

/// A running trial; its end is reported to the quorum when the value is dropped.
#[derive(Debug)]
pub(super) struct Trial {
    control: ControlClient,
    fingerprint: i64,
    request_id: String,
    /// Whether the target completed the attempt without crashing.
    pub target_survived: bool,
}

impl Drop for Trial {
    fn drop(&mut self) {
        let command = Command::EndTrial {
            fingerprint: self.fingerprint,
            request_id: self.request_id.clone(),
            clean: self.target_survived,
        };
        let control = self.control.clone();
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(async move {
                let _ = control.propose(&command, QUORUM_TIMEOUT).await;
            });
        }
    }
}

impl Entry {
    /// Asks the quorum for a trial if the request is suspect; returns `None` when it may run without one.
    ///
    /// `is_suspect` is set when an earlier attempt may have made the request suspect, even if the view does not show
    /// that yet.
    pub(super) async fn begin_trial(
        &self,
        request: &ParsedRequest,
        is_suspect: bool,
    ) -> Result<Option<Trial>, Problem> {
        if !is_suspect && self.view.suspect(request.fingerprint).is_none() {
            return Ok(None);
        }
        let command = Command::BeginTrial {
            fingerprint: request.fingerprint,
            request_id: request.request_id.clone(),
        };
        let timeout = QUORUM_TIMEOUT.min(request.time_left());
        let refuse = |reason: Reason, retry_after_ms: u64, detail: &str| {
            Err(Problem::new(reason, RunState::NotRun, retry_after_ms, detail))
        };
        match self.control.propose(&command, timeout).await {
            Ok(Outcome::Trial(TrialOutcome::Clear)) => Ok(None),
            Ok(Outcome::Trial(TrialOutcome::Granted)) => Ok(Some(Trial {
                control: self.control.clone(),
                fingerprint: request.fingerprint,
                request_id: request.request_id.clone(),
                target_survived: false,
            })),
            Ok(Outcome::Trial(TrialOutcome::Running)) => refuse(
                Reason::SuspectTrial,
                TRIAL_RETRY_AFTER_MS,
                "an identical request is running in a trial after a crash",
            ),
            Ok(Outcome::Trial(TrialOutcome::Quarantined)) => refuse(
                Reason::Quarantined,
                0,
                "the request was in flight when targets crashed twice",
            ),
            Ok(other) => refuse(
                Reason::SuspectTrial,
                TRIAL_RETRY_AFTER_MS,
                &format!("unexpected response from the quorum: {other:?}"),
            ),
            Err(error) => refuse(Reason::SuspectTrial, TRIAL_RETRY_AFTER_MS, &error.to_string()),
        }
    }
}
