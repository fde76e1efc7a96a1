//! Why a configuration can't be used; each message names the key.

use std::path::{Path, PathBuf};
use thiserror::Error;

/// Why a configuration can't be used.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// No source of a configuration is given.
    #[error("LB_CONFIG: neither it nor SANDDYKE_CONFIG is set, and no --config is given")]
    Unset,
    /// A file can't be read.
    #[error("{key}: can't read {path}: {source}")]
    File {
        /// The key that names the file.
        key: &'static str,
        /// The file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// A configuration file is neither JSON nor TOML.
    #[error("{key}: {reason}")]
    Syntax {
        /// The variable or option that names the file.
        key: &'static str,
        /// The parser's message.
        reason: String,
    },
    /// A key's value can't be used.
    #[error("{key}: {reason}")]
    Key {
        /// The key, with its path.
        key: String,
        /// What is wrong with its value.
        reason: String,
    },
}

/// The error of a key whose value can't be used.
pub(super) fn invalid(key: impl Into<String>, reason: impl ToString) -> ConfigError {
    ConfigError::Key { key: key.into(), reason: reason.to_string() }
}

/// The content of a file that a key names.
pub(super) fn read_file(key: &'static str, path: &Path) -> Result<String, ConfigError> {
    std::fs::read_to_string(path).map_err(|source| ConfigError::File { key, path: path.to_owned(), source })
}
