//! Refusals as sent to callers: problem details as in RFC 9457.

use bilberryloft_state::refusal::Reason;
use bilberryloft_state::refusal::RunState;
use serde::Deserialize;
use serde::Serialize;

/// Problem details of a refused request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// URN of the problem type, sent as `type`.
    #[serde(rename = "type")]
    pub kind: String,
    /// Short description of the problem type.
    pub title: String,
    /// HTTP status code.
    pub status: u16,
    /// Description of this occurrence of the problem.
    pub detail: String,
    /// Machine-readable reason for the refusal.
    pub reason: Reason,
    /// Whether the request ran, as far as is known.
    pub run: RunState,
    /// Time after which the caller may retry, in milliseconds; 0 means that the same request should not be retried.
    pub retry_after_ms: u64,
    /// Id of the request, for asking operators about it.
    pub request_id: String,
}

impl Problem {
    /// Creates the problem details of a refusal, without a request id.
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

    /// Sets the request id.
    pub fn with_request_id(mut self, request_id: &str) -> Problem {
        self.request_id = request_id.to_string();
        self
    }
}
