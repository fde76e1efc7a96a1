//! What can be wrong with settings.

use super::MAX_CLASSES;
use thiserror::Error;

/// Why settings cannot be used. The text names the key as the platform spells it.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The text is not JSON of the expected form.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A number that has to be positive is not.
    #[error("{key}: must be above 0, is {value}")]
    NotPositive {
        /// The key.
        key: &'static str,
        /// Its value.
        value: f64,
    },
    /// There are more classes than can be told apart.
    #[error("classes: at most {MAX_CLASSES}, are {0}")]
    TooManyClasses(usize),
    /// A class's target is not between 0 and its deadline.
    #[error("classes[{0}]: targetMs must be above 0 and not above deadlineMs")]
    TargetOutOfRange(usize),
    /// A class has a value that is not known, or misses one.
    #[error("classes[{index}].{error}")]
    Class {
        /// Index of the class.
        index: usize,
        /// What is wrong with it.
        error: Box<SettingsError>,
    },
    /// A key has a value that is none of its choices.
    #[error("{key}: unknown word {value:?}")]
    UnknownWord {
        /// The key.
        key: &'static str,
        /// Its value.
        value: String,
    },
    /// A key is missing that another value asks for.
    #[error("{0}: missing")]
    Missing(&'static str),
}

impl SettingsError {
    /// The error for a value that is none of its choices.
    pub(super) fn unknown_word(key: &'static str, value: &str) -> SettingsError {
        SettingsError::UnknownWord { key, value: value.to_owned() }
    }
}
