//! What the callers of the model got.

use super::Caller;
use super::GAP_OBJECTIVE_MS;
use super::Group;
use super::OBJECTIVES_MS;

impl Caller {
    pub fn is_in_aim(&self) -> bool {
        let first_ms = self.first_event_ms.map(|it| (it - self.arrived_ms) as f64);
        first_ms.is_some_and(|it| it <= OBJECTIVES_MS[self.priority])
            && self.longest_pause_ms <= GAP_OBJECTIVE_MS
            && self.ended_ms.is_some()
    }
}

impl Group {
    /// Returns the share of a priority's callers of an interval that are in aim, and their number a second.
    pub fn in_aim(&self, priority: Option<usize>, from_ms: u64, to_ms: u64) -> (f64, f64) {
        let of = self.callers.iter().filter(|it| {
            priority.is_none_or(|priority| it.priority == priority)
                && (from_ms..to_ms).contains(&it.arrived_ms)
        });
        let (mut all, mut good) = (0, 0);
        for caller in of {
            all += 1;
            good += usize::from(caller.is_in_aim());
        }
        let seconds = (to_ms - from_ms) as f64 / 1_000.0;
        (good as f64 / f64::from(all.max(1)), good as f64 / seconds)
    }

    /// Returns the shares of a priority's callers that were never started, had a late first event, and had a late pause.
    pub fn losses(&self, priority: usize, from_ms: u64, to_ms: u64) -> [f64; 3] {
        let of: Vec<&Caller> = self
            .callers
            .iter()
            .filter(|it| it.priority == priority && (from_ms..to_ms).contains(&it.arrived_ms))
            .collect();
        let share = |is_lost: &dyn Fn(&Caller) -> bool| {
            of.iter().filter(|it| is_lost(it)).count() as f64 / of.len().max(1) as f64
        };
        let is_first_late = |it: &Caller| {
            it.first_event_ms
                .is_some_and(|at_ms| (at_ms - it.arrived_ms) as f64 > OBJECTIVES_MS[it.priority])
        };
        [
            share(&|it| it.started_ms.is_none()),
            share(&is_first_late),
            share(&|it| it.longest_pause_ms > GAP_OBJECTIVE_MS),
        ]
    }

    /// Returns a quantile of the lengths of an interval's passes.
    pub fn pass_quantile(&self, quantile: f64, from_ms: u64, to_ms: u64) -> f64 {
        let passes = self.passes.iter().filter(|it| (from_ms..to_ms).contains(&(it.0 as u64)));
        let mut lengths: Vec<f64> = passes.map(|it| it.1).collect();
        lengths.sort_by(f64::total_cmp);
        lengths
            .get((lengths.len().max(1) - 1) * (quantile * 100.0) as usize / 100)
            .copied()
            .unwrap_or(0.0)
    }

    /// Returns the number of streams that ended a second.
    pub fn ended_per_s(&self, from_ms: u64, to_ms: u64) -> f64 {
        let ended = self.callers.iter().filter_map(|it| it.ended_ms);
        let ended = ended.filter(|it| (from_ms..to_ms).contains(it)).count();
        1_000.0 * ended as f64 / (to_ms - from_ms) as f64
    }

    pub fn mean_running(&self, from_ms: u64, to_ms: u64) -> f64 {
        let overlap = |it: &Caller| {
            let Some(started_ms) = it.started_ms else { return 0 };
            let ended_ms = it.ended_ms.unwrap_or(to_ms).min(to_ms);
            ended_ms.saturating_sub(started_ms.max(from_ms))
        };
        self.callers.iter().map(overlap).sum::<u64>() as f64 / (to_ms - from_ms) as f64
    }
}
