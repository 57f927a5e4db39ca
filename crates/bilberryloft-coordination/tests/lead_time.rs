//! Orders of which a part gets no answer, and how long a group stands still for a change of map meanwhile.

use bilberryloft_coordination::expert_map::passes_ahead;

const ORDER_MS: f64 = 65.0;

/// Mean time in milliseconds for which a group stands still, over many changes.
fn standstill_ms(ranks: usize, lost: f64, pass_ms: f64, ahead: impl Fn(usize) -> u64) -> f64 {
    let mut random = fastrand::Rng::with_seed(3);
    let changes = 500;
    let mut still_ms = 0.0;
    for _ in 0..changes {
        let unanswered = (0..ranks).filter(|_| random.f64() < lost).count();
        let mut waiting = ranks;
        let mut rounds = 0;
        while waiting > 0 {
            waiting = (0..waiting).filter(|_| random.f64() < lost).count();
            rounds += 1;
        }
        // The last round is answered at once; each one before it ran into its limit.
        let needed_ms = f64::from(rounds - 1) * ORDER_MS;
        still_ms += (needed_ms - (ahead(unanswered) - 1) as f64 * pass_ms).max(0.0);
    }
    still_ms / f64::from(changes)
}

#[test]
fn group_goes_on_while_half_of_the_orders_have_no_answer() {
    for (ranks, pass_ms) in [(72, 100.0), (16, 60.0)] {
        let ahead = |unanswered| passes_ahead(ranks, unanswered, ORDER_MS, pass_ms);
        let still_ms = standstill_ms(ranks, 0.5, pass_ms, ahead);
        assert!(still_ms < 70.0, "{ranks}: {still_ms}");
        assert!(standstill_ms(ranks, 0.5, pass_ms, |_| 1) > 3.0 * still_ms, "{ranks}");
    }
}

#[test]
fn change_is_made_at_once_when_all_orders_are_answered() {
    assert_eq!(passes_ahead(72, 0, ORDER_MS, 80.0), 1);
    assert_eq!(passes_ahead(16, 0, ORDER_MS, 0.0), 1);
}

#[test]
fn change_is_never_put_off_for_long() {
    for unanswered in 1..=72 {
        assert!(passes_ahead(72, unanswered, ORDER_MS, 30.0) <= 7, "{unanswered}");
    }
}
