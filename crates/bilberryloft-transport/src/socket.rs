//! TCP options that close a connection when its peer disappears without closing it.

use std::time::Duration;

use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;

/// Time for which sent data may stay unacknowledged before the connection is closed (TCP_USER_TIMEOUT). A lost packet
/// is retransmitted well within it.
const USER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Idle time before the first keepalive probe, and time between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered keepalive probes after which a connection is closed.
const KEEPALIVE_RETRIES: u32 = 2;

/// Sets the TCP options of a connection: small writes are sent immediately, and the connection closes soon after the
/// network path to its peer is lost.
pub fn set_tcp_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
}
