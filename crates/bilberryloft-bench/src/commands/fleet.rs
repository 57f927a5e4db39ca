//! `fleet`: stand-in daemons follow three control hosts and announce targets.

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
use crate::sample::target_description;
use crate::usage::ms;
use crate::usage::percentile;
use crate::usage::processor_time;
use crate::usage::resident_kib;

/// Time for which the fleet is watched at rest.
const REST: Duration = Duration::from_secs(5);
/// Time between announcements of one target, as agents make them.
const ANNOUNCE_EVERY: Duration = Duration::from_millis(800);

/// The command.
#[derive(Args)]
pub struct FleetCommand {
    /// Numbers of stand-in daemons.
    #[arg(long, value_delimiter = ',', default_value = "100,300")]
    daemons: Vec<usize>,
    /// Targets that each daemon announces.
    #[arg(long, default_value_t = 1)]
    targets: usize,
    /// Changes whose spread is timed.
    #[arg(long, default_value_t = 20)]
    changes: usize,
}

impl FleetCommand {
    /// Runs the command.
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
        self.wait_for(&views, 2).await;
        tokio::time::sleep(Duration::from_secs(2)).await;

        let rest = watch_rest(&fleet).await;
        let mut spreads = self.time_changes(&fleet, &views).await;
        let a_daemon = |seconds: f64| seconds * 1e6 / daemons as f64;
        let others: f64 =
            rest.used.iter().enumerate().filter(|(it, _)| *it != leader).map(|it| it.1).sum();
        println!(
            "{daemons} | {} {} | {:.0} {:.0} | {:.0} | {:.0} | {:?}",
            ms(percentile(&mut spreads, 0.5)),
            ms(percentile(&mut spreads, 1.0)),
            a_daemon(rest.used[leader]),
            a_daemon(others),
            a_daemon(rest.own),
            rest.bytes / daemons as f64,
            rest.processes.iter().map(|it| resident_kib(*it)).collect::<Vec<u64>>(),
        );
        Ok(())
    }

    /// Times until every stand-in daemon has a change.
    async fn time_changes(&self, fleet: &Fleet, views: &[Arc<View>]) -> Vec<Duration> {
        let mut spreads = Vec::new();
        for number in 0..self.changes {
            let kind = ChangeKind::SetTarget { name: format!("change-{number}"), draining: true };
            let ChangeOutcome::Accepted { version } = fleet.change_with_retry(kind).await else {
                continue;
            };
            let began = Instant::now();
            self.wait_for(views, version).await;
            spreads.push(began.elapsed());
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        spreads
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

    async fn wait_for(&self, views: &[Arc<View>], version: u64) {
        for view in views {
            view.wait_for_configuration(version, Duration::from_secs(30)).await;
        }
    }
}

/// What the fleet uses at rest.
struct Rest {
    /// Ids of the control hosts' processes.
    processes: Vec<u32>,
    /// Processor time of each of them, in seconds a second.
    used: Vec<f64>,
    /// Processor time of all stand-in daemons, in seconds a second.
    own: f64,
    /// Bytes a second over the loopback interface.
    bytes: f64,
}

async fn watch_rest(fleet: &Fleet) -> Rest {
    let processes: Vec<u32> =
        (1..=3).map(|it| fleet.processes[&format!("control-{it}")].id()).collect();
    let before: Vec<Duration> = processes.iter().map(|it| processor_time(*it)).collect();
    let own_before = processor_time(std::process::id());
    let bytes_before = loopback_bytes();
    tokio::time::sleep(REST).await;
    let a_second = |used: Duration| used.as_secs_f64() / REST.as_secs_f64();
    let bytes = (loopback_bytes() - bytes_before) as f64 / REST.as_secs_f64();
    let own = a_second(processor_time(std::process::id()) - own_before);
    let used =
        processes.iter().zip(&before).map(|(it, before)| a_second(processor_time(*it) - *before));
    Rest { used: used.collect(), processes, own, bytes }
}

async fn announce(control: ControlClient, target: String) {
    let description = target_description();
    let description = serde_json::to_vec(&description).unwrap_or_default();
    loop {
        let announce = Announce::new(target.clone(), 1, description.clone(), false, false);
        let _ = control.call(Body::Announce(announce), Duration::from_secs(2)).await;
        tokio::time::sleep(ANNOUNCE_EVERY).await;
    }
}

/// Bytes received on the loopback interface so far, headers included.
fn loopback_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/net/dev").unwrap_or_default();
    let line = text.lines().find(|it| it.trim_start().starts_with("lo:")).unwrap_or_default();
    line.split_whitespace().nth(1).and_then(|it| it.parse().ok()).unwrap_or(0)
}
