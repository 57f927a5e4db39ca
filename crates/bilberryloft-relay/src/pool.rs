//! Connections to targets that wait for another request.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper::header::HeaderName;
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::headers;

/// Time for a connection to be made.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Connections that wait for one target at most.
const IDLE_MAX: usize = 16;
/// Time for which a connection is kept when its target names none.
const IDLE_TIME_DEFAULT: Duration = Duration::from_secs(4);
/// Part of the idle time that a target names for which a connection is kept.
const IDLE_TIME_SHARE: f64 = 0.7;

/// One connection to a target, with one request at a time.
pub type Connection = SendRequest<Full<Bytes>>;

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    until: Instant,
}

/// Idle connections by address.
#[derive(Debug, Default)]
pub struct Pool {
    idle: Mutex<BTreeMap<String, Vec<IdleConnection>>>,
}

impl Pool {
    /// Takes the connection that was used last, if one is still good.
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

    /// Keeps a connection whose answer has been read whole.
    pub fn give_back(&self, address: &str, connection: Connection, answer: &HeaderMap) {
        if connection.is_closed() {
            return;
        }
        let kept = idle_time(answer).unwrap_or(IDLE_TIME_DEFAULT);
        let mut idle = self.idle.lock();
        let connections = idle.entry(address.to_string()).or_default();
        if connections.len() < IDLE_MAX {
            connections.push(IdleConnection { connection, until: Instant::now() + kept });
        }
    }

    /// Drops idle connections to a target beyond `idle_max`, the oldest first, to make room for a new one.
    pub fn trim(&self, address: &str, idle_max: usize) {
        let mut idle = self.idle.lock();
        if let Some(connections) = idle.get_mut(address) {
            let surplus = connections.len().saturating_sub(idle_max);
            connections.drain(..surplus);
        }
    }

    /// Drops connections that have waited too long or are closed.
    pub fn sweep(&self) {
        let now = Instant::now();
        self.idle.lock().retain(|_, connections| {
            connections.retain(|it| it.until > now && !it.connection.is_closed());
            !connections.is_empty()
        });
    }
}

/// Makes a connection.
pub async fn connect(address: &str) -> std::io::Result<Connection> {
    let connected = tokio::time::timeout(CONNECT_TIMEOUT, async {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let handshake = http1::Builder::new().handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(std::io::Error::other)?;
        tokio::spawn(async move {
            // How the connection ended is told to whoever has a request on it.
            let _ = connection.await;
        });
        Ok(sender)
    });
    connected.await.map_err(|_| std::io::Error::from(std::io::ErrorKind::TimedOut))?
}

/// Idle time that a target names, as `timeout=SECONDS`.
fn idle_time(answer: &HeaderMap) -> Option<Duration> {
    let text = headers::text(answer, &HeaderName::from_static("keep-alive"))?;
    let seconds = text.split(',').find_map(|it| it.trim().strip_prefix("timeout="))?;
    let seconds: f64 = seconds.parse().ok()?;
    Some(Duration::from_secs_f64((seconds * IDLE_TIME_SHARE).clamp(0.0, 600.0)))
}
