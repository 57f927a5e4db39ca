//! The daemon program: reads its settings, runs until SIGTERM or SIGINT, and shuts down gracefully.

use std::path::PathBuf;
use std::process::ExitCode;

use bilberryloft_daemon::daemon::Daemon;
use bilberryloft_daemon::logging::start_logging;
use bilberryloft_daemon::settings::Settings;
use clap::Parser;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// Load balancer for expert-parallel model groups.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    /// JSON file with the settings of this daemon.
    #[arg(long)]
    settings: PathBuf,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    match run(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("bilberryloftd: {report:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(arguments: &Arguments) -> eyre::Result<()> {
    let settings = add_help(Settings::open(&arguments.settings))?;
    let _log = start_logging(settings.log_format);
    let daemon = add_help(Daemon::spawn(settings))?;
    wait_for_stop_signal()?;
    daemon.shutdown();
    Ok(())
}

/// Wraps an error in its help text.
fn add_help<T>(result: bilberryloft_state::error::Result<T>) -> eyre::Result<T> {
    result.map_err(|error| {
        let help = error.help();
        eyre::Report::new(error).wrap_err(help)
    })
}

fn wait_for_stop_signal() -> eyre::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        Ok(())
    })
}
