//! `failover`: time from a kill of the leader to the next committed change.

use std::time::Duration;
use std::time::Instant;

use bilberryloft_state::configuration::ChangeKind;
use bilberryloft_testing::fleet::Fleet;
use bilberryloft_testing::fleet::change_request;
use clap::Args;

use crate::block_on;
use crate::usage::ms;
use crate::usage::percentile;

/// Arguments of the `failover` subcommand.
#[derive(Args)]
pub struct FailoverCommand {
    /// Number of times to kill the leader.
    #[arg(long, default_value_t = 50)]
    kills: usize,
    /// Use the default heartbeat and election timing instead of the shorter one of the tests.
    #[arg(long, default_value_t = true)]
    default_timing: bool,
}

impl FailoverCommand {
    /// Runs the benchmark and prints its tables.
    pub fn run(self) -> eyre::Result<()> {
        block_on(2, self.measure())
    }

    async fn measure(self) -> eyre::Result<()> {
        let mut fleet = Fleet::plan("bench-failover", 3, 0, 0);
        for number in 1..=3 {
            if let Some(control) = &mut fleet.settings_mut(&format!("control-{number}")).control
                && self.default_timing
            {
                control.heartbeat_ms = 100;
                control.election_ms = 500;
            }
        }
        fleet.start_all();
        let mut times = Vec::new();
        for kill in 0..self.kills {
            let leader = fleet.leader().await;
            let name = format!("control-{}", leader + 1);
            fleet.kill(&name);
            let began = Instant::now();
            let kind = ChangeKind::SetTarget { name: format!("kill-{kill}"), draining: true };
            let request = change_request(kind);
            'written: loop {
                for number in (0..3).filter(|it| *it != leader) {
                    if fleet.change(&fleet.control_ips[number], &request).await.is_some() {
                        break 'written;
                    }
                }
            }
            times.push(began.elapsed());
            fleet.start(&name);
            tokio::time::sleep(Duration::from_millis(700)).await;
        }
        println!(
            "{} kills: p50 {} ms, p90 {} ms, most {} ms",
            self.kills,
            ms(percentile(&mut times, 0.5)),
            ms(percentile(&mut times, 0.9)),
            ms(percentile(&mut times, 1.0)),
        );
        Ok(())
    }
}
