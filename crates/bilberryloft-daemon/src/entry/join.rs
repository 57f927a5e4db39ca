//! Joining work that another request or attempt has claimed.

use std::sync::Arc;

use bilberryloft_coordination::attempts::VoidAnswer;
use bilberryloft_protocol::problem::Problem;
use bilberryloft_state::claim::Claim;
use bilberryloft_state::refusal::Reason;
use bilberryloft_state::refusal::RunState;
use tokio::time::Instant;

use crate::entry::answer::AnswerSource;
use crate::entry::answer::AttemptName;
use crate::entry::attempt::NO_TARGET_RETRY_AFTER_MS;
use crate::entry::attempt::SETTLE_AT_MOST_ONCE;
use crate::entry::attempt::Started;
use crate::entry::attempt::start;
use crate::entry::claims::HeldClaim;
use crate::entry::request::Work;
use crate::entry::state::Entry;

/// What becomes of an attempt that another request holds.
pub(super) enum Joined {
    Answer(Box<Started>),
    Free(HeldClaim),
}

impl Entry {
    /// Joins the attempt that holds the claim, or learns that it never started.
    pub(super) async fn join(
        self: &Arc<Self>,
        work: &Work,
        claim: Claim,
    ) -> Result<Joined, Problem> {
        let until = (Instant::now() + SETTLE_AT_MOST_ONCE).min(work.due);
        let (address, incarnation) = (&claim.agent_address, claim.agent_incarnation);
        let answer =
            self.void_attempt(address, &claim.request_id, claim.attempt, incarnation, until).await;
        let held = HeldClaim { request_id: claim.request_id.clone(), attempt: claim.attempt };
        match answer {
            Some(VoidAnswer::NotStarted) => Ok(Joined::Free(held)),
            Some(VoidAnswer::Running | VoidAnswer::Finished | VoidAnswer::Failed) => {
                let started = self.attach(work, &claim).await?;
                Ok(Joined::Answer(Box::new(started)))
            }
            Some(VoidAnswer::OtherIncarnation | VoidAnswer::Forgotten) => Err(Problem::new(
                Reason::AnswerGone,
                RunState::Unknown,
                0,
                format!("the work was given to {}, which has restarted since", claim.target),
            )),
            None => Err(Problem::new(
                Reason::ContactLost,
                RunState::Unknown,
                NO_TARGET_RETRY_AFTER_MS,
                format!("the work was given to {}, which can't be asked now", claim.target),
            )),
        }
    }

    async fn attach(self: &Arc<Self>, work: &Work, claim: &Claim) -> Result<Started, Problem> {
        let outcome =
            format!("joined {} attempt {} at {}", claim.request_id, claim.attempt, claim.target);
        self.keep(self.record(
            work,
            "join",
            claim.attempt,
            Vec::new(),
            "same_work_is_claimed",
            outcome,
        ));
        let name = AttemptName {
            target: claim.target.clone(),
            request_id: claim.request_id.clone(),
            attempt: claim.attempt,
            team: work.policy.team.clone(),
            due: work.due,
        };
        let client = self.client(&claim.agent_address);
        start(AnswerSource::new(self.clone(), client, None, name, None, None, 0), work.is_streamed)
            .await
    }
}
