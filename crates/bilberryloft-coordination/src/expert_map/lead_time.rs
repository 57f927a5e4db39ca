//! Lead time of a map change: how many forward passes ahead it is scheduled.
//!
//! For several seconds, some of the orders to ranks may get no answer; each of these is sent again after a timeout.
//! The group does not begin the pass of the change until every rank has confirmed. If the change is scheduled for the
//! next pass, the group and all its streams stall during all the retries. If it is scheduled as many passes ahead as
//! the retries are likely to take, the group continues meanwhile.

/// Lead in passes when every order is answered immediately.
const LEAD_PASSES_MIN: u64 = 1;
/// Maximum lead in passes; until the change, the group runs with a map that is known to be bad.
const LEAD_PASSES_MAX: u64 = 7;
/// Maximum number of rounds of orders that the lead allows for.
const ORDER_ROUNDS_MAX: f64 = 8.0;

/// Number of passes between the last one seen and the one of the change.
///
/// `unanswered` of the latest orders to `ranks` ranks had no answer; an order is sent again after `order_ms`, and a
/// pass takes `pass_ms`.
pub fn passes_ahead(ranks: usize, unanswered: usize, order_ms: f64, pass_ms: f64) -> u64 {
    if unanswered == 0 || pass_ms <= 0.0 {
        return LEAD_PASSES_MIN;
    }
    let loss_rate = (unanswered as f64 / ranks.max(1) as f64).min(0.9);
    // Rounds of orders after which fewer than one rank is expected to be without an answer.
    let rounds = ((ranks as f64).ln() / -loss_rate.ln()).ceil().clamp(1.0, ORDER_ROUNDS_MAX);
    let passes = (rounds * order_ms / pass_ms).ceil() as u64;
    (LEAD_PASSES_MIN + passes).min(LEAD_PASSES_MAX)
}
