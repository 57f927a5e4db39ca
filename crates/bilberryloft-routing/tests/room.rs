//! Admission by priority under load, in a small model of a lock-step group.
#![allow(clippy::unwrap_used)]

#[path = "support/lock_step_group.rs"]
mod lock_step_group;

use lock_step_group::Group;
use lock_step_group::Rule;
use lock_step_group::Scenario;

/// Overload of the specification: priority 2 offers 9 times its load for 14 s, within that priority 0 offers 2.5 times
/// its load for 5 s.
fn overload() -> Scenario {
    let bursts = vec![(6_000, 20_000, 2, 9.0), (11_000, 16_000, 0, 2.5)];
    Scenario { bursts, ..Scenario::usual(30_000) }
}

fn two_bursts() -> Scenario {
    let bursts = vec![(6_000, 12_000, 2, 2.25), (16_000, 22_000, 0, 1.7)];
    Scenario { bursts, ..Scenario::usual(28_000) }
}

fn print(name: &str, rule: Rule, scenario: &Scenario, spans: &[(u64, u64)]) {
    let group = Group::new(rule, scenario.clone(), 7).run();
    for (from_ms, to_ms) in spans {
        let (all, per_s) = group.in_aim(None, *from_ms, *to_ms);
        let shares = [0, 1, 2].map(|it| group.in_aim(Some(it), *from_ms, *to_ms).0);
        let mut passes: Vec<f64> = group
            .passes
            .iter()
            .filter(|it| (*from_ms as f64..*to_ms as f64).contains(&it.0))
            .map(|it| it.1)
            .collect();
        passes.sort_by(f64::total_cmp);
        let at = |q: f64| passes[((passes.len() - 1) as f64 * q) as usize];
        let losses =
            [0, 1, 2].map(|it| group.losses(it, *from_ms, *to_ms).map(|it| (it * 100.0) as u32));
        println!(
            "{name} {rule:?} {from_ms}-{to_ms}: in aim {all:.3} {per_s:.0}/s by priority {shares:.3?} run {:.0} pass {:.0} {:.0} {:.0} lost {losses:?}",
            group.mean_running(*from_ms, *to_ms),
            at(0.5),
            at(0.9),
            at(1.0)
        );
    }
}

#[test]
#[ignore = "prints the comparison of the design note"]
fn comparison() {
    for rule in [Rule::FirstCome, Rule::Threshold, Rule::FairQueue, Rule::Reserve] {
        print(
            "bursts",
            rule,
            &two_bursts(),
            &[
                (2_000, 6_000),
                (6_000, 12_000),
                (12_500, 16_000),
                (16_000, 22_000),
                (22_500, 26_000),
            ],
        );
        print(
            "overload",
            rule,
            &overload(),
            &[
                (2_000, 6_000),
                (6_000, 11_000),
                (11_000, 16_000),
                (16_000, 20_000),
                (22_000, 28_000),
            ],
        );
    }
}
