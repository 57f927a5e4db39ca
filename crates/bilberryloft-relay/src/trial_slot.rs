//! Reserves a slot for a request that may run only on trial: alone among its copies, at a target without another trial.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::admission;
use crate::answer::Refusal;
use crate::held_trial::HeldTrial;
use crate::request::RelayRequest;
use crate::state::RelayState;
use crate::suspects::Permission;
use crate::target_slot::TargetSlot;

/// Longest wait for other trials.
const TRIAL_WAIT_MAX: Duration = Duration::from_millis(400);
/// Interval at which the trial is asked for again.
const TRIAL_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Reserves a slot and begins a trial there of the request, or of a part of its prompt, by its key. The trial is `None` if
/// the request turns out to need none.
pub async fn wait_for_trial(
    state: &Arc<RelayState>,
    request: &RelayRequest,
    key: i64,
) -> Result<(TargetSlot, Option<HeldTrial>), Refusal> {
    let until = Instant::now() + TRIAL_WAIT_MAX;
    let mut taken = Vec::new();
    let mut slot = admission::wait_for_slot(state, request).await?;
    loop {
        match state.suspects.begin_trial(request, key, &slot.picked().id).await {
            Ok(None) => return Ok((slot, None)),
            Ok(Some(trial)) => {
                slot.record_trial();
                return Ok((slot, Some(trial)));
            }
            Err(Refusal::SuspectTrial) if Instant::now() < until => {}
            Err(refusal) => {
                slot.cancel();
                return Err(refusal);
            }
        }
        taken.push(slot.picked().key);
        slot.cancel();
        // The trial of another copy usually shows within a moment that the request is innocent.
        tokio::time::sleep(TRIAL_POLL_INTERVAL).await;
        slot = match state.pick_for_retry(request, &taken) {
            Ok(slot) => slot,
            Err(_) => {
                taken.clear();
                admission::wait_for_slot(state, request).await?
            }
        };
        match state.suspects.admit(request) {
            Ok(Permission::Run) => return Ok((slot, None)),
            Ok(_) => {}
            Err(refusal) => {
                slot.cancel();
                return Err(refusal);
            }
        }
    }
}
