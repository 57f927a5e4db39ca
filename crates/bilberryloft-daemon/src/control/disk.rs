//! The disk thread of a control host: runs jobs in order, syncs once per batch and reports each batch.

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

/// A job for the disk thread; jobs run in the order in which they are submitted.
#[derive(Debug)]
pub enum DiskJob {
    /// Makes records durable, then releases the messages.
    Append {
        /// Number to report once the records are durable, 0 for none.
        persist_number: u64,
        /// Records to append to the log.
        records: Vec<WalRecord>,
        /// Messages that may be sent only after the records are durable.
        messages: Vec<Outbound>,
    },
    /// Starts a new log after a snapshot that is already durable.
    Rotate {
        /// Index of the last log entry that the snapshot covers.
        snapshot_index: u64,
        /// Term and vote.
        hard_state: HardState,
        /// Whether the member may vote.
        may_vote: bool,
        /// Log entries after the snapshot.
        entries: Vec<LogEntry>,
    },
    /// Replaces the log by a snapshot and the log entries after it, then releases the messages.
    Install {
        /// Number to report once the snapshot is durable, 0 for none.
        persist_number: u64,
        /// Snapshot received from the leader.
        snapshot: Snapshot,
        /// Term and vote.
        hard_state: HardState,
        /// Whether the member may vote.
        may_vote: bool,
        /// Log entries after the snapshot.
        entries: Vec<LogEntry>,
        /// Messages that may be sent only after the snapshot is durable.
        messages: Vec<Outbound>,
    },
}

/// A report from the disk thread.
#[derive(Debug)]
pub enum DiskReport {
    /// All jobs of a batch are durable, and their messages may be sent.
    Durable {
        /// Highest persist number in the batch, 0 for none.
        persist_number: u64,
        /// Released messages in the order of their jobs.
        messages: Vec<Outbound>,
    },
    /// A job failed; the disk thread has stopped and drops all later jobs.
    Failed(Error),
}

/// Handle of the disk thread; dropping it closes the job queue and joins the thread.
#[derive(Debug)]
pub struct DiskWriter {
    jobs: Option<std::sync::mpsc::Sender<DiskJob>>,
    thread: Option<JoinHandle<()>>,
}

impl DiskWriter {
    /// Starts the disk thread, which sends one report per batch of jobs; fails when no thread can be started. Without
    /// storage, the writer has no thread and drops all jobs.
    pub fn spawn(
        storage: Option<Storage>,
        reports: mpsc::UnboundedSender<DiskReport>,
    ) -> Result<DiskWriter> {
        let Some(storage) = storage else {
            return Ok(DiskWriter::stopped());
        };
        let (jobs, queue) = std::sync::mpsc::channel();
        let thread = std::thread::Builder::new()
            .name("disk".to_string())
            .spawn(move || run(storage, &queue, &reports))
            .map_err(|it| Error::disk("start the disk thread for", "the data folder", it))?;
        Ok(DiskWriter { jobs: Some(jobs), thread: Some(thread) })
    }

    /// Returns a writer without a thread that drops all jobs, to replace one that has failed.
    pub fn stopped() -> DiskWriter {
        DiskWriter { jobs: None, thread: None }
    }

    /// Whether the writer has no thread.
    pub fn is_stopped(&self) -> bool {
        self.jobs.is_none()
    }

    /// Queues a job; after a failure of the disk the job is dropped.
    pub fn submit(&self, job: DiskJob) {
        if let Some(jobs) = &self.jobs {
            let _ = jobs.send(job);
        }
    }
}

impl Drop for DiskWriter {
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
        let report = match run_jobs(&mut storage, jobs) {
            Ok((persist_number, messages)) => DiskReport::Durable { persist_number, messages },
            Err(error) => DiskReport::Failed(error),
        };
        let has_failed = matches!(report, DiskReport::Failed(_));
        if reports.send(report).is_err() || has_failed {
            return;
        }
    }
}

/// Runs a batch of jobs with one write and one sync; returns the highest persist number and the released messages.
fn run_jobs(storage: &mut Storage, jobs: Vec<DiskJob>) -> Result<(u64, Vec<Outbound>)> {
    let mut highest = 0;
    let mut released = Vec::new();
    let mut unwritten = Vec::new();
    for job in jobs {
        match job {
            DiskJob::Append { persist_number, records, messages } => {
                unwritten.extend(records);
                highest = highest.max(persist_number);
                released.extend(messages);
            }
            DiskJob::Rotate { snapshot_index, hard_state, may_vote, entries } => {
                // The new log holds what the records before it say.
                unwritten.clear();
                storage.rotate(snapshot_index, hard_state, may_vote, &entries)?;
            }
            DiskJob::Install {
                persist_number,
                snapshot,
                hard_state,
                may_vote,
                entries,
                messages,
            } => {
                unwritten.clear();
                storage.install(&snapshot, hard_state, may_vote, &entries)?;
                highest = highest.max(persist_number);
                released.extend(messages);
            }
        }
    }
    if !unwritten.is_empty() {
        storage.append(&unwritten)?;
        storage.sync()?;
    }
    Ok((highest, released))
}
