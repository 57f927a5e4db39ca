//! Handles a dispatch: checks every reason not to start it, then requests a slot at the target.

use std::sync::Arc;
use std::time::Duration;

use bilberryloft_coordination::admission::AdmissionOutcome;
use bilberryloft_coordination::admission::SlotRequest;
use bilberryloft_coordination::attempts::AttemptState;
use bilberryloft_coordination::attempts::BeginOutcome;
use bilberryloft_protocol::wire::Dispatch;
use bilberryloft_state::refusal::Reason;
use bilberryloft_state::refusal::RunState;
use bilberryloft_transport::clock::monotonic_ms;
use bilberryloft_transport::server::Responder;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::agent::Agent;
use crate::agent::Announcement;
use crate::agent::AnswerBuffer;
use crate::agent::answer_buffer::wait_until_abandoned;
use crate::agent::answer_sender::Refusal;
use crate::agent::state::QueueResult;

/// Longest wait for the configuration version of a dispatch that is newer than the agent's.
const CONFIGURATION_WAIT: Duration = Duration::from_millis(300);
/// Time after which a queued attempt without a reader is dropped, in milliseconds.
const QUEUE_ABANDONED_AFTER_MS: u64 = 1_000;
/// Shortest retry-after of a refusal, in milliseconds.
const RETRY_AFTER_MIN_MS: u64 = 50;

/// A slot at the target, assigned to an attempt.
pub(super) struct Slot {
    pub id: u64,
    pub target: Announcement,
}

impl Agent {
    /// Handles one dispatch and sends its answer or refusal.
    pub(super) async fn dispatch(self: Arc<Self>, dispatch: Dispatch, responder: Responder) {
        let attempt = dispatch.attempt.cast_unsigned();
        let request_id = dispatch.request_id.clone();
        let deadline =
            Instant::now() + Duration::from_millis(dispatch.deadline_ms.max(0).cast_unsigned());
        let buffer = match self.begin_attempt(&dispatch) {
            Ok(buffer) => buffer,
            Err(refusal) => return self.refuse(attempt, refusal, &responder).await,
        };
        self.push_decision_record(&dispatch.decision);
        tokio::spawn(self.clone().admit_and_run(dispatch, deadline, buffer.clone()));
        self.send_answer(&request_id, attempt, &buffer, 0, &responder).await;
    }

    /// Takes an attempt through the queue and runs it at the target, independently of its readers.
    async fn admit_and_run(
        self: Arc<Self>,
        dispatch: Dispatch,
        deadline: Instant,
        buffer: Arc<AnswerBuffer>,
    ) {
        let mut cancellation = buffer.cancellation();
        let admitted = tokio::select! {
            admitted = self.admit(&dispatch, deadline) => admitted,
            _ = cancellation.wait_for(|it| *it) => {
                Err(Refusal::not_run(Reason::Cancelled, 0, "the caller disconnected before the attempt started"))
            }
            () = wait_until_abandoned(&buffer, QUEUE_ABANDONED_AFTER_MS) => {
                Err(Refusal::not_run(Reason::Cancelled, 0, "the entry disconnected before the attempt started"))
            }
        };
        match admitted {
            Ok(slot) => self.run(dispatch, slot, deadline, buffer).await,
            Err(refusal) => self.mark_not_started(&dispatch, &buffer, refusal),
        }
    }

    /// Registers an attempt and its answer buffer under one lock, so that neither is visible without the other.
    fn begin_attempt(&self, dispatch: &Dispatch) -> Result<Arc<AnswerBuffer>, Refusal> {
        let incarnation = dispatch.agent_incarnation.cast_unsigned();
        let key = (dispatch.request_id.clone(), dispatch.attempt.cast_unsigned());
        let mut inner = self.lock();
        match inner.attempts.begin(&key.0, key.1, incarnation) {
            BeginOutcome::Start => {
                let max_bytes = self.settings.hold_max_bytes;
                let buffer =
                    Arc::new(AnswerBuffer::new(&dispatch.team, dispatch.non_idempotent, max_bytes));
                inner.answers.insert(key, buffer.clone());
                Ok(buffer)
            }
            BeginOutcome::WrongIncarnation => Err(Refusal::not_run(
                Reason::WrongIncarnation,
                RETRY_AFTER_MIN_MS,
                "the dispatch names another incarnation of the agent",
            )),
            BeginOutcome::Voided => {
                Err(Refusal::not_run(Reason::Voided, 0, "the attempt was voided"))
            }
            BeginOutcome::Duplicate(_) | BeginOutcome::Forgotten => Err(Refusal {
                reason: Reason::Duplicate,
                run: RunState::Unknown,
                retry_after_ms: 0,
                detail: "the attempt was already dispatched".to_string(),
            }),
        }
    }

    /// Records that the attempt never reached the target, so that a delayed copy is not started.
    fn mark_not_started(&self, dispatch: &Dispatch, buffer: &AnswerBuffer, refusal: Refusal) {
        let now_ms = monotonic_ms();
        let key = (dispatch.request_id.clone(), dispatch.attempt.cast_unsigned());
        {
            let mut inner = self.lock();
            inner.attempts.end(&key.0, key.1, AttemptState::NotStarted, now_ms);
            inner.answers.remove(&key);
        }
        buffer.end(refusal.into_outcome(), now_ms);
    }

    fn push_decision_record(&self, decision: &[u8]) {
        if let Ok(record) = serde_json::from_slice(decision) {
            self.lock().records.push(record);
        }
    }

    async fn admit(&self, dispatch: &Dispatch, deadline: Instant) -> Result<Slot, Refusal> {
        self.check_configuration(dispatch).await?;
        let target = self.check_state(dispatch)?;
        let (id, granted) = self.request_slot(dispatch, deadline)?;
        let mut guard = QueueGuard { agent: self, id, is_done: false };
        let Some(granted) = granted else {
            guard.is_done = true;
            return Ok(Slot { id, target });
        };
        match tokio::time::timeout_at(deadline, granted).await {
            Ok(Ok(QueueResult::Admitted)) => {
                guard.is_done = true;
                self.check_state_again(dispatch, id)?;
                Ok(Slot { id, target })
            }
            Ok(Ok(QueueResult::TooLate)) => {
                guard.is_done = true;
                let wait_ms = self.lock().admission.expected_wait_ms();
                let detail = "the answer would come after the deadline";
                Err(Refusal::not_run(Reason::Deadline, wait_ms, detail))
            }
            Ok(Ok(QueueResult::Evicted) | Err(_)) => {
                guard.is_done = true;
                Err(self
                    .busy_refusal("evicted from the queue by a request of a team below its share"))
            }
            Err(_) => Err(Refusal::not_run(
                Reason::Deadline,
                0,
                "the deadline passed before a slot was free",
            )),
        }
    }

    async fn check_configuration(&self, dispatch: &Dispatch) -> Result<(), Refusal> {
        let dispatch_version = dispatch.configuration_version.cast_unsigned();
        let agent_version = self.view.configuration().version();
        if dispatch_version < agent_version {
            let detail = format!(
                "the dispatch has configuration {dispatch_version}, the agent has {agent_version}"
            );
            return Err(Refusal::not_run(Reason::ConfigurationStale, RETRY_AFTER_MIN_MS, detail));
        }
        if dispatch_version > agent_version
            && !self.view.wait_for_configuration(dispatch_version, CONFIGURATION_WAIT).await
        {
            let detail = format!("the agent has not reached configuration {dispatch_version}");
            return Err(Refusal::not_run(Reason::ConfigurationBehind, RETRY_AFTER_MIN_MS, detail));
        }
        Ok(())
    }

    fn check_state(&self, dispatch: &Dispatch) -> Result<Announcement, Refusal> {
        if self.is_stopping() {
            return Err(Refusal::not_run(
                Reason::Stopping,
                RETRY_AFTER_MIN_MS,
                "the agent is stopping",
            ));
        }
        if !self.is_incarnation_confirmed() {
            let detail = "the quorum has not recorded this incarnation of the agent";
            return Err(Refusal::not_run(Reason::WrongIncarnation, RETRY_AFTER_MIN_MS, detail));
        }
        if !self.view.may_serve() {
            let detail = "the agent could not confirm its configuration with a quorum";
            return Err(Refusal::not_run(Reason::ConfigurationUnconfirmed, 1_000, detail));
        }
        if self.view.configuration().is_draining(&self.settings.target) {
            return Err(Refusal::not_run(
                Reason::Draining,
                RETRY_AFTER_MIN_MS,
                "the target is draining",
            ));
        }
        if !dispatch.trial && self.view.suspect(dispatch.fingerprint).is_some() {
            let detail = "the request was in flight when a target crashed";
            return Err(Refusal::not_run(Reason::SuspectTrial, RETRY_AFTER_MIN_MS, detail));
        }
        self.present_target(monotonic_ms()).ok_or_else(|| {
            Refusal::not_run(
                Reason::TargetUnreachable,
                RETRY_AFTER_MIN_MS,
                "the target has not announced itself recently",
            )
        })
    }

    /// Repeats the checks whose result may have changed while the request was queued, and frees its slot if
    /// one fails.
    fn check_state_again(&self, dispatch: &Dispatch, id: u64) -> Result<(), Refusal> {
        let checked = self.check_state(dispatch);
        if checked.is_err() {
            self.free_slot(id);
        }
        checked.map(|_| ())
    }

    fn request_slot(
        &self,
        dispatch: &Dispatch,
        deadline: Instant,
    ) -> Result<(u64, Option<oneshot::Receiver<QueueResult>>), Refusal> {
        let now_ms = monotonic_ms();
        let remaining_ms = deadline.saturating_duration_since(Instant::now()).as_millis() as u64;
        let mut inner = self.lock();
        inner.next_id += 1;
        let id = inner.next_id;
        let request = SlotRequest {
            id,
            team: dispatch.team.clone(),
            weight: dispatch.weight.max(1).cast_unsigned(),
            priority: dispatch.priority.clamp(0, 9) as u8,
            work_tokens: dispatch.work_tokens.max(1).cast_unsigned(),
            deadline_ms: now_ms + remaining_ms,
            arrived_ms: now_ms,
            is_exclusive: dispatch.trial,
        };
        let outcome = inner.admission.request_slot(request);
        match outcome {
            AdmissionOutcome::Run => Ok((id, None)),
            AdmissionOutcome::Wait { evicted } => {
                let evicted = evicted.and_then(|it| inner.waiting.remove(&it));
                if let Some(evicted) = evicted {
                    let _ = evicted.send(QueueResult::Evicted);
                }
                let (sender, granted) = oneshot::channel();
                inner.waiting.insert(id, sender);
                Ok((id, Some(granted)))
            }
            AdmissionOutcome::Busy => {
                drop(inner);
                Err(self.busy_refusal("the queue of the target is full"))
            }
            AdmissionOutcome::TooLate => {
                let detail = "the deadline would pass before a slot is free";
                Err(Refusal::not_run(Reason::Deadline, inner.admission.expected_wait_ms(), detail))
            }
        }
    }

    fn busy_refusal(&self, detail: &str) -> Refusal {
        let wait_ms = self.lock().admission.expected_wait_ms().max(RETRY_AFTER_MIN_MS);
        Refusal::not_run(Reason::Busy, wait_ms, detail)
    }

    /// Frees a slot and admits the next queued requests.
    pub(super) fn free_slot(&self, id: u64) {
        let mut inner = self.lock();
        let dequeued = inner.admission.finish(id, monotonic_ms());
        inner.notify_waiting(&dequeued);
    }

    /// Removes a request from the queue, or frees its slot if it was admitted at the same moment.
    fn leave_queue(&self, id: u64) {
        let mut inner = self.lock();
        inner.waiting.remove(&id);
        if !inner.admission.withdraw(id) {
            drop(inner);
            return self.free_slot(id);
        }
        let dequeued = inner.admission.start_waiting(monotonic_ms());
        inner.notify_waiting(&dequeued);
    }
}

/// Guard that removes a request from the queue when its wait ends by the deadline or a cancellation.
struct QueueGuard<'a> {
    agent: &'a Agent,
    id: u64,
    is_done: bool,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        if self.is_done {
            return;
        }
        self.agent.leave_queue(self.id);
    }
}
