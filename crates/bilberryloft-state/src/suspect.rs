//! Suspects: requests that were in flight when a target crashed, and their trials and quarantine.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

/// Number of crashes after which a fingerprint is quarantined.
pub const QUARANTINE_CRASHES: u32 = 2;
/// Time after its last crash at which a suspect or quarantined fingerprint is dropped, in milliseconds.
pub const SUSPECT_RETENTION_MS: u64 = 24 * 3_600_000;
/// Largest number of suspects. Beyond it, those with the fewest crashes are dropped first.
pub const SUSPECTS_MAX: usize = 4_096;
/// Largest number of lost targets that are kept for a suspect, the newest.
pub const LOST_TARGETS_MAX: usize = 16;
/// Number of lost targets from which on a suspect is sent to all entries. Most requests that were running when a target
/// ended never come near it.
const LISTED_LOST_TARGETS: usize = 2;
/// Number of lost targets from which on a suspect runs only on trial.
pub const LOST_TARGETS_ON_TRIAL: usize = 3;
/// Weight of a strong round of lost targets.
const ROUND_WEIGHT: usize = 3;
/// Weight of a weak round.
const WEAK_ROUND_WEIGHT: usize = 2;
/// Weight of all rounds from which on a request is refused.
const REFUSED_WEIGHT: usize = 4 * ROUND_WEIGHT;
/// The same for a request that has ended with [`MANY_LOST_TARGETS`] or more.
const REFUSED_AFTER_MANY_WEIGHT: usize = 3 * ROUND_WEIGHT;
/// Number of lost targets from which on less weight suffices.
const MANY_LOST_TARGETS: usize = 6;
/// Time in which all entries learn of the end of a target and of what it ran, in milliseconds.
const KNOWN_AFTER_MS: u64 = 500;
/// Time after which a trial counts as ended if its end was not reported, in milliseconds.
pub const TRIAL_MAX_MS: u64 = 300_000;
/// The same for a request that entries send to targets themselves, which no agent holds for long.
pub const DIRECT_TRIAL_MAX_MS: u64 = 15_000;

/// A request, identified by its fingerprint, that may have caused a crash.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// Digest of the request.
    pub fingerprint: i64,
    /// Number of crashes that an agent reported while it was in flight.
    pub crashes: u32,
    /// Targets that ended while they ran it for an entry.
    #[serde(default)]
    pub lost_targets: Vec<LostTarget>,
    /// The current trial, if one is running.
    pub trial: Option<Trial>,
    /// Time of the last crash, in milliseconds since the epoch.
    pub last_crash_ms: u64,
}

impl Suspect {
    fn new(fingerprint: i64, now_ms: u64) -> Suspect {
        Suspect {
            fingerprint,
            crashes: 0,
            lost_targets: Vec::new(),
            trial: None,
            last_crash_ms: now_ms,
        }
    }

    /// Whether entries have to know of it.
    fn is_listed(&self) -> bool {
        self.crashes > 0 || self.lost_targets.len() >= LISTED_LOST_TARGETS
    }

    /// Counts the times that targets ended under it one after the other.
    pub fn rounds(&self) -> Rounds {
        count_rounds(self.lost_targets.iter().map(LostTarget::span))
    }

    fn record_lost_target(&mut self, lost: LostTarget, now_ms: u64) {
        // Another entry may have reported the same end of the target, or this is a repeated report.
        let is_same_end = |it: &LostTarget| {
            it.target == lost.target
                && it.lost_ms >= lost.started_ms
                && lost.lost_ms >= it.started_ms
        };
        if self.lost_targets.iter().any(is_same_end) {
            return;
        }
        if self.lost_targets.len() == LOST_TARGETS_MAX {
            self.lost_targets.remove(0);
        }
        self.lost_targets.push(lost);
        self.last_crash_ms = now_ms;
        self.trial = None;
    }
}

/// Run whose target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RunSpan {
    /// Start of the run, in milliseconds.
    pub started_ms: u64,
    /// Time at which the end of the target was noticed, in milliseconds.
    pub lost_ms: u64,
    /// Whether a part of the answer had arrived.
    pub was_answering: bool,
}

/// Numbers of rounds in which targets ended under a request, by what they say of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Rounds {
    /// Rounds that say as much as one end of a target can.
    pub strong: usize,
    /// Rounds in which all runs had been answered in part, or that followed another so fast that no entry could know of
    /// what had ended the targets before.
    pub weak: usize,
}

impl Rounds {
    /// Returns the number of all rounds.
    pub fn count(self) -> usize {
        self.strong + self.weak
    }
}

impl std::ops::Add for Rounds {
    type Output = Rounds;

    fn add(self, other: Rounds) -> Rounds {
        Rounds { strong: self.strong + other.strong, weak: self.weak + other.weak }
    }
}

/// Returns whether a request must not run again after targets have ended under it.
pub fn must_refuse(lost_targets: usize, rounds: Rounds) -> bool {
    let refused_weight = match lost_targets {
        0..MANY_LOST_TARGETS => REFUSED_WEIGHT,
        MANY_LOST_TARGETS.. => REFUSED_AFTER_MANY_WEIGHT,
    };
    rounds.strong * ROUND_WEIGHT + rounds.weak * WEAK_ROUND_WEIGHT >= refused_weight
}

/// Runs whose targets ended before any of them could be known of.
struct Round {
    first_end_ms: u64,
    was_answering: bool,
    is_fast: bool,
}

/// Counts rounds of runs. A run that began before the first end of a round was noticed belongs to that round.
pub fn count_rounds(runs: impl IntoIterator<Item = RunSpan>) -> Rounds {
    let mut runs: Vec<RunSpan> = runs.into_iter().collect();
    runs.sort_unstable();
    let mut rounds: Vec<Round> = Vec::new();
    for (number, run) in runs.iter().enumerate() {
        match rounds.last_mut() {
            Some(round) if run.started_ms <= round.first_end_ms => {
                round.first_end_ms = round.first_end_ms.min(run.lost_ms);
                round.was_answering &= run.was_answering;
            }
            last => {
                let known_ms = last.map_or(0, |it| it.first_end_ms + KNOWN_AFTER_MS);
                rounds.push(Round {
                    first_end_ms: run.lost_ms,
                    was_answering: run.was_answering,
                    is_fast: number < LOST_TARGETS_ON_TRIAL && run.started_ms < known_ms,
                });
            }
        }
    }
    let weak = rounds.iter().filter(|it| it.was_answering || it.is_fast).count();
    Rounds { strong: rounds.len() - weak, weak }
}

/// Target that ended while it ran a suspect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LostTarget {
    /// Name of the target.
    pub target: String,
    /// Time at which the run began, in milliseconds since the epoch.
    pub started_ms: u64,
    /// Time at which the end of the target was noticed, in milliseconds since the epoch.
    pub lost_ms: u64,
    /// Whether a part of the answer had arrived.
    #[serde(default)]
    pub was_answering: bool,
}

impl LostTarget {
    fn span(&self) -> RunSpan {
        RunSpan {
            started_ms: self.started_ms,
            lost_ms: self.lost_ms,
            was_answering: self.was_answering,
        }
    }
}

/// Run of a request whose target ended before the answer was complete.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LostRun {
    /// Name of the target.
    pub target: String,
    /// Digest of the request.
    pub fingerprint: i64,
    /// Time since the request was sent to the target, in milliseconds.
    pub started_ago_ms: u64,
    /// Time since the end of the target was noticed, in milliseconds.
    pub lost_ago_ms: u64,
    /// Whether a part of the answer had arrived.
    #[serde(default)]
    pub was_answering: bool,
}

/// Trial of a suspect: a run with no other request on the target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trial {
    /// Id of the request on trial.
    pub request_id: String,
    /// Start time, in milliseconds since the epoch.
    pub started_ms: u64,
    /// Target on which no other trial may run, if an entry sends the request there itself.
    #[serde(default)]
    pub target: Option<String>,
}

impl Trial {
    fn is_running(&self, now_ms: u64) -> bool {
        let max_ms = if self.target.is_some() { DIRECT_TRIAL_MAX_MS } else { TRIAL_MAX_MS };
        self.started_ms + max_ms > now_ms
    }
}

/// Result of asking to run a request that may be suspect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TrialOutcome {
    /// The request is not suspect: run it like any other.
    Clear,
    /// The trial is granted: run the request alone and report how it ended.
    Granted,
    /// Another trial with the same fingerprint or on the same target is running.
    Running,
    /// The fingerprint has reached [`QUARANTINE_CRASHES`], or [`must_refuse`] says so.
    Quarantined,
}

/// All suspects and the crashes reported so far.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Suspects {
    by_fingerprint: BTreeMap<i64, Suspect>,
    reported: BTreeMap<String, u64>,
}

impl Suspects {
    /// Suspects that entries have to know of, sorted by fingerprint.
    pub fn listed(&self) -> Vec<Suspect> {
        self.by_fingerprint.values().filter(|it| it.is_listed()).cloned().collect()
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
            let suspect = self.suspect(*fingerprint, now_ms);
            suspect.crashes += 1;
            suspect.trial = None;
            suspect.last_crash_ms = now_ms;
        }
        self.drop_surplus();
    }

    /// Records runs that ended with their targets, and clears requests that were answered by a target that survived.
    /// Returns whether the listed suspects changed.
    pub fn report_runs(&mut self, lost: &[LostRun], survived: &[i64], now_ms: u64) -> bool {
        let before = self.listed();
        self.by_fingerprint.retain(|_, it| it.last_crash_ms + SUSPECT_RETENTION_MS > now_ms);
        for run in lost {
            let lost = LostTarget {
                target: run.target.clone(),
                started_ms: now_ms.saturating_sub(run.started_ago_ms),
                lost_ms: now_ms.saturating_sub(run.lost_ago_ms),
                was_answering: run.was_answering,
            };
            self.suspect(run.fingerprint, now_ms).record_lost_target(lost, now_ms);
        }
        for fingerprint in survived {
            self.by_fingerprint.remove(fingerprint);
        }
        self.drop_surplus();
        self.listed() != before
    }

    fn suspect(&mut self, fingerprint: i64, now_ms: u64) -> &mut Suspect {
        self.by_fingerprint.entry(fingerprint).or_insert_with(|| Suspect::new(fingerprint, now_ms))
    }

    fn drop_surplus(&mut self) {
        while self.by_fingerprint.len() > SUSPECTS_MAX {
            let weight =
                |it: &Suspect| (it.crashes as usize + it.lost_targets.len(), it.last_crash_ms);
            let least = self.by_fingerprint.values().min_by_key(|it| weight(it));
            let Some(fingerprint) = least.map(|it| it.fingerprint) else {
                return;
            };
            self.by_fingerprint.remove(&fingerprint);
        }
    }

    /// Asks to run a request that may be suspect; starts a trial when one is needed and allowed.
    pub fn begin_trial(
        &mut self,
        fingerprint: i64,
        request_id: &str,
        target: Option<&str>,
        now_ms: u64,
    ) -> TrialOutcome {
        let is_target_taken = target.is_some_and(|it| self.is_on_trial_at(it, fingerprint, now_ms));
        let Some(suspect) = self.by_fingerprint.get_mut(&fingerprint) else {
            return TrialOutcome::Clear;
        };
        if suspect.crashes >= QUARANTINE_CRASHES
            || must_refuse(suspect.lost_targets.len(), suspect.rounds())
        {
            return TrialOutcome::Quarantined;
        }
        let is_other_trial =
            |trial: &Trial| trial.request_id != request_id && trial.is_running(now_ms);
        if is_target_taken || suspect.trial.as_ref().is_some_and(is_other_trial) {
            return TrialOutcome::Running;
        }
        suspect.trial = Some(Trial {
            request_id: request_id.to_string(),
            started_ms: now_ms,
            target: target.map(str::to_string),
        });
        TrialOutcome::Granted
    }

    /// Whether another suspect is on trial at a target.
    fn is_on_trial_at(&self, target: &str, fingerprint: i64, now_ms: u64) -> bool {
        let others = self.by_fingerprint.values().filter(|it| it.fingerprint != fingerprint);
        let mut trials = others.filter_map(|it| it.trial.as_ref());
        trials.any(|it| it.target.as_deref() == Some(target) && it.is_running(now_ms))
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
