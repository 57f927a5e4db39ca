//! Errors of commands and their exit codes.

use bilberryloft_state::error::Error;

/// Reason why a command failed.
#[derive(Debug)]
pub enum Failure {
    /// The daemon can't be reached or could not serve the call.
    Daemon(String),
    /// Another change of the same object or of the members was accepted first.
    Conflict(String),
    /// The change, an argument or the content of a file is not valid.
    Invalid(String),
    /// The requested object does not exist, or no record of it is kept any more.
    NotFound(String),
    /// A file or folder can't be read or is damaged.
    File(Error),
}

impl Failure {
    /// Returns the exit code: 1 daemon or file, 3 conflict, 4 invalid, 5 not found. Code 2 is left to clap, for
    /// wrong usage.
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
