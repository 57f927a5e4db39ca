//! Pool of idle connections to targets.

use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use bilberryloft_transport::account::Account;
use hyper::HeaderMap;
use hyper::header::HeaderName;
use parking_lot::Mutex;
use tokio::time::Instant;

use crate::connection::Connection;
use crate::headers;
use crate::memory::report::Report;

/// Largest number of idle connections to one target.
const IDLE_MAX: usize = 16;
/// Time for which a connection is kept if its target states no idle timeout.
const IDLE_TIME_DEFAULT: Duration = Duration::from_secs(4);
/// Share of the target's idle timeout for which a connection is kept, so that it is not reused as the target closes it.
const IDLE_TIME_SHARE: f64 = 0.7;

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    until: Instant,
    _mark: Arc<()>,
}

/// Idle connections by address.
#[derive(Debug)]
pub struct Pool {
    account: Arc<Account>,
    report: Arc<Report>,
    idle: Mutex<BTreeMap<String, Vec<IdleConnection>>>,
    /// Each idle connection holds a reference, by which they are counted.
    idle_mark: Arc<()>,
}

impl Pool {
    /// Creates an empty pool. What arrives on its connections is held in the account.
    pub fn new(account: Arc<Account>, report: Arc<Report>) -> Pool {
        Pool { account, report, idle: Mutex::default(), idle_mark: Arc::default() }
    }

    /// Returns the account.
    pub fn account(&self) -> &Arc<Account> {
        &self.account
    }

    /// Opens a connection, which is not in the pool.
    pub async fn open(&self, address: &str) -> io::Result<Connection> {
        Connection::open(address, &self.account, &self.report).await
    }

    /// Returns the number of idle connections.
    pub fn idle_count(&self) -> usize {
        // One of the references is the pool's own.
        Arc::strong_count(&self.idle_mark) - 1
    }

    /// Closes the idle connection that expires first; returns whether there was one.
    pub fn close_first_idle(&self) -> bool {
        let mut idle = self.idle.lock();
        // The first connection to each address is the one that was given back first.
        let first = idle.iter().filter_map(|(address, it)| Some((it.first()?.until, address)));
        let address = first.min_by_key(|it| it.0).map(|it| it.1.clone());
        let connections = address.and_then(|it| idle.get_mut(&it));
        connections.map(|it| it.remove(0)).is_some()
    }

    /// Takes the most recently used connection that is still usable.
    pub fn take(&self, address: &str) -> Option<Connection> {
        let mut idle = self.idle.lock();
        let connections = idle.get_mut(address)?;
        let now = Instant::now();
        while let Some(it) = connections.pop() {
            if it.until > now && it.connection.is_ready() {
                return Some(it.connection);
            }
        }
        idle.remove(address);
        None
    }

    /// Returns a connection to the pool after its answer has been read completely, for the time that its target keeps it
    /// open.
    pub fn give_back(&self, address: &str, connection: Connection, idle_time: Option<Duration>) {
        if connection.is_closed() {
            return;
        }
        let kept = idle_time.unwrap_or(IDLE_TIME_DEFAULT);
        let mut idle = self.idle.lock();
        let connections = idle.entry(address.to_string()).or_default();
        if connections.len() < IDLE_MAX {
            let (until, mark) = (Instant::now() + kept, self.idle_mark.clone());
            connections.push(IdleConnection { connection, until, _mark: mark });
        }
    }

    /// Closes idle connections to a target beyond `idle_max`, the oldest first, to make room for a new one.
    pub fn trim(&self, address: &str, idle_max: usize) {
        let mut idle = self.idle.lock();
        if let Some(connections) = idle.get_mut(address) {
            let surplus = connections.len().saturating_sub(idle_max);
            connections.drain(..surplus);
        }
    }

    /// Returns whether there are idle connections to a target and all of them are closed.
    pub fn has_only_closed(&self, address: &str) -> bool {
        let idle = self.idle.lock();
        let connections = idle.get(address).into_iter().flatten();
        let now = Instant::now();
        let mut connections = connections.filter(|it| it.until > now).peekable();
        connections.peek().is_some() && connections.all(|it| it.connection.is_closed())
    }

    /// Removes connections that have been idle for too long or are closed.
    pub fn sweep(&self) {
        let now = Instant::now();
        self.idle.lock().retain(|_, connections| {
            connections.retain(|it| it.until > now && !it.connection.is_closed());
            !connections.is_empty()
        });
    }
}

/// Returns the time for which a connection is kept, from the target's `keep-alive: timeout=SECONDS` header; `None` if
/// that is missing or no number of seconds.
pub fn idle_time(answer: &HeaderMap) -> Option<Duration> {
    let text = headers::text(answer, &HeaderName::from_static("keep-alive"))?;
    let seconds = text.split(',').find_map(|it| it.trim().strip_prefix("timeout="))?;
    let seconds: f64 = seconds.parse().ok().filter(|it: &f64| !it.is_nan())?;
    Some(Duration::from_secs_f64((seconds * IDLE_TIME_SHARE).clamp(0.0, 600.0)))
}
