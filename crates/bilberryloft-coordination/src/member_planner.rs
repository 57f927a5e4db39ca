//! Planning of membership changes, one at a time. Hosts that can be members report to the leader periodically, and
//! the leader replaces a voter that is away for too long with a host that has caught up with the log.

use std::collections::BTreeMap;

use bilberryloft_state::member_set::MemberSet;

/// Time without a report after which a member counts as away, in milliseconds; it is longer than a restart takes.
pub const MEMBER_TIMEOUT_MS: u64 = 3_000;

#[derive(Clone, Debug)]
struct Host {
    address: String,
    heard_ms: u64,
}

/// Hosts that can be members, as known to one leader, and the choice of the next membership change.
#[derive(Debug)]
pub struct MemberPlanner {
    own: u32,
    voters_wanted: usize,
    hosts: BTreeMap<u32, Host>,
}

impl MemberPlanner {
    /// Creates a planner that knows no hosts; with 0 voters wanted, it never plans a change.
    pub fn new(own: u32, voters_wanted: usize) -> MemberPlanner {
        MemberPlanner { own, voters_wanted, hosts: BTreeMap::new() }
    }

    /// Starts a term: all members count as alive for the full timeout, since a new leader has not heard from any yet.
    pub fn start_term(&mut self, members: &MemberSet, now_ms: u64) {
        self.hosts.clear();
        for (member, address) in members.voters.iter().chain(&members.learners) {
            self.note_alive(*member, address.clone(), now_ms);
        }
    }

    /// Records a report of a host that it is alive.
    pub fn note_alive(&mut self, member: u32, address: String, now_ms: u64) {
        self.hosts.insert(member, Host { address, heard_ms: now_ms });
    }

    fn is_alive(&self, member: u32, now_ms: u64) -> bool {
        member == self.own
            || self.hosts.get(&member).is_some_and(|it| it.heard_ms + MEMBER_TIMEOUT_MS > now_ms)
    }

    /// Returns the next member set, one change away from the current one; `None` when no change is needed.
    pub fn next_members(
        &self,
        members: &MemberSet,
        is_caught_up: impl Fn(u32) -> bool,
        now_ms: u64,
    ) -> Option<MemberSet> {
        if self.voters_wanted == 0 {
            return None;
        }
        self.remove_voter(members, now_ms)
            .or_else(|| self.promote(members, is_caught_up, now_ms))
            .or_else(|| self.remove_learner(members, now_ms))
            .or_else(|| self.add_learner(members, now_ms))
    }

    /// Removes a voter when there are more voters than wanted: one that is away if there is any, else the one with
    /// the highest number other than the leader.
    fn remove_voter(&self, members: &MemberSet, now_ms: u64) -> Option<MemberSet> {
        if members.voters.len() <= self.voters_wanted {
            return None;
        }
        let away = members.voters.keys().find(|it| !self.is_alive(**it, now_ms));
        let surplus = members.voters.keys().rev().find(|it| **it != self.own);
        let removed = *away.or(surplus)?;
        let mut next = members.clone();
        next.voters.remove(&removed);
        Some(next)
    }

    /// Promotes a learner that has caught up to voter when a voter is missing or away.
    fn promote(
        &self,
        members: &MemberSet,
        is_caught_up: impl Fn(u32) -> bool,
        now_ms: u64,
    ) -> Option<MemberSet> {
        let alive = members.voters.keys().filter(|it| self.is_alive(**it, now_ms)).count();
        if alive >= self.voters_wanted {
            return None;
        }
        let is_ready = |it: &&u32| self.is_alive(**it, now_ms) && is_caught_up(**it);
        let member = *members.learners.keys().find(is_ready)?;
        let mut next = members.clone();
        let address = next.learners.remove(&member)?;
        next.voters.insert(member, address);
        Some(next)
    }

    /// Removes a learner that is away.
    fn remove_learner(&self, members: &MemberSet, now_ms: u64) -> Option<MemberSet> {
        let away = *members.learners.keys().find(|it| !self.is_alive(**it, now_ms))?;
        let mut next = members.clone();
        next.learners.remove(&away);
        Some(next)
    }

    /// Adds a spare host as the only learner, so that it is ready to replace a voter that fails.
    fn add_learner(&self, members: &MemberSet, now_ms: u64) -> Option<MemberSet> {
        if !members.learners.is_empty() {
            return None;
        }
        let is_new = |it: &&u32| members.address(**it).is_none() && self.is_alive(**it, now_ms);
        let member = *self.hosts.keys().find(is_new)?;
        let mut next = members.clone();
        next.learners.insert(member, self.hosts.get(&member)?.address.clone());
        Some(next)
    }
}
