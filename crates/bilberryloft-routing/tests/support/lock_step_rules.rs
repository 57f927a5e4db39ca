//! Rules by which the entries of the model admit requests.

use bilberryloft_routing::batch_limit::batch_limit;
use bilberryloft_routing::priority_admission::AdmissionRequest;
use bilberryloft_routing::priority_admission::AdmissionTicket;
use bilberryloft_routing::priority_admission::Decision;
use bilberryloft_routing::wait_queue::Ticket;

use super::ENTRIES;
use super::GAP_OBJECTIVE_MS;
use super::Group;
use super::OBJECTIVES_MS;
use super::RANKS;
use super::Rule;
use super::SLOTS;
use super::TIMEOUT_MS;
use super::Waiting;
use super::engine;

/// Requests that may wait at a rank under the rule of before.
const QUEUE_MAX: u32 = 4;

impl Group {
    fn admission_request(&self, caller: usize, now_ms: u64) -> AdmissionRequest {
        let caller = &self.callers[caller];
        let elapsed_ms = (now_ms - caller.arrived_ms) as f64;
        AdmissionRequest {
            priority: caller.priority as u8,
            objective_ms: OBJECTIVES_MS[caller.priority],
            elapsed_ms,
            time_left_ms: TIMEOUT_MS - elapsed_ms,
        }
    }

    /// Hands a request to its entry.
    pub(super) fn apply(&mut self, caller: usize, now_ms: u64) {
        self.callers[caller].attempts += 1;
        self.callers[caller].attempt_ms = now_ms;
        let entry = self.callers[caller].entry;
        if self.is_down(now_ms) {
            let after_ms = 2_200 + self.rng.u64(0..400);
            return self.refuse(caller, after_ms, now_ms);
        }
        match self.rule {
            Rule::Reserve => self.apply_for_admission(caller, now_ms),
            Rule::FirstCome => {
                let priority = self.callers[caller].priority;
                if self.entries[entry].queue.is_empty() && self.start_first_come(caller, now_ms) {
                    return;
                }
                let wait_ms = 0.6 * OBJECTIVES_MS[priority];
                if self.entries[entry].queue.expected_wait_ms(priority as u8) > wait_ms {
                    let after_ms = self.rng.u64(250..900);
                    return self.refuse(caller, after_ms, now_ms);
                }
                let ticket = self.entries[entry].queue.join(priority as u8);
                self.wait(caller, now_ms + wait_ms as u64, Some(ticket), None, 0.0);
            }
            Rule::Threshold | Rule::Constant(_) => {
                if !self.start_threshold(caller, now_ms) {
                    let wait_ms = 0.6 * OBJECTIVES_MS[self.callers[caller].priority];
                    self.wait(caller, now_ms + wait_ms as u64, None, None, now_ms as f64);
                }
            }
            Rule::FairQueue => {
                let priority = self.callers[caller].priority;
                let state = &mut self.entries[entry];
                let start_tag = state.virtual_time.max(state.finish_tags[priority]);
                state.finish_tags[priority] = start_tag + 1.0 / [4.0, 2.0, 1.0][priority];
                let wait_ms = 0.6 * OBJECTIVES_MS[priority];
                self.wait(caller, now_ms + wait_ms as u64, None, None, start_tag);
                self.poll_fair(entry, now_ms);
            }
        }
    }

    fn apply_for_admission(&mut self, caller: usize, now_ms: u64) {
        let entry = self.callers[caller].entry;
        let admission_request = self.admission_request(caller, now_ms);
        let group = self.group_load(entry);
        let mut rng = self.rng.fork();
        let admission = &mut self.entries[entry].admission;
        admission.record_arrival(admission_request.priority, now_ms);
        admission.set_group(group);
        let (decision, inputs) = admission.decide(&admission_request, now_ms, || rng.f64());
        match decision {
            Decision::Start if self.start_if_admitted(caller, now_ms) => {}
            Decision::Start => {
                let ticket = self.entries[entry].admission.join(&admission_request);
                self.wait(caller, now_ms + 200, None, Some(ticket), 0.0);
            }
            Decision::Wait { max_ms } => {
                let ticket = self.entries[entry].admission.join(&admission_request);
                self.wait(caller, now_ms + max_ms as u64, None, Some(ticket), 0.0);
            }
            Decision::Reject => {
                let admission = &mut self.entries[entry].admission;
                let after_ms =
                    admission.retry_after_ms(&admission_request, &inputs, now_ms, || rng.f64());
                self.refuse(caller, after_ms, now_ms);
            }
        }
    }

    fn start_if_admitted(&mut self, caller: usize, now_ms: u64) -> bool {
        let entry = self.callers[caller].entry;
        let load_max = self.entries[entry].admission.load_max(now_ms);
        let is_started = self.start(caller, load_max, now_ms);
        if is_started {
            let priority = self.callers[caller].priority as u8;
            self.entries[entry].admission.record_start(priority, now_ms);
        }
        is_started
    }

    fn start_first_come(&mut self, caller: usize, now_ms: u64) -> bool {
        let entry = self.callers[caller].entry;
        let mean = f64::from(self.total_load(entry)) / RANKS as f64;
        let limit = self.entries[entry].meter.pause_ms(now_ms);
        let limit = limit.map(|it| batch_limit(&engine(), GAP_OBJECTIVE_MS, it, mean));
        let limit = limit.filter(|it| *it < SLOTS as u32);
        self.start(caller, limit.unwrap_or(SLOTS as u32 + QUEUE_MAX), now_ms)
    }

    fn start_threshold(&mut self, caller: usize, now_ms: u64) -> bool {
        let (entry, priority) = (self.callers[caller].entry, self.callers[caller].priority);
        if let Rule::Constant(tenths) = self.rule {
            let running: usize = self.running.iter().map(Vec::len).sum();
            let bound = f64::from(tenths) / 10.0;
            return (running as f64) < bound * RANKS as f64
                && self.start(caller, bound.ceil() as u32 + 1, now_ms);
        }
        let running = f64::from(self.total_load(entry));
        let bound = self.entries[entry].bound.at(running / RANKS as f64, now_ms);
        let share = [1.0, 0.9, 0.8][priority];
        running < share * bound * RANKS as f64
            && self.start(caller, bound.ceil() as u32 + 1, now_ms)
    }

    /// Starts a request at the least loaded of some ranks.
    fn start(&mut self, caller: usize, load_max: u32, now_ms: u64) -> bool {
        let entry = self.callers[caller].entry;
        let mut best: Option<(f64, usize)> = None;
        for _ in 0..RANKS.div_ceil(ENTRIES).max(3) {
            let rank = self.rng.usize(0..RANKS);
            let load = self.load(entry, rank);
            let score = f64::from(load) + 0.3 * self.rng.f64();
            if load < load_max && best.is_none_or(|it| score < it.0) {
                best = Some((score, rank));
            }
        }
        let Some((_, rank)) = best else {
            return false;
        };
        self.entries[entry].loads[rank] += 1;
        self.running[rank].push(caller);
        self.callers[caller].rank = rank;
        self.callers[caller].started_ms = Some(now_ms);
        true
    }

    fn wait(
        &mut self,
        caller: usize,
        until_ms: u64,
        ticket: Option<Ticket>,
        admission_ticket: Option<AdmissionTicket>,
        start_tag: f64,
    ) {
        let entry = self.callers[caller].entry;
        let waiting = Waiting { caller, until_ms, ticket, admission_ticket, start_tag };
        self.entries[entry].waiting.push(waiting);
    }

    fn refuse(&mut self, caller: usize, after_ms: u64, now_ms: u64) {
        let time_left_ms = TIMEOUT_MS - (now_ms - self.callers[caller].arrived_ms) as f64;
        let caller_state = &mut self.callers[caller];
        caller_state.refused_ms.push(now_ms);
        caller_state.retry_after_ms.push(after_ms);
        if caller_state.attempts < 2 && after_ms as f64 <= time_left_ms / 3.0 {
            self.returns.entry(now_ms + after_ms.max(1)).or_default().push(caller);
        }
    }

    pub(super) fn poll(&mut self, now_ms: u64) {
        for entry in 0..ENTRIES {
            match self.rule {
                Rule::FairQueue => self.poll_fair(entry, now_ms),
                Rule::Threshold | Rule::Constant(_) => self.poll_threshold(entry, now_ms),
                Rule::FirstCome => self.poll_first_come(entry, now_ms),
                Rule::Reserve => self.poll_admissions(entry, now_ms),
            }
            self.give_up(entry, now_ms);
        }
    }

    fn poll_first_come(&mut self, entry: usize, now_ms: u64) {
        let state = &self.entries[entry];
        let first = state.waiting.iter().position(|it| state.queue.is_first(it.ticket.unwrap()));
        if let Some(first) = first
            && self.start_first_come(state.waiting[first].caller, now_ms)
        {
            let waiting = self.entries[entry].waiting.swap_remove(first);
            self.entries[entry].queue.leave(waiting.ticket.unwrap());
        }
    }

    fn poll_threshold(&mut self, entry: usize, now_ms: u64) {
        let key = |it: &Waiting| (self.callers[it.caller].priority, it.start_tag as u64);
        let mut order: Vec<(usize, u64, usize)> = Vec::new();
        for waiting in &self.entries[entry].waiting {
            let (priority, at_ms) = key(waiting);
            order.push((priority, at_ms, waiting.caller));
        }
        order.sort_unstable();
        for (_, _, caller) in order {
            if !self.start_threshold(caller, now_ms) {
                return;
            }
            self.entries[entry].waiting.retain(|it| it.caller != caller);
        }
    }

    fn poll_fair(&mut self, entry: usize, now_ms: u64) {
        loop {
            let waiting = self.entries[entry].waiting.iter();
            let first = waiting.min_by(|a, b| a.start_tag.total_cmp(&b.start_tag));
            let Some((caller, start_tag)) = first.map(|it| (it.caller, it.start_tag)) else {
                return;
            };
            let running = f64::from(self.total_load(entry));
            let bound = self.entries[entry].bound.at(running / RANKS as f64, now_ms);
            if running >= bound * RANKS as f64
                || !self.start(caller, bound.ceil() as u32 + 1, now_ms)
            {
                return;
            }
            self.entries[entry].virtual_time = start_tag;
            self.entries[entry].waiting.retain(|it| it.caller != caller);
        }
    }

    fn poll_admissions(&mut self, entry: usize, now_ms: u64) {
        let group = self.group_load(entry);
        self.entries[entry].admission.set_group(group);
        let mut tickets: Vec<(AdmissionTicket, usize)> = self.entries[entry]
            .waiting
            .iter()
            .map(|it| (it.admission_ticket.unwrap(), it.caller))
            .collect();
        tickets.sort_unstable();
        for (ticket, caller) in tickets {
            let mut rng = self.rng.fork();
            if !self.entries[entry].admission.may_start(ticket, now_ms, || rng.f64())
                || !self.start_if_admitted(caller, now_ms)
            {
                return;
            }
            self.entries[entry].admission.leave(ticket);
            self.entries[entry].waiting.retain(|it| it.caller != caller);
        }
    }

    fn give_up(&mut self, entry: usize, now_ms: u64) {
        while let Some(idx) =
            self.entries[entry].waiting.iter().position(|it| it.until_ms <= now_ms)
        {
            let waiting = self.entries[entry].waiting.swap_remove(idx);
            if let Some(ticket) = waiting.ticket {
                self.entries[entry].queue.leave(ticket);
            }
            let mut after_ms = self.rng.u64(250..900);
            if let Some(ticket) = waiting.admission_ticket {
                let admission_request = self.admission_request(waiting.caller, now_ms);
                let draw = self.rng.f64();
                let admission = &mut self.entries[entry].admission;
                admission.leave(ticket);
                let inputs = admission.inputs_for(&admission_request, now_ms);
                after_ms = admission.retry_after_ms(&admission_request, &inputs, now_ms, || draw);
            }
            self.refuse(waiting.caller, after_ms, now_ms);
        }
    }
}
