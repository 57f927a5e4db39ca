//! What clients may make this process hold: memory, in one account, and connections.

pub mod body;
pub mod caller_connection;
pub mod connection_table;
pub mod plan;
pub mod report;
pub mod serve;
pub mod tracked_body;
pub mod watched_stream;

use std::sync::Arc;
use std::time::Duration;

use bilberryloft_daemon::metrics::Metrics;
use bilberryloft_daemon::shared::Shared;
use bilberryloft_transport::account::Account;
use bilberryloft_transport::account::Purpose;
use bilberryloft_transport::account::Reservation;
use bilberryloft_transport::server::ServerLimits;
use bytes::Bytes;
use hyper::body::Incoming;
use tokio::sync::Semaphore;
use tokio::time::Instant;

use crate::memory::body::BodyLimits;
use crate::memory::connection_table::ConnectionTable;
use crate::memory::plan::MemoryPlan;
use crate::memory::report::BodyFault;
use crate::memory::report::Report;
use crate::pool::Pool;
use crate::settings::ProcessLimits;

/// Documents that are decoded and proposed at once. Each is held several times meanwhile: as text, decoded, and as
/// frames to other members.
const DOCUMENTS_AT_ONCE: usize = 1;
/// Longest time for which a request or a new connection waits for a connection to close.
const ROOM_TIMEOUT: Duration = Duration::from_millis(200);
/// Interval at which callers that don't read are looked for while memory is short, and metrics are set.
const UPKEEP_INTERVAL: Duration = Duration::from_millis(100);

/// Memory and connections of this process.
#[derive(Debug)]
pub struct Memory {
    /// Sizes.
    pub plan: MemoryPlan,
    /// Account of the memory.
    pub account: Arc<Account>,
    /// Connections of callers.
    pub callers: Arc<ConnectionTable>,
    /// Connections for readiness checks.
    pub balancers: Arc<ConnectionTable>,
    /// Connections to the control API.
    pub operators: Arc<ConnectionTable>,
    /// Held while a document is decoded and proposed.
    pub documents: Semaphore,
    /// Counts and logs what is refused and closed.
    pub report: Arc<Report>,
}

impl Memory {
    /// Creates the account and the tables of connections for the limits of the host.
    pub fn new(limits: &ProcessLimits) -> Memory {
        let plan = MemoryPlan::new(limits);
        Memory {
            plan,
            account: Account::new(plan.account_bytes),
            callers: Arc::new(ConnectionTable::new(plan.caller_connections)),
            balancers: Arc::new(ConnectionTable::new(plan.readiness_connections)),
            operators: Arc::new(ConnectionTable::new(plan.control_connections)),
            documents: Semaphore::new(DOCUMENTS_AT_ONCE),
            report: Arc::default(),
        }
    }

    /// Returns the limits on other daemons.
    pub fn peer_limits(&self) -> ServerLimits {
        ServerLimits { account: self.account.clone(), connections_max: self.plan.peer_connections }
    }

    /// Makes room so that `more` further connections of callers or to targets fit: closes idle ones to targets, or those
    /// of callers that are idle or unfinished. Each open request counts as a connection to a target. Returns whether there
    /// is room.
    pub async fn make_connection_room(&self, pool: &Pool, open: usize, more: usize) -> bool {
        let until = Instant::now() + ROOM_TIMEOUT;
        let is_full = || {
            let connections = self.callers.len() + pool.idle_count() + open + more;
            connections > self.plan.traffic_connections
        };
        while is_full() {
            if !pool.close_first_idle() && !self.callers.close_one_and_wait(until).await {
                return false;
            }
        }
        true
    }

    /// Opens a reservation for bytes that are whole when they are reserved.
    pub fn open(&self, purpose: Purpose) -> Reservation {
        self.account.open(purpose)
    }

    /// Reads a body to its end, and records why it can't be read.
    pub async fn read_body(&self, body: Incoming, limits: BodyLimits) -> Result<Bytes, BodyFault> {
        let client = (limits.holder.address, limits.purpose);
        let read = body::read_body(&self.account, body, limits).await;
        read.inspect_err(|fault| {
            let held = self.account.held_bytes(client.1);
            let client = client.0.to_string();
            self.report.record_fault(*fault, &client, held, self.account.total_bytes());
        })
    }

    fn set_metrics(&self, metrics: &Metrics) {
        for purpose in Purpose::ALL {
            metrics.memory.set_held(purpose.name(), self.account.held_bytes(purpose));
        }
        metrics.memory.set_total(self.account.total_bytes());
        metrics.memory.set_connections("callers", self.callers.len());
        metrics.memory.set_connections("control", self.operators.len());
        self.report.set_metrics(metrics);
    }
}

/// Closes connections whose callers don't read while somebody waits for memory, and sets the metrics.
pub fn spawn_upkeep(memory: Arc<Memory>, daemon: Arc<Shared>) {
    tokio::spawn(async move {
        loop {
            tokio::time::sleep(UPKEEP_INTERVAL).await;
            if memory.account.is_short() {
                memory.callers.close_unread();
            }
            memory.set_metrics(&daemon.metrics);
        }
    });
}
