//! State of one target at one entry.

use crate::failing::FailureRate;
use crate::learned::LearnedTarget;
use crate::load_exchange::TargetTag;
use crate::targets::TargetInfo;

/// Time for which a target that no longer announces itself is still used after its last answer, in milliseconds. It
/// may only have lost its connection to the control hosts.
const UNANNOUNCED_USE_MS: u64 = 3_000;

/// What one entry knows of a target.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    pub(crate) info: TargetInfo,
    pub(crate) tag: TargetTag,
    pub(crate) own_load: u32,
    pub(crate) others_load: u32,
    pub(crate) own_failure_rate: FailureRate,
    pub(crate) others_failure_rate: f64,
    pub(crate) learned: LearnedTarget,
    pub(crate) consecutive_losses: u32,
    pub(crate) consecutive_refusals: u32,
    pub(crate) backoff_until_ms: u64,
    pub(crate) excluded_until_ms: u64,
    /// Whether the target has said in an answer, to this entry or another one, that it is leaving.
    pub(crate) said_leaving: bool,
    /// End of the rest that the target has asked for.
    pub(crate) rest_until_ms: u64,
    pub(crate) last_answer_ms: Option<u64>,
}

impl Target {
    /// Creates the state of a target that has got no request yet.
    pub(crate) fn new(info: TargetInfo) -> Target {
        Target {
            tag: TargetTag::of(&info.id),
            info,
            own_load: 0,
            others_load: 0,
            own_failure_rate: FailureRate::default(),
            others_failure_rate: 0.0,
            learned: LearnedTarget::default(),
            consecutive_losses: 0,
            consecutive_refusals: 0,
            backoff_until_ms: 0,
            excluded_until_ms: 0,
            said_leaving: false,
            rest_until_ms: 0,
            last_answer_ms: None,
        }
    }

    /// Returns whether the target may get requests.
    pub(crate) fn is_eligible(&self, now_ms: u64) -> bool {
        let has_answered_recently =
            self.last_answer_ms.is_some_and(|it| it + UNANNOUNCED_USE_MS > now_ms);
        !self.is_leaving()
            && self.excluded_until_ms <= now_ms
            && (self.info.is_announced || has_answered_recently)
    }

    /// Returns whether the target is leaving.
    pub(crate) fn is_leaving(&self) -> bool {
        self.info.is_leaving || self.said_leaving
    }

    /// Returns whether the target has asked for a rest that is not over.
    pub(crate) fn is_resting(&self, now_ms: u64) -> bool {
        self.rest_until_ms > now_ms
    }

    /// Returns the requests of all entries at the target, as far as they are known.
    pub(crate) fn load(&self) -> u32 {
        self.own_load + self.others_load
    }

    /// Returns the higher of this entry's failure rate and the highest one that another entry reports.
    pub(crate) fn failure_rate(&self, now_ms: u64) -> f64 {
        self.own_failure_rate.rate(now_ms).max(self.others_failure_rate)
    }
}
