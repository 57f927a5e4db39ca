//! Exchange of load reports between entries over UDP: requests in flight, failure rates, slow ranks and
//! limits by target.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bilberryloft_routing::target_limits::LimitReport;
use bilberryloft_state::error::Error;
use bilberryloft_state::error::Result;
use bilberryloft_transport::clock::monotonic_ms;
use serde::Deserialize;
use serde::Serialize;
use tokio::net::UdpSocket;
use tokio::time::Instant;

use crate::state::RelayState;

/// Interval at which this entry's loads are checked for changes.
const CHECK_INTERVAL: Duration = Duration::from_millis(40);
/// Time after which an unchanged report is sent again, so that an idle entry still counts as an entry.
const RESEND_AFTER: Duration = Duration::from_millis(400);
/// Time after which an entry that sends no reports gets no more datagrams, in milliseconds.
const PEER_EXPIRY_MS: u64 = 5_000;
/// Largest datagram that is received, in bytes.
const DATAGRAM_BYTES_MAX: usize = 16 << 10;

/// Resolution of failure rates in reports, in parts of 1. The rates are rounded so that they do not change with every
/// check.
const FAILURE_RATE_PARTS: f64 = 10.0;

/// Datagram from one entry to another.
#[derive(Debug, Serialize, Deserialize)]
struct LoadMessage {
    /// Name of the sender.
    entry: String,
    /// Address on which the sender receives datagrams.
    address: SocketAddr,
    /// Addresses of the other entries that the sender knows.
    known: Vec<SocketAddr>,
    /// Number of entries that the sender has heard within a day, including itself.
    #[serde(default)]
    entries: usize,
    /// Limits of targets.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    limits: BTreeMap<String, LimitReport>,
    /// Report of the sender.
    #[serde(flatten)]
    report: LoadReport,
}

/// Load and health of targets, as one entry reports them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct LoadReport {
    /// Requests in flight by target.
    loads: BTreeMap<String, u32>,
    /// High failure rates by target, in units of 1 / [`FAILURE_RATE_PARTS`].
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    failing: BTreeMap<String, u8>,
    /// Slowness of slow ranks by target, if the sender polls the ranks.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    slow_ranks: Option<BTreeMap<String, f64>>,
}

/// State of the exchange at one entry.
struct LoadExchange {
    state: Arc<RelayState>,
    socket: UdpSocket,
    own_address: SocketAddr,
    last_heard_ms: BTreeMap<SocketAddr, u64>,
    sent: LoadReport,
    sent_limit_changes: u64,
    sent_at: Instant,
}

/// Binds the configured UDP address and starts sending and receiving reports.
pub async fn spawn_load_exchange(state: Arc<RelayState>) -> Result<()> {
    let address = state.settings.load_address.clone();
    let socket =
        UdpSocket::bind(&address).await.map_err(|it| Error::network("listen", &address, it))?;
    let own_address = socket.local_addr().map_err(|it| Error::network("listen", &address, it))?;
    let exchange = LoadExchange {
        state,
        socket,
        own_address,
        last_heard_ms: BTreeMap::new(),
        sent: LoadReport::default(),
        sent_limit_changes: 0,
        sent_at: Instant::now(),
    };
    tokio::spawn(exchange.run());
    Ok(())
}

impl LoadExchange {
    async fn run(mut self) {
        let mut ticks = tokio::time::interval(CHECK_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut buffer = vec![0; DATAGRAM_BYTES_MAX];
        loop {
            tokio::select! {
                received = self.socket.recv_from(&mut buffer) => {
                    if let Ok((length, _)) = received {
                        self.handle_datagram(&buffer[..length]);
                    }
                }
                _ = ticks.tick() => self.check_loads().await,
            }
        }
    }

    fn handle_datagram(&mut self, bytes: &[u8]) {
        let Ok(message) = serde_json::from_slice::<LoadMessage>(bytes) else {
            tracing::debug!("ignoring a datagram that is not a valid load report");
            return;
        };
        let now_ms = monotonic_ms();
        self.last_heard_ms.insert(message.address, now_ms);
        self.state.entries.record(&message.entry, message.entries);
        for address in message.known {
            // An entry known only from others gets datagrams until it expires, and replies if it is running.
            self.last_heard_ms.entry(address).or_insert(now_ms);
        }
        let failing = message.report.failing.into_iter();
        let failing =
            failing.map(|(id, parts)| (id, f64::from(parts) / FAILURE_RATE_PARTS)).collect();
        self.state.services.targets.lock().record_entry(
            &message.entry,
            message.report.loads,
            failing,
            now_ms,
        );
        self.state.limits.record_reports(&message.entry, &message.limits);
        if let Some(slowness) = message.report.slow_ranks {
            self.state.services.record_slow_ranks(&message.entry, slowness);
        }
    }

    async fn check_loads(&mut self) {
        let now_ms = monotonic_ms();
        self.state.lifecycle.record_tick();
        let (report, limit_changes, entries) = {
            let mut targets = self.state.services.targets.lock();
            let slow_ranks = targets.slow_ranks_from(self.own_name(), now_ms).cloned();
            let report = LoadReport {
                loads: targets.own_loads(),
                failing: rounded(targets.own_failure_rates(now_ms)),
                slow_ranks,
            };
            (report, targets.limits.changes(), targets.expire_entries(now_ms))
        };
        self.state.entries.set_active(entries);
        self.state.limits.refresh();
        self.last_heard_ms.retain(|_, last_heard_ms| *last_heard_ms + PEER_EXPIRY_MS > now_ms);
        let is_sent = report == self.sent && limit_changes == self.sent_limit_changes;
        if is_sent && self.sent_at.elapsed() < RESEND_AFTER {
            return;
        }
        self.sent = report;
        self.sent_limit_changes = limit_changes;
        self.sent_at = Instant::now();
        self.send_report().await;
    }

    fn own_name(&self) -> &str {
        self.state.entries.own()
    }

    async fn send_report(&self) {
        let message = LoadMessage {
            entry: self.own_name().to_string(),
            address: self.own_address,
            known: self.last_heard_ms.keys().copied().collect(),
            entries: self.state.entries.heard_count(),
            limits: self.state.services.targets.lock().limits.reports(monotonic_ms()),
            report: self.sent.clone(),
        };
        let Ok(bytes) = serde_json::to_vec(&message) else {
            return;
        };
        for address in self.peers() {
            if let Err(error) = self.socket.send_to(&bytes, address).await {
                tracing::debug!(%error, %address, "failed to send a load report");
            }
        }
    }

    /// Returns the entries that were heard recently, and those on control hosts, from which the others become known.
    fn peers(&self) -> BTreeSet<SocketAddr> {
        let port = self.own_address.port();
        let control = self.state.daemon.control.addresses();
        let seeds = control.iter().filter_map(|it| it.parse::<SocketAddr>().ok());
        let mut peers: BTreeSet<SocketAddr> =
            seeds.map(|it| SocketAddr::new(it.ip(), port)).collect();
        peers.extend(self.last_heard_ms.keys());
        peers.remove(&self.own_address);
        peers
    }
}

/// Rounds failure rates to multiples of 1 / [`FAILURE_RATE_PARTS`].
fn rounded(failing: BTreeMap<String, f64>) -> BTreeMap<String, u8> {
    failing
        .into_iter()
        .map(|(id, share)| (id, (share * FAILURE_RATE_PARTS).round() as u8))
        .collect()
}
