//! Handling of entries and snapshots at a follower.

use bilberryloft_state::wal::LogEntry;
use bilberryloft_state::wal::WalRecord;

use crate::raft::Append;
use crate::raft::AppendReply;
use crate::raft::HeardLeader;
use crate::raft::InstallSnapshot;
use crate::raft::Message;
use crate::raft::Raft;

impl Raft {
    pub(super) fn on_append(&mut self, append: Append) {
        if append.term < self.hard_state.term {
            self.reply_to_leader(append.leader, false, self.log.last_index(), append.round);
            return;
        }
        self.follow(append.term, append.leader);
        match self.find_mismatch(&append) {
            Some(next_index) => {
                self.reply_to_leader(append.leader, false, next_index, append.round)
            }
            None => {
                let match_index = append.previous_index + append.entries.len() as u64;
                let gains_vote = self.gains_vote_by(&append, match_index);
                self.store_entries(append.entries);
                if gains_vote {
                    self.gain_vote(append.leader);
                }
                self.commit_index = self.commit_index.max(append.commit_index.min(match_index));
                self.reply_to_leader(append.leader, true, match_index, append.round);
                self.note_removed_leader(append.leader);
            }
        }
    }

    /// Accepts a leader.
    fn follow(&mut self, term: u64, leader: u32) {
        self.become_follower(term, Some(leader));
        self.heard_leader = Some(HeardLeader { member: leader, heard_ms: self.now_ms });
    }

    /// Starts an election early if the leader has just committed a member set in which it is no voter.
    fn note_removed_leader(&mut self, leader: u32) {
        let (members, index) = self.log.members();
        if index <= self.commit_index && !members.voters.contains_key(&leader) {
            self.leader_ended(leader);
        }
    }

    /// Returns the index that the leader should try next if the entry before the new ones does not match.
    fn find_mismatch(&self, append: &Append) -> Option<u64> {
        if append.previous_index < self.log.snapshot_index() {
            return None;
        }
        let Some(term) = self.log.term_at(append.previous_index) else {
            return Some(self.log.last_index());
        };
        if term == append.previous_term {
            return None;
        }
        let mut index = append.previous_index;
        while index > self.commit_index && self.log.term_at(index) == Some(term) {
            index -= 1;
        }
        Some(index)
    }

    fn store_entries(&mut self, entries: Vec<LogEntry>) {
        for entry in entries {
            if entry.index <= self.log.snapshot_index() {
                continue;
            }
            match self.log.term_at(entry.index) {
                Some(term) if term == entry.term => continue,
                Some(_) => self.truncate(entry.index),
                None => {}
            }
            self.append_entry(entry);
        }
    }

    fn truncate(&mut self, from_index: u64) {
        assert!(from_index > self.commit_index, "a committed entry must never be replaced");
        self.output.records.push(WalRecord::Truncate { from_index });
        self.log.truncate(from_index);
        self.durable_index = self.durable_index.min(from_index - 1);
    }

    pub(super) fn on_install_snapshot(&mut self, install: InstallSnapshot) {
        if install.term < self.hard_state.term {
            self.reply_to_leader(install.leader, false, self.log.last_index(), install.round);
            return;
        }
        self.follow(install.term, install.leader);
        let index = install.snapshot.last_index;
        if index > self.commit_index {
            self.log.install(index, install.snapshot.last_term, install.snapshot.members.clone());
            self.skip_committed_to(index);
            self.output.install = Some(install.snapshot.clone());
            self.snapshot = Some(install.snapshot);
        }
        self.reply_to_leader(install.leader, true, index, install.round);
    }

    fn reply_to_leader(&mut self, leader: u32, success: bool, match_index: u64, round: u64) {
        let reply = Message::AppendReply(AppendReply {
            term: self.hard_state.term,
            follower: self.member,
            success,
            match_index,
            round,
            may_vote: self.may_vote,
            nonce: self.nonce_if_recovering(),
        });
        match self.nothing_to_persist() {
            true => self.send_now(leader, reply),
            false => self.send_after_sync(leader, reply),
        }
    }
}
