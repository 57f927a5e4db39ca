//! A running daemon: one thread for control calls and state, and a thread pool for traffic.

use std::sync::Arc;
use std::time::Duration;

use bilberryloft_state::error::Error;
use bilberryloft_state::error::Result;
use bilberryloft_transport::clock::epoch_ms;
use bilberryloft_transport::clock::monotonic_ms;
use bilberryloft_transport::server::Server;
use bilberryloft_transport::server::ServerLimits;
use tokio::runtime::Runtime;
use tokio::sync::oneshot;

use crate::admin::serve_admin;
use crate::agent::AgentService;
use crate::agent::serve_announcements;
use crate::agent::spawn_announcer;
use crate::agent::spawn_expert_map_planner;
use crate::control::ControlNode;
use crate::control::ControlService;
use crate::entry::CallerServer;
use crate::events::Event;
use crate::host_reporter::HostReporter;
use crate::log_event;
use crate::peer_service::PeerService;
use crate::settings::ControlSettings;
use crate::settings::Settings;
use crate::shared::Shared;
use crate::view_sync::spawn_view_sync;

/// Time between two checks of the work in flight while the daemon drains.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Fraction of the time for work in flight, as a divisor, that is reserved for final answers to what still waits.
const LAST_ANSWERS_DIVISOR: u32 = 20;
/// Time for a stopping agent to announce to the control hosts that its target is leaving.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Fraction of the time to stop, as a divisor, for which a voter waits until another host votes in its place.
const LEAVE_WAIT_DIVISOR: u64 = 2;
/// Longest such wait, in milliseconds; without a leader it would be in vain.
const LEAVE_WAIT_MAX_MS: u64 = 10_000;
/// Time for the last frames to be written to the sockets.
const FLUSH_WAIT: Duration = Duration::from_millis(50);
/// Target lease reported to agents by a daemon that is not a control host, in milliseconds.
const NO_TARGET_LEASE_MS: u64 = 0;

/// Listeners of the traffic threads.
#[derive(Default)]
struct Listeners {
    dispatch: Option<Server>,
    callers: Option<CallerServer>,
}

/// A running daemon.
pub struct Daemon {
    shared: Arc<Shared>,
    listeners: Listeners,
    traffic: Option<Runtime>,
    control_thread: Option<std::thread::JoinHandle<()>>,
    stop_control: Option<oneshot::Sender<()>>,
}

impl Daemon {
    /// Starts all roles; returns once every address is bound.
    ///
    /// Fails when a thread or runtime can't be started, an address can't be bound, or the data folder of a
    /// control host can't be opened.
    pub fn spawn(settings: Settings) -> Result<Daemon> {
        Daemon::spawn_within(settings, ServerLimits::default())
    }

    /// Like [`Daemon::spawn`], under limits on what other daemons may make the process hold.
    pub fn spawn_within(settings: Settings, peer_limits: ServerLimits) -> Result<Daemon> {
        let incarnation = epoch_ms();
        let shared = Arc::new(Shared::new(settings, incarnation)?);
        let (stop_control, stopped) = oneshot::channel();
        let (started, control_thread) = spawn_control_thread(shared.clone(), peer_limits, stopped)?;
        let traffic = build_traffic_runtime(shared.settings.traffic_threads)?;
        let mut daemon = Daemon {
            shared: shared.clone(),
            listeners: Listeners::default(),
            traffic: None,
            control_thread: Some(control_thread),
            stop_control: Some(stop_control),
        };
        let closed = || Error::Closed { step: "start", peer: "the control thread".to_string() };
        started.blocking_recv().map_err(|_| closed())??;
        daemon.listeners = traffic.block_on(start_traffic(shared.clone()))?;
        daemon.traffic = Some(traffic);
        log_event!(info, Event::DaemonStarted, daemon = shared.settings.daemon, incarnation);
        Ok(daemon)
    }

    /// Returns the state that all roles share.
    pub fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Returns the runtime for traffic.
    pub fn traffic(&self) -> Option<&Runtime> {
        self.traffic.as_ref()
    }

    /// Tells the quorum that this host is leaving, so that another host takes its place. Returns at once, with the time
    /// until which a process that must stop within the given time waits for that.
    pub fn begin_leave(&self, stop_within_ms: u64) -> u64 {
        if let Some(reporter) = self.shared.host_reporter.get() {
            reporter.begin_leave();
        }
        monotonic_ms() + (stop_within_ms / LEAVE_WAIT_DIVISOR).min(LEAVE_WAIT_MAX_MS)
    }

    /// Waits until the quorum doesn't need this host any more, at most until a time that [`Daemon::begin_leave`] returned.
    pub fn wait_for_replacement(&self, deadline_ms: u64) {
        let Some(reporter) = self.shared.host_reporter.get() else {
            return;
        };
        let started_ms = monotonic_ms();
        while !reporter.may_stop() && monotonic_ms() < deadline_ms {
            std::thread::sleep(DRAIN_POLL_INTERVAL);
        }
        let is_released = reporter.may_stop();
        let waited_ms = monotonic_ms() - started_ms;
        log_event!(info, Event::QuorumLeft, is_released, waited_ms);
    }

    /// Shuts down gracefully: reports not ready for `shutdown_notice_ms`, then refuses new work, drains the work
    /// in flight and stops. Work that is still in flight after `shutdown_max_ms` is abandoned. A voter also waits until
    /// another host votes in its place, at most for half of that time and ten seconds.
    pub fn shutdown(mut self) {
        let settings = &self.shared.settings;
        log_event!(info, Event::ShutdownBegan, daemon = settings.daemon);
        self.shared.begin_stop();
        let leave_deadline_ms = self.begin_leave(settings.shutdown_max_ms);
        std::thread::sleep(Duration::from_millis(settings.shutdown_notice_ms));
        let deadline_ms = monotonic_ms() + settings.shutdown_max_ms;
        self.stop_entry(deadline_ms);
        self.stop_agent(deadline_ms);
        self.wait_for_replacement(leave_deadline_ms);
        log_event!(info, Event::ShutdownEnded, daemon = self.shared.settings.daemon);
        self.stop();
    }

    /// Drains callers' requests; the entry stops before the agent, because its requests still need agents.
    fn stop_entry(&mut self, deadline_ms: u64) {
        let (Some(callers), Some(traffic)) = (self.listeners.callers.take(), &self.traffic) else {
            return;
        };
        if let Some(entry) = &self.shared.entry {
            entry.begin_stop();
        }
        let remaining = Duration::from_millis(deadline_ms.saturating_sub(monotonic_ms()));
        let last_answers = remaining / LAST_ANSWERS_DIVISOR;
        let is_finished = traffic.block_on(async {
            let finish = callers.finish();
            tokio::pin!(finish);
            let waiting = tokio::time::timeout(remaining - last_answers, finish.as_mut());
            if waiting.await.is_ok() {
                return true;
            }
            if let Some(entry) = &self.shared.entry {
                log_event!(
                    error,
                    Event::ShutdownCutOff,
                    role = "entry",
                    open = entry.open_requests()
                );
                entry.end_waiting();
            }
            tokio::time::timeout(last_answers, finish).await.is_ok()
        });
        if !is_finished {
            log_event!(error, Event::ShutdownCutOff, role = "entry", is_unanswered = true);
        }
    }

    /// Drains the agent's requests, then announces that its target is leaving.
    fn stop_agent(&self, deadline_ms: u64) {
        let (Some(agent), Some(traffic)) = (&self.shared.agent, &self.traffic) else {
            return;
        };
        agent.begin_stop();
        while agent.open_requests() > 0 && monotonic_ms() < deadline_ms {
            std::thread::sleep(DRAIN_POLL_INTERVAL);
        }
        if agent.open_requests() > 0 {
            log_event!(error, Event::ShutdownCutOff, role = "agent", open = agent.open_requests());
        }
        traffic.block_on(async {
            let _ = tokio::time::timeout(LEAVE_TIMEOUT, agent.announce_leaving()).await;
            // The last frames may still be in the send queues to the entries.
            tokio::time::sleep(FLUSH_WAIT).await;
        });
    }

    fn stop(&mut self) {
        if let Some(stop) = self.stop_control.take() {
            let _ = stop.send(());
        }
        if let Some(thread) = self.control_thread.take() {
            let _ = thread.join();
        }
        if let Some(traffic) = self.traffic.take() {
            traffic.shutdown_background();
        }
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.stop();
    }
}

type StartReceiver = oneshot::Receiver<Result<()>>;

fn spawn_control_thread(
    shared: Arc<Shared>,
    peer_limits: ServerLimits,
    stopped: oneshot::Receiver<()>,
) -> Result<(StartReceiver, std::thread::JoinHandle<()>)> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|it| Error::disk("start the runtime of", "the control thread", it))?;
    let (start_sender, started) = oneshot::channel();
    let thread = std::thread::Builder::new()
        .name("control".to_string())
        .spawn(move || {
            runtime.block_on(async move {
                let server = start_control(shared, peer_limits).await;
                let (server, result) = match server {
                    Ok(server) => (Some(server), Ok(())),
                    Err(error) => (None, Err(error)),
                };
                let has_failed = result.is_err();
                let _ = start_sender.send(result);
                if !has_failed {
                    let _ = stopped.await;
                }
                drop(server);
            });
        })
        .map_err(|it| Error::disk("start", "the control thread", it))?;
    Ok((started, thread))
}

/// Starts everything that must keep running even when all traffic threads are busy.
async fn start_control(shared: Arc<Shared>, peer_limits: ServerLimits) -> Result<Server> {
    let settings = &shared.settings;
    let lease_ms = settings.control.as_ref().map_or(NO_TARGET_LEASE_MS, |it| it.target_lease_ms);
    let service = Arc::new(PeerService::new(shared.clone(), lease_ms));
    let control = match &settings.control {
        Some(control) => Some(start_node(control, &shared)?),
        None => None,
    };
    if let Some(control) = &control {
        service.add_control(control.clone());
    }
    let (daemon, data_center) = (&settings.daemon, Some(settings.data_center.as_str()));
    let (address, incarnation) = (&settings.peer_address, shared.incarnation);
    let server =
        Server::bind_within(address, daemon, incarnation, data_center, service, peer_limits)
            .await?;
    serve_admin(shared.clone(), control).await?;
    let (view, client) = (shared.view.clone(), shared.control.clone());
    spawn_view_sync(view, client, settings.daemon.clone(), settings.peer_address.clone());
    if let Some(agent) = &shared.agent {
        spawn_announcer(agent.clone());
    }
    if let Some(control) = settings.control.as_ref().filter(|it| it.voters_wanted > 0) {
        // All seeds may be daemons that are not control hosts.
        shared.control.add(&settings.peer_address);
        let address = settings.peer_address.clone();
        let reporter = HostReporter::spawn(shared.control.clone(), control.member, address);
        // Setting it fails only for a second reporter; a daemon starts its control role once.
        let _ = shared.host_reporter.set(reporter);
    }
    Ok(server)
}

fn start_node(control: &ControlSettings, shared: &Shared) -> Result<Arc<ControlService>> {
    let daemon = &shared.settings.daemon;
    let node = ControlNode::spawn(control, daemon, shared.incarnation)?;
    // Setting it fails only for a second node; a daemon starts its control node once.
    let _ = shared.control_node.set(node.clone());
    Ok(Arc::new(ControlService::new(node, daemon, shared.incarnation)))
}

fn build_traffic_runtime(threads: usize) -> Result<Runtime> {
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    if threads > 0 {
        builder.worker_threads(threads);
    }
    let runtime = builder.thread_name("traffic").enable_all().build();
    runtime.map_err(|it| Error::disk("start the runtime of", "the traffic threads", it))
}

async fn start_traffic(shared: Arc<Shared>) -> Result<Listeners> {
    let mut listeners = Listeners::default();
    if let Some(agent) = &shared.agent {
        let service = Arc::new(AgentService::new(agent.clone()));
        let address = &agent.settings.dispatch_address;
        let server =
            Server::bind(address, &shared.settings.daemon, shared.incarnation, None, service)
                .await?;
        serve_announcements(agent.clone()).await?;
        spawn_expert_map_planner(agent.clone());
        listeners.dispatch = Some(server);
    }
    if let Some(entry) = &shared.entry {
        listeners.callers = Some(CallerServer::bind(entry.clone()).await?);
    }
    Ok(listeners)
}
