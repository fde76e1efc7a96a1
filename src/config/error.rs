//! Errors of reading and checking the configuration. Each message begins with the key that it is about.

use std::path::{Path, PathBuf};
use thiserror::Error;

/// An error of reading or checking the configuration.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// Neither the command line nor the environment names a configuration file.
    #[error("LB_CONFIG: no configuration file: set LB_CONFIG or SANDDYKE_CONFIG, or pass --config")]
    Unset,
    /// A file can't be read.
    #[error("{key}: can't read {path}: {source}")]
    File {
        /// The key, variable or option that names the file.
        key: &'static str,
        /// The path of the file.
        path: PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The configuration file is not valid JSON or TOML.
    #[error("{key}: {reason}")]
    Syntax {
        /// The variable or option that names the file.
        key: &'static str,
        /// The parser's error message.
        reason: String,
    },
    /// The value of a key is invalid.
    #[error("{key}: {reason}")]
    Key {
        /// The path of the key, for example `cluster.lease_ms`.
        key: String,
        /// What is expected of the value, and what was found as far as it helps.
        reason: String,
    },
}

/// Creates the error for a key with an invalid value.
pub(super) fn invalid(key: impl Into<String>, reason: impl ToString) -> ConfigError {
    ConfigError::Key { key: key.into(), reason: reason.to_string() }
}

/// Reads the file that the key `key` names.
pub(super) fn read_file(key: &'static str, path: &Path) -> Result<String, ConfigError> {
    std::fs::read_to_string(path).map_err(|source| ConfigError::File { key, path: path.to_owned(), source })
}
