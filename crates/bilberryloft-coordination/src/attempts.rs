//! Attempts known to an agent, so that no attempt starts twice or after it was voided.

use std::collections::BTreeMap;
use std::collections::VecDeque;

/// Time for which an ended attempt is remembered, in milliseconds.
pub const RETENTION_MS: u64 = 600_000;

/// State of one attempt at the agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptState {
    /// Admitted or queued; it may reach the target at any time.
    Running,
    /// The target gave a complete answer.
    Finished,
    /// The target failed, or the attempt was cancelled after it reached the target.
    Failed,
    /// It has not reached the target and never will.
    NotStarted,
}

/// Outcome of the start of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BeginOutcome {
    /// The attempt is new and may start.
    Start,
    /// The attempt was sent to another incarnation of the agent.
    WrongIncarnation,
    /// The attempt was voided before.
    Voided,
    /// The attempt is known and must not start again.
    Duplicate(AttemptState),
    /// The attempt is too old to tell whether it started before.
    Forgotten,
}

/// Answer to a request to void an attempt, that is, to make sure that it never starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VoidAnswer {
    /// The attempt has not started and never will.
    NotStarted,
    /// The attempt is running.
    Running,
    /// The attempt gave a complete answer.
    Finished,
    /// The attempt reached the target and failed.
    Failed,
    /// The attempt was sent to another incarnation of the agent; nothing is known about it.
    OtherIncarnation,
    /// The attempt is too old; nothing is known about it any more.
    Forgotten,
}

type AttemptKey = (String, u32);

/// All attempts of one incarnation of an agent. Ended attempts are forgotten after [`RETENTION_MS`] to bound the
/// memory. The table keeps the highest forgotten number per issuer of request ids; an unknown attempt up to that
/// number never starts.
#[derive(Debug)]
pub struct AttemptTable {
    incarnation: u64,
    states: BTreeMap<AttemptKey, AttemptState>,
    ended: VecDeque<(u64, AttemptKey)>,
    highest_forgotten: BTreeMap<String, u64>,
}

impl AttemptTable {
    /// Creates the table of one incarnation of the agent.
    pub fn new(incarnation: u64) -> AttemptTable {
        AttemptTable {
            incarnation,
            states: BTreeMap::new(),
            ended: VecDeque::new(),
            highest_forgotten: BTreeMap::new(),
        }
    }

    /// Starts an attempt unless it is known, voided or forgotten.
    pub fn begin(&mut self, request_id: &str, attempt: u32, incarnation: u64) -> BeginOutcome {
        if incarnation != self.incarnation {
            return BeginOutcome::WrongIncarnation;
        }
        let key = (request_id.to_string(), attempt);
        match self.states.get(&key) {
            Some(AttemptState::NotStarted) => BeginOutcome::Voided,
            Some(state) => BeginOutcome::Duplicate(*state),
            None if self.is_forgotten(request_id) => BeginOutcome::Forgotten,
            None => {
                self.states.insert(key, AttemptState::Running);
                BeginOutcome::Start
            }
        }
    }

    /// Records the end of an attempt with its final state.
    pub fn end(&mut self, request_id: &str, attempt: u32, state: AttemptState, now_ms: u64) {
        let key = (request_id.to_string(), attempt);
        self.states.insert(key.clone(), state);
        self.ended.push_back((now_ms, key));
        self.forget_old(now_ms);
    }

    /// Makes sure that an attempt never starts if it has not started yet.
    pub fn void(
        &mut self,
        request_id: &str,
        attempt: u32,
        incarnation: u64,
        now_ms: u64,
    ) -> VoidAnswer {
        if incarnation != self.incarnation {
            return VoidAnswer::OtherIncarnation;
        }
        match self.state(request_id, attempt) {
            Some(AttemptState::Running) => VoidAnswer::Running,
            Some(AttemptState::Finished) => VoidAnswer::Finished,
            Some(AttemptState::Failed) => VoidAnswer::Failed,
            Some(AttemptState::NotStarted) => VoidAnswer::NotStarted,
            None if self.is_forgotten(request_id) => VoidAnswer::Forgotten,
            None => {
                self.end(request_id, attempt, AttemptState::NotStarted, now_ms);
                VoidAnswer::NotStarted
            }
        }
    }

    /// State of an attempt, if it is known.
    pub fn state(&self, request_id: &str, attempt: u32) -> Option<AttemptState> {
        self.states.get(&(request_id.to_string(), attempt)).copied()
    }

    /// Number of attempts in the table.
    pub fn len(&self) -> usize {
        self.states.len()
    }

    /// Whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }

    fn is_forgotten(&self, request_id: &str) -> bool {
        let Some((issuer, number)) = split_request_id(request_id) else {
            return false;
        };
        self.highest_forgotten.get(issuer).is_some_and(|highest| number <= *highest)
    }

    fn forget_old(&mut self, now_ms: u64) {
        while let Some((ended_ms, _)) = self.ended.front() {
            if ended_ms + RETENTION_MS > now_ms {
                break;
            }
            let Some((_, key)) = self.ended.pop_front() else {
                break;
            };
            if let Some((issuer, number)) = split_request_id(&key.0) {
                let highest = self.highest_forgotten.entry(issuer.to_string()).or_default();
                *highest = number.max(*highest);
            }
            self.states.remove(&key);
        }
    }
}

/// Splits a request id into its issuer (one incarnation of an entry) and the issuer's sequence number.
pub fn split_request_id(request_id: &str) -> Option<(&str, u64)> {
    let (issuer, number) = request_id.rsplit_once('-')?;
    let number = u64::from_str_radix(number, 16).ok()?;
    Some((issuer, number))
}
