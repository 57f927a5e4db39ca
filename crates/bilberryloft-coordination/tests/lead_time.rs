//! Lead time of map changes: how long a group stalls for a change while some orders to its ranks get no answer.

use bilberryloft_coordination::expert_map::OrderTiming;
use bilberryloft_coordination::expert_map::passes_ahead;

const ORDER_MS: f64 = 65.0;

/// Ranks of which some do not answer, while a round of answered orders takes hardly any time.
fn unanswered(ranks: usize, unanswered: usize) -> OrderTiming {
    OrderTiming { ranks, unanswered, round_ms: 5.0, timeout_ms: ORDER_MS }
}

/// Mean time in milliseconds for which a group stalls per change, over many simulated changes.
fn mean_stall_ms(ranks: usize, loss_rate: f64, pass_ms: f64, ahead: impl Fn(usize) -> u64) -> f64 {
    let mut random = fastrand::Rng::with_seed(3);
    let changes = 500;
    let mut total_stall_ms = 0.0;
    for _ in 0..changes {
        let unanswered = (0..ranks).filter(|_| random.f64() < loss_rate).count();
        let mut waiting = ranks;
        let mut rounds = 0;
        while waiting > 0 {
            waiting = (0..waiting).filter(|_| random.f64() < loss_rate).count();
            rounds += 1;
        }
        // The last round is answered immediately; each earlier one took the full timeout.
        let needed_ms = f64::from(rounds - 1) * ORDER_MS;
        total_stall_ms += (needed_ms - (ahead(unanswered) - 1) as f64 * pass_ms).max(0.0);
    }
    total_stall_ms / f64::from(changes)
}

#[test]
fn group_hardly_stalls_when_half_of_the_orders_get_no_answer() {
    for (ranks, pass_ms) in [(72, 100.0), (16, 60.0)] {
        let ahead = |count| passes_ahead(unanswered(ranks, count), pass_ms);
        let stall_ms = mean_stall_ms(ranks, 0.5, pass_ms, ahead);
        assert!(stall_ms < 70.0, "{ranks}: {stall_ms}");
        assert!(mean_stall_ms(ranks, 0.5, pass_ms, |_| 1) > 3.0 * stall_ms, "{ranks}");
    }
}

#[test]
fn change_is_scheduled_for_the_next_pass_when_all_orders_are_answered() {
    assert_eq!(passes_ahead(unanswered(72, 0), 80.0), 1);
    assert_eq!(passes_ahead(unanswered(16, 0), 0.0), 1);
}

#[test]
fn group_does_not_stall_while_orders_go_out_to_hundreds_of_ranks() {
    for (round_ms, pass_ms) in [(60.0, 100.0), (60.0, 40.0), (140.0, 100.0), (180.0, 180.0)] {
        let orders = OrderTiming { ranks: 192, unanswered: 0, round_ms, timeout_ms: 116.0 };
        let ahead = passes_ahead(orders, pass_ms);
        // The current pass may be about to end, so it does not count.
        let until_change_ms = (ahead - 1) as f64 * pass_ms;
        assert!(until_change_ms >= round_ms, "{round_ms} ms in passes of {pass_ms} ms");
        assert!(until_change_ms < round_ms + pass_ms, "{round_ms} ms in passes of {pass_ms} ms");
    }
}

#[test]
fn change_is_scheduled_at_most_seven_passes_ahead() {
    for count in 1..=72 {
        assert!(passes_ahead(unanswered(72, count), 30.0) <= 7, "{count}");
    }
}
