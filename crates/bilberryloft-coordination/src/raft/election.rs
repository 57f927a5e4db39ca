//! Elections: pre-votes, votes, and the rules for granting them.

use bilberryloft_state::wal::HardState;
use bilberryloft_state::wal::LogEntry;
use bilberryloft_state::wal::Payload;
use bilberryloft_state::wal::WalRecord;

use crate::raft::Message;
use crate::raft::Raft;
use crate::raft::Role;
use crate::raft::VoteReply;
use crate::raft::VoteRequest;

impl Raft {
    /// Starts a pre-vote or an election when the election timeout has passed and this member is allowed to vote.
    pub(super) fn tick_election(&mut self) {
        if self.now_ms < self.election_due_ms {
            return;
        }
        self.reset_election_timer();
        if !self.may_stand() || !(self.may_vote || self.may_found()) {
            return;
        }
        match self.options.pre_vote {
            true => self.start_pre_vote(),
            false => self.start_election(),
        }
    }

    /// Whether this member may be needed as a leader: it is a member by the latest set, or by the one before. One that is
    /// no voter may be the only one whom the others elect, although its own vote doesn't count, as entries may be
    /// nowhere else; it steps down once it has committed them. The set before the latest one is committed, as a leader
    /// proposes no other change before; after a restart nothing else is known of commits.
    fn may_stand(&self) -> bool {
        let (members, index) = self.log.members();
        let before = self.log.members_up_to(index.saturating_sub(1)).0;
        [members, before].iter().any(|it| it.address(self.member).is_some())
    }

    /// Whether this member may found a quorum with the initial members that it knows, although it can't tell the first
    /// start from the loss of its disk. It then needs the votes of all of them: one that has a log refuses.
    fn may_found(&self) -> bool {
        self.log.last_index() == 0 && self.members().voters.contains_key(&self.member)
    }

    /// Whether the request founds a quorum with members that can't tell the first start from the loss of their disks.
    fn may_found_with(&self, request: &VoteRequest) -> bool {
        let is_initial = self.members().voters.contains_key(&request.candidate);
        self.may_found() && request.last_index == 0 && is_initial
    }

    fn start_pre_vote(&mut self) {
        self.role = Role::PreCandidate;
        self.leader = None;
        self.votes = [self.member].into();
        self.request_votes(self.hard_state.term + 1, true);
        self.count_votes();
    }

    fn start_election(&mut self) {
        self.role = Role::Candidate;
        self.leader = None;
        self.votes = [self.member].into();
        self.hard_state = HardState { term: self.hard_state.term + 1, vote: Some(self.member) };
        self.save_hard_state();
        self.request_votes(self.hard_state.term, false);
        self.count_votes();
    }

    fn request_votes(&mut self, term: u64, pre_vote: bool) {
        let member = self.member;
        let voters: Vec<u32> =
            self.members().voters.keys().copied().filter(|it| *it != member).collect();
        for voter in voters {
            let request = Message::VoteRequest(VoteRequest {
                term,
                candidate: self.member,
                last_index: self.log.last_index(),
                last_term: self.log.last_term(),
                pre_vote,
            });
            // The own vote must be durable before it counts with the others, so the requests wait for the sync.
            match pre_vote {
                true => self.send_now(voter, request),
                false => self.send_after_sync(voter, request),
            }
        }
    }

    pub(super) fn on_vote_request(&mut self, request: VoteRequest) {
        let granted = self.can_grant_vote(&request);
        if granted && !request.pre_vote {
            self.hard_state.vote = Some(request.candidate);
            self.save_hard_state();
            self.reset_election_timer();
            self.founding_term = (!self.may_vote).then_some(request.term);
        }
        let term = if granted { request.term } else { self.hard_state.term };
        let reply = Message::VoteReply(VoteReply {
            term,
            voter: self.member,
            granted,
            pre_vote: request.pre_vote,
        });
        self.send_after_sync(request.candidate, reply);
    }

    fn can_grant_vote(&self, request: &VoteRequest) -> bool {
        if self.has_live_leader() || !self.log.is_up_to_date(request.last_index, request.last_term)
        {
            return false;
        }
        // A member that lost its disk must not help to elect one that may lack entries it acknowledged before.
        if !self.may_vote && !self.may_found_with(request) {
            return false;
        }
        match request.pre_vote {
            true => request.term > self.hard_state.term,
            false => {
                let is_free = self.hard_state.vote.is_none_or(|it| it == request.candidate);
                request.term == self.hard_state.term && is_free
            }
        }
    }

    pub(super) fn on_vote_reply(&mut self, reply: VoteReply) {
        let is_awaited = match self.role {
            Role::PreCandidate => reply.pre_vote && reply.term == self.hard_state.term + 1,
            Role::Candidate => !reply.pre_vote && reply.term == self.hard_state.term,
            Role::Follower | Role::Leader => false,
        };
        if is_awaited && reply.granted {
            self.votes.insert(reply.voter);
            self.count_votes();
        }
    }

    fn count_votes(&mut self) {
        let members = self.members();
        let count = self.votes.iter().filter(|it| members.voters.contains_key(it)).count();
        let needed = if self.may_vote { members.majority() } else { members.voters.len() };
        if count < needed {
            return;
        }
        match self.role {
            Role::PreCandidate => self.start_election(),
            Role::Candidate => self.become_leader(),
            Role::Follower | Role::Leader => {}
        }
    }

    fn become_leader(&mut self) {
        self.role = Role::Leader;
        self.leader = Some(self.member);
        self.progress.clear();
        self.refresh_progress();
        if !self.may_vote {
            self.founding_term = Some(self.hard_state.term);
            self.may_vote = true;
            self.output.records.push(WalRecord::MayVote);
        }
        let index = self.log.last_index() + 1;
        // The first entry writes the members into the log, so that members added later need no settings for them.
        let payload = match index {
            1 => Payload::Members(self.members().clone()),
            _ => Payload::Command(Vec::new()),
        };
        self.append_entry(LogEntry { term: self.hard_state.term, index, payload });
        self.heartbeat_due_ms = self.now_ms;
        self.tick_leader();
    }
}
