//! Calls from other daemons that a control host serves.

use std::collections::BTreeMap;
use std::time::Duration;

use bilberryloft_coordination::document_transfer::DocumentSender;
use bilberryloft_coordination::loss_tolerance::LossTolerance;
use bilberryloft_coordination::suspect_feed::SuspectChanges;
use bilberryloft_coordination::suspect_feed::SuspectFeed;
use bilberryloft_protocol::api::DaemonStatus;
use bilberryloft_protocol::api::WatcherRow;
use bilberryloft_protocol::convert::part_request_from_wire;
use bilberryloft_protocol::convert::part_to_wire;
use bilberryloft_protocol::convert::raft_from_wire;
use bilberryloft_protocol::convert::version_from_wire;
use bilberryloft_protocol::convert::version_to_wire;
use bilberryloft_protocol::wire;
use bilberryloft_protocol::wire::Body;
use bilberryloft_state::compression;
use bilberryloft_state::record::DecisionRecord;
use bilberryloft_state::record::RecordRing;
use bilberryloft_state::state_machine::StateMachine;
use bilberryloft_transport::client::Client;
use bilberryloft_transport::clock::monotonic_ms;
use bilberryloft_transport::server::Responder;
use parking_lot::Mutex;

use crate::control::handle::AppliedVersions;
use crate::control::handle::ControlHandle;
use crate::control::handle::ProposeError;
use crate::control::shared_read::SharedRead;
use crate::control::watchers::Watchers;
use crate::events::Event;
use crate::log_event;
use crate::view::document_version_of;

/// Time for which a follower waits for the leader's response.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest time for which a watch is held open, in milliseconds.
const WATCH_MAX_MS: i64 = 10_000;
/// Most decision records from entries that are kept in memory.
const STORED_RECORDS_MAX: usize = 65_536;

/// Serves the calls that only a control host can serve.
pub struct ControlService {
    node: ControlHandle,
    daemon: String,
    incarnation: u64,
    leader_clients: Mutex<BTreeMap<String, Client>>,
    watchers: Mutex<Watchers>,
    records: Mutex<RecordRing>,
    documents: Mutex<DocumentSender>,
    reads: SharedRead<Option<u64>>,
    suspects: Mutex<SuspectFeed>,
}

impl ControlService {
    /// Creates the service for a running control node.
    pub fn new(node: ControlHandle, daemon: &str, incarnation: u64) -> ControlService {
        ControlService {
            node,
            daemon: daemon.to_string(),
            incarnation,
            leader_clients: Mutex::default(),
            watchers: Mutex::default(),
            records: Mutex::new(RecordRing::with_capacity(STORED_RECORDS_MAX)),
            documents: Mutex::default(),
            reads: SharedRead::default(),
            suspects: Mutex::default(),
        }
    }

    /// Returns the handle of the control node.
    pub fn node(&self) -> &ControlHandle {
        &self.node
    }

    /// Returns one row for each daemon that watches this host.
    pub fn watcher_rows(&self) -> Vec<WatcherRow> {
        self.watchers.lock().rows(monotonic_ms())
    }

    /// Returns the peer address of a daemon that watches this host.
    pub fn peer_address(&self, daemon: &str) -> Option<String> {
        self.watchers.lock().peer_address(daemon)
    }

    /// Returns the decision records of a request that entries have stored here.
    pub fn stored_records(&self, request_id: &str) -> Vec<DecisionRecord> {
        self.records.lock().find(request_id)
    }

    /// Stores decision records from an entry; records that can't be decoded are skipped.
    pub fn store_records(&self, records: &[Vec<u8>]) {
        let mut ring = self.records.lock();
        for record in records.iter().filter_map(|it| serde_json::from_slice(it).ok()) {
            ring.push(record);
        }
    }

    /// Passes a Raft message to the node.
    pub async fn receive(&self, message: wire::MemberMessage) {
        match raft_from_wire(message.message) {
            Some(decoded) => self.node.receive(decoded, message.sender_address).await,
            None => tracing::warn!("dropped a Raft message that could not be decoded"),
        }
    }

    /// Serves a proposal; a follower forwards it to the leader.
    pub async fn propose(&self, propose: wire::Propose, responder: &Responder) {
        let command = match compression::decode(&propose.command) {
            Ok(command) => command,
            Err(error) => return responder.fail("propose", error.to_string()).await,
        };
        match self.node.propose(command).await {
            Ok(outcome) => {
                let bytes = serde_json::to_vec(&outcome).unwrap_or_default();
                let _ = responder.send(Body::ProposeReply(wire::ProposeReply::new(bytes))).await;
            }
            Err(error) => {
                let body = Body::Propose(wire::Propose { forwarded: true, ..propose.clone() });
                self.forward(error, propose.forwarded, body, "propose", responder).await;
            }
        }
    }

    /// Serves an announcement of a target; a follower forwards it to the leader.
    pub async fn announce(&self, announce: wire::Announce, lease_ms: u64, responder: &Responder) {
        let description = match serde_json::from_slice(&announce.description) {
            Ok(description) => description,
            Err(error) => return responder.fail("announce", error.to_string()).await,
        };
        let incarnation = announce.incarnation.cast_unsigned();
        let known_incarnation = self
            .node
            .announce(announce.target.clone(), incarnation, description, announce.leaving)
            .await;
        match known_incarnation {
            Ok(known_incarnation) => {
                let reply = wire::AnnounceReply::new(
                    lease_ms.cast_signed(),
                    known_incarnation.cast_signed(),
                );
                let _ = responder.send(Body::AnnounceReply(reply)).await;
            }
            Err(error) => {
                let body = Body::Announce(wire::Announce { forwarded: true, ..announce.clone() });
                self.forward(error, announce.forwarded, body, "announce", responder).await;
            }
        }
    }

    /// Serves a join: a host with a data folder is alive and wants to be a member of the quorum, or is leaving.
    pub async fn join(&self, join: wire::Join, responder: &Responder) {
        let is_leaving = join.leaving == Some(true);
        match self.node.join(join.member.cast_unsigned(), join.address.clone(), is_leaving).await {
            Ok(may_stop) => {
                let answer = match is_leaving {
                    true => Body::LeaveReply(wire::LeaveReply::new(may_stop)),
                    false => Body::Done(wire::Done::new()),
                };
                let _ = responder.send(answer).await;
            }
            Err(error) => {
                let body = Body::Join(wire::Join { forwarded: true, ..join.clone() });
                self.forward(error, join.forwarded, body, "join", responder).await;
            }
        }
    }

    /// Serves a request for an index that a quorum has confirmed; a follower forwards it to the leader.
    pub async fn read_index(&self, request: wire::ReadIndex, responder: &Responder) {
        match self.node.read_index().await {
            Ok(index) => {
                let _ = responder
                    .send(Body::ReadIndexReply(wire::ReadIndexReply::new(index.cast_signed())))
                    .await;
            }
            Err(error) => {
                let body = Body::ReadIndex(wire::ReadIndex::new(true));
                self.forward(error, request.forwarded, body, "read_index", responder).await;
            }
        }
    }

    /// Forwards a call to the leader; a call that was already forwarded once fails instead.
    async fn forward(
        &self,
        error: ProposeError,
        was_forwarded: bool,
        body: Body,
        step: &str,
        responder: &Responder,
    ) {
        let leader = match error {
            ProposeError::NotLeader { leader_address: Some(address) } if !was_forwarded => address,
            other => return responder.fail(step, describe(&other)).await,
        };
        match self.leader_client(&leader).call(body, FORWARD_TIMEOUT).await {
            Ok(response) => drop(responder.send(response).await),
            Err(error) => responder.fail(step, error.to_string()).await,
        }
    }

    /// Asks the leader how many losses the quorum tolerates; `None` if it gives no answer in time.
    pub async fn ask_loss_tolerance(
        &self,
        leader: &str,
        timeout: Duration,
    ) -> Option<LossTolerance> {
        let request = Body::Status(wire::Status::new());
        match self.leader_client(leader).call(request, timeout).await {
            Ok(Body::StatusReply(reply)) => {
                let status: DaemonStatus = serde_json::from_slice(&reply.status).ok()?;
                status.loss_tolerance
            }
            Ok(_) => None,
            Err(error) => {
                tracing::debug!(leader, %error, "the leader was not asked for the losses that the quorum tolerates");
                None
            }
        }
    }

    fn leader_client(&self, address: &str) -> Client {
        let mut leader_clients = self.leader_clients.lock();
        let client = leader_clients.entry(address.to_string());
        client.or_insert_with(|| Client::new(address, &self.daemon, self.incarnation)).clone()
    }

    /// Serves a watch: confirms the applied state with a quorum first, then waits for a change.
    pub async fn watch(&self, watch: wire::Watch, responder: &Responder) {
        // A request that is answered at once only asks for a confirmation, and doesn't name the versions held.
        if watch.wait_ms > 0 {
            self.watchers.lock().record(&watch, monotonic_ms());
        }
        let wait = Duration::from_millis(watch.wait_ms.clamp(0, WATCH_MAX_MS).cast_unsigned());
        let deadline = tokio::time::Instant::now() + wait;
        let confirmed = self.confirm_applied().await;
        let mut applied = self.node.applied();
        let has_changes = |it: &AppliedVersions| {
            it.configuration > watch.configuration_version.cast_unsigned()
                || it.membership > watch.membership_version.cast_unsigned()
                || it.suspects > watch.suspects_version.cast_unsigned()
                || known_document(&watch).is_some_and(|known| it.document > known)
                || watch
                    .evacuations_version
                    .is_some_and(|held| it.evacuations > held.cast_unsigned())
        };
        tokio::select! {
            _ = tokio::time::timeout_at(deadline, applied.wait_for(has_changes)) => {}
            () = responder.closed() => return,
        }
        let update = self.build_update(&watch, confirmed);
        let whole = update.document.as_ref().map(Vec::len);
        let patch = update.document_part.as_ref().map(|it| it.data.len());
        if let Some(bytes) = whole.or(patch) {
            log_event!(
                info,
                Event::DocumentSent,
                daemon = watch.daemon,
                from = held_document(&watch).flatten(),
                version = document_version_of(&update),
                bytes
            );
        }
        let _ = responder.send(Body::Update(update)).await;
    }

    /// Returns whether this host has applied everything that a quorum had committed when the call began.
    async fn confirm_applied(&self) -> bool {
        let Some(index) = self.reads.join(self.confirmed_index()).await else {
            return false;
        };
        let mut applied = self.node.applied();
        let reached = applied.wait_for(|it| it.index >= index);
        matches!(tokio::time::timeout(FORWARD_TIMEOUT, reached).await, Ok(Ok(_)))
    }

    /// Returns an index that a quorum has confirmed since the call began; `None` if none could be reached.
    async fn confirmed_index(&self) -> Option<u64> {
        match self.node.read_index().await {
            Ok(index) => Some(index),
            Err(ProposeError::NotLeader { leader_address: Some(address) }) => {
                let request = Body::ReadIndex(wire::ReadIndex::new(true));
                match self.leader_client(&address).call(request, FORWARD_TIMEOUT).await {
                    Ok(Body::ReadIndexReply(reply)) => Some(reply.index.cast_unsigned()),
                    _ => None,
                }
            }
            Err(_) => None,
        }
    }

    fn build_update(&self, watch: &wire::Watch, confirmed: bool) -> wire::Update {
        let machine = self.node.machine();
        let is_compact = watch.takes_compact_updates == Some(true);
        let (snapshot, changes) = configuration_after(&machine, watch);
        let delta = machine.membership.delta_after(watch.membership_version.cast_unsigned());
        let suspects_version = machine.suspects_version();
        let suspects = self.suspects_after(&machine, watch);
        let (document_version, is_document_version_zero) =
            version_to_wire(machine.document.version());
        wire::Update {
            confirmed,
            configuration_version: machine.configuration.version().cast_signed(),
            configuration_snapshot: snapshot,
            configuration_changes: changes,
            membership_version: delta.version.cast_signed(),
            membership_whole: delta.is_full,
            targets: if is_compact { Vec::new() } else { encode_all(&delta.targets) },
            packed_targets: is_compact.then(|| compression::encode(&delta.targets).ok()).flatten(),
            suspects_version: suspects_version.cast_signed(),
            suspects: encode_all(&suspects.suspects),
            document_version: Some(document_version),
            document: document_after(&machine, watch),
            document_part: self.short_patch(&machine, watch),
            suspects_are_changes: Some(!suspects.is_whole),
            removed_suspects: Some(suspects.removed),
            control_addresses: Some(self.node.status().addresses()),
            evacuations: evacuations_after(&machine, watch),
            evacuations_version: Some(machine.evacuations.version().cast_signed()),
            is_document_version_zero,
        }
    }

    /// Returns the suspects that the watcher does not know of yet.
    fn suspects_after(&self, machine: &StateMachine, watch: &wire::Watch) -> SuspectChanges {
        let version = machine.suspects_version();
        let mut feed = self.suspects.lock();
        feed.update(version, || machine.suspects.listed());
        let known_version = watch.suspects_version.cast_unsigned();
        match watch.takes_compact_updates {
            Some(true) => feed.changes_after(known_version),
            _ if known_version == version => SuspectChanges::default(),
            _ => SuspectChanges {
                is_whole: true,
                suspects: machine.suspects.listed(),
                removed: Vec::new(),
            },
        }
    }

    /// Returns the patch after the watcher's version of the document, if it is short.
    fn short_patch(
        &self,
        machine: &StateMachine,
        watch: &wire::Watch,
    ) -> Option<wire::DocumentPart> {
        let held = held_document(watch)?;
        watch.known_document_version?;
        let newest = machine.document.version()?;
        if Some(newest) <= held {
            return None;
        }
        let build = |version| machine.document.patch_since(version);
        self.documents.lock().short_patch(held, newest, build).map(part_to_wire)
    }

    /// Serves a request for a part of the document.
    pub async fn read_document(
        &self,
        request: &wire::ReadDocument,
        peer: &str,
        responder: &Responder,
    ) {
        let Some(request) = part_request_from_wire(request) else {
            return responder.fail("read_document", "a number is out of range").await;
        };
        let part = {
            let machine = self.node.machine();
            let newest = machine.document.version();
            let build = |version| machine.document.patch_since(version);
            self.documents.lock().part(request, newest, build)
        };
        let (from, version, offset, bytes) =
            (request.held_version, part.version, part.offset, part.data.len());
        log_event!(info, Event::DocumentSent, daemon = peer, from, version, offset, bytes);
        let _ = responder.send(Body::DocumentPart(part_to_wire(part))).await;
    }
}

fn describe(error: &ProposeError) -> String {
    match error {
        ProposeError::Founding { voters, wanted } => format!(
            "the quorum is being founded: {voters} of {wanted} voters, and further hosts may come"
        ),
        other => format!("{other:?}"),
    }
}

/// Returns the version of the document that a watcher holds; `None` if it follows no document.
fn held_document(watch: &wire::Watch) -> Option<Option<u64>> {
    Some(version_from_wire(watch.document_version?, watch.holds_version_zero))
}

/// Returns the newest version of the document that a watcher knows of; `None` if it follows no document.
fn known_document(watch: &wire::Watch) -> Option<Option<u64>> {
    match watch.known_document_version {
        Some(number) => Some(version_from_wire(number, watch.knows_version_zero)),
        None => held_document(watch),
    }
}

/// Returns the text of the document if a watcher that takes no parts holds an older version.
fn document_after(machine: &StateMachine, watch: &wire::Watch) -> Option<Vec<u8>> {
    let document = machine.document.document()?;
    let is_newer = held_document(watch).is_some_and(|held| Some(document.version) > held);
    let takes_parts = watch.known_document_version.is_some();
    (is_newer && !takes_parts).then(|| document.text.as_bytes().to_vec())
}

/// Returns the evacuations if a watcher that knows of them holds an older version.
fn evacuations_after(machine: &StateMachine, watch: &wire::Watch) -> Option<Vec<u8>> {
    let is_newer = machine.evacuations.version() > watch.evacuations_version?.cast_unsigned();
    let listed = machine.evacuations.listed(machine.now_ms());
    is_newer.then(|| serde_json::to_vec(&listed).ok()).flatten()
}

/// Returns the configuration changes after a version, or a snapshot when those changes are no longer kept.
fn configuration_after(
    machine: &StateMachine,
    watch: &wire::Watch,
) -> (Option<Vec<u8>>, Vec<Vec<u8>>) {
    if let Some(changes) =
        machine.configuration.changes_after(watch.configuration_version.cast_unsigned())
    {
        return (None, encode_all(&changes));
    }
    let snapshot = machine.configuration.for_followers();
    let encoded = match watch.takes_compact_updates {
        Some(true) => compression::encode(&snapshot),
        _ => serde_json::to_vec(&snapshot),
    };
    (encoded.ok(), Vec::new())
}

fn encode_all<T: serde::Serialize>(values: &[T]) -> Vec<Vec<u8>> {
    values.iter().filter_map(|it| serde_json::to_vec(it).ok()).collect()
}
