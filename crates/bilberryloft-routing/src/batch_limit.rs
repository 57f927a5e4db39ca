//! Limits the batch size of each rank in a lock-step group, so that pauses between stream events stay under their
//! objective.
//!
//! When the demand for experts shifts, forward passes take longer for about half a second, until a better expert map
//! is in use. Requests that are admitted in that time lengthen the passes further, until every stream of the group is
//! late. Holding back these few requests keeps the running streams on time. When even a small batch would be late,
//! holding requests back gains nothing, so no limit applies.

use crate::document::Engine;

/// Share of the objective that a pass may take; the rest covers the network to the caller and uneven passes.
const OBJECTIVE_SHARE: f64 = 0.87;
/// Share of the slots below which no limit applies, because passes that need such a low limit are long for another
/// reason than the batch.
const LIMIT_SHARE_MIN: f64 = 0.4;
/// Time constant of the smoothed pause, in milliseconds: about two passes.
const SMOOTHING_MS: f64 = 120.0;
/// Age after which a measured pause is discarded, in milliseconds.
const STALE_MS: u64 = 1_000;

/// Smoothed pause between events, over all streams of a group.
#[derive(Clone, Copy, Debug, Default)]
pub struct PauseMeter {
    pause_ms: f64,
    recorded_ms: Option<u64>,
}

impl PauseMeter {
    /// Adds a pause that ended at `now_ms`.
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

    /// Returns the smoothed pause in milliseconds, or `None` if no pause was recorded within the last second.
    pub fn pause_ms(&self, now_ms: u64) -> Option<f64> {
        let is_fresh = self.recorded_ms.is_some_and(|it| it + STALE_MS > now_ms);
        is_fresh.then_some(self.pause_ms)
    }
}

/// Returns the number of requests that each rank may run, given the ranks' mean load and the pause between events.
///
/// The length of a forward pass is proportional to that of an engine step, which takes a fixed time plus a time for
/// each request. Uneven expert load stretches both times by the same factor, so the ratio of two pass lengths follows
/// from their batch sizes alone.
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
