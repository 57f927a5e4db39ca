//! Entries in memory after the latest snapshot.

use bilberryloft_state::member_set::MemberSet;
use bilberryloft_state::wal::LogEntry;
use bilberryloft_state::wal::Payload;

/// The log of one member: a snapshot's position and the entries after it.
#[derive(Clone, Debug)]
pub struct Log {
    snapshot_index: u64,
    snapshot_term: u64,
    snapshot_members: MemberSet,
    entries: Vec<LogEntry>,
    /// Indexes of the entries that name members, so that nobody has to search for them.
    member_indexes: Vec<u64>,
}

impl Log {
    /// Makes a log that starts after a snapshot; index and term are 0 without one.
    pub fn new(
        snapshot_index: u64,
        snapshot_term: u64,
        members: MemberSet,
        entries: Vec<LogEntry>,
    ) -> Log {
        let names_members = |it: &&LogEntry| matches!(it.payload, Payload::Members(_));
        let member_indexes = entries.iter().filter(names_members).map(|it| it.index).collect();
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

    /// Term of an entry, or `None` if it is compacted or not there.
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

    /// Entries from an index on, up to a number of entries and about a number of bytes.
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

    /// Adds an entry; its index must be the next one.
    pub fn push(&mut self, entry: LogEntry) {
        debug_assert_eq!(entry.index, self.last_index() + 1);
        if let Payload::Members(_) = entry.payload {
            self.member_indexes.push(entry.index);
        }
        self.entries.push(entry);
    }

    /// Drops all entries from an index on.
    pub fn truncate(&mut self, from_index: u64) {
        let keep = from_index.saturating_sub(self.snapshot_index + 1);
        self.entries.truncate(keep as usize);
        self.member_indexes.retain(|it| *it < from_index);
    }

    /// Members by the latest entry that names them, and that entry's index.
    pub fn members(&self) -> (&MemberSet, u64) {
        self.members_up_to(self.last_index())
    }

    /// Members by the latest entry up to an index.
    pub fn members_up_to(&self, index: u64) -> (&MemberSet, u64) {
        let latest = self.member_indexes.iter().rev().find(|it| **it <= index);
        match latest.and_then(|it| self.entry(*it)) {
            Some(LogEntry { payload: Payload::Members(members), index, .. }) => (members, *index),
            Some(_) | None => (&self.snapshot_members, self.snapshot_index),
        }
    }

    /// Drops entries that a snapshot covers.
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

    /// Replaces everything by a snapshot, keeping entries after it only when they continue it.
    pub fn install(&mut self, index: u64, term: u64, members: MemberSet) {
        let continues = self.term_at(index) == Some(term);
        if continues {
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

    /// Whether a log that ends with the given entry is at least as long as this one.
    pub fn is_up_to_date(&self, last_index: u64, last_term: u64) -> bool {
        (last_term, last_index) >= (self.last_term(), self.last_index())
    }
}
