//! What one entry learns from the answers of targets: how long a request takes at each, and how long its answers are.

pub mod answer_sizes;
pub mod recent_starts;
pub mod service_times;

use crate::learned::answer_sizes::AnswerSizes;
use crate::learned::answer_sizes::is_truncated;
use crate::learned::recent_starts::RecentStarts;
use crate::learned::service_times::TimeLine;
use crate::learned::service_times::TimeMeter;

/// Smallest number of targets that must be known before one of them is compared with the others.
const COMPARED_MIN: usize = 3;
/// Part of the usual time below which a target counts as unusually quick.
const QUICK_SHARE: f64 = 0.25;
/// Part of the usual starts of an unusually quick target that counts as load, so that it gets at most twice as many
/// requests as each of the others.
const QUICK_WEIGHT: f64 = 0.5;
/// Half-life of what is known of a slow target that gets no requests, in milliseconds, so that it is tried again.
const FORGET_MS: f64 = 5_000.0;

/// An answer that a target has ended in good order.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AnswerSample {
    /// Time from sending the request to the end of the answer, in milliseconds.
    pub elapsed_ms: f64,
    /// Requests at the target when this one was sent, with this one.
    pub load: u32,
    /// Size of the request's body, in bytes.
    pub request_bytes: usize,
    /// Size of the answer's body, in bytes.
    pub answer_bytes: usize,
    /// Whether the answer is a whole stream of events, rather than a plain answer.
    pub is_stream: bool,
}

/// What an entry has learned of one target.
#[derive(Clone, Copy, Debug, Default)]
pub struct LearnedTarget {
    times: TimeMeter,
    sizes: AnswerSizes,
    /// Starts of requests, as long as they would run at a usual target.
    pub starts: RecentStarts,
}

impl LearnedTarget {
    /// Adds an answer; returns whether it is much shorter than usual, at a target whose answers all are.
    pub fn record(&mut self, sample: &AnswerSample, usual: &UsualTarget, now_ms: u64) -> bool {
        self.times.record(sample.load, sample.elapsed_ms, now_ms);
        if !sample.is_stream {
            return false;
        }
        self.sizes.record(sample.answer_bytes);
        let usual_size = usual.root_size.zip(self.sizes.root_mean());
        usual_size.is_some_and(|(usual, own)| is_truncated(sample.answer_bytes, own, usual))
    }

    /// Returns the factor by which a request takes longer here than at a usual target with as many requests, at least 1.
    pub fn slowness(&self, load: u32, usual: &UsualTarget, now_ms: u64) -> f64 {
        let lines = self.times.line().zip(usual.line);
        let slowness = lines.map_or(1.0, |(own, usual)| own.slowness(&usual, load));
        let age_ms = now_ms.saturating_sub(self.times.recorded_ms()) as f64;
        1.0 + (slowness - 1.0) * 0.5_f64.powf(age_ms / FORGET_MS)
    }

    /// Returns the requests that count for a target with `load` requests in flight. A target that ends requests in a
    /// small part of the usual time always has the fewest in flight, also if it does so because it fails.
    pub fn counted_load(&self, load: u32, usual: &UsualTarget, now_ms: u64) -> f64 {
        let load = f64::from(load);
        let is_quick =
            |usual_ms| self.times.mean_ms().is_some_and(|it| it < QUICK_SHARE * usual_ms);
        match usual.mean_ms {
            Some(usual_ms) if is_quick(usual_ms) => {
                load.max(QUICK_WEIGHT * self.starts.count(usual_ms, now_ms))
            }
            Some(_) | None => load,
        }
    }
}

/// Medians over the targets of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct UsualTarget {
    /// Mean time of a request, in milliseconds.
    pub mean_ms: Option<f64>,
    /// Time of a request by load.
    pub line: Option<TimeLine>,
    /// Mean of the square root of an answer's size, in bytes.
    pub root_size: Option<f64>,
}

impl UsualTarget {
    /// Returns the medians over targets. Each is `None` as long as too few targets are known.
    pub fn of<'a>(targets: impl Iterator<Item = &'a LearnedTarget> + Clone) -> UsualTarget {
        let lines = targets.clone().filter_map(|it| it.times.line());
        let base_ms = median(lines.clone().map(|it| it.base_ms));
        let per_request_ms = median(lines.map(|it| it.per_request_ms));
        UsualTarget {
            mean_ms: median(targets.clone().filter_map(|it| it.times.mean_ms())),
            line: base_ms
                .zip(per_request_ms)
                .map(|(base_ms, per_request_ms)| TimeLine { base_ms, per_request_ms }),
            root_size: median(targets.filter_map(|it| it.sizes.root_mean())),
        }
    }
}

/// Returns the median, the higher one of two; `None` if there are too few values.
fn median(values: impl Iterator<Item = f64>) -> Option<f64> {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    if values.len() < COMPARED_MIN { None } else { values.get(values.len() / 2).copied() }
}
