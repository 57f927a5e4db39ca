//! One member of the Raft quorum: its state, its inputs and its output to the driver.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use bilberryloft_state::member_set::MemberSet;
use bilberryloft_state::snapshot::Snapshot;
use bilberryloft_state::wal::HardState;
use bilberryloft_state::wal::LogEntry;
use bilberryloft_state::wal::Payload;
use bilberryloft_state::wal::WalRecord;

use crate::raft::Log;
use crate::raft::Message;
use crate::raft::Options;
use crate::raft::Outbound;
use crate::raft::Output;
use crate::raft::ReadTicket;
use crate::raft::leader::Progress;
use crate::raft::recovery::CatchUp;

/// Fraction of the election timeout, as a divisor, that separates two members that would otherwise request votes at
/// the same time and split the vote.
const STAGGER_DIVISOR: u64 = 4;
/// Fraction of the election timeout, as a divisor, within which all members learn that their leader has ended.
const LEADER_END_PAUSE_DIVISOR: u64 = 20;
/// Election timeout of a member that is no voter, as a multiple of that of voters, which should elect one of them first.
const NON_VOTER_FACTOR: u64 = 4;

/// Initial state of a member.
#[derive(Debug, Default)]
pub struct InitialState {
    /// Id of the member.
    pub member: u32,
    /// Members to use while neither the snapshot nor the log sets them.
    pub members: MemberSet,
    /// Durable term and vote.
    pub hard_state: HardState,
    /// Whether the member may vote. One that founds a quorum may from the start, if it has recorded durably that it was
    /// told to.
    pub may_vote: bool,
    /// Durable snapshot.
    pub snapshot: Option<Snapshot>,
    /// Durable entries after the snapshot.
    pub entries: Vec<LogEntry>,
    /// Seed of the random election timeouts.
    pub seed: u64,
    /// Current time in milliseconds.
    pub now_ms: u64,
}

/// Role of a member in its term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Follows a leader or waits for one to be elected.
    Follower,
    /// Requests pre-votes to find out whether it could win an election.
    PreCandidate,
    /// Requests votes.
    Candidate,
    /// Leads the quorum in its term.
    Leader,
}

/// Error of a call that only the leader accepts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotLeader {
    /// The leader, if the member knows it.
    pub leader: Option<u32>,
}

/// A batch of records that the driver has not made durable yet.
#[derive(Debug)]
pub(super) struct PendingPersist {
    pub number: u64,
    pub last_index: u64,
    pub last_term: u64,
}

/// Another member that leads or has led, and the time of its latest message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeardLeader {
    /// Id of the member.
    pub member: u32,
    /// Time of its latest message in milliseconds.
    pub heard_ms: u64,
}

/// A read that waits until a quorum has answered its heartbeat round.
#[derive(Debug)]
pub(super) struct PendingRead {
    pub ticket: ReadTicket,
    pub round: u64,
    pub index: u64,
}

/// One member of the quorum.
#[derive(Debug)]
pub struct Raft {
    pub(super) options: Options,
    pub(super) member: u32,
    pub(super) role: Role,
    pub(super) hard_state: HardState,
    pub(super) may_vote: bool,
    /// Term in which this member has voted with an empty log, or was elected so, without the right to vote otherwise.
    pub(super) founding_term: Option<u64>,
    /// Number that this start of the member has chosen. A leader's confirmation that names it was made after the start.
    pub(super) nonce: u64,
    /// What this member has to reach before it may vote, if its leader is of a version that confirms nothing.
    pub(super) catch_up: Option<CatchUp>,
    pub(super) log: Log,
    pub(super) commit_index: u64,
    /// Index up to which committed entries were handed to the driver.
    emitted_index: u64,
    pub(super) durable_index: u64,
    pub(super) leader: Option<u32>,
    pub(super) now_ms: u64,
    pub(super) election_due_ms: u64,
    pub(super) heard_leader: Option<HeardLeader>,
    pub(super) votes: BTreeSet<u32>,
    pub(super) progress: BTreeMap<u32, Progress>,
    pub(super) round: u64,
    pub(super) heartbeat_due_ms: u64,
    pub(super) pending_reads: Vec<PendingRead>,
    pub(super) snapshot: Option<Snapshot>,
    pending_persists: VecDeque<PendingPersist>,
    persist_number: u64,
    random: fastrand::Rng,
    pub(super) output: Output,
}

impl Raft {
    /// Starts a member as a follower.
    pub fn new(options: Options, initial: InitialState) -> Raft {
        let nonce = choose_nonce(&initial);
        let (index, term, members) = match &initial.snapshot {
            Some(it) => (it.last_index, it.last_term, it.members.clone()),
            None => (0, 0, initial.members),
        };
        let log = Log::new(index, term, members, initial.entries);
        let mut raft = Raft {
            options,
            member: initial.member,
            role: Role::Follower,
            hard_state: initial.hard_state,
            may_vote: initial.may_vote || !options.abstain_when_empty,
            founding_term: None,
            nonce,
            catch_up: None,
            durable_index: log.last_index(),
            log,
            commit_index: index,
            emitted_index: index,
            leader: None,
            now_ms: initial.now_ms,
            election_due_ms: 0,
            heard_leader: None,
            votes: BTreeSet::new(),
            progress: BTreeMap::new(),
            round: 0,
            heartbeat_due_ms: 0,
            pending_reads: Vec::new(),
            snapshot: initial.snapshot,
            pending_persists: VecDeque::new(),
            persist_number: 0,
            random: fastrand::Rng::with_seed(initial.seed ^ member_salt(initial.member)),
            output: Output::default(),
        };
        raft.set_first_election_timer();
        raft
    }

    /// Role in the current term.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Current term.
    pub fn term(&self) -> u64 {
        self.hard_state.term
    }

    /// Current term and vote; durable once the driver has persisted them.
    pub fn hard_state(&self) -> HardState {
        self.hard_state
    }

    /// Whether the member may vote.
    pub fn may_vote(&self) -> bool {
        self.may_vote
    }

    /// Leader of the current term, if known.
    pub fn leader(&self) -> Option<u32> {
        self.leader
    }

    /// Index up to which entries are committed.
    pub fn commit_index(&self) -> u64 {
        self.commit_index
    }

    /// Time of the latest input, in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.now_ms
    }

    /// Other member from which the latest message of a leader came.
    pub fn heard_leader(&self) -> Option<HeardLeader> {
        self.heard_leader
    }

    /// The log.
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// Current members, as set by the latest entry that sets them.
    pub fn members(&self) -> &MemberSet {
        self.log.members().0
    }

    /// Advances the time and runs the timers that are due.
    pub fn tick(&mut self, now_ms: u64) {
        self.now_ms = self.now_ms.max(now_ms);
        match self.role {
            Role::Leader => self.tick_leader(),
            Role::Follower | Role::PreCandidate | Role::Candidate => self.tick_election(),
        }
    }

    /// Handles a message from another member.
    pub fn receive(&mut self, message: Message, now_ms: u64) {
        self.now_ms = self.now_ms.max(now_ms);
        self.adopt_higher_term(&message);
        match message {
            Message::VoteRequest(it) => self.on_vote_request(it),
            Message::VoteReply(it) => self.on_vote_reply(it),
            Message::Append(it) => self.on_append(it),
            Message::InstallSnapshot(it) => self.on_install_snapshot(it),
            Message::AppendReply(it) => self.on_append_reply(it),
        }
    }

    /// Becomes a follower in the term of a message if that term is higher.
    fn adopt_higher_term(&mut self, message: &Message) {
        let is_non_binding = match message {
            Message::VoteRequest(it) => it.pre_vote,
            Message::VoteReply(it) => it.pre_vote && it.granted,
            Message::Append(_) | Message::AppendReply(_) | Message::InstallSnapshot(_) => false,
        };
        if is_non_binding || message.term() <= self.hard_state.term {
            return;
        }
        // A vote request from a cut-off member must not depose a leader that still has contact with a quorum.
        if let Message::VoteRequest(_) = message
            && self.has_live_leader()
        {
            return;
        }
        self.become_follower(message.term(), None);
    }

    /// Proposes a command and returns the term and index of its entry; a later output reports that it is committed.
    pub fn propose(&mut self, command: Vec<u8>) -> Result<(u64, u64), NotLeader> {
        self.propose_payload(Payload::Command(command))
    }

    /// Proposes a new member set. It may differ in at most one voter, and the previous change must be committed;
    /// otherwise the result is `None`.
    pub fn propose_members(&mut self, members: MemberSet) -> Result<Option<(u64, u64)>, NotLeader> {
        self.check_is_leader()?;
        let (current, index) = self.log.members();
        let is_settled = index <= self.commit_index && self.has_committed_in_term();
        if !is_settled || current.changed_voter_count(&members) > 1 || members.voters.is_empty() {
            return Ok(None);
        }
        let position = self.propose_payload(Payload::Members(members))?;
        self.refresh_progress();
        Ok(Some(position))
    }

    fn propose_payload(&mut self, payload: Payload) -> Result<(u64, u64), NotLeader> {
        self.check_is_leader()?;
        let entry =
            LogEntry { term: self.hard_state.term, index: self.log.last_index() + 1, payload };
        let position = (entry.term, entry.index);
        self.append_entry(entry);
        Ok(position)
    }

    fn check_is_leader(&self) -> Result<(), NotLeader> {
        match self.role {
            Role::Leader => Ok(()),
            Role::Follower | Role::PreCandidate | Role::Candidate => {
                Err(NotLeader { leader: self.leader })
            }
        }
    }

    /// Requests a read index: a state machine that has applied it has seen all that was committed before the call.
    pub fn read(&mut self, ticket: ReadTicket) -> Result<(), NotLeader> {
        self.check_is_leader()?;
        if !self.options.confirm_reads {
            self.output.confirmed_reads.push((ticket, self.commit_index));
            return Ok(());
        }
        self.pending_reads.push(PendingRead { ticket, round: self.round + 1, index: 0 });
        Ok(())
    }

    /// Records that the driver has made everything up to an output's `persist_number` durable.
    pub fn persisted(&mut self, number: u64) {
        while let Some(first) = self.pending_persists.front() {
            if first.number > number {
                break;
            }
            let (last_index, last_term) = (first.last_index, first.last_term);
            self.pending_persists.pop_front();
            if self.log.term_at(last_index) == Some(last_term) {
                self.durable_index = self.durable_index.max(last_index);
            }
        }
        if self.role == Role::Leader {
            self.advance_commit();
        }
    }

    /// Removes the entries that a snapshot of the driver's state machine covers; the driver makes the snapshot and
    /// the shortened log durable.
    pub fn compact(&mut self, snapshot: Snapshot) {
        self.log.compact(snapshot.last_index);
        self.snapshot = Some(snapshot);
    }

    /// Returns the actions that have accumulated for the driver since the last call.
    pub fn take_output(&mut self) -> Output {
        if self.role == Role::Leader {
            self.replicate();
        }
        self.emit_committed();
        if self.output.install.is_some() {
            // The driver rewrites term, vote and all entries together with the snapshot.
            self.output.records.clear();
        }
        let has_records = !self.output.records.is_empty() || self.output.install.is_some();
        if has_records {
            self.persist_number += 1;
            self.output.persist_number = self.persist_number;
            self.pending_persists.push_back(PendingPersist {
                number: self.persist_number,
                last_index: self.log.last_index(),
                last_term: self.log.last_term(),
            });
        }
        std::mem::take(&mut self.output)
    }

    fn emit_committed(&mut self) {
        while self.emitted_index < self.commit_index {
            let Some(entry) = self.log.entry(self.emitted_index + 1) else {
                break;
            };
            self.output.committed.push(entry.clone());
            self.emitted_index += 1;
        }
    }

    /// Marks the entries up to an index as committed, emitted and durable because a snapshot covers them.
    pub(super) fn skip_committed_to(&mut self, index: u64) {
        self.commit_index = self.commit_index.max(index);
        self.emitted_index = self.emitted_index.max(index);
        self.durable_index = self.durable_index.max(index);
    }

    pub(super) fn nothing_to_persist(&self) -> bool {
        self.output.records.is_empty()
            && self.output.install.is_none()
            && self.pending_persists.is_empty()
    }

    pub(super) fn append_entry(&mut self, entry: LogEntry) {
        self.output.records.push(WalRecord::Entry(entry.clone()));
        self.log.push(entry);
    }

    pub(super) fn save_hard_state(&mut self) {
        self.output.records.push(WalRecord::HardState(self.hard_state));
    }

    pub(super) fn send_now(&mut self, to: u32, message: Message) {
        self.output.now.push(Outbound { to, message });
    }

    pub(super) fn send_after_sync(&mut self, to: u32, message: Message) {
        self.output.after_sync.push(Outbound { to, message });
    }

    pub(super) fn become_follower(&mut self, term: u64, leader: Option<u32>) {
        if term > self.hard_state.term {
            // The leader is recorded as voted for, so that the member does not vote again in this term.
            self.hard_state = HardState { term, vote: leader };
            self.save_hard_state();
        }
        if self.role == Role::Leader {
            let failed = self.pending_reads.drain(..).map(|it| it.ticket);
            self.output.failed_reads.extend(failed);
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.reset_election_timer();
    }

    /// Whether this member leads or heard from its leader within one election timeout; false if pre-vote is off.
    pub(super) fn has_live_leader(&self) -> bool {
        let is_leader = self.role == Role::Leader;
        let election_ms = self.options.election_ms;
        let has_heard = self.heard_leader.is_some_and(|it| it.heard_ms + election_ms > self.now_ms);
        self.options.pre_vote && (is_leader || (self.leader.is_some() && has_heard))
    }

    /// Handles a report that the process of a member has ended. If that member was the leader, the next election
    /// starts without waiting for the election timeout. A wrong report costs one refused pre-vote.
    pub fn peer_ended(&mut self, member: u32, now_ms: u64) {
        self.now_ms = self.now_ms.max(now_ms);
        self.leader_ended(member);
    }

    /// Shortens the time until the next election if the member is the leader that this member follows.
    pub(super) fn leader_ended(&mut self, member: u32) {
        if self.role != Role::Follower || self.leader != Some(member) {
            return;
        }
        self.leader = None;
        if self.is_voter() {
            let pause_ms = self.options.election_ms / LEADER_END_PAUSE_DIVISOR;
            self.election_due_ms = self.now_ms + pause_ms + self.stagger_ms(Some(member));
        }
    }

    /// Delay of this member's election that gives precedence to the voters with lower ids, except one that has ended.
    fn stagger_ms(&self, ended: Option<u32>) -> u64 {
        let voters = self.members().voters.keys().filter(|it| Some(**it) != ended);
        let before = voters.take_while(|it| **it < self.member).count() as u64;
        before * self.options.election_ms / STAGGER_DIVISOR
    }

    /// Sets the first election timeout. A voter that starts with a log requests votes early: if there is a live
    /// leader, the others refuse, and if all members have just started, there is no leader. A member without a log
    /// waits for the usual timeout so that the others can find each other.
    fn set_first_election_timer(&mut self) {
        self.reset_election_timer();
        if self.is_voter() && self.log.last_index() > 0 {
            let pause_ms = self.options.election_ms / STAGGER_DIVISOR;
            self.election_due_ms = self.now_ms + pause_ms + self.stagger_ms(None);
        }
    }

    pub(super) fn reset_election_timer(&mut self) {
        let election_ms = self.options.election_ms;
        let jitter_ms = self.random.u64(0..election_ms.max(1));
        let wait_ms = match self.is_voter() {
            true => election_ms,
            false => NON_VOTER_FACTOR * election_ms,
        };
        self.election_due_ms = self.now_ms + wait_ms + jitter_ms;
    }

    fn is_voter(&self) -> bool {
        self.members().voters.contains_key(&self.member)
    }
}

/// Returns a number other than 0 that no other start of this member has.
fn choose_nonce(initial: &InitialState) -> u64 {
    fastrand::Rng::with_seed(initial.seed ^ member_salt(initial.member) ^ initial.now_ms).u64(1..)
}

/// Salt for a member's seed that makes its timeouts differ from those of others even when their seeds are equal or
/// differ in the same way as their ids. Members that always time out together would split every vote.
fn member_salt(member: u32) -> u64 {
    (u64::from(member) + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15)
}
