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
use crate::answer::BrokenOff;
use crate::attempt;
use crate::attempt::Answered;
use crate::attempt::AttemptEnd;
use crate::held::Held;
use crate::request::RelayRequest;
use crate::state::OpenRequest;
use crate::state::RelayState;

/// Pieces that wait for a slow caller.
const PIECES_MAX: usize = 8;
/// Longest silence after which a stream that broke off is still worth going on with; callers leave at two
/// seconds.
const RESUME_WITHIN: Duration = Duration::from_millis(1_700);
/// Pause between two tries to go on.
const RESUME_PAUSE: Duration = Duration::from_millis(120);
/// Tries that targets refuse, at most.
const RESUME_REFUSED_MAX: u32 = 6;

type Piece = Result<Frame<Bytes>, BrokenOff>;

/// How the body of one answer ended.
enum BodyEnd {
    /// At its true end.
    Whole,
    /// The target broke off.
    Broken,
    /// The target holds up its group, and another one has a place.
    TooSlow(Held),
    /// The caller left.
    CallerLeft,
    /// The time of the request ran out.
    TimeOut,
}

struct Relay {
    state: Arc<RelayState>,
    request: RelayRequest,
    pieces: mpsc::Sender<Piece>,
    framer: EventFramer,
    last_piece: Instant,
    longest_gap: Duration,
    events_bytes: usize,
    _open: OpenRequest,
}

/// Starts passing a stream on; dropping the body ends it, at the target too.
pub fn spawn(
    state: Arc<RelayState>,
    request: RelayRequest,
    first: Answered,
    held: Held,
    attempts: u32,
    open: OpenRequest,
) -> AnswerBody {
    let (pieces, mut queue) = mpsc::channel(PIECES_MAX);
    let relay = Relay {
        state,
        request,
        pieces,
        framer: EventFramer::default(),
        last_piece: Instant::now(),
        longest_gap: Duration::ZERO,
        events_bytes: 0,
        _open: open,
    };
    tokio::spawn(relay.run(first, held, attempts));
    let stream = futures_util::stream::poll_fn(move |context| queue.poll_recv(context));
    BodyExt::boxed(StreamBody::new(stream.fuse()))
}

impl Relay {
    async fn run(mut self, first: Answered, held: Held, attempts: u32) {
        let mut answered = first;
        let mut held = held;
        let mut runs = attempts;
        loop {
            let instead = match self.pass_on(answered, &held, runs).await {
                BodyEnd::Whole => {
                    held.tell(AttemptOutcome::Success);
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
                BodyEnd::TimeOut => return self.give_up("timeout").await,
                BodyEnd::TooSlow(instead) => {
                    held.tell(AttemptOutcome::Unknown);
                    Some(instead)
                }
                BodyEnd::Broken => {
                    held.tell(AttemptOutcome::Lost);
                    None
                }
            };
            self.framer.discard_partial();
            match self.resume(runs, instead).await {
                Some((next, next_held)) => {
                    answered = next;
                    held = next_held;
                    runs += 1;
                }
                None => return self.give_up("target_broke_off").await,
            }
        }
    }

    fn log_end(&self) {
        log_event!(
            info,
            Event::StreamEnded,
            request_id = self.request.id,
            bytes = self.events_bytes,
            longest_gap_ms = self.longest_gap.as_millis() as u64,
            whole_ms = self.request.arrived.elapsed().as_millis() as u64
        );
    }

    fn log_resumed(&self, held: &Held, reason: &str, outcome: &str) {
        log_event!(
            info,
            Event::StreamResumed,
            request_id = self.request.id,
            target_id = held.picked().id,
            reason,
            outcome,
            after = self.framer.last_id()
        );
    }

    async fn give_up(&self, reason: &str) {
        log_event!(
            warn,
            Event::StreamBroken,
            request_id = self.request.id,
            reason,
            bytes = self.events_bytes,
            last_id = self.framer.last_id()
        );
        let _ = self.pieces.send(Err(BrokenOff)).await;
    }

    async fn pass_on(&mut self, answered: Answered, held: &Held, runs: u32) -> BodyEnd {
        let Answered { response, connection, address } = answered;
        let (parts, mut body) = response.into_parts();
        let may_resume = self.may_resume(runs);
        let (state, service) = (self.state.clone(), self.request.service.clone());
        let too_slow = state.place_instead_of_slow(&service, held.picked().key);
        tokio::pin!(too_slow);
        let end = loop {
            let frame = tokio::select! {
                frame = body.frame() => frame,
                instead = &mut too_slow, if may_resume => break BodyEnd::TooSlow(instead),
                () = self.pieces.closed() => break BodyEnd::CallerLeft,
                () = tokio::time::sleep_until(self.request.due) => break BodyEnd::TimeOut,
            };
            match frame {
                None if self.framer.has_partial() => break BodyEnd::Broken,
                None => break BodyEnd::Whole,
                Some(Err(_)) => break BodyEnd::Broken,
                Some(Ok(frame)) => {
                    if let Some(end) = self.pass_frame(frame).await {
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

    async fn pass_frame(&mut self, frame: Frame<Bytes>) -> Option<BodyEnd> {
        let Ok(bytes) = frame.into_data() else {
            return None;
        };
        let Ok(whole) = self.framer.push(&bytes) else {
            return Some(BodyEnd::Broken);
        };
        if whole.is_empty() {
            return None;
        }
        if self.events_bytes > 0 {
            let gap = self.last_piece.elapsed();
            self.longest_gap = self.longest_gap.max(gap);
            self.state.record_pause(&self.request.service, gap);
        }
        self.last_piece = Instant::now();
        self.events_bytes += whole.len();
        self.state.daemon.metrics.pieces.inc();
        match self.pieces.send(Ok(Frame::data(Bytes::from(whole)))).await {
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
    async fn resume(&mut self, runs: u32, instead: Option<Held>) -> Option<(Answered, Held)> {
        if !self.may_resume(runs) {
            return None;
        }
        let service = self.request.service.as_str();
        let reason = if instead.is_some() { "slow_target" } else { "broke_off" };
        let mut first = instead;
        let until = (self.last_piece + RESUME_WITHIN).min(self.request.due);
        let mut refused = 0;
        while Instant::now() < until && refused < RESUME_REFUSED_MAX {
            if self.pieces.is_closed() {
                return None;
            }
            let place = match first.take() {
                None if !self.state.may_retry(service, RetryPurpose::Request) => return None,
                None => self.state.pick_again(service, &[]).ok(),
                Some(instead) => Some(instead),
            };
            let Some(held) = place else {
                tokio::time::sleep(RESUME_PAUSE).await;
                refused += 1;
                continue;
            };
            let after = self.framer.last_id();
            let sent = attempt::send(&self.state, &self.request, held.picked(), after);
            let Ok(end) = tokio::time::timeout_at(until, sent).await else {
                held.tell(AttemptOutcome::Lost);
                return None;
            };
            self.log_resumed(&held, reason, end.name());
            let verdict = end.verdict();
            match end {
                AttemptEnd::Answered(it) if it.response.status().is_success() => {
                    return Some((*it, held));
                }
                AttemptEnd::Answered(_) | AttemptEnd::Unknown { .. } => {
                    held.tell(verdict);
                    return None;
                }
                AttemptEnd::NotRun { .. } | AttemptEnd::NotSent { .. } => {
                    held.tell(verdict);
                    refused += 1;
                    tokio::time::sleep(RESUME_PAUSE).await;
                }
            }
        }
        None
    }
}
