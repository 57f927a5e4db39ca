//! Duties of a leader: heartbeats, replication, commits, and confirmed reads.

use bilberryloft_state::wal::LogEntry;

use crate::raft::Append;
use crate::raft::AppendReply;
use crate::raft::InstallSnapshot;
use crate::raft::Message;
use crate::raft::Raft;
use crate::raft::Recovery;
use crate::raft::Role;

/// Maximum number of entries in one message.
const APPEND_ENTRIES_MAX: usize = 4_096;
/// Approximate maximum of payload bytes in one message.
const APPEND_BYTES_MAX: usize = 1 << 20;
/// Maximum number of unacknowledged entries sent to one follower.
const IN_FLIGHT_ENTRIES_MAX: u64 = 16_384;

/// Replication progress of one other member, as known to the leader.
#[derive(Clone, Copy, Debug)]
pub(super) struct Progress {
    pub(super) match_index: u64,
    /// Index up to which the member has acknowledged entries as one that may vote: only this counts towards a majority.
    counted_index: u64,
    next_index: u64,
    /// Latest round that the member has answered as one that may vote.
    acked_round: u64,
    heard_ms: u64,
    /// Time of the latest answer that showed all entries committed until then.
    synced_ms: Option<u64>,
    /// Whether the member may vote, by its latest answer.
    may_vote: Option<bool>,
    /// What is or will be confirmed to a member that may not vote.
    pub(super) recovery: Option<Recovery>,
    snapshot_sent_ms: Option<u64>,
}

impl Raft {
    /// Starts tracking added members and stops tracking removed ones.
    pub(super) fn refresh_progress(&mut self) {
        let others = self.members().others(self.member);
        self.progress.retain(|it, _| others.contains(it));
        for member in others {
            self.progress.entry(member).or_insert(Progress {
                match_index: 0,
                counted_index: 0,
                next_index: self.log.last_index() + 1,
                acked_round: 0,
                heard_ms: self.now_ms,
                synced_ms: None,
                may_vote: None,
                recovery: None,
                snapshot_sent_ms: None,
            });
        }
    }

    pub(super) fn tick_leader(&mut self) {
        if !self.has_quorum_contact() {
            self.become_follower(self.hard_state.term, None);
            return;
        }
        let has_unsent_read = self.pending_reads.iter().any(|it| it.round > self.round);
        if self.now_ms >= self.heartbeat_due_ms || has_unsent_read {
            self.heartbeat_due_ms = self.now_ms + self.options.heartbeat_ms;
            self.broadcast_heartbeat();
            self.confirm_reads();
        }
    }

    /// Time without an answer after which a member counts as out of contact, in milliseconds.
    fn contact_timeout_ms(&self) -> u64 {
        2 * self.options.election_ms
    }

    /// Returns whether a member may vote and has lately had all committed entries, as far as this leader knows.
    pub fn is_in_sync(&self, member: u32) -> bool {
        let timeout_ms = self.contact_timeout_ms();
        match self.progress.get(&member) {
            Some(progress) => {
                let is_recent = progress.synced_ms.is_some_and(|it| it + timeout_ms > self.now_ms);
                progress.may_vote == Some(true) && is_recent
            }
            None => member == self.member,
        }
    }

    /// Returns the members that hold the log up to an index durably, as far as this leader knows.
    pub fn holders(&self, index: u64) -> Vec<u32> {
        let others = self.progress.iter().filter(|(_, it)| it.match_index >= index);
        let own = (self.durable_index >= index).then_some(self.member);
        own.into_iter().chain(others.map(|(member, _)| *member)).collect()
    }

    /// Whether a majority of the voters is in contact and may vote, as far as this leader knows. The voters of a quorum that
    /// this leader founds may not vote yet, and nobody else can give them the entry by which they may.
    fn has_quorum_contact(&self) -> bool {
        let members = self.members();
        let is_founding = self.founding_term == Some(self.hard_state.term);
        let needs_vote = self.options.confirm_recovery && !is_founding;
        let timeout_ms = self.contact_timeout_ms();
        let is_in_contact = |it: &&u32| match self.progress.get(it) {
            Some(progress) => {
                let may_vote = progress.may_vote != Some(false);
                (may_vote || !needs_vote) && progress.heard_ms + timeout_ms > self.now_ms
            }
            None => **it == self.member,
        };
        members.voters.keys().filter(is_in_contact).count() >= members.majority()
    }

    fn broadcast_heartbeat(&mut self) {
        self.round += 1;
        let members: Vec<u32> = self.progress.keys().copied().collect();
        for member in members {
            let Some(progress) = self.progress.get(&member).copied() else {
                continue;
            };
            let before_next = progress.next_index.saturating_sub(1);
            let previous_index =
                before_next.clamp(self.log.snapshot_index(), self.log.last_index());
            if let Some(term) = self.log.term_at(previous_index) {
                self.send_append(member, previous_index, term, Vec::new());
            }
        }
    }

    fn send_append(
        &mut self,
        to: u32,
        previous_index: u64,
        previous_term: u64,
        entries: Vec<LogEntry>,
    ) {
        let append = Message::Append(Append {
            term: self.hard_state.term,
            leader: self.member,
            previous_index,
            previous_term,
            entries,
            commit_index: self.commit_index,
            last_index: self.log.last_index(),
            round: self.round,
            recovery: self.recovery_of(self.progress.get(&to)),
        });
        self.send_now(to, append);
    }

    /// Sends each member the entries that it was not sent yet.
    pub(super) fn replicate(&mut self) {
        let members: Vec<u32> = self.progress.keys().copied().collect();
        for member in members {
            while self.replicate_batch(member) {}
        }
    }

    /// Sends the next batch of entries to a member; returns whether it sent any.
    fn replicate_batch(&mut self, member: u32) -> bool {
        let Some(progress) = self.progress.get(&member).copied() else {
            return false;
        };
        let in_flight = progress.next_index.saturating_sub(progress.match_index + 1);
        if progress.next_index > self.log.last_index() || in_flight >= IN_FLIGHT_ENTRIES_MAX {
            return false;
        }
        let previous_index = progress.next_index - 1;
        let Some(term) = self.log.term_at(previous_index) else {
            self.send_snapshot(member);
            return false;
        };
        let entries = self.log.slice(progress.next_index, APPEND_ENTRIES_MAX, APPEND_BYTES_MAX);
        let sent_count = entries.len() as u64;
        self.send_append(member, previous_index, term, entries);
        if let Some(progress) = self.progress.get_mut(&member) {
            progress.next_index += sent_count;
        }
        sent_count > 0
    }

    fn send_snapshot(&mut self, member: u32) {
        let Some(snapshot) = self.snapshot.clone() else {
            return;
        };
        let retry_ms = 4 * self.options.election_ms;
        let now_ms = self.now_ms;
        let Some(progress) = self.progress.get_mut(&member) else {
            return;
        };
        if progress.snapshot_sent_ms.is_some_and(|it| it + retry_ms > now_ms) {
            return;
        }
        progress.snapshot_sent_ms = Some(now_ms);
        let install = Message::InstallSnapshot(InstallSnapshot {
            term: self.hard_state.term,
            leader: self.member,
            snapshot,
            last_index: self.log.last_index(),
            round: self.round,
        });
        self.send_now(member, install);
    }

    pub(super) fn on_append_reply(&mut self, reply: AppendReply) {
        if self.role != Role::Leader || reply.term != self.hard_state.term {
            return;
        }
        let last_index = self.log.last_index();
        let now_ms = self.now_ms;
        let Some(progress) = self.progress.get_mut(&reply.follower) else {
            return;
        };
        progress.heard_ms = now_ms;
        progress.may_vote = Some(reply.may_vote);
        let counts = reply.may_vote || !self.options.confirm_recovery;
        if counts {
            progress.acked_round = progress.acked_round.max(reply.round);
        }
        if counts && reply.success {
            let held_index = reply.match_index.min(last_index);
            progress.counted_index = progress.counted_index.max(held_index);
        }
        if reply.success {
            progress.match_index = progress.match_index.max(reply.match_index.min(last_index));
            progress.next_index = progress.next_index.max(progress.match_index + 1);
            progress.snapshot_sent_ms = None;
            if progress.match_index >= self.commit_index {
                progress.synced_ms = Some(now_ms);
            }
        } else {
            // A follower that lost its disk has fewer entries than it acknowledged before.
            progress.match_index = progress.match_index.min(reply.match_index);
            progress.next_index = (reply.match_index + 1).min(last_index + 1);
        }
        self.note_recovering(&reply);
        self.advance_commit();
        self.confirm_reads();
    }

    pub(super) fn advance_commit(&mut self) {
        let index = self.reached_by_majority(|it| it.counted_index, self.durable_index);
        // Only an entry of the current term is committed by counting replicas; earlier entries are committed with it.
        if index > self.commit_index && self.log.term_at(index) == Some(self.hard_state.term) {
            self.commit_index = index;
            self.confirm_reads();
            self.step_down_if_removed();
        }
    }

    /// Steps down once a member set in which this member is no voter is committed; a last heartbeat tells the others.
    fn step_down_if_removed(&mut self) {
        let (members, index) = self.log.members();
        if index <= self.commit_index && !members.voters.contains_key(&self.member) {
            self.replicate();
            self.broadcast_heartbeat();
            self.become_follower(self.hard_state.term, None);
        }
    }

    /// Returns whether an entry of the current term is committed.
    pub fn has_committed_in_term(&self) -> bool {
        self.log.term_at(self.commit_index) == Some(self.hard_state.term)
    }

    fn confirm_reads(&mut self) {
        if self.pending_reads.is_empty() || !self.has_committed_in_term() {
            return;
        }
        let round = self.reached_by_majority(|it| it.acked_round, self.round);
        let commit_index = self.commit_index;
        for read in &mut self.pending_reads {
            read.index = read.index.max(commit_index);
        }
        let (done, waiting) = self.pending_reads.drain(..).partition(|it| it.round <= round);
        self.pending_reads = waiting;
        for read in done {
            self.output.confirmed_reads.push((read.ticket, read.index));
        }
    }

    /// Highest value that a majority of the voters has reached, given the value of each other voter and the own one.
    fn reached_by_majority(&self, value_of: impl Fn(&Progress) -> u64, own: u64) -> u64 {
        let members = self.members();
        let mut values = Vec::new();
        for voter in members.voters.keys() {
            match self.progress.get(voter) {
                Some(progress) => values.push(value_of(progress)),
                None if *voter == self.member => values.push(own),
                None => values.push(0),
            }
        }
        values.sort_unstable();
        values[values.len() - members.majority()]
    }
}
