//! Errors of the sub-commands, and their exit codes.

use sanddyke_client::Error;
use std::path::PathBuf;

/// The error that ends a command.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// The service rejected a call, or could not be reached.
    #[error("{0}")]
    Call(#[from] Error),
    /// A file cannot be read, or its contents are invalid.
    #[error("{path}: {reason}")]
    File {
        /// Path of the file; `-` is standard input.
        path: PathBuf,
        /// The I/O or TOML error, or the profile that the file lacks.
        reason: String,
    },
    /// The arguments are incomplete or invalid.
    #[error("{0}")]
    Usage(String),
    /// Standard output cannot be written.
    #[error("{0}")]
    Output(#[from] std::io::Error),
}

impl CommandError {
    /// The exit code, as listed in the help text. Scripts rely on these values.
    pub fn exit_code(&self) -> u8 {
        match self {
            CommandError::Output(_) => 1,
            CommandError::Usage(_) => 2,
            CommandError::File { .. } | CommandError::Call(Error::File { .. }) => 3,
            CommandError::Call(Error::Unreachable { .. }) => 4,
            CommandError::Call(Error::Problem { status, .. }) => match status {
                401 | 403 => 5,
                404 | 410 => 6,
                409 | 412 | 428 => 7,
                400..=499 => 8,
                _ => 9,
            },
        }
    }
}
