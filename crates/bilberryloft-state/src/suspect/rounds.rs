//! Counts the times that targets ended one after the other under the same request.

use super::permission::RunPermission;

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
/// Number of rounds with a target that had just begun to answer from which on a request runs only on trial.
pub const BEGUN_ROUNDS_ON_TRIAL: usize = 2;
/// Number of such rounds from which on it is refused.
const BEGUN_ROUNDS_REFUSED: usize = 3;
/// Time from the end of a target to the trial of a request after [`BEGUN_ROUNDS_ON_TRIAL`], in milliseconds. A trial that
/// takes a group away for five seconds costs less than a tenth of that.
pub const BEGUN_TRIAL_PAUSE_MS: u64 = 60_000;
/// Time in which all entries learn of the end of a target and of what it ran, in milliseconds.
const KNOWN_AFTER_MS: u64 = 500;

/// Run whose target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RunSpan {
    /// Start of the run, in milliseconds.
    pub started_ms: u64,
    /// Time at which the end of the target was noticed, in milliseconds.
    pub lost_ms: u64,
    /// Whether a part of the answer had arrived.
    pub was_answering: bool,
    /// Whether the run was a trial.
    pub was_on_trial: bool,
    /// Whether the head of the answer had arrived.
    pub has_head: bool,
    /// Whether the target ran another request, too, under which at least as many targets had ended before.
    pub is_shared: bool,
}

impl RunSpan {
    /// Returns whether the target ended as it had just begun to answer.
    fn has_just_begun(&self) -> bool {
        self.has_head && !self.was_answering
    }
}

/// Numbers of rounds in which targets ended under a request, by what they say of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Rounds {
    /// Rounds that say as much as one end of a target can.
    pub strong: usize,
    /// Rounds in which all runs had been answered in part or ran beside a request that is at least as suspicious, or that
    /// followed another so fast that not all entries could know of what had ended the targets before, and that were no
    /// trials.
    pub weak: usize,
    /// Rounds, of either kind, in which a target ended as it had just begun to answer; from [`BEGUN_ROUNDS_ON_TRIAL`] on
    /// only those that began after entries could know of the ones before.
    pub begun: usize,
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
        Rounds {
            strong: self.strong + other.strong,
            weak: self.weak + other.weak,
            begun: self.begun + other.begun,
        }
    }
}

/// Decides whether a request may run after targets have ended under it, the last of them some time ago.
pub fn request_permission(
    lost_targets: usize,
    rounds: Rounds,
    last_end_ago_ms: u64,
) -> RunPermission {
    if let Some(further_rounds) = further_rounds(lost_targets, rounds) {
        return RunPermission::quarantined(further_rounds as u32, last_end_ago_ms);
    }
    if rounds.begun >= BEGUN_ROUNDS_ON_TRIAL {
        let pause_ms = BEGUN_TRIAL_PAUSE_MS.saturating_sub(last_end_ago_ms);
        return RunPermission::Trial { pause_ms };
    }
    if lost_targets >= LOST_TARGETS_ON_TRIAL {
        return RunPermission::Trial { pause_ms: 0 };
    }
    RunPermission::Run
}

/// Returns the number of rounds beyond those after which a request is refused first; `None` if it is not.
fn further_rounds(lost_targets: usize, rounds: Rounds) -> Option<usize> {
    let refused_weight = match lost_targets {
        0..MANY_LOST_TARGETS => REFUSED_WEIGHT,
        MANY_LOST_TARGETS.. => REFUSED_AFTER_MANY_WEIGHT,
    };
    let weight = rounds.strong * ROUND_WEIGHT + rounds.weak * WEAK_ROUND_WEIGHT;
    let by_weight = weight.checked_sub(refused_weight).map(|it| it / ROUND_WEIGHT);
    by_weight.max(rounds.begun.checked_sub(BEGUN_ROUNDS_REFUSED))
}

/// Counts rounds of runs.
pub fn count_rounds(runs: impl IntoIterator<Item = RunSpan>) -> Rounds {
    let runs: Vec<RunSpan> = runs.into_iter().collect();
    let mut counted = Rounds::default();
    let mut runs_before = 0;
    let mut known_ms = 0;
    for round in group_rounds(&runs, |it| (it.started_ms, it.lost_ms)) {
        let says_less = round.iter().all(|it| it.was_answering || it.is_shared);
        let was_on_trial =
            runs_before >= LOST_TARGETS_ON_TRIAL && round.iter().any(|it| it.was_on_trial);
        let is_fast = !was_on_trial && round[0].started_ms < known_ms;
        if says_less || is_fast {
            counted.weak += 1;
        } else {
            counted.strong += 1;
        }
        // A run that should have waited for a trial, but began before entries could know, adds nothing.
        let is_early = is_fast && counted.begun >= BEGUN_ROUNDS_ON_TRIAL;
        counted.begun += usize::from(!is_early && round.iter().any(|it| it.has_just_begun()));
        runs_before += round.len();
        let first_end_ms = round.iter().map(|it| it.lost_ms).min().unwrap_or(0);
        known_ms = first_end_ms + KNOWN_AFTER_MS;
    }
    counted
}

/// Groups runs into rounds, given the start of a run and the time at which its end was noticed. A run that began before
/// the first end of a round was noticed belongs to that round.
pub fn group_rounds<T>(runs: &[T], span_ms: impl Fn(&T) -> (u64, u64)) -> Vec<Vec<&T>> {
    let mut sorted: Vec<&T> = runs.iter().collect();
    sorted.sort_by_key(|it| span_ms(it));
    let mut rounds: Vec<Vec<&T>> = Vec::new();
    let mut first_end_ms = 0;
    for run in sorted {
        let (started_ms, lost_ms) = span_ms(run);
        match rounds.last_mut() {
            Some(round) if started_ms <= first_end_ms => {
                first_end_ms = first_end_ms.min(lost_ms);
                round.push(run);
            }
            _ => {
                first_end_ms = lost_ms;
                rounds.push(vec![run]);
            }
        }
    }
    rounds
}
