//! Admission of new requests: reserves a slot at a target, immediately or after a short wait in the queue.

use std::sync::Arc;
use std::time::Duration;

use bilberryloft_daemon::events::Event;
use bilberryloft_daemon::log_event;
use bilberryloft_routing::selection::NoTarget;
use bilberryloft_routing::target_limits::LimitedWait;
use bilberryloft_routing::wait_queue::Ticket;
use tokio::time::Instant;

use crate::answer::Refusal;
use crate::cold;
use crate::priority_admission;
use crate::request::RelayRequest;
use crate::state::RelayState;
use crate::target_slot::TargetSlot;

/// Interval at which a queued request checks for a free slot.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Longest wait, as a share of the route's objective. A request that waits longer misses the objective anyway, and its
/// caller does better to retry.
const WAIT_SHARE: f64 = 0.6;

/// Longest time after the end of the first rest at which a refused caller is told to come back, in milliseconds.
const RESTED_SPREAD_MS: u64 = 300;

/// A request's position in the queue, which is given up on drop.
struct QueueGuard<'a> {
    state: &'a RelayState,
    service: &'a str,
    ticket: Ticket,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        self.state.services.with_queue(self.service, |it| it.leave(self.ticket));
    }
}

/// Reserves a slot for a request, or refuses as soon as it is clear that none will be free in time.
pub async fn wait_for_slot(
    state: &Arc<RelayState>,
    request: &RelayRequest,
) -> Result<TargetSlot, Refusal> {
    let service = request.service.as_str();
    if state.services.is_evacuated(service) {
        return Err(Refusal::Evacuated);
    }
    if !state.services.may_send(service) {
        return Err(Refusal::GroupDown);
    }
    cold::check_memory(state, request)?;
    if let Some(wait_ms) = state.services.rest_wait_ms(service) {
        return Err(refuse_resting(wait_ms));
    }
    if state.services.admissions.has(service) {
        return priority_admission::wait_for_admission(state, request).await;
    }
    if state.services.with_queue(service, |it| it.is_empty())
        && let Some(slot) = pick_at_once(state, request)?
    {
        return Ok(slot);
    }
    let wait_max = Duration::from_millis(request.route.objective_ms).mul_f64(WAIT_SHARE);
    let wait_max = wait_max.min(request.time_left());
    check_expected_wait(state, request, wait_max)?;
    wait_in_queue(state, request, Instant::now() + wait_max).await
}

/// Picks a target for a request before which no other one waits; `None` if it may wait for one.
pub fn pick_at_once(
    state: &RelayState,
    request: &RelayRequest,
) -> Result<Option<TargetSlot>, Refusal> {
    let slot = match state.pick(request, &[]) {
        Ok(slot) => slot,
        Err(cause) => return refuse_at_once(state, request, cause).map_or(Ok(None), Err),
    };
    let Some(limit) = slot.picked().limit else {
        return Ok(Some(slot));
    };
    if !state.limits.must_yield(&request.service, request.priority) {
        return Ok(Some(slot));
    }
    slot.cancel();
    Err(refuse_limited(state, request, limit.wait_for_next()))
}

/// Refuses a request that may wait for a slot if all targets have reached their limits for longer than that.
pub fn check_limited_wait(
    state: &RelayState,
    request: &RelayRequest,
    wait_max: Duration,
) -> Result<(), Refusal> {
    match state.services.limited_wait(&request.service) {
        Some(wait) if !wait.has_part || wait.first_ms as u128 > wait_max.as_millis() => {
            Err(refuse_limited(state, request, wait))
        }
        Some(_) | None => Ok(()),
    }
}

/// Refuses a request if the expected wait is too long.
fn check_expected_wait(
    state: &RelayState,
    request: &RelayRequest,
    wait_max: Duration,
) -> Result<(), Refusal> {
    let wait_max_ms = wait_max.as_secs_f64() * 1_000.0;
    let (ahead, expected_ms) = state.services.with_queue(&request.service, |it| {
        (it.ahead(request.priority), it.expected_wait_ms(request.priority))
    });
    match state.services.limited_wait(&request.service) {
        Some(wait) if !wait.has_part || wait.expected_ms(ahead) as f64 > wait_max_ms => {
            Err(refuse_limited(state, request, wait))
        }
        None if expected_ms > wait_max_ms => Err(Refusal::Full),
        Some(_) | None => Ok(()),
    }
}

/// Waits for a slot behind requests that are more urgent or came before.
async fn wait_in_queue(
    state: &Arc<RelayState>,
    request: &RelayRequest,
    until: Instant,
) -> Result<TargetSlot, Refusal> {
    let service = request.service.as_str();
    let ticket = state.services.with_queue(service, |it| it.join(request.priority));
    let position = QueueGuard { state, service, ticket };
    while Instant::now() < until {
        tokio::time::sleep(POLL_INTERVAL).await;
        if !state.has_time_for(service) {
            return Err(Refusal::Stopping);
        }
        if state.services.is_evacuated(service) {
            return Err(Refusal::Evacuated);
        }
        if !state.services.with_queue(service, |it| it.is_first(position.ticket)) {
            continue;
        }
        match state.pick(request, &[]) {
            Ok(slot) => return Ok(slot),
            Err(cause) => {
                if let Some(refusal) = refuse_in_queue(state, request, cause, until) {
                    return Err(refusal);
                }
            }
        }
    }
    Err(match state.services.limited_wait(service) {
        Some(wait) => refuse_limited(state, request, wait),
        None => Refusal::Full,
    })
}

/// Returns the refusal of a request for which no target was picked; `None` if it may wait for one.
fn refuse_at_once(state: &RelayState, request: &RelayRequest, cause: NoTarget) -> Option<Refusal> {
    match cause {
        NoTarget::Absent => Some(Refusal::NoTarget),
        NoTarget::Evacuated => Some(Refusal::Evacuated),
        NoTarget::Resting { wait_ms } => Some(refuse_resting(wait_ms)),
        NoTarget::Cold(wait) => Some(state.cold.refuse(state, request, wait)),
        NoTarget::Full | NoTarget::Limited(_) => None,
    }
}

/// Returns the refusal of a request that waits until a given time and for which no target was picked; `None` if it may go
/// on waiting.
pub fn refuse_in_queue(
    state: &RelayState,
    request: &RelayRequest,
    cause: NoTarget,
    until: Instant,
) -> Option<Refusal> {
    let NoTarget::Limited(wait) = cause else {
        return refuse_at_once(state, request, cause);
    };
    let is_in_time = Instant::now() + Duration::from_millis(wait.first_ms) <= until;
    let may_wait = wait.has_part && is_in_time;
    (!may_wait).then(|| refuse_limited(state, request, wait))
}

/// Refuses a request because all targets rest. Callers come back at different times after the first rest.
pub fn refuse_resting(wait_ms: u64) -> Refusal {
    let spread_ms = fastrand::u64(0..=RESTED_SPREAD_MS);
    Refusal::TargetsResting { retry_after: Duration::from_millis(wait_ms + spread_ms) }
}

/// Refuses a request because all targets have reached their limits.
pub fn refuse_limited(state: &RelayState, request: &RelayRequest, wait: LimitedWait) -> Refusal {
    let retry_after = state.limits.refuse(&request.service, request.priority, wait);
    log_event!(
        info,
        Event::LimitDecided,
        request_id = request.id,
        service = request.service,
        priority = request.priority,
        has_part = wait.has_part,
        first_ms = wait.first_ms,
        interval_ms = wait.interval_ms,
        outcome = "refused"
    );
    Refusal::TargetsLimited { retry_after }
}
