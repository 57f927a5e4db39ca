//! Recovery of a running member whose disk has failed or was full.

use std::pin::pin;
use std::time::Duration;

use bilberryloft_state::error::Error;
use bilberryloft_state::error::Result;

use crate::control::disk::DiskWriter;
use crate::control::node::ControlNode;
use crate::control::recovery::RecoveredMember;
use crate::control::snapshots::SnapshotProgress;
use crate::events::Event;
use crate::log_event;

/// Pause before the data folder is opened again after its disk failed.
const REOPEN_PAUSE: Duration = Duration::from_millis(300);

impl ControlNode {
    /// Recovers from the data folder after a disk failure, as a restarted process would; everything that was
    /// acknowledged is in the folder.
    pub(super) async fn reopen(&mut self) {
        self.disk = DiskWriter::stopped();
        self.fail_pending();
        loop {
            self.drop_inputs_during(tokio::time::sleep(REOPEN_PAUSE)).await;
            match self.try_reopen().await {
                Ok(()) => break,
                Err(error) => log_event!(warn, Event::DiskFailed, %error, step = "reopen"),
            }
        }
        self.peers.update(&self.raft.members().clone());
        log_event!(info, Event::DiskReopened, index = self.applied_index);
    }

    async fn try_reopen(&mut self) -> Result<()> {
        let (folder, settings) = (self.data_folder.clone(), self.settings.clone());
        let seed = self.seed;
        // A disk that hangs must hold up neither this thread nor the callers of this member.
        let opened =
            tokio::task::spawn_blocking(move || RecoveredMember::open(&folder, &settings, seed));
        let recovered = self.drop_inputs_during(opened).await.map_err(|it| {
            Error::disk("open", self.data_folder.path(), std::io::Error::other(it))
        })??;
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
