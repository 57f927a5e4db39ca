//! Targets of each service, what is known of their load and health, and which one a request goes to.

use std::collections::BTreeMap;

use crate::failing::FailureShare;
use crate::failing::is_ejected;
use crate::failing::is_worth_telling;
use crate::failing::penalty;
use crate::slow_ranks::SlowRanks;
use crate::slow_ranks::is_worth_leaving;
use crate::slow_ranks::load_max;
use crate::slow_ranks::own_part;

/// Time for which a target that no longer announces itself is still used after its last answer, in
/// milliseconds: it may have lost its path to control only.
const UNANNOUNCED_USE_MS: u64 = 3_000;
/// First rest of a target that could not be reached, in milliseconds; doubles with each failure in a row.
const REST_FIRST_MS: u64 = 100;
/// Longest rest, in milliseconds.
const REST_MAX_MS: u64 = 1_600;
/// Rest of a target that said it was full, in milliseconds.
const REST_FULL_MS: u64 = 60;
/// Time for which a target whose address another one has gets nothing, in milliseconds; control learns in
/// that time that it no longer announces itself.
const MISDIRECTED_MS: u64 = 4_000;
/// Time after which another entry's load is no longer believed, in milliseconds.
const OTHERS_VALID_MS: u64 = 1_500;
/// Requests by which a target in the same data centre may be busier and still be picked.
const NEAR_BONUS: f64 = 0.4;

/// Key of a target in a [`TargetBoard`].
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
pub enum Verdict {
    /// It answered.
    Sound,
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
    fact: TargetInfo,
    own: u32,
    others: u32,
    own_failures: FailureShare,
    others_failures: f64,
    lost_in_a_row: u32,
    rest_until_ms: u64,
    gone_until_ms: u64,
    sound_ms: Option<u64>,
}

impl Target {
    fn new(fact: TargetInfo) -> Target {
        Target {
            fact,
            own: 0,
            others: 0,
            own_failures: FailureShare::default(),
            others_failures: 0.0,
            lost_in_a_row: 0,
            rest_until_ms: 0,
            gone_until_ms: 0,
            sound_ms: None,
        }
    }

    fn is_eligible(&self, now_ms: u64) -> bool {
        let answered_lately = self.sound_ms.is_some_and(|it| it + UNANNOUNCED_USE_MS > now_ms);
        !self.fact.is_leaving
            && self.gone_until_ms <= now_ms
            && (self.fact.is_announced || answered_lately)
    }

    fn load(&self) -> u32 {
        self.own + self.others
    }

    /// Share of failures, by own attempts and by what other entries say.
    fn failures(&self, now_ms: u64) -> f64 {
        self.own_failures.share(now_ms).max(self.others_failures)
    }
}

#[derive(Clone, Debug)]
struct OtherEntry {
    heard_ms: u64,
    loads: BTreeMap<String, u32>,
    failing: BTreeMap<String, f64>,
}

/// How much work targets may get.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PickBounds {
    /// Requests that each target may have, where there is a limit below its slots.
    pub load_max: Option<u32>,
    /// Requests that may wait at a target beyond its slots, where there is no such limit.
    pub queue_max: u32,
    /// Requests that this entry may have at one target: its share of the connections that the target takes.
    pub own_max: u32,
    /// Time that a rank takes in a pass without requests, counted in requests; 0 for a plain service.
    pub idle_load: f64,
}

impl PickBounds {
    fn load_max(&self, slots: u32) -> u32 {
        self.load_max.unwrap_or(slots + self.queue_max)
    }
}

/// A target that was picked, with the inputs that decided.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Picked {
    /// Its key.
    pub key: TargetKey,
    /// Its name.
    pub id: String,
    /// Its address.
    pub address: String,
    /// Own requests there, before this one.
    pub own: u32,
    /// Requests of other entries there, as they said last.
    pub others: u32,
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
pub enum Stay {
    /// The rank does not hold up its group.
    NotSlow,
    /// No other rank has a free place, or no repeat is allowed; that may change soon.
    NoPlace,
}

/// What one entry knows of all targets.
#[derive(Debug, Default)]
pub struct TargetBoard {
    data_center: String,
    targets: Vec<Target>,
    by_id: BTreeMap<String, TargetKey>,
    by_service: BTreeMap<String, Vec<TargetKey>>,
    entries: BTreeMap<String, OtherEntry>,
    slow_ranks: SlowRanks,
}

impl TargetBoard {
    /// Starts without targets, for an entry in a data centre.
    pub fn new(data_center: &str) -> TargetBoard {
        TargetBoard { data_center: data_center.to_string(), ..TargetBoard::default() }
    }

    /// Takes what control says of a target.
    pub fn apply(&mut self, fact: TargetInfo) {
        let key = match self.by_id.get(&fact.id).copied() {
            Some(key) => {
                let target = &mut self.targets[key.0];
                if target.fact.incarnation == fact.incarnation {
                    target.fact = fact;
                    return;
                }
                if target.fact.service != fact.service {
                    self.by_service
                        .entry(target.fact.service.clone())
                        .or_default()
                        .retain(|it| *it != key);
                }
                // A new life has none of the requests and failures of the one before.
                let own = target.own;
                *target = Target { own, ..Target::new(fact.clone()) };
                key
            }
            None => {
                let key = TargetKey(self.targets.len());
                self.targets.push(Target::new(fact.clone()));
                self.by_id.insert(fact.id.clone(), key);
                key
            }
        };
        let keys = self.by_service.entry(fact.service).or_default();
        if !keys.contains(&key) {
            keys.push(key);
        }
    }

    /// Takes another entry's requests in flight, and its shares of failures where they are high, by target.
    pub fn note_entry(
        &mut self,
        entry: &str,
        loads: BTreeMap<String, u32>,
        failing: BTreeMap<String, f64>,
        now_ms: u64,
    ) {
        let word = OtherEntry { heard_ms: now_ms, loads, failing };
        self.entries.insert(entry.to_string(), word);
        self.sum_others(now_ms);
    }

    /// Takes what a host says of ranks that are slow, by target.
    pub fn note_slow_ranks(&mut self, host: &str, slowness: BTreeMap<String, f64>, now_ms: u64) {
        self.slow_ranks.note(host, slowness, now_ms);
    }

    /// What a host said of slow ranks, while it is believed.
    pub fn slow_ranks_of(&self, host: &str, now_ms: u64) -> Option<&BTreeMap<String, f64>> {
        self.slow_ranks.said_by(host, now_ms)
    }

    /// Forgets entries that have fallen silent; returns the number of entries, this one included.
    pub fn expire_entries(&mut self, now_ms: u64) -> usize {
        let before = self.entries.len();
        self.entries.retain(|_, it| it.heard_ms + OTHERS_VALID_MS > now_ms);
        if self.entries.len() != before {
            self.sum_others(now_ms);
        }
        self.entries.len() + 1
    }

    fn sum_others(&mut self, now_ms: u64) {
        for target in &mut self.targets {
            target.others = 0;
            target.others_failures = 0.0;
        }
        for entry in self.entries.values().filter(|it| it.heard_ms + OTHERS_VALID_MS > now_ms) {
            for (id, load) in &entry.loads {
                if let Some(key) = self.by_id.get(id) {
                    self.targets[key.0].others += load;
                }
            }
            for (id, share) in &entry.failing {
                if let Some(key) = self.by_id.get(id) {
                    let target = &mut self.targets[key.0];
                    target.others_failures = target.others_failures.max(*share);
                }
            }
        }
    }

    /// Own requests in flight by target, for the other entries.
    pub fn own_loads(&self) -> BTreeMap<String, u32> {
        let busy = self.targets.iter().filter(|it| it.own > 0);
        busy.map(|it| (it.fact.id.clone(), it.own)).collect()
    }

    /// Own shares of failures by target, where they are high, for the other entries.
    pub fn own_failing(&self, now_ms: u64) -> BTreeMap<String, f64> {
        let shares = self.targets.iter().map(|it| (&it.fact.id, it.own_failures.share(now_ms)));
        let failing = shares.filter(|it| is_worth_telling(it.1));
        failing.map(|(id, share)| (id.clone(), share)).collect()
    }

    /// Facts of a service's targets that take work.
    pub fn present(&self, service: &str, now_ms: u64) -> Vec<&TargetInfo> {
        let keys = self.by_service.get(service).into_iter().flatten();
        let targets = keys.map(|it| &self.targets[it.0]);
        targets.filter(|it| it.is_eligible(now_ms)).map(|it| &it.fact).collect()
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
        bounds: &PickBounds,
        now_ms: u64,
        mut draw: impl FnMut() -> f64,
    ) -> Result<Picked, NoTarget> {
        let candidates = self.candidates(service, tried, now_ms);
        let fastest = fastest(&candidates);
        let mut resting = None;
        let mut best: Option<(f64, TargetKey)> = None;
        for (key, slowness) in candidates.iter().copied() {
            let target = &self.targets[key.0];
            let slowness = slowness / fastest;
            let full = bounds.load_max(target.fact.slots);
            let load_max = load_max(bounds.idle_load, full, slowness);
            if target.load() >= load_max || target.own >= bounds.own_max {
                continue;
            }
            if target.rest_until_ms > now_ms {
                let is_sooner = resting.is_none_or(|(until_ms, _)| target.rest_until_ms < until_ms);
                resting = if is_sooner { Some((target.rest_until_ms, key)) } else { resting };
                continue;
            }
            let is_near = target.fact.data_center == self.data_center;
            let near = if is_near { NEAR_BONUS } else { 0.0 };
            let own_part = own_part(bounds.idle_load, target.load(), slowness);
            let score = own_part + penalty(target.failures(now_ms)) - near + 0.3 * draw();
            if best.is_none_or(|it| score < it.0) {
                best = Some((score, key));
            }
        }
        let chosen = best.map(|it| it.1).or(resting.map(|it| it.1));
        let Some(key) = chosen else {
            return Err(if candidates.is_empty() { NoTarget::Absent } else { NoTarget::Full });
        };
        let target = &mut self.targets[key.0];
        let picked = Picked {
            key,
            id: target.fact.id.clone(),
            address: target.fact.address.clone(),
            own: target.own,
            others: target.others,
            candidates: candidates.len(),
        };
        target.own += 1;
        Ok(picked)
    }

    /// Picks another rank for a stream whose rank is so slow that it holds up its group, if one has a free place.
    pub fn pick_instead_of_slow(
        &mut self,
        key: TargetKey,
        bounds: &PickBounds,
        now_ms: u64,
        draw: impl FnMut() -> f64,
    ) -> Result<Picked, Stay> {
        let target = &self.targets[key.0];
        let (load, slots, service) = (target.load(), target.fact.slots, &target.fact.service);
        let others = self.candidates(service, &[key], now_ms);
        let slowness = self.slow_ranks.of(&target.fact.id, now_ms) / fastest(&others);
        if !is_worth_leaving(bounds.idle_load, load, slots, slowness) {
            return Err(Stay::NotSlow);
        }
        let service = service.clone();
        let bounds = PickBounds { load_max: Some(slots), ..*bounds };
        self.pick(&service, &[key], &bounds, now_ms, draw).map_err(|_| Stay::NoPlace)
    }

    /// Targets of a service that take work, do not fail and have not been tried, with how many times as long as usual
    /// each takes.
    fn candidates(&self, service: &str, tried: &[TargetKey], now_ms: u64) -> Vec<(TargetKey, f64)> {
        let keys = self.by_service.get(service).into_iter().flatten().copied();
        let keys = keys.filter(|it| self.targets[it.0].is_eligible(now_ms) && !tried.contains(it));
        let keys: Vec<TargetKey> = keys.collect();
        let is_sound = |it: &TargetKey| !is_ejected(self.targets[it.0].failures(now_ms));
        let sound = keys.iter().filter(|it| is_sound(it)).count();
        // When most fail, the cause is elsewhere, and all go on being used.
        let may_eject = 2 * sound >= keys.len();
        let keys = keys.into_iter().filter(|it| !may_eject || is_sound(it));
        keys.map(|it| (it, self.slow_ranks.of(&self.targets[it.0].fact.id, now_ms))).collect()
    }

    /// Takes a request off its target.
    pub fn finish(&mut self, key: TargetKey, verdict: Verdict, now_ms: u64) {
        let target = &mut self.targets[key.0];
        target.own = target.own.saturating_sub(1);
        match verdict {
            Verdict::Sound => target.own_failures.note(false, now_ms),
            Verdict::Failed | Verdict::Lost => target.own_failures.note(true, now_ms),
            Verdict::Full | Verdict::Misdirected | Verdict::Unknown => {}
        }
        match verdict {
            Verdict::Sound | Verdict::Failed => {
                target.sound_ms = Some(now_ms);
                target.lost_in_a_row = 0;
            }
            Verdict::Misdirected => {
                target.sound_ms = None;
                target.gone_until_ms = now_ms + MISDIRECTED_MS;
            }
            Verdict::Full => target.rest_until_ms = now_ms + REST_FULL_MS,
            Verdict::Lost => {
                let rest_ms = (REST_FIRST_MS << target.lost_in_a_row.min(6)).min(REST_MAX_MS);
                target.lost_in_a_row += 1;
                target.rest_until_ms = now_ms + rest_ms;
            }
            Verdict::Unknown => {}
        }
    }
}

/// Least slowness among candidates; infinite without any, so that nothing counts as slow beside them.
fn fastest(candidates: &[(TargetKey, f64)]) -> f64 {
    candidates.iter().map(|it| it.1).fold(f64::INFINITY, f64::min)
}
