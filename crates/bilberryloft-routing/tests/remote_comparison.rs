//! Compares four ways to decide which requests leave a data centre, at two sizes, without a network: bytes between data
//! centres and regions, and requests that are late or refused. The table in docs/design/leaving-a-data-center.md is the output.
//!
//! Load: each data centre is asked for 0.6 of what it can handle; for 4 of every 5 seconds one of them, in turn, for 1.5. A
//! target has 8 slots, a request takes 200 to 600 ms, longer when it shares a slot, and is late after 1 s. Loads are 60
//! to 100 ms old.
#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::collections::VecDeque;

use bilberryloft_routing::document::Distance;
use bilberryloft_routing::document::Service;
use bilberryloft_routing::remote::DataCenterLoad;
use bilberryloft_routing::remote::RemoteTraffic;
use bilberryloft_routing::remote::cost::RemotePrice;
use bilberryloft_routing::remote::far_load_max;
use bilberryloft_routing::remote::places::Places;

const SLOTS: u32 = 8;
const QUEUE: u32 = 4;
const BASE_MS: f64 = 400.0;
const LATE_MS: f64 = 1_000.0;
const BYTES: usize = 20_000;
const DURATION_MS: u64 = 20_000;
const USUAL_LOAD: f64 = 0.6;
const HIGH_LOAD: f64 = 1.5;
const SAMPLE: usize = 3;
const REPORT_MS: u64 = 40;
const OPTIMISED_EVERY_MS: u64 = 2_000;

/// One of the ways that are compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    /// Targets elsewhere count as 0.4 requests busier.
    Constant,
    /// All requests may leave while the targets here have more than 0.9 of their slots taken.
    Threshold,
    /// What is built: the expected time with a price, and a share.
    Priced,
    /// Shares that one host computes from the demand of all data centres, every 2 s.
    Optimised,
}

/// Size of a deployment.
#[derive(Clone, Copy)]
struct Shape {
    /// Number of data centres in each region.
    regions: &'static [usize],
    targets: usize,
}

const SMALL: Shape = Shape { regions: &[3], targets: 24 };
const LARGE: Shape = Shape { regions: &[3, 3, 2, 2], targets: 260 };

#[derive(Clone, Debug, Default)]
struct Counts {
    requests: u64,
    away: u64,
    between_regions: u64,
    late: u64,
    refused: u64,
}

impl Counts {
    fn share(&self, count: u64) -> f64 {
        100.0 * count as f64 / self.requests as f64
    }
}

struct Simulation {
    way: Way,
    regions: Vec<usize>,
    targets: usize,
    loads: Vec<u32>,
    seen: VecDeque<Vec<u32>>,
    ends: BTreeMap<u64, Vec<(usize, usize, f64)>>,
    traffic: Vec<RemoteTraffic>,
    places: Vec<Places>,
    /// Shares by data centre that another one sends it, by the optimisation.
    optimised: Vec<Vec<f64>>,
    random: fastrand::Rng,
    counts: Counts,
}

fn name(data_center: usize) -> String {
    format!("dc{data_center}")
}

impl Simulation {
    fn new(way: Way, shape: Shape) -> Simulation {
        let regions = shape.regions.iter().enumerate();
        let regions: Vec<usize> =
            regions.flat_map(|(region, count)| std::iter::repeat_n(region, *count)).collect();
        let count = regions.len();
        let delay_ms =
            |from: usize, to: usize| if regions[from] == regions[to] { 2.0 } else { 40.0 };
        let pairs = (0..count).flat_map(|from| (0..count).map(move |to| (from, to)));
        let distances = pairs.map(|(from, to)| Distance {
            from: name(from),
            to: name(to),
            delay_ms: delay_ms(from, to),
        });
        let service = Service {
            name: "plain".to_string(),
            connections_max: 400,
            engine: None,
            cold_start: None,
            distances: distances.collect(),
        };
        let price = RemotePrice { ms_per_mb: 3_000.0, ms_per_mb_between_regions: Some(12_000.0) };
        let names: BTreeMap<String, String> =
            regions.iter().enumerate().map(|it| (name(it.0), it.1.to_string())).collect();
        let place = |data_center: usize| {
            let mut places = Places::new(&name(data_center));
            places.set_price(Some(price), names.clone());
            places.set_distances([&service].into_iter());
            places
        };
        let loads = vec![0; count * shape.targets];
        Simulation {
            way,
            targets: shape.targets,
            seen: std::iter::repeat_n(loads.clone(), 3).collect(),
            loads,
            ends: BTreeMap::new(),
            traffic: vec![RemoteTraffic::default(); count],
            places: (0..count).map(place).collect(),
            optimised: vec![vec![0.0; count]; count],
            random: fastrand::Rng::with_seed(3),
            counts: Counts::default(),
            regions,
        }
    }

    fn run(mut self) -> Counts {
        for now_ms in 1..=DURATION_MS {
            for (target, from, time_ms) in self.ends.remove(&now_ms).unwrap_or_default() {
                self.loads[target] -= 1;
                self.traffic[from].record(BYTES, time_ms);
            }
            if now_ms % REPORT_MS == 0 {
                self.seen.pop_front();
                self.seen.push_back(self.loads.clone());
                self.update(now_ms);
            }
            if now_ms % OPTIMISED_EVERY_MS == 1 {
                // What the host knows is a second old when it is in force.
                self.optimise(now_ms.saturating_sub(1_000));
            }
            for data_center in 0..self.regions.len() {
                let per_ms = self.demand(data_center, now_ms) * self.capacity_per_ms();
                let count = per_ms.floor() as u32 + u32::from(self.random.f64() < per_ms.fract());
                (0..count).for_each(|_| self.send(data_center, now_ms));
            }
        }
        self.counts
    }

    fn capacity_per_ms(&self) -> f64 {
        self.targets as f64 * f64::from(SLOTS) / BASE_MS
    }

    fn demand(&self, data_center: usize, now_ms: u64) -> f64 {
        let turn = (now_ms / 5_000) as usize % self.regions.len();
        let is_high = data_center == turn && now_ms % 5_000 < 4_000;
        if is_high { HIGH_LOAD } else { USUAL_LOAD }
    }

    fn update(&mut self, now_ms: u64) {
        let seen = &self.seen[0];
        let load = |it: &[u32]| DataCenterLoad {
            targets: it.len() as u32,
            requests: it.iter().map(|it| f64::from(*it)).sum(),
            is_known: true,
        };
        let loads: BTreeMap<String, DataCenterLoad> = seen
            .chunks(self.targets)
            .enumerate()
            .map(|(data_center, it)| (name(data_center), load(it)))
            .collect();
        let mean = loads.values().filter_map(|it| it.mean()).sum::<f64>() / loads.len() as f64;
        for (traffic, places) in self.traffic.iter_mut().zip(&self.places) {
            let per_request_ms = traffic.size().elapsed_ms().map(|it| it / (mean + 1.0));
            traffic.update("plain", &loads, places, per_request_ms, now_ms);
        }
    }

    /// Sends what is over 0.9 of a data centre to the nearest ones that have room.
    fn optimise(&mut self, known_ms: u64) {
        let count = self.regions.len();
        let demand: Vec<f64> = (0..count).map(|it| self.demand(it, known_ms)).collect();
        let mut room: Vec<f64> = demand.iter().map(|it| (0.9 - it).max(0.0)).collect();
        for (from, own_demand) in demand.iter().enumerate() {
            let mut over = (own_demand - 0.9).max(0.0);
            let mut others: Vec<usize> = (0..count).filter(|it| *it != from).collect();
            others.sort_by_key(|it| self.regions[*it] != self.regions[from]);
            self.optimised[from] = vec![0.0; count];
            for to in others {
                let moved = over.min(room[to]);
                self.optimised[from][to] = moved / own_demand;
                (over, room[to]) = (over - moved, room[to] - moved);
            }
        }
    }

    /// Returns the cost of a target and the load that it may have, for a request of a data centre.
    fn terms(&self, from: usize, to: usize) -> (f64, u32) {
        let full = SLOTS + QUEUE;
        match self.way {
            _ if from == to => (0.0, full),
            Way::Constant | Way::Threshold => (0.4, full),
            Way::Optimised => (0.0, full),
            Way::Priced => {
                let cost = self.traffic[from].cost(&name(to), &self.places[from]);
                let is_far = self.traffic[from].is_far(&name(to), &self.places[from]);
                (cost, if is_far { far_load_max(full, SLOTS) } else { full })
            }
        }
    }

    /// Returns the data centres that are compared first, and those after them.
    fn reach(&mut self, from: usize) -> Vec<Vec<usize>> {
        let all: Vec<usize> = (0..self.regions.len()).collect();
        let here = &self.seen[0][from * self.targets..(from + 1) * self.targets];
        let mean = f64::from(here.iter().sum::<u32>()) / self.targets as f64;
        match self.way {
            Way::Constant => vec![all],
            Way::Threshold if mean > 0.9 * f64::from(SLOTS) => vec![all],
            Way::Threshold => vec![vec![from], all],
            Way::Priced if self.random.f64() < self.traffic[from].away().0 => vec![all],
            Way::Priced => {
                let is_far = |it: &usize| self.traffic[from].is_far(&name(*it), &self.places[from]);
                vec![all.iter().copied().filter(|it| !is_far(it)).collect(), all.clone()]
            }
            Way::Optimised => {
                let mut draw = self.random.f64();
                let shares = &self.optimised[from];
                let to = all.iter().copied().find(|it| {
                    draw -= shares[*it];
                    draw < 0.0
                });
                vec![vec![to.unwrap_or(from)], all]
            }
        }
    }

    fn send(&mut self, from: usize, now_ms: u64) {
        self.counts.requests += 1;
        let terms: Vec<(f64, u32)> =
            (0..self.regions.len()).map(|to| self.terms(from, to)).collect();
        let mut best: Option<(f64, usize)> = None;
        for reach in self.reach(from) {
            // A target that turns out to be full is replaced by another one, three times at most.
            for _ in 0..3 * SAMPLE {
                let to = reach[self.random.usize(0..reach.len())];
                let target = to * self.targets + self.random.usize(0..self.targets);
                let (cost, load_max) = terms[to];
                if self.seen[0][target] >= load_max || self.loads[target] >= SLOTS + QUEUE {
                    continue;
                }
                let score = f64::from(self.seen[0][target]) + cost + 0.3 * self.random.f64();
                if best.is_none_or(|it| score < it.0) {
                    best = Some((score, target));
                }
            }
            if best.is_some() {
                break;
            }
        }
        match best {
            Some((_, target)) => self.start(from, target, now_ms),
            None => self.counts.refused += 1,
        }
    }

    fn start(&mut self, from: usize, target: usize, now_ms: u64) {
        let to = target / self.targets;
        self.loads[target] += 1;
        let slowdown = (f64::from(self.loads[target]) / f64::from(SLOTS)).max(1.0);
        let time_ms = BASE_MS * (0.5 + self.random.f64()) * slowdown
            + self.places[from].round_trip_ms(&name(to));
        self.counts.away += u64::from(to != from);
        self.counts.between_regions += u64::from(self.regions[to] != self.regions[from]);
        self.counts.late += u64::from(time_ms > LATE_MS);
        self.ends.entry(now_ms + time_ms as u64 + 1).or_default().push((target, from, time_ms));
    }
}

fn compare(label: &str, shape: Shape) -> Vec<Counts> {
    let ways = [Way::Constant, Way::Threshold, Way::Priced, Way::Optimised];
    let compared = ways.map(|way| (way, Simulation::new(way, shape).run()));
    for (way, it) in &compared {
        let mb = |count: u64| count as f64 * BYTES as f64 / 1e6 / (DURATION_MS as f64 / 1e3);
        println!(
            "| {label} | {way:?} | {:.1}% | {:.2} MB/s | {:.2} MB/s | {:.2}% | {:.2}% |",
            it.share(it.away),
            mb(it.away - it.between_regions),
            mb(it.between_regions),
            it.share(it.late),
            it.share(it.refused)
        );
    }
    compared.map(|it| it.1).to_vec()
}

/// Guards against a price that saves no bytes, or saves them by late answers.
#[test]
fn price_saves_bytes_without_late_requests() {
    for (label, shape) in [("3 data centres", SMALL), ("10 in 4 regions", LARGE)] {
        let counts = compare(label, shape);
        let [constant, threshold, priced, _] = &counts[..] else { unreachable!() };
        assert!(2 * priced.away < constant.away, "{label}: {priced:?}");
        let missed = |it: &Counts| it.share(it.late + it.refused);
        assert!(missed(priced) < missed(threshold) + 1.0, "{label}: {priced:?} {threshold:?}");
        assert!(priced.between_regions <= constant.between_regions, "{label}: {priced:?}");
    }
}
