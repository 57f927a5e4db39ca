//! Handle through which other tasks reach a running control node.

use std::sync::Arc;

use bilberryloft_coordination::loss_tolerance::LossTolerance;
use bilberryloft_coordination::raft::Message;
use bilberryloft_state::error::Result;
use bilberryloft_state::member_set::MemberSet;
use bilberryloft_state::membership::TargetDescription;
use bilberryloft_state::snapshot::Snapshot;
use bilberryloft_state::state_machine::Command;
use bilberryloft_state::state_machine::Outcome;
use bilberryloft_state::state_machine::StateMachine;
use parking_lot::Mutex;
use parking_lot::MutexGuard;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

/// Reason why a proposal or read got no outcome.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProposeError {
    /// This member is not the leader; nothing was proposed.
    NotLeader {
        /// Peer address of the leader, if known.
        leader_address: Option<String>,
    },
    /// The member lost its leadership or its disk before the outcome was known; a proposal may still be committed.
    Lost,
    /// The quorum has just been founded, and hosts that are there are no voters yet; nothing was proposed.
    Founding {
        /// Number of voters.
        voters: usize,
        /// Number of voters that the quorum is meant to have.
        wanted: usize,
    },
    /// The member has stopped, or is recovering from a disk failure.
    Stopped,
}

/// Channel on which the node replies to one request.
pub(super) type Reply<T> = oneshot::Sender<std::result::Result<T, ProposeError>>;

/// An event or request for the loop of a control node.
#[derive(Debug)]
pub(super) enum Input {
    SnapshotWritten {
        /// Value of [`ControlNode::opening`](super::ControlNode) when the snapshot was started.
        opening: u64,
        written: Result<Snapshot>,
    },
    Peer {
        message: Message,
        sender_address: Option<String>,
    },
    PeerEnded {
        member: u32,
    },
    Propose {
        command: Command,
        reply: Reply<Outcome>,
    },
    ChangeMembers {
        members: MemberSet,
        reply: Reply<bool>,
    },
    Read {
        reply: Reply<u64>,
    },
    Join {
        member: u32,
        address: String,
        is_leaving: bool,
        reply: Reply<bool>,
    },
    Announce {
        name: String,
        incarnation: u64,
        description: TargetDescription,
        leaving: bool,
        reply: Reply<u64>,
    },
}

/// Versions of the applied state, for which watchers wait.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AppliedVersions {
    /// Index of the last applied log entry.
    pub index: u64,
    /// Configuration version.
    pub configuration: u64,
    /// Version of the target membership.
    pub membership: u64,
    /// Version of the set of suspect requests.
    pub suspects: u64,
    /// Version of the document of routes and services.
    pub document: Option<u64>,
    /// Version of the evacuations of data centres.
    pub evacuations: u64,
}

/// State of a member within the quorum.
#[derive(Clone, Debug, Default)]
pub struct QuorumStatus {
    /// Peer address of the leader, if known.
    pub leader_address: Option<String>,
    /// Whether this member is the leader.
    pub leads: bool,
    /// Current term.
    pub term: u64,
    /// Index of the last committed log entry.
    pub commit_index: u64,
    /// Whether this member may vote; a member that lost its disk may not vote until it has caught up.
    pub may_vote: bool,
    /// Current members.
    pub members: MemberSet,
    /// Losses that the quorum tolerates, if this member is the leader.
    pub loss_tolerance: Option<LossTolerance>,
}

impl QuorumStatus {
    /// Returns the peer addresses of all voters and learners.
    pub fn addresses(&self) -> Vec<String> {
        self.members.voters.values().chain(self.members.learners.values()).cloned().collect()
    }
}

/// Handle to a running control node; clones refer to the same node.
#[derive(Clone, Debug)]
pub struct ControlHandle {
    pub(super) inputs: mpsc::Sender<Input>,
    pub(super) machine: Arc<Mutex<StateMachine>>,
    pub(super) applied: watch::Receiver<AppliedVersions>,
    pub(super) status: watch::Receiver<QuorumStatus>,
}

impl ControlHandle {
    /// Locks the replicated state as this member has applied it.
    pub fn machine(&self) -> MutexGuard<'_, StateMachine> {
        self.machine.lock()
    }

    /// Subscribes to the versions of the applied state.
    pub fn applied(&self) -> watch::Receiver<AppliedVersions> {
        self.applied.clone()
    }

    /// Returns the state of this member within the quorum.
    pub fn status(&self) -> QuorumStatus {
        self.status.borrow().clone()
    }

    /// Subscribes to the state of this member within the quorum.
    pub fn status_changes(&self) -> watch::Receiver<QuorumStatus> {
        self.status.clone()
    }

    /// Passes a Raft message from another member to the node.
    pub async fn receive(&self, message: Message, sender_address: Option<String>) {
        // Sending fails only when the node has stopped; a stopped node needs no messages.
        let _ = self.inputs.send(Input::Peer { message, sender_address }).await;
    }

    /// Proposes a command and waits until this member has applied it.
    pub async fn propose(&self, command: Command) -> std::result::Result<Outcome, ProposeError> {
        self.request(|reply| Input::Propose { command, reply }).await
    }

    /// Proposes a new set of members; returns false when another change is in progress or more than one
    /// voter differs.
    pub async fn change_members(
        &self,
        members: MemberSet,
    ) -> std::result::Result<bool, ProposeError> {
        self.request(|reply| Input::ChangeMembers { members, reply }).await
    }

    /// Reports to the leader that a host which can become a member is alive, or that its process is stopping. Returns
    /// whether the quorum doesn't need the host any more.
    pub async fn join(
        &self,
        member: u32,
        address: String,
        is_leaving: bool,
    ) -> std::result::Result<bool, ProposeError> {
        self.request(|reply| Input::Join { member, address, is_leaving, reply }).await
    }

    /// Returns a commit index that a quorum has confirmed, for a linearizable read.
    pub async fn read_index(&self) -> std::result::Result<u64, ProposeError> {
        self.request(|reply| Input::Read { reply }).await
    }

    /// Renews the lease of a target and registers the target if its incarnation or description is new; with
    /// `leaving`, marks the target as unreachable. Returns the registered incarnation.
    pub async fn announce(
        &self,
        name: String,
        incarnation: u64,
        description: TargetDescription,
        leaving: bool,
    ) -> std::result::Result<u64, ProposeError> {
        self.request(|reply| Input::Announce { name, incarnation, description, leaving, reply })
            .await
    }

    async fn request<T>(
        &self,
        input: impl FnOnce(Reply<T>) -> Input,
    ) -> std::result::Result<T, ProposeError> {
        let (reply, response) = oneshot::channel();
        self.inputs.send(input(reply)).await.map_err(|_| ProposeError::Stopped)?;
        response.await.map_err(|_| ProposeError::Stopped)?
    }
}

/// Where the outcome of a proposal goes once its log entry is applied.
pub(super) enum PendingReply {
    Outcome(Reply<Outcome>),
    Members(Reply<bool>),
    Announce(Reply<u64>, u64),
    Discard,
}

impl PendingReply {
    pub fn finish(self, result: std::result::Result<Outcome, ProposeError>) {
        // Sending fails only when the caller no longer waits for the reply.
        match self {
            PendingReply::Outcome(reply) => drop(reply.send(result)),
            PendingReply::Members(reply) => drop(reply.send(result.map(|_| true))),
            PendingReply::Announce(reply, incarnation) => {
                drop(reply.send(result.map(|_| incarnation)))
            }
            PendingReply::Discard => {}
        }
    }
}
