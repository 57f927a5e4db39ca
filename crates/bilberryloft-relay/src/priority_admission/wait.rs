//! Starts a request, lets it wait for room in its group, or rejects it.

use std::sync::Arc;
use std::time::Duration;

use bilberryloft_daemon::events::Event;
use bilberryloft_daemon::log_event;
use bilberryloft_routing::priority_admission::AdmissionRequest;
use bilberryloft_routing::priority_admission::AdmissionTicket;
use bilberryloft_routing::priority_admission::Decision;
use bilberryloft_routing::priority_admission::Inputs;
use bilberryloft_transport::clock::monotonic_ms;
use tokio::time::Instant;

use crate::admission;
use crate::answer::Refusal;
use crate::priority_admission::admission_request;
use crate::request::RelayRequest;
use crate::state::RelayState;
use crate::target_slot::TargetSlot;

/// Interval at which a request that waits asks again.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A request's position in the queue, which is given up on drop.
struct Position<'a> {
    state: &'a RelayState,
    service: &'a str,
    ticket: AdmissionTicket,
}

impl Drop for Position<'_> {
    fn drop(&mut self) {
        self.state.services.admissions.with(self.service, |it| it.leave(self.ticket));
    }
}

/// Starts a request or lets it wait, or rejects it if it can't be started in time.
pub async fn wait_for_admission(
    state: &Arc<RelayState>,
    request: &RelayRequest,
) -> Result<TargetSlot, Refusal> {
    let admission_request = admission_request(request);
    let (service, now_ms) = (request.service.as_str(), monotonic_ms());
    let group = state.group_load(service);
    let decided = state.services.admissions.with(service, |admission| {
        admission.set_group(group);
        admission.record_arrival(admission_request.priority, now_ms);
        admission.decide(&admission_request, now_ms, fastrand::f64)
    });
    let Some((decision, inputs)) = decided else {
        return Err(Refusal::Full);
    };
    let max_ms = match decision {
        Decision::Start => {
            if let Some(slot) = admission::pick_at_once(state, request)? {
                return Ok(slot);
            }
            state
                .services
                .admissions
                .with(service, |it| it.wait_max_ms(&admission_request))
                .unwrap_or(0.0)
        }
        Decision::Wait { max_ms } => max_ms,
        Decision::Reject => {
            return Err(reject(state, request, &admission_request, &inputs, "rejected"));
        }
    };
    let wait_max = Duration::from_secs_f64(max_ms / 1_000.0);
    admission::check_limited_wait(state, request, wait_max)?;
    match wait_in_queue(state, request, &admission_request, Instant::now() + wait_max).await? {
        Some(slot) => Ok(slot),
        None => Err(reject_after_wait(state, request, &admission_request)),
    }
}

/// Waits until the request may start; returns `None` if it may not within its time.
async fn wait_in_queue(
    state: &Arc<RelayState>,
    request: &RelayRequest,
    admission_request: &AdmissionRequest,
    until: Instant,
) -> Result<Option<TargetSlot>, Refusal> {
    let service = request.service.as_str();
    let Some(ticket) = state.services.admissions.with(service, |it| it.join(admission_request))
    else {
        return Err(Refusal::Full);
    };
    let position = Position { state, service, ticket };
    while Instant::now() < until {
        tokio::time::sleep(POLL_INTERVAL).await;
        if !state.has_time_for(service) {
            return Err(Refusal::Stopping);
        }
        if state.services.is_evacuated(service) {
            return Err(Refusal::Evacuated);
        }
        let group = state.group_load(service);
        let may_start = state.services.admissions.with(service, |admission| {
            admission.set_group(group);
            admission.may_start(position.ticket, monotonic_ms(), fastrand::f64)
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
fn reject_after_wait(
    state: &RelayState,
    request: &RelayRequest,
    admission_request: &AdmissionRequest,
) -> Refusal {
    let service = request.service.as_str();
    if let Some(wait) = state.services.limited_wait(service) {
        return admission::refuse_limited(state, request, wait);
    }
    let now_ms = monotonic_ms();
    let inputs =
        state.services.admissions.with(service, |it| it.inputs_for(admission_request, now_ms));
    reject(state, request, admission_request, &inputs.unwrap_or_default(), "waited")
}

fn reject(
    state: &RelayState,
    request: &RelayRequest,
    admission_request: &AdmissionRequest,
    inputs: &Inputs,
    outcome: &str,
) -> Refusal {
    let (service, now_ms) = (request.service.as_str(), monotonic_ms());
    let retry_after_ms = state.services.admissions.with(service, |admission| {
        admission.retry_after_ms(admission_request, inputs, now_ms, fastrand::f64)
    });
    let retry_after_ms = retry_after_ms.unwrap_or_default();
    state.services.admissions.record_rejection(service, admission_request.priority, inputs);
    log_event!(
        info,
        Event::AdmissionDecided,
        request_id = request.id,
        service,
        priority = admission_request.priority,
        outcome,
        bound = inputs.bound,
        running = inputs.running,
        reserve = inputs.reserve,
        waiting = inputs.waiting,
        expected_ms = inputs.expected_ms.min(1e9),
        age_ms = inputs.age_ms,
        hears_others = inputs.hears_others,
        elapsed_ms = admission_request.elapsed_ms,
        retry_after_ms
    );
    Refusal::NoRoom { retry_after: Duration::from_millis(retry_after_ms) }
}
