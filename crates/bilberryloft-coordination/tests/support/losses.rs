//! Loss of all power, lost disks within what the quorum must tolerate, and members that stand still.

use std::collections::BTreeSet;

use bilberryloft_coordination::raft::Message;
use bilberryloft_coordination::raft::Raft;
use bilberryloft_coordination::raft::Role;
use bilberryloft_state::member_set::MemberSet;
use bilberryloft_state::wal::Payload;
use fastrand::Rng;

use super::Cluster;
use super::Job;
use super::Member;

impl Cluster {
    /// Ends all processes at the same moment. Of the writes that are not synced, each disk keeps those up to a random one.
    pub fn lose_power(&mut self, random: &mut Rng) {
        self.frozen.clear();
        for state in self.members.values_mut() {
            if state.raft.take().is_some() {
                keep_some_writes(state, random);
            }
            state.jobs.clear();
        }
    }

    /// Crashes members and empties their disks as long as the others can restore everything; returns how many.
    pub fn lose_disks(&mut self, candidates: &[u32], tolerated: usize) -> usize {
        let mut count = 0;
        for member in candidates {
            let mut lost = self.without_vote();
            lost.insert(*member);
            if lost.len() <= tolerated {
                self.lost_disks.insert(*member);
                self.empty_disk(*member);
                count += 1;
            }
        }
        count
    }

    /// Members that have lost their disks and voters, by any member set that may be in force, that may not vote yet.
    fn without_vote(&self) -> BTreeSet<u32> {
        let rafts = self.members.values().filter_map(|it| it.raft.as_ref());
        let mut voters: BTreeSet<u32> =
            rafts.flat_map(|it| it.members().voters.keys().copied()).collect();
        voters.extend(self.committed_members().voters.keys());
        voters.extend(&self.lost_disks);
        for state in self.members.values() {
            for entry in &state.disk.entries {
                if let Payload::Members(members) = &entry.payload {
                    voters.extend(members.voters.keys());
                }
            }
        }
        voters.into_iter().filter(|it| !self.members[it].disk.may_vote).collect()
    }

    fn committed_members(&self) -> MemberSet {
        let members = self.committed.values().rev().find_map(|(_, payload)| match payload {
            Payload::Members(members) => Some(members.clone()),
            Payload::Command(_) => None,
        });
        members.unwrap_or_else(|| self.initial_members())
    }

    /// Loses all messages with entries that are under way.
    pub fn lose_entries(&mut self) {
        let has_entries =
            |it: &Message| matches!(it, Message::Append(it) if !it.entries.is_empty());
        self.network.retain(|(_, it)| !has_entries(&it.message));
    }

    /// Makes a member stand still: what is sent to it waits, and its timers don't run.
    pub fn freeze(&mut self, member: u32) {
        if self.raft(member).is_some() {
            self.frozen.insert(member);
        }
    }

    /// Lets all members that stand still go on.
    pub fn thaw(&mut self) {
        self.frozen.clear();
    }

    /// Returns whether the process of a member runs and doesn't stand still.
    pub fn is_running(&self, member: u32) -> bool {
        self.running().contains(&member)
    }

    /// Returns all members that believe that they lead, in the order of their terms.
    pub fn all_leaders(&self) -> Vec<u32> {
        let term = |it: &u32| self.raft(*it).map(Raft::term);
        let leads = |it: &u32| self.raft(*it).is_some_and(|raft| raft.role() == Role::Leader);
        let mut leaders: Vec<u32> = self.running().into_iter().filter(leads).collect();
        leaders.sort_by_key(term);
        leaders
    }

    /// Restores the links between two members.
    pub fn join(&mut self, member: u32, other: u32) {
        self.cut.remove(&(member, other));
        self.cut.remove(&(other, member));
    }

    /// Reports to all running members that the process of one of them has ended, whether this is true or not.
    pub fn report_ended_to_all(&mut self, ended: u32) {
        for member in self.running() {
            self.report_ended(member, ended);
        }
    }

    /// Adds a spare host as a learner, makes one a voter that is in sync, or the reverse while there are too many voters.
    pub fn change_members(&mut self, voters_wanted: usize, random: &mut Rng) {
        let Some(leader) = self.leader() else {
            return;
        };
        let raft = self.raft(leader).unwrap();
        let mut next = raft.members().clone();
        let spares: Vec<u32> =
            self.members.keys().copied().filter(|it| next.address(*it).is_none()).collect();
        let ready = next.learners.keys().copied().find(|it| raft.is_in_sync(*it));
        if next.voters.len() > voters_wanted {
            let voters: Vec<u32> = next.voters.keys().copied().collect();
            let dropped = voters[random.usize(..voters.len())];
            let address = next.voters.remove(&dropped).unwrap();
            next.learners.insert(dropped, address);
        } else if let Some(ready) = ready {
            let address = next.learners.remove(&ready).unwrap();
            next.voters.insert(ready, address);
        } else if let Some(spare) = spares.first() {
            next.learners.insert(*spare, format!("member-{spare}"));
        }
        self.propose_members(leader, next);
    }

    /// Checks that a leader holds all that was committed, and can commit more.
    pub fn check_nothing_is_lost(&mut self) {
        let Some(leader) = self.leader() else {
            return self.record_violation("no leader".to_string());
        };
        let log = self.raft(leader).unwrap().log();
        let is_held = |index: &u64, value: &(u64, Payload)| match log.entry(*index) {
            Some(entry) => (entry.term, &entry.payload) == (value.0, &value.1),
            None => *index <= log.snapshot_index(),
        };
        let missing = self.committed.iter().find(|(index, value)| !is_held(index, value));
        if let Some((index, _)) = missing {
            let text = format!("leader {leader} lacks entry {index}, which was committed");
            return self.record_violation(text);
        }
        let before = self.committed_count();
        self.propose(leader);
        self.settle(500);
        if self.committed_count() <= before {
            self.record_violation("a proposal is not committed".to_string());
        }
    }
}

/// Writes the pending records of a disk up to a random one, as a loss of power may leave them.
fn keep_some_writes(state: &mut Member, random: &mut Rng) {
    for job in state.jobs.drain(..) {
        match job {
            Job::Append { records, .. } => {
                for record in &records {
                    if random.u32(..4) == 0 {
                        return;
                    }
                    state.disk.write(record);
                }
            }
            Job::Replace { .. } if random.bool() => return,
            Job::Replace { disk, .. } => state.disk = disk,
        }
    }
}
