//! Resumes a stream at another target, after one that broke off or in place of one that is too slow.

use std::time::Duration;

use bilberryloft_daemon::events::Event;
use bilberryloft_daemon::log_event;
use bilberryloft_routing::retry_budget::RetryPurpose;
use bilberryloft_routing::selection::TargetKey;
use tokio::time::Instant;

use crate::attempt;
use crate::attempt::Answered;
use crate::attempt::AttemptResult;
use crate::retry_loop::record_head;
use crate::stream::StreamRelay;
use crate::target_slot::TargetSlot;

/// Longest time since the last event after which an interrupted stream is still resumed; callers disconnect after two
/// seconds.
const RESUME_WITHIN: Duration = Duration::from_millis(1_700);
/// Least time for resuming a stream whose caller is still there though its last event is older.
const RESUME_TIME_MIN: Duration = Duration::from_millis(400);
/// Pause between two attempts to resume.
const RESUME_PAUSE: Duration = Duration::from_millis(120);
/// Attempts to resume that may fail without having run, before the stream is aborted.
const RESUME_REFUSALS_MAX: u32 = 6;

/// Result of asking one target to go on with a stream.
enum ResumeOutcome {
    /// The target goes on.
    Resumed(Box<Answered>, TargetSlot),
    /// The target did not run the request; another one may.
    NotRun,
    /// The target ran the request, or may have, and does not go on with the stream.
    Failed,
    /// The caller disconnected.
    CallerLeft,
}

/// A target that goes on with a stream.
pub(super) struct Continuation {
    pub(super) answered: Answered,
    pub(super) slot: TargetSlot,
}

impl StreamRelay {
    /// Returns whether the stream may be resumed at another target, which a suspect may not.
    pub(super) fn may_resume(&self) -> bool {
        self.may_be_continued
            && self.attempts < self.request.route.attempts_max
            && self.state.suspects.may_retry(&self.request)
    }

    /// Resumes a stream whose target broke off, before its caller disconnects.
    pub(super) async fn resume(&mut self, broken: TargetKey) -> Option<Continuation> {
        let until = self.resume_until();
        let mut tried = vec![broken];
        let mut refused = 0;
        while self.may_resume() && Instant::now() < until && refused < RESUME_REFUSALS_MAX {
            if self.frames.is_closed() {
                return None;
            }
            let Some(slot) = self.pick_other(&tried) else {
                tokio::time::sleep(RESUME_PAUSE).await;
                continue;
            };
            if !self.take_retry() {
                slot.cancel();
                return None;
            }
            tried.push(slot.picked().key);
            match self.resume_at(slot, "broke_off", until).await {
                ResumeOutcome::Resumed(answered, slot) => {
                    return Some(self.begin_continuation(*answered, slot));
                }
                ResumeOutcome::CallerLeft => return None,
                ResumeOutcome::Failed => self.attempts += 1,
                ResumeOutcome::NotRun => {
                    refused += 1;
                    tokio::time::sleep(RESUME_PAUSE).await;
                }
            }
        }
        None
    }

    /// Asks another target to go on with the stream of a slow one. Unless it does, the stream stays where it is.
    pub(super) async fn migrate(&mut self, replacement: TargetSlot) -> Option<Continuation> {
        let until = self.resume_until();
        match self.resume_at(replacement, "slow_target", until).await {
            ResumeOutcome::Resumed(answered, slot) => {
                Some(self.begin_continuation(*answered, slot))
            }
            ResumeOutcome::Failed => {
                self.attempts += 1;
                None
            }
            ResumeOutcome::NotRun | ResumeOutcome::CallerLeft => None,
        }
    }

    fn begin_continuation(&mut self, answered: Answered, slot: TargetSlot) -> Continuation {
        self.attempts += 1;
        self.is_continuation = true;
        self.framer.begin_continuation();
        Continuation { answered, slot }
    }

    fn resume_until(&self) -> Instant {
        let until = (self.last_event + RESUME_WITHIN).max(Instant::now() + RESUME_TIME_MIN);
        let until = until.min(self.request.deadline);
        let stop_times = self.state.lifecycle.stop_times();
        stop_times.map_or(until, |it| until.min(it.breaking))
    }

    /// Reserves a slot at a target that has not been tried, or at any if all have been.
    fn pick_other(&self, tried: &[TargetKey]) -> Option<TargetSlot> {
        let other = self.state.pick_for_retry(&self.request, tried);
        other.or_else(|_| self.state.pick_for_retry(&self.request, &[])).ok()
    }

    fn take_retry(&self) -> bool {
        self.state.retries.take(&self.request.service, RetryPurpose::Request, &self.request.id)
    }

    /// Asks one target to go on after the last event.
    async fn resume_at(&self, slot: TargetSlot, reason: &str, until: Instant) -> ResumeOutcome {
        let after = self.framer.last_id();
        self.state.limits.log_sent(&self.request.id, slot.picked());
        let attempt = attempt::send(&self.state, &self.request, slot.picked(), after);
        let result = tokio::select! {
            result = tokio::time::timeout_at(until, attempt) => result,
            () = self.frames.closed() => return ResumeOutcome::CallerLeft,
        };
        let Ok(result) = result else {
            self.log_resumed(&slot, reason, "timeout");
            slot.release_broken();
            return ResumeOutcome::Failed;
        };
        self.log_resumed(&slot, reason, result.name());
        record_head(&slot, &result);
        let outcome = result.outcome();
        match result {
            AttemptResult::Answered(it) if it.response.status().is_success() => {
                ResumeOutcome::Resumed(it, slot)
            }
            AttemptResult::Answered(_) => {
                slot.release(outcome);
                ResumeOutcome::Failed
            }
            AttemptResult::Unknown { .. } => {
                slot.release_broken();
                ResumeOutcome::Failed
            }
            AttemptResult::NotRun { .. } | AttemptResult::NotSent { .. } => {
                slot.release(outcome);
                ResumeOutcome::NotRun
            }
        }
    }

    fn log_resumed(&self, slot: &TargetSlot, reason: &str, outcome: &str) {
        log_event!(
            info,
            Event::StreamResumed,
            request_id = self.request.id,
            target_id = slot.picked().id,
            reason,
            outcome,
            after = self.framer.last_id()
        );
    }
}
