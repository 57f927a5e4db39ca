//! A simulated disk that knows what is durable: a loss of power keeps, loses or tears each write and each change of a
//! name that was not synced, a kill leaves the files as they are, and a full disk refuses writes.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt::Debug;
use std::io::Error;
use std::io::ErrorKind;
use std::io::Result;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;

use bilberryloft_state::file_system::FileSystem;
use bilberryloft_state::file_system::OpenFile;
use bilberryloft_state::file_system::SharedFileSystem;
use parking_lot::Condvar;
use parking_lot::Mutex;

use crate::memory_file::MemoryFile;

/// What a simulated disk refuses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Refusal {
    /// Nothing, while there is room.
    #[default]
    Nothing,
    /// Each write.
    Writes,
    /// Each sync of a file.
    Syncs,
    /// Each write, each new or changed name and each sync; files can be removed.
    Changes,
}

/// Whether a sync is, or is to be, held up.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
enum Hold {
    #[default]
    Off,
    /// The next sync of a file or folder whose name starts with the text is held up.
    Armed(String),
    Holding,
}

impl Hold {
    fn takes(&self, path: &Path) -> bool {
        match self {
            Hold::Armed(start) => {
                let name = path.file_name().map(|it| it.to_string_lossy());
                name.is_some_and(|it| it.starts_with(start.as_str()))
            }
            Hold::Off | Hold::Holding => false,
        }
    }
}

/// A change of a name that is not durable yet.
#[derive(Clone, Debug)]
enum NameChange {
    Created { path: PathBuf, file: u64 },
    Renamed { from: PathBuf, to: PathBuf, file: u64 },
    Removed { path: PathBuf },
}

#[derive(Debug, Default)]
struct State {
    files: BTreeMap<u64, MemoryFile>,
    names: BTreeMap<PathBuf, u64>,
    durable_names: BTreeMap<PathBuf, u64>,
    name_changes: Vec<NameChange>,
    locks: BTreeSet<PathBuf>,
    next_file: u64,
    /// Number of the process that runs; calls of earlier ones fail.
    process: u64,
    refusal: Refusal,
    /// Bytes that all files may hold together, if the disk is small.
    capacity_bytes: Option<usize>,
    hold: Hold,
    /// Whether the next sync of a file fails for good.
    fails_next_sync: bool,
    /// Calls until the process is killed.
    calls_left: Option<u64>,
}

/// A simulated disk; clones refer to the same one.
#[derive(Clone, Debug, Default)]
pub struct MemoryDisk {
    state: Arc<Mutex<State>>,
    released: Arc<Condvar>,
}

impl MemoryDisk {
    /// Starts a process on the disk, and returns its view of it. Earlier processes are killed.
    pub fn start_process(&self) -> SharedFileSystem {
        self.kill();
        let process = self.state.lock().process;
        Arc::new(MemoryFileSystem { disk: self.clone(), process, before_call: None })
    }

    /// Another view of the disk for the running process, which runs a function before each of its calls.
    pub fn with_hook(&self, before_call: impl Fn() + Send + Sync + 'static) -> SharedFileSystem {
        let process = self.state.lock().process;
        let before_call = Some(Hook(Arc::new(before_call)));
        Arc::new(MemoryFileSystem { disk: self.clone(), process, before_call })
    }

    /// Kills the running process; the files stay as they are.
    pub fn kill(&self) {
        self.state.lock().kill();
        self.released.notify_all();
    }

    /// Kills the running process after a number of its calls.
    pub fn kill_after(&self, calls: u64) {
        self.state.lock().calls_left = Some(calls);
    }

    /// Whether the running process will be killed after a number of its calls.
    pub fn is_kill_due(&self) -> bool {
        self.state.lock().calls_left.is_some()
    }

    /// Ends the running process and decides for each change that is not durable whether it stays. `keep_nothing` loses
    /// them all.
    pub fn lose_power(&self, random: &mut fastrand::Rng, keep_nothing: bool) {
        self.state.lock().lose_power(random, keep_nothing);
        self.released.notify_all();
    }

    /// Sets what the disk refuses.
    pub fn refuse(&self, refusal: Refusal) {
        self.state.lock().refusal = refusal;
    }

    /// Limits the disk to what its files hold now and a number of bytes, or lifts the limit.
    pub fn set_room(&self, bytes: Option<usize>) {
        let mut state = self.state.lock();
        state.capacity_bytes = bytes.map(|it| it + state.used_bytes());
    }

    /// Holds up the next sync of a file or folder whose name starts with a text, until [`MemoryDisk::release`]. Later
    /// syncs are not held up.
    pub fn hold_next_sync(&self, name_start: &str) {
        self.state.lock().hold = Hold::Armed(name_start.to_string());
    }

    /// Says whether the next sync of a file fails as after an error of the device: what it was to make durable stays in the
    /// files as processes see them, and no later sync makes it durable.
    pub fn fail_next_sync(&self, fails: bool) {
        self.state.lock().fails_next_sync = fails;
    }

    /// Removes all files, as if another, empty disk had taken the place of this one.
    pub fn wipe(&self) {
        let mut state = self.state.lock();
        state.files.clear();
        state.names.clear();
        state.durable_names.clear();
        state.name_changes.clear();
    }

    /// Whether a sync is held up.
    pub fn is_holding(&self) -> bool {
        self.state.lock().hold == Hold::Holding
    }

    /// Lets the sync that is held up go on.
    pub fn release(&self) {
        self.state.lock().hold = Hold::Off;
        self.released.notify_all();
    }

    /// Paths of all files.
    pub fn paths(&self) -> Vec<PathBuf> {
        self.state.lock().names.keys().cloned().collect()
    }

    /// Content of a file, durable or not.
    pub fn content(&self, path: &Path) -> Option<Vec<u8>> {
        let state = self.state.lock();
        state.names.get(path).map(|it| state.files[it].content().to_vec())
    }

    /// Begins a call of a process, which fails if the process is gone.
    fn call<T>(&self, process: u64, action: impl FnOnce(&mut State) -> Result<T>) -> Result<T> {
        let mut state = self.state.lock();
        state.begin_call(process)?;
        action(&mut state)
    }

    /// Begins a sync, which may be held up.
    fn sync_call(
        &self,
        process: u64,
        path: &Path,
        action: impl FnOnce(&mut State) -> Result<()>,
    ) -> Result<()> {
        let mut state = self.state.lock();
        if state.hold.takes(path) {
            state.hold = Hold::Holding;
            while state.hold == Hold::Holding && state.process == process {
                self.released.wait(&mut state);
            }
        }
        state.begin_call(process)?;
        action(&mut state)
    }
}

impl State {
    fn kill(&mut self) {
        self.process += 1;
        self.calls_left = None;
        self.locks.clear();
    }

    fn begin_call(&mut self, process: u64) -> Result<()> {
        if self.calls_left == Some(0) {
            self.kill();
        }
        self.calls_left = self.calls_left.map(|it| it.saturating_sub(1));
        match self.process == process {
            true => Ok(()),
            false => Err(Error::other("the process is gone")),
        }
    }

    fn used_bytes(&self) -> usize {
        self.names.values().map(|it| self.files[it].content().len()).sum()
    }

    fn lose_power(&mut self, random: &mut fastrand::Rng, keep_nothing: bool) {
        self.kill();
        for change in std::mem::take(&mut self.name_changes) {
            if !keep_nothing && random.bool() {
                apply(&mut self.durable_names, &change);
            }
        }
        self.names = self.durable_names.clone();
        let linked: BTreeSet<u64> = self.names.values().copied().collect();
        self.files.retain(|it, _| linked.contains(it));
        for file in self.files.values_mut() {
            file.lose_power(random, keep_nothing);
        }
    }

    fn file(&mut self, path: &Path) -> Result<u64> {
        self.names.get(path).copied().ok_or_else(|| ErrorKind::NotFound.into())
    }

    fn change_name(&mut self, change: NameChange) -> Result<()> {
        match change {
            NameChange::Created { .. } | NameChange::Renamed { .. } => self.check_changes()?,
            NameChange::Removed { .. } => {}
        }
        apply(&mut self.names, &change);
        self.name_changes.push(change);
        Ok(())
    }

    fn check_changes(&self) -> Result<()> {
        match self.refusal {
            Refusal::Changes => Err(ErrorKind::StorageFull.into()),
            Refusal::Nothing | Refusal::Writes | Refusal::Syncs => Ok(()),
        }
    }

    fn create(&mut self, path: &Path) -> Result<u64> {
        if let Some(file) = self.names.get(path).copied() {
            self.file_mut(file)?.truncate(0);
            return Ok(file);
        }
        self.next_file += 1;
        let file = self.next_file;
        self.change_name(NameChange::Created { path: path.to_path_buf(), file })?;
        self.files.insert(file, MemoryFile::default());
        Ok(file)
    }

    fn file_mut(&mut self, file: u64) -> Result<&mut MemoryFile> {
        self.files.get_mut(&file).ok_or_else(|| ErrorKind::NotFound.into())
    }

    /// Writes what there is room for, and fails if that is not all.
    fn append(&mut self, file: u64, bytes: &[u8]) -> Result<()> {
        match self.refusal {
            Refusal::Writes | Refusal::Changes => return Err(ErrorKind::StorageFull.into()),
            Refusal::Nothing | Refusal::Syncs => {}
        }
        let used_bytes = self.used_bytes();
        let room = self.capacity_bytes.map_or(usize::MAX, |it| it.saturating_sub(used_bytes));
        let written = &bytes[..bytes.len().min(room)];
        if !written.is_empty() {
            self.file_mut(file)?.append(written);
        }
        match written.len() == bytes.len() {
            true => Ok(()),
            false => Err(ErrorKind::StorageFull.into()),
        }
    }

    /// Makes a file durable, and its name if the file is new.
    fn sync(&mut self, file: u64) -> Result<()> {
        if self.refusal == Refusal::Syncs {
            return Err(ErrorKind::StorageFull.into());
        }
        self.check_changes()?;
        if std::mem::take(&mut self.fails_next_sync) {
            self.file_mut(file)?.fail_sync();
            return Err(Error::other("the device has failed"));
        }
        self.file_mut(file)?.sync();
        let is_of_file = |it: &NameChange| matches!(it, NameChange::Created { file: other, .. } if *other == file);
        for change in self.name_changes.extract_if(.., |it| is_of_file(it)) {
            apply(&mut self.durable_names, &change);
        }
        Ok(())
    }

    fn sync_folder(&mut self, folder: &Path) -> Result<()> {
        self.check_changes()?;
        let is_inside = |change: &NameChange| {
            let (NameChange::Created { path, .. }
            | NameChange::Renamed { to: path, .. }
            | NameChange::Removed { path }) = change;
            path.parent() == Some(folder)
        };
        for change in self.name_changes.extract_if(.., |it| is_inside(it)) {
            apply(&mut self.durable_names, &change);
        }
        Ok(())
    }
}

fn apply(names: &mut BTreeMap<PathBuf, u64>, change: &NameChange) {
    match change {
        NameChange::Created { path, file } => {
            names.insert(path.clone(), *file);
        }
        NameChange::Renamed { from, to, file } => {
            if names.get(from) == Some(file) {
                names.remove(from);
            }
            names.insert(to.clone(), *file);
        }
        NameChange::Removed { path } => {
            names.remove(path);
        }
    }
}

/// A function that runs before each call.
#[derive(Clone)]
struct Hook(Arc<dyn Fn() + Send + Sync>);

impl Debug for Hook {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("Hook")
    }
}

/// One process's view of a simulated disk.
#[derive(Clone, Debug)]
struct MemoryFileSystem {
    disk: MemoryDisk,
    process: u64,
    before_call: Option<Hook>,
}

impl MemoryFileSystem {
    fn call<T>(&self, action: impl FnOnce(&mut State) -> Result<T>) -> Result<T> {
        self.run_hook();
        self.disk.call(self.process, action)
    }

    fn sync_call(&self, path: &Path, action: impl FnOnce(&mut State) -> Result<()>) -> Result<()> {
        self.run_hook();
        self.disk.sync_call(self.process, path, action)
    }

    fn run_hook(&self) {
        if let Some(Hook(before_call)) = &self.before_call {
            before_call();
        }
    }

    fn open(&self, path: &Path, file: u64) -> Box<dyn OpenFile> {
        Box::new(OpenMemoryFile { file_system: self.clone(), path: path.to_path_buf(), file })
    }
}

impl FileSystem for MemoryFileSystem {
    fn create_folder(&self, _path: &Path) -> Result<()> {
        self.call(|_| Ok(()))
    }

    fn lock(&self, path: &Path) -> Result<Box<dyn Debug + Send>> {
        self.call(|state| match state.locks.insert(path.to_path_buf()) {
            true => Ok(()),
            false => Err(ErrorKind::WouldBlock.into()),
        })?;
        let (disk, process) = (self.disk.clone(), self.process);
        Ok(Box::new(MemoryLock { disk, process, path: path.to_path_buf() }))
    }

    fn file_names(&self, folder: &Path) -> Result<Vec<String>> {
        let name = |it: &PathBuf| it.file_name().map(|name| name.to_string_lossy().to_string());
        self.call(|state| {
            let inside = state.names.keys().filter(|it| it.parent() == Some(folder));
            Ok(inside.filter_map(name).collect())
        })
    }

    fn read(&self, path: &Path) -> Result<Vec<u8>> {
        self.call(|state| {
            let file = state.file(path)?;
            Ok(state.file_mut(file)?.content().to_vec())
        })
    }

    fn create(&self, path: &Path) -> Result<Box<dyn OpenFile>> {
        let file = self.call(|state| state.create(path))?;
        Ok(self.open(path, file))
    }

    fn open_for_append(&self, path: &Path) -> Result<Box<dyn OpenFile>> {
        let file = self.call(|state| state.file(path))?;
        Ok(self.open(path, file))
    }

    fn rename(&self, from: &Path, to: &Path) -> Result<()> {
        self.call(|state| {
            let file = state.file(from)?;
            let (from, to) = (from.to_path_buf(), to.to_path_buf());
            state.change_name(NameChange::Renamed { from, to, file })
        })
    }

    fn remove(&self, path: &Path) -> Result<()> {
        self.call(|state| {
            state.file(path)?;
            state.change_name(NameChange::Removed { path: path.to_path_buf() })
        })
    }

    fn sync_folder(&self, path: &Path) -> Result<()> {
        self.sync_call(path, |state| state.sync_folder(path))
    }
}

/// An open file of a simulated disk.
#[derive(Debug)]
struct OpenMemoryFile {
    file_system: MemoryFileSystem,
    path: PathBuf,
    file: u64,
}

impl OpenFile for OpenMemoryFile {
    fn append(&mut self, bytes: &[u8]) -> Result<()> {
        self.file_system.call(|state| state.append(self.file, bytes))
    }

    fn truncate(&mut self, length_bytes: u64) -> Result<()> {
        self.file_system.call(|state| {
            state.check_changes()?;
            state.file_mut(self.file)?.truncate(length_bytes as usize);
            Ok(())
        })
    }

    fn sync_data(&mut self) -> Result<()> {
        self.file_system.sync_call(&self.path, |state| state.sync(self.file))
    }

    fn sync_all(&mut self) -> Result<()> {
        self.sync_data()
    }
}

/// The lock of a file of a simulated disk.
#[derive(Debug)]
struct MemoryLock {
    disk: MemoryDisk,
    process: u64,
    path: PathBuf,
}

impl Drop for MemoryLock {
    fn drop(&mut self) {
        let mut state = self.disk.state.lock();
        if state.process == self.process {
            state.locks.remove(&self.path);
        }
    }
}
