//! `bilberryctl settings`: settings files.

use std::path::PathBuf;

use bilberryloft_daemon::settings::Settings;
use clap::Subcommand;

use crate::failure::Failure;

/// Commands for settings files.
#[derive(Subcommand)]
pub enum SettingsCommand {
    /// Checks a file as the daemon does at start.
    Check {
        /// The file.
        file: PathBuf,
    },
}

impl SettingsCommand {
    /// Runs the command.
    pub fn run(self) -> Result<(), Failure> {
        match self {
            SettingsCommand::Check { file } => {
                let settings = Settings::open(&file)?;
                println!(
                    "{}: sound, daemon {} plays {:?}",
                    file.display(),
                    settings.daemon,
                    settings.roles()
                );
                Ok(())
            }
        }
    }
}
