//! A member that uses its storage as a control host does: jobs wait for the disk, snapshots are written beside them.

use std::collections::VecDeque;
use std::path::Path;
use std::path::PathBuf;

use bilberryloft_state::error::Error;
use bilberryloft_state::error::Result;
use bilberryloft_state::file_system::SharedFileSystem;
use bilberryloft_state::folder::DataFolder;
use bilberryloft_state::snapshot::Snapshot;
use bilberryloft_state::storage::RecoveredState;
use bilberryloft_state::storage::Storage;
use bilberryloft_state::wal::HardState;
use bilberryloft_state::wal::LogEntry;
use bilberryloft_state::wal::WalRecord;
use bilberryloft_testing::memory_disk::MemoryDisk;
use bilberryloft_testing::memory_disk::Refusal;

use super::model::Model;
use super::model::entry;
use super::model::snapshot_of;

const FOLDER: &str = "/data/member";
/// Longest text of most entries, and of the few that span several sectors.
const TEXT_BYTES_MAX: usize = 40;
const LONG_TEXT_BYTES_MAX: usize = 3_000;
/// Batches of jobs of which one meets a failing device.
const BATCHES_PER_FAILURE: u8 = 32;
/// Salt that keeps these failures apart from the other random choices of a seed.
const FAILURE_SALT: u64 = 0x5EED;

/// A job that waits for the disk.
enum Job {
    Append(Vec<WalRecord>),
    Rotate { snapshot_index: u64, state: Model },
    Install { snapshot: Snapshot, state: Model },
}

/// A snapshot to write.
pub struct SnapshotTask {
    pub snapshot: Snapshot,
    pub disk: MemoryDisk,
    pub folder: PathBuf,
    pub epoch: u64,
}

pub struct Member {
    seed: u64,
    random: fastrand::Rng,
    /// Decides which syncs fail for good.
    failures: fastrand::Rng,
    step: u64,
    steps_left: u64,
    disk: MemoryDisk,
    file_system: SharedFileSystem,
    storage: Option<Storage>,
    /// Entries that no member may lose or replace.
    committed: Vec<LogEntry>,
    memory: Model,
    snapshot_index: u64,
    jobs: VecDeque<Job>,
    /// The state that was reported durable, then the state after each record that was handed to the disk since.
    states: Vec<Model>,
    is_snapshotting: bool,
    /// Whether all jobs wait.
    is_slow: bool,
    /// Number of the latest opening of the folder.
    epoch: u64,
    texts: u64,
}

impl Member {
    pub fn start(seed: u64, steps: u64) -> Member {
        let disk = MemoryDisk::default();
        let mut member = Member {
            seed,
            random: fastrand::Rng::with_seed(seed),
            failures: fastrand::Rng::with_seed(seed ^ FAILURE_SALT),
            step: 0,
            steps_left: steps,
            file_system: disk.start_process(),
            disk,
            storage: None,
            committed: Vec::new(),
            memory: Model::default(),
            snapshot_index: 0,
            jobs: VecDeque::new(),
            states: vec![Model::default()],
            is_snapshotting: false,
            is_slow: false,
            epoch: 0,
            texts: 0,
        };
        member.open();
        member
    }

    pub fn has_steps_left(&self) -> bool {
        self.steps_left > 0
    }

    pub fn opened(&self) -> u64 {
        self.epoch
    }

    pub fn turns_beside_a_snapshot(&mut self) -> usize {
        self.random.usize(0..6)
    }

    /// Runs one random step, and returns the snapshot that it starts, if any.
    pub fn step(&mut self, may_snapshot: bool) -> Option<SnapshotTask> {
        if self.steps_left == 0 {
            return None;
        }
        self.steps_left -= 1;
        self.step += 1;
        if self.storage.is_none() {
            self.open();
            return None;
        }
        match self.random.u8(0..64) {
            0..=13 => self.propose(),
            14 => self.change_term(),
            15..=16 => self.replace_entries(),
            17..=32 if !self.is_slow => self.run_jobs(),
            33..=38 => self.commit(),
            39..=48 if may_snapshot => return self.start_snapshot(),
            49 => self.install(),
            50..=52 => self.is_slow = !self.is_slow,
            53 => self.reopen(),
            54 => self.restart(false),
            55 => self.restart(true),
            56..=57 => self.disk.kill_after(self.random.u64(0..12)),
            58 => self.fill(),
            59..=60 => self.make_room(),
            _ => {}
        }
        None
    }

    fn fail(&self, what: &str) -> ! {
        panic!("seed {}, step {}: {what}", self.seed, self.step);
    }

    fn new_entry(&mut self, index: u64) -> LogEntry {
        self.texts += 1;
        let is_long = self.random.u8(0..8) == 0;
        let bytes_max = if is_long { LONG_TEXT_BYTES_MAX } else { TEXT_BYTES_MAX };
        let filler = "x".repeat(self.random.usize(0..bytes_max));
        entry(index, &format!("{} {filler}", self.texts))
    }

    fn submit(&mut self, records: Vec<WalRecord>) {
        for record in &records {
            self.memory.write(record);
        }
        self.jobs.push_back(Job::Append(records));
    }

    fn propose(&mut self) {
        let first = self.memory.last_index() + 1;
        let count = self.random.u64(1..4);
        let records =
            (first..first + count).map(|it| WalRecord::Entry(self.new_entry(it))).collect();
        self.submit(records);
    }

    fn change_term(&mut self) {
        let term = self.memory.hard_state.term + 1;
        let vote = self.random.bool().then_some(2);
        let mut records = vec![WalRecord::HardState(HardState { term, vote })];
        if !self.memory.may_vote {
            records.push(WalRecord::MayVote);
        }
        self.submit(records);
    }

    /// Replaces entries that are not committed, as a new leader makes a follower do.
    fn replace_entries(&mut self) {
        let committed = self.committed.len() as u64;
        if self.memory.last_index() > committed {
            let from_index = self.random.u64(committed + 1..=self.memory.last_index());
            let entry = self.new_entry(from_index);
            self.submit(vec![WalRecord::Truncate { from_index }, WalRecord::Entry(entry)]);
        }
    }

    fn commit(&mut self) {
        let index = self.random.usize(self.committed.len()..=self.memory.entries.len());
        self.committed = self.memory.entries[..index].to_vec();
    }

    fn start_snapshot(&mut self) -> Option<SnapshotTask> {
        let is_due = self.committed.len() as u64 > self.snapshot_index;
        if self.is_snapshotting || !is_due {
            return None;
        }
        self.is_snapshotting = true;
        Some(SnapshotTask {
            snapshot: snapshot_of(&self.committed),
            disk: self.disk.clone(),
            folder: PathBuf::from(FOLDER),
            epoch: self.epoch,
        })
    }

    /// Switches the log to a snapshot, unless the folder was opened again since the snapshot was started.
    pub fn finish_snapshot(&mut self, snapshot: &Snapshot, written: Result<()>, epoch: u64) {
        if epoch != self.epoch {
            return;
        }
        self.is_snapshotting = false;
        if written.is_ok() && snapshot.last_index > self.snapshot_index {
            self.snapshot_index = snapshot.last_index;
            let state = self.memory.clone();
            self.jobs.push_back(Job::Rotate { snapshot_index: snapshot.last_index, state });
        }
    }

    /// Installs a snapshot of a leader that is further.
    fn install(&mut self) {
        self.committed = self.memory.entries.clone();
        for _ in 0..self.random.u64(1..5) {
            let entry = self.new_entry(self.committed.len() as u64 + 1);
            self.committed.push(entry);
        }
        self.memory.entries = self.committed.clone();
        let snapshot = snapshot_of(&self.committed);
        self.snapshot_index = snapshot.last_index;
        self.jobs.push_back(Job::Install { snapshot, state: self.memory.clone() });
    }

    /// Runs some of the waiting jobs with one sync.
    fn run_jobs(&mut self) {
        let count = self.random.usize(0..=self.jobs.len());
        let jobs: Vec<Job> = self.jobs.drain(..count).collect();
        let mut storage = self.storage.take().unwrap();
        // What a failed sync has left stays if the process is killed before it is cut off; nothing tells of it then.
        let fails = self.failures.u8(0..BATCHES_PER_FAILURE) == 0 && !self.disk.is_kill_due();
        self.disk.fail_next_sync(fails);
        let result = jobs.into_iter().try_for_each(|it| self.run_job(&mut storage, it));
        let result = result.and_then(|()| storage.sync());
        self.disk.fail_next_sync(false);
        match result {
            Ok(()) => {
                self.states.drain(..self.states.len() - 1);
                self.storage = Some(storage);
            }
            Err(Error::Disk { .. }) => {
                drop(storage);
                match self.random.bool() {
                    true => self.restart(true),
                    false => self.open(),
                }
            }
            Err(error) => self.fail(&format!("a job failed: {error}")),
        }
    }

    fn run_job(&mut self, storage: &mut Storage, job: Job) -> Result<()> {
        match job {
            Job::Append(records) => {
                for record in &records {
                    let mut state = self.states.last().unwrap().clone();
                    state.write(record);
                    self.states.push(state);
                }
                storage.append(&records)
            }
            Job::Rotate { snapshot_index, state } => {
                let entries = &state.entries[snapshot_index as usize..];
                storage.rotate(snapshot_index, state.hard_state, state.may_vote, entries)
            }
            Job::Install { snapshot, state } => {
                self.states.push(state.clone());
                storage.install(&snapshot, state.hard_state, state.may_vote, &[])
            }
        }
    }

    fn reopen(&mut self) {
        self.storage = None;
        self.open();
    }

    fn restart(&mut self, loses_power: bool) {
        self.storage = None;
        if loses_power {
            let keep_nothing = self.random.u8(0..4) == 0;
            self.disk.lose_power(&mut self.random, keep_nothing);
        }
        self.file_system = self.disk.start_process();
        self.open();
    }

    fn fill(&mut self) {
        match self.random.u8(0..3) {
            0 => self.disk.refuse(Refusal::Writes),
            1 => self.disk.refuse(Refusal::Changes),
            _ => self.disk.set_room(Some(self.random.usize(0..200))),
        }
    }

    fn make_room(&mut self) {
        self.disk.refuse(Refusal::Nothing);
        self.disk.set_room(None);
    }

    /// Opens the folder; with a full disk or in a killed process that may fail, and is tried again with room.
    fn open(&mut self) {
        let folder = DataFolder::on(self.file_system.clone(), Path::new(FOLDER));
        let first = Storage::open_folder(folder);
        let opened = match first {
            Err(Error::Disk { .. }) => {
                self.make_room();
                self.file_system = self.disk.start_process();
                Storage::open_folder(DataFolder::on(self.file_system.clone(), Path::new(FOLDER)))
            }
            other => other,
        };
        match opened {
            Ok((storage, recovered)) => self.take_up(storage, &recovered),
            Err(error) => self.fail(&format!("the folder can't be opened: {error}")),
        }
    }

    /// Goes on from what the storage has recovered, all of which a member may acknowledge at once.
    fn take_up(&mut self, storage: Storage, recovered: &RecoveredState) {
        let found = Model::of(recovered);
        if !self.states.contains(&found) {
            let (durable, last) = (&self.states[0], &self.states[self.states.len() - 1]);
            let (found, durable, last) = (found.summary(), durable.summary(), last.summary());
            self.fail(&format!("recovered {found}\ndurable {durable}\nlast {last}"));
        }
        self.storage = Some(storage);
        self.states = vec![found.clone()];
        self.memory = found;
        self.snapshot_index = recovered.snapshot.as_ref().map_or(0, |it| it.last_index);
        self.jobs.clear();
        self.is_snapshotting = false;
        self.epoch += 1;
        self.fetch_committed();
    }

    /// Takes over the committed entries that the member lacks, as from its leader.
    fn fetch_committed(&mut self) {
        let pairs = self.committed.iter().zip(&self.memory.entries);
        let equal = pairs.take_while(|(one, other)| one == other).count();
        if equal == self.committed.len() {
            return;
        }
        let mut records = Vec::new();
        if equal < self.memory.entries.len() {
            records.push(WalRecord::Truncate { from_index: equal as u64 + 1 });
        }
        records.extend(self.committed[equal..].iter().cloned().map(WalRecord::Entry));
        self.submit(records);
    }
}
