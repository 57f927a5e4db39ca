//! What an agent knows of each attempt, so that none starts twice or after it was declared void.

use std::collections::BTreeMap;
use std::collections::VecDeque;

/// Time for which an ended attempt is remembered in milliseconds.
pub const REMEMBER_MS: u64 = 600_000;

/// State of one attempt at the agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptState {
    /// Admitted or waiting; it may reach the target at any moment.
    Running,
    /// The target gave a whole answer.
    Finished,
    /// The target failed, or the attempt was cancelled after it reached the target.
    Failed,
    /// It never reached the target and never will.
    NotStarted,
}

/// Answer to an attempt that wants to begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BeginOutcome {
    /// It is new and may go on.
    Start,
    /// It names another life of the agent.
    WrongIncarnation,
    /// It was declared void.
    Voided,
    /// It is known and must not begin again.
    Duplicate(AttemptState),
    /// It is too old to tell whether it began before.
    Forgotten,
}

/// Answer to the wish that an attempt never starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VoidAnswer {
    /// It has not started and never will.
    NotStarted,
    /// It is under way.
    Running,
    /// It gave a whole answer.
    Finished,
    /// It reached the target and failed.
    Failed,
    /// It belongs to an earlier life of the agent; nothing is known of it.
    OtherIncarnation,
    /// It is too old; nothing is known of it any more.
    Forgotten,
}

type AttemptKey = (String, u32);

/// All attempts of one life of an agent. Memory is bounded by time; what is forgotten leaves a floor per
/// issuer of request ids, and an unknown attempt at or below its floor never starts.
#[derive(Debug)]
pub struct AttemptTable {
    incarnation: u64,
    states: BTreeMap<AttemptKey, AttemptState>,
    ended: VecDeque<(u64, AttemptKey)>,
    floors: BTreeMap<String, u64>,
}

impl AttemptTable {
    /// Starts a life of the agent.
    pub fn new(incarnation: u64) -> AttemptTable {
        AttemptTable {
            incarnation,
            states: BTreeMap::new(),
            ended: VecDeque::new(),
            floors: BTreeMap::new(),
        }
    }

    /// Asks to begin an attempt.
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

    /// Ends an attempt.
    pub fn end(&mut self, request_id: &str, attempt: u32, state: AttemptState, now_ms: u64) {
        let key = (request_id.to_string(), attempt);
        self.states.insert(key.clone(), state);
        self.ended.push_back((now_ms, key));
        self.forget(now_ms);
    }

    /// Makes sure that an attempt never starts, if it has not.
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

    /// Number of attempts remembered.
    pub fn len(&self) -> usize {
        self.states.len()
    }

    /// Whether none is remembered.
    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }

    fn is_forgotten(&self, request_id: &str) -> bool {
        let Some((issuer, number)) = split_request_id(request_id) else {
            return false;
        };
        self.floors.get(issuer).is_some_and(|floor| number <= *floor)
    }

    fn forget(&mut self, now_ms: u64) {
        while let Some((ended_ms, _)) = self.ended.front() {
            if ended_ms + REMEMBER_MS > now_ms {
                break;
            }
            let Some((_, key)) = self.ended.pop_front() else {
                break;
            };
            if let Some((issuer, number)) = split_request_id(&key.0) {
                let floor = self.floors.entry(issuer.to_string()).or_default();
                *floor = number.max(*floor);
            }
            self.states.remove(&key);
        }
    }
}

/// Splits a request id into its issuer (a life of an entry) and the issuer's running number.
pub fn split_request_id(request_id: &str) -> Option<(&str, u64)> {
    let (issuer, number) = request_id.rsplit_once('-')?;
    let number = u64::from_str_radix(number, 16).ok()?;
    Some((issuer, number))
}
