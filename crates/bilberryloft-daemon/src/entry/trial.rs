//! Trials of suspect requests that an entry sends to agents.

use bilberryloft_protocol::problem::Problem;
use bilberryloft_state::refusal::Reason;
use bilberryloft_state::refusal::RunState;

use crate::entry::request::ParsedRequest;
use crate::entry::state::Entry;
use crate::trial::QUORUM_TIMEOUT;
use crate::trial::Trial;
use crate::trial::TrialDecision;
use crate::trial::begin_trial;

/// Retry-after for callers while another trial runs, in milliseconds.
const TRIAL_RETRY_AFTER_MS: u64 = 2_000;

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
        let timeout = QUORUM_TIMEOUT.min(request.time_left());
        let refuse = |reason: Reason, retry_after_ms: u64, detail: &str| {
            Err(Problem::new(reason, RunState::NotRun, retry_after_ms, detail))
        };
        let (fingerprint, id) = (request.fingerprint, &request.request_id);
        match begin_trial(&self.control, fingerprint, id, None, timeout).await {
            Ok(TrialDecision::NotNeeded) => Ok(None),
            Ok(TrialDecision::Granted(trial)) => Ok(Some(trial)),
            Ok(TrialDecision::Running) => refuse(
                Reason::SuspectTrial,
                TRIAL_RETRY_AFTER_MS,
                "an identical request is running in a trial after a crash",
            ),
            Ok(TrialDecision::Quarantined) => refuse(
                Reason::Quarantined,
                0,
                "the request was in flight when targets crashed twice",
            ),
            Err(error) => refuse(Reason::SuspectTrial, TRIAL_RETRY_AFTER_MS, &error.to_string()),
        }
    }
}
