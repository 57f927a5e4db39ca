//! The loop of a control host: it feeds the replicated log, applies what is committed, and answers.

use std::collections::BTreeMap;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use bilberryloft_coordination::leases::LeaseTable;
use bilberryloft_coordination::raft::Options;
use bilberryloft_coordination::raft::Outbound;
use bilberryloft_coordination::raft::Output;
use bilberryloft_coordination::raft::Raft;
use bilberryloft_coordination::raft::Role;
use bilberryloft_coordination::raft::Start;
use bilberryloft_state::error::Error;
use bilberryloft_state::error::Result;
use bilberryloft_state::key::digest;
use bilberryloft_state::machine::Command;
use bilberryloft_state::machine::Machine;
use bilberryloft_state::machine::Outcome;
use bilberryloft_state::machine::StampedCommand;
use bilberryloft_state::member_set::MemberSet;
use bilberryloft_state::snapshot::Snapshot;
use bilberryloft_state::storage::Storage;
use bilberryloft_state::storage::write_snapshot;
use bilberryloft_state::wal::LogEntry;
use bilberryloft_state::wal::Payload;
use bilberryloft_transport::clock::epoch_ms;
use bilberryloft_transport::clock::monotonic_ms;
use parking_lot::Mutex;
use parking_lot::MutexGuard;
use tokio::sync::mpsc;
use tokio::sync::watch;

use crate::control::disk::Disk;
use crate::control::disk::DiskJob;
use crate::control::disk::DiskReport;
use crate::control::handle::Applied;
use crate::control::handle::ControlHandle;
use crate::control::handle::Input;
use crate::control::handle::PendingReply;
use crate::control::handle::ProposeError;
use crate::control::handle::QuorumStatus;
use crate::control::handle::Reply;
use crate::control::peers::Peers;
use crate::events::Event;
use crate::log_event;
use crate::settings::ControlSettings;

/// Time between ticks of the loop.
const TICK: Duration = Duration::from_millis(10);
/// Inputs that are taken in one turn of the loop.
const INPUTS_PER_TURN: usize = 1_024;
/// Inputs that may wait; more make their senders wait.
const INPUT_QUEUE_MAX: usize = 8_192;
/// Bytes that the log must have grown by since the last snapshot, as a multiple of its size.
const SNAPSHOT_GROWTH: usize = 4;

pub(super) struct Pending {
    term: u64,
    pub reply: PendingReply,
}

/// The state that the loop owns.
pub struct ControlNode {
    pub(super) raft: Raft,
    machine: Arc<Mutex<Machine>>,
    applied_index: u64,
    disk: Disk,
    peers: Peers,
    pub(super) leases: LeaseTable,
    snapshot_entries: u64,
    data_folder: PathBuf,
    own_inputs: mpsc::Sender<Input>,
    is_snapshotting: bool,
    /// Bytes of commands applied since the last snapshot.
    log_bytes: usize,
    snapshot_bytes: usize,
    pub(super) was_leader: bool,
    pub(super) pending: BTreeMap<u64, Pending>,
    reads: BTreeMap<u64, Reply<u64>>,
    next_ticket: u64,
    inputs: mpsc::Receiver<Input>,
    reports: mpsc::UnboundedReceiver<DiskReport>,
    applied: watch::Sender<Applied>,
    status: watch::Sender<QuorumStatus>,
}

impl ControlNode {
    /// Opens the data folder and starts the loop on the current runtime.
    pub fn spawn(
        settings: &ControlSettings,
        daemon: &str,
        incarnation: u64,
    ) -> Result<ControlHandle> {
        let (storage, recovered) = Storage::open(&settings.data_folder)?;
        if recovered.torn_bytes > 0 {
            log_event!(warn, Event::TornTailCut, bytes = recovered.torn_bytes);
        }
        let machine = match &recovered.snapshot {
            Some(snapshot) => decode_machine(&settings.data_folder, &snapshot.data)?,
            None => Machine::default(),
        };
        let snapshot_bytes = recovered.snapshot.as_ref().map_or(0, |it| it.data.len());
        let options = Options {
            heartbeat_ms: settings.heartbeat_ms,
            election_ms: settings.election_ms,
            ..Options::default()
        };
        let applied_index = recovered.snapshot.as_ref().map_or(0, |it| it.last_index);
        let raft = Raft::new(
            options,
            Start {
                member: settings.member,
                members: MemberSet::of_voters(settings.members.clone()),
                hard_state: recovered.hard_state,
                may_vote: recovered.may_vote,
                snapshot: recovered.snapshot,
                entries: recovered.entries,
                seed: digest(&[daemon.as_bytes(), &incarnation.to_le_bytes()]) as u64,
                now_ms: monotonic_ms(),
            },
        );
        let (input_sender, inputs) = mpsc::channel(INPUT_QUEUE_MAX);
        let (report_sender, reports) = mpsc::unbounded_channel();
        let (applied, applied_receiver) = watch::channel(Applied::default());
        let (status, status_receiver) = watch::channel(QuorumStatus::default());
        let machine = Arc::new(Mutex::new(machine));
        let handle = ControlHandle {
            inputs: input_sender.clone(),
            machine: machine.clone(),
            applied: applied_receiver,
            status: status_receiver,
        };
        let node = ControlNode {
            raft,
            machine,
            applied_index,
            disk: Disk::spawn(storage, report_sender)?,
            peers: Peers::new(daemon, incarnation, settings.member, settings.routes.clone()),
            leases: LeaseTable::new(settings.target_lease_ms),
            snapshot_entries: settings.snapshot_entries,
            data_folder: settings.data_folder.clone(),
            own_inputs: input_sender.clone(),
            is_snapshotting: false,
            log_bytes: 0,
            snapshot_bytes,
            was_leader: false,
            pending: BTreeMap::new(),
            reads: BTreeMap::new(),
            next_ticket: 0,
            inputs,
            reports,
            applied,
            status,
        };
        tokio::spawn(node.run());
        Ok(handle)
    }

    async fn run(mut self) {
        self.peers.update(&self.raft.members().clone());
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut batch = Vec::new();
        loop {
            tokio::select! {
                count = self.inputs.recv_many(&mut batch, INPUTS_PER_TURN) => {
                    if count == 0 {
                        return;
                    }
                }
                report = self.reports.recv() => {
                    if !self.take_report(report) {
                        return;
                    }
                }
                _ = ticks.tick() => {}
            }
            for input in batch.drain(..) {
                self.take_input(input);
            }
            self.turn();
        }
    }

    fn turn(&mut self) {
        self.raft.tick(monotonic_ms());
        loop {
            let output = self.raft.take_output();
            if output.is_empty() {
                break;
            }
            self.perform(output);
        }
        self.watch_role();
        self.expire_leases();
        self.snapshot_if_due();
        self.publish();
    }

    /// Returns whether the disk still works.
    fn take_report(&mut self, report: Option<DiskReport>) -> bool {
        match report {
            Some(DiskReport::Durable { number, messages }) => {
                self.send_all(messages);
                self.raft.persisted(number);
                true
            }
            Some(DiskReport::Failed(error)) => {
                log_event!(error, Event::DiskFailed, %error, help = error.help());
                false
            }
            None => false,
        }
    }

    fn take_input(&mut self, input: Input) {
        match input {
            Input::Peer(message) => self.raft.receive(message, monotonic_ms()),
            Input::Propose { command, reply } => {
                self.propose(command, PendingReply::Outcome(reply))
            }
            Input::ChangeMembers { members, reply } => self.change_members(members, reply),
            Input::Read { reply } => self.read(reply),
            Input::SnapshotWritten(written) => self.take_snapshot(written),
            Input::Announce { name, incarnation, description, leaving, reply } => {
                self.announce(name, incarnation, description, leaving, reply);
            }
        }
    }

    pub(super) fn propose(&mut self, command: Command, reply: PendingReply) {
        let stamped = StampedCommand { at_ms: epoch_ms(), command };
        let Ok(bytes) = serde_json::to_vec(&stamped) else {
            return;
        };
        match self.raft.propose(bytes) {
            Ok((term, index)) => {
                self.pending.insert(index, Pending { term, reply });
            }
            Err(_) => self.reject(reply),
        }
    }

    pub(super) fn reject(&self, reply: PendingReply) {
        reply.finish(Err(self.not_leader()));
    }

    fn not_leader(&self) -> ProposeError {
        ProposeError::NotLeader { leader_address: self.leader_address() }
    }

    fn leader_address(&self) -> Option<String> {
        self.peers.address(self.raft.members(), self.raft.leader()?)
    }

    fn change_members(&mut self, members: MemberSet, reply: Reply<bool>) {
        match self.raft.propose_members(members) {
            Ok(Some((term, index))) => {
                self.pending.insert(index, Pending { term, reply: PendingReply::Members(reply) });
                self.peers.update(&self.raft.members().clone());
            }
            Ok(None) => drop(reply.send(Ok(false))),
            Err(_) => self.reject(PendingReply::Members(reply)),
        }
    }

    fn read(&mut self, reply: Reply<u64>) {
        self.next_ticket += 1;
        match self.raft.read(self.next_ticket) {
            Ok(()) => drop(self.reads.insert(self.next_ticket, reply)),
            Err(_) => drop(reply.send(Err(self.not_leader()))),
        }
    }

    fn perform(&mut self, output: Output) {
        if let Some(snapshot) = output.install {
            self.install(snapshot, output.persist_number, output.after_sync);
        } else if output.persist_number > 0 || !output.after_sync.is_empty() {
            self.disk.submit(DiskJob::Append {
                number: output.persist_number,
                records: output.records,
                messages: output.after_sync,
            });
        }
        self.send_all(output.now);
        for entry in output.committed {
            self.apply(entry);
        }
        for (ticket, index) in output.confirmed_reads {
            if let Some(reply) = self.reads.remove(&ticket) {
                let _ = reply.send(Ok(index));
            }
        }
        for ticket in output.failed_reads {
            if let Some(reply) = self.reads.remove(&ticket) {
                let _ = reply.send(Err(ProposeError::Lost));
            }
        }
    }

    fn send_all(&self, messages: Vec<Outbound>) {
        for outbound in messages {
            self.peers.send(outbound.to, outbound.message);
        }
    }

    fn install(&mut self, snapshot: Snapshot, number: u64, messages: Vec<Outbound>) {
        match serde_json::from_slice::<Machine>(&snapshot.data) {
            Ok(machine) => *self.lock_machine() = machine,
            Err(error) => {
                log_event!(error, Event::DiskFailed, detail = "a snapshot from the leader can't be read", %error);
                return;
            }
        }
        self.applied_index = snapshot.last_index;
        log_event!(info, Event::SnapshotInstalled, index = snapshot.last_index);
        self.submit_install(snapshot, number, messages);
        self.peers.update(&self.raft.members().clone());
    }

    fn submit_install(&self, snapshot: Snapshot, number: u64, messages: Vec<Outbound>) {
        self.disk.submit(DiskJob::Install {
            number,
            snapshot,
            hard_state: self.raft.hard_state(),
            may_vote: self.raft.may_vote(),
            entries: self.raft.log().entries().to_vec(),
            messages,
        });
    }

    fn apply(&mut self, entry: LogEntry) {
        self.applied_index = entry.index;
        self.log_bytes += entry.payload_bytes();
        let outcome = match &entry.payload {
            Payload::Command(bytes) => self.lock_machine().apply_bytes(bytes),
            Payload::Members(members) => {
                log_event!(info, Event::MembersChanged, ?members, index = entry.index);
                self.peers.update(&self.raft.members().clone());
                Outcome::Applied
            }
        };
        let Some(pending) = self.pending.remove(&entry.index) else {
            return;
        };
        let is_own = pending.term == entry.term;
        pending.reply.finish(if is_own { Ok(outcome) } else { Err(ProposeError::Lost) });
    }

    /// Starts a snapshot when the log has grown well beyond the last one, so that its cost stays a small
    /// share of the writes. A copy of the machine is encoded and written beside the loop.
    fn snapshot_if_due(&mut self) {
        let log = self.raft.log();
        let is_due = self.applied_index >= log.snapshot_index() + self.snapshot_entries
            && self.log_bytes >= SNAPSHOT_GROWTH * self.snapshot_bytes;
        if !is_due || self.is_snapshotting {
            return;
        }
        let Some(last_term) = log.term_at(self.applied_index) else {
            return;
        };
        let members = log.members_up_to(self.applied_index).0.clone();
        let machine = self.lock_machine().clone();
        let snapshot =
            Snapshot { last_index: self.applied_index, last_term, members, data: Vec::new() };
        let folder = self.data_folder.clone();
        let inputs = self.own_inputs.clone();
        self.is_snapshotting = true;
        self.log_bytes = 0;
        tokio::task::spawn_blocking(move || {
            let written = write_machine(&folder, snapshot, &machine);
            let _ = inputs.blocking_send(Input::SnapshotWritten(written));
        });
    }

    fn take_snapshot(&mut self, written: Result<Snapshot>) {
        self.is_snapshotting = false;
        let snapshot = match written {
            Ok(snapshot) => snapshot,
            Err(error) => {
                // The log goes on without it, and the next one is tried when the log has grown further.
                log_event!(error, Event::SnapshotFailed, %error);
                return;
            }
        };
        if snapshot.last_index <= self.raft.log().snapshot_index() {
            return;
        }
        let (snapshot_index, bytes) = (snapshot.last_index, snapshot.data.len());
        log_event!(info, Event::SnapshotWritten, index = snapshot_index, bytes);
        self.snapshot_bytes = bytes;
        // Records that the algorithm has not handed over yet must not be written twice.
        let output = self.raft.take_output();
        self.perform(output);
        self.raft.compact(snapshot);
        self.disk.submit(DiskJob::Rotate {
            snapshot_index,
            hard_state: self.raft.hard_state(),
            may_vote: self.raft.may_vote(),
            entries: self.raft.log().entries().to_vec(),
        });
    }

    fn publish(&mut self) {
        let applied = {
            let machine = self.lock_machine();
            Applied {
                index: self.applied_index,
                configuration: machine.configuration.version(),
                membership: machine.membership.version(),
                suspects: machine.suspects_version(),
            }
        };
        self.applied.send_if_modified(|it| std::mem::replace(it, applied) != applied);
        let term = self.raft.term();
        let commit_index = self.raft.commit_index();
        let leads = self.raft.role() == Role::Leader;
        let leader_address = self.leader_address();
        let may_vote = self.raft.may_vote();
        let is_news = {
            let old = self.status.borrow();
            (old.term, old.commit_index, old.leads, old.may_vote)
                != (term, commit_index, leads, may_vote)
                || old.leader_address != leader_address
        };
        if is_news {
            let members = self.raft.members().clone();
            let status =
                QuorumStatus { leader_address, leads, term, commit_index, may_vote, members };
            self.status.send_replace(status);
        }
    }

    pub(super) fn lock_machine(&self) -> MutexGuard<'_, Machine> {
        self.machine.lock()
    }
}

fn decode_machine(folder: &Path, data: &[u8]) -> Result<Machine> {
    serde_json::from_slice(data).map_err(|error| Error::Damaged {
        path: folder.to_path_buf(),
        offset: 0,
        detail: format!("the snapshot's state can't be read: {error}"),
    })
}

fn write_machine(folder: &Path, mut snapshot: Snapshot, machine: &Machine) -> Result<Snapshot> {
    snapshot.data = serde_json::to_vec(machine)
        .map_err(|it| Error::Json { step: "encode a snapshot", detail: it.to_string() })?;
    write_snapshot(folder, &snapshot)?;
    Ok(snapshot)
}
