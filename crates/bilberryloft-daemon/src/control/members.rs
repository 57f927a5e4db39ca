//! Keeping the quorum whole: hosts that join, and the changes of members that follow.

use bilberryloft_coordination::raft::Role;

use crate::control::handle::PendingReply;
use crate::control::handle::Reply;
use crate::control::node::ControlNode;
use crate::control::node::Pending;
use crate::events::Event;
use crate::log_event;

impl ControlNode {
    pub(super) fn join(&mut self, member: u32, address: String, reply: Reply<()>) {
        if self.raft.role() != Role::Leader {
            return drop(reply.send(Err(self.not_leader())));
        }
        self.upkeep.note_alive(member, address, self.raft.now_ms());
        let _ = reply.send(Ok(()));
    }

    /// Proposes the next single change of members, if one is due.
    pub(super) fn keep_members(&mut self) {
        if self.raft.role() != Role::Leader {
            return;
        }
        let raft = &self.raft;
        let is_caught_up =
            |member: u32| raft.match_index(member).is_some_and(|it| it >= raft.commit_index());
        let next = self.upkeep.next_members(raft.members(), is_caught_up, raft.now_ms());
        let Some(members) = next else {
            return;
        };
        if let Ok(Some((term, index))) = self.raft.propose_members(members.clone()) {
            log_event!(info, Event::MembersPlanned, ?members, index);
            self.pending.insert(index, Pending { term, reply: PendingReply::Nobody });
            self.peers.update(&self.raft.members().clone());
        }
    }
}
