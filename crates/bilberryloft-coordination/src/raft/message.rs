//! Raft messages between the members of one quorum.

use bilberryloft_state::snapshot::Snapshot;
use bilberryloft_state::wal::LogEntry;

/// Request for a vote or a pre-vote.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VoteRequest {
    /// Term of the election that the candidate wants to win.
    pub term: u64,
    /// Member that requests the vote.
    pub candidate: u32,
    /// Index of the candidate's last log entry.
    pub last_index: u64,
    /// Term of the candidate's last log entry.
    pub last_term: u64,
    /// Whether this is a pre-vote, which is not binding.
    pub pre_vote: bool,
}

/// Answer to a [`VoteRequest`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VoteReply {
    /// Term of the voter; for a granted vote or pre-vote, the requested term.
    pub term: u64,
    /// Member that answers the request.
    pub voter: u32,
    /// Whether the vote is granted.
    pub granted: bool,
    /// Whether this answers a pre-vote.
    pub pre_vote: bool,
}

/// Confirmation of a leader that a member which has lost its disk may vote again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Recovery {
    /// Number that the start of the member has chosen; 0 if the leader confirms nothing.
    pub nonce: u64,
    /// Index up to which the member's log must match the leader's. The entry there was appended after the leader got the
    /// number, and a majority of the voters that may vote holds it.
    pub index: u64,
}

/// New log entries, or none for a heartbeat.
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
    /// New entries in log order.
    pub entries: Vec<LogEntry>,
    /// Index up to which the leader has committed entries.
    pub commit_index: u64,
    /// Index of the leader's last entry.
    pub last_index: u64,
    /// Number of the heartbeat round, returned in the answer.
    pub round: u64,
    /// What the leader confirms to a receiver that may not vote; `None` from leaders of an earlier version.
    pub recovery: Option<Recovery>,
}

/// Answer to an [`Append`] or an [`InstallSnapshot`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AppendReply {
    /// Term of the follower.
    pub term: u64,
    /// The follower.
    pub follower: u32,
    /// Whether the follower's log matched the entry before the new ones.
    pub success: bool,
    /// On success, the last matching index; otherwise, the index that the leader should try next.
    pub match_index: u64,
    /// Round of the message that is answered.
    pub round: u64,
    /// Whether the follower may vote: it may not between the loss of its disk and the end of its catch-up.
    pub may_vote: bool,
    /// Number of the follower's start, if it may not vote; `None` from followers of an earlier version, too.
    pub nonce: Option<u64>,
}

/// Snapshot for a follower that lacks entries which the leader has already compacted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstallSnapshot {
    /// Term of the leader.
    pub term: u64,
    /// The leader.
    pub leader: u32,
    /// The snapshot.
    pub snapshot: Snapshot,
    /// Index of the leader's last entry.
    pub last_index: u64,
    /// Number of the heartbeat round.
    pub round: u64,
}

/// A Raft message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// Requests a vote or a pre-vote.
    VoteRequest(VoteRequest),
    /// Answers a vote request.
    VoteReply(VoteReply),
    /// Sends entries or a heartbeat.
    Append(Append),
    /// Answers an append or a snapshot.
    AppendReply(AppendReply),
    /// Sends a snapshot.
    InstallSnapshot(InstallSnapshot),
}

impl Message {
    /// Id of the member that sent the message.
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
