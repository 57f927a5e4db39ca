//! Time that a request takes at a target, and how it grows with the requests there.

/// Factor by which older answers count less with each new one.
const RETAINED: f64 = 0.97;
/// Answers after which the time is used.
const SAMPLES_MIN: u32 = 8;
/// Smallest variance of the load from which its effect can be told, in requests squared.
const LOAD_VARIANCE_MIN: f64 = 0.25;
/// Slowness up to which a target counts as usual. For exponentially distributed times, the mean of the
/// latest answers of 1 in 200 targets is above it by chance.
const TOLERATED_SLOWNESS: f64 = 1.3;
/// Largest slowness.
const SLOWNESS_MAX: f64 = 16.0;
/// Lower bound of a time, in milliseconds.
const TIME_MIN_MS: f64 = 0.1;

/// Time of a request as a linear function of the requests at the target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TimeLine {
    /// Time without other requests, in milliseconds.
    pub base_ms: f64,
    /// Time that each request adds, in milliseconds.
    pub per_request_ms: f64,
}

impl TimeLine {
    /// Returns the time of a request with which there are `load`.
    pub fn at(&self, load: u32) -> f64 {
        (self.base_ms + self.per_request_ms * f64::from(load)).max(TIME_MIN_MS)
    }

    /// Returns the factor by which requests take longer than usual with the same load; 1 for small differences.
    pub fn slowness(&self, usual: &TimeLine, load: u32) -> f64 {
        let ratio = self.at(load) / usual.at(load);
        (ratio / TOLERATED_SLOWNESS).clamp(1.0, SLOWNESS_MAX)
    }
}

/// Exponentially weighted regression of time on load.
#[derive(Clone, Copy, Debug, Default)]
pub struct TimeMeter {
    weight: f64,
    load: f64,
    load_squared: f64,
    time_ms: f64,
    load_time_ms: f64,
    samples: u32,
    recorded_ms: u64,
}

impl TimeMeter {
    /// Adds the time of a request with which there were `load`.
    pub fn record(&mut self, load: u32, time_ms: f64, now_ms: u64) {
        let load = f64::from(load);
        let add = |sum: &mut f64, value: f64| *sum = RETAINED * *sum + value;
        add(&mut self.weight, 1.0);
        add(&mut self.load, load);
        add(&mut self.load_squared, load * load);
        add(&mut self.time_ms, time_ms);
        add(&mut self.load_time_ms, load * time_ms);
        self.samples = self.samples.saturating_add(1);
        self.recorded_ms = now_ms;
    }

    /// Returns the time of the latest answer.
    pub fn recorded_ms(&self) -> u64 {
        self.recorded_ms
    }

    /// Returns the mean time, once there are answers.
    pub fn mean_ms(&self) -> Option<f64> {
        (self.samples > 0).then(|| self.time_ms / self.weight)
    }

    /// Returns the time by load, once there are enough answers.
    pub fn line(&self) -> Option<TimeLine> {
        if self.samples < SAMPLES_MIN {
            return None;
        }
        let (load, time_ms) = (self.load / self.weight, self.time_ms / self.weight);
        let variance = self.load_squared / self.weight - load * load;
        let covariance = self.load_time_ms / self.weight - load * time_ms;
        let slope_max = time_ms / load.max(1.0);
        let per_request_ms = match variance >= LOAD_VARIANCE_MIN {
            true => (covariance / variance).clamp(0.0, slope_max),
            false => 0.0,
        };
        Some(TimeLine { base_ms: time_ms - per_request_ms * load, per_request_ms })
    }
}
