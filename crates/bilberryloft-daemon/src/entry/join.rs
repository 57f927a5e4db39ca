//! Joining the attempt of another request that holds the claim on the same work.

use std::sync::Arc;

use bilberryloft_coordination::attempts::VoidAnswer;
use bilberryloft_protocol::problem::Problem;
use bilberryloft_state::claim::Claim;
use bilberryloft_state::refusal::Reason;
use bilberryloft_state::refusal::RunState;
use tokio::time::Instant;

use crate::entry::answer_reader::AnswerReader;
use crate::entry::answer_reader::AttemptRef;
use crate::entry::claims::HeldClaim;
use crate::entry::request::ParsedRequest;
use crate::entry::started_answer::NO_TARGET_RETRY_AFTER_MS;
use crate::entry::started_answer::RESOLVE_TIMEOUT_AT_MOST_ONCE;
use crate::entry::started_answer::StartedAnswer;
use crate::entry::started_answer::read_answer_start;
use crate::entry::state::Entry;

/// Result of joining the attempt that holds a claim.
pub(super) enum JoinResult {
    /// The attempt's answer.
    Answer(Box<StartedAnswer>),
    /// The attempt never started, so its claim can be moved.
    NeverStarted(HeldClaim),
}

impl Entry {
    /// Joins the attempt that holds the claim, or finds out that it never started.
    pub(super) async fn join(
        self: &Arc<Self>,
        request: &ParsedRequest,
        claim: Claim,
    ) -> Result<JoinResult, Problem> {
        let until = (Instant::now() + RESOLVE_TIMEOUT_AT_MOST_ONCE).min(request.deadline);
        let (address, incarnation) = (&claim.agent_address, claim.agent_incarnation);
        let answer =
            self.void_attempt(address, &claim.request_id, claim.attempt, incarnation, until).await;
        let held = HeldClaim { request_id: claim.request_id.clone(), attempt: claim.attempt };
        match answer {
            Some(VoidAnswer::NotStarted) => Ok(JoinResult::NeverStarted(held)),
            Some(VoidAnswer::Running | VoidAnswer::Finished | VoidAnswer::Failed) => {
                let started = self.attach(request, &claim).await?;
                Ok(JoinResult::Answer(Box::new(started)))
            }
            Some(VoidAnswer::OtherIncarnation | VoidAnswer::Forgotten) => Err(Problem::new(
                Reason::AnswerGone,
                RunState::Unknown,
                0,
                format!(
                    "the request was dispatched to {}, whose agent has restarted since or no longer knows the attempt",
                    claim.target
                ),
            )),
            None => Err(Problem::new(
                Reason::ContactLost,
                RunState::Unknown,
                NO_TARGET_RETRY_AFTER_MS,
                format!(
                    "the request was dispatched to {}, whose agent can't be reached now",
                    claim.target
                ),
            )),
        }
    }

    async fn attach(
        self: &Arc<Self>,
        request: &ParsedRequest,
        claim: &Claim,
    ) -> Result<StartedAnswer, Problem> {
        let outcome =
            format!("joined {} attempt {} at {}", claim.request_id, claim.attempt, claim.target);
        self.push_record(self.new_record(
            request,
            "join",
            claim.attempt,
            Vec::new(),
            "same_work_is_claimed",
            outcome,
        ));
        let attempt_ref = AttemptRef {
            target: claim.target.clone(),
            request_id: claim.request_id.clone(),
            attempt: claim.attempt,
            team: request.policy.team.clone(),
            deadline: request.deadline,
        };
        let client = self.client(&claim.agent_address);
        read_answer_start(
            AnswerReader::new(self.clone(), client, None, attempt_ref, None, None, 0),
            request.is_streamed,
        )
        .await
    }
}
