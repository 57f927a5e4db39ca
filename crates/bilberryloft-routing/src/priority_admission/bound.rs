//! Bound on the running requests of each rank in a lock-step group, from the pauses between events and the loads at which
//! they were observed.
//!
//! The pauses of all streams of a group are the same forward passes, so a single long pass makes every running stream
//! late. The bound is therefore set by the longest passes of a short window and not by their mean.
//!
//! A long pass is no reason to admit less if a smaller batch would not have shortened it: one rank is slow, or the
//! demand for experts has shifted. Such a pass asks for a very low bound although the ranks are not full, and it is left
//! out. If the ranks are full, the bound goes down to a floor, since the batch then is a part of the cause.

use std::collections::VecDeque;

use crate::document::Engine;

/// Share of the objective that a pass may take; the rest covers the network to the caller and uneven passes.
const OBJECTIVE_SHARE: f64 = 0.97;
/// Share of the slots below which the bound does not go.
const FLOOR_SHARE: f64 = 0.4;
/// Share of the slots from which ranks count as full.
const FULL_SHARE: f64 = 0.7;
/// Time for which a pass counts, in milliseconds: some six passes. With the rise, a bound recovers within a second.
const WINDOW_MS: u64 = 600;
/// Share of the slots by which the bound rises in a second, so that it goes from the floor to the slots in 400 ms.
const RISE_SHARE_PER_S: f64 = 1.5;
/// Share of the slots by which the proven bound rises in a second while ranks are loaded up to it.
const PROVEN_RISE_SHARE_PER_S: f64 = 0.02;
/// Share of the slots from which the proven bound starts.
const PROVEN_START_SHARE: f64 = 0.8;
/// Share of the objective from which a pass lowers the proven bound.
const NEAR_SHARE: f64 = 0.87;
/// Factor by which such a pass lowers it.
const DECREASE: f64 = 0.95;
/// Share of the slots below which a pass near the objective does not lower the proven bound. Passes that need a lower one
/// are long for another reason as well.
const PROVEN_FLOOR_SHARE: f64 = 0.6;
/// Requests at each target by which the bound falls below what runs: what ends within some passes. A lower bound would
/// reject requests without making passes shorter.
const FALL_MAX: f64 = 1.0;
/// Share of the window's pauses that may ask for a lower bound than the one in force, so that a single stream with a slow
/// caller does not decide.
const IGNORED_SHARE: f64 = 0.1;
/// Largest number of pauses that are kept.
const SAMPLES_MAX: usize = 512;

/// Bound that one pause asks for.
#[derive(Clone, Copy, Debug)]
struct Sample {
    at_ms: u64,
    bound: f64,
    pause_ms: f64,
}

/// Bound on the running requests of each rank, as one entry determines it.
#[derive(Clone, Debug)]
pub struct LoadBound {
    engine: Engine,
    objective_ms: f64,
    samples: VecDeque<Sample>,
    bound: f64,
    /// Bound at which no pass was too long lately, even when the demand for experts was uneven.
    proven: f64,
    lowered_ms: u64,
    updated_ms: u64,
    /// Passes of the window that were left out because another cause than the batch made them long.
    left_out_ms: Option<u64>,
}

impl LoadBound {
    /// Creates a bound for an engine and the objective for the pause between events.
    pub fn new(engine: Engine, objective_ms: f64) -> LoadBound {
        LoadBound {
            engine,
            objective_ms,
            samples: VecDeque::new(),
            bound: FLOOR_SHARE * engine.slots as f64,
            proven: PROVEN_START_SHARE * engine.slots as f64,
            lowered_ms: 0,
            updated_ms: 0,
            left_out_ms: None,
        }
    }

    /// Returns whether the bound is for this engine and objective.
    pub fn is_for(&self, engine: &Engine, objective_ms: f64) -> bool {
        self.engine == *engine && self.objective_ms == objective_ms
    }

    /// Records a pause that ended at `now_ms`, with the mean number of requests at each rank.
    pub fn record(&mut self, pause_ms: f64, mean_load: f64, now_ms: u64) {
        let (slots, floor) = (self.slots(), self.floor());
        let step_ms = self.engine.step_ms + self.engine.request_ms * mean_load.min(slots);
        let allowed_ms = step_ms * self.objective_ms * OBJECTIVE_SHARE / pause_ms.max(1.0);
        let bound = (allowed_ms - self.engine.step_ms) / self.engine.request_ms.max(1e-6);
        if bound < floor && mean_load < FULL_SHARE * slots {
            self.left_out_ms = Some(now_ms);
            return;
        }
        if self.samples.len() == SAMPLES_MAX {
            self.samples.pop_front();
        }
        let bound = bound.clamp(floor, slots);
        self.samples.push_back(Sample { at_ms: now_ms, bound, pause_ms });
    }

    /// Returns the bound on the mean number of requests at each rank.
    ///
    /// It falls at once to what the observed passes allow, and rises at a limited rate. Without a recent pass it is the
    /// floor, or what already runs, so that a group that was down gets its load back as its passes allow.
    pub fn at(&mut self, mean_load: f64, now_ms: u64) -> f64 {
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms);
        self.updated_ms = now_ms;
        while self.samples.front().is_some_and(|it| it.at_ms + WINDOW_MS <= now_ms) {
            self.samples.pop_front();
        }
        let rise = RISE_SHARE_PER_S * self.slots() * elapsed_ms.min(WINDOW_MS) as f64 / 1_000.0;
        self.bound = match self.allowed() {
            Some(allowed) => {
                let proven_rise = rise * PROVEN_RISE_SHARE_PER_S / RISE_SHARE_PER_S;
                self.proven = (self.proven + proven_rise).min(self.slots());
                self.lower_proven(mean_load, now_ms);
                let allowed = allowed.max(mean_load - FALL_MAX).max(self.floor());
                self.proven.min(allowed).min(self.bound + rise)
            }
            None if self.is_disturbed(now_ms) => self.bound,
            None => self.floor().max((mean_load + 1.0).min(self.slots())),
        };
        self.bound
    }

    /// Lowers the proven bound a little if a pass came near the objective, at most once in a window.
    fn lower_proven(&mut self, mean_load: f64, now_ms: u64) {
        let near_ms = NEAR_SHARE * self.objective_ms;
        let is_near = self.long_pause_ms(now_ms).is_some_and(|it| it.0 > near_ms);
        if is_near
            && mean_load >= FULL_SHARE * self.slots()
            && self.lowered_ms + WINDOW_MS <= now_ms
        {
            self.lowered_ms = now_ms;
            self.proven =
                (self.proven.min(mean_load) * DECREASE).max(PROVEN_FLOOR_SHARE * self.slots());
        }
    }

    /// Returns whether passes were left out within the window.
    pub fn is_disturbed(&self, now_ms: u64) -> bool {
        self.left_out_ms.is_some_and(|it| it + WINDOW_MS > now_ms)
    }

    /// Returns the longest pause of the window that counts, and the age of the latest one, in milliseconds.
    pub fn long_pause_ms(&self, now_ms: u64) -> Option<(f64, u64)> {
        let mut pauses: Vec<f64> = self.samples.iter().map(|it| it.pause_ms).collect();
        pauses.sort_by(f64::total_cmp);
        let idx = ((1.0 - IGNORED_SHARE) * pauses.len() as f64) as usize;
        let pause_ms = *pauses.get(idx.min(pauses.len().saturating_sub(1)))?;
        Some((pause_ms, now_ms.saturating_sub(self.samples.back()?.at_ms)))
    }

    /// Returns the bound that the passes of the window allow.
    fn allowed(&self) -> Option<f64> {
        let mut bounds: Vec<f64> = self.samples.iter().map(|it| it.bound).collect();
        bounds.sort_by(f64::total_cmp);
        bounds.get((IGNORED_SHARE * bounds.len() as f64) as usize).copied()
    }

    fn slots(&self) -> f64 {
        self.engine.slots as f64
    }

    fn floor(&self) -> f64 {
        FLOOR_SHARE * self.slots()
    }
}
