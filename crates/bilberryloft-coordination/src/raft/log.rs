//! Log entries in memory, from the latest snapshot on.

use bilberryloft_state::member_set::MemberSet;
use bilberryloft_state::wal::LogEntry;
use bilberryloft_state::wal::Payload;

/// Log of one member: the position of the latest snapshot and the entries after it.
#[derive(Clone, Debug)]
pub struct Log {
    snapshot_index: u64,
    snapshot_term: u64,
    snapshot_members: MemberSet,
    entries: Vec<LogEntry>,
    /// Indexes of the entries that set the members, kept so that the log need not be searched for them.
    member_indexes: Vec<u64>,
}

impl Log {
    /// Creates a log that starts after a snapshot; index and term are 0 if there is none.
    pub fn new(
        snapshot_index: u64,
        snapshot_term: u64,
        members: MemberSet,
        entries: Vec<LogEntry>,
    ) -> Log {
        let sets_members = |it: &&LogEntry| matches!(it.payload, Payload::Members(_));
        let member_indexes = entries.iter().filter(sets_members).map(|it| it.index).collect();
        Log { snapshot_index, snapshot_term, snapshot_members: members, entries, member_indexes }
    }

    /// Index of the last entry covered by the snapshot.
    pub fn snapshot_index(&self) -> u64 {
        self.snapshot_index
    }

    /// Index of the last entry.
    pub fn last_index(&self) -> u64 {
        self.snapshot_index + self.entries.len() as u64
    }

    /// Term of the last entry.
    pub fn last_term(&self) -> u64 {
        self.entries.last().map_or(self.snapshot_term, |it| it.term)
    }

    /// Term of an entry, or `None` if the entry was compacted or does not exist.
    pub fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.snapshot_index {
            return Some(self.snapshot_term);
        }
        self.entry(index).map(|it| it.term)
    }

    /// The entry at an index.
    pub fn entry(&self, index: u64) -> Option<&LogEntry> {
        let offset = index.checked_sub(self.snapshot_index + 1)?;
        self.entries.get(offset as usize)
    }

    /// Entries from an index on, at most `entries_max` and about `bytes_max` of payload, but always the first one.
    pub fn slice(&self, from_index: u64, entries_max: usize, bytes_max: usize) -> Vec<LogEntry> {
        let Some(offset) = from_index.checked_sub(self.snapshot_index + 1) else {
            return Vec::new();
        };
        let mut bytes = 0;
        let mut slice = Vec::new();
        for entry in self.entries.iter().skip(offset as usize).take(entries_max) {
            bytes += entry.payload_bytes();
            if bytes > bytes_max && !slice.is_empty() {
                break;
            }
            slice.push(entry.clone());
        }
        slice
    }

    /// Appends an entry; its index must be the next one.
    pub fn push(&mut self, entry: LogEntry) {
        debug_assert_eq!(entry.index, self.last_index() + 1);
        if let Payload::Members(_) = entry.payload {
            self.member_indexes.push(entry.index);
        }
        self.entries.push(entry);
    }

    /// Removes all entries from an index on.
    pub fn truncate(&mut self, from_index: u64) {
        let keep = from_index.saturating_sub(self.snapshot_index + 1);
        self.entries.truncate(keep as usize);
        self.member_indexes.retain(|it| *it < from_index);
    }

    /// Members as set by the latest entry that sets them, and the index of that entry.
    pub fn members(&self) -> (&MemberSet, u64) {
        self.members_up_to(self.last_index())
    }

    /// Members as set by the latest such entry up to an index, and the index of that entry.
    pub fn members_up_to(&self, index: u64) -> (&MemberSet, u64) {
        let latest = self.member_indexes.iter().rev().find(|it| **it <= index);
        match latest.and_then(|it| self.entry(*it)) {
            Some(LogEntry { payload: Payload::Members(members), index, .. }) => (members, *index),
            Some(_) | None => (&self.snapshot_members, self.snapshot_index),
        }
    }

    /// Removes the entries up to an index that a snapshot covers.
    pub fn compact(&mut self, index: u64) {
        let Some(term) = self.term_at(index) else {
            return;
        };
        let members = self.members_up_to(index).0.clone();
        let covered = index.saturating_sub(self.snapshot_index) as usize;
        self.entries.drain(..covered);
        self.member_indexes.retain(|it| *it > index);
        self.snapshot_index = index;
        self.snapshot_term = term;
        self.snapshot_members = members;
    }

    /// Starts the log at an installed snapshot. Entries after it are kept only if the log contains the snapshot's
    /// last entry.
    pub fn install(&mut self, index: u64, term: u64, members: MemberSet) {
        let has_last_entry = self.term_at(index) == Some(term);
        if has_last_entry {
            self.compact(index);
        } else {
            self.entries.clear();
            self.member_indexes.clear();
        }
        self.snapshot_index = index;
        self.snapshot_term = term;
        self.snapshot_members = members;
    }

    /// All entries after the snapshot.
    pub fn entries(&self) -> &[LogEntry] {
        &self.entries
    }

    /// Whether a log that ends with the given entry is at least as up to date as this one.
    pub fn is_up_to_date(&self, last_index: u64, last_term: u64) -> bool {
        (last_term, last_index) >= (self.last_term(), self.last_index())
    }
}
