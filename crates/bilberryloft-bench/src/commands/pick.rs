//! `pick`: time of one pick among many targets, and of one policy look-up among many teams.

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

use crate::sample::team_change;

/// Operations of each measurement.
const OPERATIONS: u64 = 200_000;

/// The command.
#[derive(Args)]
pub struct PickCommand {
    /// Numbers of targets.
    #[arg(long, value_delimiter = ',', default_value = "16,260,2600")]
    targets: Vec<usize>,
    /// Numbers of teams.
    #[arg(long, value_delimiter = ',', default_value = "29,2900,29000")]
    teams: Vec<usize>,
}

impl PickCommand {
    /// Runs the command.
    pub fn run(self) -> eyre::Result<()> {
        println!("targets | ns a pick, cold prefix | ns a pick, warm prefix");
        for targets in &self.targets {
            let mut picker = build_picker(*targets);
            let cold = time_ns(|_| drop(black_box(picker.pick("forecast-writer", 0, &[], 10_000))));
            let warm = time_ns(|it| {
                drop(black_box(picker.pick("forecast-writer", 1 + it % 1_000, &[], 10_000)))
            });
            println!("{targets} | {cold} | {warm}");
        }
        println!("teams | ns a policy look-up, digest included");
        for teams in &self.teams {
            let configuration = build_configuration(*teams);
            let count = *teams as u64;
            let tokens: Vec<String> = (0..count).map(|it| format!("token-{it}")).collect();
            let look_up = time_ns(|it| {
                let digest = token_digest(&tokens[(it * 7_919 % count) as usize]);
                black_box(configuration.policy_of_digest(&digest));
            });
            println!("{teams} | {look_up}");
        }
        Ok(())
    }
}

fn time_ns(mut operation: impl FnMut(u64)) -> u64 {
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
