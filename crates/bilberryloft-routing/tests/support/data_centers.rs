//! Simulated data centres with entries, targets of a plain service and callers; entries hear of each other late.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use bilberryloft_routing::document::Distance;
use bilberryloft_routing::document::Service;
use bilberryloft_routing::learned::AnswerSample;
use bilberryloft_routing::load_exchange::TargetTag;
use bilberryloft_routing::remote::AwayChange;
use bilberryloft_routing::remote::cost::RemotePrice;
use bilberryloft_routing::selection::PickLimits;
use bilberryloft_routing::selection::TargetKey;
use bilberryloft_routing::targets::AttemptOutcome;
use bilberryloft_routing::targets::TargetInfo;
use bilberryloft_routing::targets::TargetTable;

/// Requests that a target runs at once.
pub const SLOTS: u32 = 8;
/// Time of a request at a target with free slots, in milliseconds.
pub const BASE_MS: f64 = 40.0;
/// Bytes of a request and its answer.
const BYTES: usize = 20_000;
/// Time between two reports of an entry, in milliseconds.
const REPORT_MS: u64 = 40;
/// Time until a report arrives, in milliseconds.
const REPORT_DELAY_MS: u64 = 60;
/// Time between two tries of a request that waits for a target, in milliseconds.
const POLL_MS: u64 = 10;
/// Longest time for which it waits, in milliseconds.
const WAIT_MAX_MS: u64 = 120;
/// Entries of each data centre.
const ENTRIES: usize = 2;

/// Load and faults of a run, which a test changes while it runs.
#[derive(Clone, Debug)]
pub struct Conditions {
    /// Requests a second of the callers of each data centre.
    pub demand_per_s: Vec<f64>,
    /// Targets of each data centre that are up, from the first one.
    pub targets_up: Vec<usize>,
    /// Data centres whose targets are cold.
    pub cold: BTreeSet<usize>,
    /// Data centres whose reports reach no other one, and the other way round.
    pub cut_off: BTreeSet<usize>,
    /// Part of the reports that are lost.
    pub lost_share: f64,
    /// Delay between data centres, one way, in milliseconds.
    pub delay_ms: f64,
}

/// What happened in a period.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// Requests of the callers of each data centre.
    pub requests: Vec<u32>,
    /// Those of them that were sent to another one.
    pub away: Vec<u32>,
    /// Those of them that found no free target.
    pub refused: Vec<u32>,
    /// Sum of their times, in milliseconds.
    pub time_ms: Vec<f64>,
    /// Beginnings and ends of sending away, by data centre.
    pub changes: Vec<Vec<AwayChange>>,
    /// Largest difference between the shares sent away in successive tenths of a second.
    pub largest_swing: f64,
}

impl Seen {
    /// Returns the share of a data centre's requests that were sent away.
    pub fn away_share(&self, data_center: usize) -> f64 {
        f64::from(self.away[data_center]) / f64::from(self.requests[data_center].max(1))
    }

    /// Returns the mean time of a data centre's requests, in milliseconds.
    pub fn mean_ms(&self, data_center: usize) -> f64 {
        self.time_ms[data_center] / f64::from(self.requests[data_center].max(1))
    }
}

struct Running {
    entry: usize,
    key: TargetKey,
    target: (usize, usize),
    started_ms: u64,
    load: u32,
}

struct Waiting {
    entry: usize,
    arrived_ms: u64,
}

struct Report {
    from: usize,
    loads: BTreeMap<TargetTag, u32>,
}

/// Data centres `a`, `b` and so on.
pub struct World {
    /// Load and faults.
    pub conditions: Conditions,
    entries: Vec<TargetTable>,
    targets: Vec<Vec<u32>>,
    running: BTreeMap<u64, Vec<Running>>,
    waiting: BTreeMap<u64, Vec<Waiting>>,
    reports: BTreeMap<u64, Vec<Report>>,
    incarnations: u64,
    random: fastrand::Rng,
    now_ms: u64,
}

fn name(data_center: usize) -> String {
    char::from(b'a' + data_center as u8).to_string()
}

impl World {
    /// Creates data centres with a number of targets each, all of which are up.
    pub fn new(data_centers: usize, targets: usize, price: Option<RemotePrice>) -> World {
        let conditions = Conditions {
            demand_per_s: vec![0.0; data_centers],
            targets_up: vec![targets; data_centers],
            cold: BTreeSet::new(),
            cut_off: BTreeSet::new(),
            lost_share: 0.0,
            delay_ms: 2.0,
        };
        let entry = |idx: usize| {
            let mut table = TargetTable::new(&name(idx / ENTRIES));
            table.places_mut().set_price(price, BTreeMap::new());
            table
        };
        let mut world = World {
            entries: (0..data_centers * ENTRIES).map(entry).collect(),
            targets: vec![vec![0; targets]; data_centers],
            running: BTreeMap::new(),
            waiting: BTreeMap::new(),
            reports: BTreeMap::new(),
            incarnations: 1,
            random: fastrand::Rng::with_seed(5),
            now_ms: 1,
            conditions,
        };
        world.apply();
        world
    }

    /// Tells all entries of the targets and distances after the conditions have changed.
    pub fn apply(&mut self) {
        let service = self.service();
        for table in &mut self.entries {
            table.places_mut().set_distances([&service].into_iter());
        }
        for data_center in 0..self.targets.len() {
            for number in 0..self.targets[data_center].len() {
                let info = self.info(data_center, number);
                self.entries.iter_mut().for_each(|it| it.apply(info.clone()));
            }
        }
    }

    fn service(&self) -> Service {
        let names: Vec<String> = (0..self.targets.len()).map(name).collect();
        let pairs = names.iter().flat_map(|from| names.iter().map(move |to| (from, to)));
        let distances = pairs.map(|(from, to)| Distance {
            from: from.clone(),
            to: to.clone(),
            delay_ms: self.conditions.delay_ms,
        });
        Service {
            name: "plain".to_string(),
            connections_max: 400,
            engine: None,
            cold_start: None,
            distances: distances.collect(),
        }
    }

    fn info(&self, data_center: usize, number: usize) -> TargetInfo {
        let is_cold = self.conditions.cold.contains(&data_center);
        TargetInfo {
            id: format!("{}{number}", name(data_center)),
            incarnation: self.incarnations,
            service: "plain".to_string(),
            address: format!("10.0.{data_center}.{number}:80"),
            data_center: name(data_center),
            slots: SLOTS,
            is_leaving: number >= self.conditions.targets_up[data_center],
            is_announced: true,
            cold_for_ms: if is_cold { 3_000 } else { 0 },
        }
    }

    /// Runs for a time and returns what happened.
    pub fn run(&mut self, duration_ms: u64) -> Seen {
        let count = self.targets.len();
        let mut seen = Seen {
            requests: vec![0; count],
            away: vec![0; count],
            refused: vec![0; count],
            time_ms: vec![0.0; count],
            changes: vec![Vec::new(); count],
            largest_swing: 0.0,
        };
        let mut last_share = None;
        let (mut window, mut window_away) = (0, 0);
        for _ in 0..duration_ms {
            let before = (seen.requests[0], seen.away[0]);
            self.step(&mut seen);
            window += seen.requests[0] - before.0;
            window_away += seen.away[0] - before.1;
            if self.now_ms.is_multiple_of(200) && window > 0 {
                let share = f64::from(window_away) / f64::from(window);
                let swing = last_share.map_or(0.0, |it: f64| (it - share).abs());
                seen.largest_swing = seen.largest_swing.max(swing);
                last_share = Some(share);
                (window, window_away) = (0, 0);
            }
        }
        seen
    }

    fn step(&mut self, seen: &mut Seen) {
        self.now_ms += 1;
        let now_ms = self.now_ms;
        for running in self.running.remove(&now_ms).unwrap_or_default() {
            self.end(&running);
        }
        for report in self.reports.remove(&now_ms).unwrap_or_default() {
            self.deliver(&report);
        }
        if now_ms.is_multiple_of(REPORT_MS) {
            self.send_reports();
            for (idx, table) in self.entries.iter_mut().enumerate() {
                table.expire_entries(now_ms);
                seen.changes[idx / ENTRIES].extend(table.update_remote(now_ms));
            }
        }
        for waiting in self.waiting.remove(&now_ms).unwrap_or_default() {
            self.start(waiting, seen);
        }
        for data_center in 0..self.targets.len() {
            let per_ms = self.conditions.demand_per_s[data_center] / 1_000.0;
            let whole = per_ms.floor() as u32;
            let count = whole + u32::from(self.random.f64() < per_ms.fract());
            seen.requests[data_center] += count;
            for _ in 0..count {
                let entry = data_center * ENTRIES + self.random.usize(0..ENTRIES);
                self.start(Waiting { entry, arrived_ms: now_ms }, seen);
            }
        }
    }

    /// Sends a request to a target, or lets it wait for one.
    fn start(&mut self, request: Waiting, seen: &mut Seen) {
        let (entry, data_center) = (request.entry, request.entry / ENTRIES);
        let limits = PickLimits {
            load_max: None,
            queue_max: 4,
            own_load_max: u32::MAX,
            idle_load: 0.0,
            entries: self.entries.len(),
            memory: None,
        };
        let random = &mut self.random;
        let picked = self.entries[entry].pick("plain", &[], &limits, self.now_ms, || random.f64());
        let Ok(picked) = picked else {
            match self.now_ms < request.arrived_ms + WAIT_MAX_MS {
                true => self.waiting.entry(self.now_ms + POLL_MS).or_default().push(request),
                false => seen.refused[data_center] += 1,
            }
            return;
        };
        let target = (usize::from(picked.id.as_bytes()[0] - b'a'), picked.id[1..].parse().unwrap());
        let load = &mut self.targets[target.0][target.1];
        *load += 1;
        // Requests over the slots share them.
        let slowdown = (f64::from(*load) / f64::from(SLOTS)).max(1.0);
        let is_away = target.0 != data_center;
        let way_ms = if is_away { 2.0 * self.conditions.delay_ms } else { 0.0 };
        let length = 0.5 + self.random.f64();
        let time_ms = (BASE_MS * length * slowdown + way_ms) as u64 + 1;
        seen.away[data_center] += u32::from(is_away);
        let waited_ms = self.now_ms - request.arrived_ms;
        seen.time_ms[data_center] += (waited_ms + time_ms) as f64;
        let load = picked.own_load + picked.others_load + 1;
        let started_ms = self.now_ms;
        let running = Running { entry, key: picked.key, target, started_ms, load };
        self.running.entry(started_ms + time_ms).or_default().push(running);
    }

    fn end(&mut self, running: &Running) {
        let load = &mut self.targets[running.target.0][running.target.1];
        *load -= 1;
        let sample = AnswerSample {
            elapsed_ms: (self.now_ms - running.started_ms) as f64,
            load: running.load,
            request_bytes: 0,
            answer_bytes: BYTES,
            is_stream: false,
        };
        let table = &mut self.entries[running.entry];
        table.record_answer(running.key, &sample, self.now_ms);
        table.finish(running.key, AttemptOutcome::Success, self.now_ms);
    }

    fn send_reports(&mut self) {
        let arrives_ms = self.now_ms + REPORT_DELAY_MS;
        let reports = self.entries.iter().enumerate();
        let reports = reports.map(|(from, it)| Report { from, loads: it.own_loads() });
        self.reports.entry(arrives_ms).or_default().extend(reports);
    }

    fn deliver(&mut self, report: &Report) {
        let from = report.from / ENTRIES;
        for idx in 0..self.entries.len() {
            let to = idx / ENTRIES;
            let is_cut_off = [from, to].iter().any(|it| self.conditions.cut_off.contains(it));
            let is_lost = self.random.f64() < self.conditions.lost_share;
            if idx == report.from || is_lost || (from != to && is_cut_off) {
                continue;
            }
            let table = &mut self.entries[idx];
            let entry = format!("e{}", report.from);
            table.record_entry_data_center(&name(from), self.now_ms);
            table.record_entry(&entry, report.loads.clone(), BTreeMap::new(), self.now_ms);
        }
    }
}
