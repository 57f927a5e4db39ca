//! Return of a member that has lost its disk. Its former self may have voted, and acknowledged entries, that it doesn't
//! know of. It counts towards no majority until a leader has committed an entry without it after this start. Then no
//! candidate can win any more for which the former self has voted, as the others that it would need hold that entry.

use bilberryloft_state::wal::LogEntry;
use bilberryloft_state::wal::Payload;
use bilberryloft_state::wal::WalRecord;

use crate::raft::Append;
use crate::raft::AppendReply;
use crate::raft::Raft;
use crate::raft::Recovery;
use crate::raft::leader::Progress;

/// Index up to which the log must match the one of a term's leader before the member may vote, if that leader confirms
/// nothing.
#[derive(Clone, Copy, Debug)]
pub(super) struct CatchUp {
    pub term: u64,
    pub index: u64,
}

impl Raft {
    /// Appends an entry for a member that may not vote, once for each of its starts. Its commit confirms this leader.
    pub(super) fn note_recovering(&mut self, reply: &AppendReply) {
        let Some(nonce) = reply.nonce else {
            return;
        };
        let index = self.log.last_index() + 1;
        let Some(progress) = self.progress.get_mut(&reply.follower) else {
            return;
        };
        if progress.recovery.is_some_and(|it| it.nonce == nonce) {
            return;
        }
        progress.recovery = Some(Recovery { nonce, index });
        let payload = Payload::Command(Vec::new());
        self.append_entry(LogEntry { term: self.hard_state.term, index, payload });
    }

    /// Returns what this leader confirms to a member.
    pub(super) fn recovery_of(&self, progress: Option<&Progress>) -> Option<Recovery> {
        let known = progress.and_then(|it| it.recovery);
        let confirmed = known.filter(|it| it.index <= self.commit_index).unwrap_or_default();
        self.options.confirm_recovery.then_some(confirmed)
    }

    /// Whether this member may vote from now on: the leader confirms it, and its log matches the leader's as far as it must.
    pub(super) fn gains_vote_by(&mut self, append: &Append, match_index: u64) -> bool {
        if self.may_vote {
            return false;
        }
        let confirmation = append.recovery.filter(|_| self.options.confirm_recovery);
        let has_recovered = match confirmation {
            Some(it) => it.nonce == self.nonce && match_index >= it.index,
            None => self.has_caught_up(append, match_index),
        };
        has_recovered || self.is_founded_by(append)
    }

    /// Whether the log matches the leader's up to the leader's last index in its first message of the term.
    fn has_caught_up(&mut self, append: &Append, match_index: u64) -> bool {
        let goal = match self.catch_up {
            Some(it) if it.term == append.term => it,
            Some(_) | None => CatchUp { term: append.term, index: append.last_index },
        };
        self.catch_up = Some(goal);
        match_index >= goal.index
    }

    /// Whether the first entry comes from the leader for which all initial members have voted with empty logs: then none
    /// of them has lost anything.
    fn is_founded_by(&self, append: &Append) -> bool {
        let first = append.entries.first();
        let is_first = first.is_some_and(|it| (it.index, it.term) == (1, append.term));
        is_first && self.founding_term == Some(append.term)
    }

    /// Returns the number of this start for an answer to a leader, if this member may not vote.
    pub(super) fn nonce_if_recovering(&self) -> Option<u64> {
        (!self.may_vote && self.options.confirm_recovery).then_some(self.nonce)
    }

    /// Allows this member to vote once all records so far are durable. The leader is recorded as voted for, as the former
    /// self may have voted for it.
    pub(super) fn gain_vote(&mut self, leader: u32) {
        self.hard_state.vote = Some(leader);
        self.save_hard_state();
        self.may_vote = true;
        self.output.records.push(WalRecord::MayVote);
    }
}
