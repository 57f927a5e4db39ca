//! Messages between members of one quorum.

use bilberryloft_state::snapshot::Snapshot;
use bilberryloft_state::wal::LogEntry;

/// Asks for a vote, or whether a vote would be given.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VoteRequest {
    /// Term of the wished election.
    pub term: u64,
    /// Member that asks.
    pub candidate: u32,
    /// Index of its last entry.
    pub last_index: u64,
    /// Term of its last entry.
    pub last_term: u64,
    /// Whether this only asks and binds nobody.
    pub pre_vote: bool,
}

/// Answer to a [`VoteRequest`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VoteReply {
    /// Term of the answer; for a granted pre-vote the wished term.
    pub term: u64,
    /// Member that answers.
    pub voter: u32,
    /// Whether the vote is given.
    pub granted: bool,
    /// Whether it answers a pre-vote.
    pub pre_vote: bool,
}

/// New entries, or none as a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Append {
    /// Term of the leader.
    pub term: u64,
    /// The leader.
    pub leader: u32,
    /// Index of the entry before the new ones.
    pub previous_index: u64,
    /// Term of that entry.
    pub previous_term: u64,
    /// New entries in order.
    pub entries: Vec<LogEntry>,
    /// Index up to which entries are committed.
    pub commit_index: u64,
    /// Index of the leader's last entry.
    pub last_index: u64,
    /// Number of the heartbeat round, echoed by the answer.
    pub round: u64,
}

/// Answer to an [`Append`] or an [`InstallSnapshot`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AppendReply {
    /// Term of the follower.
    pub term: u64,
    /// The follower.
    pub follower: u32,
    /// Whether the entry before the new ones matched.
    pub success: bool,
    /// On success the last matching index, else the index to try next.
    pub match_index: u64,
    /// Round of the message that is answered.
    pub round: u64,
}

/// State for a follower that lags behind the leader's first entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstallSnapshot {
    /// Term of the leader.
    pub term: u64,
    /// The leader.
    pub leader: u32,
    /// The state.
    pub snapshot: Snapshot,
    /// Index of the leader's last entry.
    pub last_index: u64,
    /// Number of the heartbeat round.
    pub round: u64,
}

/// One message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// Asks for a vote.
    VoteRequest(VoteRequest),
    /// Answers a vote request.
    VoteReply(VoteReply),
    /// Sends entries or a heartbeat.
    Append(Append),
    /// Answers entries or a snapshot.
    AppendReply(AppendReply),
    /// Sends a snapshot.
    InstallSnapshot(InstallSnapshot),
}

impl Message {
    /// Number of the member that sent it.
    pub fn sender(&self) -> u32 {
        match self {
            Message::VoteRequest(it) => it.candidate,
            Message::VoteReply(it) => it.voter,
            Message::Append(it) => it.leader,
            Message::AppendReply(it) => it.follower,
            Message::InstallSnapshot(it) => it.leader,
        }
    }

    /// Term of the sender.
    pub fn term(&self) -> u64 {
        match self {
            Message::VoteRequest(it) => it.term,
            Message::VoteReply(it) => it.term,
            Message::Append(it) => it.term,
            Message::AppendReply(it) => it.term,
            Message::InstallSnapshot(it) => it.term,
        }
    }
}
