//! A target that has been given a request, until it is told how that ended.

use std::sync::Arc;

use bilberryloft_routing::targets::AttemptOutcome;
use bilberryloft_routing::targets::PickedTarget;

use crate::state::RelayState;

/// A target that has been given a request, until its verdict is told; without one, the caller left.
pub struct Held {
    state: Arc<RelayState>,
    service: String,
    picked: PickedTarget,
    is_told: bool,
}

impl Held {
    /// Takes over a request that was counted by the pick.
    pub fn new(state: &Arc<RelayState>, service: &str, picked: PickedTarget) -> Held {
        Held { state: state.clone(), service: service.to_string(), picked, is_told: false }
    }

    /// The target.
    pub fn picked(&self) -> &PickedTarget {
        &self.picked
    }

    /// Tells how it ended.
    pub fn tell(mut self, verdict: AttemptOutcome) {
        self.is_told = true;
        self.state.finish(&self.service, self.picked.key, verdict);
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        if !self.is_told {
            self.state.finish(&self.service, self.picked.key, AttemptOutcome::Unknown);
        }
    }
}
