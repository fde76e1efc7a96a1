//! Errors of the store and of the voter file. Operators see the messages at startup, and clients of the administration API
//! in the details of an answer.

use crate::FORMAT_VERSION;
use std::path::PathBuf;
use thiserror::Error;

/// Why an operation on the store or the voter file failed.
#[derive(Debug, Error)]
pub enum StoreError {
    /// The file has the format of a later version. It is not changed.
    #[error(
        "{path}: written by a later version (format {found}, this one reads up to {FORMAT_VERSION}); left as it was"
    )]
    Newer {
        /// Path of the file.
        path: PathBuf,
        /// Format version of the file.
        found: u64,
    },
    /// The file is corrupted or is not a store. It is not changed.
    #[error("{path}: damaged or no store: {reason}; left as it was. Restore a backup (sanddyke restore)")]
    Corrupted {
        /// Path of the file.
        path: PathBuf,
        /// The first fault found in the file.
        reason: String,
    },
    /// Another process has the file open.
    #[error("{0}: another process has it open")]
    InUse(PathBuf),
    /// The file to create exists already.
    #[error("{0}: is there already")]
    Exists(PathBuf),
    /// Writing failed. Nothing of the change is stored.
    #[error("the store can't be written: {0}")]
    Write(String),
    /// Reading or writing a file failed.
    #[error("{0}: {1}")]
    Io(PathBuf, std::io::Error),
}

pub(crate) fn write_error(error: impl std::fmt::Display) -> StoreError {
    StoreError::Write(error.to_string())
}

/// The message of an error. The caller adds the name of the file.
pub(crate) fn message(error: impl std::fmt::Display) -> String {
    error.to_string()
}
