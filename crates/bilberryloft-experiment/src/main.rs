//! Experiments: decision code under seeded synthetic work, each policy beside its baselines on the same seeds.

mod commands;
mod plot;
mod summary;
mod work;

use clap::Parser;
use clap::Subcommand;

/// Runs bilberryloft's decisions under synthetic work.
#[derive(Parser)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Expert maps under drift, bursts and regime changes.
    ExpertMap(commands::expert_map::ExpertMapCommand),
    /// Spread of load across replicas with late reports.
    Balance(commands::balance::BalanceCommand),
    /// Shares of teams and goodput of one target under overload.
    Overload(commands::overload::OverloadCommand),
    /// Placement of requests on the ranks of a lock-step group.
    Ranks(commands::ranks::RanksCommand),
}

fn main() -> eyre::Result<()> {
    match Arguments::parse().command {
        Command::ExpertMap(command) => command.run(),
        Command::Balance(command) => command.run(),
        Command::Overload(command) => command.run(),
        Command::Ranks(command) => command.run(),
    }
}
