//! Runs of this entry whose targets may have ended, until the quorum has recorded them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use bilberryloft_coordination::run_permission::RunHistory;
use bilberryloft_routing::selection::TargetKey;
use bilberryloft_state::state_machine::Command;
use bilberryloft_state::suspect::LostPart;
use bilberryloft_state::suspect::LostRun;
use bilberryloft_state::suspect::SurvivedPart;
use bilberryloft_state::suspect::Suspect;
use bilberryloft_state::suspect::Suspects;
use bilberryloft_state::suspect::prompt_part::EndStrength;
use bilberryloft_state::suspect::prompt_part::PartEnd;
use bilberryloft_state::suspect::prompt_part::PartHistory;
use bilberryloft_state::suspect::prompt_part::PartRecord;
use bilberryloft_transport::clock::epoch_ms;
use tokio::time::Instant;

use crate::prompt_part::PromptPart;
use crate::survived_parts::SurvivedParts;

/// Largest number of lost runs that wait to be recorded by the quorum, and that are remembered as recorded; beyond it, the
/// oldest are dropped.
const UNRECORDED_MAX: usize = 1_024;
/// Largest number of lost runs, and of survived ones, in one report.
const REPORT_MAX: usize = 256;
/// Number of requests that are remembered as answered by targets that survived them.
const SURVIVED_MAX: usize = 512;

/// Time by which a run seems to be later when another entry tells of it.
const HEARD_DELAY_MAX: Duration = Duration::from_millis(500);

/// How far the answer to a run has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunProgress {
    /// Nothing of the answer has arrived.
    Sent,
    /// The head of the answer has arrived.
    HeadReceived,
    /// A part of the body has arrived.
    Answering,
}

/// Run of a request on a target.
#[derive(Clone, Debug)]
pub struct TargetRun {
    /// Caller's id of the request.
    pub request_id: String,
    /// Digest of the request.
    pub fingerprint: i64,
    /// Parts of the prompt that other requests may share, in order.
    pub shared_parts: Arc<[PromptPart]>,
    /// Key of the target.
    pub key: TargetKey,
    /// Name of the target.
    pub target_id: String,
    /// Address of the target.
    pub address: String,
    /// Time at which the request was sent.
    pub started: Instant,
    /// How far the answer has come.
    pub progress: RunProgress,
    /// Whether the target went on answering for so long that no part of the prompt has ended it.
    pub has_survived_parts: bool,
    /// Whether the run is a trial.
    pub is_on_trial: bool,
}

impl TargetRun {
    /// Returns whether a part of the answer has arrived.
    pub fn is_answering(&self) -> bool {
        self.progress == RunProgress::Answering
    }

    /// Returns whether the head of the answer has arrived.
    pub fn has_head(&self) -> bool {
        self.progress != RunProgress::Sent
    }
}

/// Returns a time in milliseconds since the epoch.
fn instant_ms(at: Instant) -> u64 {
    epoch_ms().saturating_sub(at.elapsed().as_millis() as u64)
}

/// A lost run that the quorum has not recorded yet.
#[derive(Debug)]
struct UnrecordedRun {
    target_id: String,
    fingerprint: i64,
    run_id: i64,
    /// Parts of the prompt that may have ended the target.
    parts: Vec<LostPart>,
    started: Instant,
    noticed: Instant,
    /// Longest time by which the run may be older than it seems.
    delay_max: Duration,
    has_head: bool,
    was_answering: bool,
    was_on_trial: bool,
}

impl UnrecordedRun {
    fn of_run(run: TargetRun) -> UnrecordedRun {
        let part = |it: &PromptPart| LostPart { key: it.key, is_proven: false };
        let parts = if run.has_survived_parts { &[][..] } else { &run.shared_parts };
        UnrecordedRun {
            parts: parts.iter().map(part).collect(),
            has_head: run.has_head(),
            was_answering: run.is_answering(),
            was_on_trial: run.is_on_trial,
            target_id: run.target_id,
            fingerprint: run.fingerprint,
            run_id: fastrand::i64(..),
            started: run.started,
            noticed: Instant::now(),
            delay_max: Duration::ZERO,
        }
    }

    /// Returns a run that another entry has told of; `None` if it began before this host started.
    fn of_heard(lost: &LostRun) -> Option<UnrecordedRun> {
        let ago = |ms: u64| Instant::now().checked_sub(Duration::from_millis(ms));
        Some(UnrecordedRun {
            target_id: lost.target.clone(),
            fingerprint: lost.fingerprint,
            run_id: lost.run_id,
            parts: lost.parts.clone(),
            started: ago(lost.started_ago_ms)?,
            noticed: ago(lost.lost_ago_ms)?,
            delay_max: HEARD_DELAY_MAX,
            has_head: lost.has_head,
            was_answering: lost.was_answering,
            was_on_trial: lost.was_on_trial,
        })
    }

    /// Returns whether both are the same run, or runs of the same request that ended with the target at once.
    fn is_same_end(&self, other: &UnrecordedRun) -> bool {
        self.fingerprint == other.fingerprint
            && self.target_id == other.target_id
            && self.started <= other.noticed + HEARD_DELAY_MAX
            && other.started <= self.noticed + HEARD_DELAY_MAX
    }

    /// Returns the end of the target as it counts against these parts.
    fn part_end(&self) -> PartEnd {
        PartEnd {
            target: self.target_id.clone(),
            request: self.fingerprint,
            run_id: self.run_id,
            started_ms: instant_ms(self.started),
            lost_ms: instant_ms(self.noticed),
            strength: EndStrength::of_run(self.has_head, self.was_answering),
        }
    }
}

/// Report of runs to the quorum.
#[derive(Clone, Debug)]
pub struct RunsReport {
    /// Runs whose targets have ended, with their ages when the report was built.
    pub lost: Vec<LostRun>,
    /// Suspects that a target has survived.
    pub survived: Vec<i64>,
    /// Parts of prompts that a target has survived, with the time.
    pub survived_parts: Vec<(i64, Instant)>,
}

impl RunsReport {
    /// Returns the command that records the report, with the ages that the runs have after `elapsed`.
    pub fn command(&self, elapsed: Duration) -> Command {
        let elapsed_ms = elapsed.as_millis() as u64;
        Command::ReportRuns {
            lost: self.lost.iter().map(|it| it.aged(elapsed_ms)).collect(),
            survived: self.survived.clone(),
            survived_parts: self.survived_parts.iter().map(survived_part).collect(),
        }
    }

    /// Returns whether there is nothing to report.
    pub fn is_empty(&self) -> bool {
        self.lost.is_empty() && self.survived.is_empty() && self.survived_parts.is_empty()
    }
}

fn survived_part((key, at): &(i64, Instant)) -> SurvivedPart {
    SurvivedPart { key: *key, ago_ms: at.elapsed().as_millis() as u64 }
}

/// Runs of this entry that the quorum has to know of.
#[derive(Debug, Default)]
pub struct LostRuns {
    /// Runs that broke off or are silent, by the address of the target that is being probed.
    unchecked: BTreeMap<String, Vec<TargetRun>>,
    /// Runs whose targets have ended, not yet recorded.
    unrecorded: VecDeque<UnrecordedRun>,
    /// Runs that the quorum has recorded lately, the newest last. Other entries may still tell of them.
    recorded: VecDeque<i64>,
    /// Suspects that a target has survived, not yet recorded.
    survived_suspects: BTreeSet<i64>,
    /// Requests that targets have survived lately, the newest last.
    survived: VecDeque<i64>,
    /// Parts of prompts that targets have survived.
    survived_parts: SurvivedParts,
    /// Suspicious parts that a target has survived, not yet recorded.
    unrecorded_parts: BTreeMap<i64, Instant>,
    /// Times of survival that the quorum has recorded.
    recorded_parts: BTreeMap<i64, Instant>,
}

impl LostRuns {
    /// Adds a run whose target is to be probed; returns whether it is the first one at its address.
    pub fn add_unchecked(&mut self, run: TargetRun) -> bool {
        let unchecked = self.unchecked.entry(run.address.clone()).or_default();
        unchecked.push(run);
        unchecked.len() == 1
    }

    /// Returns whether a target is being probed.
    pub fn is_unchecked(&self, address: &str) -> bool {
        self.unchecked.contains_key(address)
    }

    /// Returns whether a lost run of a request is not recorded yet.
    pub fn has_unrecorded(&self, fingerprint: i64) -> bool {
        self.unrecorded.iter().any(|it| it.fingerprint == fingerprint)
    }

    /// Takes the runs at a target that has been probed.
    pub fn take_unchecked(&mut self, address: &str) -> Vec<TargetRun> {
        self.unchecked.remove(address).unwrap_or_default()
    }

    /// Returns what is known of a request: what the quorum has recorded, and what it has not yet.
    pub fn history(&self, fingerprint: i64, suspects: &BTreeMap<i64, Suspect>) -> RunHistory {
        let suspect = suspects.get(&fingerprint);
        let recorded = suspect.map_or(&[][..], |it| &it.lost_targets);
        // A run of an earlier version has no number.
        let is_recorded = |it: &&UnrecordedRun| match it.run_id {
            0 => recorded.iter().any(|end| end.target == it.target_id),
            run_id => recorded.iter().any(|end| end.run_id == run_id),
        };
        let own = self.unrecorded.iter().filter(|it| it.fingerprint == fingerprint);
        let targets: BTreeSet<&str> =
            own.filter(|it| !is_recorded(it)).map(|it| it.target_id.as_str()).collect();
        if targets.is_empty() {
            return RunHistory::new(suspect, epoch_ms());
        }
        // Only what ran at the same targets has a say in what their ends mean.
        let ran_there = |it: &&Suspect| {
            it.fingerprint == fingerprint
                || it.lost_targets.iter().any(|at| targets.contains(at.target.as_str()))
        };
        let listed = suspects.values().filter(ran_there).cloned();
        let unrecorded =
            self.unrecorded.iter().filter(|it| targets.contains(it.target_id.as_str()));
        let lost: Vec<LostRun> =
            unrecorded.map(|it| LostRun { parts: Vec::new(), ..self.lost_run(it) }).collect();
        let now_ms = epoch_ms();
        let preview = Suspects::preview(listed, &lost, now_ms);
        RunHistory::new(preview.get(fingerprint), now_ms)
    }

    /// Returns what is known of a part: what the quorum has recorded, and what it has not yet.
    pub fn part_history(&self, key: i64, record: Option<&PartRecord>) -> PartHistory {
        let mut known = record.cloned().unwrap_or_default();
        let survived = self.survived_parts.last(key);
        known.is_proven |= survived.is_some();
        for run in &self.unrecorded {
            let is_older = survived.is_some_and(|at| at >= run.noticed);
            if let Some(part) = run.parts.iter().find(|it| it.key == key && !is_older) {
                known.is_proven |= part.is_proven;
                known.record(run.part_end());
            }
        }
        known.history(epoch_ms())
    }

    /// Records that a target has survived parts of a prompt; returns whether that is news for the quorum.
    pub fn add_survived_parts(
        &mut self,
        parts: &[PromptPart],
        suspects: &BTreeMap<i64, Suspect>,
    ) -> bool {
        let mut is_news = false;
        for part in parts {
            self.survived_parts.record(part.key);
            if suspects.contains_key(&part.key) {
                self.unrecorded_parts.insert(part.key, Instant::now());
                is_news = true;
            }
        }
        is_news
    }

    /// Finds the listed parts of prompts that a target has survived, if the quorum doesn't know; returns whether there
    /// are any.
    pub fn find_survived_parts(&mut self, suspects: &BTreeMap<i64, Suspect>) -> bool {
        let mut is_news = false;
        self.recorded_parts.retain(|key, _| suspects.contains_key(key));
        for key in suspects.values().filter(|it| it.part.is_some()).map(|it| it.fingerprint) {
            let recorded = self.recorded_parts.get(&key).copied();
            if let Some(at) = self.survived_parts.last(key)
                && recorded.is_none_or(|it| it < at)
            {
                self.unrecorded_parts.insert(key, at);
                is_news = true;
            }
        }
        is_news
    }

    /// Records that a target has survived a request; returns whether that is news for the quorum.
    pub fn add_survived(&mut self, fingerprint: i64, is_suspect: bool) -> bool {
        if self.survived.len() == SURVIVED_MAX {
            self.survived.pop_front();
        }
        self.survived.push_back(fingerprint);
        self.unrecorded.retain(|it| it.fingerprint != fingerprint);
        is_suspect && self.survived_suspects.insert(fingerprint)
    }

    /// Finds the suspects that a target has survived lately; returns whether there are any.
    pub fn find_survived(&mut self, suspects: &BTreeMap<i64, Suspect>) -> bool {
        let survived = self.survived.iter().filter(|it| suspects.contains_key(it)).copied();
        let survived: Vec<i64> = survived.collect();
        self.survived_suspects.extend(&survived);
        !survived.is_empty()
    }

    /// Adds runs whose target has ended; returns whether any of them is new.
    pub fn add_ended(&mut self, runs: Vec<TargetRun>) -> bool {
        let runs: Vec<UnrecordedRun> = runs.into_iter().map(UnrecordedRun::of_run).collect();
        self.add_unrecorded(runs)
    }

    /// Adds runs whose targets ended, as another entry told of them; returns whether any of them is new.
    pub fn add_heard(&mut self, lost: &[LostRun]) -> bool {
        let runs: Vec<UnrecordedRun> = lost.iter().filter_map(UnrecordedRun::of_heard).collect();
        self.add_unrecorded(runs)
    }

    fn add_unrecorded(&mut self, runs: Vec<UnrecordedRun>) -> bool {
        let mut is_news = false;
        for run in runs {
            let is_known = self.unrecorded.iter().any(|it| it.is_same_end(&run));
            let is_recorded = run.run_id != 0 && self.recorded.contains(&run.run_id);
            if is_known || is_recorded || self.survived.contains(&run.fingerprint) {
                continue;
            }
            if self.unrecorded.len() == UNRECORDED_MAX {
                self.unrecorded.pop_front();
            }
            self.unrecorded.push_back(run);
            is_news = true;
        }
        is_news
    }

    /// Returns the newest runs that have not been recorded for some time and may have ended their targets.
    pub fn unrecorded_for(&self, time: Duration, count_max: usize) -> Vec<LostRun> {
        let is_due = |it: &&UnrecordedRun| it.noticed.elapsed() >= time && !it.was_answering;
        let due = self.unrecorded.iter().rev().filter(is_due);
        due.take(count_max).map(|it| self.lost_run(it)).collect()
    }

    /// Builds a report of what is not recorded yet.
    pub fn build_report(&self) -> RunsReport {
        let survived_parts = self.unrecorded_parts.iter().take(REPORT_MAX);
        RunsReport {
            lost: self.unrecorded.iter().take(REPORT_MAX).map(|it| self.lost_run(it)).collect(),
            survived: self.survived_suspects.iter().copied().take(REPORT_MAX).collect(),
            survived_parts: survived_parts.map(|(key, at)| (*key, *at)).collect(),
        }
    }

    /// Returns a lost run with its present ages, as it is reported.
    fn lost_run(&self, run: &UnrecordedRun) -> LostRun {
        LostRun {
            target: run.target_id.clone(),
            fingerprint: run.fingerprint,
            run_id: run.run_id,
            started_ago_ms: run.started.elapsed().as_millis() as u64,
            lost_ago_ms: run.noticed.elapsed().as_millis() as u64,
            delay_max_ms: run.delay_max.as_millis() as u64,
            was_answering: run.was_answering,
            has_head: run.has_head,
            was_on_trial: run.was_on_trial,
            parts: run.parts.iter().filter_map(|it| self.lost_part(run, *it)).collect(),
        }
    }

    /// Returns a part of a lost run as it is reported, unless a target has survived it since.
    fn lost_part(&self, run: &UnrecordedRun, part: LostPart) -> Option<LostPart> {
        let survived = self.survived_parts.last(part.key);
        if survived.is_some_and(|at| at >= run.noticed) {
            return None;
        }
        Some(LostPart { is_proven: part.is_proven || survived.is_some(), ..part })
    }

    /// Drops what the quorum has recorded.
    pub fn remove_recorded(&mut self, report: &RunsReport) {
        for recorded in &report.lost {
            let is_recorded = |it: &UnrecordedRun| {
                it.run_id == recorded.run_id
                    && it.fingerprint == recorded.fingerprint
                    && it.target_id == recorded.target
            };
            if let Some(idx) = self.unrecorded.iter().position(is_recorded) {
                self.unrecorded.remove(idx);
            }
            if self.recorded.len() == UNRECORDED_MAX {
                self.recorded.pop_front();
            }
            self.recorded.push_back(recorded.run_id);
        }
        self.survived_suspects.retain(|it| !report.survived.contains(it));
        for (key, at) in &report.survived_parts {
            self.recorded_parts.insert(*key, *at);
            if self.unrecorded_parts.get(key).is_some_and(|it| it <= at) {
                self.unrecorded_parts.remove(key);
            }
        }
    }
}
