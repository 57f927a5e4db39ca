//! Claims on requests that must not run twice, acquired from the quorum before each dispatch.

use std::time::Duration;

use bilberryloft_coordination::attempts::VoidAnswer;
use bilberryloft_protocol::problem::Problem;
use bilberryloft_protocol::wire;
use bilberryloft_protocol::wire::Body;
use bilberryloft_state::claim::Claim;
use bilberryloft_state::claim::ClaimOutcome;
use bilberryloft_state::claim::ClaimSite;
use bilberryloft_state::refusal::Reason;
use bilberryloft_state::refusal::RunState;
use bilberryloft_state::state_machine::Command;
use bilberryloft_state::state_machine::Outcome;
use tokio::time::Instant;

use crate::agent::decode_void_answer;
use crate::entry::request::ParsedRequest;
use crate::entry::state::Entry;

/// Time for the quorum to respond to a claim command.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Time for an agent to respond to one void call.
const VOID_CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause between void calls that failed.
const VOID_RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Retry-after for callers when no claim can be acquired, in milliseconds.
const CLAIMS_RETRY_AFTER_MS: u64 = 1_000;

/// Identifies a claim by the request and attempt that hold it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct HeldClaim {
    pub request_id: String,
    pub attempt: u32,
}

/// Result of trying to acquire a claim.
#[derive(Debug)]
pub(super) enum ClaimResult {
    /// This request holds the claim.
    Acquired(HeldClaim),
    /// Another request or attempt holds the claim.
    HeldByOther(Claim),
}

impl Entry {
    /// Acquires the claim on a request, or moves it from the `previous` attempt.
    ///
    /// `previous` never started, or its request may run again.
    pub(super) async fn claim(
        &self,
        request: &ParsedRequest,
        key: &str,
        previous: Option<&HeldClaim>,
        site: &ClaimSite,
    ) -> Result<ClaimResult, Problem> {
        let command = match previous {
            None => Command::Claim {
                key: key.to_string(),
                request_id: request.request_id.clone(),
                fingerprint: request.body_digest,
                site: site.clone(),
            },
            Some(held) => Command::MoveClaim {
                key: key.to_string(),
                expected_request_id: held.request_id.clone(),
                expected_attempt: held.attempt,
                request_id: request.request_id.clone(),
                site: site.clone(),
            },
        };
        let timeout = CLAIM_TIMEOUT.min(request.time_left());
        let outcome = self.control.propose(&command, timeout).await;
        let unavailable = |detail: String| {
            Problem::new(Reason::ClaimsUnavailable, RunState::NotRun, CLAIMS_RETRY_AFTER_MS, detail)
        };
        match outcome {
            Ok(Outcome::Claim(outcome)) => {
                interpret_claim_outcome(request, previous, site, outcome)
            }
            Ok(other) => {
                Err(unavailable(format!("unexpected response from the quorum: {other:?}")))
            }
            Err(error) => Err(unavailable(error.to_string())),
        }
    }

    /// Releases a claim whose attempt never started or whose request may run again.
    ///
    /// A resend by the caller then need not ask an agent about the attempt.
    pub(super) fn release_claim(&self, key: &str, held: &HeldClaim) {
        let control = self.control.clone();
        let command = Command::ReleaseClaim {
            key: key.to_string(),
            request_id: held.request_id.clone(),
            attempt: held.attempt,
        };
        tokio::spawn(async move {
            let _ = control.propose(&command, CLAIM_TIMEOUT).await;
        });
    }

    /// Asks an agent for the state of an attempt; the agent voids the attempt if it has not started.
    ///
    /// Returns `None` when the agent did not respond before `until`.
    pub(super) async fn void_attempt(
        &self,
        address: &str,
        request_id: &str,
        attempt: u32,
        incarnation: u64,
        until: Instant,
    ) -> Option<VoidAnswer> {
        let client = self.client(address);
        loop {
            let void = wire::Void::new(
                request_id.to_string(),
                attempt.cast_signed(),
                incarnation.cast_signed(),
            );
            let remaining = until.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return None;
            }
            if let Ok(Body::VoidReply(reply)) =
                client.call(Body::VoidAttempt(void), remaining.min(VOID_CALL_TIMEOUT)).await
            {
                return decode_void_answer(reply.attempt_state);
            }
            tokio::time::sleep(VOID_RETRY_PAUSE.min(remaining)).await;
        }
    }
}

/// Converts the quorum's outcome of a claim or move into a result for the request.
fn interpret_claim_outcome(
    request: &ParsedRequest,
    previous: Option<&HeldClaim>,
    site: &ClaimSite,
    outcome: ClaimOutcome,
) -> Result<ClaimResult, Problem> {
    let acquired = |attempt: u32| {
        ClaimResult::Acquired(HeldClaim { request_id: request.request_id.clone(), attempt })
    };
    match outcome {
        ClaimOutcome::Granted { attempt } => Ok(acquired(attempt)),
        // An earlier try of this move succeeded, but its response was lost.
        ClaimOutcome::Held(claim) if is_own_move(request, previous, site, &claim) => {
            Ok(acquired(claim.attempt))
        }
        ClaimOutcome::Held(claim) => Ok(ClaimResult::HeldByOther(claim)),
        ClaimOutcome::KeyReused => Err(Problem::new(
            Reason::KeyReused,
            RunState::NotRun,
            0,
            "the idempotency key was used before with another body",
        )),
        ClaimOutcome::Full => Err(Problem::new(
            Reason::ClaimsUnavailable,
            RunState::NotRun,
            CLAIMS_RETRY_AFTER_MS,
            "the claim table is full",
        )),
        ClaimOutcome::Absent => Err(Problem::new(
            Reason::ClaimsUnavailable,
            RunState::NotRun,
            CLAIMS_RETRY_AFTER_MS,
            "the claim has expired",
        )),
    }
}

/// Whether a claim is already in the state that this move would bring about.
fn is_own_move(
    request: &ParsedRequest,
    previous: Option<&HeldClaim>,
    site: &ClaimSite,
    claim: &Claim,
) -> bool {
    let Some(previous) = previous else { return false };
    claim.request_id == request.request_id
        && claim.attempt == previous.attempt + 1
        && claim.target == site.target
        && claim.agent_incarnation == site.agent_incarnation
}
