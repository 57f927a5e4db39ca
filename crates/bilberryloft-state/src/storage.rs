//! Durable storage of one quorum member: log, term and vote, and the latest snapshot.

use std::fs::File;
use std::path::Path;
use std::path::PathBuf;

use crate::error::Error;
use crate::error::Result;
use crate::file_system::OpenFile;
use crate::folder::DataFolder;
use crate::folder::FolderLock;
use crate::member_set::MemberSet;
use crate::snapshot;
use crate::snapshot::Snapshot;
use crate::wal;
use crate::wal::HardState;
use crate::wal::LogEntry;
use crate::wal::WalContent;
use crate::wal::WalRecord;

/// State read back from the data folder at start.
#[derive(Debug, Default)]
pub struct RecoveredState {
    /// Latest term and vote.
    pub hard_state: HardState,
    /// Latest snapshot.
    pub snapshot: Option<Snapshot>,
    /// Entries after the snapshot.
    pub entries: Vec<LogEntry>,
    /// Whether the member has caught up with the log since its data folder was empty, and so may vote.
    pub may_vote: bool,
    /// Members of the quorum that this member was told to found, while neither a snapshot nor the log replaces them.
    pub founders: Option<MemberSet>,
    /// Length in bytes of the torn tail at the end of the log.
    pub torn_bytes: u64,
}

impl RecoveredState {
    /// Returns whether the data folder holds nothing about a quorum, as at a first start or after the loss of a disk.
    pub fn is_empty(&self) -> bool {
        self.hard_state == HardState::default()
            && self.snapshot.is_none()
            && self.entries.is_empty()
            && self.founders.is_none()
    }
}

/// Open storage of one member. After a failed write or sync, every further append or sync fails.
#[derive(Debug)]
pub struct Storage {
    folder: DataFolder,
    _lock: FolderLock,
    file: Box<dyn OpenFile>,
    file_path: PathBuf,
    sequence: u64,
    /// Length of the log file in bytes.
    length_bytes: u64,
    /// Length of what is known to be synced.
    synced_bytes: u64,
    failed: bool,
}

impl Storage {
    /// Opens and locks the data folder, recovers its state, truncates a torn tail, makes what is left durable and then
    /// removes obsolete files.
    ///
    /// Fails with [`Error::FolderInUse`] while another process holds the lock, and with [`Error::Damaged`] if a
    /// stored record or snapshot is damaged.
    pub fn open(path: &Path) -> Result<(Storage, RecoveredState)> {
        Storage::open_folder(DataFolder::new(path))
    }

    /// Like [`Storage::open`], on any file system.
    pub fn open_folder(folder: DataFolder) -> Result<(Storage, RecoveredState)> {
        let lock = folder.lock()?;
        let sequence = match latest_wal(&folder)? {
            Some(sequence) => sequence,
            None => {
                folder.write_atomic(&wal_name(1), &new_wal(0, &[]))?;
                1
            }
        };
        let (recovered, valid_bytes) = recover(&folder, sequence)?;
        let mut file = folder.open_for_append(&wal_name(sequence))?;
        let file_path = folder.file_path(&wal_name(sequence));
        if recovered.torn_bytes > 0 {
            file.truncate(valid_bytes).map_err(|it| Error::disk("truncate", &file_path, it))?;
        }
        // The caller takes all that was recovered for durable; an earlier process may have left it, or the name of the
        // file, without a sync.
        file.sync_all().map_err(|it| Error::disk("sync", &file_path, it))?;
        folder.sync()?;
        let storage = Storage {
            folder,
            _lock: lock,
            file,
            file_path,
            sequence,
            length_bytes: valid_bytes,
            synced_bytes: valid_bytes,
            failed: false,
        };
        storage.remove_obsolete_files(recovered.snapshot.as_ref().map(|it| it.last_index))?;
        Ok((storage, recovered))
    }

    /// Appends records to the log in one write without syncing them. An earlier write is synced first, so that a loss of
    /// power can tear one write only.
    pub fn append(&mut self, records: &[WalRecord]) -> Result<()> {
        if self.synced_bytes < self.length_bytes {
            self.sync()?;
        }
        let mut bytes = Vec::new();
        wal::encode_write_start(self.length_bytes, &mut bytes);
        for record in records {
            wal::encode_record(record, &mut bytes);
        }
        self.run_file_op("write", |file| file.append(&bytes))?;
        self.length_bytes += bytes.len() as u64;
        Ok(())
    }

    /// Syncs everything written so far to disk.
    pub fn sync(&mut self) -> Result<()> {
        let synced = self.run_file_op("sync", |file| file.sync_data());
        if synced.is_err() {
            self.drop_unsynced();
        }
        synced?;
        self.synced_bytes = self.length_bytes;
        Ok(())
    }

    /// Cuts off what a failed sync was to make durable. The system may have given it up, show it still to whoever opens the
    /// file, and report the next sync as done.
    fn drop_unsynced(&mut self) {
        // Fails if the disk takes no changes at all; the first error tells more.
        let _ = self.file.truncate(self.synced_bytes);
    }

    fn run_file_op(
        &mut self,
        step: &'static str,
        action: impl FnOnce(&mut dyn OpenFile) -> std::io::Result<()>,
    ) -> Result<()> {
        if self.failed {
            let source = std::io::Error::other("an earlier write or sync failed");
            return Err(Error::disk(step, &self.file_path, source));
        }
        let result = action(self.file.as_mut());
        self.failed = result.is_err();
        result.map_err(|it| Error::disk(step, &self.file_path, it))
    }

    /// Redirects later writes to another file, so that tests can cause disk failures.
    #[doc(hidden)]
    pub fn swap_file_for_test(&mut self, file: File) {
        self.file = Box::new(file);
    }

    /// Writes a snapshot and replaces the log by a new one that holds only the entries after it.
    pub fn install(
        &mut self,
        snapshot: &Snapshot,
        hard_state: HardState,
        may_vote: bool,
        entries: &[LogEntry],
    ) -> Result<()> {
        let written = write_snapshot(&self.folder, snapshot);
        self.failed |= written.is_err();
        written?;
        self.rotate(snapshot.last_index, hard_state, may_vote, entries)
    }

    /// Starts a new log file that follows a snapshot already made durable by [`write_snapshot`].
    pub fn rotate(
        &mut self,
        snapshot_index: u64,
        hard_state: HardState,
        may_vote: bool,
        entries: &[LogEntry],
    ) -> Result<()> {
        let result = self.try_rotate(snapshot_index, hard_state, may_vote, entries);
        self.failed |= result.is_err();
        result
    }

    fn try_rotate(
        &mut self,
        snapshot_index: u64,
        hard_state: HardState,
        may_vote: bool,
        entries: &[LogEntry],
    ) -> Result<()> {
        let mut records = vec![WalRecord::HardState(hard_state)];
        if may_vote {
            records.push(WalRecord::MayVote);
        }
        records.extend(entries.iter().cloned().map(WalRecord::Entry));
        let bytes = new_wal(snapshot_index, &records);
        let sequence = self.sequence + 1;
        self.folder.write_atomic(&wal_name(sequence), &bytes)?;
        self.file = self.folder.open_for_append(&wal_name(sequence))?;
        self.file_path = self.folder.file_path(&wal_name(sequence));
        self.sequence = sequence;
        self.length_bytes = bytes.len() as u64;
        self.synced_bytes = self.length_bytes;
        self.remove_earlier_files(snapshot_index)
    }

    /// Removes the logs and snapshots before those in use. A later snapshot and temporary files stay: another thread may
    /// have written or be writing them.
    fn remove_earlier_files(&self, snapshot_index: u64) -> Result<()> {
        let (current_wal, current_snapshot) =
            (wal_name(self.sequence), snapshot_name(snapshot_index));
        let mut names = self.folder.file_names("wal-", ".log")?;
        names.retain(|it| *it < current_wal);
        let mut snapshots = self.folder.file_names("snapshot-", ".bin")?;
        snapshots.retain(|it| *it < current_snapshot);
        names.extend(snapshots);
        names.iter().try_for_each(|it| self.folder.remove(it))
    }

    /// Removes all files that the log in use does not refer to.
    fn remove_obsolete_files(&self, snapshot_index: Option<u64>) -> Result<()> {
        let current_wal = wal_name(self.sequence);
        let current_snapshot = snapshot_index.map(snapshot_name);
        for name in self.folder.file_names("wal-", "")? {
            if name != current_wal {
                self.folder.remove(&name)?;
            }
        }
        for name in self.folder.file_names("snapshot-", "")? {
            if Some(&name) != current_snapshot.as_ref() {
                self.folder.remove(&name)?;
            }
        }
        Ok(())
    }
}

/// Writes a snapshot durably under its own file name.
///
/// Recovery ignores the snapshot until a log file refers to it, so this may run while another thread appends.
pub fn write_snapshot(folder: &DataFolder, snapshot: &Snapshot) -> Result<()> {
    folder.write_atomic(&snapshot_name(snapshot.last_index), &snapshot::encode(snapshot))
}

/// Reads the state in a data folder without taking its lock and without changing it.
pub fn inspect(path: &Path) -> Result<RecoveredState> {
    let folder = DataFolder::new(path);
    match latest_wal(&folder)? {
        Some(sequence) => Ok(recover(&folder, sequence)?.0),
        None => Ok(RecoveredState::default()),
    }
}

/// Encodes a log file that is written as a whole.
fn new_wal(snapshot_index: u64, records: &[WalRecord]) -> Vec<u8> {
    let mut bytes = wal::encode_file_header(snapshot_index);
    for record in records {
        wal::encode_record(record, &mut bytes);
    }
    wal::encode_write_start(bytes.len() as u64, &mut bytes);
    bytes
}

fn latest_wal(folder: &DataFolder) -> Result<Option<u64>> {
    let names = folder.file_names("wal-", ".log")?;
    let number = |name: &String| name.strip_prefix("wal-")?.strip_suffix(".log")?.parse().ok();
    Ok(names.iter().filter_map(number).max())
}

fn recover(folder: &DataFolder, sequence: u64) -> Result<(RecoveredState, u64)> {
    let name = wal_name(sequence);
    let file_path = folder.file_path(&name);
    let content = wal::decode_file(&file_path, &folder.read(&name)?)?;
    let valid_bytes = content.valid_bytes;
    let snapshot = match content.snapshot_index {
        0 => None,
        index => {
            let name = snapshot_name(index);
            Some(snapshot::decode(&folder.file_path(&name), &folder.read(&name)?)?)
        }
    };
    let recovered = replay(content, snapshot, &file_path)?;
    Ok((recovered, valid_bytes))
}

fn replay(content: WalContent, snapshot: Option<Snapshot>, path: &Path) -> Result<RecoveredState> {
    let base = snapshot.as_ref().map_or(0, |it| it.last_index);
    let mut recovered =
        RecoveredState { snapshot, torn_bytes: content.torn_bytes, ..RecoveredState::default() };
    for record in content.records {
        match record {
            WalRecord::HardState(state) => recovered.hard_state = state,
            WalRecord::MayVote => recovered.may_vote = true,
            WalRecord::Founding(members) => {
                recovered.founders = Some(members);
                recovered.may_vote = true;
            }
            WalRecord::Truncate { from_index } => {
                recovered.entries.retain(|it| it.index < from_index)
            }
            WalRecord::Entry(entry) => {
                let expected = base + recovered.entries.len() as u64 + 1;
                if entry.index != expected {
                    return Err(Error::Damaged {
                        path: path.to_path_buf(),
                        offset: 0,
                        detail: format!(
                            "found log entry {} where entry {expected} was expected",
                            entry.index
                        ),
                    });
                }
                recovered.entries.push(entry);
            }
        }
    }
    Ok(recovered)
}

fn wal_name(sequence: u64) -> String {
    format!("wal-{sequence:020}.log")
}

fn snapshot_name(index: u64) -> String {
    format!("snapshot-{index:020}.bin")
}
