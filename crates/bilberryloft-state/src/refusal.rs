//! Why a request was refused, and what is known about whether it ran.

use serde::Deserialize;
use serde::Serialize;

/// What is known about the execution of a refused request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// No target has started it and none can start it any more.
    NotRun,
    /// A target has started it.
    Ran,
    /// Neither is known.
    Unknown,
}

/// Reason of a refusal, as callers see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// No team has the presented token.
    UnknownToken,
    /// The team may not use the model or service.
    NotAllowed,
    /// No target offers the model or service.
    NoTarget,
    /// The body is not what the interface asks for.
    BadRequest,
    /// The body or header is larger than allowed.
    TooLarge,
    /// Every candidate is at its bound.
    Busy,
    /// The team has as many requests open as it may.
    TeamLimit,
    /// The deadline can't be met or has passed.
    Deadline,
    /// The target leaves and takes no new work.
    Draining,
    /// The daemon stops and takes no new work.
    Stopping,
    /// The daemon could not confirm its configuration within its lease.
    ConfigurationUnconfirmed,
    /// The dispatch carried an older configuration than the agent has.
    ConfigurationStale,
    /// The agent has not yet reached the configuration of the dispatch.
    ConfigurationBehind,
    /// The dispatch names an earlier life of the agent.
    WrongIncarnation,
    /// The attempt was declared void before it started.
    Voided,
    /// The attempt is already known to the agent.
    Duplicate,
    /// The quorum for claims can't be reached.
    ClaimsUnavailable,
    /// The idempotency key was used before with another body.
    KeyReused,
    /// The request ran, and its answer is no longer held.
    AnswerGone,
    /// Contact with the target was lost after dispatch.
    ContactLost,
    /// The target failed while it ran the request.
    TargetFailed,
    /// The target can't be reached.
    TargetUnreachable,
    /// The request is under trial after a crash elsewhere.
    SuspectTrial,
    /// The request crashed two targets.
    Quarantined,
    /// The agent has no such attempt.
    NoSuchAttempt,
    /// The caller reads too slowly.
    SlowCaller,
    /// The caller has gone.
    Cancelled,
}

/// All reasons in the order of their wire numbers.
pub const REASONS: [Reason; 27] = [
    Reason::UnknownToken,
    Reason::NotAllowed,
    Reason::NoTarget,
    Reason::BadRequest,
    Reason::TooLarge,
    Reason::Busy,
    Reason::TeamLimit,
    Reason::Deadline,
    Reason::Draining,
    Reason::Stopping,
    Reason::ConfigurationUnconfirmed,
    Reason::ConfigurationStale,
    Reason::ConfigurationBehind,
    Reason::WrongIncarnation,
    Reason::Voided,
    Reason::Duplicate,
    Reason::ClaimsUnavailable,
    Reason::KeyReused,
    Reason::AnswerGone,
    Reason::ContactLost,
    Reason::TargetFailed,
    Reason::TargetUnreachable,
    Reason::SuspectTrial,
    Reason::Quarantined,
    Reason::NoSuchAttempt,
    Reason::SlowCaller,
    Reason::Cancelled,
];

impl Reason {
    /// Number of the reason between processes.
    pub fn wire_number(self) -> i32 {
        REASONS.iter().position(|it| *it == self).map_or(-1, |it| it as i32)
    }

    /// Reason of a wire number, if there is one.
    pub fn from_wire_number(number: i32) -> Option<Reason> {
        usize::try_from(number).ok().and_then(|it| REASONS.get(it).copied())
    }

    /// HTTP status that callers get with the reason.
    pub fn status(self) -> u16 {
        match self {
            Reason::UnknownToken => 401,
            Reason::NotAllowed => 403,
            Reason::NoTarget => 404,
            Reason::BadRequest => 400,
            Reason::TooLarge => 413,
            Reason::Busy | Reason::TeamLimit => 429,
            Reason::KeyReused | Reason::Quarantined => 422,
            Reason::Duplicate | Reason::AnswerGone => 409,
            Reason::Deadline | Reason::ContactLost => 504,
            Reason::TargetFailed => 502,
            Reason::SlowCaller | Reason::Cancelled => 408,
            Reason::NoSuchAttempt => 410,
            Reason::Draining
            | Reason::Stopping
            | Reason::ConfigurationUnconfirmed
            | Reason::ConfigurationStale
            | Reason::ConfigurationBehind
            | Reason::WrongIncarnation
            | Reason::Voided
            | Reason::ClaimsUnavailable
            | Reason::TargetUnreachable
            | Reason::SuspectTrial => 503,
        }
    }

    /// Snake-case name of the reason, as in JSON.
    pub fn name(self) -> String {
        serde_json::to_value(self)
            .ok()
            .and_then(|it| it.as_str().map(str::to_string))
            .unwrap_or_default()
    }
}

impl RunState {
    /// Number of the state between processes.
    pub fn wire_number(self) -> i32 {
        match self {
            RunState::NotRun => 0,
            RunState::Ran => 1,
            RunState::Unknown => 2,
        }
    }

    /// State of a wire number; an unknown number is `Unknown`.
    pub fn from_wire_number(number: i32) -> RunState {
        match number {
            0 => RunState::NotRun,
            1 => RunState::Ran,
            _ => RunState::Unknown,
        }
    }
}
