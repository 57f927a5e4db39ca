//! Experiments: run the decision code under seeded synthetic loads and compare each policy with baselines on the same
//! seeds.

mod commands;
mod plot;
mod summary;
mod workload;

use clap::Parser;
use clap::Subcommand;

/// Simulates bilberryloft's decisions under synthetic load.
#[derive(Parser)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Compares expert-map policies under drift, bursts and regime changes.
    ExpertMap(commands::expert_map::ExpertMapCommand),
    /// Compares how policies spread load across replicas when load reports are delayed.
    Balance(commands::balance::BalanceCommand),
    /// Measures each team's share and the goodput of one overloaded target.
    Overload(commands::overload::OverloadCommand),
    /// Compares policies that place requests on the ranks of a lock-step group.
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
