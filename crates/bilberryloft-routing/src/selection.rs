//! Inputs and results of target selection.

use crate::remote::AwayChoice;
use crate::target_limits::AppliedLimit;
use crate::target_limits::LimitState;
use crate::target_limits::LimitedWait;
use crate::target_limits::wait_ms;

/// Smallest number of targets that are compared.
const SAMPLE_MIN: usize = 3;

/// Index of a target in a table of targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TargetKey(pub(crate) usize);

/// Limits on the load of a target that may be picked.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PickLimits {
    /// Requests that each target may have, if that is fewer than its slots.
    pub load_max: Option<u32>,
    /// Requests that may wait at a target in addition to its slots, if `load_max` is `None`.
    pub queue_max: u32,
    /// Requests that this entry may have at one target: its share of the target's connections.
    pub own_load_max: u32,
    /// Time of a rank's forward pass without requests, in units of the time that one request adds; 0 for a plain
    /// service.
    pub idle_load: f64,
    /// Entries that pick among the same targets, including this one.
    pub entries: usize,
    /// What the request needs of a target's memory, if that is known.
    pub memory: Option<MemoryNeed>,
}

/// What a request needs of a target's memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryNeed {
    /// Tokens of the request: those that its caller names, or as many as usual.
    pub tokens: u64,
    /// Tokens of a usual request, by which those of other entries are counted.
    pub usual_tokens: u64,
    /// Tokens that a target can hold.
    pub memory_tokens: u64,
}

impl MemoryNeed {
    /// Returns whether the request fits into a target that holds no other.
    pub fn fits(&self) -> bool {
        self.tokens <= self.memory_tokens
    }
}

impl PickLimits {
    /// Returns the number of targets among which the best one is picked.
    ///
    /// Entries that all compare the same targets by the same old loads all pick the same ones. So each compares a random
    /// part of them, the smaller the more entries there are.
    pub fn sample_size(&self, targets: usize) -> usize {
        targets.div_ceil(self.entries.max(1)).max(SAMPLE_MIN)
    }

    /// Returns the number of requests that a target with this number of slots may have.
    pub fn load_max(&self, slots: u32) -> u32 {
        self.load_max.unwrap_or(slots + self.queue_max)
    }
}

/// A target that was picked, with the load on which the decision was based.
#[derive(Clone, Debug, PartialEq)]
pub struct PickedTarget {
    /// Index in the table.
    pub key: TargetKey,
    /// Name of the target.
    pub id: String,
    /// Incarnation of the target.
    pub incarnation: u64,
    /// Address of the target.
    pub address: String,
    /// Data centre of the target.
    pub data_center: String,
    /// How it was chosen among data centres.
    pub away: AwayChoice,
    /// This entry's requests at the target, without the new one.
    pub own_load: u32,
    /// Other entries' requests at the target, as last reported.
    pub others_load: u32,
    /// Number of targets that were considered.
    pub candidates: usize,
    /// Tokens of the request that count against the target's memory; 0 if that is not known.
    pub tokens: u64,
    /// Limit of the target that the request counts against.
    pub limit: Option<AppliedLimit>,
}

/// Reason for which no target was picked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoTarget {
    /// The service has no eligible target.
    Absent,
    /// All eligible targets of the service are in evacuated data centres.
    Evacuated,
    /// All targets have reached their load limit, or some that and the others the limits that they name.
    Full,
    /// All targets have reached the limits that they name.
    Limited(LimitedWait),
    /// All targets are cold and this entry may not send to any of them now, or some are and the others rest or have reached
    /// the limits that they name.
    Cold(LimitedWait),
    /// All targets rest, or some do and the others have reached the limits that they name.
    Resting {
        /// Time until the first of them may get a request, in milliseconds.
        wait_ms: u64,
    },
}

/// Returns the number of connections that each entry may have to a target that accepts `connections_max` in total.
pub fn connection_share(connections_max: usize, entries: usize) -> usize {
    (connections_max / entries.max(1)).max(1)
}

/// Reason for which a stream is not moved to another rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoMigration {
    /// The rank does not slow down its group.
    NotSlow,
    /// No other rank has a free slot, or the retry budget is used up; both may change soon.
    NoSlot,
}

/// Candidates that name limits or rest.
#[derive(Debug, Default)]
pub struct LimitedCandidates {
    count: usize,
    resting: usize,
    cold: usize,
    first_cold_ms: Option<u64>,
    cold_rate_per_s: f64,
    first_rested_ms: Option<u64>,
    first_ms: Option<u64>,
    own_rate_per_s: f64,
    others_rate_per_s: f64,
}

impl LimitedCandidates {
    /// Adds a candidate if it names a limit; returns whether it does.
    pub fn add(&mut self, state: LimitState) -> bool {
        match state {
            LimitState::Unlimited => return false,
            LimitState::Limited { wait_ms, rate_per_s } => {
                self.first_ms = Some(self.first_ms.map_or(wait_ms, |it| it.min(wait_ms)));
                self.own_rate_per_s += rate_per_s;
            }
            LimitState::NoPart { rate_per_s } => self.others_rate_per_s += rate_per_s,
        }
        self.count += 1;
        true
    }

    /// Adds a candidate that rests for a time in milliseconds.
    pub fn add_resting(&mut self, wait_ms: u64) {
        self.resting += 1;
        self.first_rested_ms = Some(self.first_rested_ms.map_or(wait_ms, |it| it.min(wait_ms)));
    }

    /// Adds a cold candidate to which this entry may not send for a time in milliseconds.
    pub fn add_cold(&mut self, wait_ms: u64, rate_per_s: f64) {
        self.cold += 1;
        self.first_cold_ms = Some(self.first_cold_ms.map_or(wait_ms, |it| it.min(wait_ms)));
        self.cold_rate_per_s += rate_per_s;
    }

    /// Returns the wait for the first of the candidates if some are cold.
    pub fn cold_wait(&self) -> LimitedWait {
        let firsts = [self.first_cold_ms, self.first_rested_ms, self.first_ms];
        let first_ms = firsts.into_iter().flatten().min().unwrap_or_default();
        let interval_ms = match self.cold_rate_per_s + self.own_rate_per_s {
            // The wait is for the first target that is warm again, which takes any number.
            0.0 => 0,
            rate_per_s => wait_ms(1.0, rate_per_s),
        };
        LimitedWait { has_part: true, first_ms, interval_ms }
    }

    /// Returns why none of the candidates was picked.
    pub fn no_target(&self, candidates: usize) -> NoTarget {
        match candidates {
            0 => NoTarget::Absent,
            _ if self.count + self.resting + self.cold < candidates => NoTarget::Full,
            _ if self.cold > 0 => NoTarget::Cold(self.cold_wait()),
            _ => match self.first_rested_ms {
                Some(rested_ms) => {
                    let limited_ms = self.first_ms.unwrap_or(rested_ms);
                    NoTarget::Resting { wait_ms: rested_ms.min(limited_ms) }
                }
                None => NoTarget::Limited(self.wait()),
            },
        }
    }

    /// Returns the wait for the first of the candidates.
    pub fn wait(&self) -> LimitedWait {
        match self.first_ms {
            Some(first_ms) => {
                let interval_ms = wait_ms(1.0, self.own_rate_per_s);
                LimitedWait { has_part: true, first_ms, interval_ms }
            }
            None => {
                let interval_ms = wait_ms(1.0, self.others_rate_per_s);
                LimitedWait { has_part: false, first_ms: interval_ms, interval_ms }
            }
        }
    }
}
