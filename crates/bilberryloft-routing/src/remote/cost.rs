//! What it costs to send a request to another data centre, in units of one more request at a target.

use serde::Deserialize;
use serde::Serialize;

use crate::remote::COST_WITHOUT_PRICE;

/// Largest cost, in requests.
const COST_MAX: f64 = 1_000.0;
/// Lower bound of the time that one more request adds at a target, in milliseconds.
const PER_REQUEST_MIN_MS: f64 = 0.01;
/// Weight of the latest request in the means.
const SMOOTHING_FACTOR: f64 = 0.02;
/// Requests after which the means are used.
const SAMPLES_MIN: u32 = 8;
/// Bytes in a megabyte.
const MB_BYTES: f64 = 1e6;

/// Price of bytes between data centres, as the time for which callers would rather wait.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RemotePrice {
    /// Waiting time that is worth as much as one megabyte between data centres, in milliseconds.
    pub ms_per_mb: f64,
    /// The same between regions; `ms_per_mb` if it is absent.
    #[serde(default)]
    pub ms_per_mb_between_regions: Option<f64>,
}

impl RemotePrice {
    /// Returns whether the prices are finite and not below 0.
    pub fn is_valid(&self) -> bool {
        let prices = [Some(self.ms_per_mb), self.ms_per_mb_between_regions];
        prices.into_iter().flatten().all(|it| it.is_finite() && it >= 0.0)
    }

    /// Returns the price of some bytes, in milliseconds.
    pub fn of_bytes_ms(&self, bytes: f64, is_same_region: bool) -> f64 {
        let ms_per_mb = match is_same_region {
            true => self.ms_per_mb,
            false => self.ms_per_mb_between_regions.unwrap_or(self.ms_per_mb),
        };
        bytes / MB_BYTES * ms_per_mb
    }
}

/// Mean size and time of a service's requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestSize {
    bytes: f64,
    elapsed_ms: f64,
    samples: u32,
}

impl RequestSize {
    /// Adds a request: the bytes of the request and its answer, and the time it took.
    pub fn record(&mut self, bytes: usize, elapsed_ms: f64) {
        self.samples = self.samples.saturating_add(1);
        let factor = SMOOTHING_FACTOR.max(1.0 / f64::from(self.samples));
        self.bytes += factor * (bytes as f64 - self.bytes);
        self.elapsed_ms += factor * (elapsed_ms - self.elapsed_ms);
    }

    /// Returns the mean bytes of a request and its answer.
    pub fn bytes(&self) -> f64 {
        self.bytes
    }

    /// Returns the mean time of a request, once there are enough of them, in milliseconds.
    pub fn elapsed_ms(&self) -> Option<f64> {
        (self.samples >= SAMPLES_MIN).then_some(self.elapsed_ms)
    }
}

/// Returns the cost of a time, in requests; at least the constant, which is also the cost as long as nothing is known.
pub fn cost_requests(extra_ms: f64, per_request_ms: Option<f64>) -> f64 {
    let requests = per_request_ms.map_or(0.0, |it| extra_ms / it.max(PER_REQUEST_MIN_MS));
    requests.clamp(COST_WITHOUT_PRICE, COST_MAX)
}
