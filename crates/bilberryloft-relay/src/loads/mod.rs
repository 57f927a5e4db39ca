//! Exchange of load reports between entries over UDP: requests in flight, failure rates, slow ranks and
//! limits by target.

pub mod wire;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bilberryloft_routing::load_exchange::EntryReport;
use bilberryloft_routing::load_exchange::LoadExchange;
use bilberryloft_routing::load_exchange::Outgoing;
use bilberryloft_routing::load_exchange::OwnEntry;
use bilberryloft_routing::load_exchange::ReportedTargets;
use bilberryloft_state::error::Error;
use bilberryloft_state::error::Result;
use bilberryloft_transport::clock::epoch_ms;
use bilberryloft_transport::clock::monotonic_ms;
use tokio::net::UdpSocket;

use crate::leaving;
use crate::leaving::LeavingSource;
use crate::state::RelayState;

/// Interval at which this entry's loads are checked for changes.
const CHECK_INTERVAL: Duration = Duration::from_millis(40);
/// Largest datagram that is received, in bytes.
const DATAGRAM_BYTES_MAX: usize = 64 << 10;
/// Resolution of failure rates in reports, in parts of 1. The rates are rounded so that they do not change with every
/// check.
const FAILURE_RATE_PARTS: f64 = 10.0;

/// The exchange on its socket.
struct LoadSocket {
    state: Arc<RelayState>,
    socket: UdpSocket,
    own_address: SocketAddr,
    exchange: LoadExchange,
}

/// Binds the configured UDP address and starts sending and receiving reports.
pub async fn spawn_load_exchange(state: Arc<RelayState>) -> Result<()> {
    let address = state.settings.load_address.clone();
    let socket =
        UdpSocket::bind(&address).await.map_err(|it| Error::network("listen", &address, it))?;
    let own_address = socket.local_addr().map_err(|it| Error::network("listen", &address, it))?;
    let exchange = LoadExchange::new(OwnEntry {
        entry: state.entries.own().to_string(),
        data_center: state.daemon.settings.data_center.clone(),
        address: own_address,
        incarnation: epoch_ms(),
    });
    tokio::spawn(LoadSocket { state, socket, own_address, exchange }.run());
    Ok(())
}

impl LoadSocket {
    async fn run(mut self) {
        let mut ticks = tokio::time::interval(CHECK_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut buffer = vec![0; DATAGRAM_BYTES_MAX];
        loop {
            tokio::select! {
                received = self.socket.recv_from(&mut buffer) => {
                    if let Ok((length, sender)) = received {
                        self.handle_datagram(&buffer[..length], sender);
                    }
                }
                _ = ticks.tick() => self.check_loads().await,
            }
        }
    }

    fn handle_datagram(&mut self, bytes: &[u8], sender: SocketAddr) {
        let reports = match wire::decode(bytes, sender) {
            Ok(reports) => reports,
            Err(error) => {
                tracing::debug!(%error, "ignoring a datagram that is not a load report");
                return;
            }
        };
        for report in self.exchange.receive(sender, reports, monotonic_ms()) {
            self.apply(report);
        }
    }

    /// Applies a report of another entry.
    fn apply(&self, report: EntryReport) {
        let (entry, targets) = (report.entry, report.targets);
        let mut table = self.state.services.targets.lock();
        table.record_entry_data_center(&report.data_center, monotonic_ms());
        drop(table);
        self.state.entries.record(&entry, report.known_entries);
        let failing = targets.failing.into_iter();
        let failing =
            failing.map(|(id, parts)| (id, f64::from(parts) / FAILURE_RATE_PARTS)).collect();
        self.state.services.targets.lock().record_entry(
            &entry,
            targets.loads,
            failing,
            monotonic_ms(),
        );
        self.state.limits.record_reports(&entry, &targets.limits);
        self.state.services.admissions.record_report(&entry, &targets.demand, monotonic_ms());
        for (id, incarnation) in &targets.leaving {
            leaving::record(&self.state, id, *incarnation, LeavingSource::Entry(&entry));
        }
        self.state.suspects.record_heard_runs(&targets.lost_runs);
        if let Some(slowness) = targets.slow_ranks {
            self.state.services.record_slow_ranks(&entry, slowness);
        }
    }

    async fn check_loads(&mut self) {
        let now_ms = monotonic_ms();
        self.state.lifecycle.record_tick();
        let (targets, entries) = self.own_targets(now_ms);
        self.state.entries.set_active(entries);
        self.state.limits.refresh();
        self.state.cold.refresh();
        self.state.services.update_remote(&self.state.daemon);
        self.state.services.admissions.report(|it| self.state.group_load(it), now_ms);
        self.exchange.set_own(targets, self.state.entries.heard_count(), now_ms);
        for outgoing in self.exchange.due(&self.contacts(), now_ms, fastrand::f64) {
            self.send(&outgoing).await;
        }
    }

    /// Returns what this entry reports, and the number of active entries.
    fn own_targets(&self, now_ms: u64) -> (ReportedTargets, usize) {
        let demand = self.state.services.admissions.own_demand(now_ms);
        let mut targets = self.state.services.targets.lock();
        let reported = ReportedTargets {
            loads: targets.own_loads(),
            failing: rounded(targets.own_failure_rates(now_ms)),
            slow_ranks: targets.slow_ranks_from(self.state.entries.own(), now_ms).cloned(),
            limits: targets.limits.reports(now_ms),
            leaving: targets.unrecorded_leaving(),
            lost_runs: self.state.suspects.unrecorded_runs(wire::LOST_RUNS_MAX),
            demand,
        };
        (reported, targets.expire_entries(now_ms))
    }

    async fn send(&self, outgoing: &Outgoing) {
        for bytes in wire::encode(&outgoing.reports) {
            for address in &outgoing.to {
                if let Err(error) = self.socket.send_to(&bytes, address).await {
                    tracing::debug!(%error, %address, "failed to send a load report");
                }
            }
        }
    }

    /// Returns the entries on control hosts, from which the others become known.
    fn contacts(&self) -> BTreeSet<SocketAddr> {
        let port = self.own_address.port();
        let control = self.state.daemon.control.addresses();
        let hosts = control.iter().filter_map(|it| it.parse::<SocketAddr>().ok());
        let mut contacts: BTreeSet<SocketAddr> =
            hosts.map(|it| SocketAddr::new(it.ip(), port)).collect();
        contacts.remove(&self.own_address);
        contacts
    }
}

/// Rounds failure rates to multiples of 1 / [`FAILURE_RATE_PARTS`].
fn rounded(failing: BTreeMap<String, f64>) -> BTreeMap<String, u8> {
    failing
        .into_iter()
        .map(|(id, share)| (id, (share * FAILURE_RATE_PARTS).round() as u8))
        .collect()
}
