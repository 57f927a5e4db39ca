//! Monotonic, boot-time and wall clocks.

use std::sync::OnceLock;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// Monotonic time since the first call in this process, in milliseconds.
pub fn monotonic_ms() -> u64 {
    static START: OnceLock<Instant> = OnceLock::new();
    START.get_or_init(Instant::now).elapsed().as_millis() as u64
}

/// Time since the host's boot in milliseconds, including time for which the whole host was suspended.
pub fn boot_ms() -> u64 {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    now.tv_sec.cast_unsigned() * 1_000 + now.tv_nsec.cast_unsigned() / 1_000_000
}

/// Wall-clock time since the Unix epoch, in milliseconds.
pub fn epoch_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |it| it.as_millis() as u64)
}
