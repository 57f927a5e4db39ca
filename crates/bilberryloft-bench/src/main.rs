//! Benchmarks: each command measures one thing beside its baseline in one run, and prints a table.

mod commands;
mod load;
mod sample;
mod usage;

use clap::Parser;
use clap::Subcommand;

/// Measures bilberryloft on one machine with stand-ins.
#[derive(Parser)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// What entry and agent add to a direct call: time, processor time a token, memory a stream.
    Relay(commands::relay::RelayCommand),
    /// Commits a second and their times on three members, beside bare writes and syncs.
    Commits(commands::commits::CommitsCommand),
    /// Time to write again after the leader's death.
    Failover(commands::failover::FailoverCommand),
    /// Cost of following and announcing, and the time until a change is in force everywhere.
    Fleet(commands::fleet::FleetCommand),
    /// Memory of a control host with many teams, targets and claims, and its restart.
    State(commands::state::StateCommand),
    /// Time of one pick and one policy look-up.
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

/// Runs a measurement on a runtime with some threads, which leaves the rest of the machine to the processes.
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
