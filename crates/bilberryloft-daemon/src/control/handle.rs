//! Access to a running control node from other tasks.

use std::sync::Arc;

use bilberryloft_coordination::raft::Message;
use bilberryloft_state::error::Result;
use bilberryloft_state::machine::Command;
use bilberryloft_state::machine::Machine;
use bilberryloft_state::machine::Outcome;
use bilberryloft_state::member_set::MemberSet;
use bilberryloft_state::membership::TargetDescription;
use bilberryloft_state::snapshot::Snapshot;
use parking_lot::Mutex;
use parking_lot::MutexGuard;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

/// Why a proposal or read got no outcome.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProposeError {
    /// This member does not lead; nothing was proposed.
    NotLeader {
        /// Peer address of the leader, if known.
        leader_address: Option<String>,
    },
    /// The member stopped leading before the outcome was known.
    Lost,
    /// The member stops, or its disk failed.
    Stopped,
}

pub(super) type Reply<T> = oneshot::Sender<std::result::Result<T, ProposeError>>;

#[derive(Debug)]
pub(super) enum Input {
    SnapshotWritten(Result<Snapshot>),
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
        reply: Reply<()>,
    },
    Announce {
        name: String,
        incarnation: u64,
        description: TargetDescription,
        leaving: bool,
        reply: Reply<u64>,
    },
}

/// Versions that watchers wait for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Applied {
    /// Index of the last applied entry.
    pub index: u64,
    /// Configuration version.
    pub configuration: u64,
    /// Membership version.
    pub membership: u64,
    /// Version of the suspects.
    pub suspects: u64,
    /// Version of the document.
    pub document: u64,
}

/// What a member says of its part in the quorum.
#[derive(Clone, Debug, Default)]
pub struct QuorumStatus {
    /// Address of the leader.
    pub leader_address: Option<String>,
    /// Whether this member leads.
    pub leads: bool,
    /// Term.
    pub term: u64,
    /// Commit index.
    pub commit_index: u64,
    /// Whether this member may vote; one that lost its disk may not until it has caught up.
    pub may_vote: bool,
    /// Members in force.
    pub members: MemberSet,
}

impl QuorumStatus {
    /// Peer addresses of all members.
    pub fn addresses(&self) -> Vec<String> {
        self.members.voters.values().chain(self.members.learners.values()).cloned().collect()
    }
}

/// Access to a running control node; clones reach the same node.
#[derive(Clone, Debug)]
pub struct ControlHandle {
    pub(super) inputs: mpsc::Sender<Input>,
    pub(super) machine: Arc<Mutex<Machine>>,
    pub(super) applied: watch::Receiver<Applied>,
    pub(super) status: watch::Receiver<QuorumStatus>,
}

impl ControlHandle {
    /// The replicated state as this member has applied it.
    pub fn machine(&self) -> MutexGuard<'_, Machine> {
        self.machine.lock()
    }

    /// Versions as they grow.
    pub fn applied(&self) -> watch::Receiver<Applied> {
        self.applied.clone()
    }

    /// Part in the quorum.
    pub fn status(&self) -> QuorumStatus {
        self.status.borrow().clone()
    }

    /// Hands over a message from another member.
    pub async fn receive(&self, message: Message, sender_address: Option<String>) {
        // A node that has stopped needs no messages.
        let _ = self.inputs.send(Input::Peer { message, sender_address }).await;
    }

    /// Proposes a command and waits until it is applied here.
    pub async fn propose(&self, command: Command) -> std::result::Result<Outcome, ProposeError> {
        self.ask(|reply| Input::Propose { command, reply }).await
    }

    /// Proposes other members; false when another change is under way or more than one voter differs.
    pub async fn change_members(
        &self,
        members: MemberSet,
    ) -> std::result::Result<bool, ProposeError> {
        self.ask(|reply| Input::ChangeMembers { members, reply }).await
    }

    /// Tells the leader that a host which can be a member is alive.
    pub async fn join(
        &self,
        member: u32,
        address: String,
    ) -> std::result::Result<(), ProposeError> {
        self.ask(|reply| Input::Join { member, address, reply }).await
    }

    /// Gets an index that a quorum has confirmed.
    pub async fn read_index(&self) -> std::result::Result<u64, ProposeError> {
        self.ask(|reply| Input::Read { reply }).await
    }

    /// Renews a target's lease, and records the target when there is news; returns its known incarnation.
    pub async fn announce(
        &self,
        name: String,
        incarnation: u64,
        description: TargetDescription,
        leaving: bool,
    ) -> std::result::Result<u64, ProposeError> {
        self.ask(|reply| Input::Announce { name, incarnation, description, leaving, reply }).await
    }

    async fn ask<T>(
        &self,
        input: impl FnOnce(Reply<T>) -> Input,
    ) -> std::result::Result<T, ProposeError> {
        let (reply, answer) = oneshot::channel();
        self.inputs.send(input(reply)).await.map_err(|_| ProposeError::Stopped)?;
        answer.await.map_err(|_| ProposeError::Stopped)?
    }
}

pub(super) enum PendingReply {
    Outcome(Reply<Outcome>),
    Members(Reply<bool>),
    Announce(Reply<u64>, u64),
    Nobody,
}

impl PendingReply {
    pub fn finish(self, result: std::result::Result<Outcome, ProposeError>) {
        // A receiver that has gone away needs no answer.
        match self {
            PendingReply::Outcome(reply) => drop(reply.send(result)),
            PendingReply::Members(reply) => drop(reply.send(result.map(|_| true))),
            PendingReply::Announce(reply, incarnation) => {
                drop(reply.send(result.map(|_| incarnation)))
            }
            PendingReply::Nobody => {}
        }
    }
}
