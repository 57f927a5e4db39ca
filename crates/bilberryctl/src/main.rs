//! The operators' command-line tool: one command a file under `commands`.

mod change;
mod client;
mod commands;
mod failure;
mod table;

use std::process::ExitCode;

use clap::CommandFactory;
use clap::Parser;
use clap::Subcommand;

use crate::client::AdminClient;
use crate::failure::Failure;

/// Operates a bilberryloft fleet through the admin address of any of its daemons.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    /// Admin address of a daemon.
    #[arg(long, global = true, env = "BILBERRYLOFT_ADMIN", default_value = "127.0.0.1:7401")]
    admin: String,
    /// Prints JSON in place of tables.
    #[arg(long, global = true)]
    json: bool,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Templates of teams.
    #[command(subcommand)]
    Template(commands::template::TemplateCommand),
    /// Teams.
    #[command(subcommand)]
    Team(commands::team::TeamCommand),
    /// Targets.
    #[command(subcommand)]
    Target(commands::target::TargetCommand),
    /// Configuration versions.
    #[command(subcommand)]
    Config(commands::config::ConfigCommand),
    /// Members of the quorum.
    #[command(subcommand)]
    Members(commands::members::MembersCommand),
    /// Explains why a request went where it did or was refused.
    Explain(commands::explain::ExplainCommand),
    /// Joins logs into the timeline of one request.
    Trace(commands::trace::TraceCommand),
    /// Reports.
    #[command(subcommand)]
    Report(commands::report::ReportCommand),
    /// Settings files.
    #[command(subcommand)]
    Settings(commands::settings::SettingsCommand),
    /// Data folders, read without a daemon.
    #[command(subcommand)]
    Data(commands::data::DataCommand),
    /// Prints completions for a shell.
    Completions {
        /// The shell.
        shell: clap_complete::Shell,
    },
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    match run(arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("bilberryctl: {failure}");
            ExitCode::from(failure.exit_code())
        }
    }
}

fn run(arguments: Arguments) -> Result<(), Failure> {
    let client = AdminClient::new(&arguments.admin)?;
    let json = arguments.json;
    match arguments.command {
        Command::Template(command) => command.run(&client, json),
        Command::Team(command) => command.run(&client, json),
        Command::Target(command) => command.run(&client, json),
        Command::Config(command) => command.run(&client, json),
        Command::Members(command) => command.run(&client, json),
        Command::Explain(command) => command.run(&client, json),
        Command::Trace(command) => command.run(json),
        Command::Report(command) => command.run(&client, json),
        Command::Settings(command) => command.run(),
        Command::Data(command) => command.run(json),
        Command::Completions { shell } => {
            let mut command = Arguments::command();
            clap_complete::generate(shell, &mut command, "bilberryctl", &mut std::io::stdout());
            Ok(())
        }
    }
}
