//! Trials: runs of a suspect request that the quorum allows one at a time.

use std::time::Duration;

use bilberryloft_state::error::Error;
use bilberryloft_state::error::Result;
use bilberryloft_state::state_machine::Command;
use bilberryloft_state::state_machine::Outcome;
use bilberryloft_state::suspect::TrialOutcome;

use crate::control_client::ControlClient;

/// Time for the quorum to respond.
pub const QUORUM_TIMEOUT: Duration = Duration::from_millis(2_000);

/// A running trial; its end is reported to the quorum when the value is dropped.
#[derive(Debug)]
pub struct Trial {
    control: ControlClient,
    fingerprint: i64,
    request_id: String,
    /// Whether the target completed the attempt without crashing.
    pub target_survived: bool,
}

/// Response of the quorum to the request for a trial.
#[derive(Debug)]
pub enum TrialDecision {
    /// The request is no suspect and needs no trial.
    NotNeeded,
    /// The request may run as long as the trial is held.
    Granted(Trial),
    /// Another request with the same fingerprint is on trial, or another suspect is on trial at the target.
    Running,
    /// The request must not run.
    Quarantined,
}

/// Asks the quorum for a trial of a request; no other trial runs on `target`.
pub async fn begin_trial(
    control: &ControlClient,
    fingerprint: i64,
    request_id: &str,
    target: Option<&str>,
    timeout: Duration,
) -> Result<TrialDecision> {
    let (request_id, target) = (request_id.to_string(), target.map(str::to_string));
    let command = Command::BeginTrial { fingerprint, request_id: request_id.clone(), target };
    match control.propose(&command, timeout).await? {
        Outcome::Trial(TrialOutcome::Clear) => Ok(TrialDecision::NotNeeded),
        Outcome::Trial(TrialOutcome::Granted) => Ok(TrialDecision::Granted(Trial {
            control: control.clone(),
            fingerprint,
            request_id,
            target_survived: false,
        })),
        Outcome::Trial(TrialOutcome::Running) => Ok(TrialDecision::Running),
        Outcome::Trial(TrialOutcome::Quarantined) => Ok(TrialDecision::Quarantined),
        _ => Err(Error::protocol("begin a trial", "control", "another outcome")),
    }
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
