//! Rank and passes at which the planner of one term holds a lock-step group.

/// Number of terms in a row whose planners never hold the same pass at the same rank.
pub const HOLD_SLOTS_MIN: usize = 16;

/// Rank and passes at which the planner of one term holds a group.
///
/// An order to release a hold may be carried out long after the group was released, and would release a later hold of the same
/// rank before the same pass. So planners of terms that are fewer than [`HOLD_SLOTS_MIN`] apart share no rank and pass, and a
/// planner never holds a pass again that it has held before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HoldSlot {
    holder: usize,
    /// Distance between two passes of the slot.
    stride: u64,
    /// Lowest pass of the slot.
    first_step: u64,
}

impl HoldSlot {
    /// Returns the slot of a term for a group with this number of ranks.
    pub fn new(term: u64, ranks: usize) -> HoldSlot {
        let ranks = ranks.max(1);
        let stride = HOLD_SLOTS_MIN.div_ceil(ranks);
        let slot = (term % (ranks * stride) as u64) as usize;
        let (stride, first_step) = (stride as u64, (slot / ranks) as u64);
        HoldSlot { holder: slot % ranks, stride, first_step }
    }

    /// Returns the rank that holds the group.
    pub fn holder(self) -> usize {
        self.holder
    }

    /// Returns the first pass of the slot that is not before `step`.
    pub fn step_from(self, step: u64) -> u64 {
        let beyond = (step + self.stride - self.first_step) % self.stride;
        if beyond == 0 { step } else { step + self.stride - beyond }
    }
}
