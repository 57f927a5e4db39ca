//! Admission by priority under load, in a small model of a lock-step group.
#![allow(clippy::unwrap_used)]

#[path = "support/lock_step_group.rs"]
mod lock_step_group;

use lock_step_group::Group;
use lock_step_group::Rule;
use lock_step_group::Scenario;

const SEEDS: [u64; 3] = [7, 8, 9];

/// Overload of the specification: priority 2 offers 9 times its load for 14 s, within that priority 0 offers 2.5 times
/// its load for 5 s.
fn overload() -> Scenario {
    let bursts = vec![(6_000, 20_000, 2, 9.0), (11_000, 16_000, 0, 2.5)];
    Scenario { bursts, ..Scenario::usual(30_000) }
}

/// The two bursts of the specification.
fn two_bursts() -> Scenario {
    let bursts = vec![(6_000, 12_000, 2, 2.25), (16_000, 22_000, 0, 1.7)];
    Scenario { bursts, ..Scenario::usual(28_000) }
}

/// Prints the shares in aim over some seeds, in all and by priority, for parts of a scenario.
fn print(name: &str, rule: Rule, scenario: &Scenario, spans: &[(u64, u64)]) {
    let groups = SEEDS.map(|it| Group::new(rule, scenario.clone(), it).run());
    let mean = |of: &dyn Fn(&Group) -> f64| groups.iter().map(of).sum::<f64>() / SEEDS.len() as f64;
    for (from_ms, to_ms) in spans.iter().copied() {
        let per_s = mean(&|it| it.in_aim(None, from_ms, to_ms).1);
        let shares = [0, 1, 2].map(|p| mean(&|it| it.in_aim(Some(p), from_ms, to_ms).0));
        let lost = [0, 1, 2].map(|p| {
            [0, 1, 2].map(|why| (100.0 * mean(&|it| it.losses(p, from_ms, to_ms)[why])) as u32)
        });
        let running = mean(&|it| it.mean_running(from_ms, to_ms));
        let passes = [0.5, 0.9, 1.0].map(|q| mean(&|it| it.pass_quantile(q, from_ms, to_ms)));
        println!(
            "{name} {rule:?} {from_ms}-{to_ms}: {per_s:.0}/s of {:.0} {shares:.3?} run {running:.0} \
             pass {passes:.0?} lost {lost:?}",
            mean(&|it| it.ended_per_s(from_ms, to_ms))
        );
    }
}

#[test]
#[ignore = "prints the comparison of the design note"]
fn comparison() {
    let spans =
        [(2_000, 4_000), (6_000, 11_000), (11_000, 16_000), (16_000, 20_000), (22_000, 28_000)];
    for tenths in [60, 70, 80, 90, 95] {
        print("overload", Rule::Constant(tenths), &overload(), &spans);
    }
    for rule in [Rule::FirstCome, Rule::Threshold, Rule::FairQueue, Rule::Reserve] {
        print("overload", rule, &overload(), &spans);
    }
    let spans =
        [(2_000, 4_000), (6_000, 12_000), (12_500, 14_000), (16_000, 22_000), (22_500, 26_000)];
    for rule in [Rule::FirstCome, Rule::Threshold, Rule::FairQueue, Rule::Reserve] {
        print("bursts", rule, &two_bursts(), &spans);
    }
}

#[test]
#[ignore = "tuning"]
fn tune() {
    for (name, scenario, spans) in [
        (
            "over",
            overload(),
            vec![
                (2_000, 4_500),
                (6_000, 11_000),
                (11_000, 16_000),
                (16_000, 20_000),
                (22_000, 28_000),
            ],
        ),
        (
            "two",
            two_bursts(),
            vec![(6_000, 12_000), (12_500, 14_500), (16_000, 22_000), (22_500, 26_000)],
        ),
        ("usual", Scenario::usual(24_000), vec![(2_000, 12_000), (12_000, 22_000)]),
    ] {
        let groups: Vec<Group> =
            (0..8).map(|it| Group::new(Rule::Reserve, scenario.clone(), it).run()).collect();
        let mut line = format!("tune {name}");
        for (from, to) in spans {
            let m = |f: &dyn Fn(&Group) -> f64| groups.iter().map(f).sum::<f64>() / 8.0;
            let s = [0, 1, 2].map(|p| (100.0 * m(&|g| g.in_aim(Some(p), from, to).0)) as u32);
            line += &format!(
                " | {:.0}/{:.0} {s:?} late {:.0}",
                m(&|g| g.in_aim(None, from, to).1),
                m(&|g| g.ended_per_s(from, to)),
                100.0 * m(&|g| g.losses(0, from, to)[2])
            );
        }
        println!("{line}");
    }
}
