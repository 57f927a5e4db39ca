//! Sizes of the account and of the tables of connections, from the limits of the host.

use crate::settings::ProcessLimits;

/// Size of the account if the host states no limit, in bytes: 256 of the largest bodies that documents allow by default.
const ACCOUNT_BYTES_DEFAULT: u64 = 1 << 30;
/// Least size of the account, in bytes: one document of the largest size within the part for bodies.
const ACCOUNT_BYTES_MIN: u64 = 16 << 20;
/// Part of the host's memory that the account gets, in eighths. The process itself, the buffers of connections and
/// unread bytes in sockets take the rest.
const ACCOUNT_EIGHTHS: u64 = 3;
/// Part of the host's memory for the connections of callers and to targets, with what serves them, in eighths.
const CONNECTION_EIGHTHS: u64 = 2;
/// Memory of one such connection with half of an open request, in bytes: buffers of the HTTP library, heads and tasks.
const CONNECTION_BYTES: u64 = 56 << 10;
/// Part of the host's memory for unread bytes in the sockets of callers, as a divisor.
const SOCKETS_DIVISOR: u64 = 8;
/// Bounds on the socket buffers of a connection, in bytes. Less makes bodies slow on links between data centres.
const SOCKET_BUFFER_BYTES: std::ops::RangeInclusive<u64> = 32 << 10..=256 << 10;
/// Descriptors that the host keeps for files.
const FILE_DESCRIPTORS: u64 = 200;
/// Descriptors if the host states no limit.
const DESCRIPTORS_DEFAULT: u64 = 65_536;
/// Sockets for listeners and for connections that this process opens to other daemons; a process that serves nobody has
/// 15 open.
const OWN_SOCKETS: u64 = 24;
/// Part of what callers and targets have together that callers may have, in hundredths.
const CALLER_HUNDREDTHS: u64 = 70;
/// Part of the sockets for the control API, in hundredths.
const CONTROL_HUNDREDTHS: u64 = 10;
/// Part for readiness checks.
const READINESS_HUNDREDTHS: u64 = 5;
/// Part for other daemons.
const PEER_HUNDREDTHS: u64 = 15;

/// Sizes for one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryPlan {
    /// Size of the account.
    pub account_bytes: u64,
    /// Connections of callers.
    pub caller_connections: usize,
    /// Connections of callers and to targets together.
    pub traffic_connections: usize,
    /// Connections to the control API.
    pub control_connections: usize,
    /// Connections for readiness checks.
    pub readiness_connections: usize,
    /// Connections of other daemons.
    pub peer_connections: usize,
    /// Size of the socket buffers of callers' connections; the system's if there is none.
    pub socket_buffer_bytes: Option<usize>,
}

impl MemoryPlan {
    /// Divides what the host allows.
    pub fn new(limits: &ProcessLimits) -> MemoryPlan {
        let account_bytes = limits.memory_bytes.map(|it| it / 8 * ACCOUNT_EIGHTHS);
        let descriptors = limits.descriptors.unwrap_or(DESCRIPTORS_DEFAULT);
        let sockets = descriptors.saturating_sub(FILE_DESCRIPTORS).max(FILE_DESCRIPTORS / 4);
        let part = |hundredths: u64| (sockets * hundredths / 100).max(1) as usize;
        let control_connections = part(CONTROL_HUNDREDTHS);
        let readiness_connections = part(READINESS_HUNDREDTHS);
        let peer_connections = part(PEER_HUNDREDTHS);
        let others = control_connections + readiness_connections + peer_connections;
        let by_memory =
            limits.memory_bytes.map(|it| it / 8 * CONNECTION_EIGHTHS / CONNECTION_BYTES);
        let traffic = sockets.saturating_sub(OWN_SOCKETS + others as u64);
        let traffic = traffic.min(by_memory.unwrap_or(u64::MAX)).max(2);
        let caller_connections = (traffic * CALLER_HUNDREDTHS / 100).max(1) as usize;
        let socket_buffer_bytes = limits.memory_bytes.map(|it| {
            let each = it / SOCKETS_DIVISOR / caller_connections as u64;
            each.clamp(*SOCKET_BUFFER_BYTES.start(), *SOCKET_BUFFER_BYTES.end()) as usize
        });
        MemoryPlan {
            account_bytes: account_bytes
                .map_or(ACCOUNT_BYTES_DEFAULT, |it| it.max(ACCOUNT_BYTES_MIN)),
            caller_connections,
            traffic_connections: traffic as usize,
            control_connections,
            readiness_connections,
            peer_connections,
            socket_buffer_bytes,
        }
    }
}
