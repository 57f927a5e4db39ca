//! Recovery of a running member whose disk has failed or was full.

use std::pin::pin;
use std::time::Duration;

use bilberryloft_state::error::Result;
use bilberryloft_state::folder::DataFolder;

use crate::control::disk::DiskWriter;
use crate::control::node::ControlNode;
use crate::control::recovery::FolderOpening;
use crate::control::recovery::RecoveredMember;
use crate::control::snapshots::SnapshotProgress;
use crate::events::Event;
use crate::log_event;
use crate::settings::ControlSettings;

/// Pause before the data folder is opened again after its disk failed.
const REOPEN_PAUSE: Duration = Duration::from_millis(300);

/// Longest time for which a start waits until the data folder is open.
const START_WAIT: Duration = Duration::from_millis(500);

/// Opens the data folder for a node that starts. If the disk is full or hangs, returns a member of no quorum and the
/// opening that goes on; any other fault ends the start.
pub(super) fn open_at_start(
    folder: &DataFolder,
    settings: &ControlSettings,
    seed: u64,
) -> Result<(RecoveredMember, Option<FolderOpening>)> {
    let opening = FolderOpening::begin(folder, settings, seed)?;
    match opening.wait(START_WAIT) {
        Some(Err(error)) if error.is_full_disk() => {
            log_event!(warn, Event::DiskFailed, %error, step = "start", help = error.help());
            Ok((RecoveredMember::absent(settings), None))
        }
        Some(opened) => Ok((opened?, None)),
        None => {
            let waited_ms = START_WAIT.as_millis() as u64;
            log_event!(warn, Event::DiskFailed, step = "start", error = "slow", waited_ms);
            Ok((RecoveredMember::absent(settings), Some(opening)))
        }
    }
}

impl ControlNode {
    /// Recovers from the data folder after a disk failure, as a restarted process would; everything that was
    /// acknowledged is in the folder.
    pub(super) async fn reopen(&mut self) {
        self.disk = DiskWriter::stopped();
        self.fail_pending();
        loop {
            if self.first_opening.is_none() {
                self.drop_inputs_during(tokio::time::sleep(REOPEN_PAUSE)).await;
            }
            match self.try_reopen().await {
                Ok(()) => break,
                Err(error) => log_event!(warn, Event::DiskFailed, %error, step = "reopen"),
            }
        }
        self.peers.update(&self.raft.members().clone());
        log_event!(info, Event::DiskReopened, index = self.applied_index);
    }

    async fn try_reopen(&mut self) -> Result<()> {
        let opening = match self.first_opening.take() {
            Some(opening) => opening,
            None => FolderOpening::begin(&self.data_folder, &self.settings, self.seed)?,
        };
        let recovered = self.drop_inputs_during(opening.finish()).await?;
        while self.reports.try_recv().is_ok() {}
        self.disk = DiskWriter::spawn(recovered.storage, self.report_sender.clone())?;
        self.raft = recovered.raft;
        *self.lock_machine() = recovered.machine;
        self.applied_index = recovered.applied_index;
        self.snapshots = SnapshotProgress::after(recovered.snapshot_bytes);
        self.opening += 1;
        self.settings.end_first_start();
        Ok(())
    }

    /// Drops all inputs until some work is done; their callers get `ProposeError::Stopped`.
    async fn drop_inputs_during<T>(&mut self, work: impl Future<Output = T>) -> T {
        let mut work = pin!(work);
        loop {
            tokio::select! {
                biased;
                result = &mut work => return result,
                _ = self.inputs.recv() => {}
            }
        }
    }
}
