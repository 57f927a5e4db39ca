//! Forwards a stream of events as they arrive, and resumes it at another target if one disconnects or is too slow.

pub mod head;
pub mod queue;
mod resume;

use std::sync::Arc;
use std::time::Duration;

use bilberryloft_daemon::events::Event;
use bilberryloft_daemon::log_event;
use bilberryloft_routing::event_stream::EventFramer;
use bilberryloft_routing::event_stream::StreamFault;
use bilberryloft_routing::selection::TargetKey;
use bilberryloft_routing::targets::AttemptOutcome;
use bilberryloft_transport::account::Purpose;
use bilberryloft_transport::account::Shortage;
use bilberryloft_transport::held_bytes::HeldBytes;
use bytes::Bytes;
use hyper::body::Frame;
use tokio::time::Instant;

use crate::answer::AnswerBody;
use crate::attempt::Answered;
use crate::connection::Connection;
use crate::headers;
use crate::held_trial::HeldTrial;
use crate::lifecycle::OpenRequest;
use crate::lifecycle::Stage;
use crate::pool::idle_time;
use crate::request::RelayRequest;
use crate::state::RelayState;
use crate::stream::queue::EventSender;
use crate::stream::resume::Continuation;
use crate::target_slot::SILENCE;
use crate::target_slot::TargetSlot;
use crate::target_slot::WholeAnswer;

/// Time after a rank has refused to take over a stream before another one is asked.
const MIGRATION_PAUSE: Duration = Duration::from_millis(1_000);

/// How the body of one target's answer ended.
enum BodyEnd {
    /// The target sent the complete body.
    Complete,
    /// The target closed the connection of a body that has no other end, after a whole event.
    Closed,
    /// The target disconnected before the end or sent an event that is too large.
    Broken,
    /// Another rank has taken over the stream, because this one slows down its group.
    Moved(Box<Continuation>),
    /// The caller disconnected.
    CallerLeft,
    /// The request timed out.
    Timeout,
    /// There was no memory for its events until the request timed out.
    MemoryShort,
    /// This process ends before the stream.
    Stopping,
}

/// What lasts as long as a stream: it counts as open, and its trial goes on.
pub struct InFlight {
    /// Counts the stream as open.
    pub _open: OpenRequest,
    /// Trial of the request, if it is a suspect.
    pub _trial: Option<HeldTrial>,
}

/// A stream whose first target has answered.
pub struct BegunStream {
    /// Answer of the target.
    pub first: Answered,
    /// Slot at the target.
    pub slot: TargetSlot,
    /// Attempts that ran or may have run.
    pub attempts: u32,
    /// Whether another target may go on with the stream.
    pub may_be_continued: bool,
}

/// State of a stream that is forwarded to its caller.
struct StreamRelay {
    state: Arc<RelayState>,
    request: Arc<RelayRequest>,
    frames: EventSender,
    framer: EventFramer,
    last_event: Instant,
    longest_gap: Duration,
    bytes_sent: usize,
    /// Attempts that ran or may have run.
    attempts: u32,
    /// Whether another target may go on with the stream.
    may_be_continued: bool,
    /// Whether the caller has had the first events from another target, or from an earlier request.
    is_continuation: bool,
    _in_flight: InFlight,
}

/// Starts forwarding a stream. Dropping the returned body ends it, also at the target.
pub fn spawn(
    state: Arc<RelayState>,
    request: RelayRequest,
    begun: BegunStream,
    in_flight: InFlight,
) -> AnswerBody {
    let (frames, body) = queue::open();
    // A caller may resume its stream itself.
    let requested_after = requested_after(&state, &request);
    let framer = EventFramer::after(requested_after);
    let BegunStream { first, slot, attempts, may_be_continued } = begun;
    let relay = StreamRelay {
        state,
        request: Arc::new(request),
        frames,
        framer,
        last_event: Instant::now(),
        longest_gap: Duration::ZERO,
        bytes_sent: 0,
        attempts,
        may_be_continued,
        is_continuation: requested_after.is_some(),
        _in_flight: in_flight,
    };
    tokio::spawn(relay.run(first, slot));
    body
}

/// Returns the id of the event after which the caller wants the stream to go on.
fn requested_after(state: &RelayState, request: &RelayRequest) -> Option<u64> {
    let name = &state.dialect.headers().last_event_id;
    headers::text(&request.headers, name)?.trim().parse().ok()
}

/// Waits until a stream should move away from its slow rank and a slot at another rank is reserved for it, but for so long
/// at least.
async fn wait_for_migration(
    state: &RelayState,
    request: &RelayRequest,
    key: TargetKey,
    pause: Duration,
) -> TargetSlot {
    tokio::time::sleep(pause).await;
    state.wait_for_migration(request, key).await
}

impl StreamRelay {
    async fn run(mut self, first: Answered, slot: TargetSlot) {
        let mut answered = first;
        let mut slot = slot;
        loop {
            let next = match self.forward_body(answered, &slot).await {
                BodyEnd::Complete => {
                    let answer = self.whole_answer();
                    let target_id = slot.picked().id.clone();
                    return self.end(&target_id, slot.release_answered(answer));
                }
                BodyEnd::Closed => {
                    let answer = self.whole_answer();
                    let target_id = slot.picked().id.clone();
                    return self.end(&target_id, slot.release_closed(answer));
                }
                BodyEnd::CallerLeft => return self.log_caller_left(),
                BodyEnd::Timeout => return self.abort("timeout"),
                BodyEnd::MemoryShort => return self.abort("memory_short"),
                BodyEnd::Stopping => return self.abort("stopping"),
                BodyEnd::Moved(next) => {
                    slot.release(AttemptOutcome::Unknown);
                    *next
                }
                BodyEnd::Broken => {
                    let key = slot.picked().key;
                    let ended = slot.release_broken();
                    self.state.suspects.wait_for_check(&self.request, &ended).await;
                    match self.resume(key).await {
                        Some(next) => next,
                        None => return self.abort("target_broke_off"),
                    }
                }
            };
            answered = next.answered;
            slot = next.slot;
        }
    }

    /// Returns what the target that ended the stream has sent of it.
    fn whole_answer(&self) -> WholeAnswer {
        match self.is_continuation {
            true => WholeAnswer::Continuation,
            false => WholeAnswer::Stream { bytes: self.bytes_sent },
        }
    }

    /// Ends a stream that its target has ended in good order.
    fn end(&self, target_id: &str, is_truncated: bool) {
        self.frames.finish();
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

    /// Logs that the stream breaks off. Its caller sees that when the sender of its events is dropped.
    fn abort(&self, reason: &str) {
        log_event!(
            warn,
            Event::StreamBroken,
            request_id = self.request.id,
            reason,
            bytes = self.bytes_sent,
            last_id = self.framer.last_id()
        );
    }

    async fn forward_body(&mut self, answered: Answered, slot: &TargetSlot) -> BodyEnd {
        let Answered { response, connection, address } = answered;
        let (parts, mut body) = response.into_parts();
        let is_framed = headers::is_framed(&parts.headers);
        let sent_before = self.bytes_sent;
        let (state, request) = (self.state.clone(), self.request.clone());
        let key = slot.picked().key;
        let mut may_resume = self.may_resume();
        let migration = wait_for_migration(&state, &request, key, Duration::ZERO);
        let stopping = state.lifecycle.wait_for_stage(Stage::Breaking);
        tokio::pin!(migration, stopping);
        let mut checked = Instant::now();
        let end = loop {
            let frame = tokio::select! {
                frame = connection.next_frame(&mut body) => frame,
                replacement = &mut migration, if may_resume => {
                    if let Some(next) = self.migrate(replacement).await {
                        break BodyEnd::Moved(Box::new(next));
                    }
                    may_resume = self.may_resume();
                    migration.set(wait_for_migration(&state, &request, key, MIGRATION_PAUSE));
                    continue;
                }
                () = self.frames.closed() => break BodyEnd::CallerLeft,
                () = tokio::time::sleep_until(checked.max(self.last_event) + SILENCE) => {
                    checked = Instant::now();
                    slot.check_target();
                    continue;
                }
                () = tokio::time::sleep_until(self.request.deadline) => break BodyEnd::Timeout,
                () = &mut stopping => break BodyEnd::Stopping,
            };
            match frame {
                None if self.framer.has_partial() => break BodyEnd::Broken,
                None if is_framed => break BodyEnd::Complete,
                None if self.bytes_sent == sent_before => break BodyEnd::Broken,
                None => break BodyEnd::Closed,
                Some(Err(_)) => break BodyEnd::Broken,
                Some(Ok(frame)) => {
                    if let Some(end) = self.forward_counted(frame, slot, &connection).await {
                        break end;
                    }
                }
            }
        };
        if matches!(end, BodyEnd::Complete) {
            self.state.pool.give_back(&address, connection, idle_time(&parts.headers));
        }
        end
    }

    /// Forwards a frame, and tells the connection what is no longer held of it.
    async fn forward_counted(
        &mut self,
        frame: Frame<Bytes>,
        slot: &TargetSlot,
        connection: &Connection,
    ) -> Option<BodyEnd> {
        let held_bytes = frame.data_ref().map_or(0, Bytes::len) + self.framer.partial_bytes();
        let end = self.forward_frame(frame, slot).await;
        connection.record_taken(held_bytes.saturating_sub(self.framer.partial_bytes()));
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
        self.queue(&events).await.err()
    }

    /// Queues events until their caller takes them. While there is no room, this waits until the deadline of the request, or
    /// until the caller disconnects.
    async fn queue(&self, events: &[u8]) -> Result<(), BodyEnd> {
        // Reserved before the frame is queued, so that callers who don't read hold up their own targets.
        let held = tokio::select! {
            held = self.hold(events) => held.map_err(|_| BodyEnd::MemoryShort)?,
            () = self.frames.closed() => return Err(BodyEnd::CallerLeft),
        };
        let queued = self.frames.send(held);
        match tokio::time::timeout_at(self.request.deadline, queued).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) => Err(BodyEnd::CallerLeft),
            Err(_) => Err(BodyEnd::Timeout),
        }
    }

    /// Holds events in the account until their caller has taken them.
    async fn hold(&self, events: &[u8]) -> Result<Bytes, Shortage> {
        let reservation = self.state.memory.open(Purpose::Stream);
        let mut held = HeldBytes::new(reservation, events.len());
        held.push(events, self.request.deadline).await?;
        Ok(held.into_bytes())
    }
}
