//! Execution of a request: attempts on one target after another until one answers or the request is refused.
//!
//! A refusal states whether the request ran, did not run, or may have run.

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
use bilberryloft_state::error::Error;
use bilberryloft_state::key::TargetKey;
use bilberryloft_state::refusal::Reason;
use bilberryloft_state::refusal::RunState;
use bilberryloft_transport::clock::monotonic_ms;
use tokio::time::Instant;

use crate::entry::agent_loss::DispatchedAttempt;
use crate::entry::answer_reader::AnswerReader;
use crate::entry::answer_reader::AttemptRef;
use crate::entry::claims::ClaimResult;
use crate::entry::claims::HeldClaim;
use crate::entry::join::JoinResult;
use crate::entry::request::ParsedRequest;
use crate::entry::started_answer::NO_TARGET_RETRY_AFTER_MS;
use crate::entry::started_answer::RESOLVE_TIMEOUT_AT_MOST_ONCE;
use crate::entry::started_answer::StartedAnswer;
use crate::entry::started_answer::read_answer_start;
use crate::entry::state::Entry;
use crate::events::Event;
use crate::log_event;
use crate::trial::Trial;

/// Time to find out the state of a lost attempt whose request may run again.
const RESOLVE_TIMEOUT_IDEMPOTENT: Duration = Duration::from_millis(400);
/// Longest wait for a newer configuration after an agent refused a stale one.
const CONFIGURATION_WAIT: Duration = Duration::from_millis(300);
/// Time after which a caller that an entry refuses as it ends should come back, in milliseconds.
const STOPPING_RETRY_AFTER_MS: u64 = 1_000;
/// Waits for a newer configuration that one request may make.
const CONFIGURATION_WAITS_MAX: u32 = 8;
/// Attempts of one request that may be lost with an unknown outcome before it is refused.
///
/// A request that crashes whole hosts can then take down no more hosts than this.
const LOST_CONTACTS_MAX: u32 = 2;

/// State of one request across its attempts.
#[derive(Debug)]
struct Progress {
    tried_targets: Vec<TargetKey>,
    attempts: u32,
    /// Waits for a newer configuration.
    waits: u32,
    run: RunState,
    /// Whether an attempt is on its way whose run state is not part of `run` yet.
    is_under_way: bool,
    /// Claim of an earlier attempt, to move to the next one: its attempt never started, or its request may run again.
    claim: Option<HeldClaim>,
    needs_trial: bool,
    lost_contacts: u32,
    last_problem: Option<Problem>,
}

impl Progress {
    fn new() -> Progress {
        Progress {
            tried_targets: Vec::new(),
            attempts: 0,
            waits: 0,
            run: RunState::NotRun,
            is_under_way: false,
            claim: None,
            needs_trial: false,
            lost_contacts: 0,
            last_problem: None,
        }
    }

    /// Returns the refusal of a request that still waits when the process is about to end.
    fn end(&self) -> Problem {
        if self.is_under_way || self.run != RunState::NotRun {
            return ended_problem();
        }
        let detail = "the entry stops";
        Problem::new(Reason::Stopping, RunState::NotRun, STOPPING_RETRY_AFTER_MS, detail)
    }

    /// Merges the run state of an attempt: `Ran` outweighs `Unknown`, which outweighs `NotRun`.
    fn merge_run_state(&mut self, run: RunState) {
        self.run = match (self.run, run) {
            (RunState::Ran, _) | (_, RunState::Ran) => RunState::Ran,
            (RunState::Unknown, _) | (_, RunState::Unknown) => RunState::Unknown,
            (RunState::NotRun, RunState::NotRun) => RunState::NotRun,
        };
    }
}

/// Returns the problem of a request whose attempt goes on when the process is about to end.
pub(super) fn ended_problem() -> Problem {
    let detail = "the entry stops before the answer is complete";
    Problem::new(Reason::ContactLost, RunState::Unknown, 0, detail)
}

impl Entry {
    /// Executes a request up to the first part of its answer.
    pub(super) async fn execute(
        self: &Arc<Self>,
        request: &ParsedRequest,
    ) -> Result<StartedAnswer, Problem> {
        self.lock().budget.earn();
        let mut progress = Progress::new();
        let result = tokio::select! {
            result = self.try_targets(request, &mut progress) => result,
            () = self.wait_for_end() => Err(progress.end()),
        };
        if let (Err(_), Some(key), Some(held)) = (&result, &request.claim_key, &progress.claim)
            && held.request_id == request.request_id
        {
            self.release_claim(key, held);
        }
        result.map_err(|mut problem| {
            progress.merge_run_state(problem.run);
            problem.run = progress.run;
            problem
        })
    }

    /// Dispatches the request to one target after another until one answers or retrying is ruled out.
    async fn try_targets(
        self: &Arc<Self>,
        request: &ParsedRequest,
        progress: &mut Progress,
    ) -> Result<StartedAnswer, Problem> {
        loop {
            progress.is_under_way = false;
            self.check_preconditions(request)?;
            let pick = self.pick(request, progress)?;
            let trial = self.begin_trial(request, progress.needs_trial).await?;
            let attempt = match &request.claim_key {
                None => progress.attempts + 1,
                Some(claim_key) => {
                    progress.is_under_way = true;
                    let site = self.claim_site(pick.key);
                    let previous = progress.claim.clone();
                    match self.claim(request, claim_key, previous.as_ref(), &site).await? {
                        ClaimResult::Acquired(held) => {
                            progress.claim = None;
                            held.attempt
                        }
                        ClaimResult::HeldByOther(claim) => match self.join(request, claim).await? {
                            JoinResult::Answer(started) => return Ok(*started),
                            JoinResult::NeverStarted(held) => {
                                progress.claim = Some(held);
                                continue;
                            }
                        },
                    }
                }
            };
            progress.attempts += 1;
            progress.is_under_way = true;
            if progress.attempts > 1 {
                self.metrics.retries.inc();
                log_event!(info, Event::RequestRetried, request_id = request.request_id, attempt);
            }
            let key = pick.key;
            match self.dispatch(request, pick, attempt, trial).await {
                Ok(started) => return Ok(started),
                Err(problem) => {
                    self.after_failure(request, progress, key, attempt, problem).await?
                }
            }
        }
    }

    /// Checks the conditions that may have changed since the request arrived.
    fn check_preconditions(&self, request: &ParsedRequest) -> Result<(), Problem> {
        if !self.view.may_serve() {
            let detail = "the entry could not confirm its configuration with a quorum";
            return Err(Problem::new(
                Reason::ConfigurationUnconfirmed,
                RunState::NotRun,
                1_000,
                detail,
            ));
        }
        if self.view.configuration().policy(&request.policy.team).is_none() {
            return Err(Problem::new(
                Reason::UnknownToken,
                RunState::NotRun,
                0,
                "the team was removed",
            ));
        }
        if request.time_left().is_zero() {
            return Err(Problem::new(
                Reason::Deadline,
                RunState::NotRun,
                0,
                "the deadline has passed",
            ));
        }
        Ok(())
    }

    fn pick(&self, request: &ParsedRequest, progress: &mut Progress) -> Result<Pick, Problem> {
        self.sync_targets();
        let mut inner = self.lock();
        let pick = inner.picker.pick(
            &request.offer,
            request.prefix_digest,
            &progress.tried_targets,
            monotonic_ms(),
        );
        if let Some(pick) = pick {
            return Ok(pick);
        }
        if let Some(problem) = progress.last_problem.take() {
            return Err(problem);
        }
        match inner.picker.is_offered(&request.offer) {
            true => Err(Problem::new(
                Reason::TargetUnreachable,
                RunState::NotRun,
                NO_TARGET_RETRY_AFTER_MS,
                format!(
                    "no target that offers {} accepts new requests now{}",
                    request.offer,
                    self.view.evacuations().note(),
                ),
            )),
            false => Err(Problem::new(
                Reason::NoTarget,
                RunState::NotRun,
                0,
                format!("no target offers {}", request.offer),
            )),
        }
    }

    /// Returns the target and agent that a claim on the target is recorded with.
    fn claim_site(&self, key: TargetKey) -> ClaimSite {
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
        request: &ParsedRequest,
        pick: Pick,
        attempt: u32,
        trial: Option<Trial>,
    ) -> Result<StartedAnswer, Problem> {
        let site = self.claim_site(pick.key);
        let outcome = format!("dispatched to {}", site.target);
        let record = self.new_record(request, "pick", attempt, pick.candidates, pick.rule, outcome);
        let body = self.build_dispatch(request, &site, attempt, trial.is_some(), &record);
        self.push_record(record);
        let client = self.client(&site.agent_address);
        self.lock().picker.note_dispatch(pick.key);
        let mut stream = match client.open_stream(body).await {
            Ok(stream) => stream,
            Err(error) => return Err(self.end_unsent(pick.key, &site, &error)),
        };
        let read_deadline = request.deadline + crate::entry::answer_reader::DEADLINE_GRACE;
        let first = tokio::time::timeout_at(read_deadline, stream.next()).await;
        self.lock().picker.note_acknowledged(pick.key);
        let attempt_ref = AttemptRef {
            target: site.target.clone(),
            request_id: request.request_id.clone(),
            attempt,
            team: request.policy.team.clone(),
            deadline: request.deadline,
        };
        let (stream, first) = match first {
            Ok(Ok(first)) => (Some(stream), Some(first)),
            Ok(Err(_)) => (None, None),
            Err(_) => (Some(stream), None),
        };
        let is_lost = stream.is_none();
        let mut reader =
            AnswerReader::new(self.clone(), client, Some(pick.key), attempt_ref, stream, first, 0);
        let dispatched = DispatchedAttempt {
            request_id: request.request_id.clone(),
            attempt,
            fingerprint: request.fingerprint,
            site,
        };
        reader.trial = trial;
        reader.dispatched = Some(dispatched.clone());
        if is_lost {
            self.lock().picker.penalize(pick.key, monotonic_ms());
            self.resolve_lost_attempt(request, dispatched).await?;
        }
        read_answer_start(reader, request.is_streamed).await
    }

    /// Ends an attempt that could not be sent to its agent.
    fn end_unsent(&self, key: TargetKey, site: &ClaimSite, error: &Error) -> Problem {
        let mut inner = self.lock();
        inner.picker.note_acknowledged(key);
        inner.picker.note_end(key);
        inner.picker.penalize(key, monotonic_ms());
        let detail = format!("the agent of {} can't be reached: {error}", site.target);
        Problem::new(Reason::TargetUnreachable, RunState::NotRun, 0, detail)
    }

    /// Asks the agent for the state of an attempt after contact was lost.
    ///
    /// Returns `Ok` when the attempt started, so that its answer can be joined.
    async fn resolve_lost_attempt(
        self: &Arc<Self>,
        request: &ParsedRequest,
        attempt: DispatchedAttempt,
    ) -> Result<(), Problem> {
        let site = &attempt.site;
        let timeout = if request.is_idempotent {
            RESOLVE_TIMEOUT_IDEMPOTENT
        } else {
            RESOLVE_TIMEOUT_AT_MOST_ONCE
        };
        let until = (Instant::now() + timeout).min(request.deadline);
        let (address, incarnation) = (&site.agent_address, site.agent_incarnation);
        let answer = self
            .void_attempt(address, &request.request_id, attempt.attempt, incarnation, until)
            .await;
        let contact_lost = |run: RunState, detail: &str| {
            let detail = format!("contact with {} was lost after dispatch: {detail}", site.target);
            Err(Problem::new(Reason::ContactLost, run, 0, detail))
        };
        match answer {
            Some(VoidAnswer::Running | VoidAnswer::Finished | VoidAnswer::Failed) => Ok(()),
            Some(VoidAnswer::NotStarted) => {
                contact_lost(RunState::NotRun, "the attempt never started")
            }
            Some(VoidAnswer::OtherIncarnation) => {
                self.report_agent_loss(&attempt).await;
                contact_lost(RunState::Unknown, "the agent has restarted")
            }
            Some(VoidAnswer::Forgotten) => {
                contact_lost(RunState::Unknown, "the agent no longer knows the attempt")
            }
            None => {
                let refusal = contact_lost(RunState::Unknown, "the agent did not respond");
                self.watch_for_agent_loss(attempt);
                refusal
            }
        }
    }

    fn build_dispatch(
        &self,
        request: &ParsedRequest,
        site: &ClaimSite,
        attempt: u32,
        trial: bool,
        record: &bilberryloft_state::record::DecisionRecord,
    ) -> Body {
        Body::Dispatch(wire::Dispatch {
            request_id: request.request_id.clone(),
            attempt: attempt.cast_signed(),
            target: site.target.clone(),
            agent_incarnation: site.agent_incarnation.cast_signed(),
            configuration_version: self.view.configuration().version().cast_signed(),
            team: request.policy.team.clone(),
            weight: request.policy.weight.cast_signed(),
            priority: i32::from(request.policy.priority),
            deadline_ms: request.time_left().as_millis() as i64,
            non_idempotent: request.claim_key.is_some(),
            fingerprint: request.fingerprint,
            work_tokens: request.work_tokens.cast_signed(),
            method: request.method.clone(),
            path: request.path.clone(),
            headers: request.headers.clone(),
            body: request.body.to_vec(),
            decision: serde_json::to_vec(record).unwrap_or_default(),
            trial,
            streamed: request.is_streamed,
        })
    }

    /// Decides how to go on after a failed attempt.
    ///
    /// Returns `Ok` when the request is to be tried again, and the final refusal otherwise.
    async fn after_failure(
        &self,
        request: &ParsedRequest,
        progress: &mut Progress,
        key: TargetKey,
        attempt: u32,
        error: Problem,
    ) -> Result<(), Problem> {
        progress.merge_run_state(error.run);
        self.record_failed_attempt(request, attempt, &error);
        // The claim names the target that runs its request, so it also moves with a request that may run again.
        let may_move = error.run == RunState::NotRun || request.is_idempotent;
        if may_move && request.claim_key.is_some() {
            progress.claim = Some(HeldClaim { request_id: request.request_id.clone(), attempt });
        }
        if error.reason == Reason::ConfigurationStale && progress.waits < CONFIGURATION_WAITS_MAX {
            progress.waits += 1;
            progress.attempts -= 1;
            let next_version = self.view.configuration().version() + 1;
            self.view.wait_for_configuration(next_version, CONFIGURATION_WAIT).await;
            return Ok(());
        }
        progress.needs_trial |= match error.reason {
            Reason::TargetFailed | Reason::SuspectTrial => true,
            Reason::ContactLost => error.run == RunState::Unknown,
            _ => false,
        };
        if error.reason == Reason::ContactLost && error.run == RunState::Unknown {
            progress.lost_contacts += 1;
        }
        if progress.lost_contacts >= LOST_CONTACTS_MAX {
            return Err(error);
        }
        progress.tried_targets.push(key);
        let failure = Failure {
            reason: error.reason,
            run: error.run,
            answer_started: false,
            idempotent: request.is_idempotent,
            attempts: progress.attempts,
            time_left_ms: request.time_left().as_millis() as u64,
        };
        match decide_retry(failure, &mut self.lock().budget) {
            RetryDecision::TryElsewhere => {
                progress.last_problem = Some(error);
                Ok(())
            }
            RetryDecision::GiveUp => Err(error),
        }
    }

    fn record_failed_attempt(&self, request: &ParsedRequest, attempt: u32, problem: &Problem) {
        let outcome = format!("run {:?}: {}", problem.run, problem.detail);
        let record = self.new_record(
            request,
            "attempt_failed",
            attempt,
            Vec::new(),
            &problem.reason.name(),
            outcome,
        );
        self.push_record(record);
    }
}
