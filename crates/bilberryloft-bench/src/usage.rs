//! CPU time and memory of processes, as Linux reports them under `/proc`, and helpers for durations.

use std::time::Duration;

/// Returns the CPU time used by all current threads of a process. What can't be read counts as zero.
pub fn cpu_time(process: u32) -> Duration {
    let folder = format!("/proc/{process}/task");
    let mut total_ns = 0;
    for thread in std::fs::read_dir(folder).into_iter().flatten().flatten() {
        let text = std::fs::read_to_string(thread.path().join("schedstat")).unwrap_or_default();
        let run_time_ns = text.split_whitespace().next();
        total_ns += run_time_ns.and_then(|it| it.parse::<u64>().ok()).unwrap_or(0);
    }
    Duration::from_nanos(total_ns)
}

/// Returns the resident memory of a process in KiB, or zero if it can't be read.
pub fn resident_kib(process: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = text.lines().find(|it| it.starts_with("VmRSS:")).unwrap_or_default();
    line.split_whitespace().nth(1).and_then(|it| it.parse().ok()).unwrap_or(0)
}

/// Sorts the values and returns the one at a fraction (0 to 1) of them, or zero if there are none.
pub fn percentile(values: &mut [Duration], fraction: f64) -> Duration {
    values.sort_unstable();
    let last = values.len().saturating_sub(1);
    values.get((last as f64 * fraction).round() as usize).copied().unwrap_or_default()
}

/// Formats a duration in milliseconds with three decimals.
pub fn ms(duration: Duration) -> String {
    format!("{:.3}", duration.as_secs_f64() * 1_000.0)
}
