//! Loopback addresses that no other test uses.

use std::net::TcpListener;

use parking_lot::Mutex;

/// Port that is bound on an address to hold it for this process.
const GUARD_PORT: u16 = 7_399;

static HELD: Mutex<Vec<TcpListener>> = Mutex::new(Vec::new());

/// Returns a loopback IP number that no other process of this machine gets while this one lives.
///
/// Tests can then use fixed ports, which no outgoing connection takes at random.
pub fn unique_ip() -> String {
    let mut held = HELD.lock();
    let start = std::process::id().wrapping_mul(64);
    for offset in 0..u32::from(u16::MAX) {
        let number = start.wrapping_add(offset) % 64_000;
        let ip = format!("127.77.{}.{}", number / 250, 1 + number % 250);
        if let Ok(guard) = TcpListener::bind((ip.as_str(), GUARD_PORT)) {
            held.push(guard);
            return ip;
        }
    }
    panic!("no free loopback address");
}
