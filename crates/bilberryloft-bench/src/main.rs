//! Benchmarks: each subcommand measures one part of the system, where possible next to a baseline in the same run, and
//! prints tables.

mod commands;
mod fixtures;
mod load;
mod usage;

use clap::Parser;
use clap::Subcommand;

/// Measures bilberryloft on one machine with stand-in engines and daemons.
#[derive(Parser)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Measures the latency, CPU time per token and memory per stream that entry and agent add to a direct call.
    Relay(commands::relay::RelayCommand),
    /// Measures commit throughput and latency on three members, next to bare writes and syncs.
    Commits(commands::commits::CommitsCommand),
    /// Measures the time from a kill of the leader to the next committed change.
    Failover(commands::failover::FailoverCommand),
    /// Measures the cost of configuration updates and announcements, and how long a change takes to reach all daemons.
    Fleet(commands::fleet::FleetCommand),
    /// Measures the memory of a control host by teams, targets and claims, and the time of its restart.
    State(commands::state::StateCommand),
    /// Measures the time of a target pick and of a policy lookup.
    Pick(commands::pick::PickCommand),
}

fn main() -> eyre::Result<()> {
    match Arguments::parse().command {
        Command::Relay(command) => command.run(),
        Command::Commits(command) => command.run(),
        Command::Failover(command) => command.run(),
        Command::Fleet(command) => command.run(),
        Command::State(command) => command.run(),
        Command::Pick(command) => command.run(),
    }
}

/// Runs a measurement on a Tokio runtime with a few worker threads, so that the other cores are left to the measured
/// processes.
fn block_on<T>(
    threads: usize,
    measurement: impl Future<Output = eyre::Result<T>>,
) -> eyre::Result<T> {
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(threads).enable_all().build()?;
    let result = runtime.block_on(measurement);
    runtime.shutdown_background();
    result
}
