//! The disk thread of a control host: it writes in order, syncs in groups, and reports.

use std::thread::JoinHandle;

use bilberryloft_coordination::raft::Outbound;
use bilberryloft_state::error::Error;
use bilberryloft_state::error::Result;
use bilberryloft_state::snapshot::Snapshot;
use bilberryloft_state::storage::Storage;
use bilberryloft_state::wal::HardState;
use bilberryloft_state::wal::LogEntry;
use bilberryloft_state::wal::WalRecord;
use tokio::sync::mpsc;

/// Work for the disk, in order.
#[derive(Debug)]
pub enum DiskJob {
    /// Make records durable, then let the messages go.
    Append {
        /// Number to report, 0 for none.
        number: u64,
        /// Records.
        records: Vec<WalRecord>,
        /// Messages that wait for them.
        messages: Vec<Outbound>,
    },
    /// Start a new log after a snapshot that is durable already.
    Rotate {
        /// Index of the last entry that the snapshot covers.
        snapshot_index: u64,
        /// Term and vote.
        hard_state: HardState,
        /// Whether the member may vote.
        may_vote: bool,
        /// Entries after the snapshot.
        entries: Vec<LogEntry>,
    },
    /// Replace the log by a snapshot and the entries after it, then let the messages go.
    Install {
        /// Number to report, 0 for none.
        number: u64,
        /// The snapshot.
        snapshot: Snapshot,
        /// Term and vote.
        hard_state: HardState,
        /// Whether the member may vote.
        may_vote: bool,
        /// Entries after the snapshot.
        entries: Vec<LogEntry>,
        /// Messages that wait for it.
        messages: Vec<Outbound>,
    },
}

/// What the disk thread reports.
#[derive(Debug)]
pub enum DiskReport {
    /// Everything up to a number is durable, and the messages may go.
    Durable {
        /// Highest number that is covered, 0 for none.
        number: u64,
        /// Messages in order.
        messages: Vec<Outbound>,
    },
    /// The disk failed and will do nothing any more.
    Failed(Error),
}

/// A running disk thread; it ends when the sender of jobs is dropped.
#[derive(Debug)]
pub struct Disk {
    jobs: Option<std::sync::mpsc::Sender<DiskJob>>,
    thread: Option<JoinHandle<()>>,
}

impl Disk {
    /// Starts the thread.
    pub fn spawn(storage: Storage, reports: mpsc::UnboundedSender<DiskReport>) -> Result<Disk> {
        let (jobs, queue) = std::sync::mpsc::channel();
        let thread = std::thread::Builder::new()
            .name("disk".to_string())
            .spawn(move || run(storage, &queue, &reports))
            .map_err(|it| Error::disk("start the disk thread for", "the data folder", it))?;
        Ok(Disk { jobs: Some(jobs), thread: Some(thread) })
    }

    /// A disk without a thread, in place of one that has failed; it drops all jobs.
    pub fn stopped() -> Disk {
        Disk { jobs: None, thread: None }
    }

    /// Queues a job; after a failure it is dropped.
    pub fn submit(&self, job: DiskJob) {
        if let Some(jobs) = &self.jobs {
            let _ = jobs.send(job);
        }
    }
}

impl Drop for Disk {
    fn drop(&mut self) {
        self.jobs = None;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn run(
    mut storage: Storage,
    queue: &std::sync::mpsc::Receiver<DiskJob>,
    reports: &mpsc::UnboundedSender<DiskReport>,
) {
    while let Ok(first) = queue.recv() {
        let mut jobs = vec![first];
        jobs.extend(queue.try_iter());
        let report = match perform(&mut storage, jobs) {
            Ok((number, messages)) => DiskReport::Durable { number, messages },
            Err(error) => DiskReport::Failed(error),
        };
        let has_failed = matches!(report, DiskReport::Failed(_));
        if reports.send(report).is_err() || has_failed {
            return;
        }
    }
}

fn perform(storage: &mut Storage, jobs: Vec<DiskJob>) -> Result<(u64, Vec<Outbound>)> {
    let mut highest = 0;
    let mut waiting = Vec::new();
    let mut needs_sync = false;
    for job in jobs {
        match job {
            DiskJob::Append { number, records, messages } => {
                if !records.is_empty() {
                    storage.append(&records)?;
                    needs_sync = true;
                }
                highest = highest.max(number);
                waiting.extend(messages);
            }
            DiskJob::Rotate { snapshot_index, hard_state, may_vote, entries } => {
                storage.rotate(snapshot_index, hard_state, may_vote, &entries)?;
                needs_sync = false;
            }
            DiskJob::Install { number, snapshot, hard_state, may_vote, entries, messages } => {
                storage.install(&snapshot, hard_state, may_vote, &entries)?;
                needs_sync = false;
                highest = highest.max(number);
                waiting.extend(messages);
            }
        }
    }
    if needs_sync {
        storage.sync()?;
    }
    Ok((highest, waiting))
}
