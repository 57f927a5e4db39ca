//! The file system as the storage of a member uses it: an edge of the process, behind which tests put a simulated disk.

use std::fmt::Debug;
use std::fs::File;
use std::fs::OpenOptions;
use std::fs::TryLockError;
use std::io::ErrorKind;
use std::io::Result;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;

/// A shared file system.
pub type SharedFileSystem = Arc<dyn FileSystem>;

/// Operations on files and folders, each with the meaning of the call of the operating system.
pub trait FileSystem: Debug + Send + Sync {
    /// Creates a folder and those above it, unless they exist.
    fn create_folder(&self, path: &Path) -> Result<()>;

    /// Takes the lock of a file, creating it if needed, until the result is dropped.
    ///
    /// Fails with [`ErrorKind::WouldBlock`] while another holds the lock.
    fn lock(&self, path: &Path) -> Result<Box<dyn Debug + Send>>;

    /// Names of the files in a folder, in any order.
    fn file_names(&self, folder: &Path) -> Result<Vec<String>>;

    /// Content of a file.
    fn read(&self, path: &Path) -> Result<Vec<u8>>;

    /// Creates an empty file, or empties the one of that name.
    fn create(&self, path: &Path) -> Result<Box<dyn OpenFile>>;

    /// Opens a file for writes at its end.
    fn open_for_append(&self, path: &Path) -> Result<Box<dyn OpenFile>>;

    /// Gives a file another name, replacing the file of that name.
    fn rename(&self, from: &Path, to: &Path) -> Result<()>;

    /// Removes a file.
    fn remove(&self, path: &Path) -> Result<()>;

    /// Makes the names in a folder durable.
    fn sync_folder(&self, path: &Path) -> Result<()>;
}

/// The file system of the operating system.
#[derive(Debug)]
pub struct OsFileSystem;

impl FileSystem for OsFileSystem {
    fn create_folder(&self, path: &Path) -> Result<()> {
        std::fs::create_dir_all(path)
    }

    fn lock(&self, path: &Path) -> Result<Box<dyn Debug + Send>> {
        let file = OpenOptions::new().create(true).truncate(false).write(true).open(path)?;
        match file.try_lock() {
            Ok(()) => Ok(Box::new(file)),
            Err(TryLockError::WouldBlock) => Err(ErrorKind::WouldBlock.into()),
            Err(TryLockError::Error(error)) => Err(error),
        }
    }

    fn file_names(&self, folder: &Path) -> Result<Vec<String>> {
        let name = |entry: Result<std::fs::DirEntry>| {
            entry.map(|it| it.file_name().to_string_lossy().to_string())
        };
        std::fs::read_dir(folder)?.map(name).collect()
    }

    fn read(&self, path: &Path) -> Result<Vec<u8>> {
        std::fs::read(path)
    }

    fn create(&self, path: &Path) -> Result<Box<dyn OpenFile>> {
        Ok(Box::new(File::create(path)?))
    }

    fn open_for_append(&self, path: &Path) -> Result<Box<dyn OpenFile>> {
        Ok(Box::new(OpenOptions::new().append(true).open(path)?))
    }

    fn rename(&self, from: &Path, to: &Path) -> Result<()> {
        std::fs::rename(from, to)
    }

    fn remove(&self, path: &Path) -> Result<()> {
        std::fs::remove_file(path)
    }

    fn sync_folder(&self, path: &Path) -> Result<()> {
        File::open(path)?.sync_all()
    }
}

/// A file that is open for writes.
pub trait OpenFile: Debug + Send {
    /// Writes all bytes at the end of the file; a failed write may have written some of them.
    fn append(&mut self, bytes: &[u8]) -> Result<()>;

    /// Cuts the file to a length in bytes.
    fn truncate(&mut self, length_bytes: u64) -> Result<()>;

    /// Makes the content of the file durable.
    fn sync_data(&mut self) -> Result<()>;

    /// Makes the content of the file and all that is known of it durable.
    fn sync_all(&mut self) -> Result<()>;
}

impl OpenFile for File {
    fn append(&mut self, bytes: &[u8]) -> Result<()> {
        self.write_all(bytes)
    }

    fn truncate(&mut self, length_bytes: u64) -> Result<()> {
        self.set_len(length_bytes)
    }

    fn sync_data(&mut self) -> Result<()> {
        File::sync_data(self)
    }

    fn sync_all(&mut self) -> Result<()> {
        File::sync_all(self)
    }
}
