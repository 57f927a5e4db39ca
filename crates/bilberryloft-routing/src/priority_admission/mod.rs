//! Admission of requests to a lock-step group by priority, without I/O: which request may start, which waits, and which is
//! rejected with which time to come back.
//!
//! The running requests of all entries stay under a bound that keeps the group's passes under their objective
//! ([`bound`]). Within it, room is kept for requests of higher priority that arrive before slots are free again, or that
//! wait at other entries. What is left is divided by demand among the entries, because all of them see the same room a
//! moment late and would fill it together.

pub mod bound;
pub mod configuration;
pub mod demand;
mod queue;
mod smoothed_time;

use std::collections::BTreeMap;
use std::collections::VecDeque;

pub use queue::AdmissionTicket;
pub use queue::StartOrder;

use crate::document::Engine;
use crate::priority_admission::bound::LoadBound;
use crate::priority_admission::demand::Demand;
use crate::priority_admission::demand::DemandTable;
use crate::priority_admission::queue::AdmissionQueue;
use crate::priority_admission::smoothed_time::SmoothedTime;

/// Standard deviations of the arrivals for which room is kept in addition to their mean.
const RESERVE_DEVIATIONS: f64 = 1.0;
/// Time without a start after which a request may use the room kept for others, so that no priority is starved, in
/// milliseconds.
const STARVED_MS: u64 = 2_000;
/// Share of the group's rate below which nothing is left for a priority.
const RATE_SHARE_MIN: f64 = 0.02;
/// Longest time after which a caller is told to come back, in milliseconds. It is served again within 2 s after an
/// overload.
const RETRY_AFTER_MAX_MS: f64 = 1_800.0;
/// Shortest such time, in milliseconds.
const RETRY_AFTER_MIN_MS: f64 = 100.0;
/// Part of their remaining time up to which callers honour the time to come back, with a margin for the way to them.
const HONOURED_SHARE: f64 = 0.32;
/// Time for which starts of this entry are kept, in milliseconds.
const STARTS_KEPT_MS: u64 = 500;
/// Shortest time within which starts of this entry may be unknown to others, in milliseconds.
const SHARED_AFTER_MIN_MS: f64 = 20.0;

/// State of the group that other parts of the entry know.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct GroupLoad {
    /// Targets that accept requests.
    pub targets: usize,
    /// Requests at them, of all entries, as far as they are known.
    pub running: u32,
    /// Entries that share the group, including this one.
    pub entries: usize,
}

impl GroupLoad {
    fn mean(&self) -> f64 {
        f64::from(self.running) / self.targets.max(1) as f64
    }
}

/// What decides on a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionRequest {
    /// Order of the request: ten times its priority, plus that of its route; the lowest first.
    pub priority: u8,
    /// Objective for the first event, in milliseconds.
    pub objective_ms: f64,
    /// Time since the caller's first attempt, in milliseconds.
    pub elapsed_ms: f64,
    /// Time until the caller's deadline, in milliseconds.
    pub time_left_ms: f64,
}

/// Decision on a new request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    /// It may start now.
    Start,
    /// It may wait for up to this time.
    Wait {
        /// Longest wait, in milliseconds.
        max_ms: f64,
    },
    /// It is rejected.
    Reject,
}

/// Inputs of a decision, for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Inputs {
    /// Bound on the running requests of all entries.
    pub bound: f64,
    /// Running requests of all entries.
    pub running: u32,
    /// PriorityAdmission kept for requests that go first.
    pub reserve: f64,
    /// Expected wait in milliseconds; infinite if nothing is left for the priority.
    pub expected_ms: f64,
    /// Requests waiting at all entries that go first or are of the same priority.
    pub waiting: u32,
    /// Mean age of what is known of the other entries, in milliseconds.
    pub age_ms: f64,
    /// Whether another entry is heard. Otherwise the bound is this entry's part.
    pub hears_others: bool,
}

/// Admission to one service's group at one entry.
#[derive(Clone, Debug)]
pub struct PriorityAdmission {
    engine: Engine,
    bound: LoadBound,
    group: GroupLoad,
    demand: DemandTable,
    queue: AdmissionQueue,
    /// Time from the start of a request to its end.
    residence: SmoothedTime,
    /// Time from the start of a request to its first event.
    first_event: SmoothedTime,
    /// Own starts of the last moments.
    starts: VecDeque<(u64, u8)>,
    last_start_ms: BTreeMap<u8, u64>,
    /// Time from which the next rejected caller may come back.
    next_return_ms: BTreeMap<StartOrder, f64>,
    /// Number in 0..1 that decides whether a part of a request is rounded up, and until when it holds.
    rounding: (f64, u64),
}

impl PriorityAdmission {
    /// Creates the state for a group without requests.
    pub fn new(engine: Engine, gap_objective_ms: f64) -> PriorityAdmission {
        PriorityAdmission {
            engine,
            bound: LoadBound::new(engine, gap_objective_ms),
            group: GroupLoad::default(),
            demand: DemandTable::default(),
            queue: AdmissionQueue::default(),
            residence: SmoothedTime::default(),
            first_event: SmoothedTime::default(),
            starts: VecDeque::new(),
            last_start_ms: BTreeMap::new(),
            next_return_ms: BTreeMap::new(),
            rounding: (0.0, 0),
        }
    }

    /// Applies the engine and objective of a newer document.
    pub fn configure(&mut self, engine: Engine, gap_objective_ms: f64) {
        if !self.bound.is_for(&engine, gap_objective_ms) {
            self.engine = engine;
            self.bound = LoadBound::new(engine, gap_objective_ms);
        }
    }

    /// Sets the state of the group.
    pub fn set_group(&mut self, group: GroupLoad) {
        self.group = group;
    }

    /// Records a pause between two events of a stream.
    pub fn record_pause(&mut self, pause_ms: f64, now_ms: u64) {
        self.bound.record(pause_ms, self.group.mean(), now_ms);
    }

    /// Counts a new request of a caller.
    pub fn record_arrival(&mut self, priority: u8, now_ms: u64) {
        self.demand.record_arrival(priority, now_ms);
        self.last_start_ms.entry(priority).or_insert(now_ms);
    }

    /// Counts a request that is started.
    pub fn record_start(&mut self, priority: u8, now_ms: u64) {
        self.demand.update(priority, |it| it.running += 1);
        self.group.running += 1;
        self.starts.push_back((now_ms, priority));
        while self.starts.front().is_some_and(|it| it.0 + STARTS_KEPT_MS <= now_ms) {
            self.starts.pop_front();
        }
        self.last_start_ms.insert(priority, now_ms);
    }

    /// Records the first event of a request, after a time since its start.
    pub fn record_first_event(&mut self, after_ms: f64) {
        self.first_event.record(after_ms);
    }

    /// Removes a request that has ended, after a time since its start; `None` if that says nothing about the group.
    pub fn record_end(&mut self, priority: u8, after_ms: Option<f64>) {
        self.demand.update(priority, |it| it.running = it.running.saturating_sub(1));
        self.group.running = self.group.running.saturating_sub(1);
        if let Some(after_ms) = after_ms {
            self.residence.record(after_ms);
        }
    }

    /// Stores another entry's report.
    pub fn record_report(&mut self, entry: &str, demand: Demand, now_ms: u64) {
        self.demand.record_report(entry, demand, now_ms);
    }

    /// Returns this entry's demand, to be reported to the others.
    pub fn own_demand(&mut self, now_ms: u64) -> Demand {
        self.demand.own(now_ms)
    }

    /// Returns the demand at all entries.
    pub fn total_demand(&mut self, now_ms: u64) -> Demand {
        self.demand.expire(now_ms);
        self.demand.total(now_ms)
    }

    /// Returns the longest pause of the last passes that counts and its age, in milliseconds.
    pub fn long_pause_ms(&self, now_ms: u64) -> Option<(f64, u64)> {
        self.bound.long_pause_ms(now_ms)
    }

    /// Returns whether passes are long for another reason than the batch.
    pub fn is_disturbed(&self, now_ms: u64) -> bool {
        self.bound.is_disturbed(now_ms)
    }

    /// Returns the bound on the mean number of requests at each target.
    pub fn bound(&mut self, now_ms: u64) -> f64 {
        self.bound.at(self.group.mean(), now_ms)
    }

    /// Returns the bound on the requests at each single target. It lies above the bound on their mean, because loads are
    /// never quite even.
    pub fn load_max(&mut self, now_ms: u64) -> u32 {
        (self.bound(now_ms).floor() as u32 + 1).min(self.engine.slots as u32)
    }

    /// Decides on a new request. `draw` returns a number in 0..1.
    pub fn decide(
        &mut self,
        admission_request: &AdmissionRequest,
        now_ms: u64,
        draw: impl FnOnce() -> f64,
    ) -> (Decision, Inputs) {
        let order = self.start_order(admission_request);
        let inputs = self.inputs(order, now_ms);
        if !self.queue.has_before(order) && self.has_room(order, &inputs, now_ms, draw) {
            return (Decision::Start, inputs);
        }
        let max_ms = self.wait_max_ms(admission_request);
        let decision = match inputs.expected_ms <= max_ms {
            true => Decision::Wait { max_ms },
            false => Decision::Reject,
        };
        (decision, inputs)
    }

    /// Adds a request to the queue.
    pub fn join(&mut self, admission_request: &AdmissionRequest) -> AdmissionTicket {
        self.demand.update(admission_request.priority, |it| it.waiting += 1);
        self.queue.join(self.start_order(admission_request))
    }

    /// Removes a request from the queue.
    pub fn leave(&mut self, ticket: AdmissionTicket) {
        self.demand
            .update(ticket.start_order().priority, |it| it.waiting = it.waiting.saturating_sub(1));
        self.queue.leave(ticket);
    }

    /// Returns whether a request in the queue may start.
    pub fn may_start(
        &mut self,
        ticket: AdmissionTicket,
        now_ms: u64,
        draw: impl FnOnce() -> f64,
    ) -> bool {
        if !self.queue.is_first(ticket) {
            return false;
        }
        let inputs = self.inputs(ticket.start_order(), now_ms);
        self.has_room(ticket.start_order(), &inputs, now_ms, draw)
    }

    /// Returns the time after which the caller of a rejected request should come back, in milliseconds.
    ///
    /// Callers of one order get times one after the other at the rate that is left for them. Where that is later than
    /// callers honour, the times are spread over the last half of what they do.
    pub fn retry_after_ms(
        &mut self,
        admission_request: &AdmissionRequest,
        inputs: &Inputs,
        now_ms: u64,
        draw: impl FnOnce() -> f64,
    ) -> u64 {
        let order = self.start_order(admission_request);
        let honoured_ms = HONOURED_SHARE * admission_request.time_left_ms;
        let latest_ms = honoured_ms.clamp(RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS);
        let now = now_ms as f64;
        let next_ms = self.next_return_ms.get(&order).copied().unwrap_or(0.0);
        let return_ms = next_ms.max(now + inputs.expected_ms.max(RETRY_AFTER_MIN_MS));
        if return_ms > now + latest_ms {
            return (latest_ms * (0.5 + 0.5 * draw())) as u64;
        }
        let own_rate_per_ms =
            self.rate_left_per_ms(order, now_ms) / self.group.entries.max(1) as f64;
        let interval_ms = 1.0 / own_rate_per_ms.max(1e-3);
        self.next_return_ms.insert(order, return_ms + interval_ms);
        (return_ms - now + interval_ms * draw()).ceil() as u64
    }

    /// Returns the order of a request among the others.
    fn start_order(&self, admission_request: &AdmissionRequest) -> StartOrder {
        let first_event_ms = self.first_event.mean_ms().unwrap_or(0.0);
        let is_late =
            admission_request.elapsed_ms + first_event_ms > admission_request.objective_ms;
        StartOrder { priority: admission_request.priority, is_late }
    }

    /// Returns the longest wait after which the first event can still come within the objective. A request that has
    /// missed it may wait as long as one that has just arrived.
    pub fn wait_max_ms(&self, admission_request: &AdmissionRequest) -> f64 {
        let first_event_ms =
            self.first_event.usual_max_ms().unwrap_or(0.5 * admission_request.objective_ms);
        let elapsed_ms = match self.start_order(admission_request).is_late {
            true => 0.0,
            false => admission_request.elapsed_ms,
        };
        let wait_ms = admission_request.objective_ms - elapsed_ms - first_event_ms;
        wait_ms.min(admission_request.time_left_ms).max(0.0)
    }

    /// Returns the inputs of a decision on a request.
    pub fn inputs_for(&mut self, admission_request: &AdmissionRequest, now_ms: u64) -> Inputs {
        self.inputs(self.start_order(admission_request), now_ms)
    }

    /// Returns the inputs of a decision on a request of an order.
    fn inputs(&mut self, order: StartOrder, now_ms: u64) -> Inputs {
        self.demand.expire(now_ms);
        let total = self.demand.total(now_ms);
        let (age_ms, hears_others) = (self.demand.age_ms(now_ms), self.demand.hears_others());
        let bound = self.bound.at(self.group.mean(), now_ms) * self.group.targets as f64;
        let part = if hears_others { 1 } else { self.group.entries.max(1) };
        let reserve = self.reserve(order, &total, age_ms, now_ms);
        let waiting: u32 = total.range(..=order.priority).map(|it| it.1.waiting).sum();
        let mut inputs = Inputs {
            bound: (bound / part as f64).max(1.0),
            running: self.group.running,
            reserve: reserve / part as f64,
            expected_ms: 0.0,
            waiting,
            age_ms,
            hears_others,
        };
        inputs.expected_ms = self.expected_ms(order, &inputs, now_ms);
        inputs
    }

    /// Returns the room that is kept for requests that go before one of this order: those that arrive until slots are free
    /// again and this entry knows of it, and those that wait.
    fn reserve(&self, order: StartOrder, total: &Demand, age_ms: f64, now_ms: u64) -> f64 {
        let pass_ms = self.bound.long_pause_ms(now_ms).map_or(0.0, |it| it.0);
        let period_s = (pass_ms + age_ms) / 1_000.0;
        let first = total.iter().filter(|it| goes_first(*it.0, order));
        let arrivals = first.map(|it| f64::from(it.1.arrivals_per_s)).sum::<f64>() * period_s;
        let waiting: f64 = total.range(..order.priority).map(|it| f64::from(it.1.waiting)).sum();
        arrivals + RESERVE_DEVIATIONS * arrivals.sqrt() + waiting
    }

    /// Returns the rate at which requests of this order can be started at all entries.
    fn rate_left_per_ms(&mut self, order: StartOrder, now_ms: u64) -> f64 {
        let Some(residence_ms) = self.residence.mean_ms() else {
            return 0.0;
        };
        let rate_per_ms = f64::from(self.group.running) / residence_ms.max(1.0);
        let total = self.demand.total(now_ms);
        let first = total.iter().filter(|it| goes_first(*it.0, order));
        let first_per_ms = first.map(|it| f64::from(it.1.arrivals_per_s)).sum::<f64>() / 1_000.0;
        let left_per_ms = rate_per_ms - first_per_ms;
        if left_per_ms < RATE_SHARE_MIN * rate_per_ms { 0.0 } else { left_per_ms }
    }

    fn expected_ms(&mut self, order: StartOrder, inputs: &Inputs, now_ms: u64) -> f64 {
        if self.residence.mean_ms().is_none() {
            return 0.0;
        }
        let excess = f64::from(inputs.running) + inputs.reserve - inputs.bound;
        let before = excess.max(0.0) + self.queue.before(order).max(inputs.waiting as usize) as f64;
        (before + 1.0) / self.rate_left_per_ms(order, now_ms).max(f64::MIN_POSITIVE)
    }

    /// Returns whether a request may start.
    fn has_room(
        &mut self,
        order: StartOrder,
        inputs: &Inputs,
        now_ms: u64,
        draw: impl FnOnce() -> f64,
    ) -> bool {
        let running = f64::from(inputs.running);
        if running + 1.0 > inputs.bound {
            return false;
        }
        if self.is_starved(order.priority, now_ms) {
            return true;
        }
        if !inputs.hears_others {
            return running + 1.0 + inputs.reserve <= inputs.bound;
        }
        let window_ms = inputs.age_ms.max(SHARED_AFTER_MIN_MS);
        let since_ms = now_ms.saturating_sub(window_ms as u64);
        let recent = self.starts.iter().filter(|it| it.0 >= since_ms).count() as f64;
        let room = inputs.bound - inputs.reserve - (running - recent);
        if room < 1.0 || running + 1.0 + inputs.reserve > inputs.bound {
            return false;
        }
        if now_ms >= self.rounding.1 {
            self.rounding = (draw(), now_ms + window_ms as u64);
        }
        let part = room * self.share(order, window_ms, now_ms, room);
        recent + 1.0 <= part.floor() + f64::from(u8::from(self.rounding.0 < part.fract()))
    }

    /// Returns the share of the room that this entry may use before the others know of it: all of it if there is enough for
    /// all entries, otherwise by demand.
    fn share(&mut self, order: StartOrder, window_ms: f64, now_ms: u64, room: f64) -> f64 {
        let claim = |demand: &Demand| -> f64 {
            let claims = demand.range(..=order.priority).map(|it| {
                f64::from(it.1.waiting) + f64::from(it.1.arrivals_per_s) * window_ms / 1_000.0
            });
            claims.sum()
        };
        let own = claim(&self.demand.own(now_ms));
        let total = claim(&self.demand.total(now_ms));
        if total <= room || total <= 0.0 { 1.0 } else { own / total }
    }

    fn is_starved(&self, priority: u8, now_ms: u64) -> bool {
        self.last_start_ms.get(&priority).is_some_and(|it| it + STARVED_MS <= now_ms)
    }
}

/// Returns whether requests of a priority go before those of an order; of the same priority, those that are not late do.
fn goes_first(priority: u8, order: StartOrder) -> bool {
    priority < order.priority || (order.is_late && priority == order.priority)
}
