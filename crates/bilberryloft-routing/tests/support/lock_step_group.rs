//! Small model of a lock-step group whose requests are admitted by several entries that know each other's loads a moment
//! late.

#[path = "lock_step_rules.rs"]
mod rules;
#[path = "lock_step_statistics.rs"]
mod statistics;

use std::collections::BTreeMap;
use std::collections::VecDeque;

use bilberryloft_routing::batch_limit::PauseMeter;
use bilberryloft_routing::document::Engine;
use bilberryloft_routing::priority_admission::AdmissionTicket;
use bilberryloft_routing::priority_admission::GroupLoad;
use bilberryloft_routing::priority_admission::PriorityAdmission;
use bilberryloft_routing::priority_admission::bound::LoadBound;
use bilberryloft_routing::priority_admission::demand::Demand;
use bilberryloft_routing::wait_queue::Ticket;
use bilberryloft_routing::wait_queue::WaitQueue;

pub const RANKS: usize = 72;
pub const ENTRIES: usize = 18;
const SLOTS: usize = 10;
pub const GAP_OBJECTIVE_MS: f64 = 150.0;
/// Objectives for the first event by priority.
const OBJECTIVES_MS: [f64; 3] = [500.0, 500.0, 1_000.0];
/// Usual arrivals by priority.
pub const USUAL_PER_S: [f64; 3] = [92.0, 121.0, 40.0];
const TIMEOUT_MS: f64 = 6_000.0;
const STEPS: f64 = 5.0;
const READ_PER_MS: f64 = 61.0;
const READ_PER_STEP: f64 = 512.0;
const POLL_MS: u64 = 10;
const REPORT_INTERVAL_MS: u64 = 40;
const REPORT_DELAY_MS: u64 = 40;

/// Rule by which entries admit requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// The batch limit from the smoothed pause, and a queue by priority at each entry.
    FirstCome,
    /// A share of the bound for each priority.
    Threshold,
    /// Start-time fair queueing at each entry, under the bound.
    FairQueue,
    /// Room kept for higher priorities, as `priority_admission` does it.
    Reserve,
    /// A constant bound, in tenths of a request at each rank, by exact loads: what can be achieved at best.
    Constant(u32),
}

/// Load that is offered, and what else lengthens passes.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Begin and end in ms, priority, and factor on its usual load.
    pub bursts: Vec<(u64, u64, usize, f64)>,
    /// Begin and end of a time in which all passes are stretched by this factor in addition.
    pub stretched: Vec<(u64, u64, f64)>,
    /// Begin and end of a time in which the group turns all requests away and its streams have ended.
    pub down: Option<(u64, u64)>,
    /// Share of the usual load that is always offered.
    pub base: f64,
    pub until_ms: u64,
}

impl Scenario {
    pub fn usual(until_ms: u64) -> Scenario {
        Scenario { bursts: Vec::new(), stretched: Vec::new(), down: None, base: 1.0, until_ms }
    }
}

/// One caller's request, over its attempts.
#[derive(Clone, Debug)]
pub struct Caller {
    pub priority: usize,
    pub arrived_ms: u64,
    pub entry: usize,
    pub attempts: u32,
    pub started_ms: Option<u64>,
    pub first_event_ms: Option<u64>,
    pub longest_pause_ms: f64,
    pub ended_ms: Option<u64>,
    pub refused_ms: Vec<u64>,
    pub retry_after_ms: Vec<u64>,
    prompt_left: f64,
    events_left: u32,
    rank: usize,
    last_event_ms: f64,
    attempt_ms: u64,
}

/// A request that waits at an entry.
struct Waiting {
    caller: usize,
    until_ms: u64,
    ticket: Option<Ticket>,
    admission_ticket: Option<AdmissionTicket>,
    start_tag: f64,
}

struct Entry {
    loads: Vec<u32>,
    reported: Vec<u32>,
    sent: VecDeque<(u64, Vec<u32>, Demand)>,
    waiting: Vec<Waiting>,
    meter: PauseMeter,
    queue: WaitQueue,
    bound: LoadBound,
    admission: PriorityAdmission,
    virtual_time: f64,
    finish_tags: [f64; 3],
}

/// A forward pass that runs.
struct Pass {
    end_ms: f64,
    length_ms: f64,
    /// Callers whose requests take part, with what is left of their prompts at its end.
    members: Vec<(usize, f64)>,
}

pub struct Group {
    rule: Rule,
    scenario: Scenario,
    entries: Vec<Entry>,
    pub callers: Vec<Caller>,
    running: Vec<Vec<usize>>,
    returns: BTreeMap<u64, Vec<usize>>,
    reported_total: Vec<u32>,
    pass: Option<Pass>,
    pub passes: Vec<(f64, f64)>,
    stretch: f64,
    stretch_until_ms: u64,
    /// Draws of the entries.
    rng: fastrand::Rng,
    /// Draws of callers and of the engine, the same under each rule.
    outer: [fastrand::Rng; 2],
}

pub fn engine() -> Engine {
    Engine {
        slots: SLOTS,
        step_ms: 4.55,
        request_ms: 1.09,
        memory_tokens: None,
        usual_tokens: None,
        experts: None,
    }
}

impl Entry {
    fn new() -> Entry {
        Entry {
            loads: vec![0; RANKS],
            reported: vec![0; RANKS],
            sent: VecDeque::new(),
            waiting: Vec::new(),
            meter: PauseMeter::default(),
            queue: WaitQueue::default(),
            bound: LoadBound::new(engine(), GAP_OBJECTIVE_MS),
            admission: PriorityAdmission::new(engine(), GAP_OBJECTIVE_MS),
            virtual_time: 0.0,
            finish_tags: [0.0; 3],
        }
    }
}

impl Group {
    pub fn new(rule: Rule, scenario: Scenario, seed: u64) -> Group {
        Group {
            rule,
            scenario,
            entries: (0..ENTRIES).map(|_| Entry::new()).collect(),
            callers: Vec::new(),
            running: vec![Vec::new(); RANKS],
            returns: BTreeMap::new(),
            reported_total: vec![0; RANKS],
            pass: None,
            passes: Vec::new(),
            stretch: 1.3,
            stretch_until_ms: 0,
            rng: fastrand::Rng::with_seed(seed),
            outer: [1, 2].map(|it| fastrand::Rng::with_seed(1_000 * it + seed)),
        }
    }

    pub fn run(mut self) -> Group {
        for now_ms in 0..self.scenario.until_ms {
            self.exchange(now_ms);
            self.advance_pass(now_ms);
            self.arrive(now_ms);
            if now_ms.is_multiple_of(POLL_MS) {
                self.poll(now_ms);
            }
        }
        self
    }

    fn is_down(&self, now_ms: u64) -> bool {
        self.scenario.down.is_some_and(|it| (it.0..it.1).contains(&now_ms))
    }

    fn exchange(&mut self, now_ms: u64) {
        for idx in 0..ENTRIES {
            if (now_ms + 2 * idx as u64).is_multiple_of(REPORT_INTERVAL_MS) {
                let entry = &mut self.entries[idx];
                let demand = entry.admission.own_demand(now_ms);
                entry.sent.push_back((now_ms + REPORT_DELAY_MS, entry.loads.clone(), demand));
            }
            while self.entries[idx].sent.front().is_some_and(|it| it.0 <= now_ms) {
                let (_, loads, demand) = self.entries[idx].sent.pop_front().unwrap();
                for (rank, load) in loads.iter().enumerate() {
                    self.reported_total[rank] += load;
                    self.reported_total[rank] -= self.entries[idx].reported[rank];
                }
                self.entries[idx].reported = loads;
                for other in (0..ENTRIES).filter(|it| *it != idx) {
                    let admission = &mut self.entries[other].admission;
                    admission.record_report(&format!("e{idx}"), demand.clone(), now_ms);
                }
            }
        }
    }

    fn load(&self, entry: usize, rank: usize) -> u32 {
        if matches!(self.rule, Rule::Constant(_)) {
            return self.running[rank].len() as u32;
        }
        let entry = &self.entries[entry];
        entry.loads[rank] + self.reported_total[rank] - entry.reported[rank]
    }

    fn total_load(&self, entry: usize) -> u32 {
        (0..RANKS).map(|it| self.load(entry, it)).sum()
    }

    fn group_load(&self, entry: usize) -> GroupLoad {
        GroupLoad { targets: RANKS, running: self.total_load(entry), entries: ENTRIES }
    }

    fn poisson(&mut self, mean: f64) -> usize {
        let (mut count, mut product, limit) = (0, self.outer[0].f64(), (-mean).exp());
        while product > limit {
            count += 1;
            product *= self.outer[0].f64();
        }
        count
    }

    fn arrive(&mut self, now_ms: u64) {
        for (priority, usual_per_s) in USUAL_PER_S.into_iter().enumerate() {
            let bursts = self.scenario.bursts.iter();
            let burst = bursts.filter(|it| it.2 == priority && (it.0..it.1).contains(&now_ms));
            let factor = burst.map(|it| it.3).fold(self.scenario.base, f64::max);
            for _ in 0..self.poisson(usual_per_s * factor / 1_000.0) {
                let caller = self.new_caller(priority, now_ms);
                self.callers.push(caller);
                self.apply(self.callers.len() - 1, now_ms);
            }
        }
        for caller in self.returns.remove(&now_ms).unwrap_or_default() {
            self.callers[caller].entry = self.rng.usize(0..ENTRIES);
            self.apply(caller, now_ms);
        }
    }

    fn new_caller(&mut self, priority: usize, now_ms: u64) -> Caller {
        let exponential = |rng: &mut fastrand::Rng, mean: f64| -mean * (1.0 - rng.f64()).ln();
        Caller {
            priority,
            arrived_ms: now_ms,
            entry: self.outer[0].usize(0..ENTRIES),
            attempts: 0,
            started_ms: None,
            first_event_ms: None,
            longest_pause_ms: 0.0,
            ended_ms: None,
            refused_ms: Vec::new(),
            retry_after_ms: Vec::new(),
            prompt_left: exponential(&mut self.outer[0], 300.0).clamp(20.0, 2_900.0),
            events_left: (1.0 + exponential(&mut self.outer[0], 20.0)).min(48.0) as u32,
            rank: 0,
            last_event_ms: 0.0,
            attempt_ms: now_ms,
        }
    }

    fn advance_pass(&mut self, now_ms: u64) {
        if self.is_down(now_ms) {
            self.end_all(now_ms);
            return;
        }
        if self.pass.as_ref().is_some_and(|it| it.end_ms > now_ms as f64) {
            return;
        }
        if let Some(pass) = self.pass.take() {
            self.passes.push((pass.end_ms, pass.length_ms));
            self.end_pass(pass.members, pass.end_ms, now_ms);
        }
        self.begin_pass(now_ms);
    }

    fn end_all(&mut self, now_ms: u64) {
        self.pass = None;
        for rank in 0..RANKS {
            for caller in std::mem::take(&mut self.running[rank]) {
                self.free(caller, None, now_ms);
            }
        }
    }

    fn begin_pass(&mut self, now_ms: u64) {
        if now_ms >= self.stretch_until_ms {
            let is_uneven = self.outer[1].f64() < 0.2;
            let range = if is_uneven { (1.45, 0.25) } else { (1.2, 0.25) };
            self.stretch = range.0 + range.1 * self.outer[1].f64();
            self.stretch_until_ms = now_ms + self.outer[1].u64(500..2_000);
        }
        let stretched = self.scenario.stretched.iter();
        let mut stretched = stretched.filter(|it| (it.0..it.1).contains(&now_ms));
        let stretch = self.stretch * stretched.next().map_or(1.0, |it| it.2);
        let mut members = Vec::new();
        let mut longest_ms: f64 = 0.0;
        for rank in &self.running {
            let running = &rank[..rank.len().min(SLOTS)];
            let unread: f64 = running.iter().map(|it| self.callers[*it].prompt_left).sum();
            let reading_ms = unread.min(READ_PER_STEP * STEPS) / READ_PER_MS;
            let engine = engine();
            let step_ms = engine.step_ms + engine.request_ms * running.len() as f64;
            longest_ms = longest_ms.max(STEPS * step_ms * stretch + reading_ms);
            let mut budget = READ_PER_STEP * STEPS;
            for caller in running {
                let left = self.callers[*caller].prompt_left;
                let read = left.min(budget);
                budget -= read;
                members.push((*caller, left - read));
            }
        }
        let end_ms = now_ms as f64 + longest_ms;
        self.pass = Some(Pass { end_ms, length_ms: longest_ms, members });
    }

    fn end_pass(&mut self, members: Vec<(usize, f64)>, end_ms: f64, now_ms: u64) {
        for (id, prompt_left) in members {
            let caller = &mut self.callers[id];
            caller.prompt_left = prompt_left;
            if prompt_left > 0.0 {
                continue;
            }
            let entry = &mut self.entries[caller.entry];
            if caller.first_event_ms.is_none() {
                caller.first_event_ms = Some(now_ms);
                let started_ms = caller.started_ms.unwrap();
                entry.admission.record_first_event((now_ms - started_ms) as f64);
            } else {
                let pause_ms = end_ms - caller.last_event_ms;
                caller.longest_pause_ms = caller.longest_pause_ms.max(pause_ms);
                entry.meter.record(pause_ms, now_ms);
                let total =
                    entry.loads.iter().sum::<u32>() + self.reported_total.iter().sum::<u32>();
                let mean = f64::from(total - entry.reported.iter().sum::<u32>()) / RANKS as f64;
                entry.bound.record(pause_ms, mean, now_ms);
                let running = (mean * RANKS as f64) as u32;
                entry.admission.set_group(GroupLoad { targets: RANKS, running, entries: ENTRIES });
                entry.admission.record_pause(pause_ms, now_ms);
            }
            caller.last_event_ms = end_ms;
            caller.events_left = caller.events_left.saturating_sub(1);
            if caller.events_left == 0 {
                caller.ended_ms = Some(now_ms);
                let (rank, after_ms) = (caller.rank, now_ms - caller.started_ms.unwrap());
                self.running[rank].retain(|it| *it != id);
                self.free(id, Some(after_ms as f64), now_ms);
            }
        }
    }

    fn free(&mut self, id: usize, after_ms: Option<f64>, now_ms: u64) {
        let caller = &self.callers[id];
        let entry = &mut self.entries[caller.entry];
        entry.loads[caller.rank] -= 1;
        entry.queue.record_finished(now_ms);
        entry.admission.record_end(caller.priority as u8, after_ms);
    }
}
