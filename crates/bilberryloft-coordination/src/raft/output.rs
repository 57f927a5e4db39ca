//! Actions that a Raft member requests from its driver, the code that does the input and output for it.

use bilberryloft_state::snapshot::Snapshot;
use bilberryloft_state::wal::LogEntry;
use bilberryloft_state::wal::WalRecord;

use crate::raft::Message;

/// Identifier that the caller chooses for a pending read.
pub type ReadTicket = u64;

/// An outgoing message and its receiver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outbound {
    /// Id of the member that receives the message.
    pub to: u32,
    /// The message.
    pub message: Message,
}

/// Actions for the driver, to be performed in the order of the fields.
#[derive(Debug, Default)]
pub struct Output {
    /// Number to pass to `Raft::persisted` when the snapshot and the records are durable; 0 when there are none.
    pub persist_number: u64,
    /// Snapshot from the leader that replaces the log and the state machine.
    pub install: Option<Snapshot>,
    /// Records to make durable, in order and after all earlier ones.
    pub records: Vec<WalRecord>,
    /// Messages that may be sent immediately.
    pub now: Vec<Outbound>,
    /// Messages that may be sent only when these and all earlier records are durable.
    pub after_sync: Vec<Outbound>,
    /// Committed entries to apply, in order.
    pub committed: Vec<LogEntry>,
    /// Confirmed reads, each with the index that the state machine must have applied before the read is answered.
    pub confirmed_reads: Vec<(ReadTicket, u64)>,
    /// Reads that this member can no longer answer.
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
