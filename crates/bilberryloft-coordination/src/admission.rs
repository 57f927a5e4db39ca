//! Admission at an agent: which request goes to the target next, and which is refused at once.
//!
//! Order is start-time fair queueing (Goyal, Vin and Cheng, 1996) by tokens of work among teams, as the
//! virtual token counter does for language models (Sheng et al., OSDI 2024).

use std::collections::BTreeMap;

/// Tokens a unit of weight by which each class of urgency stands behind the one before it: a team of
/// weight 10 gets at most 2,000 tokens of work served before a class that is one step less urgent.
pub const CLASS_STEP_TOKENS_PER_WEIGHT: u64 = 200;
/// Bytes of text that make about one token, for estimates of work.
pub const BYTES_PER_TOKEN: u64 = 4;
/// Fixed-point factor of virtual time.
const VIRTUAL_SCALE: u64 = 1_000;
/// Share of a new measurement in the smoothed time for a token.
const SERVICE_TIME_GAIN: f64 = 0.1;

/// One request that asks for a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotRequest {
    /// Number that the caller gave it.
    pub id: u64,
    /// Team.
    pub team: String,
    /// Weight of the team.
    pub weight: u32,
    /// Class of urgency, 0 is most urgent.
    pub priority: u8,
    /// Estimated work in tokens.
    pub work_tokens: u64,
    /// Time by which it must be answered, in milliseconds.
    pub deadline_ms: u64,
    /// Time of arrival in milliseconds.
    pub arrived_ms: u64,
    /// Whether it must be alone at the target, as a suspect on trial must.
    pub is_exclusive: bool,
}

/// Answer to an ask.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdmissionOutcome {
    /// It may go to the target now.
    Run,
    /// It waits; `evicted` had to make room and is refused.
    Wait {
        /// Request that lost its place.
        evicted: Option<u64>,
    },
    /// The queue is full.
    Busy,
    /// It would be too late.
    TooLate,
}

/// Slots and queue of one target.
#[derive(Debug)]
pub struct Admission {
    slots: u32,
    queue_max: usize,
    running: BTreeMap<u64, Running>,
    exclusive: Option<u64>,
    queue: BTreeMap<(u64, u64), SlotRequest>,
    tag_of: BTreeMap<u64, u64>,
    finish_of_team: BTreeMap<String, u64>,
    virtual_time: u64,
    queued_tokens: u64,
    /// Smoothed time at the target for each token of work, in milliseconds.
    token_ms: f64,
}

#[derive(Clone, Copy, Debug)]
struct Running {
    started_ms: u64,
    work_tokens: u64,
}

/// Requests whose wait is over.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Dequeued {
    /// Those that go to the target now.
    pub start: Vec<u64>,
    /// Those that could no longer be answered in time, and are refused.
    pub late: Vec<u64>,
}

impl Admission {
    /// Starts with free slots.
    pub fn new(slots: u32, queue_max: usize) -> Admission {
        Admission {
            slots,
            queue_max,
            running: BTreeMap::new(),
            exclusive: None,
            queue: BTreeMap::new(),
            tag_of: BTreeMap::new(),
            finish_of_team: BTreeMap::new(),
            virtual_time: 0,
            queued_tokens: 0,
            token_ms: 0.0,
        }
    }

    /// Requests that may be at the target.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Changes how many requests may be at the target.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots;
    }

    /// Number of requests at the target.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Number of requests that wait.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Work that waits, in tokens.
    pub fn queued_tokens(&self) -> u64 {
        self.queued_tokens
    }

    /// Expected time until a request of a team with its full share would start, in milliseconds.
    pub fn expected_wait_ms(&self) -> u64 {
        self.wait_behind_ms(self.queued_tokens)
    }

    /// Expected time until the target is free after the given queued work.
    fn wait_behind_ms(&self, tokens_ahead: u64) -> u64 {
        if self.running.len() < self.slots as usize {
            return 0;
        }
        let running_tokens: u64 = self.running.values().map(|it| it.work_tokens).sum();
        // What runs is half done on average.
        let tokens = tokens_ahead as f64 + running_tokens as f64 / 2.0;
        (tokens * self.token_ms / f64::from(self.slots.max(1))) as u64
    }

    fn expected_service_ms(&self, ask: &SlotRequest) -> u64 {
        (ask.work_tokens as f64 * self.token_ms) as u64
    }

    /// Takes a new request.
    pub fn request_slot(&mut self, ask: SlotRequest) -> AdmissionOutcome {
        if self.queue.is_empty() && self.has_room_for(&ask) {
            let tag = self.charge(&ask);
            let arrived_ms = ask.arrived_ms;
            self.start(&ask, tag, arrived_ms);
            return AdmissionOutcome::Run;
        }
        let tag = self.start_tag(&ask);
        let tokens_ahead = self.queue.range(..(tag, ask.id)).map(|(_, it)| it.work_tokens).sum();
        let wait_ms = self.wait_behind_ms(tokens_ahead) + self.expected_service_ms(&ask);
        if ask.arrived_ms + wait_ms >= ask.deadline_ms {
            return AdmissionOutcome::TooLate;
        }
        if self.queue.len() < self.queue_max {
            self.enqueue(tag, ask);
            return AdmissionOutcome::Wait { evicted: None };
        }
        match self.queue.last_key_value() {
            // The queue is full of requests, most of them from the team that is furthest ahead of its share.
            Some((last, _)) if last.0 > tag => {
                let (_, evicted) = self.pop_last();
                self.enqueue(tag, ask);
                AdmissionOutcome::Wait { evicted: Some(evicted) }
            }
            Some(_) | None => AdmissionOutcome::Busy,
        }
    }

    fn has_room_for(&self, ask: &SlotRequest) -> bool {
        let is_free = self.running.len() < self.slots as usize && self.exclusive.is_none();
        is_free && (!ask.is_exclusive || self.running.is_empty())
    }

    fn start_tag(&self, ask: &SlotRequest) -> u64 {
        let behind = self.finish_of_team.get(&ask.team).copied().unwrap_or(0);
        let class = u64::from(ask.priority) * CLASS_STEP_TOKENS_PER_WEIGHT * VIRTUAL_SCALE;
        self.virtual_time.max(behind) + class
    }

    fn charge(&mut self, ask: &SlotRequest) -> u64 {
        let tag = self.start_tag(ask);
        let behind = self.finish_of_team.get(&ask.team).copied().unwrap_or(0);
        let cost = ask.work_tokens.max(1) * VIRTUAL_SCALE / u64::from(ask.weight.max(1));
        self.finish_of_team.insert(ask.team.clone(), self.virtual_time.max(behind) + cost);
        tag
    }

    fn enqueue(&mut self, tag: u64, ask: SlotRequest) {
        self.charge(&ask);
        self.queued_tokens += ask.work_tokens;
        self.tag_of.insert(ask.id, tag);
        self.queue.insert((tag, ask.id), ask);
    }

    fn pop_last(&mut self) -> (u64, u64) {
        let Some(((tag, id), ask)) = self.queue.pop_last() else {
            return (0, 0);
        };
        self.refund(&ask);
        self.tag_of.remove(&id);
        (tag, id)
    }

    fn refund(&mut self, ask: &SlotRequest) {
        self.queued_tokens -= ask.work_tokens;
        let cost = ask.work_tokens.max(1) * VIRTUAL_SCALE / u64::from(ask.weight.max(1));
        if let Some(finish) = self.finish_of_team.get_mut(&ask.team) {
            *finish = finish.saturating_sub(cost);
        }
    }

    fn start(&mut self, ask: &SlotRequest, tag: u64, now_ms: u64) {
        self.virtual_time = self.virtual_time.max(tag);
        let running = Running { started_ms: now_ms, work_tokens: ask.work_tokens };
        self.running.insert(ask.id, running);
        if ask.is_exclusive {
            self.exclusive = Some(ask.id);
        }
    }

    /// Frees the slot of a request and returns those whose wait is over.
    pub fn finish(&mut self, id: u64, now_ms: u64) -> Dequeued {
        if let Some(running) = self.running.remove(&id) {
            let took_ms = now_ms.saturating_sub(running.started_ms) as f64;
            let token_ms = took_ms / running.work_tokens.max(1) as f64;
            self.token_ms += SERVICE_TIME_GAIN * (token_ms - self.token_ms);
        }
        if self.exclusive == Some(id) {
            self.exclusive = None;
        }
        self.start_waiting(now_ms)
    }

    /// Returns those that may go now, and those for which it is too late to be answered in time.
    pub fn start_waiting(&mut self, now_ms: u64) -> Dequeued {
        let mut next = Dequeued::default();
        // An exclusive request at the head holds up those behind it, or it would never find the target empty.
        while let Some((key, ask)) = self.queue.pop_first() {
            let is_late = now_ms + self.expected_service_ms(&ask) >= ask.deadline_ms;
            if !is_late && !self.has_room_for(&ask) {
                self.queue.insert(key, ask);
                break;
            }
            self.tag_of.remove(&ask.id);
            if is_late {
                self.refund(&ask);
                next.late.push(ask.id);
            } else {
                self.queued_tokens -= ask.work_tokens;
                self.start(&ask, key.0, now_ms);
                next.start.push(ask.id);
            }
        }
        self.drop_idle_teams();
        next
    }

    /// Teams whose share has caught up with everybody's need no state.
    fn drop_idle_teams(&mut self) {
        let virtual_time = self.virtual_time;
        if self.queue.is_empty() {
            self.finish_of_team.retain(|_, finish| *finish > virtual_time);
        }
    }

    /// Takes a waiting request out; returns whether it was waiting. Those behind it may start with the next
    /// call of [`Admission::start_waiting`].
    pub fn withdraw(&mut self, id: u64) -> bool {
        let Some(tag) = self.tag_of.remove(&id) else {
            return false;
        };
        if let Some(ask) = self.queue.remove(&(tag, id)) {
            self.refund(&ask);
        }
        true
    }

    /// Takes out the waiting requests whose deadline has passed.
    pub fn take_expired(&mut self, now_ms: u64) -> Vec<u64> {
        let expired: Vec<u64> =
            self.queue.values().filter(|it| it.deadline_ms <= now_ms).map(|it| it.id).collect();
        for id in &expired {
            self.withdraw(*id);
        }
        expired
    }
}
