//! A target that has been given a request, until it is told how that ended.

use std::sync::Arc;

use bilberryloft_routing::targets::AttemptOutcome;
use bilberryloft_routing::targets::PickedTarget;

use crate::state::RelayState;

/// A target that has been given a request, until its verdict is told; without one, the caller left.
pub struct TargetSlot {
    state: Arc<RelayState>,
    service: String,
    picked: PickedTarget,
    is_released: bool,
}

impl TargetSlot {
    /// Takes over a request that was counted by the pick.
    pub fn new(state: &Arc<RelayState>, service: &str, picked: PickedTarget) -> TargetSlot {
        TargetSlot {
            state: state.clone(),
            service: service.to_string(),
            picked,
            is_released: false,
        }
    }

    /// The target.
    pub fn picked(&self) -> &PickedTarget {
        &self.picked
    }

    /// Tells how it ended.
    pub fn release(mut self, outcome: AttemptOutcome) {
        self.is_released = true;
        self.state.finish(&self.service, self.picked.key, outcome);
    }
}

impl Drop for TargetSlot {
    fn drop(&mut self) {
        if !self.is_released {
            self.state.finish(&self.service, self.picked.key, AttemptOutcome::Unknown);
        }
    }
}
