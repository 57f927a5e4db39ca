//! Suspects: requests that were in flight when a target crashed, and parts of their prompts, with their trials and
//! quarantine.

mod lost_target;
mod permission;
pub mod prompt_part;
mod rounds;

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

pub use self::lost_target::LostTarget;
pub use self::permission::QUARANTINE_MIN_MS;
pub use self::permission::RunPermission;
use self::prompt_part::EndStrength;
use self::prompt_part::PartEnd;
use self::prompt_part::PartRecord;
pub use self::rounds::BEGUN_TRIAL_PAUSE_MS;
pub use self::rounds::Rounds;
pub use self::rounds::RunSpan;
pub use self::rounds::count_rounds;
pub use self::rounds::request_permission;

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
/// Time after which a trial counts as ended if its end was not reported, in milliseconds.
pub const TRIAL_MAX_MS: u64 = 300_000;
/// The same for a request that entries send to targets themselves, which no agent holds for long.
pub const DIRECT_TRIAL_MAX_MS: u64 = 15_000;

/// A request, identified by its fingerprint, that may have caused a crash; or a part of prompts, identified by its key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// Digest of the request, or key of the part.
    pub fingerprint: i64,
    /// Number of crashes that an agent reported while it was in flight.
    pub crashes: u32,
    /// Targets that ended while they ran it for an entry.
    #[serde(default)]
    pub lost_targets: Vec<LostTarget>,
    /// What is known of a part of prompts; `None` for a request.
    #[serde(default)]
    pub part: Option<PartRecord>,
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
            part: None,
            trial: None,
            last_crash_ms: now_ms,
        }
    }

    /// Whether entries have to know of it.
    fn is_listed(&self) -> bool {
        self.crashes > 0
            || self.lost_targets.len() >= LISTED_LOST_TARGETS
            || self.part.as_ref().is_some_and(PartRecord::is_suspicious)
    }

    /// Returns whether a request that is suspect for this may run at `now_ms`.
    fn outcome(&self, now_ms: u64) -> TrialOutcome {
        let permission = match &self.part {
            Some(part) => part.history(now_ms).permission(),
            None if self.crashes >= QUARANTINE_CRASHES => return TrialOutcome::Quarantined,
            None => self.request_permission(now_ms),
        };
        match permission {
            RunPermission::Run if self.part.is_some() => TrialOutcome::Clear,
            RunPermission::Run | RunPermission::Trial { pause_ms: 0 } => TrialOutcome::Granted,
            RunPermission::Trial { .. } => TrialOutcome::Running,
            RunPermission::Refuse { .. } => TrialOutcome::Quarantined,
        }
    }

    fn request_permission(&self, now_ms: u64) -> RunPermission {
        let last_end_ago_ms = self.last_end_ago_ms(now_ms).unwrap_or(0);
        request_permission(self.lost_targets.len(), self.rounds(), last_end_ago_ms)
    }

    /// Returns the time since the last end of a target under a request, in milliseconds.
    pub fn last_end_ago_ms(&self, now_ms: u64) -> Option<u64> {
        let last_ms = self.lost_targets.iter().map(|it| it.lost_ms).max();
        last_ms.map(|it| now_ms.saturating_sub(it))
    }

    /// Number of crashes and lost targets, by which suspects are kept.
    fn weight(&self) -> usize {
        let part_ends = self.part.as_ref().map_or(0, |it| it.ends.len());
        self.crashes as usize + self.lost_targets.len() + part_ends
    }

    /// Whether its trial runs at a target.
    fn is_on_trial_at(&self, target: &str, now_ms: u64) -> bool {
        self.trial
            .as_ref()
            .is_some_and(|it| it.target.as_deref() == Some(target) && it.is_running(now_ms))
    }

    /// Counts the times that targets ended under it one after the other.
    pub fn rounds(&self) -> Rounds {
        count_rounds(self.lost_targets.iter().map(LostTarget::span))
    }

    /// Records the end of a target; returns whether it is new.
    fn record_lost_target(&mut self, lost: LostTarget, now_ms: u64) -> bool {
        // Another entry may have reported the same end of the target, or this is a repeated report.
        if self.lost_targets.iter().any(|it| it.is_same_end(&lost)) {
            return false;
        }
        if self.lost_targets.len() == LOST_TARGETS_MAX {
            self.lost_targets.remove(0);
        }
        self.lost_targets.push(lost);
        self.last_crash_ms = now_ms;
        self.trial = None;
        true
    }

    /// Number of targets that had ended under it before a run began.
    fn ends_before(&self, started_ms: u64) -> usize {
        self.lost_targets.iter().filter(|it| it.lost_ms <= started_ms).count()
    }
}

/// Run of a request whose target ended before the answer was complete.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LostRun {
    /// Name of the target.
    pub target: String,
    /// Digest of the request.
    pub fingerprint: i64,
    /// Random number of the run, the same in each report of it; 0 if it comes from an earlier version.
    #[serde(default)]
    pub run_id: i64,
    /// Time since the request was sent to the target, in milliseconds.
    pub started_ago_ms: u64,
    /// Time since the end of the target was noticed, in milliseconds.
    pub lost_ago_ms: u64,
    /// Longest time by which the run may be older than it says, in milliseconds: another entry told of it.
    #[serde(default)]
    pub delay_max_ms: u64,
    /// Whether a part of the answer had arrived.
    #[serde(default)]
    pub was_answering: bool,
    /// Whether the head of the answer had arrived.
    #[serde(default)]
    pub has_head: bool,
    /// Whether the run was a trial.
    #[serde(default)]
    pub was_on_trial: bool,
    /// Shared parts of the prompt that may have ended the target, in the order of the prompt.
    #[serde(default)]
    pub parts: Vec<LostPart>,
}

impl LostRun {
    /// Returns the run with the ages that it has after `elapsed_ms`.
    pub fn aged(&self, elapsed_ms: u64) -> LostRun {
        LostRun {
            started_ago_ms: self.started_ago_ms + elapsed_ms,
            lost_ago_ms: self.lost_ago_ms + elapsed_ms,
            ..self.clone()
        }
    }
}

/// Part of the prompt of a lost run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LostPart {
    /// Key of the part.
    pub key: i64,
    /// Whether a target is known to have survived the part earlier.
    pub is_proven: bool,
}

/// Part of a prompt that a target has survived.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SurvivedPart {
    /// Key of the part.
    pub key: i64,
    /// Time since then, in milliseconds.
    pub ago_ms: u64,
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
    /// Another trial with the same fingerprint or on the same target is running, or it is too early for one.
    Running,
    /// The fingerprint has reached [`QUARANTINE_CRASHES`], [`RunPermission::Refuse`] holds, or the part is refused.
    Quarantined,
}

/// All suspects and the crashes reported so far.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Suspects {
    by_fingerprint: BTreeMap<i64, Suspect>,
    reported: BTreeMap<String, u64>,
}

impl Suspects {
    /// Returns some suspects as they will be when the quorum has recorded further lost runs.
    pub fn preview(
        listed: impl IntoIterator<Item = Suspect>,
        lost: &[LostRun],
        now_ms: u64,
    ) -> Suspects {
        let by_fingerprint = listed.into_iter().map(|it| (it.fingerprint, it)).collect();
        let mut suspects = Suspects { by_fingerprint, ..Suspects::default() };
        suspects.report_runs(lost, &[], &[], now_ms);
        suspects
    }

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

    /// Records runs that ended with their targets, and clears requests and parts of prompts that a target survived.
    /// Returns whether the listed suspects changed.
    pub fn report_runs(
        &mut self,
        lost: &[LostRun],
        survived: &[i64],
        survived_parts: &[SurvivedPart],
        now_ms: u64,
    ) -> bool {
        let before = self.listed();
        self.by_fingerprint.retain(|_, it| it.last_crash_ms + SUSPECT_RETENTION_MS > now_ms);
        for run in lost {
            let lost = LostTarget::of_run(run, now_ms);
            if self.suspect(run.fingerprint, now_ms).record_lost_target(lost.clone(), now_ms) {
                self.mark_shared_end(run.fingerprint, &lost);
            }
            self.record_part_ends(run, now_ms);
        }
        for fingerprint in survived {
            self.by_fingerprint.remove(fingerprint);
        }
        for survived in survived_parts {
            self.record_survived_part(*survived, now_ms);
        }
        self.drop_surplus();
        self.listed() != before
    }

    /// Marks the end of a target for each request under which no more targets had ended before than under another one that
    /// ran there, too.
    fn mark_shared_end(&mut self, fingerprint: i64, lost: &LostTarget) {
        let ends_before = |it: &Suspect| it.ends_before(lost.started_ms);
        let own_ends = self.by_fingerprint.get(&fingerprint).map_or(0, ends_before);
        let mut is_shared = false;
        for other in self.by_fingerprint.values_mut().filter(|it| it.fingerprint != fingerprint) {
            let Some(idx) = other.lost_targets.iter().position(|it| it.is_same_end(lost)) else {
                continue;
            };
            let other_ends = other.ends_before(other.lost_targets[idx].started_ms);
            is_shared |= other_ends > 0 && other_ends >= own_ends;
            other.lost_targets[idx].is_shared |= own_ends > 0 && own_ends >= other_ends;
        }
        let own = self.by_fingerprint.get_mut(&fingerprint);
        if let Some(own) = own.and_then(|it| it.lost_targets.last_mut()) {
            own.is_shared = is_shared;
        }
    }

    /// Counts the end of a target against the parts of a prompt that ran there, the last one first: it is shared by the
    /// fewest requests. Once a part is refused, its ends no longer count against the parts before it.
    fn record_part_ends(&mut self, run: &LostRun, now_ms: u64) {
        let end = PartEnd {
            target: run.target.clone(),
            request: run.fingerprint,
            run_id: run.run_id,
            started_ms: now_ms.saturating_sub(run.started_ago_ms),
            lost_ms: now_ms.saturating_sub(run.lost_ago_ms),
            strength: EndStrength::of_run(run.has_head, run.was_answering),
        };
        for (idx, lost) in run.parts.iter().enumerate().rev() {
            let suspect = self.suspect(lost.key, now_ms);
            let was_on_trial = run.was_on_trial && suspect.is_on_trial_at(&run.target, now_ms);
            let part = suspect.part.get_or_insert_default();
            part.is_proven |= lost.is_proven;
            let strength = if was_on_trial { EndStrength::Strong } else { end.strength };
            if !part.record(PartEnd { strength, ..end.clone() }) {
                continue;
            }
            let history = part.history(now_ms);
            let explained = history.is_refused().then(|| part.ends.clone());
            suspect.last_crash_ms = now_ms;
            suspect.trial = None;
            if let Some(explained) = explained {
                self.drop_explained(&run.parts[..idx], &explained);
                return;
            }
        }
    }

    /// Drops ends that another part of the same prompts explains.
    fn drop_explained(&mut self, parts: &[LostPart], explained: &[PartEnd]) {
        for lost in parts {
            let suspect = self.by_fingerprint.get_mut(&lost.key);
            if let Some(part) = suspect.and_then(|it| it.part.as_mut()) {
                part.ends.retain(|end| !explained.iter().any(|it| it.is_same_run(end)));
            }
        }
    }

    fn record_survived_part(&mut self, survived: SurvivedPart, now_ms: u64) {
        let Some(suspect) = self.by_fingerprint.get_mut(&survived.key) else {
            return;
        };
        if let Some(part) = &mut suspect.part {
            part.record_survived(now_ms.saturating_sub(survived.ago_ms));
            if !part.is_suspicious() {
                suspect.trial = None;
            }
        }
    }

    fn suspect(&mut self, fingerprint: i64, now_ms: u64) -> &mut Suspect {
        self.by_fingerprint.entry(fingerprint).or_insert_with(|| Suspect::new(fingerprint, now_ms))
    }

    fn drop_surplus(&mut self) {
        while self.by_fingerprint.len() > SUSPECTS_MAX {
            let least =
                self.by_fingerprint.values().min_by_key(|it| (it.weight(), it.last_crash_ms));
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
        let outcome = suspect.outcome(now_ms);
        if outcome != TrialOutcome::Granted {
            return outcome;
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
        let mut others = self.by_fingerprint.values().filter(|it| it.fingerprint != fingerprint);
        others.any(|it| it.is_on_trial_at(target, now_ms))
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
