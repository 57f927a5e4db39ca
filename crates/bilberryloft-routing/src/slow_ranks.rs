//! Load limits for slow ranks of a lock-step group.
//!
//! A rank sometimes takes several times as long as usual for some seconds. All ranks run each forward pass together, so
//! every request on the slow rank lengthens the passes of every stream in the group. A pass waits for the rank that
//! takes longest, and part of a rank's time does not depend on its requests. So a slow rank gets a request only while
//! it takes no longer than a rank at usual speed with all slots in use. Streams that already run on a much slower rank
//! are moved to another one, because they would hold up the group for the seconds until they end.

use std::collections::BTreeMap;

/// Time for which a report about slow ranks is valid, in milliseconds.
const REPORT_VALID_MS: u64 = 1_500;

/// Pass time of a slow rank, relative to that of a rank at usual speed with all slots in use, above which its streams
/// are moved. Moving a stream costs processing its prompt once more.
const MIGRATION_RATIO: f64 = 1.5;
/// Floating-point rounding error that is tolerated when a load is rounded down, in requests.
const ROUNDING_TOLERANCE: f64 = 1e-6;

/// Returns the time that a rank takes for its part of a pass, in units of one request on a rank at usual speed.
/// `idle_load` is the part of that time that does not depend on requests.
pub fn pass_cost(idle_load: f64, load: u32, slowness: f64) -> f64 {
    slowness * (idle_load + f64::from(load))
}

/// Returns the number of requests with which a rank takes no longer than a rank at usual speed with `full_load`
/// requests.
pub fn load_max(idle_load: f64, full_load: u32, slowness: f64) -> u32 {
    let load = pass_cost(idle_load, full_load, 1.0) / slowness.max(1.0) - idle_load;
    (load.max(0.0) + ROUNDING_TOLERANCE).floor() as u32
}

/// Returns whether a rank is so slow that its streams should move to other ranks.
pub fn should_migrate(idle_load: f64, load: u32, slots: u32, slowness: f64) -> bool {
    pass_cost(idle_load, load, slowness) > MIGRATION_RATIO * pass_cost(idle_load, slots, 1.0)
}

/// Slowness of ranks as reported by one host.
#[derive(Clone, Debug)]
struct HostReport {
    received_ms: u64,
    slowness: BTreeMap<String, f64>,
}

/// Slowness of ranks, as reported by the hosts that poll them.
///
/// The slowness of a rank is the factor by which it takes longer than usual; 1.0 is its usual speed.
#[derive(Debug, Default)]
pub struct SlowRanks {
    reports: BTreeMap<String, HostReport>,
}

impl SlowRanks {
    /// Replaces what a host reported about all slow ranks.
    pub fn record(&mut self, host: &str, slowness: BTreeMap<String, f64>, now_ms: u64) {
        self.reports.insert(host.to_string(), HostReport { received_ms: now_ms, slowness });
    }

    /// Returns a host's latest report while it is valid.
    pub fn reported_by(&self, host: &str, now_ms: u64) -> Option<&BTreeMap<String, f64>> {
        let report = self.reports.get(host)?;
        (report.received_ms + REPORT_VALID_MS > now_ms).then_some(&report.slowness)
    }

    /// Returns the highest slowness that a valid report gives for a rank, or 1.0 if there is none.
    pub fn slowness(&self, rank: &str, now_ms: u64) -> f64 {
        let hosts = self.reports.keys();
        let reported = hosts.filter_map(|it| self.reported_by(it, now_ms)?.get(rank).copied());
        reported.fold(1.0, f64::max)
    }
}
