//! Automatic membership changes: hosts that ask to join, and the changes that the leader proposes.

use bilberryloft_coordination::loss_tolerance::LossTolerance;
use bilberryloft_coordination::raft::Role;
use bilberryloft_state::state_machine::Command;

use crate::control::handle::PendingReply;
use crate::control::handle::ProposeError;
use crate::control::handle::Reply;
use crate::control::node::ControlNode;
use crate::control::node::Pending;
use crate::events::Event;
use crate::log_event;

/// Time between two assessments of the losses that the quorum tolerates, in milliseconds.
const ASSESSMENT_INTERVAL_MS: u64 = 100;

/// Latest assessment of the losses that the quorum tolerates.
#[derive(Debug, Default)]
pub(super) struct Assessment {
    /// The losses, if this member leads the quorum.
    pub loss_tolerance: Option<LossTolerance>,
    /// Time of the next assessment, in milliseconds.
    due_ms: u64,
}

impl ControlNode {
    /// Records that a host which can become a member is alive or leaving, and replies whether the quorum doesn't need it
    /// any more; only the leader accepts this.
    pub(super) fn join(
        &mut self,
        member: u32,
        address: String,
        is_leaving: bool,
        reply: Reply<bool>,
    ) {
        if self.raft.role() != Role::Leader {
            return drop(reply.send(Err(self.not_leader())));
        }
        let now_ms = self.raft.now_ms();
        if !is_leaving {
            self.member_planner.note_alive(member, address, now_ms);
            return drop(reply.send(Ok(false)));
        }
        if !self.member_planner.is_leaving(member) {
            log_event!(info, Event::MemberLeaving, member, address);
        }
        self.member_planner.note_leaving(member, address, now_ms);
        let _ = reply.send(Ok(self.may_stop(member)));
    }

    /// Proposes a command, unless it is the first one that operators rely on and the quorum is still being founded: it
    /// would be lost with as many disks as the quorum tolerates later.
    pub(super) fn propose_for_caller(&mut self, command: Command, reply: PendingReply) {
        let is_order = matches!(command, Command::PutDocument(_) | Command::Evacuate(_));
        if is_order && self.is_being_founded() {
            let voters = self.raft.members().voters.len();
            let wanted = self.settings.voters_wanted;
            if !self.has_held_document {
                log_event!(info, Event::FirstDocumentHeld, voters, wanted);
            }
            self.has_held_document = true;
            return reply.finish(Err(ProposeError::Founding { voters, wanted }));
        }
        self.propose(command, reply);
    }

    /// Whether this member leads a quorum without a document to which hosts that are there don't belong yet.
    fn is_being_founded(&self) -> bool {
        let leads = self.raft.role() == Role::Leader;
        let is_complete =
            || self.member_planner.is_complete(self.raft.members(), self.raft.now_ms());
        leads && self.lock_machine().document.document().is_none() && !is_complete()
    }

    /// Assesses periodically how many losses the quorum tolerates, if this member leads it, and logs each change.
    pub(super) fn assess_loss_tolerance(&mut self) {
        if self.raft.role() != Role::Leader {
            self.assessment.loss_tolerance = None;
            return;
        }
        // Until its first commit, a new leader has not heard from the other members.
        let now_ms = self.raft.now_ms();
        if !self.raft.has_committed_in_term() || now_ms < self.assessment.due_ms {
            return;
        }
        self.assessment.due_ms = now_ms + ASSESSMENT_INTERVAL_MS;
        let (raft, voters_wanted) = (&self.raft, self.settings.voters_wanted);
        let is_in_sync = |member: u32| raft.is_in_sync(member);
        let found = LossTolerance::assess(raft.members(), voters_wanted, is_in_sync);
        if self.assessment.loss_tolerance.as_ref() == Some(&found) {
            return;
        }
        log_loss_tolerance(&found);
        self.assessment.loss_tolerance = Some(found);
    }

    /// Whether the process of a leaving host may end, by the committed members.
    fn may_stop(&self, member: u32) -> bool {
        let (members, index) = self.raft.log().members();
        let is_committed = index <= self.raft.commit_index();
        is_committed && self.member_planner.may_stop(member, members, self.raft.now_ms())
    }

    /// Proposes the next change of a single member, if this member leads and a change is due.
    pub(super) fn reconcile_members(&mut self) {
        if self.raft.role() != Role::Leader {
            return;
        }
        let raft = &self.raft;
        let is_in_sync = |member: u32| raft.is_in_sync(member);
        let next = self.member_planner.next_members(raft.members(), is_in_sync, raft.now_ms());
        let Some(members) = next else {
            return;
        };
        if let Ok(Some((term, index))) = self.raft.propose_members(members.clone()) {
            log_event!(info, Event::MembersPlanned, ?members, index);
            self.pending.insert(index, Pending { term, reply: PendingReply::Discard });
            self.peers.update(&self.raft.members().clone());
        }
    }
}

fn log_loss_tolerance(found: &LossTolerance) {
    let LossTolerance { tolerated, wanted, out_of_sync, missing_voters } = found;
    match found.is_short() {
        true => log_event!(
            warn,
            Event::LossToleranceChanged,
            tolerated,
            wanted,
            ?out_of_sync,
            missing_voters
        ),
        false => log_event!(info, Event::LossToleranceChanged, tolerated, wanted),
    }
}
