//! Loopback addresses that are unique to one process.

use std::net::TcpListener;

use parking_lot::Mutex;

/// Port that is bound on each returned address to reserve it for this process.
const GUARD_PORT: u16 = 7_399;

static GUARDS: Mutex<Vec<TcpListener>> = Mutex::new(Vec::new());

/// Returns a loopback IP address that no other process on this machine gets before this process ends.
///
/// Tests can use fixed ports on it, because no outgoing connection gets one of them as its random local port.
///
/// # Panics
///
/// Panics if `GUARD_PORT` cannot be bound on any address that is tried.
pub fn unique_ip() -> String {
    let mut guards = GUARDS.lock();
    let start = std::process::id().wrapping_mul(64);
    for offset in 0..u32::from(u16::MAX) {
        let index = start.wrapping_add(offset) % 64_000;
        let ip = format!("127.77.{}.{}", index / 250, 1 + index % 250);
        if let Ok(guard) = TcpListener::bind((ip.as_str(), GUARD_PORT)) {
            guards.push(guard);
            return ip;
        }
    }
    panic!("no free loopback address: port {GUARD_PORT} is taken on all that were tried");
}
