//! Claims for work that must not run twice, asked of the quorum before each dispatch.

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

use crate::agent::void_answer_from_number;
use crate::entry::request::Work;
use crate::entry::state::Entry;

/// Longest time for the quorum to answer a claim.
const CLAIM_LIMIT: Duration = Duration::from_millis(3_000);
/// Time for an agent to answer one question about an attempt.
const VOID_TRY: Duration = Duration::from_millis(500);
/// Pause between such questions.
const VOID_PAUSE: Duration = Duration::from_millis(50);
/// Time after which a caller should come back when claims can't be had, in milliseconds.
const CLAIMS_RETRY_AFTER_MS: u64 = 1_000;

/// Claim that a request holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct HeldClaim {
    pub request_id: String,
    pub attempt: u32,
}

/// Answer to the wish for a claim.
#[derive(Debug)]
pub(super) enum ClaimAnswer {
    /// The request holds the claim.
    Own(HeldClaim),
    /// Another request or attempt holds it.
    Others(Claim),
}

impl Entry {
    /// Claims work, or moves the claim from an attempt that is known never to start.
    pub(super) async fn claim(
        &self,
        work: &Work,
        key: &str,
        from: Option<&HeldClaim>,
        site: &ClaimSite,
    ) -> Result<ClaimAnswer, Problem> {
        let command = match from {
            None => Command::Claim {
                key: key.to_string(),
                request_id: work.request_id.clone(),
                fingerprint: work.body_digest,
                site: site.clone(),
            },
            Some(held) => Command::MoveClaim {
                key: key.to_string(),
                expected_request_id: held.request_id.clone(),
                expected_attempt: held.attempt,
                request_id: work.request_id.clone(),
                site: site.clone(),
            },
        };
        let limit = CLAIM_LIMIT.min(work.time_left());
        let outcome = self.control.propose(&command, limit).await;
        let unavailable = |detail: String| {
            Problem::new(Reason::ClaimsUnavailable, RunState::NotRun, CLAIMS_RETRY_AFTER_MS, detail)
        };
        match outcome {
            Ok(Outcome::Claim(outcome)) => judge_claim(work, from, site, outcome),
            Ok(other) => Err(unavailable(format!("the quorum answered {other:?}"))),
            Err(error) => Err(unavailable(error.to_string())),
        }
    }

    /// Gives a claim back whose attempt never started, so that the caller's resend need not ask an agent.
    pub(super) fn release_claim(&self, key: &str, held: &HeldClaim) {
        let control = self.control.clone();
        let command = Command::ReleaseClaim {
            key: key.to_string(),
            request_id: held.request_id.clone(),
            attempt: held.attempt,
        };
        tokio::spawn(async move {
            let _ = control.propose(&command, CLAIM_LIMIT).await;
        });
    }

    /// Asks an agent what became of an attempt, and has it void the attempt if it has not started.
    ///
    /// `None` when the agent could not be asked in time.
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
            let void = wire::Void::new(request_id.to_string(), attempt as i32, incarnation as i64);
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return None;
            }
            if let Ok(Body::VoidReply(reply)) =
                client.call(Body::VoidAttempt(void), left.min(VOID_TRY)).await
            {
                return void_answer_from_number(reply.attempt_state);
            }
            tokio::time::sleep(VOID_PAUSE.min(left)).await;
        }
    }
}

fn judge_claim(
    work: &Work,
    from: Option<&HeldClaim>,
    site: &ClaimSite,
    outcome: ClaimOutcome,
) -> Result<ClaimAnswer, Problem> {
    let own =
        |attempt: u32| ClaimAnswer::Own(HeldClaim { request_id: work.request_id.clone(), attempt });
    match outcome {
        ClaimOutcome::Granted { attempt } => Ok(own(attempt)),
        // A move whose first answer was lost finds its own result.
        ClaimOutcome::Held(claim) if is_own_move(work, from, site, &claim) => {
            Ok(own(claim.attempt))
        }
        ClaimOutcome::Held(claim) => Ok(ClaimAnswer::Others(claim)),
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
            "the table of claims is full",
        )),
        ClaimOutcome::Absent => Err(Problem::new(
            Reason::ClaimsUnavailable,
            RunState::NotRun,
            CLAIMS_RETRY_AFTER_MS,
            "the claim has run out",
        )),
    }
}

fn is_own_move(work: &Work, from: Option<&HeldClaim>, site: &ClaimSite, claim: &Claim) -> bool {
    let Some(from) = from else { return false };
    claim.request_id == work.request_id
        && claim.attempt == from.attempt + 1
        && claim.target == site.target
        && claim.agent_incarnation == site.agent_incarnation
}
