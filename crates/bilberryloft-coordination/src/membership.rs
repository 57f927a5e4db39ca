//! Which single change of members keeps a quorum whole: hosts that can be members say so again and again, and
//! the leader replaces a voter that stays away by a host that has caught up.

use std::collections::BTreeMap;

use bilberryloft_state::member_set::MemberSet;

/// Time without a word after which a voter counts as away, in milliseconds; longer than a restart takes.
pub const AWAY_AFTER_MS: u64 = 3_000;

#[derive(Clone, Debug)]
struct Host {
    address: String,
    heard_ms: u64,
}

/// What one leader knows of the hosts that can be members.
#[derive(Debug)]
pub struct MembershipPlanner {
    own: u32,
    voters_wanted: usize,
    hosts: BTreeMap<u32, Host>,
}

impl MembershipPlanner {
    /// Starts without knowledge; with 0 voters wanted, it never plans a change.
    pub fn new(own: u32, voters_wanted: usize) -> MembershipPlanner {
        MembershipPlanner { own, voters_wanted, hosts: BTreeMap::new() }
    }

    /// Gives all members the full timeout, since a new leader has heard none of them yet.
    pub fn start_term(&mut self, members: &MemberSet, now_ms: u64) {
        self.hosts.clear();
        for (member, address) in members.voters.iter().chain(&members.learners) {
            self.note_alive(*member, address.clone(), now_ms);
        }
    }

    /// Takes a host's word that it is alive.
    pub fn note_alive(&mut self, member: u32, address: String, now_ms: u64) {
        self.hosts.insert(member, Host { address, heard_ms: now_ms });
    }

    fn is_alive(&self, member: u32, now_ms: u64) -> bool {
        member == self.own
            || self.hosts.get(&member).is_some_and(|it| it.heard_ms + AWAY_AFTER_MS > now_ms)
    }

    /// The next member set, one step from the present one; `None` when nothing is to be done.
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
            .or_else(|| self.drop_learner(members, now_ms))
            .or_else(|| self.add_learner(members, now_ms))
    }

    /// Removes a voter that is away once there are more voters than wanted.
    fn remove_voter(&self, members: &MemberSet, now_ms: u64) -> Option<MemberSet> {
        if members.voters.len() <= self.voters_wanted {
            return None;
        }
        let away = members.voters.keys().find(|it| !self.is_alive(**it, now_ms));
        let surplus = members.voters.keys().rev().find(|it| **it != self.own);
        let leaves = *away.or(surplus)?;
        let mut next = members.clone();
        next.voters.remove(&leaves);
        Some(next)
    }

    /// Makes a learner that has caught up a voter, where a voter lacks or is away.
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
        let fits = |it: &&u32| self.is_alive(**it, now_ms) && is_caught_up(**it);
        let member = *members.learners.keys().find(fits)?;
        let mut next = members.clone();
        let address = next.learners.remove(&member)?;
        next.voters.insert(member, address);
        Some(next)
    }

    fn drop_learner(&self, members: &MemberSet, now_ms: u64) -> Option<MemberSet> {
        let away = *members.learners.keys().find(|it| !self.is_alive(**it, now_ms))?;
        let mut next = members.clone();
        next.learners.remove(&away);
        Some(next)
    }

    /// Lets one host at a time learn, so that it is ready when a voter fails.
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
