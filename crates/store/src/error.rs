//! Errors of the store and of the voter file.

use crate::FORM;
use std::path::PathBuf;
use thiserror::Error;

/// Why an operation on the store has failed.
#[derive(Debug, Error)]
pub enum StoreError {
    /// The file has the format of a later version.
    #[error("{path}: written by a later version (form {found}, this one reads up to {FORM}); left as it was")]
    Newer {
        /// The file.
        path: PathBuf,
        /// Its format version.
        found: u64,
    },
    /// The file is damaged, or no store.
    #[error("{path}: damaged or no store: {why}; left as it was. Restore a backup (sanddyke restore)")]
    Damaged {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        why: String,
    },
    /// Another process has the file open.
    #[error("{0}: another process has it open")]
    InUse(PathBuf),
    /// There is a file of this name already.
    #[error("{0}: is there already")]
    Exists(PathBuf),
    /// Writing has failed: nothing of the change is kept.
    #[error("the store can't be written: {0}")]
    Write(String),
    /// Reading or writing a file has failed.
    #[error("{0}: {1}")]
    Io(PathBuf, std::io::Error),
}

pub(crate) fn write_error(error: impl std::fmt::Display) -> StoreError {
    StoreError::Write(error.to_string())
}

/// An error's message, for errors that get their file's name later.
pub(crate) fn message(error: impl std::fmt::Display) -> String {
    error.to_string()
}
