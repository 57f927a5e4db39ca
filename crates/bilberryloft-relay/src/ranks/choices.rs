//! Compact encoding of how often the requests of a rank have chosen each expert between two forward passes.
//!
//! The counts since a rank started take 20 KB as text in a group with 10 sets of 384 experts, and a planner reads each
//! rank several times a second. The difference between two readings takes about one byte for each expert.

use std::collections::VecDeque;

use bilberryloft_protocol::varint::push_number;
use bilberryloft_protocol::varint::take_number;

use crate::dialect::ExpertCounts;

/// Number of readings that an agent keeps, so that a reading whose answer was lost still counts.
const READINGS_KEPT: usize = 2;

/// Encodes the choices of each expert.
pub fn encode(choices: impl ExactSizeIterator<Item = u64>) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(choices.len() + choices.len() / 8);
    for number in choices {
        push_number(&mut bytes, number);
    }
    bytes
}

/// Decodes the choices of `experts` experts over all sets; `None` if the bytes hold another number of them.
pub fn decode(mut bytes: &[u8], experts: usize) -> Option<Vec<u64>> {
    if bytes.len() < experts {
        return None;
    }
    let mut choices = Vec::with_capacity(experts);
    for _ in 0..experts {
        choices.push(take_number(&mut bytes)?);
    }
    bytes.is_empty().then_some(choices)
}

/// The latest readings of a rank's counts at its agent.
#[derive(Debug, Default)]
pub struct Readings {
    kept: VecDeque<ExpertCounts>,
}

impl Readings {
    /// Adds a reading, and returns the choices since the pass `since_step` in compact form; `None` if the counts of
    /// that pass are not kept.
    pub fn add(&mut self, counts: ExpertCounts, since_step: Option<u64>) -> Option<Vec<u8>> {
        let is_comparable =
            |it: &ExpertCounts| it.epoch == counts.epoch && it.counts.len() == counts.counts.len();
        self.kept.retain(is_comparable);
        let before = self.kept.iter().find(|it| Some(it.step) == since_step);
        let choices = before.map(|before| {
            let numbers = counts.counts.iter().zip(&before.counts);
            encode(numbers.map(|(now, before)| now.saturating_sub(*before)))
        });
        // Of several readings of one pass, the first one is kept, as its reader counts from there.
        if self.kept.iter().all(|it| it.step != counts.step) {
            if self.kept.len() == READINGS_KEPT {
                self.kept.pop_front();
            }
            self.kept.push_back(counts);
        }
        choices
    }
}
