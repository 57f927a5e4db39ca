//! Automatic membership changes: hosts that ask to join, and the changes that the leader proposes.

use bilberryloft_coordination::raft::Role;

use crate::control::handle::PendingReply;
use crate::control::handle::Reply;
use crate::control::node::ControlNode;
use crate::control::node::Pending;
use crate::events::Event;
use crate::log_event;

impl ControlNode {
    /// Records that a host which can become a member is alive; only the leader accepts this.
    pub(super) fn join(&mut self, member: u32, address: String, reply: Reply<()>) {
        if self.raft.role() != Role::Leader {
            return drop(reply.send(Err(self.not_leader())));
        }
        self.member_planner.note_alive(member, address, self.raft.now_ms());
        let _ = reply.send(Ok(()));
    }

    /// Proposes the next change of a single member, if this member leads and a change is due.
    pub(super) fn reconcile_members(&mut self) {
        if self.raft.role() != Role::Leader {
            return;
        }
        let raft = &self.raft;
        let is_caught_up =
            |member: u32| raft.match_index(member).is_some_and(|it| it >= raft.commit_index());
        let next = self.member_planner.next_members(raft.members(), is_caught_up, raft.now_ms());
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
