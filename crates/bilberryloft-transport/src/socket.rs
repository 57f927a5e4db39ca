//! Options of TCP connections, so that one whose peer is gone without a word ends by itself.

use std::time::Duration;

use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;

/// Time for which sent bytes may stay unacknowledged; a lost packet is sent again well within it.
const UNACKNOWLEDGED_MAX: Duration = Duration::from_millis(1_000);
/// Idle time before the first probe, and time between probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Probes without an answer that end a connection.
const PROBES_MAX: u32 = 2;

/// Sends small writes at once, and ends the connection soon after the path to its peer is lost.
pub fn set_tcp_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(PROBES_MAX);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_MAX))
}
