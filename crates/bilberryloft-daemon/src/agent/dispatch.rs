//! Taking a dispatch: every reason not to start it is checked first, then it asks for a slot.

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
use crate::agent::answer_sender::Refusal;
use crate::agent::run::wait_until_abandoned;
use crate::agent::state::Grant;

/// Time that an agent waits to reach the configuration of a dispatch.
const BEHIND_WAIT: Duration = Duration::from_millis(300);
/// Time after which a waiting attempt is dropped when its entry has gone, in milliseconds.
const QUEUE_ABANDONED_AFTER_MS: u64 = 1_000;
/// Shortest time after which a refused request should come back, in milliseconds.
const RETRY_AFTER_MIN_MS: u64 = 50;

/// A slot that was given to an attempt.
pub(super) struct Slot {
    pub id: u64,
    pub target: Announcement,
}

impl Agent {
    /// Serves one dispatch to its end.
    pub(super) async fn dispatch(self: Arc<Self>, dispatch: Dispatch, responder: Responder) {
        let attempt = dispatch.attempt as u32;
        let request_id = dispatch.request_id.clone();
        let due = Instant::now() + Duration::from_millis(dispatch.deadline_ms.max(0) as u64);
        let held = match self.begin(&dispatch) {
            Ok(held) => held,
            Err(refusal) => return self.refuse(attempt, refusal, &responder).await,
        };
        self.keep_decision(&dispatch.decision);
        tokio::spawn(self.clone().carry(dispatch, due, held.clone()));
        self.send_held(&request_id, attempt, &held, 0, &responder).await;
    }

    /// Brings an attempt through the queue and the target, whoever listens.
    async fn carry(self: Arc<Self>, dispatch: Dispatch, due: Instant, held: Arc<AnswerBuffer>) {
        let mut cancellation = held.cancellation();
        let admitted = tokio::select! {
            admitted = self.admit(&dispatch, due) => admitted,
            _ = cancellation.wait_for(|it| *it) => {
                Err(Refusal::not_run(Reason::Cancelled, 0, "the caller went away before the start"))
            }
            () = wait_until_abandoned(&held, QUEUE_ABANDONED_AFTER_MS) => {
                Err(Refusal::not_run(Reason::Cancelled, 0, "the entry went away before the start"))
            }
        };
        match admitted {
            Ok(slot) => self.run(dispatch, slot, due, held).await,
            Err(refusal) => self.withdraw(&dispatch, &held, refusal),
        }
    }

    /// Begins an attempt and its answer in one step, so that nobody finds the one without the other.
    fn begin(&self, dispatch: &Dispatch) -> Result<Arc<AnswerBuffer>, Refusal> {
        let incarnation = dispatch.agent_incarnation as u64;
        let key = (dispatch.request_id.clone(), dispatch.attempt as u32);
        let mut inner = self.lock();
        match inner.attempts.begin(&key.0, key.1, incarnation) {
            BeginOutcome::Start => {
                let max_bytes = self.settings.hold_max_bytes;
                let held =
                    Arc::new(AnswerBuffer::new(&dispatch.team, dispatch.non_idempotent, max_bytes));
                inner.held.insert(key, held.clone());
                Ok(held)
            }
            BeginOutcome::WrongIncarnation => Err(Refusal::not_run(
                Reason::WrongIncarnation,
                RETRY_AFTER_MIN_MS,
                "the dispatch names another life of the agent",
            )),
            BeginOutcome::Voided => {
                Err(Refusal::not_run(Reason::Voided, 0, "the attempt was declared void"))
            }
            BeginOutcome::Duplicate(_) | BeginOutcome::Forgotten => Err(Refusal {
                reason: Reason::Duplicate,
                run: RunState::Unknown,
                retry_after_ms: 0,
                detail: "the attempt was dispatched before".to_string(),
            }),
        }
    }

    /// Remembers that the attempt never reached the target, so that no late copy does.
    fn withdraw(&self, dispatch: &Dispatch, held: &AnswerBuffer, refusal: Refusal) {
        let now_ms = monotonic_ms();
        let key = (dispatch.request_id.clone(), dispatch.attempt as u32);
        {
            let mut inner = self.lock();
            inner.attempts.end(&key.0, key.1, AttemptState::NotStarted, now_ms);
            inner.held.remove(&key);
        }
        held.end(refusal.into_outcome(), now_ms);
    }

    fn keep_decision(&self, decision: &[u8]) {
        if let Ok(record) = serde_json::from_slice(decision) {
            self.lock().records.push(record);
        }
    }

    async fn admit(&self, dispatch: &Dispatch, due: Instant) -> Result<Slot, Refusal> {
        self.check_configuration(dispatch).await?;
        let target = self.check_state(dispatch)?;
        let (id, granted) = self.ask_for_slot(dispatch, due)?;
        let mut guard = QueueGuard { agent: self, id, is_settled: false };
        let Some(granted) = granted else {
            guard.is_settled = true;
            return Ok(Slot { id, target });
        };
        match tokio::time::timeout_at(due, granted).await {
            Ok(Ok(Grant::Run)) => {
                guard.is_settled = true;
                self.recheck(dispatch, id)?;
                Ok(Slot { id, target })
            }
            Ok(Ok(Grant::Late)) => {
                guard.is_settled = true;
                let wait_ms = self.lock().admission.expected_wait_ms();
                let detail = "the answer would come after the deadline";
                Err(Refusal::not_run(Reason::Deadline, wait_ms, detail))
            }
            Ok(Ok(Grant::Evicted) | Err(_)) => {
                guard.is_settled = true;
                Err(self.busy("a request of a team with less than its share took the place"))
            }
            Err(_) => Err(Refusal::not_run(
                Reason::Deadline,
                0,
                "the deadline passed before a slot was free",
            )),
        }
    }

    async fn check_configuration(&self, dispatch: &Dispatch) -> Result<(), Refusal> {
        let wanted = dispatch.configuration_version as u64;
        let own = self.view.configuration().version();
        if wanted < own {
            let detail = format!("the dispatch has configuration {wanted}, the agent has {own}");
            return Err(Refusal::not_run(Reason::ConfigurationStale, RETRY_AFTER_MIN_MS, detail));
        }
        if wanted > own && !self.view.wait_for_configuration(wanted, BEHIND_WAIT).await {
            let detail = format!("the agent has not reached configuration {wanted}");
            return Err(Refusal::not_run(Reason::ConfigurationBehind, RETRY_AFTER_MIN_MS, detail));
        }
        Ok(())
    }

    fn check_state(&self, dispatch: &Dispatch) -> Result<Announcement, Refusal> {
        if self.is_stopping() {
            return Err(Refusal::not_run(Reason::Stopping, RETRY_AFTER_MIN_MS, "the agent stops"));
        }
        if !self.is_settled() {
            let detail = "the quorum has not recorded this life of the agent";
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
                "the target leaves",
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
                "the target does not announce itself",
            )
        })
    }

    /// Checks again what may have changed while the request waited.
    fn recheck(&self, dispatch: &Dispatch, id: u64) -> Result<(), Refusal> {
        let checked = self.check_state(dispatch);
        if checked.is_err() {
            self.free_slot(id);
        }
        checked.map(|_| ())
    }

    fn ask_for_slot(
        &self,
        dispatch: &Dispatch,
        due: Instant,
    ) -> Result<(u64, Option<oneshot::Receiver<Grant>>), Refusal> {
        let now_ms = monotonic_ms();
        let left_ms = due.saturating_duration_since(Instant::now()).as_millis() as u64;
        let mut inner = self.lock();
        inner.next_id += 1;
        let id = inner.next_id;
        let ask = SlotRequest {
            id,
            team: dispatch.team.clone(),
            weight: dispatch.weight.max(1) as u32,
            priority: dispatch.priority.clamp(0, 9) as u8,
            work_tokens: dispatch.work_tokens.max(1) as u64,
            deadline_ms: now_ms + left_ms,
            arrived_ms: now_ms,
            is_exclusive: dispatch.trial,
        };
        let verdict = inner.admission.request_slot(ask);
        match verdict {
            AdmissionOutcome::Run => Ok((id, None)),
            AdmissionOutcome::Wait { evicted } => {
                let evicted = evicted.and_then(|it| inner.waiting.remove(&it));
                if let Some(evicted) = evicted {
                    let _ = evicted.send(Grant::Evicted);
                }
                let (sender, granted) = oneshot::channel();
                inner.waiting.insert(id, sender);
                Ok((id, Some(granted)))
            }
            AdmissionOutcome::Busy => {
                drop(inner);
                Err(self.busy("the queue of the target is full"))
            }
            AdmissionOutcome::TooLate => {
                let detail = "the deadline would pass before a slot is free";
                Err(Refusal::not_run(Reason::Deadline, inner.admission.expected_wait_ms(), detail))
            }
        }
    }

    fn busy(&self, detail: &str) -> Refusal {
        let wait_ms = self.lock().admission.expected_wait_ms().max(RETRY_AFTER_MIN_MS);
        Refusal::not_run(Reason::Busy, wait_ms, detail)
    }

    /// Frees a slot and lets the next requests go.
    pub(super) fn free_slot(&self, id: u64) {
        let mut inner = self.lock();
        let next = inner.admission.finish(id, monotonic_ms());
        inner.grant(&next);
    }

    /// Takes a request out of the queue, or gives its slot back when the grant came in the same moment.
    fn leave_queue(&self, id: u64) {
        let mut inner = self.lock();
        inner.waiting.remove(&id);
        if !inner.admission.withdraw(id) {
            drop(inner);
            return self.free_slot(id);
        }
        let next = inner.admission.start_waiting(monotonic_ms());
        inner.grant(&next);
    }
}

/// Takes a request out of the queue when its wait ends in any other way than by a grant.
struct QueueGuard<'a> {
    agent: &'a Agent,
    id: u64,
    is_settled: bool,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        if self.is_settled {
            return;
        }
        self.agent.leave_queue(self.id);
    }
}
