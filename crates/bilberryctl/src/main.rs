//! Command-line tool for operators; each command has its own file under `commands`.

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
    /// Prints JSON instead of tables.
    #[arg(long, global = true)]
    json: bool,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Lists and applies templates, from which teams take their defaults.
    #[command(subcommand)]
    Template(commands::template::TemplateCommand),
    /// Lists, creates, changes and removes teams.
    #[command(subcommand)]
    Team(commands::team::TeamCommand),
    /// Lists, drains and resumes targets.
    #[command(subcommand)]
    Target(commands::target::TargetCommand),
    /// Shows configuration changes and which version each daemon has in force.
    #[command(subcommand)]
    Config(commands::config::ConfigCommand),
    /// Lists and changes the members of the quorum.
    #[command(subcommand)]
    Members(commands::members::MembersCommand),
    /// Lists, begins and ends evacuations of data centres.
    #[command(subcommand)]
    Evacuation(commands::evacuation::EvacuationCommand),
    /// Explains why a request was routed to its target or refused.
    Explain(commands::explain::ExplainCommand),
    /// Merges log files into the timeline of one request.
    Trace(commands::trace::TraceCommand),
    /// Prints reports on service levels.
    #[command(subcommand)]
    Report(commands::report::ReportCommand),
    /// Checks settings files.
    #[command(subcommand)]
    Settings(commands::settings::SettingsCommand),
    /// Checks and exports the data folder of a control host that is not running.
    #[command(subcommand)]
    Data(commands::data::DataCommand),
    /// Prints completions for a shell.
    Completions {
        /// Shell for which to print completions.
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
        Command::Evacuation(command) => command.run(&client, json),
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
