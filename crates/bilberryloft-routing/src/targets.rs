//! Targets of each service, what is known of their load and health, and which one a request goes to.

use std::collections::BTreeMap;

use crate::outlier_ejection::FailureRate;
use crate::outlier_ejection::is_ejected;
use crate::outlier_ejection::penalty;
use crate::outlier_ejection::should_report;
use crate::slow_ranks::SlowRanks;
use crate::slow_ranks::load_max;
use crate::slow_ranks::pass_cost;
use crate::slow_ranks::should_migrate;

/// Time for which a target that no longer announces itself is still used after its last answer, in
/// milliseconds: it may have lost its path to control only.
const UNANNOUNCED_USE_MS: u64 = 3_000;
/// First rest of a target that could not be reached, in milliseconds; doubles with each failure in a row.
const BACKOFF_FIRST_MS: u64 = 100;
/// Longest rest, in milliseconds.
const BACKOFF_MAX_MS: u64 = 1_600;
/// Rest of a target that said it was full, in milliseconds.
const BACKOFF_FULL_MS: u64 = 60;
/// Time for which a target whose address another one has gets nothing, in milliseconds; control learns in
/// that time that it no longer announces itself.
const MISDIRECTED_EXCLUSION_MS: u64 = 4_000;
/// Time after which another entry's load is no longer believed, in milliseconds.
const ENTRY_REPORT_VALID_MS: u64 = 1_500;
/// Requests by which a target in the same data centre may be busier and still be picked.
const SAME_DATA_CENTER_BONUS: f64 = 0.4;

/// Key of a target in a [`TargetTable`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TargetKey(usize);

/// What control says of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetInfo {
    /// Name, kept over restarts.
    pub id: String,
    /// Life of the target; grows with each restart.
    pub incarnation: u64,
    /// Service that it is a part of.
    pub service: String,
    /// Address as `ip:port`.
    pub address: String,
    /// Data centre of its host.
    pub data_center: String,
    /// Requests that it runs side by side.
    pub slots: u32,
    /// Whether it gets no new work.
    pub is_leaving: bool,
    /// Whether it announces itself.
    pub is_announced: bool,
}

/// How an attempt at a target ended, as far as it tells of the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// It answered.
    Success,
    /// It answered that it failed.
    Failed,
    /// It was full and did not run the request.
    Full,
    /// Another target has its address.
    Misdirected,
    /// It could not be reached, fell silent, or broke off.
    Lost,
    /// The caller left, which says nothing.
    Unknown,
}

#[derive(Clone, Debug)]
struct Target {
    info: TargetInfo,
    own_load: u32,
    others_load: u32,
    own_failure_rate: FailureRate,
    others_failure_rate: f64,
    consecutive_losses: u32,
    backoff_until_ms: u64,
    excluded_until_ms: u64,
    last_answer_ms: Option<u64>,
}

impl Target {
    fn new(info: TargetInfo) -> Target {
        Target {
            info,
            own_load: 0,
            others_load: 0,
            own_failure_rate: FailureRate::default(),
            others_failure_rate: 0.0,
            consecutive_losses: 0,
            backoff_until_ms: 0,
            excluded_until_ms: 0,
            last_answer_ms: None,
        }
    }

    fn is_eligible(&self, now_ms: u64) -> bool {
        let has_answered_recently =
            self.last_answer_ms.is_some_and(|it| it + UNANNOUNCED_USE_MS > now_ms);
        !self.info.is_leaving
            && self.excluded_until_ms <= now_ms
            && (self.info.is_announced || has_answered_recently)
    }

    fn load(&self) -> u32 {
        self.own_load + self.others_load
    }

    /// Share of failures, by own attempts and by what other entries say.
    fn failure_rate(&self, now_ms: u64) -> f64 {
        self.own_failure_rate.rate(now_ms).max(self.others_failure_rate)
    }
}

#[derive(Clone, Debug)]
struct EntryReport {
    received_ms: u64,
    loads: BTreeMap<String, u32>,
    failing: BTreeMap<String, f64>,
}

/// How much work targets may get.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PickLimits {
    /// Requests that each target may have, where there is a limit below its slots.
    pub load_max: Option<u32>,
    /// Requests that may wait at a target beyond its slots, where there is no such limit.
    pub queue_max: u32,
    /// Requests that this entry may have at one target: its share of the connections that the target takes.
    pub own_load_max: u32,
    /// Time that a rank takes in a pass without requests, counted in requests; 0 for a plain service.
    pub idle_load: f64,
}

impl PickLimits {
    fn load_max(&self, slots: u32) -> u32 {
        self.load_max.unwrap_or(slots + self.queue_max)
    }
}

/// A target that was picked, with the inputs that decided.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PickedTarget {
    /// Its key.
    pub key: TargetKey,
    /// Its name.
    pub id: String,
    /// Its address.
    pub address: String,
    /// Own requests there, before this one.
    pub own_load: u32,
    /// Requests of other entries there, as they said last.
    pub others_load: u32,
    /// Targets that were compared.
    pub candidates: usize,
}

/// Why no target was picked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoTarget {
    /// The service has no target that takes work.
    Absent,
    /// All targets have as many requests as they may.
    Full,
}

/// Connections that one entry may have to a target which takes `connections_max` from all entries together.
pub fn connection_share(connections_max: usize, entries: usize) -> usize {
    (connections_max / entries.max(1)).max(1)
}

/// Why a stream stays at its rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoMigration {
    /// The rank does not hold up its group.
    NotSlow,
    /// No other rank has a free place, or no repeat is allowed; that may change soon.
    NoSlot,
}

/// What one entry knows of all targets.
#[derive(Debug, Default)]
pub struct TargetTable {
    data_center: String,
    targets: Vec<Target>,
    by_id: BTreeMap<String, TargetKey>,
    by_service: BTreeMap<String, Vec<TargetKey>>,
    entries: BTreeMap<String, EntryReport>,
    slow_ranks: SlowRanks,
}

impl TargetTable {
    /// Starts without targets, for an entry in a data centre.
    pub fn new(data_center: &str) -> TargetTable {
        TargetTable { data_center: data_center.to_string(), ..TargetTable::default() }
    }

    /// Takes what control says of a target.
    pub fn apply(&mut self, info: TargetInfo) {
        let key = match self.by_id.get(&info.id).copied() {
            Some(key) => {
                let target = &mut self.targets[key.0];
                if target.info.incarnation == info.incarnation {
                    target.info = info;
                    return;
                }
                if target.info.service != info.service {
                    self.by_service
                        .entry(target.info.service.clone())
                        .or_default()
                        .retain(|it| *it != key);
                }
                // A new life has none of the requests and failures of the one before.
                let own_load = target.own_load;
                *target = Target { own_load, ..Target::new(info.clone()) };
                key
            }
            None => {
                let key = TargetKey(self.targets.len());
                self.targets.push(Target::new(info.clone()));
                self.by_id.insert(info.id.clone(), key);
                key
            }
        };
        let keys = self.by_service.entry(info.service).or_default();
        if !keys.contains(&key) {
            keys.push(key);
        }
    }

    /// Takes another entry's requests in flight, and its shares of failures where they are high, by target.
    pub fn record_entry(
        &mut self,
        entry: &str,
        loads: BTreeMap<String, u32>,
        failing: BTreeMap<String, f64>,
        now_ms: u64,
    ) {
        let report = EntryReport { received_ms: now_ms, loads, failing };
        self.entries.insert(entry.to_string(), report);
        self.sum_others(now_ms);
    }

    /// Takes what a host says of ranks that are slow, by target.
    pub fn record_slow_ranks(&mut self, host: &str, slowness: BTreeMap<String, f64>, now_ms: u64) {
        self.slow_ranks.record(host, slowness, now_ms);
    }

    /// What a host said of slow ranks, while it is believed.
    pub fn slow_ranks_from(&self, host: &str, now_ms: u64) -> Option<&BTreeMap<String, f64>> {
        self.slow_ranks.reported_by(host, now_ms)
    }

    /// Forgets entries that have fallen silent; returns the number of entries, this one included.
    pub fn expire_entries(&mut self, now_ms: u64) -> usize {
        let before = self.entries.len();
        self.entries.retain(|_, it| it.received_ms + ENTRY_REPORT_VALID_MS > now_ms);
        if self.entries.len() != before {
            self.sum_others(now_ms);
        }
        self.entries.len() + 1
    }

    fn sum_others(&mut self, now_ms: u64) {
        for target in &mut self.targets {
            target.others_load = 0;
            target.others_failure_rate = 0.0;
        }
        for entry in
            self.entries.values().filter(|it| it.received_ms + ENTRY_REPORT_VALID_MS > now_ms)
        {
            for (id, load) in &entry.loads {
                if let Some(key) = self.by_id.get(id) {
                    self.targets[key.0].others_load += load;
                }
            }
            for (id, share) in &entry.failing {
                if let Some(key) = self.by_id.get(id) {
                    let target = &mut self.targets[key.0];
                    target.others_failure_rate = target.others_failure_rate.max(*share);
                }
            }
        }
    }

    /// Own requests in flight by target, for the other entries.
    pub fn own_loads(&self) -> BTreeMap<String, u32> {
        let loaded = self.targets.iter().filter(|it| it.own_load > 0);
        loaded.map(|it| (it.info.id.clone(), it.own_load)).collect()
    }

    /// Own shares of failures by target, where they are high, for the other entries.
    pub fn own_failure_rates(&self, now_ms: u64) -> BTreeMap<String, f64> {
        let shares = self.targets.iter().map(|it| (&it.info.id, it.own_failure_rate.rate(now_ms)));
        let failing = shares.filter(|it| should_report(it.1));
        failing.map(|(id, share)| (id.clone(), share)).collect()
    }

    /// Facts of a service's targets that take work.
    pub fn eligible(&self, service: &str, now_ms: u64) -> Vec<&TargetInfo> {
        let keys = self.by_service.get(service).into_iter().flatten();
        let targets = keys.map(|it| &self.targets[it.0]);
        targets.filter(|it| it.is_eligible(now_ms)).map(|it| &it.info).collect()
    }

    /// Mean number of requests at the targets of a service.
    pub fn mean_load(&self, service: &str, now_ms: u64) -> f64 {
        let keys = self.by_service.get(service).into_iter().flatten();
        let (mut sum, mut count) = (0, 0);
        for target in keys.map(|it| &self.targets[it.0]).filter(|it| it.is_eligible(now_ms)) {
            sum += target.load();
            count += 1;
        }
        f64::from(sum) / f64::from(count.max(1))
    }

    /// Picks the target that has the fewest requests, or whose own part of a pass is shortest, and counts one more
    /// there; `draw` orders targets that are equal.
    pub fn pick(
        &mut self,
        service: &str,
        tried: &[TargetKey],
        limits: &PickLimits,
        now_ms: u64,
        mut draw: impl FnMut() -> f64,
    ) -> Result<PickedTarget, NoTarget> {
        let candidates = self.candidates(service, tried, now_ms);
        let fastest = fastest(&candidates);
        let mut in_backoff = None;
        let mut best: Option<(f64, TargetKey)> = None;
        for (key, slowness) in candidates.iter().copied() {
            let target = &self.targets[key.0];
            let slowness = slowness / fastest;
            let full = limits.load_max(target.info.slots);
            let load_max = load_max(limits.idle_load, full, slowness);
            if target.load() >= load_max || target.own_load >= limits.own_load_max {
                continue;
            }
            if target.backoff_until_ms > now_ms {
                let is_sooner =
                    in_backoff.is_none_or(|(until_ms, _)| target.backoff_until_ms < until_ms);
                in_backoff =
                    if is_sooner { Some((target.backoff_until_ms, key)) } else { in_backoff };
                continue;
            }
            let is_same_data_center = target.info.data_center == self.data_center;
            let bonus = if is_same_data_center { SAME_DATA_CENTER_BONUS } else { 0.0 };
            let pass_cost = pass_cost(limits.idle_load, target.load(), slowness);
            let score = pass_cost + penalty(target.failure_rate(now_ms)) - bonus + 0.3 * draw();
            if best.is_none_or(|it| score < it.0) {
                best = Some((score, key));
            }
        }
        let chosen = best.map(|it| it.1).or(in_backoff.map(|it| it.1));
        let Some(key) = chosen else {
            return Err(if candidates.is_empty() { NoTarget::Absent } else { NoTarget::Full });
        };
        let target = &mut self.targets[key.0];
        let picked = PickedTarget {
            key,
            id: target.info.id.clone(),
            address: target.info.address.clone(),
            own_load: target.own_load,
            others_load: target.others_load,
            candidates: candidates.len(),
        };
        target.own_load += 1;
        Ok(picked)
    }

    /// Picks another rank for a stream whose rank is so slow that it holds up its group, if one has a free place.
    pub fn pick_migration(
        &mut self,
        key: TargetKey,
        limits: &PickLimits,
        now_ms: u64,
        draw: impl FnMut() -> f64,
    ) -> Result<PickedTarget, NoMigration> {
        let target = &self.targets[key.0];
        let (load, slots, service) = (target.load(), target.info.slots, &target.info.service);
        let other_ranks = self.candidates(service, &[key], now_ms);
        let slowness = self.slow_ranks.slowness(&target.info.id, now_ms) / fastest(&other_ranks);
        if !should_migrate(limits.idle_load, load, slots, slowness) {
            return Err(NoMigration::NotSlow);
        }
        let service = service.clone();
        let limits = PickLimits { load_max: Some(slots), ..*limits };
        self.pick(&service, &[key], &limits, now_ms, draw).map_err(|_| NoMigration::NoSlot)
    }

    /// Targets of a service that take work, do not fail and have not been tried, with how many times as long as usual
    /// each takes.
    fn candidates(&self, service: &str, tried: &[TargetKey], now_ms: u64) -> Vec<(TargetKey, f64)> {
        let keys = self.by_service.get(service).into_iter().flatten().copied();
        let keys = keys.filter(|it| self.targets[it.0].is_eligible(now_ms) && !tried.contains(it));
        let keys: Vec<TargetKey> = keys.collect();
        let is_healthy = |it: &TargetKey| !is_ejected(self.targets[it.0].failure_rate(now_ms));
        let healthy = keys.iter().filter(|it| is_healthy(it)).count();
        // When most fail, the cause is elsewhere, and all go on being used.
        let may_eject = 2 * healthy >= keys.len();
        let keys = keys.into_iter().filter(|it| !may_eject || is_healthy(it));
        keys.map(|it| (it, self.slow_ranks.slowness(&self.targets[it.0].info.id, now_ms))).collect()
    }

    /// Takes a request off its target.
    pub fn finish(&mut self, key: TargetKey, outcome: AttemptOutcome, now_ms: u64) {
        let target = &mut self.targets[key.0];
        target.own_load = target.own_load.saturating_sub(1);
        match outcome {
            AttemptOutcome::Success => target.own_failure_rate.record(false, now_ms),
            AttemptOutcome::Failed | AttemptOutcome::Lost => {
                target.own_failure_rate.record(true, now_ms)
            }
            AttemptOutcome::Full | AttemptOutcome::Misdirected | AttemptOutcome::Unknown => {}
        }
        match outcome {
            AttemptOutcome::Success | AttemptOutcome::Failed => {
                target.last_answer_ms = Some(now_ms);
                target.consecutive_losses = 0;
            }
            AttemptOutcome::Misdirected => {
                target.last_answer_ms = None;
                target.excluded_until_ms = now_ms + MISDIRECTED_EXCLUSION_MS;
            }
            AttemptOutcome::Full => target.backoff_until_ms = now_ms + BACKOFF_FULL_MS,
            AttemptOutcome::Lost => {
                let backoff_ms =
                    (BACKOFF_FIRST_MS << target.consecutive_losses.min(6)).min(BACKOFF_MAX_MS);
                target.consecutive_losses += 1;
                target.backoff_until_ms = now_ms + backoff_ms;
            }
            AttemptOutcome::Unknown => {}
        }
    }
}

/// Least slowness among candidates; infinite without any, so that nothing counts as slow beside them.
fn fastest(candidates: &[(TargetKey, f64)]) -> f64 {
    candidates.iter().map(|it| it.1).fold(f64::INFINITY, f64::min)
}
