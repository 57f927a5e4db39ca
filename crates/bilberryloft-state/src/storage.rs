//! Durable storage of one quorum member: log, term and vote, and the latest snapshot.

use std::fs::File;
use std::fs::OpenOptions;
use std::io::Write;
use std::path::Path;
use std::path::PathBuf;

use crate::error::Error;
use crate::error::Result;
use crate::folder::DataFolder;
use crate::folder::list_file_names;
use crate::folder::write_atomic;
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
    file: File,
    file_path: PathBuf,
    sequence: u64,
    failed: bool,
}

impl Storage {
    /// Opens and locks the data folder, recovers its state, truncates a torn tail and removes obsolete files.
    ///
    /// Fails with [`Error::FolderInUse`] while another process holds the lock, and with [`Error::Damaged`] if a
    /// stored record or snapshot is damaged.
    pub fn open(path: &Path) -> Result<(Storage, RecoveredState)> {
        let folder = DataFolder::open(path)?;
        let sequence = match latest_wal(path)? {
            Some(sequence) => sequence,
            None => {
                folder.write_atomic(&wal_name(1), &wal::encode_file_header(0))?;
                1
            }
        };
        let file_path = path.join(wal_name(sequence));
        let (recovered, valid_bytes) = recover(path, &file_path)?;
        let file = open_for_append(&file_path)?;
        if recovered.torn_bytes > 0 {
            file.set_len(valid_bytes).map_err(|it| Error::disk("truncate", &file_path, it))?;
            file.sync_all().map_err(|it| Error::disk("sync", &file_path, it))?;
        }
        let storage = Storage { folder, file, file_path, sequence, failed: false };
        storage.remove_obsolete_files(recovered.snapshot.as_ref().map(|it| it.last_index))?;
        Ok((storage, recovered))
    }

    /// Appends records to the log without syncing them.
    pub fn append(&mut self, records: &[WalRecord]) -> Result<()> {
        let mut bytes = Vec::new();
        for record in records {
            wal::encode_record(record, &mut bytes);
        }
        self.run_file_op("write", |file| file.write_all(&bytes))
    }

    /// Syncs everything written so far to disk.
    pub fn sync(&mut self) -> Result<()> {
        self.run_file_op("sync", |file| file.sync_data())
    }

    fn run_file_op(
        &mut self,
        step: &'static str,
        action: impl FnOnce(&mut File) -> std::io::Result<()>,
    ) -> Result<()> {
        if self.failed {
            let source = std::io::Error::other("an earlier write or sync failed");
            return Err(Error::disk(step, &self.file_path, source));
        }
        let result = action(&mut self.file);
        self.failed = result.is_err();
        result.map_err(|it| Error::disk(step, &self.file_path, it))
    }

    /// Redirects later writes to another file, so that tests can cause disk failures.
    #[doc(hidden)]
    pub fn swap_file_for_test(&mut self, file: File) {
        self.file = file;
    }

    /// Writes a snapshot and replaces the log by a new one that holds only the entries after it.
    pub fn install(
        &mut self,
        snapshot: &Snapshot,
        hard_state: HardState,
        may_vote: bool,
        entries: &[LogEntry],
    ) -> Result<()> {
        let written = write_snapshot(self.folder.path(), snapshot);
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
        let mut bytes = wal::encode_file_header(snapshot_index);
        wal::encode_record(&WalRecord::HardState(hard_state), &mut bytes);
        if may_vote {
            wal::encode_record(&WalRecord::MayVote, &mut bytes);
        }
        for entry in entries {
            wal::encode_record(&WalRecord::Entry(entry.clone()), &mut bytes);
        }
        let sequence = self.sequence + 1;
        self.folder.write_atomic(&wal_name(sequence), &bytes)?;
        let file_path = self.folder.path().join(wal_name(sequence));
        let file = open_for_append(&file_path)?;
        self.file = file;
        self.file_path = file_path;
        self.sequence = sequence;
        self.remove_obsolete_files(Some(snapshot_index))
    }

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
pub fn write_snapshot(folder: &Path, snapshot: &Snapshot) -> Result<()> {
    write_atomic(folder, &snapshot_name(snapshot.last_index), &snapshot::encode(snapshot))
}

/// Reads the state in a data folder without taking its lock and without changing it.
pub fn inspect(path: &Path) -> Result<RecoveredState> {
    match latest_wal(path)? {
        Some(sequence) => Ok(recover(path, &path.join(wal_name(sequence)))?.0),
        None => Ok(RecoveredState::default()),
    }
}

fn open_for_append(path: &Path) -> Result<File> {
    OpenOptions::new().append(true).open(path).map_err(|it| Error::disk("open", path, it))
}

fn latest_wal(path: &Path) -> Result<Option<u64>> {
    let names = list_file_names(path, "wal-", ".log")?;
    let number = |name: &String| name.strip_prefix("wal-")?.strip_suffix(".log")?.parse().ok();
    Ok(names.iter().filter_map(number).max())
}

fn recover(folder: &Path, file_path: &Path) -> Result<(RecoveredState, u64)> {
    let bytes = std::fs::read(file_path).map_err(|it| Error::disk("read", file_path, it))?;
    let content = wal::decode_file(file_path, &bytes)?;
    let valid_bytes = content.valid_bytes;
    let snapshot = match content.snapshot_index {
        0 => None,
        index => {
            let path = folder.join(snapshot_name(index));
            let bytes = std::fs::read(&path).map_err(|it| Error::disk("read", &path, it))?;
            Some(snapshot::decode(&path, &bytes)?)
        }
    };
    let recovered = replay(content, snapshot, file_path)?;
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
