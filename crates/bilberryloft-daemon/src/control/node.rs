//! The event loop of a control host: drives Raft, applies committed log entries and replies to callers.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bilberryloft_coordination::leases::LeaseTable;
use bilberryloft_coordination::member_planner::MemberPlanner;
use bilberryloft_coordination::raft::Message;
use bilberryloft_coordination::raft::Outbound;
use bilberryloft_coordination::raft::Output;
use bilberryloft_coordination::raft::Raft;
use bilberryloft_coordination::raft::Role;
use bilberryloft_state::compression;
use bilberryloft_state::error::Result;
use bilberryloft_state::evacuation::OrderOutcome;
use bilberryloft_state::folder::DataFolder;
use bilberryloft_state::key::digest;
use bilberryloft_state::member_set::MemberSet;
use bilberryloft_state::snapshot::Snapshot;
use bilberryloft_state::state_machine::COMPACT_COMMAND_FORMAT;
use bilberryloft_state::state_machine::Command;
use bilberryloft_state::state_machine::Outcome;
use bilberryloft_state::state_machine::StampedCommand;
use bilberryloft_state::state_machine::StateMachine;
use bilberryloft_state::wal::LogEntry;
use bilberryloft_state::wal::Payload;
use bilberryloft_transport::clock::epoch_ms;
use bilberryloft_transport::clock::monotonic_ms;
use parking_lot::Mutex;
use parking_lot::MutexGuard;
use tokio::sync::mpsc;
use tokio::sync::watch;

use crate::control::disk::DiskJob;
use crate::control::disk::DiskReport;
use crate::control::disk::DiskWriter;
use crate::control::handle::AppliedVersions;
use crate::control::handle::ControlHandle;
use crate::control::handle::Input;
use crate::control::handle::PendingReply;
use crate::control::handle::ProposeError;
use crate::control::handle::QuorumStatus;
use crate::control::handle::Reply;
use crate::control::member_changes::Assessment;
use crate::control::peers::Peers;
use crate::control::recovery::FolderOpening;
use crate::control::reopen::open_at_start;
use crate::control::snapshots::SnapshotProgress;
use crate::events::Event;
use crate::log_event;
use crate::settings::ControlSettings;

/// Time between two ticks of the loop.
const TICK_INTERVAL: Duration = Duration::from_millis(10);
/// Most inputs that are handled in one iteration of the loop.
const INPUTS_PER_ITERATION: usize = 1_024;
/// Capacity of the input queue; when it is full, senders wait (back-pressure).
const INPUT_QUEUE_MAX: usize = 8_192;

/// A proposed log entry that is not applied yet, with the term in which it was proposed.
pub(super) struct Pending {
    pub term: u64,
    pub reply: PendingReply,
}

/// A member of the quorum: the state that its event loop owns.
pub struct ControlNode {
    pub(super) raft: Raft,
    machine: Arc<Mutex<StateMachine>>,
    pub(super) applied_index: u64,
    pub(super) disk: DiskWriter,
    pub(super) peers: Peers,
    pub(super) leases: LeaseTable,
    /// Latest membership version whose reachable targets have all been given leases.
    pub(super) leased_version: u64,
    pub(super) member_planner: MemberPlanner,
    pub(super) assessment: Assessment,
    /// Whether this member has refused a first document in its term.
    pub(super) has_held_document: bool,
    pub(super) settings: ControlSettings,
    pub(super) seed: u64,
    pub(super) report_sender: mpsc::UnboundedSender<DiskReport>,
    pub(super) data_folder: DataFolder,
    pub(super) input_sender: mpsc::Sender<Input>,
    /// Opening of the data folder that was begun at the start and is not finished.
    pub(super) first_opening: Option<FolderOpening>,
    /// Number of times that the data folder was opened again.
    pub(super) opening: u64,
    pub(super) snapshots: SnapshotProgress,
    pub(super) was_leader: bool,
    pub(super) pending: BTreeMap<u64, Pending>,
    reads: BTreeMap<u64, Reply<u64>>,
    next_read_id: u64,
    pub(super) inputs: mpsc::Receiver<Input>,
    pub(super) reports: mpsc::UnboundedReceiver<DiskReport>,
    applied: watch::Sender<AppliedVersions>,
    status: watch::Sender<QuorumStatus>,
}

impl ControlNode {
    /// Opens the data folder and starts the event loop on the current runtime.
    ///
    /// Fails when the data folder can't be recovered or the disk thread can't be started. While the disk is full or
    /// hangs, the node runs and opens the folder as soon as it can.
    pub fn spawn(
        settings: &ControlSettings,
        daemon: &str,
        incarnation: u64,
    ) -> Result<ControlHandle> {
        let folder = DataFolder::new(&settings.data_folder);
        ControlNode::spawn_in(folder, settings, daemon, incarnation)
    }

    /// Like [`ControlNode::spawn`], with a data folder on any file system.
    pub fn spawn_in(
        data_folder: DataFolder,
        settings: &ControlSettings,
        daemon: &str,
        incarnation: u64,
    ) -> Result<ControlHandle> {
        let seed = digest(&[daemon.as_bytes(), &incarnation.to_le_bytes()]).cast_unsigned();
        let (recovered, first_opening) = open_at_start(&data_folder, settings, seed)?;
        let (input_sender, inputs) = mpsc::channel(INPUT_QUEUE_MAX);
        let (report_sender, reports) = mpsc::unbounded_channel();
        let (applied, applied_receiver) = watch::channel(AppliedVersions::default());
        let (status, status_receiver) = watch::channel(QuorumStatus::default());
        let machine = Arc::new(Mutex::new(recovered.machine));
        let handle = ControlHandle {
            inputs: input_sender.clone(),
            machine: machine.clone(),
            applied: applied_receiver,
            status: status_receiver,
        };
        let node = ControlNode {
            raft: recovered.raft,
            machine,
            applied_index: recovered.applied_index,
            disk: DiskWriter::spawn(recovered.storage, report_sender.clone())?,
            peers: Peers::new(daemon, incarnation, settings, input_sender.clone()),
            leases: LeaseTable::new(settings.target_lease_ms),
            leased_version: 0,
            member_planner: MemberPlanner::new(settings.member, settings.voters_wanted),
            assessment: Assessment::default(),
            has_held_document: false,
            settings: settings.clone(),
            seed,
            report_sender,
            data_folder,
            input_sender,
            first_opening,
            opening: 0,
            snapshots: SnapshotProgress::after(recovered.snapshot_bytes),
            was_leader: false,
            pending: BTreeMap::new(),
            reads: BTreeMap::new(),
            next_read_id: 0,
            inputs,
            reports,
            applied,
            status,
        };
        tokio::spawn(node.run());
        Ok(handle)
    }

    async fn run(mut self) {
        match self.disk.is_stopped() {
            true => self.reopen().await,
            false => self.settings.end_first_start(),
        }
        self.peers.update(&self.raft.members().clone());
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut batch = Vec::new();
        loop {
            tokio::select! {
                count = self.inputs.recv_many(&mut batch, INPUTS_PER_ITERATION) => {
                    if count == 0 {
                        return;
                    }
                }
                report = self.reports.recv() => {
                    if !self.handle_disk_report(report) {
                        self.reopen().await;
                    }
                }
                _ = ticks.tick() => {}
            }
            for input in batch.drain(..) {
                self.handle_input(input);
            }
            self.advance();
        }
    }

    /// Fails all pending proposals and reads, so that their callers ask another member.
    pub(super) fn fail_pending(&mut self) {
        for (_, pending) in std::mem::take(&mut self.pending) {
            pending.reply.finish(Err(ProposeError::Lost));
        }
        for (_, reply) in std::mem::take(&mut self.reads) {
            let _ = reply.send(Err(ProposeError::Lost));
        }
        self.was_leader = false;
    }

    /// Ticks Raft, processes its output until there is none, and runs the work that depends on its state.
    fn advance(&mut self) {
        self.raft.tick(monotonic_ms());
        loop {
            let output = self.raft.take_output();
            if output.is_empty() {
                break;
            }
            self.process_output(output);
        }
        self.handle_role_change();
        self.expire_leases();
        self.reconcile_members();
        self.assess_loss_tolerance();
        self.start_snapshot_if_due();
        self.publish_status();
    }

    /// Handles a report of the disk thread; returns whether the disk still works.
    fn handle_disk_report(&mut self, report: Option<DiskReport>) -> bool {
        match report {
            Some(DiskReport::Durable { persist_number, messages }) => {
                self.send_all(messages);
                self.raft.persisted(persist_number);
                true
            }
            Some(DiskReport::Failed(error)) => {
                log_event!(error, Event::DiskFailed, %error, help = error.help());
                false
            }
            None => false,
        }
    }

    fn handle_input(&mut self, input: Input) {
        match input {
            Input::Peer { message, sender_address } => self.receive(message, sender_address),
            Input::PeerEnded { member } => self.raft.peer_ended(member, monotonic_ms()),
            Input::Propose { command, reply } => {
                self.propose_for_caller(command, PendingReply::Outcome(reply))
            }
            Input::ChangeMembers { members, reply } => self.change_members(members, reply),
            Input::Read { reply } => self.read(reply),
            Input::Join { member, address, is_leaving, reply } => {
                self.join(member, address, is_leaving, reply)
            }
            Input::SnapshotWritten { opening, written } => self.finish_snapshot(opening, written),
            Input::Announce { name, incarnation, description, leaving, reply } => {
                self.announce(name, incarnation, description, leaving, reply);
            }
        }
    }

    fn receive(&mut self, message: Message, sender_address: Option<String>) {
        if let Some(address) = sender_address {
            self.peers.record_address(message.sender(), address);
        }
        // Raft must not go on from a snapshot that this version can't read.
        if let Message::InstallSnapshot(it) = &message
            && let Err(error) = StateMachine::from_snapshot(&it.snapshot.data)
        {
            log_event!(error, Event::SnapshotFailed, %error, step = "install", sender = it.leader);
            return;
        }
        self.raft.receive(message, monotonic_ms());
    }

    pub(super) fn propose(&mut self, command: Command, reply: PendingReply) {
        if self.raft.role() != Role::Leader {
            return self.reject(reply);
        }
        // While a member of an earlier version is left, the log holds only what it can read.
        let format = self.peers.command_format();
        let is_compact = format >= COMPACT_COMMAND_FORMAT;
        let command = match self.lock_machine().for_format(format, command) {
            Ok(command) => command,
            Err(outcome) => return reply.finish(Ok(outcome)),
        };
        let stamped = StampedCommand { at_ms: epoch_ms(), command };
        let encoded = match is_compact {
            true => compression::encode(&stamped),
            false => serde_json::to_vec(&stamped),
        };
        let Ok(bytes) = encoded else {
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

    pub(super) fn not_leader(&self) -> ProposeError {
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
        self.next_read_id += 1;
        match self.raft.read(self.next_read_id) {
            Ok(()) => drop(self.reads.insert(self.next_read_id, reply)),
            Err(_) => drop(reply.send(Err(self.not_leader()))),
        }
    }

    pub(super) fn process_output(&mut self, output: Output) {
        if let Some(snapshot) = output.install {
            self.install(snapshot, output.persist_number, output.after_sync);
        } else if output.persist_number > 0 || !output.after_sync.is_empty() {
            self.disk.submit(DiskJob::Append {
                persist_number: output.persist_number,
                records: output.records,
                messages: output.after_sync,
            });
        }
        self.send_all(output.now);
        for entry in output.committed {
            self.apply(entry);
        }
        for (read_id, index) in output.confirmed_reads {
            if let Some(reply) = self.reads.remove(&read_id) {
                let _ = reply.send(Ok(index));
            }
        }
        for read_id in output.failed_reads {
            if let Some(reply) = self.reads.remove(&read_id) {
                let _ = reply.send(Err(ProposeError::Lost));
            }
        }
    }

    fn send_all(&mut self, messages: Vec<Outbound>) {
        for outbound in messages {
            self.peers.send(outbound.to, outbound.message);
        }
    }

    fn install(&mut self, snapshot: Snapshot, persist_number: u64, messages: Vec<Outbound>) {
        match StateMachine::from_snapshot(&snapshot.data) {
            Ok(machine) => *self.lock_machine() = machine,
            Err(error) => {
                log_event!(error, Event::DiskFailed, detail = "the snapshot from the leader can't be decoded and is not installed", %error);
                return;
            }
        }
        self.applied_index = snapshot.last_index;
        log_event!(info, Event::SnapshotInstalled, index = snapshot.last_index);
        self.submit_install(snapshot, persist_number, messages);
        self.peers.update(&self.raft.members().clone());
    }

    fn submit_install(&self, snapshot: Snapshot, persist_number: u64, messages: Vec<Outbound>) {
        self.disk.submit(DiskJob::Install {
            persist_number,
            snapshot,
            hard_state: self.raft.hard_state(),
            may_vote: self.raft.may_vote(),
            entries: self.raft.log().entries().to_vec(),
            messages,
        });
    }

    fn apply(&mut self, entry: LogEntry) {
        self.applied_index = entry.index;
        self.snapshots.log_bytes += entry.payload_bytes();
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
        if is_own {
            self.log_committed(&entry, &outcome);
        }
        pending.reply.finish(if is_own { Ok(outcome) } else { Err(ProposeError::Lost) });
    }

    /// Logs where a document or an evacuation stands in the log, and which members hold it.
    fn log_committed(&self, entry: &LogEntry, outcome: &Outcome) {
        let (change, version) = match outcome {
            Outcome::Document { version } => ("document", *version),
            Outcome::Evacuation(OrderOutcome::InForce(it)) => ("evacuation", it.version),
            _ => return,
        };
        let LogEntry { term, index, .. } = entry;
        let holders = self.raft.holders(*index);
        log_event!(info, Event::ChangeCommitted, change, version, term, index, ?holders);
    }

    /// Publishes the applied versions and the quorum status to their watchers, if they have changed.
    fn publish_status(&mut self) {
        let applied = {
            let machine = self.lock_machine();
            AppliedVersions {
                index: self.applied_index,
                configuration: machine.configuration.version(),
                membership: machine.membership.version(),
                suspects: machine.suspects_version(),
                document: machine.document.version(),
                evacuations: machine.evacuations.version(),
            }
        };
        self.applied.send_if_modified(|it| std::mem::replace(it, applied) != applied);
        let term = self.raft.term();
        let commit_index = self.raft.commit_index();
        let leads = self.raft.role() == Role::Leader;
        let leader_address = self.leader_address();
        let may_vote = self.raft.may_vote();
        let has_changed = {
            let old = self.status.borrow();
            if may_vote && !old.may_vote && old.term > 0 {
                log_event!(info, Event::VoteRegained, term, commit_index);
            }
            (old.term, old.commit_index, old.leads, old.may_vote)
                != (term, commit_index, leads, may_vote)
                || old.leader_address != leader_address
                || old.loss_tolerance != self.assessment.loss_tolerance
        };
        if has_changed {
            let members = self.raft.members().clone();
            let loss_tolerance = self.assessment.loss_tolerance.clone();
            let status = QuorumStatus {
                leader_address,
                leads,
                term,
                commit_index,
                may_vote,
                members,
                loss_tolerance,
            };
            self.status.send_replace(status);
        }
    }

    pub(super) fn lock_machine(&self) -> MutexGuard<'_, StateMachine> {
        self.machine.lock()
    }
}
