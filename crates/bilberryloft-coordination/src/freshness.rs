//! Whether a daemon may still act on its configuration.

use serde::Deserialize;
use serde::Serialize;

/// What a daemon does when it could not confirm its configuration in time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OnLostControl {
    /// Refuse new requests until control answers again.
    #[default]
    StandDown,
    /// Serve on with the last known configuration.
    Serve,
}

/// Time of the last confirmation by a quorum and what follows from its age.
#[derive(Clone, Copy, Debug)]
pub struct Freshness {
    confirmed_ms: Option<u64>,
    lease_ms: u64,
    on_lost_control: OnLostControl,
}

impl Freshness {
    /// Starts unconfirmed.
    pub fn new(lease_ms: u64, on_lost_control: OnLostControl) -> Freshness {
        Freshness { confirmed_ms: None, lease_ms, on_lost_control }
    }

    /// Takes a confirmation whose question was sent at the given time.
    ///
    /// The time of the question counts, not that of the answer, so that a delayed answer proves no more than it can.
    pub fn confirm(&mut self, asked_ms: u64) {
        self.confirmed_ms = self.confirmed_ms.max(Some(asked_ms));
    }

    /// Age of the confirmation in milliseconds, if there was one.
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
