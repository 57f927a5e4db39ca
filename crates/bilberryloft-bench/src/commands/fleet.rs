//! `fleet`: stand-in daemons that receive the configuration from three control hosts and announce targets to them.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bilberryloft_coordination::freshness::OnLostControl;
use bilberryloft_daemon::control_client::ControlClient;
use bilberryloft_daemon::view::View;
use bilberryloft_daemon::view_sync::spawn_view_sync;
use bilberryloft_protocol::wire::Announce;
use bilberryloft_protocol::wire::Body;
use bilberryloft_state::configuration::ChangeKind;
use bilberryloft_state::configuration::ChangeOutcome;
use bilberryloft_testing::fleet::Fleet;
use bilberryloft_testing::fleet::PEER_PORT;
use clap::Args;

use crate::block_on;
use crate::fixtures::target_description;
use crate::usage::cpu_time;
use crate::usage::ms;
use crate::usage::percentile;
use crate::usage::resident_kib;

/// Time for which the usage of the idle fleet is measured.
const IDLE_PERIOD: Duration = Duration::from_secs(5);
/// Interval between the announcements of a target, the same as that of agents.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(800);

/// Arguments of the `fleet` subcommand.
#[derive(Args)]
pub struct FleetCommand {
    /// Numbers of stand-in daemons to measure.
    #[arg(long, value_delimiter = ',', default_value = "100,300")]
    daemons: Vec<usize>,
    /// Targets that each daemon announces.
    #[arg(long, default_value_t = 1)]
    targets: usize,
    /// Number of changes whose propagation is timed.
    #[arg(long, default_value_t = 20)]
    changes: usize,
}

impl FleetCommand {
    /// Runs the benchmark and prints its tables.
    pub fn run(self) -> eyre::Result<()> {
        println!(
            "daemons | spread p50/most ms | rest: control CPU us/s a daemon (leader, others) | daemon CPU us/s | bytes/s a daemon | control KiB"
        );
        for daemons in &self.daemons {
            block_on(3, self.measure(*daemons))?;
        }
        Ok(())
    }

    async fn measure(&self, daemons: usize) -> eyre::Result<()> {
        let mut fleet = Fleet::plan("bench-fleet", 3, 0, 0);
        fleet.start_all();
        let leader = fleet.leader().await;
        fleet.make_team().await;
        let views = self.spawn_daemons(&fleet, daemons);
        self.wait_for_version(&views, 2).await;
        tokio::time::sleep(Duration::from_secs(2)).await;

        let idle = measure_idle(&fleet).await;
        let mut propagation_times = self.measure_propagation(&fleet, &views).await;
        let us_per_daemon = |seconds: f64| seconds * 1e6 / daemons as f64;
        let others: f64 = idle
            .control_cpu
            .iter()
            .enumerate()
            .filter(|(it, _)| *it != leader)
            .map(|it| it.1)
            .sum();
        println!(
            "{daemons} | {} {} | {:.0} {:.0} | {:.0} | {:.0} | {:?}",
            ms(percentile(&mut propagation_times, 0.5)),
            ms(percentile(&mut propagation_times, 1.0)),
            us_per_daemon(idle.control_cpu[leader]),
            us_per_daemon(others),
            us_per_daemon(idle.daemons_cpu),
            idle.bytes_per_second / daemons as f64,
            idle.control_pids.iter().map(|it| resident_kib(*it)).collect::<Vec<u64>>(),
        );
        Ok(())
    }

    /// Makes changes and returns how long each took to reach every stand-in daemon.
    async fn measure_propagation(&self, fleet: &Fleet, views: &[Arc<View>]) -> Vec<Duration> {
        let mut propagation_times = Vec::new();
        for number in 0..self.changes {
            let kind = ChangeKind::SetTarget { name: format!("change-{number}"), draining: true };
            let ChangeOutcome::Accepted { version } = fleet.change_with_retry(kind).await else {
                continue;
            };
            let began = Instant::now();
            self.wait_for_version(views, version).await;
            propagation_times.push(began.elapsed());
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        propagation_times
    }

    fn spawn_daemons(&self, fleet: &Fleet, daemons: usize) -> Vec<Arc<View>> {
        let mut views = Vec::new();
        for number in 0..daemons {
            let mut addresses: Vec<String> =
                fleet.control_ips.iter().map(|it| format!("{it}:{PEER_PORT}")).collect();
            addresses.rotate_left(number % 3);
            let name = format!("stand-in-{number}");
            let control = ControlClient::new(&addresses, &name, 1);
            let view = Arc::new(View::new(4_000, OnLostControl::StandDown));
            spawn_view_sync(view.clone(), control.clone(), name, "127.0.0.1:1".to_string());
            for target in 0..self.targets {
                tokio::spawn(announce(control.clone(), format!("target-{number}-{target}")));
            }
            views.push(view);
        }
        views
    }

    /// Waits until every stand-in daemon has a version of the configuration.
    async fn wait_for_version(&self, views: &[Arc<View>], version: u64) {
        for view in views {
            view.wait_for_configuration(version, Duration::from_secs(30)).await;
        }
    }
}

/// Resource usage of the idle fleet.
struct IdleUsage {
    /// Process ids of the control hosts.
    control_pids: Vec<u32>,
    /// CPU time of each control host, in seconds per second.
    control_cpu: Vec<f64>,
    /// CPU time of this process, which runs all stand-in daemons, in seconds per second.
    daemons_cpu: f64,
    /// Bytes per second received on the loopback interface.
    bytes_per_second: f64,
}

/// Measures what the fleet uses while no changes are made.
async fn measure_idle(fleet: &Fleet) -> IdleUsage {
    let control_pids: Vec<u32> =
        (1..=3).map(|it| fleet.processes[&format!("control-{it}")].id()).collect();
    let control_cpu_before: Vec<Duration> = control_pids.iter().map(|it| cpu_time(*it)).collect();
    let daemons_cpu_before = cpu_time(std::process::id());
    let bytes_before = loopback_bytes();
    tokio::time::sleep(IDLE_PERIOD).await;
    let per_second = |used: Duration| used.as_secs_f64() / IDLE_PERIOD.as_secs_f64();
    let bytes_per_second = (loopback_bytes() - bytes_before) as f64 / IDLE_PERIOD.as_secs_f64();
    let daemons_cpu = per_second(cpu_time(std::process::id()) - daemons_cpu_before);
    let control_cpu = control_pids
        .iter()
        .zip(&control_cpu_before)
        .map(|(it, before)| per_second(cpu_time(*it) - *before));
    IdleUsage { control_cpu: control_cpu.collect(), control_pids, daemons_cpu, bytes_per_second }
}

/// Announces a target until the runtime is shut down.
async fn announce(control: ControlClient, target: String) {
    let description = target_description();
    let description = serde_json::to_vec(&description).unwrap_or_default();
    loop {
        let announce = Announce::new(target.clone(), 1, description.clone(), false, false);
        let _ = control.call(Body::Announce(announce), Duration::from_secs(2)).await;
        tokio::time::sleep(ANNOUNCE_INTERVAL).await;
    }
}

/// Returns the bytes received on the loopback interface since boot, headers included.
fn loopback_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/net/dev").unwrap_or_default();
    let line = text.lines().find(|it| it.trim_start().starts_with("lo:")).unwrap_or_default();
    line.split_whitespace().nth(1).and_then(|it| it.parse().ok()).unwrap_or(0)
}
