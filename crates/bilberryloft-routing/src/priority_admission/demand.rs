//! Demand for a service by priority: this entry's own, and what the other entries report of theirs.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use crate::sharing_entries::ACTIVE_MS;

/// Length of the interval over which arrivals are counted, in milliseconds.
const ARRIVALS_MS: u64 = 1_000;
/// Part of that interval that is counted together, in milliseconds.
const BUCKET_MS: u64 = 100;
/// Age that a report has when it arrives, in milliseconds: the interval at which loads are checked for changes.
const REPORT_DELAY_MS: f64 = 40.0;

/// Requests of one priority.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PriorityDemand {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait to be started.
    pub waiting: u32,
    /// New requests in the last second.
    pub arrivals_per_s: u32,
}

impl PriorityDemand {
    /// Returns whether there is no request.
    pub fn is_idle(&self) -> bool {
        *self == PriorityDemand::default()
    }

    fn plus(self, other: PriorityDemand) -> PriorityDemand {
        PriorityDemand {
            running: self.running.saturating_add(other.running),
            waiting: self.waiting.saturating_add(other.waiting),
            arrivals_per_s: self.arrivals_per_s.saturating_add(other.arrivals_per_s),
        }
    }
}

/// Demand for one service, by priority.
pub type Demand = BTreeMap<u8, PriorityDemand>;

/// Arrivals of one priority in the last second.
#[derive(Clone, Debug, Default)]
struct Arrivals {
    buckets: VecDeque<(u64, u32)>,
}

impl Arrivals {
    fn record(&mut self, now_ms: u64) {
        let bucket = now_ms / BUCKET_MS;
        match self.buckets.back_mut() {
            Some((last, count)) if *last == bucket => *count += 1,
            _ => self.buckets.push_back((bucket, 1)),
        }
        self.expire(now_ms);
    }

    fn expire(&mut self, now_ms: u64) {
        let oldest = (now_ms / BUCKET_MS + 1).saturating_sub(ARRIVALS_MS / BUCKET_MS);
        while self.buckets.front().is_some_and(|it| it.0 < oldest) {
            self.buckets.pop_front();
        }
    }

    fn per_s(&mut self, now_ms: u64) -> u32 {
        self.expire(now_ms);
        self.buckets.iter().map(|it| it.1).sum()
    }
}

/// Latest report of another entry.
#[derive(Clone, Debug)]
struct Report {
    demand: Demand,
    received_ms: u64,
}

/// Demand for one service at this entry and the others.
#[derive(Clone, Debug, Default)]
pub struct DemandTable {
    own: Demand,
    arrivals: BTreeMap<u8, Arrivals>,
    reports: BTreeMap<String, Report>,
}

impl DemandTable {
    /// Counts a new request.
    pub fn record_arrival(&mut self, priority: u8, now_ms: u64) {
        self.arrivals.entry(priority).or_default().record(now_ms);
    }

    /// Changes this entry's requests of a priority.
    pub fn update(&mut self, priority: u8, change: impl FnOnce(&mut PriorityDemand)) {
        change(self.own.entry(priority).or_default());
    }

    /// Stores another entry's report.
    pub fn record_report(&mut self, entry: &str, demand: Demand, now_ms: u64) {
        self.reports.insert(entry.to_string(), Report { demand, received_ms: now_ms });
    }

    /// Removes reports that have expired.
    pub fn expire(&mut self, now_ms: u64) {
        self.reports.retain(|_, it| it.received_ms + ACTIVE_MS > now_ms);
    }

    /// Returns this entry's demand, without priorities that have none.
    pub fn own(&mut self, now_ms: u64) -> Demand {
        for (priority, arrivals) in &mut self.arrivals {
            self.own.entry(*priority).or_default().arrivals_per_s = arrivals.per_s(now_ms);
        }
        self.own.iter().filter(|it| !it.1.is_idle()).map(|it| (*it.0, *it.1)).collect()
    }

    /// Returns the demand at all entries.
    pub fn total(&mut self, now_ms: u64) -> Demand {
        let mut total = self.own(now_ms);
        for (priority, demand) in self.reports.values().flat_map(|it| &it.demand) {
            let sum = total.entry(*priority).or_default();
            *sum = sum.plus(*demand);
        }
        total
    }

    /// Returns whether another entry has reported lately.
    pub fn hears_others(&self) -> bool {
        !self.reports.is_empty()
    }

    /// Returns the mean age of what is known of the others, in milliseconds; 0 if there are none.
    pub fn age_ms(&self, now_ms: u64) -> f64 {
        if self.reports.is_empty() {
            return 0.0;
        }
        let ages = self.reports.values().map(|it| now_ms.saturating_sub(it.received_ms) as f64);
        ages.sum::<f64>() / self.reports.len() as f64 + REPORT_DELAY_MS
    }
}
