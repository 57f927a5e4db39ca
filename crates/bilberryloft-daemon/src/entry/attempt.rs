//! Carrying a request out: one attempt after another, until there is an answer or a truthful refusal.

use std::sync::Arc;
use std::time::Duration;

use bilberryloft_coordination::attempts::VoidAnswer;
use bilberryloft_coordination::pick::Pick;
use bilberryloft_coordination::retry::Failure;
use bilberryloft_coordination::retry::RetryDecision;
use bilberryloft_coordination::retry::decide_retry;
use bilberryloft_protocol::problem::Problem;
use bilberryloft_protocol::wire;
use bilberryloft_protocol::wire::Body;
use bilberryloft_state::claim::ClaimSite;
use bilberryloft_state::key::TargetKey;
use bilberryloft_state::refusal::Reason;
use bilberryloft_state::refusal::RunState;
use bilberryloft_transport::clock::monotonic_ms;
use tokio::time::Instant;

use crate::entry::answer::AnswerSource;
use crate::entry::answer::AttemptName;
use crate::entry::answer::Item;
use crate::entry::claims::ClaimAnswer;
use crate::entry::claims::HeldClaim;
use crate::entry::join::Joined;
use crate::entry::lost::LostAttempt;
use crate::entry::request::Work;
use crate::entry::state::Entry;
use crate::entry::trial::Trial;
use crate::events::Event;
use crate::log_event;

/// Time to learn what became of an attempt that may be repeated anyway.
const SETTLE_REPEATABLE: Duration = Duration::from_millis(400);
/// Time to learn what became of an attempt that must not run twice.
pub(super) const SETTLE_AT_MOST_ONCE: Duration = Duration::from_millis(3_000);
/// Time to reach the configuration of an agent that has a newer one.
const CATCH_UP_WAIT: Duration = Duration::from_millis(300);
/// Waits for a newer configuration that one request makes at most.
const CATCH_UPS_MAX: u32 = 8;
/// Attempts of one request that may vanish without a word; what kills whole hosts kills no more than these.
const LOST_CONTACTS_MAX: u32 = 2;
/// Time after which a caller should come back when no target can be picked, in milliseconds.
pub(super) const NO_TARGET_RETRY_AFTER_MS: u64 = 1_000;

/// An answer whose first part has arrived.
#[derive(Debug)]
pub(super) struct Started {
    /// Status line and headers.
    pub head: wire::Head,
    /// First part of the body; `None` when the body is empty.
    pub first: Option<(u32, Vec<u8>)>,
    /// The rest.
    pub source: AnswerSource,
}

/// What one request has been through.
#[derive(Debug)]
struct Progress {
    tried: Vec<TargetKey>,
    attempts: u32,
    catch_ups: u32,
    run: RunState,
    /// Claim whose attempt is known never to start, and from which a move is due.
    free_claim: Option<HeldClaim>,
    needs_trial: bool,
    lost_contacts: u32,
    last: Option<Problem>,
}

impl Progress {
    fn new() -> Progress {
        Progress {
            tried: Vec::new(),
            attempts: 0,
            catch_ups: 0,
            run: RunState::NotRun,
            free_claim: None,
            needs_trial: false,
            lost_contacts: 0,
            last: None,
        }
    }

    fn note_run(&mut self, run: RunState) {
        self.run = match (self.run, run) {
            (RunState::Ran, _) | (_, RunState::Ran) => RunState::Ran,
            (RunState::Unknown, _) | (_, RunState::Unknown) => RunState::Unknown,
            (RunState::NotRun, RunState::NotRun) => RunState::NotRun,
        };
    }
}

impl Entry {
    /// Carries a request out up to the first part of its answer.
    pub(super) async fn carry_out(self: &Arc<Self>, work: &Work) -> Result<Started, Problem> {
        self.lock().budget.earn();
        let mut progress = Progress::new();
        let result = self.try_targets(work, &mut progress).await;
        if let (Err(_), Some(key), Some(held)) = (&result, &work.claim_key, &progress.free_claim)
            && held.request_id == work.request_id
        {
            self.release_claim(key, held);
        }
        result.map_err(|mut problem| {
            progress.note_run(problem.run);
            problem.run = progress.run;
            problem
        })
    }

    async fn try_targets(
        self: &Arc<Self>,
        work: &Work,
        progress: &mut Progress,
    ) -> Result<Started, Problem> {
        loop {
            self.check_terms(work)?;
            let pick = self.pick(work, progress)?;
            let trial = self.begin_trial(work, progress.needs_trial).await?;
            let attempt = match &work.claim_key {
                None => progress.attempts + 1,
                Some(claim_key) => {
                    let site = self.site_of(pick.key);
                    let from = progress.free_claim.clone();
                    match self.claim(work, claim_key, from.as_ref(), &site).await? {
                        ClaimAnswer::Own(held) => {
                            progress.free_claim = None;
                            held.attempt
                        }
                        ClaimAnswer::Others(claim) => match self.join(work, claim).await? {
                            Joined::Answer(started) => return Ok(*started),
                            Joined::Free(held) => {
                                progress.free_claim = Some(held);
                                continue;
                            }
                        },
                    }
                }
            };
            progress.attempts += 1;
            if progress.attempts > 1 {
                self.metrics.retries.inc();
                log_event!(info, Event::RequestRetried, request_id = work.request_id, attempt);
            }
            let key = pick.key;
            match self.dispatch(work, pick, attempt, trial).await {
                Ok(started) => return Ok(started),
                Err(problem) => self.after_failure(work, progress, key, attempt, problem).await?,
            }
        }
    }

    /// Checks what may have changed since the request came in.
    fn check_terms(&self, work: &Work) -> Result<(), Problem> {
        if !self.view.may_serve() {
            let detail = "the entry could not confirm its configuration with a quorum";
            return Err(Problem::new(
                Reason::ConfigurationUnconfirmed,
                RunState::NotRun,
                1_000,
                detail,
            ));
        }
        if self.view.configuration().policy(&work.policy.team).is_none() {
            return Err(Problem::new(
                Reason::UnknownToken,
                RunState::NotRun,
                0,
                "the team was removed",
            ));
        }
        if work.time_left().is_zero() {
            return Err(Problem::new(
                Reason::Deadline,
                RunState::NotRun,
                0,
                "the deadline has passed",
            ));
        }
        Ok(())
    }

    fn pick(&self, work: &Work, progress: &mut Progress) -> Result<Pick, Problem> {
        self.sync_targets();
        let mut inner = self.lock();
        let pick = inner.picker.pick(&work.offer, work.prefix, &progress.tried, monotonic_ms());
        if let Some(pick) = pick {
            return Ok(pick);
        }
        if let Some(problem) = progress.last.take() {
            return Err(problem);
        }
        match inner.picker.is_offered(&work.offer) {
            true => Err(Problem::new(
                Reason::TargetUnreachable,
                RunState::NotRun,
                NO_TARGET_RETRY_AFTER_MS,
                format!("no target that offers {} takes new work now", work.offer),
            )),
            false => Err(Problem::new(
                Reason::NoTarget,
                RunState::NotRun,
                0,
                format!("no target offers {}", work.offer),
            )),
        }
    }

    fn site_of(&self, key: TargetKey) -> ClaimSite {
        let inner = self.lock();
        let view = inner.picker.view(key);
        ClaimSite {
            target: view.name.clone(),
            agent_address: view.agent_address.clone(),
            agent_incarnation: view.incarnation,
        }
    }

    /// Sends one attempt to the picked target and waits for the first part of its answer.
    async fn dispatch(
        self: &Arc<Self>,
        work: &Work,
        pick: Pick,
        attempt: u32,
        trial: Option<Trial>,
    ) -> Result<Started, Problem> {
        let site = self.site_of(pick.key);
        let outcome = format!("dispatched to {}", site.target);
        let record = self.record(work, "pick", attempt, pick.candidates, pick.rule, outcome);
        let body = self.build_dispatch(work, &site, attempt, trial.is_some(), &record);
        self.keep(record);
        let client = self.client(&site.agent_address);
        self.lock().picker.note_dispatch(pick.key);
        let mut answer = match client.open_stream(body).await {
            Ok(answer) => answer,
            Err(error) => {
                let mut inner = self.lock();
                inner.picker.note_acknowledged(pick.key);
                inner.picker.note_end(pick.key);
                inner.picker.penalize(pick.key, monotonic_ms());
                let detail = format!("the agent of {} can't be reached: {error}", site.target);
                return Err(Problem::new(Reason::TargetUnreachable, RunState::NotRun, 0, detail));
            }
        };
        let limit = work.due + crate::entry::answer::DEADLINE_GRACE;
        let first = tokio::time::timeout_at(limit, answer.next()).await;
        self.lock().picker.note_acknowledged(pick.key);
        let name = AttemptName {
            target: site.target.clone(),
            request_id: work.request_id.clone(),
            attempt,
            team: work.policy.team.clone(),
            due: work.due,
        };
        let (answer, first) = match first {
            Ok(Ok(first)) => (Some(answer), Some(first)),
            Ok(Err(_)) => (None, None),
            Err(_) => (Some(answer), None),
        };
        let is_lost = answer.is_none();
        let mut source =
            AnswerSource::new(self.clone(), client, Some(pick.key), name, answer, first, 0);
        let lost = LostAttempt {
            request_id: work.request_id.clone(),
            attempt,
            fingerprint: work.fingerprint,
            site,
        };
        source.trial = trial;
        source.lost = Some(lost.clone());
        if is_lost {
            self.lock().picker.penalize(pick.key, monotonic_ms());
            self.settle(work, lost).await?;
        }
        start(source, work.is_streamed).await
    }

    /// Finds out what became of an attempt after contact was lost; returns when it can be joined.
    async fn settle(self: &Arc<Self>, work: &Work, attempt: LostAttempt) -> Result<(), Problem> {
        let site = &attempt.site;
        let limit = if work.is_idempotent { SETTLE_REPEATABLE } else { SETTLE_AT_MOST_ONCE };
        let until = (Instant::now() + limit).min(work.due);
        let (address, incarnation) = (&site.agent_address, site.agent_incarnation);
        let answer =
            self.void_attempt(address, &work.request_id, attempt.attempt, incarnation, until).await;
        let lost = |run: RunState, detail: &str| {
            let detail = format!("contact with {} was lost after dispatch: {detail}", site.target);
            Err(Problem::new(Reason::ContactLost, run, 0, detail))
        };
        match answer {
            Some(VoidAnswer::Running | VoidAnswer::Finished | VoidAnswer::Failed) => Ok(()),
            Some(VoidAnswer::NotStarted) => lost(RunState::NotRun, "the attempt never started"),
            Some(VoidAnswer::OtherIncarnation) => {
                self.report_death(&attempt).await;
                lost(RunState::Unknown, "the agent has restarted")
            }
            Some(VoidAnswer::Forgotten) => {
                lost(RunState::Unknown, "the agent no longer knows the attempt")
            }
            None => {
                let refusal = lost(RunState::Unknown, "the agent can't be asked");
                self.watch_for_death(attempt);
                refusal
            }
        }
    }

    fn build_dispatch(
        &self,
        work: &Work,
        site: &ClaimSite,
        attempt: u32,
        trial: bool,
        record: &bilberryloft_state::record::DecisionRecord,
    ) -> Body {
        Body::Dispatch(wire::Dispatch {
            request_id: work.request_id.clone(),
            attempt: attempt as i32,
            target: site.target.clone(),
            agent_incarnation: site.agent_incarnation as i64,
            configuration_version: self.view.configuration().version() as i64,
            team: work.policy.team.clone(),
            weight: work.policy.weight as i32,
            priority: i32::from(work.policy.priority),
            deadline_ms: work.time_left().as_millis() as i64,
            non_idempotent: work.claim_key.is_some(),
            fingerprint: work.fingerprint,
            work_tokens: work.work_tokens as i64,
            method: work.method.clone(),
            path: work.path.clone(),
            headers: work.headers.clone(),
            body: work.body.to_vec(),
            decision: serde_json::to_vec(record).unwrap_or_default(),
            trial,
            streamed: work.is_streamed,
        })
    }

    /// Returns when another target shall be tried; the final refusal otherwise.
    async fn after_failure(
        &self,
        work: &Work,
        progress: &mut Progress,
        key: TargetKey,
        attempt: u32,
        problem: Problem,
    ) -> Result<(), Problem> {
        progress.note_run(problem.run);
        self.note_failed_attempt(work, attempt, &problem);
        // A claim names where the work is, so it moves along with work that may run again, too.
        let may_move = problem.run == RunState::NotRun || work.is_idempotent;
        if may_move && work.claim_key.is_some() {
            progress.free_claim = Some(HeldClaim { request_id: work.request_id.clone(), attempt });
        }
        if problem.reason == Reason::ConfigurationStale && progress.catch_ups < CATCH_UPS_MAX {
            progress.catch_ups += 1;
            progress.attempts -= 1;
            let next_version = self.view.configuration().version() + 1;
            self.view.wait_for_configuration(next_version, CATCH_UP_WAIT).await;
            return Ok(());
        }
        progress.needs_trial |= match problem.reason {
            Reason::TargetFailed | Reason::SuspectTrial => true,
            Reason::ContactLost => problem.run == RunState::Unknown,
            _ => false,
        };
        if problem.reason == Reason::ContactLost && problem.run == RunState::Unknown {
            progress.lost_contacts += 1;
        }
        if progress.lost_contacts >= LOST_CONTACTS_MAX {
            return Err(problem);
        }
        progress.tried.push(key);
        let failure = Failure {
            reason: problem.reason,
            run: problem.run,
            answer_started: false,
            idempotent: work.is_idempotent,
            attempts: progress.attempts,
            time_left_ms: work.time_left().as_millis() as u64,
        };
        match decide_retry(failure, &mut self.lock().budget) {
            RetryDecision::TryElsewhere => {
                progress.last = Some(problem);
                Ok(())
            }
            RetryDecision::GiveUp => Err(problem),
        }
    }

    fn note_failed_attempt(&self, work: &Work, attempt: u32, problem: &Problem) {
        let outcome = format!("run {:?}: {}", problem.run, problem.detail);
        let record = self.record(
            work,
            "attempt_failed",
            attempt,
            Vec::new(),
            &problem.reason.name(),
            outcome,
        );
        self.keep(record);
    }
}

/// Waits for the head and, for a stream, the first piece; an answer that is not streamed is read whole,
/// so that the caller gets all of it or a refusal.
pub(super) async fn start(mut source: AnswerSource, is_streamed: bool) -> Result<Started, Problem> {
    let head = loop {
        match source.next().await? {
            Item::Head(head) => break head,
            Item::Piece(..) => {}
            Item::End => {
                return Err(Problem::new(
                    Reason::ContactLost,
                    RunState::Ran,
                    0,
                    "the answer has no head",
                ));
            }
        }
    };
    if is_streamed {
        let first = match source.next().await? {
            Item::Piece(sequence, data) => Some((sequence, data)),
            Item::Head(_) | Item::End => None,
        };
        return Ok(Started { head, first, source });
    }
    let max_bytes = source.entry.settings.answer_max_bytes;
    let mut body = Vec::new();
    loop {
        match source.next().await? {
            Item::Head(_) => {}
            Item::End => break,
            Item::Piece(_, data) => body.extend_from_slice(&data),
        }
        if body.len() > max_bytes {
            let detail = format!("the answer is larger than {max_bytes} bytes");
            return Err(Problem::new(Reason::TooLarge, RunState::Ran, 0, detail));
        }
    }
    Ok(Started { head, first: Some((0, body)), source })
}
