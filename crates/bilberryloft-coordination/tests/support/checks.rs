//! Checks of the invariants of Raft.

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
            self.record_violation(format!("members {first} and {member} both lead term {term}"));
        }
    }

    pub(super) fn check_applied(&mut self, member: u32, entry: LogEntry) {
        let state = self.members.get_mut(&member).unwrap();
        let expected = state.applied_index + 1;
        state.applied_index = entry.index;
        if entry.index != expected {
            self.record_violation(format!(
                "member {member} applied {} instead of {expected}",
                entry.index
            ));
        }
        let value = (entry.term, entry.payload);
        match self.committed.get(&entry.index) {
            Some(first) if *first != value => {
                self.record_violation(format!(
                    "entry {} was committed with two different contents",
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
            _ => self.record_violation(format!(
                "a snapshot ends at {}, where another entry or none was committed",
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
            self.record_violation(format!(
                "a read returned index {index} although {committed} was committed before it"
            ));
        }
    }

    /// Checks that the quorum makes progress after healing and that no member lacks a committed entry.
    pub fn check_recovery(&mut self) {
        self.heal();
        for member in 1..=self.setup.members {
            self.start(member);
        }
        self.settle(6_000);
        let Some(leader) = self.leader() else {
            return self.record_violation("no leader after healing".to_string());
        };
        let before = self.committed_count();
        self.propose(leader);
        self.settle(500);
        if self.committed_count() <= before {
            self.record_violation("a proposal is not committed after healing".to_string());
        }
        let last = *self.committed.last_key_value().unwrap().0;
        for member in 1..=self.setup.members {
            let applied = self.members[&member].applied_index;
            if applied != last {
                self.record_violation(format!(
                    "member {member} has applied {applied} of {last} after healing"
                ));
            }
        }
    }
}
