//! Guard for a slot that a request occupies at a target.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bilberryloft_routing::learned::AnswerSample;
use bilberryloft_routing::selection::PickedTarget;
use bilberryloft_routing::targets::AttemptOutcome;
use tokio::time::Instant;

use crate::lost_runs::RunProgress;
use crate::lost_runs::TargetRun;
use crate::priority_admission::AdmittedRun;
use crate::prompt_part::PromptPart;
use crate::request::RelayRequest;
use crate::services::Services;
use crate::suspects::SuspectTracker;

/// Time without a byte from a target after which it is checked whether it has ended.
pub const SILENCE: Duration = Duration::from_millis(600);

/// Time for which a target must go on answering a request to have survived it.
const SURVIVAL_TIME: Duration = Duration::from_millis(1_000);

/// Time for which a target must go on answering a request to have survived all parts of its prompt. A part ends targets
/// as they begin to answer.
const PART_SURVIVAL_TIME: Duration = Duration::from_millis(300);

/// A slot that a request occupies at a target, until its outcome is recorded.
///
/// Dropping it without an outcome, usually because the caller disconnected, records [`AttemptOutcome::Unknown`].
pub struct TargetSlot {
    services: Arc<Services>,
    suspects: Arc<SuspectTracker>,
    service: String,
    request_id: String,
    fingerprint: i64,
    request_bytes: usize,
    shared_parts: Arc<[PromptPart]>,
    picked: Box<PickedTarget>,
    /// Counts the request as running, if its service is admitted by priority.
    admitted_run: Option<Box<AdmittedRun>>,
    started: Instant,
    has_head: AtomicBool,
    first_answer: OnceLock<Instant>,
    has_survived: AtomicBool,
    has_survived_parts: AtomicBool,
    is_on_trial: bool,
    is_released: bool,
}

/// An answer that a target has ended in good order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WholeAnswer {
    /// A plain answer.
    Plain {
        /// Size of its body.
        bytes: usize,
    },
    /// A stream from its first event on.
    Stream {
        /// Size of its events.
        bytes: usize,
    },
    /// The rest of a stream that another target, or another request of the caller, began.
    Continuation,
}

/// What is known of a run whose target broke off.
#[derive(Clone, Debug)]
pub struct EndedSlot {
    /// Address of the target.
    pub address: String,
    /// Whether the target went on answering for so long that no part of the prompt has ended it.
    pub has_survived_parts: bool,
}

impl TargetSlot {
    /// Wraps a target whose load already includes the request.
    pub fn new(
        services: &Arc<Services>,
        suspects: &Arc<SuspectTracker>,
        request: &RelayRequest,
        picked: PickedTarget,
    ) -> TargetSlot {
        TargetSlot {
            services: services.clone(),
            suspects: suspects.clone(),
            service: request.service.clone(),
            request_id: request.id.clone(),
            fingerprint: request.fingerprint,
            request_bytes: request.body.len(),
            shared_parts: request.shared_parts.clone(),
            picked: Box::new(picked),
            admitted_run: AdmittedRun::start(&services.admissions, request).map(Box::new),
            started: Instant::now(),
            has_head: AtomicBool::new(false),
            first_answer: OnceLock::new(),
            has_survived: AtomicBool::new(false),
            has_survived_parts: AtomicBool::new(false),
            is_on_trial: false,
            is_released: false,
        }
    }

    /// Returns the target.
    pub fn picked(&self) -> &PickedTarget {
        &self.picked
    }

    /// Records that the request runs on trial.
    pub fn record_trial(&mut self) {
        self.is_on_trial = true;
    }

    /// Records that the head of the answer has arrived.
    pub fn record_head(&self) {
        self.has_head.store(true, Ordering::Relaxed);
    }

    fn progress(&self) -> RunProgress {
        if self.first_answer.get().is_some() {
            RunProgress::Answering
        } else if self.has_head.load(Ordering::Relaxed) {
            RunProgress::HeadReceived
        } else {
            RunProgress::Sent
        }
    }

    /// Records that a part of the answer has arrived. A target that goes on answering for [`SURVIVAL_TIME`] has survived
    /// the request.
    pub fn record_answer(&self) {
        let first_answer = self.first_answer.get_or_init(|| {
            self.admitted_run.iter().for_each(|it| it.record_first_event());
            Instant::now()
        });
        if first_answer.elapsed() >= SURVIVAL_TIME {
            self.record_survived();
        }
        if first_answer.elapsed() >= PART_SURVIVAL_TIME {
            self.record_survived_parts();
        }
    }

    fn record_survived_parts(&self) {
        if !self.has_survived_parts.swap(true, Ordering::Relaxed) {
            self.suspects.record_survived_parts(&self.shared_parts);
        }
    }

    fn record_survived(&self) {
        if !self.has_survived.swap(true, Ordering::Relaxed) {
            self.suspects.record_survived(self.fingerprint);
        }
    }

    /// Frees the slot and records the outcome of the attempt.
    pub fn release(mut self, outcome: AttemptOutcome) {
        self.is_released = true;
        match outcome {
            AttemptOutcome::Success => {
                self.record_survived();
                self.record_survived_parts();
                self.record_residence();
            }
            AttemptOutcome::Failed => self.record_survived(),
            AttemptOutcome::Full
            | AttemptOutcome::Truncated
            | AttemptOutcome::Resting
            | AttemptOutcome::Misdirected
            | AttemptOutcome::Lost
            | AttemptOutcome::Unknown => {}
        }
        self.services.finish(&self.service, self.picked.key, outcome);
    }

    /// Frees the slot after a whole answer of the target. It counts as a failure if it is a stream that is much shorter
    /// than usual; returns whether it is.
    pub fn release_answered(self, answer: WholeAnswer) -> bool {
        let outcome = self.record_whole(answer);
        self.release(outcome);
        outcome == AttemptOutcome::Truncated
    }

    /// Does the same after an answer that ended with its connection, so that it may also have ended with its target.
    pub fn release_closed(mut self, answer: WholeAnswer) -> bool {
        if !self.has_survived_parts.load(Ordering::Relaxed) {
            self.check_target();
        }
        let outcome = self.record_whole(answer);
        if outcome == AttemptOutcome::Success {
            self.record_residence();
        }
        self.is_released = true;
        self.services.finish(&self.service, self.picked.key, outcome);
        outcome == AttemptOutcome::Truncated
    }

    /// Records how long the request has run, for the admission of others.
    fn record_residence(&mut self) {
        self.admitted_run.iter_mut().for_each(|it| it.complete());
    }

    fn record_whole(&self, answer: WholeAnswer) -> AttemptOutcome {
        let (is_stream, answer_bytes) = match answer {
            WholeAnswer::Plain { bytes } => (false, bytes),
            WholeAnswer::Stream { bytes } => (true, bytes),
            WholeAnswer::Continuation => return AttemptOutcome::Success,
        };
        let sample = AnswerSample {
            elapsed_ms: self.started.elapsed().as_secs_f64() * 1_000.0,
            load: self.picked.own_load + self.picked.others_load + 1,
            request_bytes: self.request_bytes,
            answer_bytes,
            is_stream,
        };
        self.services.record_answer(self.picked.key, &sample)
    }

    /// Frees the slot of a request that was not sent.
    pub fn cancel(mut self) {
        self.is_released = true;
        self.services.cancel(self.picked.key);
    }

    /// Frees the slot after the target broke off a request that it may have run, and has it checked.
    pub fn release_broken(self) -> EndedSlot {
        self.check_target();
        let ended = EndedSlot {
            address: self.picked.address.clone(),
            has_survived_parts: self.has_survived_parts.load(Ordering::Relaxed),
        };
        self.release(AttemptOutcome::Lost);
        ended
    }

    /// Checks whether the target has ended.
    pub fn check_target(&self) {
        self.suspects.check_target(TargetRun {
            request_id: self.request_id.clone(),
            fingerprint: self.fingerprint,
            shared_parts: self.shared_parts.clone(),
            key: self.picked.key,
            target_id: self.picked.id.clone(),
            address: self.picked.address.clone(),
            started: self.started,
            progress: self.progress(),
            has_survived_parts: self.has_survived_parts.load(Ordering::Relaxed),
            is_on_trial: self.is_on_trial,
        });
    }

    /// Checks again and again whether the target has ended, as long as it is silent. Never returns.
    pub async fn watch_silence(&self) -> Infallible {
        loop {
            tokio::time::sleep(SILENCE).await;
            self.check_target();
        }
    }
}

impl Drop for TargetSlot {
    fn drop(&mut self) {
        self.services.release_tokens(self.picked.key, self.picked.tokens);
        if !self.is_released {
            self.services.finish(&self.service, self.picked.key, AttemptOutcome::Unknown);
        }
    }
}
