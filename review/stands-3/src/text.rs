//! Random numbers, ids and times.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

static STATE: AtomicU64 = AtomicU64::new(0);

/// Returns the Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |it| it.as_millis() as u64)
}

/// Returns a random number.
pub fn random() -> u64 {
    if STATE.load(Ordering::Relaxed) == 0 {
        let time = SystemTime::now().duration_since(UNIX_EPOCH).map_or(1, |it| it.as_nanos() as u64);
        STATE.store(time ^ (u64::from(std::process::id()) << 32), Ordering::Relaxed);
    }
    let mut state = STATE.fetch_add(0x9E37_79B9_7F4A_7C15, Ordering::Relaxed);
    state = (state ^ (state >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    state = (state ^ (state >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    state ^ (state >> 31)
}

/// Returns a random number below a bound.
pub fn below(bound: u64) -> u64 {
    random() % bound.max(1)
}

/// Returns a new id.
pub fn new_id() -> String {
    format!("{:016x}", random())
}

/// Returns whether the case plays its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |it| it != "0")
}
