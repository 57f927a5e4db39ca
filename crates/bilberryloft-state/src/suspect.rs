//! Requests that were in flight when a target crashed.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

/// Crashes after which a fingerprint is quarantined.
pub const QUARANTINE_CRASHES: u32 = 2;
/// Time after which a suspect or quarantined fingerprint is dropped, in milliseconds.
pub const SUSPECT_RETENTION_MS: u64 = 24 * 3_600_000;
/// Time after which a trial whose end was never reported counts as ended, in milliseconds.
pub const TRIAL_MAX_MS: u64 = 300_000;

/// One suspected piece of work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// Digest of the work.
    pub fingerprint: i64,
    /// Crashes at which it was in flight.
    pub crashes: u32,
    /// Request that runs it alone on trial.
    pub trial: Option<Trial>,
    /// Time of the last crash, in milliseconds since the epoch.
    pub last_crash_ms: u64,
}

/// A suspect's run on its own.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trial {
    /// Request on trial.
    pub request_id: String,
    /// Start, in milliseconds since the epoch.
    pub started_ms: u64,
}

/// Answer to the wish to run a suspect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TrialOutcome {
    /// It is no suspect: run it like any other.
    Clear,
    /// Run it alone and report the end.
    Granted,
    /// Another trial of the same work runs now.
    Running,
    /// It crashed too many targets.
    Quarantined,
}

/// All suspects.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Suspects {
    by_fingerprint: BTreeMap<i64, Suspect>,
    reported: BTreeMap<String, u64>,
}

impl Suspects {
    /// Suspects in the order of their fingerprints.
    pub fn list(&self) -> Vec<Suspect> {
        self.by_fingerprint.values().cloned().collect()
    }

    /// The suspect with a fingerprint.
    pub fn get(&self, fingerprint: i64) -> Option<&Suspect> {
        self.by_fingerprint.get(&fingerprint)
    }

    /// Counts one crash against all work that was in flight; a crash reported twice counts once.
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

    /// Asks to run a piece of work that may be suspect.
    pub fn begin_trial(&mut self, fingerprint: i64, request_id: &str, now_ms: u64) -> TrialOutcome {
        let Some(suspect) = self.by_fingerprint.get_mut(&fingerprint) else {
            return TrialOutcome::Clear;
        };
        if suspect.crashes >= QUARANTINE_CRASHES {
            return TrialOutcome::Quarantined;
        }
        let is_other_trial =
            |it: &Trial| it.request_id != request_id && it.started_ms + TRIAL_MAX_MS > now_ms;
        if suspect.trial.as_ref().is_some_and(is_other_trial) {
            return TrialOutcome::Running;
        }
        suspect.trial = Some(Trial { request_id: request_id.to_string(), started_ms: now_ms });
        TrialOutcome::Granted
    }

    /// Ends a trial; a clean run clears the work.
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
