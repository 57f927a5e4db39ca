//! Processor time and memory of processes, as the system counts them.

use std::time::Duration;

/// Processor time that all threads of a process have used.
pub fn processor_time(process: u32) -> Duration {
    let folder = format!("/proc/{process}/task");
    let mut total_ns = 0;
    for thread in std::fs::read_dir(folder).into_iter().flatten().flatten() {
        let text = std::fs::read_to_string(thread.path().join("schedstat")).unwrap_or_default();
        let first = text.split_whitespace().next();
        total_ns += first.and_then(|it| it.parse::<u64>().ok()).unwrap_or(0);
    }
    Duration::from_nanos(total_ns)
}

/// Resident memory of a process in KiB.
pub fn resident_kib(process: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = text.lines().find(|it| it.starts_with("VmRSS:")).unwrap_or_default();
    line.split_whitespace().nth(1).and_then(|it| it.parse().ok()).unwrap_or(0)
}

/// The value below which a share of the sorted values lies.
pub fn percentile(values: &mut [Duration], share: f64) -> Duration {
    values.sort_unstable();
    let last = values.len().saturating_sub(1);
    values.get((last as f64 * share).round() as usize).copied().unwrap_or_default()
}

/// Milliseconds with three digits behind the point.
pub fn ms(duration: Duration) -> String {
    format!("{:.3}", duration.as_secs_f64() * 1_000.0)
}
