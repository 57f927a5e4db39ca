//! A founder whose process is killed before its record of the founding is durable.
#![allow(clippy::unwrap_used)]

use std::fmt::Debug;
use std::io::Result;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use bilberryloft_daemon::control::ControlHandle;
use bilberryloft_daemon::control::ControlNode;
use bilberryloft_daemon::settings::ControlSettings;
use bilberryloft_state::file_system::FileSystem;
use bilberryloft_state::file_system::OpenFile;
use bilberryloft_state::file_system::OsFileSystem;
use bilberryloft_state::folder::DataFolder;

/// File system on which the process doesn't live to see a sync end.
#[derive(Debug)]
struct WithoutSyncs;

#[derive(Debug)]
struct FileWithoutSyncs(Box<dyn OpenFile>);

fn killed<T>() -> Result<T> {
    Err(std::io::Error::other("the process was killed"))
}

impl FileSystem for WithoutSyncs {
    fn create_folder(&self, path: &Path) -> Result<()> {
        OsFileSystem.create_folder(path)
    }

    fn lock(&self, path: &Path) -> Result<Box<dyn Debug + Send>> {
        OsFileSystem.lock(path)
    }

    fn file_names(&self, folder: &Path) -> Result<Vec<String>> {
        OsFileSystem.file_names(folder)
    }

    fn read(&self, path: &Path) -> Result<Vec<u8>> {
        OsFileSystem.read(path)
    }

    fn create(&self, path: &Path) -> Result<Box<dyn OpenFile>> {
        Ok(Box::new(FileWithoutSyncs(OsFileSystem.create(path)?)))
    }

    fn open_for_append(&self, path: &Path) -> Result<Box<dyn OpenFile>> {
        Ok(Box::new(FileWithoutSyncs(OsFileSystem.open_for_append(path)?)))
    }

    fn rename(&self, from: &Path, to: &Path) -> Result<()> {
        OsFileSystem.rename(from, to)
    }

    fn remove(&self, path: &Path) -> Result<()> {
        OsFileSystem.remove(path)
    }

    fn sync_folder(&self, _path: &Path) -> Result<()> {
        killed()
    }
}

impl OpenFile for FileWithoutSyncs {
    fn append(&mut self, bytes: &[u8]) -> Result<()> {
        self.0.append(bytes)
    }

    fn truncate(&mut self, length_bytes: u64) -> Result<()> {
        self.0.truncate(length_bytes)
    }

    fn sync_data(&mut self) -> Result<()> {
        killed()
    }

    fn sync_all(&mut self) -> Result<()> {
        killed()
    }
}

struct TempFolder(PathBuf);

impl TempFolder {
    fn create(name: &str) -> TempFolder {
        let path = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        TempFolder(path)
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn settings(folder: &TempFolder, is_first: bool) -> ControlSettings {
    let members = if is_first { r#"{"1": "127.0.0.1:7400"}"# } else { "{}" };
    let path = folder.0.display();
    let text = format!(
        r#"{{"member": 1, "members": {members}, "first_start": {is_first}, "data_folder": "{path}", "voters_wanted": 1}}"#
    );
    serde_json::from_str(&text).unwrap()
}

/// Waits until the member leads its quorum of one.
async fn leads(handle: &ControlHandle) -> bool {
    for _ in 0..1_000 {
        if handle.status().leads {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    false
}

// Guards against a quorum that never forms, because its founders are killed while their first writes wait for a slow disk.
#[tokio::test]
async fn founder_killed_in_its_first_sync_founds_the_quorum_later() {
    let folder = TempFolder::create("founder-killed");
    let slow_disk = DataFolder::on(Arc::new(WithoutSyncs), &folder.0);
    let first = ControlNode::spawn_in(slow_disk, &settings(&folder, true), "control-1", 1);
    assert!(first.is_err());
    let handle = ControlNode::spawn(&settings(&folder, false), "control-1", 2).unwrap();
    assert!(leads(&handle).await);
}

#[tokio::test]
async fn host_that_was_never_told_to_found_leads_nothing() {
    let folder = TempFolder::create("founder-untold");
    let handle = ControlNode::spawn(&settings(&folder, false), "control-1", 1).unwrap();
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert!(!handle.status().leads && !handle.status().may_vote);
}
