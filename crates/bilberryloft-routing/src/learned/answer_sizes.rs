//! Sizes of a target's streams, by which those are found that the target truncates.
//!
//! A stream that has neither a length nor chunks ends with its connection, and a target in trouble may also end others
//! in good order. Nothing in such an answer shows that it was truncated; only the answers of the other targets do.

/// Weight of the latest answer.
const SMOOTHING_FACTOR: f64 = 0.06;
/// Answers after which the mean is used. Streams differ in length by themselves.
const SAMPLES_MIN: u32 = 16;
/// Part of the usual size below which answers count as truncated. For exponentially distributed sizes, the mean of a
/// sound target is 4.9 standard deviations above it.
const TRUNCATED_SHARE: f64 = 0.3;

/// Smoothed mean of the square roots of a target's answer sizes. A few long answers would dominate the plain mean.
#[derive(Clone, Copy, Debug, Default)]
pub struct AnswerSizes {
    root_mean: f64,
    samples: u32,
}

impl AnswerSizes {
    /// Adds an answer.
    pub fn record(&mut self, bytes: usize) {
        self.samples = self.samples.saturating_add(1);
        let factor = SMOOTHING_FACTOR.max(1.0 / f64::from(self.samples));
        self.root_mean += factor * (root_size(bytes) - self.root_mean);
    }

    /// Returns the mean of the square roots, once there are enough answers.
    pub fn root_mean(&self) -> Option<f64> {
        (self.samples >= SAMPLES_MIN).then_some(self.root_mean)
    }
}

/// Returns whether an answer is truncated: it and the mean of its target are far under the usual mean.
pub fn is_truncated(bytes: usize, own_root_mean: f64, usual_root_mean: f64) -> bool {
    let longest = usual_root_mean * TRUNCATED_SHARE.sqrt();
    own_root_mean < longest && root_size(bytes) < longest
}

fn root_size(bytes: usize) -> f64 {
    (bytes as f64).sqrt()
}
