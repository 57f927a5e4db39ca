//! Reasons for refusing a request, and whether the refused request ran.

use serde::Deserialize;
use serde::Serialize;

/// Whether a refused request ran, as far as is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// No target has started the request, and none can still start it.
    NotRun,
    /// A target has started the request.
    Ran,
    /// It is not known whether a target has started the request.
    Unknown,
}

/// Reason for a refusal, as sent to callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// No team has the presented token.
    UnknownToken,
    /// The team may not use the model or service.
    NotAllowed,
    /// No target offers the model or service.
    NoTarget,
    /// The request or its body is malformed.
    BadRequest,
    /// The body or header is larger than allowed.
    TooLarge,
    /// Every candidate target is at its limit of requests.
    Busy,
    /// The team has reached its limit of open requests.
    TeamLimit,
    /// The deadline has passed or can't be met.
    Deadline,
    /// The target is draining and takes no new requests.
    Draining,
    /// The daemon is stopping and takes no new requests.
    Stopping,
    /// The daemon's configuration lease has expired without confirmation by a quorum.
    ConfigurationUnconfirmed,
    /// The dispatch was based on an older configuration than the agent has.
    ConfigurationStale,
    /// The agent does not yet have the configuration that the dispatch was based on.
    ConfigurationBehind,
    /// The dispatch was addressed to an earlier incarnation of the agent.
    WrongIncarnation,
    /// The attempt was voided before it started.
    Voided,
    /// The agent has already received the attempt.
    Duplicate,
    /// The quorum that grants claims can't be reached.
    ClaimsUnavailable,
    /// The idempotency key was used before with another body.
    KeyReused,
    /// The request ran, but its answer is no longer stored.
    AnswerGone,
    /// Contact with the target was lost after the dispatch.
    ContactLost,
    /// The target failed while it ran the request.
    TargetFailed,
    /// The target can't be reached.
    TargetUnreachable,
    /// The request is suspect after a crash, and its trial can't start, for example because another one is running.
    SuspectTrial,
    /// The request was in flight at two crashes of targets and is quarantined.
    Quarantined,
    /// The agent has no such attempt.
    NoSuchAttempt,
    /// The caller reads its answer too slowly.
    SlowCaller,
    /// The caller disconnected or cancelled the request.
    Cancelled,
}

/// All reasons; the index of a reason is its wire number.
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
    /// Number of the reason in messages between processes.
    pub fn wire_number(self) -> i32 {
        REASONS
            .iter()
            .position(|it| *it == self)
            .and_then(|it| i32::try_from(it).ok())
            .unwrap_or(-1)
    }

    /// Reason with a wire number, if there is one.
    pub fn from_wire_number(number: i32) -> Option<Reason> {
        usize::try_from(number).ok().and_then(|it| REASONS.get(it).copied())
    }

    /// HTTP status of a refusal for this reason.
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

    /// Name of the reason in snake case, as in JSON.
    pub fn name(self) -> String {
        serde_json::to_value(self)
            .ok()
            .and_then(|it| it.as_str().map(str::to_string))
            .unwrap_or_default()
    }
}

impl RunState {
    /// Number of the state in messages between processes.
    pub fn wire_number(self) -> i32 {
        match self {
            RunState::NotRun => 0,
            RunState::Ran => 1,
            RunState::Unknown => 2,
        }
    }

    /// State with a wire number; any other number gives `Unknown`.
    pub fn from_wire_number(number: i32) -> RunState {
        match number {
            0 => RunState::NotRun,
            1 => RunState::Ran,
            _ => RunState::Unknown,
        }
    }
}
