//! Why a command failed, and the exit code that says so.

use bilberryloft_state::error::Error;

/// A failed command.
#[derive(Debug)]
pub enum Failure {
    /// The daemon can't be reached or could not do it.
    Daemon(String),
    /// Another operator's change came first.
    Conflict(String),
    /// The change breaks a rule.
    Invalid(String),
    /// What was asked for does not exist, or no record of it is kept any more.
    NotFound(String),
    /// A file or folder has an error.
    File(Error),
}

impl Failure {
    /// Exit code: 1 daemon or file, 3 conflict, 4 invalid, 5 not found; 2 is for wrong usage.
    pub fn exit_code(&self) -> u8 {
        match self {
            Failure::Daemon(_) | Failure::File(_) => 1,
            Failure::Conflict(_) => 3,
            Failure::Invalid(_) => 4,
            Failure::NotFound(_) => 5,
        }
    }
}

impl std::fmt::Display for Failure {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Failure::Daemon(text) => write!(formatter, "{text}"),
            Failure::Conflict(text) => write!(formatter, "conflict: {text}"),
            Failure::Invalid(text) => write!(formatter, "invalid: {text}"),
            Failure::NotFound(text) => write!(formatter, "not found: {text}"),
            Failure::File(error) => write!(formatter, "{error}\n  help: {}", error.help()),
        }
    }
}

impl From<Error> for Failure {
    fn from(error: Error) -> Failure {
        Failure::File(error)
    }
}
