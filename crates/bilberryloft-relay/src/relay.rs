//! Starts and stops the relay together with its daemon.

use std::sync::Arc;
use std::time::Duration;

use bilberryloft_daemon::daemon::Daemon;
use bilberryloft_daemon::events::Event;
use bilberryloft_daemon::log_event;
use bilberryloft_state::error::Error;
use bilberryloft_state::error::Result;
use tokio::time::Instant;

use crate::control_api::serve_control_api;
use crate::dialect::Dialect;
use crate::evacuation;
use crate::expert_planner::spawn_planner;
use crate::lifecycle::Stage;
use crate::loads::spawn_load_exchange;
use crate::memory::Memory;
use crate::memory::spawn_upkeep;
use crate::readiness::serve_readiness;
use crate::server::CallerServer;
use crate::settings::ProgramSettings;
use crate::state::RelayState;
use crate::stop_times::StopTimes;
use crate::suspects::spawn_run_reports;

/// Part of the time to stop that counts as passed at most before the signal is noticed, as a divisor. A process that was
/// suspended for longer is not the cause of what is lost.
const LATE_DIVISOR: u32 = 4;
/// Time for the rest of requests that are arriving when no connections are accepted any more.
const ARRIVAL_TIME: Duration = Duration::from_millis(500);
/// Interval at which it is checked during shutdown whether all is answered.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Interval between removals of expired idle connections.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// Cause of requests that the end of the process cuts off, in logs and metrics.
const PROCESS_END: &str = "process_end";

/// A running relay, which [`Relay::shutdown`] stops.
pub struct Relay {
    daemon: Daemon,
    state: Arc<RelayState>,
    callers: CallerServer,
}

impl Relay {
    /// Starts the daemon and the relay; returns once all listeners are bound.
    pub fn spawn(settings: ProgramSettings, dialect: Arc<dyn Dialect>) -> Result<Relay> {
        let memory = Arc::new(Memory::new(&settings.relay.process_limits));
        let daemon = Daemon::spawn_within(settings.daemon, memory.peer_limits())?;
        let state = RelayState::new(daemon.shared().clone(), settings.relay, dialect, memory);
        let state = Arc::new(state);
        let traffic = daemon
            .traffic()
            .ok_or(Error::Closed { step: "start", peer: "the traffic threads".to_string() })?;
        let callers = traffic.block_on(start(state.clone()))?;
        log_event!(info, Event::RelayStarted, daemon = state.daemon.settings.daemon);
        Ok(Relay { daemon, state, callers })
    }

    /// Applies the control addresses of reloaded settings; all other settings need a restart.
    pub fn reload(&self, settings: &ProgramSettings) {
        let seeds = &settings.daemon.control_addresses;
        self.state.daemon.control.set_seeds(seeds);
        log_event!(info, Event::SettingsReloaded, ?seeds);
    }

    /// Shuts down gracefully: reports not ready, then stops accepting connections, then waits until the answers to all
    /// requests that were read have been written to their last byte. A voter of the quorum also waits until another host
    /// votes in its place.
    ///
    /// The time to stop counts from `not_stopped`, a time shortly before the signal, as a process on a slow host may
    /// notice it late; but at most a quarter of the time to stop counts as passed.
    pub fn shutdown(self, not_stopped: Instant) {
        let leave_deadline_ms = self.daemon.begin_leave(self.state.settings.stop_within_ms);
        let within = Duration::from_millis(self.state.settings.stop_within_ms);
        let now = Instant::now();
        let late = now.duration_since(not_stopped).min(within / LATE_DIVISOR);
        let times = StopTimes::new(now, late, within);
        let late_ms = late.as_millis() as u64;
        log_event!(info, Event::RelayStopping, open = self.unanswered(), late_ms);
        self.state.lifecycle.begin_stop(times);
        std::thread::sleep(times.closed.saturating_duration_since(Instant::now()));
        self.close(&times);
        self.daemon.wait_for_replacement(leave_deadline_ms);
        self.log_unanswered();
        log_event!(info, Event::RelayStopped, open = self.unanswered());
        drop(self.daemon);
    }

    /// Takes no more requests, and waits until all that was read is answered.
    fn close(&self, times: &StopTimes) {
        let (lifecycle, callers) = (&self.state.lifecycle, &self.state.memory.callers);
        lifecycle.set_stage(Stage::Closed);
        let connections = callers.len();
        log_event!(info, Event::RelayClosed, open = self.unanswered(), connections);
        let stages = [
            (Instant::now() + ARRIVAL_TIME, Stage::Refusing),
            (times.answering, Stage::Answering),
            (times.breaking, Stage::Breaking),
        ];
        while Instant::now() < times.end {
            let now = Instant::now();
            let reached = stages.iter().filter(|it| it.0 <= now);
            reached.for_each(|it| lifecycle.set_stage(it.1));
            let is_answered = self.callers.is_closed() && callers.count_holding_stop() == 0;
            if is_answered && (callers.is_empty() || lifecycle.stage() >= Stage::Refusing) {
                return;
            }
            std::thread::sleep(STOP_POLL_INTERVAL);
        }
    }

    /// Returns the number of requests that have been read and whose answer has not been written to its last byte.
    fn unanswered(&self) -> usize {
        self.state.memory.callers.unanswered().len()
    }

    /// Logs the requests that the end of this process cuts off.
    fn log_unanswered(&self) {
        let memory = &self.state.memory;
        for connection in memory.callers.unanswered() {
            connection.record_end();
            memory.report.record_cut(&connection, PROCESS_END);
        }
        memory.report.set_metrics(&self.state.daemon.metrics);
    }
}

async fn start(state: Arc<RelayState>) -> Result<CallerServer> {
    spawn_refresh(state.clone());
    spawn_sweep(state.clone());
    spawn_upkeep(state.memory.clone(), state.daemon.clone());
    spawn_run_reports(state.suspects.clone());
    spawn_load_exchange(state.clone()).await?;
    serve_control_api(state.clone()).await?;
    if let Some(control) = state.daemon.control_node.get() {
        spawn_planner(state.clone(), control.clone());
    }
    let callers = CallerServer::bind(state.clone()).await?;
    serve_readiness(state).await?;
    Ok(callers)
}

/// Updates routes and targets whenever the daemon receives a new version.
fn spawn_refresh(state: Arc<RelayState>) {
    tokio::spawn(async move {
        let mut versions = state.daemon.view.versions();
        loop {
            // First, so that no route or target is used that an evacuation excludes.
            evacuation::refresh(&state);
            state.refresh_routes();
            state.refresh_targets();
            if versions.changed().await.is_err() {
                return;
            }
        }
    });
}

fn spawn_sweep(state: Arc<RelayState>) {
    tokio::spawn(async move {
        loop {
            tokio::time::sleep(SWEEP_INTERVAL).await;
            state.pool.sweep();
            state.call_pool.sweep();
        }
    });
}
