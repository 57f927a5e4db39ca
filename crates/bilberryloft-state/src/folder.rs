//! The data folder: locked by one process at a time, with atomic and durable file writes.

use std::fs::File;
use std::fs::OpenOptions;
use std::io::Write;
use std::path::Path;
use std::path::PathBuf;

use crate::error::Error;
use crate::error::Result;

/// A locked data folder; dropping it releases the lock.
#[derive(Debug)]
pub struct DataFolder {
    path: PathBuf,
    _lock: File,
}

impl DataFolder {
    /// Creates the folder if needed and takes its lock.
    ///
    /// Fails with [`Error::FolderInUse`] while another process holds the lock.
    pub fn open(path: &Path) -> Result<DataFolder> {
        std::fs::create_dir_all(path).map_err(|it| Error::disk("create", path, it))?;
        let lock_path = path.join("lock");
        let lock = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(&lock_path)
            .map_err(|it| Error::disk("open", &lock_path, it))?;
        match lock.try_lock() {
            Ok(()) => Ok(DataFolder { path: path.to_path_buf(), _lock: lock }),
            Err(std::fs::TryLockError::WouldBlock) => {
                Err(Error::FolderInUse { path: path.to_path_buf() })
            }
            Err(std::fs::TryLockError::Error(source)) => {
                Err(Error::disk("lock", lock_path, source))
            }
        }
    }

    /// Path of the folder.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Writes and syncs a file under a temporary name, then renames it into place and syncs the folder.
    pub fn write_atomic(&self, name: &str, bytes: &[u8]) -> Result<()> {
        write_atomic(&self.path, name, bytes)
    }

    /// Sorted names of the files with the given prefix and suffix.
    pub fn file_names(&self, prefix: &str, suffix: &str) -> Result<Vec<String>> {
        list_file_names(&self.path, prefix, suffix)
    }

    /// Removes a file of the folder.
    pub fn remove(&self, name: &str) -> Result<()> {
        let path = self.path.join(name);
        std::fs::remove_file(&path).map_err(|it| Error::disk("remove", path, it))
    }
}

/// Writes and syncs a file under a temporary name, then renames it into place and syncs the folder.
///
/// Does not need the folder's lock.
pub fn write_atomic(folder: &Path, name: &str, bytes: &[u8]) -> Result<()> {
    let temporary = folder.join(format!("{name}.tmp"));
    let mut file = File::create(&temporary).map_err(|it| Error::disk("create", &temporary, it))?;
    file.write_all(bytes).map_err(|it| Error::disk("write", &temporary, it))?;
    file.sync_all().map_err(|it| Error::disk("sync", &temporary, it))?;
    let final_path = folder.join(name);
    std::fs::rename(&temporary, &final_path)
        .map_err(|it| Error::disk("rename", &final_path, it))?;
    // The rename is durable only after the folder itself is synced.
    let opened = File::open(folder).map_err(|it| Error::disk("open", folder, it))?;
    opened.sync_all().map_err(|it| Error::disk("sync", folder, it))
}

/// Sorted names of the files in a folder with the given prefix and suffix; does not need the folder's lock.
pub fn list_file_names(path: &Path, prefix: &str, suffix: &str) -> Result<Vec<String>> {
    let entries = std::fs::read_dir(path).map_err(|it| Error::disk("list", path, it))?;
    let mut names = Vec::new();
    for entry in entries {
        let entry = entry.map_err(|it| Error::disk("list", path, it))?;
        let name = entry.file_name().to_string_lossy().to_string();
        if name.starts_with(prefix) && name.ends_with(suffix) {
            names.push(name);
        }
    }
    names.sort();
    Ok(names)
}
