//! Planning of membership changes, one at a time. Hosts that can be members report to the leader periodically, and
//! the leader replaces a voter that is away for too long, or that is leaving, with a host that has caught up.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use bilberryloft_state::member_set::MemberSet;

use crate::raft::HeardLeader;

/// Time without a report after which a member counts as away, in milliseconds; it is longer than a restart takes.
pub const MEMBER_TIMEOUT_MS: u64 = 3_000;
/// Time after an election in which every running host has reported to the new leader, in milliseconds.
pub const FIRST_REPORTS_MS: u64 = 1_500;
/// Longest time after an election for which the first hosts are awaited as voters, in milliseconds. A host that reports
/// but never catches up must not hold up the quorum for good.
pub const FOUNDING_MAX_MS: u64 = 10_000;

#[derive(Clone, Debug)]
struct Host {
    address: String,
    heard_ms: u64,
    /// Whether the process of the host is stopping.
    is_leaving: bool,
}

/// Hosts that can be members, as known to one leader, and the choice of the next membership change.
#[derive(Debug)]
pub struct MemberPlanner {
    own: u32,
    voters_wanted: usize,
    hosts: BTreeMap<u32, Host>,
    term_start_ms: u64,
}

impl MemberPlanner {
    /// Creates a planner that knows no hosts; with 0 voters wanted, it never plans a change.
    pub fn new(own: u32, voters_wanted: usize) -> MemberPlanner {
        MemberPlanner { own, voters_wanted, hosts: BTreeMap::new(), term_start_ms: 0 }
    }

    /// Starts a term. A new leader has heard from no member but the leader before it, so all others count as alive for
    /// the full timeout. The leader before it may have led long ago and be alive, so it gets the time in which every
    /// running host reports.
    pub fn start_term(
        &mut self,
        members: &MemberSet,
        previous_leader: Option<HeardLeader>,
        now_ms: u64,
    ) {
        self.hosts.clear();
        self.term_start_ms = now_ms;
        let first_report_due_ms = (now_ms + FIRST_REPORTS_MS).saturating_sub(MEMBER_TIMEOUT_MS);
        for (member, address) in members.voters.iter().chain(&members.learners) {
            let heard_ms = match previous_leader {
                Some(it) if it.member == *member => it.heard_ms.max(first_report_due_ms),
                _ => now_ms,
            };
            self.note_alive(*member, address.clone(), heard_ms);
        }
    }

    /// Records a report of a host that it is alive and stays.
    pub fn note_alive(&mut self, member: u32, address: String, now_ms: u64) {
        self.hosts.insert(member, Host { address, heard_ms: now_ms, is_leaving: false });
    }

    /// Records a report of a host that its process is stopping.
    pub fn note_leaving(&mut self, member: u32, address: String, now_ms: u64) {
        self.hosts.insert(member, Host { address, heard_ms: now_ms, is_leaving: true });
    }

    fn is_alive(&self, member: u32, now_ms: u64) -> bool {
        member == self.own
            || self.hosts.get(&member).is_some_and(|it| it.heard_ms + MEMBER_TIMEOUT_MS > now_ms)
    }

    /// Returns whether a host has reported that its process is stopping.
    pub fn is_leaving(&self, member: u32) -> bool {
        self.hosts.get(&member).is_some_and(|it| it.is_leaving)
    }

    /// Whether a host is alive and not leaving.
    fn stays(&self, member: u32, now_ms: u64) -> bool {
        self.is_alive(member, now_ms) && !self.is_leaving(member)
    }

    /// Returns whether the process of a leaving host may end: the host is no voter any more, or no other host could vote
    /// in its place. `members` must be committed.
    pub fn may_stop(&self, member: u32, members: &MemberSet, now_ms: u64) -> bool {
        if self.voters_wanted == 0 || !members.voters.contains_key(&member) {
            return true;
        }
        let is_spare = |it: &u32| !members.voters.contains_key(it) && self.stays(*it, now_ms);
        let has_spare = self.hosts.keys().any(is_spare);
        let is_surplus = members.voters.len() > self.voters_wanted;
        let knows_all_hosts = now_ms >= self.term_start_ms + FIRST_REPORTS_MS;
        knows_all_hosts && !has_spare && !is_surplus
    }

    /// Returns whether a quorum that has just been founded has the voters that it will have: as many as wanted, or all
    /// hosts that are there.
    pub fn is_complete(&self, members: &MemberSet, now_ms: u64) -> bool {
        let has_enough = members.voters.len() >= self.voters_wanted;
        if has_enough || now_ms >= self.term_start_ms + FOUNDING_MAX_MS {
            return true;
        }
        let is_spare = |it: &&u32| !members.voters.contains_key(it) && self.stays(**it, now_ms);
        let knows_all_hosts = now_ms >= self.term_start_ms + FIRST_REPORTS_MS;
        knows_all_hosts && !self.hosts.keys().any(|it| is_spare(&it))
    }

    /// Returns the next member set, one change away from the current one; `None` when no change is needed.
    ///
    /// `is_in_sync` says whether a member may vote and has all committed entries.
    pub fn next_members(
        &self,
        members: &MemberSet,
        is_in_sync: impl Fn(u32) -> bool,
        now_ms: u64,
    ) -> Option<MemberSet> {
        if self.voters_wanted == 0 {
            return None;
        }
        self.drop_voter(members, &is_in_sync, now_ms)
            .or_else(|| self.promote(members, &is_in_sync, now_ms))
            .or_else(|| self.remove_learner(members, now_ms))
            .or_else(|| self.add_learner(members, now_ms))
    }

    /// Drops a voter when there are more voters than wanted: one that is leaving, else one that is away, else one that is
    /// out of sync, else the one with the highest number. The leader goes last.
    fn drop_voter(
        &self,
        members: &MemberSet,
        is_in_sync: &impl Fn(u32) -> bool,
        now_ms: u64,
    ) -> Option<MemberSet> {
        if members.voters.len() <= self.voters_wanted {
            return None;
        }
        // The voter with the lowest rank is dropped; in a tuple, false comes before true.
        let rank = |it: &&u32| {
            let stays = !self.is_leaving(**it);
            let is_alive = self.is_alive(**it, now_ms);
            (stays, **it == self.own, is_alive, is_in_sync(**it), Reverse(**it))
        };
        let dropped = *members.voters.keys().min_by_key(rank)?;
        let mut next = members.clone();
        let address = next.voters.remove(&dropped)?;
        if self.is_alive(dropped, now_ms) {
            // It still gets the log, and is the next spare host if it stays or comes back.
            next.learners.insert(dropped, address);
        }
        let in_sync = next.voters.keys().filter(|it| is_in_sync(**it)).count();
        (in_sync >= next.majority()).then_some(next)
    }

    /// Promotes a learner that is in sync to voter when a voter is missing, away or leaving.
    fn promote(
        &self,
        members: &MemberSet,
        is_in_sync: &impl Fn(u32) -> bool,
        now_ms: u64,
    ) -> Option<MemberSet> {
        let staying = members.voters.keys().filter(|it| self.stays(**it, now_ms)).count();
        if staying >= self.voters_wanted {
            return None;
        }
        let is_ready = |it: &&u32| self.stays(**it, now_ms) && is_in_sync(**it);
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

    /// Adds a spare host as the only learner that stays, so that it is ready to replace a voter.
    fn add_learner(&self, members: &MemberSet, now_ms: u64) -> Option<MemberSet> {
        if members.learners.keys().any(|it| !self.is_leaving(*it)) {
            return None;
        }
        let is_new = |it: &&u32| members.address(**it).is_none() && self.stays(**it, now_ms);
        let member = *self.hosts.keys().find(is_new)?;
        let mut next = members.clone();
        next.learners.insert(member, self.hosts.get(&member)?.address.clone());
        Some(next)
    }
}
