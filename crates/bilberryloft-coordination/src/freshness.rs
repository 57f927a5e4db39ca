//! Freshness of a daemon's configuration: whether the daemon may still serve with it.

use serde::Deserialize;
use serde::Serialize;

/// Behaviour of a daemon that could not confirm its configuration in time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OnLostControl {
    /// Refuse new requests until the control quorum answers again.
    #[default]
    StandDown,
    /// Keep serving with the last known configuration.
    Serve,
}

/// Time of the last confirmation of the configuration by a quorum, and the rule for serving that depends on its age.
#[derive(Clone, Copy, Debug)]
pub struct Freshness {
    confirmed_ms: Option<u64>,
    lease_ms: u64,
    on_lost_control: OnLostControl,
}

impl Freshness {
    /// Starts without a confirmation.
    pub fn new(lease_ms: u64, on_lost_control: OnLostControl) -> Freshness {
        Freshness { confirmed_ms: None, lease_ms, on_lost_control }
    }

    /// Records a confirmation, given the time at which it was requested.
    ///
    /// The time of the request counts, not that of the answer, since a delayed answer only proves that the
    /// configuration was confirmed at some time after the request was sent.
    pub fn confirm(&mut self, asked_ms: u64) {
        self.confirmed_ms = self.confirmed_ms.max(Some(asked_ms));
    }

    /// Age of the last confirmation in milliseconds, if there was one.
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        self.confirmed_ms.map(|it| now_ms.saturating_sub(it))
    }

    /// Whether new work may start.
    pub fn may_serve(&self, now_ms: u64) -> bool {
        match (self.age_ms(now_ms), self.on_lost_control) {
            (None, _) => false,
            (Some(_), OnLostControl::Serve) => true,
            (Some(age_ms), OnLostControl::StandDown) => age_ms <= self.lease_ms,
        }
    }
}
