//! Forwards a stream of events as they arrive, and resumes it at another target if one disconnects or is too slow.

use std::sync::Arc;
use std::time::Duration;

use bilberryloft_daemon::events::Event;
use bilberryloft_daemon::log_event;
use bilberryloft_routing::event_stream::EventFramer;
use bilberryloft_routing::event_stream::StreamFault;
use bilberryloft_routing::retry_budget::RetryPurpose;
use bilberryloft_routing::targets::AttemptOutcome;
use bilberryloft_transport::account::Purpose;
use bilberryloft_transport::account::Shortage;
use bilberryloft_transport::held_bytes::HeldBytes;
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
use crate::headers;
use crate::held_trial::HeldTrial;
use crate::lifecycle::OpenRequest;
use crate::request::RelayRequest;
use crate::retry_loop::record_head;
use crate::state::RelayState;
use crate::target_slot::SILENCE;
use crate::target_slot::TargetSlot;
use crate::target_slot::WholeAnswer;

/// Frames that are buffered for a slow caller.
const QUEUED_FRAMES_MAX: usize = 8;
/// Longest time since the last event after which an interrupted stream is still resumed; callers disconnect after two
/// seconds.
const RESUME_WITHIN: Duration = Duration::from_millis(1_700);
/// Pause between two attempts to resume.
const RESUME_PAUSE: Duration = Duration::from_millis(120);
/// Attempts to resume that may fail without having run, before the stream is aborted.
const RESUME_REFUSALS_MAX: u32 = 6;

type BodyFrame = Result<Frame<Bytes>, IncompleteAnswer>;

/// How the body of one target's answer ended.
enum BodyEnd {
    /// The target sent the complete body.
    Complete,
    /// The target closed the connection of a body that has no other end, after a whole event.
    Closed,
    /// The target disconnected before the end or sent an event that is too large.
    Broken,
    /// The rank slows down its group, and a slot at another rank is reserved.
    Migrate(TargetSlot),
    /// The caller disconnected.
    CallerLeft,
    /// The request timed out.
    Timeout,
}

/// Result of asking one target to go on with a stream.
enum ResumeOutcome {
    /// The target goes on.
    Resumed(Box<Answered>, TargetSlot),
    /// The target did not run the request; another one may.
    NotRun,
    /// The request must not be sent to another target.
    GaveUp,
}

/// What lasts as long as a stream: it counts as open, and its trial goes on.
pub struct InFlight {
    /// Counts the stream as open.
    pub _open: OpenRequest,
    /// Trial of the request, if it is a suspect.
    pub _trial: Option<HeldTrial>,
}

/// State of a stream that is forwarded to its caller.
struct StreamRelay {
    state: Arc<RelayState>,
    request: Arc<RelayRequest>,
    frames: mpsc::Sender<BodyFrame>,
    framer: EventFramer,
    last_event: Instant,
    longest_gap: Duration,
    bytes_sent: usize,
    /// Whether the caller has had the first events from an earlier request.
    is_continuation: bool,
    _in_flight: InFlight,
}

/// Starts forwarding a stream. Dropping the returned body ends it, also at the target.
pub fn spawn(
    state: Arc<RelayState>,
    request: RelayRequest,
    initial: Answered,
    slot: TargetSlot,
    attempts: u32,
    in_flight: InFlight,
) -> AnswerBody {
    let (frames, mut queue) = mpsc::channel(QUEUED_FRAMES_MAX);
    // A caller may resume its stream itself.
    let requested_after = requested_after(&state, &request);
    let framer = EventFramer::after(requested_after);
    let relay = StreamRelay {
        state,
        request: Arc::new(request),
        frames,
        framer,
        last_event: Instant::now(),
        longest_gap: Duration::ZERO,
        bytes_sent: 0,
        is_continuation: requested_after.is_some(),
        _in_flight: in_flight,
    };
    tokio::spawn(relay.run(initial, slot, attempts));
    let stream = futures_util::stream::poll_fn(move |context| queue.poll_recv(context));
    BodyExt::boxed(StreamBody::new(stream.fuse()))
}

/// Returns the id of the event after which the caller wants the stream to go on.
fn requested_after(state: &RelayState, request: &RelayRequest) -> Option<u64> {
    let name = &state.dialect.headers().last_event_id;
    headers::text(&request.headers, name)?.trim().parse().ok()
}

impl StreamRelay {
    async fn run(mut self, initial: Answered, slot: TargetSlot, attempts: u32) {
        let mut answered = initial;
        let mut slot = slot;
        let mut attempts_made = attempts;
        loop {
            let replacement = match self.forward_body(answered, &slot, attempts_made).await {
                BodyEnd::Complete => {
                    let answer = self.whole_answer(attempts_made == attempts);
                    let target_id = slot.picked().id.clone();
                    return self.end(&target_id, slot.release_answered(answer));
                }
                BodyEnd::Closed => {
                    let answer = self.whole_answer(attempts_made == attempts);
                    let target_id = slot.picked().id.clone();
                    return self.end(&target_id, slot.release_closed(answer));
                }
                BodyEnd::CallerLeft => return self.log_caller_left(),
                BodyEnd::Timeout => return self.abort("timeout").await,
                BodyEnd::Migrate(replacement) => {
                    slot.release(AttemptOutcome::Unknown);
                    Some(replacement)
                }
                BodyEnd::Broken => {
                    let ended = slot.release_broken();
                    self.state.suspects.wait_for_check(&self.request, &ended).await;
                    None
                }
            };
            self.framer.begin_continuation();
            match self.resume(attempts_made, replacement).await {
                Some((next, next_slot)) => {
                    answered = next;
                    slot = next_slot;
                    attempts_made += 1;
                }
                None => return self.abort("target_broke_off").await,
            }
        }
    }

    /// Returns what the target that ended the stream has sent of it.
    fn whole_answer(&self, is_first_target: bool) -> WholeAnswer {
        match is_first_target && !self.is_continuation {
            true => WholeAnswer::Stream { bytes: self.bytes_sent },
            false => WholeAnswer::Continuation,
        }
    }

    /// Counts and logs a stream that its target has ended in good order.
    fn end(&self, target_id: &str, is_truncated: bool) {
        self.state.daemon.metrics.answers.inc();
        log_event!(
            info,
            Event::StreamEnded,
            request_id = self.request.id,
            target_id,
            is_truncated,
            bytes = self.bytes_sent,
            longest_gap_ms = self.longest_gap.as_millis() as u64,
            whole_ms = self.request.arrived.elapsed().as_millis() as u64
        );
    }

    /// Logs that the caller disconnected; where this process ended the connection, another event says so.
    fn log_caller_left(&self) {
        if !self.request.caller.is_ended() {
            let request_id = &self.request.id;
            log_event!(info, Event::CallerLeft, request_id, at = "stream");
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

    fn log_rejected(&self, slot: &TargetSlot, fault: StreamFault) {
        log_event!(
            warn,
            Event::EventsRejected,
            request_id = self.request.id,
            target_id = slot.picked().id,
            ?fault,
            last_id = self.framer.last_id()
        );
    }

    async fn abort(&self, reason: &str) {
        log_event!(
            warn,
            Event::StreamBroken,
            request_id = self.request.id,
            reason,
            bytes = self.bytes_sent,
            last_id = self.framer.last_id()
        );
        let _ = self.frames.send(Err(IncompleteAnswer)).await;
    }

    async fn forward_body(
        &mut self,
        answered: Answered,
        slot: &TargetSlot,
        attempts_made: u32,
    ) -> BodyEnd {
        let Answered { response, connection, address } = answered;
        let (parts, mut body) = response.into_parts();
        let is_framed = headers::is_framed(&parts.headers);
        let sent_before = self.bytes_sent;
        let may_resume = self.may_resume(attempts_made);
        let (state, request) = (self.state.clone(), self.request.clone());
        let migration = state.wait_for_migration(&request, slot.picked().key);
        tokio::pin!(migration);
        let mut checked = Instant::now();
        let end = loop {
            let frame = tokio::select! {
                frame = connection.next_frame(&mut body) => frame,
                replacement = &mut migration, if may_resume => break BodyEnd::Migrate(replacement),
                () = self.frames.closed() => break BodyEnd::CallerLeft,
                () = tokio::time::sleep_until(checked.max(self.last_event) + SILENCE) => {
                    checked = Instant::now();
                    slot.check_target();
                    continue;
                }
                () = tokio::time::sleep_until(self.request.deadline) => break BodyEnd::Timeout,
            };
            match frame {
                None if self.framer.has_partial() => break BodyEnd::Broken,
                None if is_framed => break BodyEnd::Complete,
                None if self.bytes_sent == sent_before => break BodyEnd::Broken,
                None => break BodyEnd::Closed,
                Some(Err(_)) => break BodyEnd::Broken,
                Some(Ok(frame)) => {
                    if let Some(end) = self.forward_frame(frame, slot).await {
                        break end;
                    }
                }
            }
        };
        if matches!(end, BodyEnd::Complete) {
            self.state.pool.give_back(&address, connection, &parts.headers);
        }
        end
    }

    async fn forward_frame(&mut self, frame: Frame<Bytes>, slot: &TargetSlot) -> Option<BodyEnd> {
        let Ok(bytes) = frame.into_data() else {
            return None;
        };
        let events = match self.framer.push(&bytes) {
            Ok(events) => events,
            Err(fault) => {
                self.log_rejected(slot, fault);
                return Some(BodyEnd::Broken);
            }
        };
        if events.is_empty() {
            return None;
        }
        slot.record_answer();
        if self.bytes_sent > 0 {
            let gap = self.last_event.elapsed();
            self.longest_gap = self.longest_gap.max(gap);
            self.state.services.record_pause(&self.request.service, gap);
        }
        self.last_event = Instant::now();
        self.bytes_sent += events.len();
        self.state.daemon.metrics.pieces.inc();
        // Reserved before the frame is queued, so that callers who don't read hold up their own targets.
        let Ok(held) = self.hold(&events).await else {
            return Some(BodyEnd::Timeout);
        };
        match self.frames.send(Ok(Frame::data(held))).await {
            Ok(()) => None,
            Err(_) => Some(BodyEnd::CallerLeft),
        }
    }

    /// Holds events in the account until their caller has taken them.
    async fn hold(&self, events: &[u8]) -> Result<Bytes, Shortage> {
        let reservation = self.state.memory.open(Purpose::Stream);
        let mut held = HeldBytes::new(reservation, events.len());
        held.push(events, self.request.deadline).await?;
        Ok(held.into_bytes())
    }

    fn take_retry(&self) -> bool {
        self.state.retries.take(&self.request.service, RetryPurpose::Request, &self.request.id)
    }

    /// Returns whether the stream may be resumed at another target, which a suspect may not.
    fn may_resume(&self, attempts_made: u32) -> bool {
        self.request.route.is_resumable
            && attempts_made < self.request.route.attempts_max
            && self.state.suspects.may_retry(&self.request)
    }

    /// Resumes the stream after its last event at another target, before callers disconnect. Tries `replacement` first,
    /// if there is one.
    async fn resume(
        &mut self,
        attempts_made: u32,
        replacement: Option<TargetSlot>,
    ) -> Option<(Answered, TargetSlot)> {
        if !self.may_resume(attempts_made) {
            return None;
        }
        let reason = if replacement.is_some() { "slow_target" } else { "broke_off" };
        let mut reserved = replacement;
        let until = (self.last_event + RESUME_WITHIN).min(self.request.deadline);
        let mut refused = 0;
        while Instant::now() < until && refused < RESUME_REFUSALS_MAX {
            if self.frames.is_closed() {
                return None;
            }
            let candidate = match reserved.take() {
                None if !self.take_retry() => return None,
                None => self.state.pick_for_retry(&self.request, &[]).ok(),
                Some(slot) => Some(slot),
            };
            let outcome = match candidate {
                Some(slot) => self.resume_at(slot, reason, until).await,
                None => ResumeOutcome::NotRun,
            };
            match outcome {
                ResumeOutcome::Resumed(answered, slot) => return Some((*answered, slot)),
                ResumeOutcome::GaveUp => return None,
                ResumeOutcome::NotRun => {
                    refused += 1;
                    tokio::time::sleep(RESUME_PAUSE).await;
                }
            }
        }
        None
    }

    /// Asks one target to go on after the last event.
    async fn resume_at(&self, slot: TargetSlot, reason: &str, until: Instant) -> ResumeOutcome {
        let after = self.framer.last_id();
        self.state.limits.log_sent(&self.request.id, slot.picked());
        let attempt = attempt::send(&self.state, &self.request, slot.picked(), after);
        let Ok(result) = tokio::time::timeout_at(until, attempt).await else {
            slot.release_broken();
            return ResumeOutcome::GaveUp;
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
                ResumeOutcome::GaveUp
            }
            AttemptResult::Unknown { .. } => {
                slot.release_broken();
                ResumeOutcome::GaveUp
            }
            AttemptResult::NotRun { .. } | AttemptResult::NotSent { .. } => {
                slot.release(outcome);
                ResumeOutcome::NotRun
            }
        }
    }
}
