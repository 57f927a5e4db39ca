//! Times that requests of a service take, as this entry observes them.

/// Weight of a new value in the smoothed mean and deviation.
const GAIN: f64 = 0.05;

/// Smoothed mean and mean deviation of a time.
#[derive(Clone, Copy, Debug, Default)]
pub struct SmoothedTime {
    mean_ms: f64,
    deviation_ms: f64,
    count: u32,
}

impl SmoothedTime {
    /// Adds a time. The first ones weigh more, so that the mean does not depend on the value that it starts from.
    pub fn record(&mut self, time_ms: f64) {
        self.count = self.count.saturating_add(1);
        let gain = (1.0 / f64::from(self.count)).max(GAIN);
        let error_ms = time_ms - self.mean_ms;
        self.mean_ms += gain * error_ms;
        self.deviation_ms += gain * (error_ms.abs() - self.deviation_ms);
    }

    /// Returns the mean; `None` if no time was recorded.
    pub fn mean_ms(&self) -> Option<f64> {
        (self.count > 0).then_some(self.mean_ms)
    }

    /// Returns a time that most stay below; `None` if no time was recorded.
    pub fn usual_max_ms(&self) -> Option<f64> {
        self.mean_ms().map(|it| it + self.deviation_ms)
    }
}
