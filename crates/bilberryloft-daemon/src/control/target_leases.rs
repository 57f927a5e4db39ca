//! Leases of targets, held by the leader of the quorum.

use bilberryloft_coordination::raft::Role;
use bilberryloft_state::membership::TargetDescription;
use bilberryloft_state::state_machine::Command;
use bilberryloft_transport::clock::epoch_ms;
use bilberryloft_transport::clock::monotonic_ms;

use crate::control::handle::PendingReply;
use crate::control::handle::ProposeError;
use crate::control::handle::Reply;
use crate::control::node::ControlNode;
use crate::events::Event;
use crate::log_event;

impl ControlNode {
    /// Handles an announcement: renews the target's lease, and proposes its registration or loss if needed.
    pub(super) fn announce(
        &mut self,
        name: String,
        incarnation: u64,
        description: TargetDescription,
        leaving: bool,
        reply: Reply<u64>,
    ) {
        if self.raft.role() != Role::Leader {
            return self.reject(PendingReply::Announce(reply, 0));
        }
        let (known_incarnation, has_changed) = {
            let machine = self.lock_machine();
            let known_incarnation =
                machine.membership.targets().get(&name).map_or(0, |it| it.incarnation);
            let is_change =
                machine.membership.is_change(&name, incarnation, &description, epoch_ms());
            (known_incarnation, is_change)
        };
        if leaving {
            let command = Command::Lose { targets: vec![(name, incarnation)] };
            return self.propose(command, PendingReply::Announce(reply, incarnation));
        }
        if known_incarnation > incarnation {
            return drop(reply.send(Ok(known_incarnation)));
        }
        self.leases.renew(&name, incarnation, monotonic_ms());
        if !has_changed {
            return drop(reply.send(Ok(incarnation)));
        }
        log_event!(info, Event::TargetRegistered, target_id = name, incarnation);
        let command = Command::Register { name, incarnation, description };
        self.propose(command, PendingReply::Announce(reply, incarnation));
    }

    /// Starts the leases when this member becomes the leader, and fails pending proposals when it steps down.
    pub(super) fn handle_role_change(&mut self) {
        let leads = self.raft.role() == Role::Leader;
        if leads && !self.was_leader {
            log_event!(info, Event::LeaderElected, term = self.raft.term());
            self.leases.start_term(self.reachable_targets(), monotonic_ms());
            let previous_leader = self.raft.heard_leader();
            let (members, now_ms) = (self.raft.members(), self.raft.now_ms());
            self.member_planner.start_term(members, previous_leader, now_ms);
            self.has_held_document = false;
        }
        if !leads && self.was_leader {
            log_event!(warn, Event::LeaderSteppedDown, term = self.raft.term());
            // Only the next leader can tell whether these proposals were committed; their callers must retry.
            for (_, pending) in std::mem::take(&mut self.pending) {
                pending.reply.finish(Err(ProposeError::Lost));
            }
        }
        self.was_leader = leads;
    }

    fn reachable_targets(&self) -> Vec<(String, u64)> {
        let machine = self.lock_machine();
        let targets = machine.membership.targets().values();
        targets.filter(|it| it.reachable).map(|it| (it.name.clone(), it.incarnation)).collect()
    }

    /// Proposes to mark targets with expired leases as unreachable; does nothing unless this member leads.
    pub(super) fn expire_leases(&mut self) {
        if self.raft.role() != Role::Leader {
            return;
        }
        let membership_version = self.lock_machine().membership.version();
        if membership_version != self.leased_version {
            self.leased_version = membership_version;
            self.leases.grant_missing(self.reachable_targets(), monotonic_ms());
        }
        let targets = self.leases.take_expired(monotonic_ms());
        if targets.is_empty() {
            return;
        }
        log_event!(warn, Event::TargetsLost, count = targets.len(), ?targets);
        self.propose(Command::Lose { targets }, PendingReply::Discard);
    }
}
