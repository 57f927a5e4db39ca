//! Simulated disk: the durable state of one member.

use bilberryloft_state::member_set::MemberSet;
use bilberryloft_state::snapshot::Snapshot;
use bilberryloft_state::wal::HardState;
use bilberryloft_state::wal::LogEntry;
use bilberryloft_state::wal::WalRecord;

#[derive(Clone, Debug, Default)]
pub struct Disk {
    pub hard_state: HardState,
    pub may_vote: bool,
    pub founders: Option<MemberSet>,
    pub snapshot: Option<Snapshot>,
    pub entries: Vec<LogEntry>,
}

impl Disk {
    pub fn write(&mut self, record: &WalRecord) {
        match record {
            WalRecord::HardState(state) => self.hard_state = *state,
            WalRecord::Entry(entry) => self.entries.push(entry.clone()),
            WalRecord::Truncate { from_index } => self.entries.retain(|it| it.index < *from_index),
            WalRecord::MayVote => self.may_vote = true,
            WalRecord::Founding(members) => {
                self.founders = Some(members.clone());
                self.may_vote = true;
            }
        }
    }
}
