//! Switch of a lock-step group to a new map such that all ranks use the same map in every forward pass, called a step
//! in the identifiers.
//!
//! This is a two-phase commit. A planner stages a map on all ranks and then arms them for a forward pass. The outcome
//! is written to a decision register of the quorum, which keeps the first decision. An armed rank does not begin that
//! pass until it knows the decision. A rank that restarts asks for the map in force before its first pass.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use bilberryloft_state::expert_map_register::Decision;
use bilberryloft_state::expert_map_register::SettleResult;
use serde::Deserialize;
use serde::Serialize;

/// Message from a planner to a rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RankMessage {
    /// Load the weights of a map.
    Stage {
        /// Version of the map.
        version: u64,
        /// Fencing token of the planner.
        token: u64,
    },
    /// Promise not to begin the forward pass before the decision is known.
    Arm {
        /// Version of the map.
        version: u64,
        /// First forward pass with the map.
        step: u64,
        /// Fencing token of the planner.
        token: u64,
    },
    /// Commit or abort the switch, as decided in the register.
    Decided {
        /// Version of the map.
        version: u64,
        /// Decision of the register.
        decision: Decision,
    },
}

/// Answer of a rank to a planner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RankReply {
    /// The weights of the map are loaded.
    Staged {
        /// Version of the map.
        version: u64,
        /// Forward pass that the rank runs next.
        next_step: u64,
        /// Incarnation of the rank.
        incarnation: u64,
    },
    /// The rank promises not to begin the forward pass before the decision is known.
    Armed {
        /// Version of the map.
        version: u64,
        /// First forward pass with the map.
        step: u64,
        /// Incarnation of the rank.
        incarnation: u64,
    },
    /// The rank refuses, for example because the token is old or the forward pass has begun.
    Refused {
        /// Version of the map.
        version: u64,
    },
}

/// A map version and the forward pass from which it is used.
#[derive(Clone, Copy, Debug)]
struct ScheduledSwitch {
    version: u64,
    step: u64,
}

/// State of a map switch at one rank.
#[derive(Clone, Debug)]
pub struct RankSwitch {
    incarnation: u64,
    version: u64,
    next_step: u64,
    token: u64,
    staged: Option<u64>,
    armed: Option<ScheduledSwitch>,
    committed: Option<ScheduledSwitch>,
}

impl Default for RankSwitch {
    fn default() -> Self {
        RankSwitch::new()
    }
}

impl RankSwitch {
    /// Creates the first incarnation of a rank, with the initial map of its group.
    pub fn new() -> RankSwitch {
        RankSwitch {
            incarnation: 1,
            version: 0,
            next_step: 0,
            token: 0,
            staged: None,
            armed: None,
            committed: None,
        }
    }

    /// Creates a later incarnation of a rank while its group waits for it.
    ///
    /// A switch that an earlier incarnation was armed for must be settled first with `DecisionRegister::settle`.
    pub fn restart(incarnation: u64, next_step: u64, settled: SettleResult) -> RankSwitch {
        RankSwitch {
            incarnation,
            version: settled.version,
            next_step,
            token: settled.token,
            staged: None,
            armed: None,
            committed: settled.upcoming.map(|(version, step)| ScheduledSwitch { version, step }),
        }
    }

    /// Forward pass that the rank runs next.
    pub fn next_step(&self) -> u64 {
        self.next_step
    }

    /// Map version and forward pass that the rank is armed for while the decision is unknown to it.
    pub fn undecided(&self) -> Option<(u64, u64)> {
        self.armed.map(|it| (it.version, it.step))
    }

    /// Map version for the next forward pass; `None` while the rank must wait for a decision.
    pub fn version_for_next_step(&self) -> Option<u64> {
        if self.armed.is_some_and(|it| it.step <= self.next_step) {
            return None;
        }
        match self.committed {
            Some(switch) if switch.step <= self.next_step => Some(switch.version),
            Some(_) | None => Some(self.version),
        }
    }

    /// Runs the next forward pass. The group runs in lock-step, so this is called on all ranks or on none.
    pub fn do_step(&mut self) {
        if let Some(version) = self.version_for_next_step() {
            self.version = version;
            if self.committed.is_some_and(|it| it.version == version) {
                self.committed = None;
            }
            self.next_step += 1;
        }
    }

    /// Handles a message of a planner and returns the reply, if any. Messages with an old token are refused.
    pub fn receive(&mut self, message: RankMessage) -> Option<RankReply> {
        match message {
            RankMessage::Stage { version, token } => Some(self.stage(version, token)),
            RankMessage::Arm { version, step, token } => Some(self.arm(version, step, token)),
            RankMessage::Decided { version, decision } => {
                self.apply_decision(version, decision);
                None
            }
        }
    }

    fn stage(&mut self, version: u64, token: u64) -> RankReply {
        if token < self.token
            || self.armed.is_some()
            || self.committed.is_some()
            || version <= self.version
        {
            return RankReply::Refused { version };
        }
        self.token = token;
        self.staged = Some(version);
        RankReply::Staged { version, next_step: self.next_step, incarnation: self.incarnation }
    }

    fn arm(&mut self, version: u64, step: u64, token: u64) -> RankReply {
        let armed = RankReply::Armed { version, step, incarnation: self.incarnation };
        if self.armed.is_some_and(|it| it.version == version && it.step == step) {
            return armed;
        }
        let is_late = step <= self.next_step;
        if token < self.token || self.staged != Some(version) || self.armed.is_some() || is_late {
            return RankReply::Refused { version };
        }
        self.token = token;
        self.armed = Some(ScheduledSwitch { version, step });
        armed
    }

    fn apply_decision(&mut self, version: u64, decision: Decision) {
        let Some(armed) = self.armed.filter(|it| it.version == version) else {
            return;
        };
        self.armed = None;
        self.staged = None;
        if let Decision::Commit { .. } = decision {
            self.committed = Some(armed);
        }
    }
}

/// Phase of a switch at its planner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlannerState {
    /// Ranks are loading the weights.
    Staging,
    /// Ranks are being armed.
    Arming,
    /// All ranks are armed; the decision may be written.
    ReadyToCommit,
    /// A rank refused or has restarted; only an abort may be written.
    MustAbort,
}

/// State of one switch at its planner, the coordinator of the two-phase commit.
#[derive(Clone, Debug)]
pub struct SwitchPlanner {
    /// Version of the map.
    pub version: u64,
    /// Fencing token.
    pub token: u64,
    state: PlannerState,
    ranks: u64,
    staged: BTreeMap<u64, (u64, u64)>,
    armed: BTreeSet<u64>,
    step: u64,
    margin_steps: u64,
}

impl SwitchPlanner {
    /// Starts a switch of a group of ranks. It takes effect `margin_steps` after the highest next forward pass
    /// that a rank reported when it was staged.
    pub fn new(version: u64, token: u64, ranks: u64, margin_steps: u64) -> SwitchPlanner {
        SwitchPlanner {
            version,
            token,
            state: PlannerState::Staging,
            ranks,
            staged: BTreeMap::new(),
            armed: BTreeSet::new(),
            step: 0,
            margin_steps,
        }
    }

    /// Phase of the switch.
    pub fn state(&self) -> PlannerState {
        self.state
    }

    /// First forward pass with the new map; 0 until all ranks are staged.
    pub fn step(&self) -> u64 {
        self.step
    }

    /// Messages to send now, with their ranks. They may be sent again at any time.
    pub fn messages(&self) -> Vec<(u64, RankMessage)> {
        let (version, token, step) = (self.version, self.token, self.step);
        let ranks = 0..self.ranks;
        match self.state {
            PlannerState::Staging => ranks
                .filter(|it| !self.staged.contains_key(it))
                .map(|it| (it, RankMessage::Stage { version, token }))
                .collect(),
            PlannerState::Arming => ranks
                .filter(|it| !self.armed.contains(it))
                .map(|it| (it, RankMessage::Arm { version, step, token }))
                .collect(),
            PlannerState::ReadyToCommit | PlannerState::MustAbort => Vec::new(),
        }
    }

    /// Handles the reply of a rank.
    pub fn receive(&mut self, rank: u64, reply: RankReply) {
        match reply {
            RankReply::Staged { version, next_step, incarnation } if version == self.version => {
                self.note_staged(rank, next_step, incarnation);
            }
            RankReply::Armed { version, step, incarnation }
                if version == self.version && step == self.step =>
            {
                self.note_armed(rank, incarnation);
            }
            RankReply::Refused { version } if version == self.version => {
                self.state = PlannerState::MustAbort
            }
            RankReply::Staged { .. } | RankReply::Armed { .. } | RankReply::Refused { .. } => {}
        }
    }

    fn note_staged(&mut self, rank: u64, next_step: u64, incarnation: u64) {
        let first = *self.staged.entry(rank).or_insert((next_step, incarnation));
        if first.1 != incarnation {
            // The rank has restarted and lost its staged map and its promise.
            self.state = PlannerState::MustAbort;
        }
        if self.state == PlannerState::Staging && self.staged.len() as u64 == self.ranks {
            let last = self.staged.values().map(|it| it.0).max().unwrap_or(0);
            self.step = last + self.margin_steps;
            self.state = PlannerState::Arming;
        }
    }

    fn note_armed(&mut self, rank: u64, incarnation: u64) {
        if self.staged.get(&rank).is_none_or(|it| it.1 != incarnation) {
            self.state = PlannerState::MustAbort;
        }
        self.armed.insert(rank);
        if self.state == PlannerState::Arming && self.armed.len() as u64 == self.ranks {
            self.state = PlannerState::ReadyToCommit;
        }
    }

    /// Aborts the switch because a rank did not answer in time.
    pub fn give_up(&mut self) {
        self.state = PlannerState::MustAbort;
    }

    /// Decision to write to the register now, if any.
    pub fn decision(&self) -> Option<Decision> {
        match self.state {
            PlannerState::Staging | PlannerState::Arming => None,
            PlannerState::ReadyToCommit => Some(Decision::Commit { step: self.step }),
            PlannerState::MustAbort => Some(Decision::Abort),
        }
    }
}
