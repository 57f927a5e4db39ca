//! What a member's storage holds, as a plain value.

use bilberryloft_state::member_set::MemberSet;
use bilberryloft_state::snapshot::Snapshot;
use bilberryloft_state::storage::RecoveredState;
use bilberryloft_state::wal::HardState;
use bilberryloft_state::wal::LogEntry;
use bilberryloft_state::wal::Payload;
use bilberryloft_state::wal::WalRecord;

/// Separates the entries in a snapshot.
const SEPARATOR: u8 = b'\n';

/// Term, vote and all entries from the first one on, whether a snapshot covers them or not.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Model {
    pub hard_state: HardState,
    pub may_vote: bool,
    pub entries: Vec<LogEntry>,
}

impl Model {
    pub fn of(recovered: &RecoveredState) -> Model {
        let mut entries = recovered.snapshot.as_ref().map(covered_entries).unwrap_or_default();
        entries.extend(recovered.entries.iter().cloned());
        Model { hard_state: recovered.hard_state, may_vote: recovered.may_vote, entries }
    }

    pub fn write(&mut self, record: &WalRecord) {
        match record {
            WalRecord::HardState(state) => self.hard_state = *state,
            WalRecord::Entry(entry) => self.entries.push(entry.clone()),
            WalRecord::Truncate { from_index } => self.entries.retain(|it| it.index < *from_index),
            WalRecord::MayVote | WalRecord::Founding(_) => self.may_vote = true,
        }
    }

    pub fn last_index(&self) -> u64 {
        self.entries.len() as u64
    }

    /// Short form for the message of a failed test.
    pub fn summary(&self) -> String {
        let lengths: Vec<(u64, usize)> =
            self.entries.iter().map(|it| (it.index, it.payload_bytes())).collect();
        format!(
            "{:?}, may vote: {}, entries and bytes: {lengths:?}",
            self.hard_state, self.may_vote
        )
    }
}

/// Builds an entry of term 1.
pub fn entry(index: u64, text: &str) -> LogEntry {
    LogEntry { term: 1, index, payload: Payload::Command(text.as_bytes().to_vec()) }
}

/// Builds a snapshot that holds the entries it covers.
pub fn snapshot_of(entries: &[LogEntry]) -> Snapshot {
    let mut data = Vec::new();
    for entry in entries {
        if let Payload::Command(text) = &entry.payload {
            data.extend_from_slice(text);
            data.push(SEPARATOR);
        }
    }
    let last_index = entries.len() as u64;
    Snapshot { last_index, last_term: 1, members: MemberSet::default(), data }
}

fn covered_entries(snapshot: &Snapshot) -> Vec<LogEntry> {
    let texts = snapshot.data.split_inclusive(|it| *it == SEPARATOR);
    let text = |it: &[u8]| String::from_utf8_lossy(&it[..it.len() - 1]).into_owned();
    (1..).zip(texts).map(|(index, it)| entry(index, &text(it))).collect()
}
