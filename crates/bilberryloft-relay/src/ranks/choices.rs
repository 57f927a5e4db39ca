//! Compact encoding of how often the requests of a rank have chosen each expert between two forward passes.
//!
//! The counts since a rank started take 20 KB as text in a group with 10 sets of 384 experts, and a planner reads each
//! rank several times a second. The difference between two readings takes about one byte for each expert.

use std::collections::VecDeque;

use crate::dialect::ExpertCounts;

/// Number of readings that an agent keeps, so that a reading whose answer was lost still counts.
const READINGS_KEPT: usize = 2;
/// Bits of a number that one byte holds.
const BITS_PER_BYTE: u32 = 7;
/// Mark of a byte that another one follows.
const MORE: u8 = 1 << BITS_PER_BYTE;

/// Appends a number, with seven bits a byte and the lowest ones first.
pub fn push_number(bytes: &mut Vec<u8>, mut number: u64) {
    while number >= u64::from(MORE) {
        bytes.push(number as u8 | MORE);
        number >>= BITS_PER_BYTE;
    }
    bytes.push(number as u8);
}

/// Takes a number from the front of the bytes; `None` if they end too early or the number is too large.
pub fn take_number(bytes: &mut &[u8]) -> Option<u64> {
    let mut number = 0_u64;
    let mut shift = 0;
    loop {
        let (first, rest) = bytes.split_first()?;
        *bytes = rest;
        let digit = u64::from(first & !MORE);
        number |= digit.checked_shl(shift).filter(|it| it >> shift == digit)?;
        if first & MORE == 0 {
            return Some(number);
        }
        shift += BITS_PER_BYTE;
    }
}

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
