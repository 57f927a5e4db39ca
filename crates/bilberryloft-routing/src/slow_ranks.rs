//! Work for ranks of a lock-step group that are slow.
//!
//! The pattern: one rank takes several times as long as usual for some seconds. All ranks run each pass together,
//! so the requests that the slow one goes on getting lengthen every pass for every stream of the group. A pass waits
//! for the rank whose own part takes longest, and part of that is there without any request; so a slow rank gets a
//! request only while its own part stays within that of a usual rank whose places are all taken. Streams that run on a
//! much slower one go on at another rank: they would hold up the group until they end, for seconds.

use std::collections::BTreeMap;

/// Time after which a word about slow ranks is no longer believed, in milliseconds.
const REPORT_VALID_MS: u64 = 1_500;

/// Own part of a slow rank over that of a usual rank with all places taken, from which its streams go on elsewhere:
/// that costs reading their prompts once more.
const MIGRATION_RATIO: f64 = 1.5;
/// Part of a request that sums of floating-point numbers may be short of.
const ROUNDING_TOLERANCE: f64 = 1e-6;

/// Own part of a rank's pass, counted in requests of a rank at its usual speed; `idle_load` is the part that is
/// there without requests.
pub fn pass_cost(idle_load: f64, load: u32, slowness: f64) -> f64 {
    slowness * (idle_load + f64::from(load))
}

/// Requests that a rank may have, for its own part to be no longer than that of a usual rank with `full` requests.
pub fn load_max(idle_load: f64, full_load: u32, slowness: f64) -> u32 {
    let load = pass_cost(idle_load, full_load, 1.0) / slowness.max(1.0) - idle_load;
    (load.max(0.0) + ROUNDING_TOLERANCE).floor() as u32
}

/// Whether the streams on a rank had better go on at others.
pub fn should_migrate(idle_load: f64, load: u32, slots: u32, slowness: f64) -> bool {
    pass_cost(idle_load, load, slowness) > MIGRATION_RATIO * pass_cost(idle_load, slots, 1.0)
}

#[derive(Clone, Debug)]
struct HostReport {
    received_ms: u64,
    slowness: BTreeMap<String, f64>,
}

/// How many times as long as usual ranks take, as those say who read the ranks' reports.
#[derive(Debug, Default)]
pub struct SlowRanks {
    reports: BTreeMap<String, HostReport>,
}

impl SlowRanks {
    /// Takes what one host says of all slow ranks, in place of what it said before.
    pub fn record(&mut self, host: &str, slowness: BTreeMap<String, f64>, now_ms: u64) {
        self.reports.insert(host.to_string(), HostReport { received_ms: now_ms, slowness });
    }

    /// What a host said, while it is believed.
    pub fn reported_by(&self, host: &str, now_ms: u64) -> Option<&BTreeMap<String, f64>> {
        let report = self.reports.get(host)?;
        (report.received_ms + REPORT_VALID_MS > now_ms).then_some(&report.slowness)
    }

    /// How many times as long as usual a rank takes; 1.0 where nothing is known.
    pub fn slowness(&self, rank: &str, now_ms: u64) -> f64 {
        let hosts = self.reports.keys();
        let reported = hosts.filter_map(|it| self.reported_by(it, now_ms)?.get(rank).copied());
        reported.fold(1.0, f64::max)
    }
}
