//! The data folder: files that are written as a whole and durably, and the lock of the one process that uses it.

use std::fmt::Debug;
use std::io::ErrorKind;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use crate::error::Error;
use crate::error::Result;
use crate::file_system::OpenFile;
use crate::file_system::OsFileSystem;
use crate::file_system::SharedFileSystem;

/// Number in the name of the next temporary file, so that no two writers share one.
static NEXT_TEMPORARY_FILE: AtomicU64 = AtomicU64::new(0);

/// A data folder; clones refer to the same one.
#[derive(Clone, Debug)]
pub struct DataFolder {
    file_system: SharedFileSystem,
    path: PathBuf,
}

/// The lock of a data folder; dropping it releases the lock.
#[derive(Debug)]
pub struct FolderLock {
    _file: Box<dyn Debug + Send>,
}

impl DataFolder {
    /// Names a folder of the operating system without touching it.
    pub fn new(path: &Path) -> DataFolder {
        DataFolder::on(Arc::new(OsFileSystem), path)
    }

    /// Names a folder of a file system without touching it.
    pub fn on(file_system: SharedFileSystem, path: &Path) -> DataFolder {
        DataFolder { file_system, path: path.to_path_buf() }
    }

    /// Creates the folder if needed and takes its lock.
    ///
    /// Fails with [`Error::FolderInUse`] while another process holds the lock.
    pub fn lock(&self) -> Result<FolderLock> {
        self.create()?;
        let lock_path = self.file_path("lock");
        match self.file_system.lock(&lock_path) {
            Ok(file) => Ok(FolderLock { _file: file }),
            Err(error) if error.kind() == ErrorKind::WouldBlock => {
                Err(Error::FolderInUse { path: self.path.clone() })
            }
            Err(error) => Err(Error::disk("lock", lock_path, error)),
        }
    }

    /// Creates the folder if needed.
    pub fn create(&self) -> Result<()> {
        let created = self.file_system.create_folder(&self.path);
        created.map_err(|it| Error::disk("create", &self.path, it))
    }

    /// Path of the folder.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Path of a file of the folder.
    pub fn file_path(&self, name: &str) -> PathBuf {
        self.path.join(name)
    }

    /// Sorted names of the files with the given prefix and suffix.
    pub fn file_names(&self, prefix: &str, suffix: &str) -> Result<Vec<String>> {
        let names = self.file_system.file_names(&self.path);
        let mut names = names.map_err(|it| Error::disk("list", &self.path, it))?;
        names.retain(|it| it.starts_with(prefix) && it.ends_with(suffix));
        names.sort();
        Ok(names)
    }

    /// Content of a file.
    pub fn read(&self, name: &str) -> Result<Vec<u8>> {
        let path = self.file_path(name);
        self.file_system.read(&path).map_err(|it| Error::disk("read", path, it))
    }

    /// Opens a file for writes at its end.
    pub fn open_for_append(&self, name: &str) -> Result<Box<dyn OpenFile>> {
        let path = self.file_path(name);
        self.file_system.open_for_append(&path).map_err(|it| Error::disk("open", path, it))
    }

    /// Writes and syncs a file under a temporary name, then renames it into place and syncs the folder. Several threads
    /// may do so at the same time; what a failed call has written is removed.
    ///
    /// Does not need the folder's lock.
    pub fn write_atomic(&self, name: &str, bytes: &[u8]) -> Result<()> {
        let number = NEXT_TEMPORARY_FILE.fetch_add(1, Ordering::Relaxed);
        let temporary = format!("{name}.{number}.tmp");
        let written = self.write_as(&temporary, name, bytes);
        if written.is_err() {
            // Fails if the file was not created; the first error tells more.
            let _ = self.remove(&temporary);
        }
        written?;
        // The rename is durable only after the folder itself is synced.
        self.sync()
    }

    fn write_as(&self, temporary: &str, name: &str, bytes: &[u8]) -> Result<()> {
        let temporary = self.file_path(temporary);
        let file = self.file_system.create(&temporary);
        let mut file = file.map_err(|it| Error::disk("create", &temporary, it))?;
        file.append(bytes).map_err(|it| Error::disk("write", &temporary, it))?;
        file.sync_all().map_err(|it| Error::disk("sync", &temporary, it))?;
        let path = self.file_path(name);
        let renamed = self.file_system.rename(&temporary, &path);
        renamed.map_err(|it| Error::disk("rename", &path, it))
    }

    /// Writes a file without waiting for the disk. It outlives the process; a loss of power may take all or a part of it.
    pub fn write_unsynced(&self, name: &str, bytes: &[u8]) -> Result<()> {
        let path = self.file_path(name);
        let file = self.file_system.create(&path);
        let mut file = file.map_err(|it| Error::disk("create", &path, it))?;
        file.append(bytes).map_err(|it| Error::disk("write", &path, it))
    }

    /// Makes the names of the folder's files durable.
    pub fn sync(&self) -> Result<()> {
        let synced = self.file_system.sync_folder(&self.path);
        synced.map_err(|it| Error::disk("sync", &self.path, it))
    }

    /// Removes a file of the folder.
    pub fn remove(&self, name: &str) -> Result<()> {
        let path = self.file_path(name);
        self.file_system.remove(&path).map_err(|it| Error::disk("remove", path, it))
    }
}
