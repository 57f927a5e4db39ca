//! `relay`: latency, CPU time and memory that entry and agent add to a direct call of the engine.

use std::time::Duration;

use bilberryloft_state::configuration::ChangeKind;
use bilberryloft_state::configuration::ChangeOutcome;
use bilberryloft_state::configuration::Team;
use bilberryloft_testing::caller::Caller;
use bilberryloft_testing::fleet::ENGINE_PORT;
use bilberryloft_testing::fleet::Fleet;
use bilberryloft_testing::fleet::depot_team;
use clap::Args;

use crate::block_on;
use crate::load::Load;
use crate::load::LoadResult;
use crate::usage::cpu_time;
use crate::usage::ms;
use crate::usage::percentile;
use crate::usage::resident_kib;

/// Arguments of the `relay` subcommand.
#[derive(Args)]
pub struct RelayCommand {
    /// Numbers of concurrent streams to measure.
    #[arg(long, value_delimiter = ',', default_value = "1,64,1024")]
    concurrency: Vec<usize>,
    /// Tokens per stream.
    #[arg(long, default_value_t = 24)]
    tokens: u64,
    /// Interval between the tokens of a stream in milliseconds.
    #[arg(long, default_value_t = 42)]
    token_ms: u64,
}

impl RelayCommand {
    /// Runs the benchmark and prints its tables.
    pub fn run(self) -> eyre::Result<()> {
        block_on(2, self.measure())
    }

    async fn measure(self) -> eyre::Result<()> {
        let mut fleet = Fleet::plan("bench-relay", 1, 1, 1);
        let engine = fleet.engine_settings_mut("engine-1");
        engine.slots = 4_096;
        engine.token_ms = self.token_ms;
        engine.first_token_ms = 1;
        engine.runs_file = None;
        fleet.start_all();
        fleet.make_team().await;
        let team = Team { in_flight_max: Some(100_000), ..depot_team() };
        let outcome = fleet.change_with_retry(ChangeKind::SetTeam(team)).await;
        if let ChangeOutcome::Accepted { version } = outcome {
            fleet.wait_for_version(version).await;
        }
        fleet.wait_until_ready().await;
        let entry_pid = fleet.processes["entry-1"].id();
        let agent_pid = fleet.processes["agent-1"].id();
        let engine_pid = fleet.processes["engine-1"].id();
        println!(
            "streams | first p50 direct/through/added ms | first p99 direct/through/added ms | CPU us a token entry/agent/engine | failed"
        );
        for concurrency in self.concurrency.clone() {
            let direct = self
                .load(format!("{}:{ENGINE_PORT}", fleet.target_ips[0]), concurrency)
                .run()
                .await;
            let cpu_before = [entry_pid, agent_pid, engine_pid].map(cpu_time);
            let relayed = self.load(fleet.entry_address(0), concurrency).run().await;
            let cpu_after = [entry_pid, agent_pid, engine_pid].map(cpu_time);
            let cpu = [
                cpu_after[0] - cpu_before[0],
                cpu_after[1] - cpu_before[1],
                cpu_after[2] - cpu_before[2],
            ];
            print_row(concurrency, direct, relayed, cpu);
            print_refusals(&fleet).await;
        }
        self.measure_memory(&fleet, entry_pid, agent_pid).await;
        Ok(())
    }

    fn load(&self, address: String, concurrency: usize) -> Load {
        let rounds = (256 / concurrency).clamp(2, 12);
        Load { address, concurrency, rounds, tokens: self.tokens }
    }

    /// Measures the memory of entry and agent while streams are open.
    async fn measure_memory(&self, fleet: &Fleet, entry_pid: u32, agent_pid: u32) {
        println!("open streams | entry KiB | agent KiB");
        let mut rows = Vec::new();
        for concurrency in [64, 512, 1_024] {
            let load =
                Load { rounds: 0, tokens: 100, ..self.load(fleet.entry_address(0), concurrency) };
            let running = tokio::spawn(async move { load.run().await });
            tokio::time::sleep(Duration::from_millis(3_000)).await;
            let row = (concurrency, resident_kib(entry_pid), resident_kib(agent_pid));
            println!("{} | {} | {}", row.0, row.1, row.2);
            rows.push(row);
            let _ = running.await;
        }
        let (first, last) = (rows[0], rows[rows.len() - 1]);
        let per_stream =
            |from: u64, to: u64| to.saturating_sub(from) as f64 / (last.0 - first.0) as f64;
        println!(
            "KiB an open stream: entry {:.1}, agent {:.1}",
            per_stream(first.1, last.1),
            per_stream(first.2, last.2)
        );
    }
}

/// Prints the refusals so far by reason, at the entry and at the agent.
async fn print_refusals(fleet: &Fleet) {
    for ip in [&fleet.entry_ips[0], &fleet.target_ips[0]] {
        let metrics =
            Caller::new("").send(&fleet.admin_address(ip), "GET", "/metrics", "").await.text;
        for line in metrics.lines().filter(|it| it.contains("refusals_total{")) {
            println!("  {line}");
        }
    }
}

fn print_row(
    concurrency: usize,
    mut direct: LoadResult,
    mut relayed: LoadResult,
    cpu: [Duration; 3],
) {
    let mut cells = Vec::new();
    for fraction in [0.5, 0.99] {
        let (direct_time, relayed_time) = (
            percentile(&mut direct.first_event_times, fraction),
            percentile(&mut relayed.first_event_times, fraction),
        );
        cells.push(format!(
            "{} {} {}",
            ms(direct_time),
            ms(relayed_time),
            ms(relayed_time.saturating_sub(direct_time))
        ));
    }
    let cpu_per_token =
        cpu.map(|used| format!("{:.2}", used.as_secs_f64() * 1e6 / relayed.events as f64));
    println!(
        "{concurrency} | {} | {} | {} | {} {}",
        cells[0],
        cells[1],
        cpu_per_token.join(" "),
        direct.failed,
        relayed.failed
    );
}
