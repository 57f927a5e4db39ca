//! `commits`: throughput and latency of small commits on three members, next to bare writes and syncs of the same
//! number of bytes.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bilberryloft_daemon::control_client::ControlClient;
use bilberryloft_state::claim::ClaimSite;
use bilberryloft_state::state_machine::Command;
use bilberryloft_testing::fleet::Fleet;
use bilberryloft_testing::fleet::PEER_PORT;
use bilberryloft_testing::fleet::TempFolder;
use clap::Args;
use tokio::task::JoinSet;

use crate::block_on;
use crate::usage::cpu_time;
use crate::usage::ms;
use crate::usage::percentile;

/// Arguments of the `commits` subcommand.
#[derive(Args)]
pub struct CommitsCommand {
    /// Numbers of concurrent proposers to measure.
    #[arg(long, value_delimiter = ',', default_value = "1,16,256,2048")]
    concurrency: Vec<usize>,
    /// Duration of each measurement in milliseconds.
    #[arg(long, default_value_t = 3_000)]
    time_ms: u64,
}

impl CommitsCommand {
    /// Runs the benchmark and prints its tables.
    pub fn run(self) -> eyre::Result<()> {
        block_on(3, self.measure())
    }

    async fn measure(self) -> eyre::Result<()> {
        let mut fleet = Fleet::plan("bench-commits", 3, 0, 0);
        fleet.start_all();
        let leader = fleet.leader().await;
        let leader_pid = fleet.processes[&format!("control-{}", leader + 1)].id();
        let address = format!("{}:{PEER_PORT}", fleet.control_ips[leader]);
        println!(
            "proposers | commits/s | p50 ms | p99 ms | bare sync p50 ms | p99 ms | leader CPU us a commit"
        );
        for (round, concurrency) in self.concurrency.iter().enumerate() {
            let mut bare = bare_syncs(Duration::from_millis(self.time_ms / 3))?;
            let cpu_before = cpu_time(leader_pid);
            let began = Instant::now();
            let mut times = self.propose(&address, *concurrency, round).await;
            let elapsed = began.elapsed().as_secs_f64();
            let cpu_s = (cpu_time(leader_pid) - cpu_before).as_secs_f64();
            let count = times.len();
            println!(
                "{concurrency} | {:.0} | {} | {} | {} | {} | {:.1}",
                count as f64 / elapsed,
                ms(percentile(&mut times, 0.5)),
                ms(percentile(&mut times, 0.99)),
                ms(percentile(&mut bare, 0.5)),
                ms(percentile(&mut bare, 0.99)),
                cpu_s * 1e6 / count as f64,
            );
        }
        Ok(())
    }

    /// Proposes claims from concurrent tasks and returns the time of each commit.
    async fn propose(&self, address: &str, concurrency: usize, round: usize) -> Vec<Duration> {
        let until = Instant::now() + Duration::from_millis(self.time_ms);
        let clients: Vec<ControlClient> = (0..8)
            .map(|it| ControlClient::new(&[address.to_string()], &format!("bench-{it}"), 1))
            .collect();
        let next = Arc::new(AtomicU64::new(0));
        let mut tasks = JoinSet::new();
        for number in 0..concurrency {
            let (client, next) = (clients[number % clients.len()].clone(), next.clone());
            tasks.spawn(async move {
                let mut times = Vec::new();
                while Instant::now() < until {
                    let command = claim_command(round, next.fetch_add(1, Ordering::Relaxed));
                    let began = Instant::now();
                    if client.propose(&command, Duration::from_secs(5)).await.is_ok() {
                        times.push(began.elapsed());
                    }
                }
                times
            });
        }
        let mut times = Vec::new();
        while let Some(Ok(task_times)) = tasks.join_next().await {
            times.extend(task_times);
        }
        times
    }
}

fn claim_command(round: usize, number: u64) -> Command {
    Command::Claim {
        key: format!("asahikawa/key/{round}-{number}"),
        request_id: format!("entry-1-1a23dab28f5-{number:x}"),
        fingerprint: number.cast_signed(),
        site: ClaimSite {
            target: "forecast-writer-1".to_string(),
            agent_address: "10.0.0.1:7402".to_string(),
            agent_incarnation: 1_796_330_957_045,
        },
    }
}

/// Writes and syncs the bytes of a claim command again and again, and returns the time of each write with its sync.
fn bare_syncs(time: Duration) -> eyre::Result<Vec<Duration>> {
    let folder = TempFolder::create("bench-sync");
    let mut file = std::fs::File::create(folder.path.join("bare"))?;
    let bytes = serde_json::to_vec(&claim_command(0, 1_000_000))?;
    let until = Instant::now() + time;
    let mut times = Vec::new();
    while Instant::now() < until {
        let began = Instant::now();
        file.write_all(&bytes)?;
        file.sync_data()?;
        times.push(began.elapsed());
    }
    Ok(times)
}
