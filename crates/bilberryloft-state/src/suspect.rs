//! Suspects: requests that were in flight when a target crashed, and their trials and quarantine.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

/// Number of crashes after which a fingerprint is quarantined.
pub const QUARANTINE_CRASHES: u32 = 2;
/// Time after its last crash at which a suspect or quarantined fingerprint is dropped, in milliseconds.
pub const SUSPECT_RETENTION_MS: u64 = 24 * 3_600_000;
/// Time after which a trial counts as ended if its end was not reported, in milliseconds.
pub const TRIAL_MAX_MS: u64 = 300_000;

/// A request, identified by its fingerprint, that may have caused a crash.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// Digest of the request.
    pub fingerprint: i64,
    /// Number of crashes during which it was in flight.
    pub crashes: u32,
    /// The current trial, if one is running.
    pub trial: Option<Trial>,
    /// Time of the last crash, in milliseconds since the epoch.
    pub last_crash_ms: u64,
}

/// Trial of a suspect: a run with no other request on the target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trial {
    /// Id of the request on trial.
    pub request_id: String,
    /// Start time, in milliseconds since the epoch.
    pub started_ms: u64,
}

/// Result of asking to run a request that may be suspect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TrialOutcome {
    /// The request is not suspect: run it like any other.
    Clear,
    /// The trial is granted: run the request alone and report how it ended.
    Granted,
    /// Another trial with the same fingerprint is running.
    Running,
    /// The fingerprint has reached [`QUARANTINE_CRASHES`] and is quarantined.
    Quarantined,
}

/// All suspects and the crashes reported so far.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Suspects {
    by_fingerprint: BTreeMap<i64, Suspect>,
    reported: BTreeMap<String, u64>,
}

impl Suspects {
    /// All suspects, sorted by fingerprint.
    pub fn list(&self) -> Vec<Suspect> {
        self.by_fingerprint.values().cloned().collect()
    }

    /// Suspect with the given fingerprint, if there is one.
    pub fn get(&self, fingerprint: i64) -> Option<&Suspect> {
        self.by_fingerprint.get(&fingerprint)
    }

    /// Counts a crash against all requests that were in flight and ends their trials. A crash reported twice counts
    /// once.
    pub fn report_crash(
        &mut self,
        target: &str,
        crash_number: u64,
        fingerprints: &[i64],
        now_ms: u64,
    ) {
        self.by_fingerprint.retain(|_, it| it.last_crash_ms + SUSPECT_RETENTION_MS > now_ms);
        self.reported.retain(|_, at_ms| *at_ms + SUSPECT_RETENTION_MS > now_ms);
        if self.reported.insert(format!("{target}#{crash_number}"), now_ms).is_some() {
            return;
        }
        for fingerprint in fingerprints {
            let suspect = self.by_fingerprint.entry(*fingerprint).or_insert(Suspect {
                fingerprint: *fingerprint,
                crashes: 0,
                trial: None,
                last_crash_ms: now_ms,
            });
            suspect.crashes += 1;
            suspect.trial = None;
            suspect.last_crash_ms = now_ms;
        }
    }

    /// Asks to run a request that may be suspect; starts a trial when one is needed and allowed.
    pub fn begin_trial(&mut self, fingerprint: i64, request_id: &str, now_ms: u64) -> TrialOutcome {
        let Some(suspect) = self.by_fingerprint.get_mut(&fingerprint) else {
            return TrialOutcome::Clear;
        };
        if suspect.crashes >= QUARANTINE_CRASHES {
            return TrialOutcome::Quarantined;
        }
        let is_other_trial = |trial: &Trial| {
            trial.request_id != request_id && trial.started_ms + TRIAL_MAX_MS > now_ms
        };
        if suspect.trial.as_ref().is_some_and(is_other_trial) {
            return TrialOutcome::Running;
        }
        suspect.trial = Some(Trial { request_id: request_id.to_string(), started_ms: now_ms });
        TrialOutcome::Granted
    }

    /// Ends the trial of the given request; a clean run clears the suspect.
    pub fn end_trial(&mut self, fingerprint: i64, request_id: &str, clean: bool) {
        let Some(suspect) = self.by_fingerprint.get_mut(&fingerprint) else {
            return;
        };
        if suspect.trial.as_ref().is_none_or(|it| it.request_id != request_id) {
            return;
        }
        suspect.trial = None;
        if clean {
            self.by_fingerprint.remove(&fingerprint);
        }
    }
}
