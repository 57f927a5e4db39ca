//! `pick`: time of one target pick among many targets, and of one policy lookup among many teams.

use std::hint::black_box;
use std::time::Instant;

use bilberryloft_coordination::pick::Picker;
use bilberryloft_coordination::pick::TargetView;
use bilberryloft_state::configuration::ChangeKind;
use bilberryloft_state::configuration::Configuration;
use bilberryloft_state::configuration::token_digest;
use bilberryloft_testing::fleet::change_request;
use bilberryloft_testing::fleet::depot_template;
use clap::Args;

use crate::fixtures::team_change;

/// Operations per measurement.
const OPERATIONS: u64 = 200_000;

/// Arguments of the `pick` subcommand.
#[derive(Args)]
pub struct PickCommand {
    /// Numbers of targets to measure.
    #[arg(long, value_delimiter = ',', default_value = "16,260,2600")]
    targets: Vec<usize>,
    /// Numbers of teams to measure.
    #[arg(long, value_delimiter = ',', default_value = "29,2900,29000")]
    teams: Vec<usize>,
}

impl PickCommand {
    /// Runs the benchmark and prints its tables.
    pub fn run(self) -> eyre::Result<()> {
        println!("targets | ns a pick, cold prefix | ns a pick, warm prefix");
        for targets in &self.targets {
            let mut picker = build_picker(*targets);
            let cold_ns =
                mean_time_ns(|_| drop(black_box(picker.pick("forecast-writer", 0, &[], 10_000))));
            let warm_ns = mean_time_ns(|number| {
                drop(black_box(picker.pick("forecast-writer", 1 + number % 1_000, &[], 10_000)))
            });
            println!("{targets} | {cold_ns} | {warm_ns}");
        }
        println!("teams | ns a policy look-up, digest included");
        for teams in &self.teams {
            let configuration = build_configuration(*teams);
            let count = *teams as u64;
            let tokens: Vec<String> = (0..count).map(|it| format!("token-{it}")).collect();
            let lookup_ns = mean_time_ns(|number| {
                let digest = token_digest(&tokens[(number * 7_919 % count) as usize]);
                black_box(configuration.policy_of_digest(&digest));
            });
            println!("{teams} | {lookup_ns}");
        }
        Ok(())
    }
}

/// Returns the mean time of an operation in nanoseconds.
fn mean_time_ns(mut operation: impl FnMut(u64)) -> u64 {
    let began = Instant::now();
    for number in 0..OPERATIONS {
        operation(number);
    }
    began.elapsed().as_nanos() as u64 / OPERATIONS
}

fn build_picker(targets: usize) -> Picker {
    let mut picker = Picker::new(3);
    for number in 0..targets {
        let view = TargetView {
            is_local: number % 3 == 0,
            reported: (number % 13) as u32,
            reported_ms: 9_500,
            ..TargetView::new(&format!("target-{number}"), "10.0.0.1:7402", 1, 16)
        };
        picker.upsert(view, &["forecast-writer".to_string()]);
    }
    picker
}

fn build_configuration(teams: usize) -> Configuration {
    let mut configuration = Configuration::default();
    configuration.decide(&change_request(ChangeKind::ApplyTemplate(depot_template())), 0);
    for number in 0..teams {
        configuration.decide(&team_change(number), 0);
    }
    configuration
}
