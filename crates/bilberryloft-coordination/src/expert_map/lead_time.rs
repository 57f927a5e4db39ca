//! How far ahead of a change of map its pass is set.
//!
//! The pattern: a part of the orders to ranks gets no answer for some seconds, and each is given again after a while.
//! The group is held before the pass of the change until every rank has confirmed; set for the next pass, it stands
//! still through all the repeats, and every stream with it. With as many passes ahead as the repeats are likely to take,
//! it goes on meanwhile.

/// Passes ahead when every order is answered at once.
const AT_ONCE: u64 = 1;
/// Passes ahead, at most: the map in use is a bad one.
const MOST: u64 = 7;
/// Rounds of orders that are allowed for, at most.
const ROUNDS_MAX: f64 = 8.0;

/// Passes between the last one seen and the one of the change, where `unanswered` of the latest orders to `ranks` ranks
/// had no answer, orders are repeated after `order_ms`, and passes take `pass_ms`.
pub fn passes_ahead(ranks: usize, unanswered: usize, order_ms: f64, pass_ms: f64) -> u64 {
    if unanswered == 0 || pass_ms <= 0.0 {
        return AT_ONCE;
    }
    let lost = (unanswered as f64 / ranks.max(1) as f64).min(0.9);
    // Rounds after which fewer than one rank is expected not to have answered.
    let rounds = ((ranks as f64).ln() / -lost.ln()).ceil().clamp(1.0, ROUNDS_MAX);
    let passes = (rounds * order_ms / pass_ms).ceil() as u64;
    (AT_ONCE + passes).min(MOST)
}
