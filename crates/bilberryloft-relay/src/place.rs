//! A place at a target for a new request: at once, after a short wait in line, or not at all.

use std::sync::Arc;
use std::time::Duration;

use bilberryloft_routing::targets::NoTarget;
use bilberryloft_routing::waiting_line::Ticket;
use tokio::time::Instant;

use crate::answer::Refusal;
use crate::held::TargetSlot;
use crate::request::RelayRequest;
use crate::state::RelayState;

/// Time between looks for a place.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Longest wait, as a part of the route's objective: a request that waits longer is late in any case, and its
/// caller does better to come back.
const WAIT_SHARE: f64 = 0.6;

/// A request's place in the line, given up with the value.
struct QueueGuard<'a> {
    state: &'a RelayState,
    service: &'a str,
    ticket: Ticket,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        self.state.with_queue(self.service, |it| it.leave(self.ticket));
    }
}

/// Gets a place, or refuses as soon as it is known that none will be free in time.
pub async fn wait_for_slot(
    state: &Arc<RelayState>,
    request: &RelayRequest,
) -> Result<TargetSlot, Refusal> {
    let service = request.service.as_str();
    if !state.may_send(service) {
        return Err(Refusal::GroupDown);
    }
    if state.with_queue(service, |it| it.is_empty()) {
        match state.pick(request, &[]) {
            Ok(held) => return Ok(held),
            Err(NoTarget::Absent) => return Err(Refusal::NoTarget),
            Err(NoTarget::Full) => {}
        }
    }
    let wait_max = Duration::from_millis(request.route.objective_ms).mul_f64(WAIT_SHARE);
    let expected_ms = state.with_queue(service, |it| it.expected_wait_ms(request.priority));
    if expected_ms > wait_max.as_secs_f64() * 1_000.0 {
        return Err(Refusal::Full);
    }
    let ticket = state.with_queue(service, |it| it.join(request.priority));
    let position = QueueGuard { state, service, ticket };
    let until = (Instant::now() + wait_max).min(request.due);
    while Instant::now() < until {
        tokio::time::sleep(POLL_INTERVAL).await;
        if !state.with_queue(service, |it| it.is_first(position.ticket)) {
            continue;
        }
        match state.pick(request, &[]) {
            Ok(held) => return Ok(held),
            Err(NoTarget::Absent) => return Err(Refusal::NoTarget),
            Err(NoTarget::Full) => {}
        }
    }
    Err(Refusal::Full)
}
