//! Starts a request, lets it wait for room in its group, or rejects it.

use std::sync::Arc;
use std::time::Duration;

use bilberryloft_daemon::events::Event;
use bilberryloft_daemon::log_event;
use bilberryloft_routing::room::Applicant;
use bilberryloft_routing::room::Decision;
use bilberryloft_routing::room::Inputs;
use bilberryloft_routing::room::RoomTicket;
use bilberryloft_transport::clock::monotonic_ms;
use tokio::time::Instant;

use crate::admission;
use crate::answer::Refusal;
use crate::request::RelayRequest;
use crate::room::applicant;
use crate::state::RelayState;
use crate::target_slot::TargetSlot;

/// Interval at which a request that waits asks again.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A request's position in the queue, which is given up on drop.
struct Position<'a> {
    state: &'a RelayState,
    service: &'a str,
    ticket: RoomTicket,
}

impl Drop for Position<'_> {
    fn drop(&mut self) {
        self.state.services.rooms.with(self.service, |it| it.leave(self.ticket));
    }
}

/// Starts a request or lets it wait, or rejects it if it can't be started in time.
pub async fn wait_for_room(
    state: &Arc<RelayState>,
    request: &RelayRequest,
) -> Result<TargetSlot, Refusal> {
    let applicant = applicant(request);
    let (service, now_ms) = (request.service.as_str(), monotonic_ms());
    let group = state.group_load(service);
    let decided = state.services.rooms.with(service, |room| {
        room.set_group(group);
        room.record_arrival(applicant.priority, now_ms);
        room.decide(&applicant, now_ms, fastrand::f64)
    });
    let Some((decision, inputs)) = decided else {
        return Err(Refusal::Full);
    };
    let max_ms = match decision {
        Decision::Start => {
            if let Some(slot) = admission::pick_at_once(state, request)? {
                return Ok(slot);
            }
            state.services.rooms.with(service, |it| it.wait_max_ms(&applicant)).unwrap_or(0.0)
        }
        Decision::Wait { max_ms } => max_ms,
        Decision::Reject => return Err(reject(state, request, &applicant, &inputs, "rejected")),
    };
    let wait_max = Duration::from_secs_f64(max_ms / 1_000.0);
    admission::check_limited_wait(state, request, wait_max)?;
    match wait_in_queue(state, request, &applicant, Instant::now() + wait_max).await? {
        Some(slot) => Ok(slot),
        None => Err(reject_after_wait(state, request, &applicant)),
    }
}

/// Waits until the request may start; returns `None` if it may not within its time.
async fn wait_in_queue(
    state: &Arc<RelayState>,
    request: &RelayRequest,
    applicant: &Applicant,
    until: Instant,
) -> Result<Option<TargetSlot>, Refusal> {
    let service = request.service.as_str();
    let Some(ticket) = state.services.rooms.with(service, |it| it.join(applicant)) else {
        return Err(Refusal::Full);
    };
    let position = Position { state, service, ticket };
    while Instant::now() < until {
        tokio::time::sleep(POLL_INTERVAL).await;
        if state.services.is_evacuated(service) {
            return Err(Refusal::Evacuated);
        }
        let group = state.group_load(service);
        let may_start = state.services.rooms.with(service, |room| {
            room.set_group(group);
            room.may_start(position.ticket, monotonic_ms(), fastrand::f64)
        });
        if may_start != Some(true) {
            continue;
        }
        match state.pick(request, &[]) {
            Ok(slot) => return Ok(Some(slot)),
            Err(cause) => {
                if let Some(refusal) = admission::refuse_in_queue(state, request, cause, until) {
                    return Err(refusal);
                }
            }
        }
    }
    Ok(None)
}

/// Rejects a request that has waited in vain.
fn reject_after_wait(state: &RelayState, request: &RelayRequest, applicant: &Applicant) -> Refusal {
    let service = request.service.as_str();
    if let Some(wait) = state.services.limited_wait(service) {
        return admission::refuse_limited(state, request, wait);
    }
    let now_ms = monotonic_ms();
    let inputs = state.services.rooms.with(service, |it| it.inputs_for(applicant, now_ms));
    reject(state, request, applicant, &inputs.unwrap_or_default(), "waited")
}

fn reject(
    state: &RelayState,
    request: &RelayRequest,
    applicant: &Applicant,
    inputs: &Inputs,
    outcome: &str,
) -> Refusal {
    let (service, now_ms) = (request.service.as_str(), monotonic_ms());
    let retry_after_ms = state
        .services
        .rooms
        .with(service, |room| room.retry_after_ms(applicant, inputs, now_ms, fastrand::f64));
    let retry_after_ms = retry_after_ms.unwrap_or_default();
    state.services.rooms.record_rejection(service, applicant.priority, inputs);
    log_event!(
        info,
        Event::RoomDecided,
        request_id = request.id,
        service,
        priority = applicant.priority,
        outcome,
        bound = inputs.bound,
        running = inputs.running,
        reserve = inputs.reserve,
        waiting = inputs.waiting,
        expected_ms = inputs.expected_ms.min(1e9),
        age_ms = inputs.age_ms,
        hears_others = inputs.hears_others,
        elapsed_ms = applicant.elapsed_ms,
        retry_after_ms
    );
    Refusal::NoRoom { retry_after: Duration::from_millis(retry_after_ms) }
}
