//! The attempts of one request: sends it to one target after the other, and receives the answer.

use std::sync::Arc;

use bilberryloft_daemon::events::Event;
use bilberryloft_daemon::log_event;
use bilberryloft_routing::document::RequestKind;
use bilberryloft_routing::retry_budget::RetryPurpose;
use bilberryloft_routing::selection::PickedTarget;
use bilberryloft_routing::selection::TargetKey;
use bilberryloft_routing::targets::AttemptOutcome;
use bilberryloft_transport::account::Purpose;
use bilberryloft_transport::clock::monotonic_ms;
use bilberryloft_transport::held_blocks::HeldBlocks;
use hyper::HeaderMap;
use hyper::Response;
use hyper::StatusCode;

use crate::admission;
use crate::answer::AnswerBody;
use crate::answer::Refusal;
use crate::attempt;
use crate::attempt::Answered;
use crate::attempt::AttemptResult;
use crate::headers;
use crate::held_trial::HeldTrial;
use crate::lifecycle::Stage;
use crate::memory::caller_connection::Phase;
use crate::pool::idle_time;
use crate::prompt_part::part_ids;
use crate::request::RelayRequest;
use crate::state::RelayState;
use crate::stream;
use crate::suspects::Permission;
use crate::target_slot::TargetSlot;
use crate::trial_slot::wait_for_trial;

/// Largest answer that is buffered, in bytes. Answers are buffered before they are forwarded, so that the request can
/// be retried if the target disconnects.
const BUFFERED_ANSWER_BYTES_MAX: usize = 1 << 20;
/// Number of attempts that did not run after which the caller gets a refusal.
const REFUSALS_MAX: u32 = 3;

/// Status and headers of a target's answer.
pub struct AnswerHead {
    /// Status.
    pub status: StatusCode,
    /// Headers that are forwarded to the caller.
    pub headers: HeaderMap,
}

impl AnswerHead {
    /// Builds the answer to the caller with the given body.
    pub fn into_response(self, body: AnswerBody) -> Response<AnswerBody> {
        let mut response = Response::new(body);
        *response.status_mut() = self.status;
        *response.headers_mut() = self.headers;
        response
    }
}

/// Body of a target's answer.
pub enum AnswerContent {
    /// The whole body.
    Buffered(HeldBlocks),
    /// A stream whose body has not been read yet.
    Stream {
        /// Answer of the target that begins it.
        first: Box<Answered>,
        /// Whether another target may go on with it.
        may_be_continued: bool,
    },
}

/// A target's answer in the form in which it is forwarded to the caller.
pub struct ReceivedAnswer {
    /// Status and headers.
    pub head: AnswerHead,
    /// Body.
    pub body: AnswerContent,
}

/// Answer that is sent to the caller.
pub struct FinalAnswer {
    /// The target's answer.
    pub received: ReceivedAnswer,
    /// Slot at the target.
    pub slot: TargetSlot,
    /// Number of attempts that were made.
    pub attempts: u32,
    /// Trial of the request, if it is a suspect.
    pub trial: Option<HeldTrial>,
}

/// Progress of the attempts of one request.
struct AttemptTracker {
    tried: Vec<TargetKey>,
    /// Attempts that ran or may have run.
    ran: u32,
    /// Attempts that did not run.
    refused: u32,
    /// Whether the next attempt has already been taken out of the retry budget.
    has_reserved_retry: bool,
    last_refusal: Refusal,
    /// Trial of the request, if it is a suspect.
    trial: Option<HeldTrial>,
}

impl AttemptTracker {
    fn new() -> AttemptTracker {
        let last_refusal = Refusal::NoTarget;
        AttemptTracker {
            tried: Vec::new(),
            ran: 0,
            refused: 0,
            has_reserved_retry: false,
            last_refusal,
            trial: None,
        }
    }

    fn count(&self) -> u32 {
        self.ran + self.refused
    }

    /// Picks the target of the next attempt and reserves a slot there, unless the process ends before an answer.
    async fn pick_in_time(
        &mut self,
        state: &Arc<RelayState>,
        request: &RelayRequest,
    ) -> Result<TargetSlot, Refusal> {
        if !state.has_time_for(&request.service) {
            return Err(self.refuse_stopping());
        }
        let picked = tokio::select! {
            biased;
            () = state.lifecycle.wait_for_stage(Stage::Answering) => None,
            picked = self.pick(state, request) => Some(picked?),
        };
        match picked {
            Some(slot) if state.has_time_for(&request.service) => return Ok(slot),
            Some(slot) => slot.cancel(),
            None => {}
        }
        Err(self.refuse_stopping())
    }

    /// Refuses a request that is not sent any more because this process ends.
    fn refuse_stopping(&self) -> Refusal {
        if self.ran == 0 { Refusal::Stopping } else { Refusal::RunUnknown }
    }

    /// Picks the target of the next attempt and reserves a slot there.
    async fn pick(
        &mut self,
        state: &Arc<RelayState>,
        request: &RelayRequest,
    ) -> Result<TargetSlot, Refusal> {
        if self.count() == 0 {
            return self.pick_first(state, request).await;
        }
        if !state.suspects.may_retry(request) {
            return Err(self.last_refusal);
        }
        if !self.has_reserved_retry && !take_retry(state, request) {
            return Err(self.last_refusal);
        }
        self.has_reserved_retry = false;
        state.pick_for_retry(request, &self.tried).map_err(|_| self.last_refusal)
    }

    async fn pick_first(
        &mut self,
        state: &Arc<RelayState>,
        request: &RelayRequest,
    ) -> Result<TargetSlot, Refusal> {
        let Permission::Trial { key } = state.suspects.admit(request)? else {
            return admission::wait_for_slot(state, request).await;
        };
        let (slot, trial) = wait_for_trial(state, request, key).await?;
        self.trial = trial;
        Ok(slot)
    }

    /// Records an attempt without an answer; returns an error if there must be no further attempt.
    fn record_failure(
        &mut self,
        request: &RelayRequest,
        did_run: DidRun,
        is_group_down: bool,
    ) -> Result<(), Refusal> {
        match did_run {
            DidRun::No if is_group_down && self.ran == 0 => return Err(Refusal::GroupDown),
            DidRun::No => {
                self.refused += 1;
                self.last_refusal =
                    if self.ran > 0 { Refusal::RunUnknown } else { Refusal::NotRun };
            }
            DidRun::Unknown => {
                self.ran += 1;
                self.last_refusal = Refusal::RunUnknown;
            }
        }
        let may_retry = self.ran == 0 || request.route.may_retry();
        let is_over = self.refused >= REFUSALS_MAX || self.ran >= request.route.attempts_max;
        if may_retry && !is_over { Ok(()) } else { Err(self.last_refusal) }
    }
}

/// Sends the request to one target after the other until one answers, no retry is allowed, or the request times out.
pub async fn run_attempts(
    state: &Arc<RelayState>,
    request: &RelayRequest,
) -> Result<FinalAnswer, Refusal> {
    let result = attempt_targets(state, request).await;
    result.map_err(|refusal| {
        if refusal != Refusal::NotRun {
            return refusal;
        }
        if let Some(wait_ms) = state.services.rest_wait_ms(&request.service) {
            return admission::refuse_resting(wait_ms);
        }
        let cold_wait = state.services.targets.lock().cold_wait(&request.service, monotonic_ms());
        cold_wait.map_or(refusal, |it| state.cold.refuse(state, request, it))
    })
}

async fn attempt_targets(
    state: &Arc<RelayState>,
    request: &RelayRequest,
) -> Result<FinalAnswer, Refusal> {
    let mut tracker = AttemptTracker::new();
    loop {
        let slot = tracker.pick_in_time(state, request).await?;
        tracker.tried.push(slot.picked().key);
        let attempts = tracker.count() + 1;
        log_sent(request, slot.picked(), attempts);
        request.caller.set_phase(Phase::Sent);
        state.daemon.remote_shares.count(slot.picked().away.is_away);
        state.limits.log_sent(&request.id, slot.picked());
        let (summary, answer) = match run_attempt(state, request, &slot).await {
            AttemptEnd::Ended(summary, answer) => (summary, answer.map(|it| *it)),
            AttemptEnd::Timeout => {
                log_ended(request, slot.picked(), "timeout", None);
                slot.release_broken();
                return Err(Refusal::TimeoutSent);
            }
            AttemptEnd::Stopping => {
                log_ended(request, slot.picked(), "stopping", None);
                slot.release(AttemptOutcome::Unknown);
                return Err(Refusal::StoppingSent);
            }
        };
        log_ended(request, slot.picked(), summary.name, summary.detail.as_deref());
        let rank = slot.picked().key;
        let is_group_down = state.record_group_outcome(&request.service, rank, summary.outcome);
        let Some(received) = answer else {
            release_failed(state, request, slot, &summary).await;
            tracker.record_failure(request, summary.did_run, is_group_down)?;
            continue;
        };
        let may_retry = should_retry_failure(request, &received)
            && tracker.ran + 1 < request.route.attempts_max
            && state.suspects.may_retry(request);
        if !may_retry || !take_retry(state, request) {
            let trial = tracker.trial;
            return Ok(FinalAnswer { received, slot, attempts, trial });
        }
        slot.release(summary.outcome);
        tracker.ran += 1;
        tracker.has_reserved_retry = true;
        tracker.last_refusal = Refusal::RunUnknown;
    }
}

/// How one attempt ended.
enum AttemptEnd {
    /// The target answered, or failed to.
    Ended(AttemptSummary, Option<Box<ReceivedAnswer>>),
    /// The request timed out.
    Timeout,
    /// This process ends before the target has answered.
    Stopping,
}

/// Sends the request to one target and reads its answer.
async fn run_attempt(
    state: &Arc<RelayState>,
    request: &RelayRequest,
    slot: &TargetSlot,
) -> AttemptEnd {
    let attempt = tokio::time::timeout_at(request.deadline, async {
        let result = attempt::send(state, request, slot.picked(), None).await;
        record_head(slot, &result);
        read_answer(state, request, result).await
    });
    tokio::select! {
        ended = attempt => match ended {
            Ok((summary, answer)) => AttemptEnd::Ended(summary, answer.map(Box::new)),
            Err(_) => AttemptEnd::Timeout,
        },
        () = state.lifecycle.wait_for_stage(Stage::Answering) => AttemptEnd::Stopping,
        never = slot.watch_silence() => match never {},
    }
}

/// Records that the head of an answer has arrived, if it has.
pub fn record_head(slot: &TargetSlot, result: &AttemptResult) {
    if matches!(result, AttemptResult::Answered(_)) {
        slot.record_head();
    }
}

/// Frees the slot of an attempt without an answer. If it may have run, checks whether its target has ended.
async fn release_failed(
    state: &RelayState,
    request: &RelayRequest,
    slot: TargetSlot,
    summary: &AttemptSummary,
) {
    match summary.did_run {
        DidRun::No => slot.release(summary.outcome),
        DidRun::Unknown => {
            let ended = slot.release_broken();
            tokio::select! {
                () = state.suspects.wait_for_check(request, &ended) => {}
                () = state.lifecycle.wait_for_stage(Stage::Answering) => {}
            }
        }
    }
}

fn take_retry(state: &RelayState, request: &RelayRequest) -> bool {
    state.retries.take(&request.service, RetryPurpose::Request, &request.id)
}

/// Returns whether an answer with a server error should be retried, which requires that the request may run again.
fn should_retry_failure(request: &RelayRequest, received: &ReceivedAnswer) -> bool {
    request.route.may_retry() && received.head.status.is_server_error()
}

/// Whether a target ran the request.
enum DidRun {
    /// The request was not sent, or the target answered that it did not run it.
    No,
    /// The request was sent, so it may have run.
    Unknown,
}

/// Summary of an ended attempt, for the log, the target's health and the decision on a retry.
struct AttemptSummary {
    name: &'static str,
    outcome: AttemptOutcome,
    did_run: DidRun,
    /// Reason for the failure, or the status of a target that did not run the request.
    detail: Option<String>,
}

/// Buffers a plain answer; leaves the body of a stream unread.
async fn read_answer(
    state: &Arc<RelayState>,
    request: &RelayRequest,
    result: AttemptResult,
) -> (AttemptSummary, Option<ReceivedAnswer>) {
    let (name, outcome) = (result.name(), result.outcome());
    let failed = |did_run: DidRun, detail: String| AttemptSummary {
        name,
        outcome,
        did_run,
        detail: Some(detail),
    };
    let answered = match result {
        AttemptResult::Answered(answered) => answered,
        AttemptResult::NotRun { status, .. } => {
            return (failed(DidRun::No, status.to_string()), None);
        }
        AttemptResult::NotSent { error } => return (failed(DidRun::No, error), None),
        AttemptResult::Unknown { error } => return (failed(DidRun::Unknown, error), None),
    };
    let status = answered.response.status();
    let summary = AttemptSummary { name, outcome, did_run: DidRun::Unknown, detail: None };
    if request.route.kind == RequestKind::Stream && status.is_success() {
        let response = &answered.response;
        let may_be_continued =
            stream::head::may_be_continued(&request.route, &request.method, response);
        let headers = stream::head::forwarded_headers(response.headers(), may_be_continued);
        let head = AnswerHead { status, headers };
        let body = AnswerContent::Stream { first: answered, may_be_continued };
        return (summary, Some(ReceivedAnswer { head, body }));
    }
    let Answered { response, connection, address } = *answered;
    let (mut parts, body) = response.into_parts();
    let idle_time = idle_time(&parts.headers);
    headers::remove_hop_by_hop(&mut parts.headers);
    let head = AnswerHead { status, headers: parts.headers };
    let held = state.memory.open(Purpose::Answer);
    match connection.read_held_body(body, BUFFERED_ANSWER_BYTES_MAX, held, request.deadline).await {
        Ok(held) => {
            state.pool.give_back(&address, connection, idle_time);
            let body = AnswerContent::Buffered(held);
            (summary, Some(ReceivedAnswer { head, body }))
        }
        Err(error) => {
            let detail = Some(error.to_string());
            let (outcome, did_run) = (AttemptOutcome::Lost, DidRun::Unknown);
            (AttemptSummary { name: "cut", outcome, did_run, detail }, None)
        }
    }
}

fn log_sent(request: &RelayRequest, picked: &PickedTarget, attempt: u32) {
    log_event!(
        info,
        Event::AttemptSent,
        request_id = request.id,
        attempt,
        target_id = picked.id,
        own = picked.own_load,
        others = picked.others_load,
        candidates = picked.candidates,
        data_center = picked.data_center,
        is_away = picked.away.is_away,
        away_share = picked.away.share,
        away_reason = picked.away.reason.name(),
        team = request.team,
        fingerprint = %format_args!("{:016x}", request.fingerprint),
        shared_parts = ?part_ids(&request.shared_parts),
        version = request.document_version
    );
}

fn log_ended(request: &RelayRequest, picked: &PickedTarget, outcome: &str, detail: Option<&str>) {
    log_event!(
        info,
        Event::AttemptEnded,
        request_id = request.id,
        target_id = picked.id,
        outcome,
        detail,
        waited_ms = request.arrived.elapsed().as_millis() as u64
    );
}
