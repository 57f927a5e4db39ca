//! Shares of requests that a relay may send to far data centres, for operators.

use std::sync::Arc;

use bilberryloft_protocol::api::RemoteRow;
use parking_lot::Mutex;

use crate::metrics::Metrics;

/// Time for which shares are shown, in milliseconds. They are collected from all targets.
const VALID_MS: u64 = 1_000;

/// Latest shares by service.
#[derive(Debug)]
pub struct RemoteShares {
    metrics: Arc<Metrics>,
    rows: Mutex<Rows>,
}

#[derive(Debug, Default)]
struct Rows {
    rows: Vec<RemoteRow>,
    set_ms: Option<u64>,
}

impl RemoteShares {
    /// Creates an empty list.
    pub fn new(metrics: Arc<Metrics>) -> RemoteShares {
        RemoteShares { metrics, rows: Mutex::default() }
    }

    /// Returns whether the shares are old.
    pub fn is_due(&self, now_ms: u64) -> bool {
        self.rows.lock().set_ms.is_none_or(|it| it + VALID_MS <= now_ms)
    }

    /// Replaces the shares.
    pub fn set(&self, rows: Vec<RemoteRow>, now_ms: u64) {
        for row in &rows {
            self.metrics.remote.set_share(&row.service, row.share);
        }
        *self.rows.lock() = Rows { rows, set_ms: Some(now_ms) };
    }

    /// Returns the shares.
    pub fn rows(&self) -> Vec<RemoteRow> {
        self.rows.lock().rows.clone()
    }

    /// Counts a request that was sent to a target, in another data centre or here.
    pub fn count(&self, is_away: bool) {
        if is_away {
            self.metrics.remote.requests.inc();
        }
    }
}
