//! Why a command fails, and with which exit code.

use sanddyke_client::Error;
use std::path::PathBuf;

/// Why a command fails.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// The service rejected a call, or could not be reached.
    #[error("{0}")]
    Call(#[from] Error),
    /// A file cannot be read, or its contents are invalid.
    #[error("{path}: {reason}")]
    File {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
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
    /// The exit code, as listed in the help text; scripts rely on it.
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
