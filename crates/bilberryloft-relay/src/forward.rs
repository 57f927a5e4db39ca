//! Serves a caller's request from its arrival to its answer or refusal.

use std::sync::Arc;
use std::time::Duration;

use bilberryloft_daemon::events::Event;
use bilberryloft_daemon::log_event;
use bilberryloft_routing::routes::RouteTable;
use bilberryloft_routing::targets::AttemptOutcome;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use tokio::time::Instant;

use crate::answer::AnswerBody;
use crate::answer::Refusal;
use crate::answer::held_body;
use crate::evacuation;
use crate::headers;
use crate::lifecycle::OpenRequest;
use crate::lifecycle::Stage;
use crate::memory::caller_connection::CallerConnection;
use crate::request;
use crate::request::RelayRequest;
use crate::retry_loop::AnswerContent;
use crate::retry_loop::FinalAnswer;
use crate::retry_loop::run_attempts;
use crate::state::LoadSnapshot;
use crate::state::RelayState;
use crate::stream;
use crate::stream::BegunStream;
use crate::stream::InFlight;
use crate::target_slot::TargetSlot;
use crate::target_slot::WholeAnswer;

/// Range of the `retry-after` delay, in milliseconds.
const RETRY_AFTER_MS: std::ops::RangeInclusive<u64> = 250..=900;
/// Range of the `retry-after` delay while no routes or targets are known, in milliseconds. Learning them takes a quorum
/// and announcements.
const RETRY_AFTER_NO_TARGET_MS: std::ops::RangeInclusive<u64> = 1_000..=2_200;
/// Range of the `retry-after` delay while a group is down, in milliseconds. A rank takes seconds to restart, and
/// callers accept a delay of up to a third of their time limit.
const RETRY_AFTER_GROUP_MS: std::ops::RangeInclusive<u64> = 2_200..=2_600;
/// Range of the `retry-after` delay while the same request runs on trial, in milliseconds: about the time of a run.
const RETRY_AFTER_TRIAL_MS: std::ops::RangeInclusive<u64> = 1_500..=2_200;
/// Range of the `retry-after` delay of an entry that stops, in milliseconds. Another entry takes the request at once.
const RETRY_AFTER_STOPPING_MS: std::ops::RangeInclusive<u64> = 20..=150;
/// Longest wait for the first routing document after start. It is shorter than the time after which callers give up on
/// a connection.
const FIRST_DOCUMENT_WAIT: Duration = Duration::from_millis(700);
/// Interval at which the first routing document is checked for.
const FIRST_DOCUMENT_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Logs on drop that the caller disconnected, unless the request was answered or this process ended the connection.
struct CallerGuard<'a> {
    caller: &'a CallerConnection,
    id: &'a str,
    arrived: Instant,
    is_answered: bool,
}

impl Drop for CallerGuard<'_> {
    fn drop(&mut self) {
        if !self.is_answered && !self.caller.is_ended() {
            let waited_ms = self.arrived.elapsed().as_millis() as u64;
            log_event!(info, Event::CallerLeft, request_id = self.id, waited_ms);
        }
    }
}

/// Serves one request of a caller.
pub async fn serve(
    state: Arc<RelayState>,
    request: Request<Incoming>,
    caller: Arc<CallerConnection>,
) -> Response<AnswerBody> {
    let arrived = Instant::now();
    state.daemon.metrics.requests.inc();
    let routes = wait_for_routes(&state).await;
    let names = state.dialect.headers();
    let id = headers::text(request.headers(), &names.request_id).unwrap_or_default().to_string();
    let read = read_before_closed(&state, request, &routes, &caller, arrived).await;
    caller.begin_request(&id);
    drop(routes);
    let request = match read {
        Ok(request) => request,
        Err(refusal) => return refuse(&id, refusal, arrived, None),
    };
    let open = state.lifecycle.track_request();
    let open_requests = state.lifecycle.open_requests() + state.call_pool.idle_count();
    if !state.memory.make_connection_room(&state.pool, open_requests, 0).await {
        return refuse(&id, Refusal::ConnectionsFull, arrived, None);
    }
    state.retries.record_request(&request.service);
    let mut guard = CallerGuard { caller: &caller, id: &id, arrived, is_answered: false };
    let result = run_attempts(&state, &request).await;
    guard.is_answered = true;
    let answer = match result {
        Ok(answer) => answer,
        Err(refusal) => {
            let context = state.load_snapshot(&request);
            evacuation::record_refusal(&state, &request, refusal);
            return refuse(&id, refusal, arrived, Some((&request, context)));
        }
    };
    state.daemon.metrics.first_byte_s.observe(arrived.elapsed().as_secs_f64());
    log_answered(&request, &answer);
    deliver(state, request, answer, open)
}

/// Passes a target's answer on to the caller, or begins to if it is a stream.
fn deliver(
    state: Arc<RelayState>,
    request: RelayRequest,
    answer: FinalAnswer,
    open: OpenRequest,
) -> Response<AnswerBody> {
    let (slot, received) = (answer.slot, answer.received);
    match received.body {
        AnswerContent::Buffered(held) => {
            state.daemon.metrics.answers.inc();
            release_plain(slot, received.head.status, held.len());
            received.head.into_response(held_body(held))
        }
        AnswerContent::Stream { first, may_be_continued } => {
            let in_flight = InFlight { _open: open, _trial: answer.trial };
            let begun =
                BegunStream { first: *first, slot, attempts: answer.attempts, may_be_continued };
            let body = stream::spawn(state, request, begun, in_flight);
            received.head.into_response(body)
        }
    }
}

/// Reads a request. What is not whole when the entry closes is refused, as it could not be answered for certain.
async fn read_before_closed(
    state: &Arc<RelayState>,
    request: Request<Incoming>,
    routes: &RouteTable,
    caller: &Arc<CallerConnection>,
    arrived: Instant,
) -> Result<RelayRequest, Refusal> {
    let read = tokio::select! {
        read = request::read(state, request, routes, caller, arrived) => read?,
        () = state.lifecycle.wait_for_stage(Stage::Refusing) => return Err(Refusal::Stopping),
    };
    if state.lifecycle.stage() >= Stage::Closed { Err(Refusal::Stopping) } else { Ok(read) }
}

/// Frees the slot of a plain answer that is passed on to the caller.
fn release_plain(slot: TargetSlot, status: StatusCode, bytes: usize) {
    if status.is_server_error() {
        slot.release(AttemptOutcome::Failed);
    } else if status.is_success() {
        slot.release_answered(WholeAnswer::Plain { bytes });
    } else {
        slot.release(AttemptOutcome::Success);
    }
}

fn log_answered(request: &RelayRequest, answer: &FinalAnswer) {
    log_event!(
        info,
        Event::RequestAnswered,
        request_id = request.id,
        status = answer.received.head.status.as_u16(),
        waited_ms = request.arrived.elapsed().as_millis() as u64,
        attempts = answer.attempts,
        route = request.route.name,
        version = request.document_version
    );
}

/// Returns the routes in force; after a start, waits up to 700 ms for the first document.
async fn wait_for_routes(state: &Arc<RelayState>) -> Arc<RouteTable> {
    let until = Instant::now() + FIRST_DOCUMENT_WAIT;
    while state.routes().version().is_none() && Instant::now() < until {
        tokio::time::sleep(FIRST_DOCUMENT_POLL_INTERVAL).await;
    }
    state.routes()
}

/// Returns the delay after which a refused caller may retry, randomized so that callers do not all retry at once.
fn retry_after(refusal: Refusal) -> Option<Duration> {
    let range_ms = match refusal {
        Refusal::NoDocument | Refusal::NoTarget | Refusal::Evacuated => RETRY_AFTER_NO_TARGET_MS,
        Refusal::GroupDown => RETRY_AFTER_GROUP_MS,
        Refusal::SuspectTrial => RETRY_AFTER_TRIAL_MS,
        Refusal::Quarantined { remaining } | Refusal::TrialPending { remaining } => {
            return Some(remaining);
        }
        Refusal::NoRoom { retry_after }
        | Refusal::TargetsLimited { retry_after }
        | Refusal::TargetsResting { retry_after }
        | Refusal::TargetsCold { retry_after } => {
            return Some(retry_after);
        }
        Refusal::Stopping => RETRY_AFTER_STOPPING_MS,
        Refusal::BodyDropped => RETRY_AFTER_MS,
        _ if refusal.status() == StatusCode::SERVICE_UNAVAILABLE => RETRY_AFTER_MS,
        _ => return None,
    };
    Some(Duration::from_millis(fastrand::u64(range_ms)))
}

/// Logs a refusal and builds the answer. The log line includes the inputs of the decision if a route was found.
fn refuse(
    id: &str,
    refusal: Refusal,
    arrived: Instant,
    context: Option<(&RelayRequest, LoadSnapshot)>,
) -> Response<AnswerBody> {
    let retry_after = retry_after(refusal);
    log_event!(
        info,
        Event::RequestRefused,
        request_id = id,
        reason = refusal.name(),
        status = refusal.status().as_u16(),
        waited_ms = arrived.elapsed().as_millis() as u64,
        retry_after_ms = retry_after.map(|it| it.as_millis() as u64),
        route = context.as_ref().map(|it| it.0.route.name.as_str()),
        version = context.as_ref().map(|it| it.0.document_version),
        targets = context.as_ref().map(|it| it.1.targets),
        evacuated = context.as_ref().and_then(|it| it.1.evacuated.clone()),
        mean_load = context.as_ref().map(|it| it.1.mean_load),
        load_max = context.as_ref().and_then(|it| it.1.load_max),
        pause_ms = context.as_ref().and_then(|it| it.1.pause_ms),
    );
    refusal.answer(retry_after)
}
