//! Replicated registers of decisions on expert map switches, one for each group of ranks.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

/// Number of decisions kept for one group; the latest commit is always among them.
const DECISIONS_MAX: usize = 16;
/// Time without use after which the register of a group is dropped, in milliseconds.
const GROUP_RETENTION_MS: u64 = 24 * 3_600_000;

/// Decision on a switch to a new map; the first decision written for a version is final.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Decision {
    /// All ranks were armed; the map is in force from the given step on.
    Commit {
        /// First step that uses the map.
        step: u64,
    },
    /// The map never comes into force.
    Abort,
}

/// Decisions of one group by map version, and the group's latest fencing token. Versions are consecutive.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct DecisionRegister {
    decisions: BTreeMap<u64, Decision>,
    token: u64,
}

impl DecisionRegister {
    /// Issues the next fencing token, for a new planner.
    pub fn next_token(&mut self) -> u64 {
        self.token += 1;
        self.token
    }

    /// Writes a decision and returns it, or returns the existing one; a planner with an old token can only abort.
    pub fn decide(&mut self, version: u64, decision: Decision, token: u64) -> Decision {
        if let Some(existing) = self.decisions.get(&version) {
            return *existing;
        }
        // An older version without a stored decision is reported as aborted. `prune` may have dropped a commit of
        // it, but then a later version was committed, too.
        if version < self.last_version() {
            return Decision::Abort;
        }
        let decision = if token < self.token { Decision::Abort } else { decision };
        self.decisions.insert(version, decision);
        self.prune();
        decision
    }

    /// Decision on a version, if there is one.
    pub fn get(&self, version: u64) -> Option<Decision> {
        self.decisions.get(&version).copied()
    }

    /// Highest version with a decision, committed or aborted; 0 if there is none.
    pub fn last_version(&self) -> u64 {
        self.decisions.last_key_value().map_or(0, |(version, _)| *version)
    }

    /// Map version in force at a step; 0 is the map that the group started with.
    pub fn version_at(&self, step: u64) -> u64 {
        let in_force = |(version, decision): (&u64, &Decision)| match decision {
            Decision::Commit { step: from } if *from <= step => Some(*version),
            Decision::Commit { .. } | Decision::Abort => None,
        };
        self.decisions.iter().filter_map(in_force).max().unwrap_or(0)
    }

    /// Aborts the switch that a restarted rank may have been armed for, if it is undecided, and returns the state
    /// that the rank resumes with.
    pub fn settle(&mut self, next_step: u64) -> SettleResult {
        self.decide(self.last_version() + 1, Decision::Abort, 0);
        SettleResult {
            version: self.version_at(next_step),
            upcoming: self.upcoming(next_step),
            token: self.token,
        }
    }

    /// Version and first step of a committed switch that comes into force after a step.
    fn upcoming(&self, next_step: u64) -> Option<(u64, u64)> {
        let after = |(version, decision): (&u64, &Decision)| match decision {
            Decision::Commit { step } if *step > next_step => Some((*version, *step)),
            Decision::Commit { .. } | Decision::Abort => None,
        };
        self.decisions.iter().find_map(after)
    }

    /// Drops the oldest decisions beyond [`DECISIONS_MAX`], except the latest commit. Older versions are never queried.
    fn prune(&mut self) {
        while self.decisions.len() > DECISIONS_MAX {
            let is_commit = |decision: &Decision| matches!(decision, Decision::Commit { .. });
            let last_commit =
                self.decisions.iter().rev().find(|it| is_commit(it.1)).map(|it| *it.0);
            let oldest = self.decisions.keys().find(|it| Some(**it) != last_commit).copied();
            let Some(oldest) = oldest else { return };
            self.decisions.remove(&oldest);
        }
    }
}

/// State of the expert map that a restarted rank resumes with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettleResult {
    /// Map version in force at its next step.
    pub version: u64,
    /// Version and first step of a committed switch after that step.
    pub upcoming: Option<(u64, u64)>,
    /// Latest fencing token.
    pub token: u64,
}

/// Registers of all groups by name; a group is one incarnation of a target's engine.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ExpertMapRegisters {
    groups: BTreeMap<String, Group>,
}

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct Group {
    register: DecisionRegister,
    used_ms: u64,
}

impl ExpertMapRegisters {
    /// Register of a group, created if needed; creating one drops the registers that have been unused for too long.
    pub fn group(&mut self, name: &str, now_ms: u64) -> &mut DecisionRegister {
        if !self.groups.contains_key(name) {
            self.groups.retain(|_, it| it.used_ms + GROUP_RETENTION_MS > now_ms);
        }
        let group = self.groups.entry(name.to_string()).or_default();
        group.used_ms = now_ms;
        &mut group.register
    }
}
