//! Checks of what must always hold.

use bilberryloft_coordination::raft::Role;
use bilberryloft_state::snapshot::Snapshot;
use bilberryloft_state::wal::LogEntry;

use super::Cluster;

impl Cluster {
    pub(super) fn check_leader(&mut self, member: u32) {
        let raft = self.members[&member].raft.as_ref().unwrap();
        if raft.role() != Role::Leader {
            return;
        }
        let term = raft.term();
        let first = *self.leaders.entry(term).or_insert(member);
        if first != member {
            self.violate(format!("members {first} and {member} both lead term {term}"));
        }
    }

    pub(super) fn check_applied(&mut self, member: u32, entry: LogEntry) {
        let state = self.members.get_mut(&member).unwrap();
        let expected = state.applied_index + 1;
        state.applied_index = entry.index;
        if entry.index != expected {
            self.violate(format!(
                "member {member} applied {} where {expected} was due",
                entry.index
            ));
        }
        let value = (entry.term, entry.payload);
        match self.committed.get(&entry.index) {
            Some(first) if *first != value => {
                self.violate(format!(
                    "entry {} was committed twice with different content",
                    entry.index
                ));
            }
            Some(_) => {}
            None => drop(self.committed.insert(entry.index, value)),
        }
    }

    pub(super) fn check_install(&mut self, member: u32, snapshot: &Snapshot) {
        self.members.get_mut(&member).unwrap().applied_index = snapshot.last_index;
        match self.committed.get(&snapshot.last_index) {
            Some((term, _)) if *term == snapshot.last_term => {}
            _ => self.violate(format!(
                "a snapshot ends at {}, which was not committed so",
                snapshot.last_index
            )),
        }
    }

    pub(super) fn check_read(&mut self, ticket: u64, index: u64) {
        let Some(committed) = self.reads.remove(&ticket) else {
            return;
        };
        self.reads_done += 1;
        if index < committed {
            self.violate(format!(
                "a read saw {index} though {committed} had been committed before it"
            ));
        }
    }

    /// Checks that a healed quorum makes progress and that no committed entry is missing anywhere.
    pub fn check_recovery(&mut self) {
        self.heal();
        for member in 1..=self.world.members {
            self.start(member);
        }
        self.settle(6_000);
        let Some(leader) = self.leader() else {
            return self.violate("no leader after healing".to_string());
        };
        let before = self.committed_count();
        self.propose(leader);
        self.settle(500);
        if self.committed_count() <= before {
            self.violate("a proposal is not committed after healing".to_string());
        }
        let last = *self.committed.last_key_value().unwrap().0;
        for member in 1..=self.world.members {
            let applied = self.members[&member].applied_index;
            if applied != last {
                self.violate(format!(
                    "member {member} has applied {applied} of {last} after healing"
                ));
            }
        }
    }
}
