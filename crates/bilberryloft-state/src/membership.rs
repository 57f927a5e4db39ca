//! Membership of targets, as agreed by the quorum. Heartbeats are not replicated.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

/// Time after which an unreachable target is removed, in milliseconds.
pub const TARGET_RETENTION_MS: u64 = 24 * 3_600_000;

/// Difference up to which two remaining times of a cold target count as the same, in milliseconds. Announcements take
/// different times, so a later one may seem to name a later end.
pub const COLD_TOLERANCE_MS: u64 = 300;

/// Description that a target announces.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetDescription {
    /// Address on which the agent takes dispatches, as `ip:port`; the target's own address if it has no agent.
    pub agent_address: String,
    /// Data centre of the target's host.
    pub data_center: String,
    /// Models that the target serves.
    pub models: Vec<String>,
    /// Plain services that the target serves.
    pub services: Vec<String>,
    /// Number of requests that the target runs concurrently.
    pub slots: u32,
    /// Number of ranks of the target's group.
    pub ranks: u32,
    /// Whether the target refuses requests with an old fencing token.
    pub checks_fencing: bool,
    /// Whether entries send requests to the target directly over HTTP, without an agent.
    #[serde(default)]
    pub direct: bool,
    /// Whether the target is leaving and gets no new requests; this can't be revoked within an incarnation.
    #[serde(default)]
    pub leaving: bool,
    /// Time for which the target stays cold, as of its announcement, in milliseconds. Absent from records of targets
    /// that are not cold, so that daemons of an earlier version can read them.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub cold_for_ms: u64,
}

fn is_zero(value: &u64) -> bool {
    *value == 0
}

/// One target as the quorum knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetRecord {
    /// Unique name.
    pub name: String,
    /// Incarnation of its agent; grows with each restart.
    pub incarnation: u64,
    /// Description that the target announced.
    pub description: TargetDescription,
    /// Whether the target's lease is in force.
    pub reachable: bool,
    /// Membership version of the last change.
    pub changed_version: u64,
    /// Leader's time of the last change, in milliseconds since the epoch.
    pub changed_at_ms: u64,
    /// Membership version at which this incarnation was first recorded.
    #[serde(default)]
    pub joined_version: u64,
    /// Incarnation before this one, if the target has started again. Absent otherwise, and from records of earlier versions.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub earlier_incarnation: Option<u64>,
    /// Leader's time at which the description's remaining cold time was recorded, in milliseconds since the epoch. Only
    /// leaders compare it; entries count the remaining time from when they learn of it.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub cold_at_ms: u64,
}

impl TargetRecord {
    /// Whether an announcement of this incarnation was sent before the recorded one: a target that is leaving
    /// never announces again that it is not.
    fn is_late_announcement(&self, incarnation: u64, description: &TargetDescription) -> bool {
        self.incarnation == incarnation && self.description.leaving && !description.leaving
    }

    /// Whether an announcement differs from the recorded one. A remaining cold time differs only if the target is no
    /// longer or newly cold, or if it stays cold for longer than recorded; else each announcement of a cold target would
    /// be replicated.
    fn differs(&self, description: &TargetDescription, at_ms: u64) -> bool {
        let known = &self.description;
        let as_recorded =
            TargetDescription { cold_for_ms: known.cold_for_ms, ..description.clone() };
        if as_recorded != *known {
            return true;
        }
        match (known.cold_for_ms, description.cold_for_ms) {
            (0, 0) => false,
            (0, _) | (_, 0) => true,
            // The clock of a new leader may be behind that of the one before.
            _ if at_ms < self.cold_at_ms => true,
            (recorded_ms, remaining_ms) => {
                let left_ms = recorded_ms.saturating_sub(at_ms - self.cold_at_ms);
                remaining_ms > left_ms + COLD_TOLERANCE_MS
            }
        }
    }
}

/// Error of naming an incarnation of a target that is not the present one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the present incarnation is {present}")]
pub struct OtherStart {
    /// The present incarnation.
    pub present: u64,
}

/// All known targets.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Membership {
    version: u64,
    forgotten_version: u64,
    targets: BTreeMap<String, TargetRecord>,
}

/// Targets that changed after a version.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MembershipDelta {
    /// Version of the receiver after it has applied the delta.
    pub version: u64,
    /// Whether `targets` is the full list, so that the receiver drops all other targets.
    pub is_full: bool,
    /// The changed targets.
    pub targets: Vec<TargetRecord>,
}

impl Membership {
    /// Number of changes so far.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Targets by name.
    pub fn targets(&self) -> &BTreeMap<String, TargetRecord> {
        &self.targets
    }

    /// Whether an announcement at the given leader's time would change the membership; late announcements don't.
    pub fn is_change(
        &self,
        name: &str,
        incarnation: u64,
        description: &TargetDescription,
        at_ms: u64,
    ) -> bool {
        match self.targets.get(name) {
            None => true,
            Some(known) if known.incarnation > incarnation => false,
            Some(known) if known.is_late_announcement(incarnation, description) => false,
            Some(known) if known.incarnation == incarnation && self.is_superseded(known) => false,
            Some(known) => {
                !known.reachable
                    || known.incarnation != incarnation
                    || known.differs(description, at_ms)
            }
        }
    }

    /// Whether a direct target that joined later is reachable at the same address. A late announcement must not
    /// make the earlier target reachable again.
    fn is_superseded(&self, known: &TargetRecord) -> bool {
        self.direct_targets_at(&known.description)
            .any(|it| it.reachable && it.joined_version > known.joined_version)
    }

    /// Direct targets with the same address as a direct target; none if the given target is not direct.
    fn direct_targets_at<'a>(
        &'a self,
        description: &'a TargetDescription,
    ) -> impl Iterator<Item = &'a TargetRecord> {
        let has_address = move |record: &&TargetRecord| {
            description.direct
                && record.description.direct
                && record.description.agent_address == description.agent_address
        };
        self.targets.values().filter(has_address)
    }

    /// Marks other targets at the address of a new direct target as unreachable.
    fn supersede(&mut self, name: &str, description: &TargetDescription, at_ms: u64) {
        let earlier =
            self.direct_targets_at(description).filter(|it| it.reachable && it.name != name);
        let earlier: Vec<String> = earlier.map(|it| it.name.clone()).collect();
        for earlier in earlier {
            let Some(record) = self.targets.get_mut(&earlier) else {
                continue;
            };
            record.reachable = false;
            record.changed_version = self.version;
            record.changed_at_ms = at_ms;
        }
    }

    /// Registers a target; an earlier incarnation than the known one is ignored. A direct target makes any other
    /// target at its address unreachable.
    pub fn register(
        &mut self,
        name: &str,
        incarnation: u64,
        description: TargetDescription,
        at_ms: u64,
    ) {
        if !self.is_change(name, incarnation, &description, at_ms) {
            return;
        }
        self.version += 1;
        self.supersede(name, &description, at_ms);
        let before = self.targets.get(name);
        let known = before.filter(|it| it.incarnation == incarnation);
        let earlier_incarnation = match known {
            Some(known) => known.earlier_incarnation,
            None => before.map(|it| it.incarnation),
        };
        let record = TargetRecord {
            name: name.to_string(),
            incarnation,
            cold_at_ms: if description.cold_for_ms > 0 { at_ms } else { 0 },
            description,
            reachable: true,
            changed_version: self.version,
            changed_at_ms: at_ms,
            joined_version: known.map_or(self.version, |it| it.joined_version),
            earlier_incarnation,
        };
        self.targets.insert(name.to_string(), record);
    }

    /// Marks a target as leaving; ignores a target that is unknown or already leaving.
    ///
    /// Fails without a change if the given incarnation is not the present one.
    pub fn mark_leaving(
        &mut self,
        name: &str,
        incarnation: Option<u64>,
        at_ms: u64,
    ) -> Result<(), OtherStart> {
        let Some(record) = self.targets.get_mut(name) else {
            return Ok(());
        };
        if incarnation.is_some_and(|it| it != record.incarnation) {
            return Err(OtherStart { present: record.incarnation });
        }
        if record.description.leaving {
            return Ok(());
        }
        self.version += 1;
        record.description.leaving = true;
        record.changed_version = self.version;
        record.changed_at_ms = at_ms;
        Ok(())
    }

    /// Marks targets with expired leases as unreachable, all in one version, and removes targets that have been
    /// unreachable for [`TARGET_RETENTION_MS`]. Each target is named with the incarnation whose lease expired.
    pub fn mark_unreachable(&mut self, expired: &[(String, u64)], at_ms: u64) {
        self.version += 1;
        for (name, incarnation) in expired {
            let Some(record) = self.targets.get_mut(name) else {
                continue;
            };
            if record.incarnation != *incarnation || !record.reachable {
                continue;
            }
            record.reachable = false;
            record.changed_version = self.version;
            record.changed_at_ms = at_ms;
        }
        self.remove_expired(at_ms);
    }

    fn remove_expired(&mut self, at_ms: u64) {
        let before = self.targets.len();
        self.targets.retain(|_, target| {
            target.reachable || target.changed_at_ms + TARGET_RETENTION_MS > at_ms
        });
        if self.targets.len() != before {
            self.forgotten_version = self.version;
        }
    }

    /// Targets that changed after a version; the full list if some have been removed since, or if the version is
    /// newer than this membership.
    pub fn delta_after(&self, version: u64) -> MembershipDelta {
        let is_full = version < self.forgotten_version || version > self.version;
        let changed = |it: &&TargetRecord| is_full || it.changed_version > version;
        let targets = self.targets.values().filter(changed).cloned().collect();
        MembershipDelta { version: self.version, is_full, targets }
    }

    /// Applies a delta; ignores one that is older than this membership.
    pub fn apply_delta(&mut self, delta: MembershipDelta) {
        if delta.version < self.version {
            return;
        }
        if delta.is_full {
            self.targets.clear();
            self.forgotten_version = delta.version;
        }
        for target in delta.targets {
            self.targets.insert(target.name.clone(), target);
        }
        self.version = delta.version;
    }
}
