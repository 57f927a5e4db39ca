//! Connections of one listener. If there are too many, idle and unfinished ones are closed for new ones.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use bilberryloft_transport::clock::monotonic_ms;
use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::memory::caller_connection::CallerConnection;
use crate::memory::caller_connection::CloseOrder;
use crate::memory::caller_connection::UNFINISHED_MS;
use crate::memory::report::CloseCause;

/// Longest time for which a new connection waits for another one to close.
const ADMIT_TIMEOUT: Duration = Duration::from_millis(200);
#[derive(Debug, Default)]
struct Records {
    connections: BTreeMap<u64, Arc<CallerConnection>>,
    next_id: u64,
}

/// Connections of one listener.
#[derive(Debug)]
pub struct ConnectionTable {
    connections_max: usize,
    records: Mutex<Records>,
    /// Notified when a connection has closed, or stays open though it was asked to close.
    decided: Notify,
}

impl ConnectionTable {
    /// Creates an empty table.
    pub fn new(connections_max: usize) -> ConnectionTable {
        ConnectionTable { connections_max, records: Mutex::default(), decided: Notify::new() }
    }

    /// Returns the number of connections.
    pub fn len(&self) -> usize {
        self.records.lock().connections.len()
    }

    /// Returns whether there are no connections.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the number of connections for which a stop waits.
    pub fn count_holding_stop(&self) -> usize {
        self.records.lock().connections.values().filter(|it| it.phase().holds_stop()).count()
    }

    /// Returns the connections whose whole request has no complete answer yet.
    pub fn unanswered(&self) -> Vec<Arc<CallerConnection>> {
        let records = self.records.lock();
        let connections = records.connections.values();
        connections.filter(|it| it.phase().progress().is_some()).cloned().collect()
    }

    /// Adds a connection. If there are too many, closes one that is idle or unfinished; returns none if all are in use.
    pub async fn admit(self: &Arc<Self>, address: IpAddr) -> Option<ConnectionGuard> {
        let until = Instant::now() + ADMIT_TIMEOUT;
        loop {
            let decided = self.decided.notified();
            tokio::pin!(decided);
            decided.as_mut().enable();
            if let Some(guard) = self.try_add(address) {
                return Some(guard);
            }
            // Without one that can close, the client is told at once.
            if !self.close_one() || tokio::time::timeout_at(until, decided).await.is_err() {
                return None;
            }
        }
    }

    /// Asks the connection that is first in the order to close and waits until one has closed or is kept after all; returns
    /// whether one has.
    pub async fn close_one_and_wait(&self, until: Instant) -> bool {
        let decided = self.decided.notified();
        tokio::pin!(decided);
        decided.as_mut().enable();
        self.close_one() && tokio::time::timeout_at(until, decided).await.is_ok()
    }

    fn try_add(self: &Arc<Self>, address: IpAddr) -> Option<ConnectionGuard> {
        let mut records = self.records.lock();
        if records.connections.len() >= self.connections_max {
            return None;
        }
        records.next_id += 1;
        let id = records.next_id;
        let connection = Arc::new(CallerConnection::new(address));
        records.connections.insert(id, connection.clone());
        Some(ConnectionGuard { table: self.clone(), id, connection })
    }

    /// Asks the connection that is first in the order to close, unless one is asked already; returns whether one is.
    pub fn close_one(&self) -> bool {
        let records = self.records.lock();
        let connections = &records.connections;
        if connections.values().any(|it| it.is_closing()) {
            return true;
        }
        let now_ms = monotonic_ms();
        let closable: Vec<(CloseOrder, &Arc<CallerConnection>)> =
            connections.values().filter_map(|it| Some((it.close_order(now_ms)?, it))).collect();
        let Some(first) = closable.iter().map(|it| it.0).min() else {
            return false;
        };
        let mut counts: BTreeMap<IpAddr, usize> = BTreeMap::new();
        for (_, connection) in closable.iter().filter(|it| it.0 == first) {
            *counts.entry(connection.address).or_default() += 1;
        }
        // Of the address with the most such connections, the one that has been so for longest.
        // The last of equals is taken, so the order is reversed.
        let of_first = closable.iter().rev().filter(|it| it.0 == first).map(|it| it.1);
        let victim = of_first.max_by_key(|it| (counts[&it.address], u64::MAX - it.since_ms()));
        if let Some(victim) = victim {
            victim.ask_to_close(CloseCause::Crowded);
        }
        victim.is_some()
    }

    /// Asks the connection to close whose client has not read for longest, if that is long.
    pub fn close_unread(&self) {
        let records = self.records.lock();
        let now_ms = monotonic_ms();
        let unread = records.connections.values().filter(|it| !it.is_closing());
        let unread = unread.filter_map(|it| Some((it.unread_ms(now_ms)?, it)));
        let longest = unread.max_by_key(|it| it.0).filter(|it| it.0 >= UNFINISHED_MS);
        if let Some((_, connection)) = longest {
            connection.ask_to_close(CloseCause::Unread);
        }
    }
}

/// Keeps a connection in its table.
#[derive(Debug)]
pub struct ConnectionGuard {
    table: Arc<ConnectionTable>,
    id: u64,
    connection: Arc<CallerConnection>,
}

impl ConnectionGuard {
    /// Returns the state of the connection.
    pub fn connection(&self) -> &Arc<CallerConnection> {
        &self.connection
    }

    /// Tells those who wait for room that the connection stays open, so that they ask another one.
    pub fn record_kept(&self) {
        self.table.decided.notify_waiters();
    }

    /// Returns the number of connections in the table.
    pub fn connections(&self) -> usize {
        self.table.len()
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.table.records.lock().connections.remove(&self.id);
        self.table.decided.notify_waiters();
    }
}
