//! Parts of prompts that may end the targets that begin to answer on them.
//!
//! Requests that share such a part need not be alike in anything else, so the end of a target counts against each shared
//! part of the prompts that it was about to answer. It counts most where the head of the answer had arrived and nothing
//! more. A target that goes on answering has survived all parts of that prompt, which drops what counted against them
//! before; so a part that many requests share is cleared soon after it was beside one that ends targets. The same request
//! counts once against its parts, since it may end targets by itself.

use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use super::lost_target::is_same_run_id;
use super::permission::RunPermission;
use super::rounds::group_rounds;

/// Largest number of ends that are kept of a part, the newest.
const ENDS_MAX: usize = 16;
/// Weight of a target that ended after the head of its answer and before the body.
const STRONG_WEIGHT: u32 = 2;
/// Weight of any other end.
const WEAK_WEIGHT: u32 = 1;
/// Number of targets from which on a round weighs more by [`MANY_TARGETS_WEIGHT`].
const MANY_TARGETS: usize = 3;
/// Further weight of a round in which many targets ended under requests with the part. It stays below what refuses a
/// part, since targets may end at once for any reason.
const MANY_TARGETS_WEIGHT: u32 = 1;
/// Weight from which on a part runs on trial that no target is known to have survived.
const TRIAL_WEIGHT: u32 = 2;
/// Weight from which on it is refused.
const REFUSED_WEIGHT: u32 = 4;
/// Further weight that it takes if a target has survived the part earlier.
const PROVEN_WEIGHT: u32 = 2;
/// Time from the end of a target to the next trial of the part, in milliseconds. A trial may end a target once more, with
/// which a whole group is away for about five seconds.
pub const TRIAL_PAUSE_MS: u64 = 10_000;
/// How much the end of a target says of the parts of a prompt that it ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndStrength {
    /// The target had not begun to answer as far as is known, or it had sent some of the body.
    Weak,
    /// The target had just begun to answer, or the run was a trial.
    Strong,
}

impl EndStrength {
    /// Returns the strength of an end by how far the answer had come.
    pub fn of_run(has_head: bool, was_answering: bool) -> EndStrength {
        if has_head && !was_answering { EndStrength::Strong } else { EndStrength::Weak }
    }

    fn weight(self) -> u32 {
        match self {
            EndStrength::Weak => WEAK_WEIGHT,
            EndStrength::Strong => STRONG_WEIGHT,
        }
    }
}

/// Target that ended while it ran a request whose prompt has the part.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartEnd {
    /// Name of the target.
    pub target: String,
    /// Digest of the request.
    pub request: i64,
    /// Number of the run; 0 if it is unknown.
    #[serde(default)]
    pub run_id: i64,
    /// Time at which the run began, in milliseconds.
    pub started_ms: u64,
    /// Time at which the end of the target was noticed, in milliseconds.
    pub lost_ms: u64,
    /// How much it says.
    pub strength: EndStrength,
}

impl PartEnd {
    /// Returns whether both are reports of the same run.
    pub fn is_same_run(&self, other: &PartEnd) -> bool {
        is_same_run_id(self.run_id, other.run_id)
            || self.target == other.target
                && self.request == other.request
                && self.started_ms <= other.lost_ms
                && other.started_ms <= self.lost_ms
    }
}

/// Returns the weight of ends. Ends of one round and repeated ends of one request count once.
fn ends_weight(ends: &[PartEnd]) -> u32 {
    let mut counted: Vec<i64> = Vec::new();
    let mut weight = 0;
    for round in group_rounds(ends, |it| (it.started_ms, it.lost_ms)) {
        let news: Vec<&&PartEnd> =
            round.iter().filter(|it| !counted.contains(&it.request)).collect();
        weight += news.iter().map(|it| it.strength.weight()).max().unwrap_or(0);
        let targets: BTreeSet<&str> = news.iter().map(|it| it.target.as_str()).collect();
        if targets.len() >= MANY_TARGETS {
            weight += MANY_TARGETS_WEIGHT;
        }
        counted.extend(round.iter().map(|it| it.request));
    }
    weight
}

/// What is known of a part.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartRecord {
    /// Whether a target is known to have survived the part.
    pub is_proven: bool,
    /// Ends of targets since one survived the part.
    pub ends: Vec<PartEnd>,
}

impl PartRecord {
    /// Records an end; returns false if it is known already.
    pub fn record(&mut self, end: PartEnd) -> bool {
        if self.ends.iter().any(|it| it.is_same_run(&end)) {
            return false;
        }
        if self.ends.len() == ENDS_MAX {
            self.ends.remove(0);
        }
        self.ends.push(end);
        true
    }

    /// Records that a target survived the part, which drops the ends before.
    pub fn record_survived(&mut self, at_ms: u64) {
        self.is_proven = true;
        self.ends.retain(|it| it.lost_ms > at_ms);
    }

    /// Returns what counts for the decision at `now_ms`.
    pub fn history(&self, now_ms: u64) -> PartHistory {
        let last_ms = self.ends.iter().map(|it| it.lost_ms).max();
        PartHistory {
            is_proven: self.is_proven,
            weight: ends_weight(&self.ends),
            last_end_ago_ms: last_ms.map(|it| now_ms.saturating_sub(it)),
        }
    }

    /// Returns whether requests with the part need a trial or are refused.
    pub fn is_suspicious(&self) -> bool {
        self.history(0).permission() != RunPermission::Run
    }
}

/// What is known of a part at the time of a decision.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PartHistory {
    /// Whether a target is known to have survived the part.
    pub is_proven: bool,
    /// Weight of the ends of targets since one survived the part.
    pub weight: u32,
    /// Time since the last end, in milliseconds.
    pub last_end_ago_ms: Option<u64>,
}

impl PartHistory {
    fn added_weight(self) -> u32 {
        if self.is_proven { PROVEN_WEIGHT } else { 0 }
    }

    /// Returns whether the part is refused, or may run on trial only after it was.
    pub fn is_refused(self) -> bool {
        self.weight >= REFUSED_WEIGHT + self.added_weight()
    }

    /// Decides whether requests with the part may run.
    pub fn permission(self) -> RunPermission {
        let ago_ms = self.last_end_ago_ms.unwrap_or(0);
        if self.is_refused() {
            let further_ends = (self.weight - REFUSED_WEIGHT - self.added_weight()) / STRONG_WEIGHT;
            return RunPermission::quarantined(further_ends, ago_ms);
        }
        if self.weight >= TRIAL_WEIGHT + self.added_weight() {
            return RunPermission::Trial { pause_ms: TRIAL_PAUSE_MS.saturating_sub(ago_ms) };
        }
        RunPermission::Run
    }
}
