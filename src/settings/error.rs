//! Errors of checking the settings.

use super::MAX_CLASSES;
use thiserror::Error;

/// An error of reading or checking the settings. The message names the key as it is spelled in the platform's JSON.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The text is not JSON of the expected structure.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A number that must be positive is 0 or negative.
    #[error("{key}: must be above 0, is {value}")]
    NotPositive {
        /// The path of the key.
        key: &'static str,
        /// The value that was found.
        value: f64,
    },
    /// There are more classes than the decision module supports. The field is their number.
    #[error("classes: must be at most {MAX_CLASSES}, are {0}")]
    TooManyClasses(usize),
    /// The latency objective of a class is not between 0 and its deadline. The field is the index of the class.
    #[error("classes[{0}]: targetMs must be above 0 and not above deadlineMs")]
    TargetOutOfRange(usize),
    /// A value of a class is unknown or missing.
    #[error("classes[{index}].{error}")]
    Class {
        /// The index of the class.
        index: usize,
        /// The error of the class's key.
        error: Box<SettingsError>,
    },
    /// The value of a key is none of the allowed ones.
    #[error("{key}: unknown value {value:?}")]
    UnknownValue {
        /// The path of the key.
        key: &'static str,
        /// The value that was found.
        value: String,
    },
    /// A key is missing that is required where `idempotency` is `by_key`. The field is the key.
    #[error("{0}: missing, required where idempotency is by_key")]
    MissingForIdempotencyKey(&'static str),
}

impl SettingsError {
    /// Creates the error for a value that is none of the allowed ones.
    pub(super) fn unknown_value(key: &'static str, value: &str) -> SettingsError {
        SettingsError::UnknownValue { key, value: value.to_owned() }
    }
}
