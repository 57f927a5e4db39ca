//! Simulated entries that send to targets which restart, become cold or return, without a network.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use bilberryloft_routing::cold_targets::ColdBound;
use bilberryloft_routing::cold_targets::ColdView;
use bilberryloft_routing::cold_targets::share::ColdShare;
use bilberryloft_routing::cold_targets::share::Settling;
use bilberryloft_routing::document::ColdStart;
use bilberryloft_routing::selection::PickLimits;
use bilberryloft_routing::selection::TargetKey;
use bilberryloft_routing::sharing_entries::SharingEntries;
use bilberryloft_routing::targets::AttemptOutcome;
use bilberryloft_routing::targets::TargetInfo;
use bilberryloft_routing::targets::TargetTable;

pub const RATE_PER_S: f64 = 28.0;
pub const OVERSHOOT: f64 = 1.5;
pub const SLACK: f64 = 5.0;
pub const COLD_MS: u64 = 3_000;
/// Step of the simulation, in milliseconds.
pub const STEP_MS: u64 = 10;
const REPORT_INTERVAL_MS: u64 = 400;
/// Interval of reports while they change, in milliseconds.
const CHANGE_INTERVAL_MS: u64 = 40;
/// Time without contact after which an entry's list of targets is no longer current, as in the relay.
const CONFIRMED_WITHIN_MS: u64 = 2_500;
const LIMITS: PickLimits = PickLimits {
    load_max: None,
    queue_max: 4,
    own_load_max: u32::MAX,
    idle_load: 0.0,
    entries: 1,
    memory: None,
};

pub fn max_per_s() -> usize {
    (RATE_PER_S * OVERSHOOT + SLACK) as usize
}

pub fn bounds() -> BTreeMap<String, ColdBound> {
    let start = ColdStart { duration_ms: COLD_MS, requests_per_s: RATE_PER_S };
    BTreeMap::from([("writer".to_string(), ColdBound::new(start, OVERSHOOT, SLACK).unwrap())])
}

/// What the quorum knows of a target.
#[derive(Clone)]
pub struct Record {
    pub info: TargetInfo,
    pub version: u64,
}

/// A target as it is, whatever others know of it.
pub struct SimTarget {
    pub record: Record,
    pub up_from_ms: u64,
    pub cold_until_ms: u64,
    /// Arrivals while it was cold.
    pub cold_arrivals: Vec<u64>,
    pub arrivals: usize,
    /// Records on their way to the quorum, by the time of their arrival.
    pub pending: VecDeque<(u64, TargetInfo)>,
}

pub struct SimEntry {
    pub name: String,
    pub table: TargetTable,
    pub sharing: SharingEntries,
    pub settling: Settling,
    /// Time until which the entry does nothing.
    pub frozen_until_ms: u64,
    /// Side of a partition; side 0 has the quorum.
    pub side: usize,
    pub confirmed_ms: Option<u64>,
    heard_at_ms: u64,
    applied: BTreeMap<String, u64>,
}

impl SimEntry {
    pub fn new(number: usize, now_ms: u64) -> SimEntry {
        let mut table = TargetTable::new("a");
        table.set_cold_bounds(bounds());
        SimEntry {
            name: format!("entry-{number}"),
            table,
            sharing: SharingEntries::default(),
            settling: Settling::default(),
            frozen_until_ms: 0,
            side: 0,
            confirmed_ms: None,
            heard_at_ms: now_ms,
            applied: BTreeMap::new(),
        }
    }

    fn refresh(&mut self, is_only_host: bool, now_ms: u64) {
        let is_current = self.confirmed_ms.is_some_and(|it| it + CONFIRMED_WITHIN_MS >= now_ms);
        let share = match self.settling.is_settled(is_only_host, now_ms) {
            false => ColdShare::Unsettled { own: self.name.clone() },
            true => ColdShare::Known {
                own: self.name.clone(),
                members: self.sharing.heard_within_a_day(&self.name, now_ms),
                count: self.sharing.count(now_ms),
            },
        };
        self.table.cold.set_view(ColdView { share, is_current }, now_ms);
    }
}

/// A request on its way, at a target, or on its way back.
struct Flight {
    entry: usize,
    /// Name of the process that sent it, so that a restarted entry ignores it.
    started: u64,
    target: usize,
    key: TargetKey,
    arrives_ms: u64,
}

/// End of a request, which its entry has not noticed yet.
struct End {
    ends_ms: u64,
    entry: usize,
    started: u64,
    target: usize,
    key: TargetKey,
    outcome: AttemptOutcome,
}

impl End {
    fn new(flight: &Flight, ends_ms: u64, outcome: AttemptOutcome) -> End {
        let Flight { entry, started, target, key, .. } = *flight;
        End { ends_ms, entry, started, target, key, outcome }
    }
}

pub struct ColdFleet {
    pub now_ms: u64,
    pub rng: fastrand::Rng,
    pub entries: Vec<SimEntry>,
    starts: Vec<u64>,
    pub targets: Vec<SimTarget>,
    flights: Vec<Flight>,
    ends: Vec<End>,
    version: u64,
    /// Longest delay of a request on its way to a target.
    pub delay_max_ms: u64,
    /// Longest delay of a heartbeat.
    pub heartbeat_delay_max_ms: u64,
    pub refused: usize,
}

impl ColdFleet {
    pub fn new(seed: u64, entries: usize, targets: usize) -> ColdFleet {
        let now_ms = 10_000;
        let target = |idx: usize| SimTarget {
            record: Record { info: crate::support::info("r", idx, 1_000), version: 1 },
            up_from_ms: 0,
            cold_until_ms: 0,
            cold_arrivals: Vec::new(),
            arrivals: 0,
            pending: VecDeque::new(),
        };
        ColdFleet {
            now_ms,
            rng: fastrand::Rng::with_seed(seed),
            entries: (0..entries).map(|it| SimEntry::new(it, now_ms)).collect(),
            starts: vec![0; entries],
            targets: (0..targets).map(target).collect(),
            flights: Vec::new(),
            ends: Vec::new(),
            version: 1,
            delay_max_ms: 200,
            heartbeat_delay_max_ms: 100,
            refused: 0,
        }
    }

    /// Ends an entry and starts it again without any memory.
    pub fn restart_entry(&mut self, idx: usize) {
        let side = self.entries[idx].side;
        self.entries[idx] = SimEntry { side, ..SimEntry::new(idx, self.now_ms) };
        self.starts[idx] += 1;
        self.flights.retain(|it| it.entry != idx);
    }

    /// Ends a target with all its connections; it returns cold under the same id after a time, and its heartbeat may be
    /// late.
    pub fn restart_target(&mut self, idx: usize, down_ms: u64) {
        let now_ms = self.now_ms;
        for end in self.ends.iter_mut().filter(|it| it.target == idx) {
            (end.ends_ms, end.outcome) = (now_ms + 1, AttemptOutcome::Lost);
        }
        let (broken, others) =
            std::mem::take(&mut self.flights).into_iter().partition(|it| it.target == idx);
        self.flights = others;
        let lost = |it: Flight| End::new(&it, now_ms + 1, AttemptOutcome::Lost);
        let broken: Vec<Flight> = broken;
        self.ends.extend(broken.into_iter().map(lost));
        let late_ms = self.rng.u64(0..=self.heartbeat_delay_max_ms);
        let target = &mut self.targets[idx];
        target.up_from_ms = now_ms + down_ms;
        target.cold_until_ms = target.up_from_ms + COLD_MS;
        let last = target.pending.back().map_or(&target.record.info, |it| &it.1);
        let info =
            TargetInfo { incarnation: last.incarnation + 1, cold_for_ms: COLD_MS, ..last.clone() };
        target.pending.push_back((target.up_from_ms + late_ms, info));
    }

    /// Cuts off or joins entries.
    pub fn set_side(&mut self, idx: usize, side: usize) {
        self.entries[idx].side = side;
    }

    /// Runs one step, in which each entry sends with the given probability.
    pub fn step(&mut self, send: f64) {
        self.now_ms += STEP_MS;
        self.replicate();
        self.exchange();
        let is_only_host = self.entries.len() == 1;
        for idx in 0..self.entries.len() {
            let now_ms = self.now_ms;
            if self.entries[idx].frozen_until_ms > now_ms {
                continue;
            }
            self.apply_records(idx);
            // A woken entry may decide on requests before it has refreshed its view.
            let refreshes = self.rng.f64() < 0.25;
            if refreshes {
                self.entries[idx].refresh(is_only_host, now_ms);
            }
            if self.entries[idx].confirmed_ms.is_some() && self.rng.f64() < send {
                self.send(idx);
            }
        }
        self.arrive();
        self.finish();
    }

    fn replicate(&mut self) {
        for target in &mut self.targets {
            while target.pending.front().is_some_and(|it| it.0 <= self.now_ms) {
                if let Some((_, info)) = target.pending.pop_front() {
                    self.version += 1;
                    target.record = Record { info, version: self.version };
                }
            }
        }
    }

    fn apply_records(&mut self, idx: usize) {
        let now_ms = self.now_ms;
        let entry = &mut self.entries[idx];
        if entry.side != 0 {
            return;
        }
        entry.confirmed_ms = Some(now_ms);
        for target in &self.targets {
            let Record { info, version } = &target.record;
            if entry.applied.get(&info.id) != Some(version) {
                entry.applied.insert(info.id.clone(), *version);
                entry.table.apply(info.clone());
                entry.table.record_cold(&info.id, *version, 0, now_ms);
            }
        }
    }

    fn exchange(&mut self) {
        let now_ms = self.now_ms;
        for from in 0..self.entries.len() {
            let sender = &mut self.entries[from];
            // A change is reported sooner.
            let lost = sender.table.cold.lost_lately(now_ms).count();
            let interval_ms = if lost > 0 { CHANGE_INTERVAL_MS } else { REPORT_INTERVAL_MS };
            if sender.frozen_until_ms > now_ms || now_ms < sender.heard_at_ms + interval_ms {
                continue;
            }
            sender.heard_at_ms = now_ms;
            let failing = sender.table.own_failure_rates(now_ms);
            let (name, side) = (sender.name.clone(), sender.side);
            let known = sender.sharing.heard_count(now_ms);
            for to in (0..self.entries.len()).filter(|it| *it != from) {
                // Some datagrams are lost.
                if self.entries[to].side == side && self.rng.f64() < 0.9 {
                    self.entries[to].sharing.record_known(&name, known, now_ms);
                    self.entries[to].settling.record_heard(now_ms);
                    let (loads, failing) = (BTreeMap::new(), failing.clone());
                    self.entries[to].table.record_entry(&name, loads, failing, now_ms);
                }
            }
        }
    }

    fn send(&mut self, idx: usize) {
        let (now_ms, rng) = (self.now_ms, &mut self.rng);
        let entry = &mut self.entries[idx];
        let Ok(picked) = entry.table.pick("writer", &[], &LIMITS, now_ms, || rng.f64()) else {
            self.refused += 1;
            return;
        };
        let target = self.targets.iter().position(|it| it.record.info.id == picked.id).unwrap();
        let arrives_ms = now_ms + rng.u64(1..=self.delay_max_ms);
        let (started, key) = (self.starts[idx], picked.key);
        self.flights.push(Flight { entry: idx, started, target, key, arrives_ms });
    }

    fn arrive(&mut self) {
        let now_ms = self.now_ms;
        let flights = std::mem::take(&mut self.flights);
        for mut flight in flights {
            let frozen_until_ms = self.entries[flight.entry].frozen_until_ms;
            if frozen_until_ms > now_ms {
                flight.arrives_ms = flight.arrives_ms.max(frozen_until_ms + 1);
            }
            if flight.arrives_ms > now_ms {
                self.flights.push(flight);
                continue;
            }
            let target = &mut self.targets[flight.target];
            target.arrivals += 1;
            let is_up = now_ms >= target.up_from_ms;
            if is_up && now_ms < target.cold_until_ms {
                target.cold_arrivals.push(now_ms);
            }
            let (outcome, took_ms) = match is_up {
                true => (AttemptOutcome::Success, 300),
                false => (AttemptOutcome::Lost, 10),
            };
            self.ends.push(End::new(&flight, now_ms + took_ms, outcome));
        }
    }

    fn finish(&mut self) {
        let now_ms = self.now_ms;
        for end in std::mem::take(&mut self.ends) {
            if end.ends_ms > now_ms || self.entries[end.entry].frozen_until_ms > now_ms {
                self.ends.push(end);
            } else if self.starts[end.entry] == end.started {
                self.entries[end.entry].table.finish(end.key, end.outcome, now_ms);
            }
        }
    }

    /// Returns the largest number of requests that a target got in any second while it was cold.
    pub fn most_in_a_second(&self) -> usize {
        self.targets.iter().map(|it| most_in_a_second(&it.cold_arrivals)).max().unwrap_or(0)
    }
}

/// Returns the largest number of times within any sliding second.
pub fn most_in_a_second(times: &[u64]) -> usize {
    let mut first = 0;
    let mut most = 0;
    for (idx, time) in times.iter().enumerate() {
        while times[first] + 1_000 <= *time {
            first += 1;
        }
        most = most.max(idx + 1 - first);
    }
    most
}
