//! Why a command fails, and with which exit code.

use sanddyke_trace::TraceError;
use sanddyke_trace::merge::MergeError;
use std::path::PathBuf;
use thiserror::Error;

/// Why a command fails.
#[derive(Debug, Error)]
pub enum CommandError {
    /// An input file cannot be read.
    #[error("{path}: {source}")]
    Read {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: TraceError,
    },
    /// An output file cannot be written.
    #[error("{path}: {source}")]
    Write {
        /// The file or folder.
        path: PathBuf,
        /// The cause.
        source: TraceError,
    },
    /// Standard output, or a file of the system, cannot be written.
    #[error("{0}")]
    Output(#[from] std::io::Error),
    /// The files cannot be merged.
    #[error("not merged: {0}")]
    Merge(MergeError),
    /// The file has no records of the request with this number.
    #[error("no request {0}")]
    NoRequest(u64),
    /// The file has this number of defects.
    #[error("{0} parts of the file can't be read")]
    Damaged(usize),
}

impl CommandError {
    /// The exit code, as listed in the help text.
    pub fn exit_code(&self) -> u8 {
        match self {
            CommandError::Output(_) | CommandError::Write { .. } => 1,
            CommandError::Read { .. } => 3,
            CommandError::Damaged(_) => 4,
            CommandError::NoRequest(_) => 5,
            CommandError::Merge(_) => 6,
        }
    }
}
