//! Control hosts in one process, each with a thread, a loopback address and a simulated disk of its own.

use std::collections::BTreeMap;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::mpsc;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use bilberryloft_daemon::control::ControlHandle;
use bilberryloft_daemon::control::ControlNode;
use bilberryloft_daemon::control::ControlService;
use bilberryloft_daemon::control_client::ControlClient;
use bilberryloft_daemon::settings::ControlSettings;
use bilberryloft_protocol::codec::body_name;
use bilberryloft_protocol::wire::Body;
use bilberryloft_state::document::StoredDocument;
use bilberryloft_state::error::Result;
use bilberryloft_state::folder::DataFolder;
use bilberryloft_state::member_set::MemberSet;
use bilberryloft_state::state_machine::Command;
use bilberryloft_state::state_machine::Outcome;
use bilberryloft_transport::server::Call;
use bilberryloft_transport::server::Handler;
use bilberryloft_transport::server::Server;
use tokio::sync::oneshot;

use crate::address::unique_ip;
use crate::fleet::PEER_PORT;
use crate::fleet::control_settings;
use crate::memory_disk::MemoryDisk;

/// Folder of a host on its simulated disk.
const FOLDER: &str = "/data/control";
/// Time limit of each wait and change.
const TIMEOUT: Duration = Duration::from_secs(30);
/// Time in which a host that is due to begin a snapshot has begun it.
const SETTLE_TIME: Duration = Duration::from_millis(100);
/// Time between two looks at what a test waits for.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// One control host, which may be stopped.
pub struct ControlHost {
    /// Its disk, which outlives the process.
    pub disk: MemoryDisk,
    /// Its settings.
    pub settings: ControlSettings,
    /// Peer address.
    pub address: String,
    running: Option<Running>,
}

/// The thread of a running host.
struct Running {
    node: ControlHandle,
    stop: oneshot::Sender<()>,
    thread: JoinHandle<()>,
}

/// Serves the calls of peers.
struct Service(ControlService);

impl Handler for Service {
    async fn handle(self: Arc<Self>, call: Call) {
        let responder = call.responder;
        match call.body {
            Body::Raft(message) => self.0.receive(message).await,
            Body::Propose(propose) => self.0.propose(propose, &responder).await,
            Body::ReadIndex(request) => self.0.read_index(request, &responder).await,
            Body::Join(join) => self.0.join(join, &responder).await,
            other => responder.fail(body_name(&other), "not served").await,
        }
    }
}

impl ControlHost {
    /// Starts the process of the host; fails if its folder can't be opened.
    pub fn start(&mut self) -> Result<()> {
        self.stop();
        let folder = DataFolder::on(self.disk.start_process(), Path::new(FOLDER));
        let (settings, address) = (self.settings.clone(), self.address.clone());
        let (started_sender, started) = mpsc::channel();
        let (stop, stopped) = oneshot::channel();
        let thread = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            let runtime = runtime.expect("cannot start a runtime");
            runtime.block_on(async move {
                let host = serve(folder, &settings, &address).await;
                let (server, result) = match host {
                    Ok((node, server)) => (Some(server), Ok(node)),
                    Err(error) => (None, Err(error)),
                };
                let is_running = result.is_ok();
                let _ = started_sender.send(result);
                if is_running {
                    let _ = stopped.await;
                }
                drop(server);
            });
            runtime.shutdown_background();
        });
        let node = started.recv_timeout(TIMEOUT).expect("the host has not started in time")?;
        self.running = Some(Running { node, stop, thread });
        Ok(())
    }

    /// Ends the process of the host; its files stay as they are.
    pub fn stop(&mut self) {
        self.disk.kill();
        if let Some(Running { stop, thread, .. }) = self.running.take() {
            let _ = stop.send(());
            let _ = thread.join();
        }
    }

    /// Whether the process runs.
    pub fn is_running(&self) -> bool {
        self.running.is_some()
    }

    /// Handle of the running host.
    ///
    /// # Panics
    ///
    /// Panics if the host is stopped.
    pub fn node(&self) -> &ControlHandle {
        &self.running.as_ref().expect("the host is stopped").node
    }

    /// Names of the files in the host's folder.
    pub fn file_names(&self) -> Vec<String> {
        let name = |it: &PathBuf| it.file_name().map(|it| it.to_string_lossy().to_string());
        self.disk.paths().iter().filter_map(name).collect()
    }

    /// Waits until the host's log has been switched to its last snapshot, and no other is being written.
    ///
    /// # Panics
    ///
    /// Panics if that takes too long.
    pub async fn settle(&self) {
        let is_settled = || {
            let names = self.file_names();
            let is_switched =
                names.iter().any(|it| it.starts_with("wal-") && !it.ends_with("0001.log"));
            is_switched && names.len() == 2
        };
        wait_until(is_settled, "the log is switched to the snapshot").await;
        tokio::time::sleep(SETTLE_TIME).await;
        wait_until(is_settled, "the log is switched to the snapshot").await;
    }

    /// Proposes a document to this host alone; `None` if it isn't acknowledged in time.
    pub async fn put_document(&self, version: u64, text: &str, timeout: Duration) -> Option<u64> {
        let client = ControlClient::new(std::slice::from_ref(&self.address), "test", 1);
        let document = StoredDocument { version, text: text.to_string() };
        match client.propose(&Command::PutDocument(document), timeout).await {
            Ok(Outcome::Document { version }) => Some(version),
            Ok(_) | Err(_) => None,
        }
    }
}

impl Drop for ControlHost {
    fn drop(&mut self) {
        self.stop();
    }
}

async fn serve(
    folder: DataFolder,
    settings: &ControlSettings,
    address: &str,
) -> Result<(ControlHandle, Server)> {
    let name = format!("control-{}", settings.member);
    let incarnation = fastrand::u64(1..1 << 40);
    let node = ControlNode::spawn_in(folder, settings, &name, incarnation)?;
    let service = Arc::new(Service(ControlService::new(node.clone(), &name, incarnation)));
    let server = Server::bind(address, &name, incarnation, None, service).await?;
    Ok((node, server))
}

/// The control hosts of one quorum.
pub struct ControlHosts {
    /// The hosts, in the order of their members.
    pub hosts: Vec<ControlHost>,
    /// Version of the last document that was proposed.
    pub version: u64,
}

impl ControlHosts {
    /// Starts a number of hosts that take a snapshot as often as the growth of the log allows.
    ///
    /// # Panics
    ///
    /// Panics if a host does not start.
    pub fn start(count: u32) -> ControlHosts {
        let members: BTreeMap<u32, String> =
            (1..=count).map(|it| (it, format!("{}:{PEER_PORT}", unique_ip()))).collect();
        let mut hosts = Vec::new();
        for (member, address) in &members {
            let mut settings = control_settings(*member, &members, PathBuf::from(FOLDER));
            settings.snapshot_entries = 1;
            let disk = MemoryDisk::default();
            let mut host = ControlHost { disk, settings, address: address.clone(), running: None };
            host.start().expect("a control host does not start");
            hosts.push(host);
        }
        ControlHosts { hosts, version: 0 }
    }

    /// Adds a host that is no member yet, and starts it.
    ///
    /// # Panics
    ///
    /// Panics if it does not start.
    pub fn add(&mut self) -> &ControlHost {
        let member = self.hosts.len() as u32 + 1;
        let address = format!("{}:{PEER_PORT}", unique_ip());
        let mut settings = control_settings(member, &BTreeMap::new(), PathBuf::from(FOLDER));
        settings.snapshot_entries = 1;
        let disk = MemoryDisk::default();
        let mut host = ControlHost { disk, settings, address, running: None };
        host.start().expect("a control host does not start");
        self.hosts.push(host);
        &self.hosts[self.hosts.len() - 1]
    }

    /// Replaces a voter by another host: a learner first, then a voter beside the other, then alone.
    ///
    /// # Panics
    ///
    /// Panics if a change is not committed in time.
    pub async fn replace(&self, leaving: usize, successor: usize) {
        let (leaving, successor) = (&self.hosts[leaving], &self.hosts[successor]);
        let (old, new) = (leaving.settings.member, successor.settings.member);
        let address = successor.address.clone();
        self.change_members(|it| drop(it.learners.insert(new, address.clone()))).await;
        wait_until(|| successor.node().status().may_vote, "the successor has caught up").await;
        self.change_members(|it| {
            it.learners.remove(&new);
            it.voters.insert(new, address.clone());
        })
        .await;
        self.change_members(|it| {
            if let Some(address) = it.voters.remove(&old) {
                it.learners.insert(old, address);
            }
        })
        .await;
    }

    /// Changes the members at whichever host leads, until all members that it knows are as wanted.
    async fn change_members(&self, change: impl Fn(&mut MemberSet)) {
        let deadline = Instant::now() + TIMEOUT;
        loop {
            let leader = &self.hosts[self.leader().await];
            let members = leader.node().status().members;
            let mut wanted = members.clone();
            change(&mut wanted);
            if wanted == members || leader.node().change_members(wanted).await == Ok(true) {
                return;
            }
            assert!(Instant::now() < deadline, "the members were not changed in time");
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Puts a new document at one host alone, and returns whether it was acknowledged in time.
    pub async fn put(&mut self, idx: usize, timeout: Duration) -> bool {
        self.version += 1;
        let text = document_text(self.version);
        let version = self.version;
        self.hosts[idx].put_document(version, &text, timeout).await == Some(version)
    }

    /// Checks that each host acknowledges a new document, and applies it.
    ///
    /// # Panics
    ///
    /// Panics if one doesn't.
    pub async fn check_each_acknowledges(&mut self, when: &str) {
        for idx in 0..self.hosts.len() {
            let member = self.hosts[idx].settings.member;
            assert!(self.put(idx, TIMEOUT).await, "{when}: not acknowledged at member {member}");
        }
        let version = self.version;
        for host in &self.hosts {
            let applied = || host.node().machine().document.version();
            let member = host.settings.member;
            wait_until(|| applied() == Some(version), &format!("{when}: member {member} applies"))
                .await;
        }
    }

    /// Waits until one host leads, and returns its position.
    ///
    /// # Panics
    ///
    /// Panics if that takes too long.
    pub async fn leader(&self) -> usize {
        let leads = |it: &ControlHost| it.is_running() && it.node().status().leads;
        wait_until(|| self.hosts.iter().any(leads), "a host leads").await;
        self.hosts.iter().position(leads).expect("no host leads")
    }
}

/// Returns a text of some kilobytes that can't be compressed and differs for each version.
pub fn document_text(version: u64) -> String {
    let mut random = fastrand::Rng::with_seed(version);
    (0..4_000).map(|_| random.alphanumeric()).collect()
}

/// Waits until a condition holds.
///
/// # Panics
///
/// Panics if it doesn't hold in time.
pub async fn wait_until(condition: impl Fn() -> bool, what: &str) {
    let deadline = Instant::now() + TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "not in time: {what}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
