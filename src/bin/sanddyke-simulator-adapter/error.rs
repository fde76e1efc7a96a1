//! What can be wrong with the input.

use sanddyke::settings::SettingsError;
use std::io;
use thiserror::Error;

/// Why the adapter ends before its input does.
#[derive(Debug, Error)]
pub enum AdapterError {
    /// A line cannot be used, read or answered.
    #[error("line {number}: {error}")]
    Line {
        /// Number of the line, from 1.
        number: u64,
        /// What is wrong with it.
        error: LineError,
    },
    /// The last batch is not complete.
    #[error("line {0}: input ended inside a batch (EOF_BATCH missing)")]
    IncompleteBatch(u64),
    /// The last answers could not be written.
    #[error(transparent)]
    Flush(io::Error),
}

/// What is wrong with a line.
#[derive(Debug, Error)]
pub enum LineError {
    /// Reading it, or writing its answer, failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// It is outside a batch and does not begin one.
    #[error("BATCH wanted, {0:?} found")]
    OutsideBatch(String),
    /// It comes in place of an entry of a list.
    #[error("LIST: field elements: {remaining} more ROW lines wanted, {found:?} found")]
    IncompleteList {
        /// Entries that are missing.
        remaining: usize,
        /// What came instead.
        found: String,
    },
    /// Its message is not known.
    #[error("unknown event {0:?}")]
    UnknownEvent(String),
    /// It has too few fields, or too many.
    #[error("{message}: {expected} fields ({names}) wanted, {found} found")]
    FieldCount {
        /// Its message.
        message: String,
        /// How many fields that has.
        expected: usize,
        /// Their names.
        names: String,
        /// How many fields there are.
        found: usize,
    },
    /// One of its fields cannot be used.
    #[error("{message}: field {field}: {error}")]
    Field {
        /// Its message.
        message: String,
        /// The field.
        field: &'static str,
        /// What is wrong with the field.
        error: FieldError,
    },
}

/// What is wrong with a field.
#[derive(Debug, Error)]
pub enum FieldError {
    /// Its text is not of its type.
    #[error("cannot read {0:?}")]
    Unreadable(String),
    /// It has no value, and needs one.
    #[error("missing")]
    Missing,
    /// It is a number, but infinite or none.
    #[error("is not a finite number")]
    NotFinite,
    /// It is none of the words that it can be.
    #[error("unknown word {0:?}")]
    UnknownWord(String),
    /// The settings have no such class.
    #[error("unknown class {0:?}")]
    UnknownClass(String),
    /// It is none of the numbers of progress reports.
    #[error("unknown note {0}")]
    UnknownNote(u32),
    /// The request has arrived before.
    #[error("came before")]
    DuplicateRequest,
    /// No instance has this number.
    #[error("was never launched")]
    UnknownInstance,
    /// No list has this number.
    #[error("no such list was sent")]
    UnknownList,
    /// The settings cannot be used.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}
