//! How many requests a rank of a lock-step group may run, so that pauses between events stay under their objective.
//!
//! The pattern: demand for experts shifts, passes grow longer for half a second until a better map is in use, and
//! requests that go on arriving lengthen them further, until every stream of the group is late. Holding back the
//! few that arrive in that time keeps all others on time. When even a small batch would be late, nothing is gained
//! by holding back, and all places are used.

use crate::document::Engine;

/// Part of the objective that passes may take; the rest covers the way to the caller and uneven passes.
const OBJECTIVE_SHARE: f64 = 0.87;
/// Part of the places under which a batch is not cut: so long passes have another cause than the batch.
const LIMIT_SHARE_MIN: f64 = 0.4;
/// Time constant of the measured pause, in milliseconds: about two passes.
const SMOOTHING_MS: f64 = 120.0;
/// Age at which a measurement no longer says anything, in milliseconds.
const STALE_MS: u64 = 1_000;

/// Pauses between events of all streams of a group, smoothed.
#[derive(Clone, Copy, Debug, Default)]
pub struct PauseMeter {
    pause_ms: f64,
    recorded_ms: Option<u64>,
}

impl PauseMeter {
    /// Takes a pause that ended now.
    pub fn record(&mut self, pause_ms: f64, now_ms: u64) {
        let Some(previous_ms) = self.recorded_ms.filter(|it| it + STALE_MS > now_ms) else {
            *self = PauseMeter { pause_ms, recorded_ms: Some(now_ms) };
            return;
        };
        let elapsed_ms = now_ms.saturating_sub(previous_ms) as f64;
        let gain = (elapsed_ms / SMOOTHING_MS).clamp(0.02, 1.0);
        self.pause_ms += gain * (pause_ms - self.pause_ms);
        self.recorded_ms = Some(now_ms);
    }

    /// The smoothed pause, if streams have run lately.
    pub fn pause_ms(&self, now_ms: u64) -> Option<f64> {
        let is_fresh = self.recorded_ms.is_some_and(|it| it + STALE_MS > now_ms);
        is_fresh.then_some(self.pause_ms)
    }
}

/// Requests that each rank may have, when the ranks have `mean_load` each and events come every `pause_ms`.
/// A step takes a part that does not depend on the batch and a part for each request; both are stretched
/// alike by uneven experts, so that the ratio of two passes follows from the ratio of their batches.
pub fn batch_limit(engine: &Engine, objective_ms: f64, pause_ms: f64, mean_load: f64) -> u32 {
    let slots = engine.slots as f64;
    let step_ms = engine.step_ms + engine.request_ms * mean_load.min(slots);
    let allowed_ms = step_ms * objective_ms * OBJECTIVE_SHARE / pause_ms.max(1.0);
    let limit = (allowed_ms - engine.step_ms) / engine.request_ms.max(1e-6);
    if limit < LIMIT_SHARE_MIN * slots {
        return engine.slots as u32;
    }
    limit.min(slots).round() as u32
}
