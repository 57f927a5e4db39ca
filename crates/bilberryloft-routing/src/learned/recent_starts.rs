//! Number of requests that a target was sent lately.

/// Starts of requests, each of which counts less and less with time.
#[derive(Clone, Copy, Debug, Default)]
pub struct RecentStarts {
    count: f64,
    recorded_ms: u64,
}

impl RecentStarts {
    /// Adds a start.
    pub fn record(&mut self, lasting_ms: f64, now_ms: u64) {
        self.count = self.count(lasting_ms, now_ms) + 1.0;
        self.recorded_ms = now_ms;
    }

    /// Returns the requests that would be in flight if each took `lasting_ms` in the mean.
    pub fn count(&self, lasting_ms: f64, now_ms: u64) -> f64 {
        let elapsed_ms = now_ms.saturating_sub(self.recorded_ms) as f64;
        self.count * (-elapsed_ms / lasting_ms.max(1.0)).exp()
    }
}
