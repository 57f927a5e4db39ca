//! What a member asks its driver to do.

use bilberryloft_state::snapshot::Snapshot;
use bilberryloft_state::wal::LogEntry;
use bilberryloft_state::wal::WalRecord;

use crate::raft::Message;

/// Caller's name for a pending read.
pub type ReadTicket = u64;

/// A message and its receiver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outbound {
    /// Receiver.
    pub to: u32,
    /// The message.
    pub message: Message,
}

/// Actions in the order in which the fields stand.
#[derive(Debug, Default)]
pub struct Output {
    /// Number to give to `Raft::persisted` when everything below is durable; 0 when there is nothing.
    pub persist_number: u64,
    /// Snapshot from the leader that replaces log and machine.
    pub install: Option<Snapshot>,
    /// Records to make durable, in order, after all earlier ones.
    pub records: Vec<WalRecord>,
    /// Messages that may go at once.
    pub now: Vec<Outbound>,
    /// Messages that may go only when this and all earlier records are durable.
    pub after_sync: Vec<Outbound>,
    /// Entries to apply, in order.
    pub committed: Vec<LogEntry>,
    /// Reads that may be answered once the machine has applied the index.
    pub confirmed_reads: Vec<(ReadTicket, u64)>,
    /// Reads that this member can't answer any more.
    pub failed_reads: Vec<ReadTicket>,
}

impl Output {
    /// Whether there is nothing to do.
    pub fn is_empty(&self) -> bool {
        self.persist_number == 0
            && self.now.is_empty()
            && self.after_sync.is_empty()
            && self.committed.is_empty()
            && self.confirmed_reads.is_empty()
            && self.failed_reads.is_empty()
    }
}
