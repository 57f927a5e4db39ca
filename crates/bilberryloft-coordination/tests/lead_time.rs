//! Lead time of map changes: how long a group stalls for a change while some orders to its ranks get no answer.

use bilberryloft_coordination::expert_map::passes_ahead;

const ORDER_MS: f64 = 65.0;

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
        let ahead = |unanswered| passes_ahead(ranks, unanswered, ORDER_MS, pass_ms);
        let stall_ms = mean_stall_ms(ranks, 0.5, pass_ms, ahead);
        assert!(stall_ms < 70.0, "{ranks}: {stall_ms}");
        assert!(mean_stall_ms(ranks, 0.5, pass_ms, |_| 1) > 3.0 * stall_ms, "{ranks}");
    }
}

#[test]
fn change_is_scheduled_for_the_next_pass_when_all_orders_are_answered() {
    assert_eq!(passes_ahead(72, 0, ORDER_MS, 80.0), 1);
    assert_eq!(passes_ahead(16, 0, ORDER_MS, 0.0), 1);
}

#[test]
fn change_is_scheduled_at_most_seven_passes_ahead() {
    for unanswered in 1..=72 {
        assert!(passes_ahead(72, unanswered, ORDER_MS, 30.0) <= 7, "{unanswered}");
    }
}
