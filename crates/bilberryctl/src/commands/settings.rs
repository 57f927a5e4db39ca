//! `bilberryctl settings`: checks settings files.

use std::path::PathBuf;

use bilberryloft_daemon::settings::Settings;
use clap::Subcommand;

use crate::failure::Failure;

/// Commands for settings files.
#[derive(Subcommand)]
pub enum SettingsCommand {
    /// Validates a settings file as the daemon does at start.
    Check {
        /// Settings file.
        file: PathBuf,
    },
}

impl SettingsCommand {
    /// Validates the file and prints the daemon's name and roles; the error lists all faults.
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
