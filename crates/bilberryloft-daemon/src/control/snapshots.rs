//! Snapshots of a control node: when they are written, and what is dropped from the log after them.

use bilberryloft_state::error::Error;
use bilberryloft_state::error::Result;
use bilberryloft_state::folder::DataFolder;
use bilberryloft_state::snapshot::Snapshot;
use bilberryloft_state::state_machine::StateMachine;
use bilberryloft_state::storage::write_snapshot;

use crate::control::disk::DiskJob;
use crate::control::handle::Input;
use crate::control::node::ControlNode;
use crate::events::Event;
use crate::log_event;

/// Bytes by which the log must grow before the next snapshot, as a multiple of the last snapshot's size.
const SNAPSHOT_GROWTH_FACTOR: usize = 4;
/// Pause before a snapshot that failed is tried again, in milliseconds.
const SNAPSHOT_RETRY_PAUSE_MS: u64 = 1_000;

/// What decides when the next snapshot is due.
pub(super) struct SnapshotProgress {
    /// Whether a snapshot is being written.
    is_running: bool,
    /// Payload bytes of the log entries applied since the last snapshot was started.
    pub log_bytes: usize,
    /// Value of `log_bytes` when the snapshot that is being written was started.
    started_log_bytes: usize,
    /// Size of the last snapshot in bytes, 0 without one.
    last_bytes: usize,
    /// Time before which no snapshot is started, in milliseconds.
    not_before_ms: u64,
}

impl SnapshotProgress {
    /// Progress of a member that has opened its data folder.
    pub fn after(last_bytes: usize) -> SnapshotProgress {
        SnapshotProgress {
            is_running: false,
            log_bytes: 0,
            started_log_bytes: 0,
            last_bytes,
            not_before_ms: 0,
        }
    }
}

impl ControlNode {
    /// Starts a snapshot once the log has grown well beyond the size of the last one, so that snapshots stay a
    /// small share of all writes. A copy of the machine is encoded and written on a blocking thread.
    pub(super) fn start_snapshot_if_due(&mut self) {
        let log = self.raft.log();
        let is_due = self.applied_index >= log.snapshot_index() + self.settings.snapshot_entries
            && self.snapshots.log_bytes >= SNAPSHOT_GROWTH_FACTOR * self.snapshots.last_bytes;
        let is_paused = self.raft.now_ms() < self.snapshots.not_before_ms;
        if !is_due || is_paused || self.snapshots.is_running {
            return;
        }
        let Some(last_term) = log.term_at(self.applied_index) else {
            return;
        };
        let members = log.members_up_to(self.applied_index).0.clone();
        let machine = self.lock_machine().clone();
        let snapshot =
            Snapshot { last_index: self.applied_index, last_term, members, data: Vec::new() };
        let folder = self.data_folder.clone();
        let (inputs, opening) = (self.input_sender.clone(), self.opening);
        self.snapshots.is_running = true;
        self.snapshots.started_log_bytes = std::mem::take(&mut self.snapshots.log_bytes);
        tokio::task::spawn_blocking(move || {
            let written = write_machine_snapshot(&folder, snapshot, &machine);
            let _ = inputs.blocking_send(Input::SnapshotWritten { opening, written });
        });
    }

    /// Compacts the log after a snapshot was written. A failed one leaves the log as it is and is tried again. One that
    /// was started before the folder was opened again is dropped: the member may have recovered less than it covers.
    pub(super) fn finish_snapshot(&mut self, opening: u64, written: Result<Snapshot>) {
        if opening != self.opening {
            return;
        }
        self.snapshots.is_running = false;
        let snapshot = match written {
            Ok(snapshot) => snapshot,
            Err(error) => {
                log_event!(error, Event::SnapshotFailed, %error);
                self.snapshots.log_bytes += self.snapshots.started_log_bytes;
                self.snapshots.not_before_ms = self.raft.now_ms() + SNAPSHOT_RETRY_PAUSE_MS;
                return;
            }
        };
        if snapshot.last_index <= self.raft.log().snapshot_index() {
            return;
        }
        let (snapshot_index, bytes) = (snapshot.last_index, snapshot.data.len());
        log_event!(info, Event::SnapshotWritten, index = snapshot_index, bytes);
        self.snapshots.last_bytes = bytes;
        // Records that Raft has not handed over yet must reach the old log first; otherwise they would be
        // written twice, because the new log starts with all entries after the snapshot.
        let output = self.raft.take_output();
        self.process_output(output);
        self.raft.compact(snapshot);
        self.disk.submit(DiskJob::Rotate {
            snapshot_index,
            hard_state: self.raft.hard_state(),
            may_vote: self.raft.may_vote(),
            entries: self.raft.log().entries().to_vec(),
        });
    }
}

/// Encodes the machine as the data of a snapshot and writes the snapshot to the data folder.
fn write_machine_snapshot(
    folder: &DataFolder,
    mut snapshot: Snapshot,
    machine: &StateMachine,
) -> Result<Snapshot> {
    snapshot.data = machine
        .to_snapshot()
        .map_err(|it| Error::Json { step: "encode a snapshot", detail: it.to_string() })?;
    write_snapshot(folder, &snapshot)?;
    Ok(snapshot)
}
