//! Refusals as callers see them: problem documents after RFC 9457.

use bilberryloft_state::refusal::Reason;
use bilberryloft_state::refusal::RunState;
use serde::Deserialize;
use serde::Serialize;

/// A refusal with everything that a caller needs to act on it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// Name of the kind of problem.
    #[serde(rename = "type")]
    pub kind: String,
    /// Short text.
    pub title: String,
    /// HTTP status.
    pub status: u16,
    /// What happened.
    pub detail: String,
    /// Machine-readable reason.
    pub reason: Reason,
    /// Whether the request ran.
    pub run: RunState,
    /// Time after which it makes sense to come back, in milliseconds; 0 means "do not repeat as it is".
    pub retry_after_ms: u64,
    /// Id to ask about.
    pub request_id: String,
}

impl Problem {
    /// Makes a refusal.
    pub fn new(
        reason: Reason,
        run: RunState,
        retry_after_ms: u64,
        detail: impl Into<String>,
    ) -> Problem {
        Problem {
            kind: format!("urn:bilberryloft:{}", reason.name()),
            title: reason.name().replace('_', " "),
            status: reason.status(),
            detail: detail.into(),
            reason,
            run,
            retry_after_ms,
            request_id: String::new(),
        }
    }

    /// Adds the request id.
    pub fn with_request_id(mut self, request_id: &str) -> Problem {
        self.request_id = request_id.to_string();
        self
    }
}
