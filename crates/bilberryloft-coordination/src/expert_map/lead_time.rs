//! Lead time of a map change: how many forward passes ahead it is scheduled.
//!
//! The group does not begin the pass of the change until every rank has confirmed. In a large group, a round of orders
//! takes a good part of a pass even if each is answered at once. For several seconds, some of the orders may get no
//! answer; each of these is sent again after a timeout. If the change is scheduled for the next pass, the group and all
//! its streams stall meanwhile. If it is scheduled as many passes ahead as the orders are likely to take, the group
//! continues.

/// Lead in passes when every order is answered immediately.
const LEAD_PASSES_MIN: u64 = 1;
/// Maximum lead in passes; until the change, the group runs with a map that is known to be bad.
const LEAD_PASSES_MAX: u64 = 7;
/// Maximum number of rounds of orders that the lead allows for.
const ORDER_ROUNDS_MAX: f64 = 8.0;
/// Share of a pass that a stall may take, when that changes the map one pass earlier.
const STALL_SHARE_MAX: f64 = 0.25;

/// How the ranks of a group answer orders.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OrderTiming {
    /// Number of ranks.
    pub ranks: usize,
    /// Number of ranks that did not answer the latest order.
    pub unanswered: usize,
    /// Time until all ranks have answered if none of the answers is lost, in milliseconds.
    pub round_ms: f64,
    /// Time after which an order is sent again, in milliseconds.
    pub timeout_ms: f64,
}

/// Returns the number of passes between the one that runs now and the one of the change; a pass takes `pass_ms`.
pub fn passes_ahead(orders: OrderTiming, pass_ms: f64) -> u64 {
    if pass_ms <= 0.0 {
        return LEAD_PASSES_MIN;
    }
    let round_passes = match orders.round_ms / pass_ms {
        share if share <= STALL_SHARE_MAX => 0.0,
        share => share.ceil(),
    };
    let passes = round_passes.max((repeats(orders) * orders.timeout_ms / pass_ms).ceil());
    (LEAD_PASSES_MIN + passes as u64).min(LEAD_PASSES_MAX)
}

/// Returns the rounds of orders after which fewer than one rank is expected to be without an answer; 0 if all ranks
/// answer at once.
fn repeats(orders: OrderTiming) -> f64 {
    if orders.unanswered == 0 {
        return 0.0;
    }
    let loss_rate = (orders.unanswered as f64 / orders.ranks.max(1) as f64).min(0.9);
    ((orders.ranks as f64).ln() / -loss_rate.ln()).ceil().clamp(1.0, ORDER_ROUNDS_MAX)
}
