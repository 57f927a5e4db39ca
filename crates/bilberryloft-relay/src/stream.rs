//! Passing a stream of events on as they come, and going on at another target when one breaks off.

use std::sync::Arc;
use std::time::Duration;

use bilberryloft_daemon::events::Event;
use bilberryloft_daemon::log_event;
use bilberryloft_routing::event_stream::EventFramer;
use bilberryloft_routing::retry_budget::RetryPurpose;
use bilberryloft_routing::targets::AttemptOutcome;
use bytes::Bytes;
use futures_util::StreamExt;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::body::Frame;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::answer::AnswerBody;
use crate::answer::IncompleteAnswer;
use crate::attempt;
use crate::attempt::Answered;
use crate::attempt::AttemptResult;
use crate::held::TargetSlot;
use crate::request::RelayRequest;
use crate::state::OpenRequest;
use crate::state::RelayState;

/// Pieces that wait for a slow caller.
const QUEUED_FRAMES_MAX: usize = 8;
/// Longest silence after which a stream that broke off is still worth going on with; callers leave at two
/// seconds.
const RESUME_WITHIN: Duration = Duration::from_millis(1_700);
/// Pause between two tries to go on.
const RESUME_PAUSE: Duration = Duration::from_millis(120);
/// Tries that targets refuse, at most.
const RESUME_REFUSALS_MAX: u32 = 6;

type BodyFrame = Result<Frame<Bytes>, IncompleteAnswer>;

/// How the body of one answer ended.
enum BodyEnd {
    /// At its true end.
    Whole,
    /// The target broke off.
    Broken,
    /// The target holds up its group, and another one has a place.
    Migrate(TargetSlot),
    /// The caller left.
    CallerLeft,
    /// The time of the request ran out.
    Timeout,
}

struct StreamRelay {
    state: Arc<RelayState>,
    request: RelayRequest,
    frames: mpsc::Sender<BodyFrame>,
    framer: EventFramer,
    last_event: Instant,
    longest_gap: Duration,
    sent_bytes: usize,
    _open: OpenRequest,
}

/// Starts passing a stream on; dropping the body ends it, at the target too.
pub fn spawn(
    state: Arc<RelayState>,
    request: RelayRequest,
    initial: Answered,
    slot: TargetSlot,
    attempts: u32,
    open: OpenRequest,
) -> AnswerBody {
    let (frames, mut queue) = mpsc::channel(QUEUED_FRAMES_MAX);
    let relay = StreamRelay {
        state,
        request,
        frames,
        framer: EventFramer::default(),
        last_event: Instant::now(),
        longest_gap: Duration::ZERO,
        sent_bytes: 0,
        _open: open,
    };
    tokio::spawn(relay.run(initial, slot, attempts));
    let stream = futures_util::stream::poll_fn(move |context| queue.poll_recv(context));
    BodyExt::boxed(StreamBody::new(stream.fuse()))
}

impl StreamRelay {
    async fn run(mut self, initial: Answered, slot: TargetSlot, attempts: u32) {
        let mut answered = initial;
        let mut slot = slot;
        let mut runs = attempts;
        loop {
            let replacement = match self.forward_body(answered, &slot, runs).await {
                BodyEnd::Whole => {
                    slot.release(AttemptOutcome::Success);
                    self.state.daemon.metrics.answers.inc();
                    self.log_end();
                    return;
                }
                BodyEnd::CallerLeft => {
                    log_event!(
                        info,
                        Event::CallerLeft,
                        request_id = self.request.id,
                        at = "stream"
                    );
                    return;
                }
                BodyEnd::Timeout => return self.abort("timeout").await,
                BodyEnd::Migrate(replacement) => {
                    slot.release(AttemptOutcome::Unknown);
                    Some(replacement)
                }
                BodyEnd::Broken => {
                    slot.release(AttemptOutcome::Lost);
                    None
                }
            };
            self.framer.discard_partial();
            match self.resume(runs, replacement).await {
                Some((next, next_slot)) => {
                    answered = next;
                    slot = next_slot;
                    runs += 1;
                }
                None => return self.abort("target_broke_off").await,
            }
        }
    }

    fn log_end(&self) {
        log_event!(
            info,
            Event::StreamEnded,
            request_id = self.request.id,
            bytes = self.sent_bytes,
            longest_gap_ms = self.longest_gap.as_millis() as u64,
            whole_ms = self.request.arrived.elapsed().as_millis() as u64
        );
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

    async fn abort(&self, reason: &str) {
        log_event!(
            warn,
            Event::StreamBroken,
            request_id = self.request.id,
            reason,
            bytes = self.sent_bytes,
            last_id = self.framer.last_id()
        );
        let _ = self.frames.send(Err(IncompleteAnswer)).await;
    }

    async fn forward_body(&mut self, answered: Answered, slot: &TargetSlot, runs: u32) -> BodyEnd {
        let Answered { response, connection, address } = answered;
        let (parts, mut body) = response.into_parts();
        let may_resume = self.may_resume(runs);
        let (state, service) = (self.state.clone(), self.request.service.clone());
        let migration = state.wait_for_migration(&service, slot.picked().key);
        tokio::pin!(migration);
        let end = loop {
            let frame = tokio::select! {
                frame = body.frame() => frame,
                replacement = &mut migration, if may_resume => break BodyEnd::Migrate(replacement),
                () = self.frames.closed() => break BodyEnd::CallerLeft,
                () = tokio::time::sleep_until(self.request.due) => break BodyEnd::Timeout,
            };
            match frame {
                None if self.framer.has_partial() => break BodyEnd::Broken,
                None => break BodyEnd::Whole,
                Some(Err(_)) => break BodyEnd::Broken,
                Some(Ok(frame)) => {
                    if let Some(end) = self.forward_frame(frame).await {
                        break end;
                    }
                }
            }
        };
        if matches!(end, BodyEnd::Whole) {
            self.state.pool.give_back(&address, connection, &parts.headers);
        }
        end
    }

    async fn forward_frame(&mut self, frame: Frame<Bytes>) -> Option<BodyEnd> {
        let Ok(bytes) = frame.into_data() else {
            return None;
        };
        let Ok(events) = self.framer.push(&bytes) else {
            return Some(BodyEnd::Broken);
        };
        if events.is_empty() {
            return None;
        }
        if self.sent_bytes > 0 {
            let gap = self.last_event.elapsed();
            self.longest_gap = self.longest_gap.max(gap);
            self.state.record_pause(&self.request.service, gap);
        }
        self.last_event = Instant::now();
        self.sent_bytes += events.len();
        self.state.daemon.metrics.pieces.inc();
        match self.frames.send(Ok(Frame::data(Bytes::from(events)))).await {
            Ok(()) => None,
            Err(_) => Some(BodyEnd::CallerLeft),
        }
    }

    /// Whether the stream may go on at another target.
    fn may_resume(&self, runs: u32) -> bool {
        self.request.route.is_resumable && runs < self.request.route.attempts_max
    }

    /// Goes on behind the last event at another target, within the pause that callers bear; first at `instead`, if
    /// there is one.
    async fn resume(
        &mut self,
        runs: u32,
        replacement: Option<TargetSlot>,
    ) -> Option<(Answered, TargetSlot)> {
        if !self.may_resume(runs) {
            return None;
        }
        let service = self.request.service.as_str();
        let reason = if replacement.is_some() { "slow_target" } else { "broke_off" };
        let mut initial = replacement;
        let until = (self.last_event + RESUME_WITHIN).min(self.request.due);
        let mut refused = 0;
        while Instant::now() < until && refused < RESUME_REFUSALS_MAX {
            if self.frames.is_closed() {
                return None;
            }
            let candidate = match initial.take() {
                None if !self.state.take_retry(service, RetryPurpose::Request) => return None,
                None => self.state.pick_for_retry(service, &[]).ok(),
                Some(replacement) => Some(replacement),
            };
            let Some(slot) = candidate else {
                tokio::time::sleep(RESUME_PAUSE).await;
                refused += 1;
                continue;
            };
            let after = self.framer.last_id();
            let sent = attempt::send(&self.state, &self.request, slot.picked(), after);
            let Ok(end) = tokio::time::timeout_at(until, sent).await else {
                slot.release(AttemptOutcome::Lost);
                return None;
            };
            self.log_resumed(&slot, reason, end.name());
            let outcome = end.outcome();
            match end {
                AttemptResult::Answered(it) if it.response.status().is_success() => {
                    return Some((*it, slot));
                }
                AttemptResult::Answered(_) | AttemptResult::Unknown { .. } => {
                    slot.release(outcome);
                    return None;
                }
                AttemptResult::NotRun { .. } | AttemptResult::NotSent { .. } => {
                    slot.release(outcome);
                    refused += 1;
                    tokio::time::sleep(RESUME_PAUSE).await;
                }
            }
        }
        None
    }
}
