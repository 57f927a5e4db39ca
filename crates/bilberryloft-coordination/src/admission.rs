//! Admission at an agent: which request goes to the target next, and which is refused immediately.
//!
//! The queue is ordered by start-time fair queueing (Goyal, Vin and Cheng, 1996) among teams, measured in tokens of
//! work as in the virtual token counter for language models (Sheng et al., OSDI 2024).

use std::collections::BTreeMap;

/// Tokens per unit of weight by which each priority class is queued behind the next more urgent one: a team of weight
/// 10 gets at most 2,000 tokens of work served before a class that is one step less urgent.
pub const PRIORITY_STEP_TOKENS_PER_WEIGHT: u64 = 200;
/// Average bytes of text per token, for estimates of work.
pub const BYTES_PER_TOKEN: u64 = 4;
/// Fixed-point scale of the virtual time.
const VIRTUAL_SCALE: u64 = 1_000;
/// Weight of a new measurement in the smoothed time per token.
const SERVICE_TIME_GAIN: f64 = 0.1;

/// A request for a slot at the target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotRequest {
    /// Id chosen by the caller.
    pub id: u64,
    /// Team that the request belongs to.
    pub team: String,
    /// Weight of the team.
    pub weight: u32,
    /// Priority class; 0 is the most urgent.
    pub priority: u8,
    /// Estimated work in tokens.
    pub work_tokens: u64,
    /// Deadline of the answer, in milliseconds.
    pub deadline_ms: u64,
    /// Time of arrival in milliseconds.
    pub arrived_ms: u64,
    /// Whether it must run alone at the target, as the trial run of a request suspected of crashing targets must.
    pub is_exclusive: bool,
}

/// Outcome of a slot request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdmissionOutcome {
    /// The request may go to the target now.
    Run,
    /// The request is queued; `evicted` was removed from the full queue to make room and is refused.
    Wait {
        /// Request that was removed from the queue.
        evicted: Option<u64>,
    },
    /// The queue is full.
    Busy,
    /// The request would not be answered before its deadline.
    TooLate,
}

/// Slots and queue of one target.
#[derive(Debug)]
pub struct Admission {
    slots: u32,
    queue_max: usize,
    running: BTreeMap<u64, Running>,
    exclusive: Option<u64>,
    /// Waiting requests by start tag and id.
    queue: BTreeMap<(u64, u64), SlotRequest>,
    /// Start tag of each waiting request, by id.
    start_tags: BTreeMap<u64, u64>,
    /// Finish tag of the latest request of each team.
    finish_tags: BTreeMap<String, u64>,
    virtual_time: u64,
    queued_tokens: u64,
    /// Smoothed time at the target per token of work, in milliseconds.
    token_ms: f64,
}

#[derive(Clone, Copy, Debug)]
struct Running {
    started_ms: u64,
    work_tokens: u64,
}

/// Requests that left the queue.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Dequeued {
    /// Requests that go to the target now.
    pub start: Vec<u64>,
    /// Requests that can no longer be answered before their deadline and are refused.
    pub late: Vec<u64>,
}

impl Admission {
    /// Creates an empty queue with all slots free.
    pub fn new(slots: u32, queue_max: usize) -> Admission {
        Admission {
            slots,
            queue_max,
            running: BTreeMap::new(),
            exclusive: None,
            queue: BTreeMap::new(),
            start_tags: BTreeMap::new(),
            finish_tags: BTreeMap::new(),
            virtual_time: 0,
            queued_tokens: 0,
            token_ms: 0.0,
        }
    }

    /// Number of requests that may run at the target concurrently.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Sets how many requests may run at the target concurrently.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots;
    }

    /// Number of requests running at the target.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Number of queued requests.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Queued work in tokens.
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
        // On average, half of the work of the running requests is left.
        let tokens = tokens_ahead as f64 + running_tokens as f64 / 2.0;
        (tokens * self.token_ms / f64::from(self.slots.max(1))) as u64
    }

    fn expected_service_ms(&self, request: &SlotRequest) -> u64 {
        (request.work_tokens as f64 * self.token_ms) as u64
    }

    /// Admits, queues or refuses a new request.
    pub fn request_slot(&mut self, request: SlotRequest) -> AdmissionOutcome {
        if self.queue.is_empty() && self.has_room_for(&request) {
            let tag = self.charge(&request);
            let arrived_ms = request.arrived_ms;
            self.start(&request, tag, arrived_ms);
            return AdmissionOutcome::Run;
        }
        let tag = self.start_tag(&request);
        let tokens_ahead =
            self.queue.range(..(tag, request.id)).map(|(_, it)| it.work_tokens).sum();
        let wait_ms = self.wait_behind_ms(tokens_ahead) + self.expected_service_ms(&request);
        if request.arrived_ms + wait_ms >= request.deadline_ms {
            return AdmissionOutcome::TooLate;
        }
        if self.queue.len() < self.queue_max {
            self.enqueue(tag, request);
            return AdmissionOutcome::Wait { evicted: None };
        }
        match self.queue.last_key_value() {
            // Most requests in a full queue, the last one included, belong to the team that is furthest ahead of its
            // share. A request with an earlier start tag evicts the last one.
            Some((last, _)) if last.0 > tag => {
                let (_, evicted) = self.pop_last();
                self.enqueue(tag, request);
                AdmissionOutcome::Wait { evicted: Some(evicted) }
            }
            Some(_) | None => AdmissionOutcome::Busy,
        }
    }

    fn has_room_for(&self, request: &SlotRequest) -> bool {
        let is_free = self.running.len() < self.slots as usize && self.exclusive.is_none();
        is_free && (!request.is_exclusive || self.running.is_empty())
    }

    /// Virtual start time of a request: the finish tag of its team's previous request, or the virtual time if that is
    /// later, plus the offset of its priority class.
    fn start_tag(&self, request: &SlotRequest) -> u64 {
        let team_finish = self.finish_tags.get(&request.team).copied().unwrap_or(0);
        let class_offset =
            u64::from(request.priority) * PRIORITY_STEP_TOKENS_PER_WEIGHT * VIRTUAL_SCALE;
        self.virtual_time.max(team_finish) + class_offset
    }

    /// Adds the work of a request to its team's finish tag; returns the request's start tag.
    fn charge(&mut self, request: &SlotRequest) -> u64 {
        let tag = self.start_tag(request);
        let team_finish = self.finish_tags.get(&request.team).copied().unwrap_or(0);
        let cost = request.work_tokens.max(1) * VIRTUAL_SCALE / u64::from(request.weight.max(1));
        self.finish_tags.insert(request.team.clone(), self.virtual_time.max(team_finish) + cost);
        tag
    }

    fn enqueue(&mut self, tag: u64, request: SlotRequest) {
        self.charge(&request);
        self.queued_tokens += request.work_tokens;
        self.start_tags.insert(request.id, tag);
        self.queue.insert((tag, request.id), request);
    }

    fn pop_last(&mut self) -> (u64, u64) {
        let Some(((tag, id), request)) = self.queue.pop_last() else {
            return (0, 0);
        };
        self.refund(&request);
        self.start_tags.remove(&id);
        (tag, id)
    }

    /// Reverts the accounting of a queued request that leaves the queue without running.
    fn refund(&mut self, request: &SlotRequest) {
        self.queued_tokens -= request.work_tokens;
        let cost = request.work_tokens.max(1) * VIRTUAL_SCALE / u64::from(request.weight.max(1));
        if let Some(finish) = self.finish_tags.get_mut(&request.team) {
            *finish = finish.saturating_sub(cost);
        }
    }

    fn start(&mut self, request: &SlotRequest, tag: u64, now_ms: u64) {
        self.virtual_time = self.virtual_time.max(tag);
        let running = Running { started_ms: now_ms, work_tokens: request.work_tokens };
        self.running.insert(request.id, running);
        if request.is_exclusive {
            self.exclusive = Some(request.id);
        }
    }

    /// Frees the slot of a finished request and returns the requests that leave the queue.
    pub fn finish(&mut self, id: u64, now_ms: u64) -> Dequeued {
        if let Some(running) = self.running.remove(&id) {
            let service_ms = now_ms.saturating_sub(running.started_ms) as f64;
            let token_ms = service_ms / running.work_tokens.max(1) as f64;
            self.token_ms += SERVICE_TIME_GAIN * (token_ms - self.token_ms);
        }
        if self.exclusive == Some(id) {
            self.exclusive = None;
        }
        self.start_waiting(now_ms)
    }

    /// Removes and returns the queued requests that may start now and those that can no longer meet their deadline.
    pub fn start_waiting(&mut self, now_ms: u64) -> Dequeued {
        let mut dequeued = Dequeued::default();
        // An exclusive request at the head blocks those behind it; otherwise the target might never become empty.
        while let Some((key, request)) = self.queue.pop_first() {
            let is_late = now_ms + self.expected_service_ms(&request) >= request.deadline_ms;
            if !is_late && !self.has_room_for(&request) {
                self.queue.insert(key, request);
                break;
            }
            self.start_tags.remove(&request.id);
            if is_late {
                self.refund(&request);
                dequeued.late.push(request.id);
            } else {
                self.queued_tokens -= request.work_tokens;
                self.start(&request, key.0, now_ms);
                dequeued.start.push(request.id);
            }
        }
        self.drop_idle_teams();
        dequeued
    }

    /// Drops the state of teams whose finish tag is not ahead of the virtual time; it no longer has an effect.
    fn drop_idle_teams(&mut self) {
        let virtual_time = self.virtual_time;
        if self.queue.is_empty() {
            self.finish_tags.retain(|_, finish| *finish > virtual_time);
        }
    }

    /// Removes a queued request; returns whether it was queued. Requests behind it may start at the next call of
    /// [`Admission::start_waiting`].
    pub fn withdraw(&mut self, id: u64) -> bool {
        let Some(tag) = self.start_tags.remove(&id) else {
            return false;
        };
        if let Some(request) = self.queue.remove(&(tag, id)) {
            self.refund(&request);
        }
        true
    }

    /// Removes and returns the queued requests whose deadline has passed.
    pub fn take_expired(&mut self, now_ms: u64) -> Vec<u64> {
        let expired: Vec<u64> =
            self.queue.values().filter(|it| it.deadline_ms <= now_ms).map(|it| it.id).collect();
        for id in &expired {
            self.withdraw(*id);
        }
        expired
    }
}
