//! Errors of the input.

use sanddyke::settings::SettingsError;
use std::io;
use thiserror::Error;

/// An error that ends the adapter before the end of its input.
#[derive(Debug, Error)]
pub enum AdapterError {
    /// A line is invalid, could not be read, or its answer could not be written.
    #[error("line {number}: {error}")]
    Line {
        /// Line number, from 1.
        number: u64,
        /// The cause.
        error: LineError,
    },
    /// Input ended before `EOF_BATCH`. Holds the number of the last line.
    #[error("line {0}: input ended inside a batch (EOF_BATCH missing)")]
    IncompleteBatch(u64),
    /// The output could not be flushed at the end of the input.
    #[error(transparent)]
    Flush(io::Error),
}

/// An error of one line.
#[derive(Debug, Error)]
pub enum LineError {
    /// The line could not be read, or its answer could not be written.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The line is outside a batch and does not begin one. Holds its message.
    #[error("BATCH wanted, {0:?} found")]
    OutsideBatch(String),
    /// The line follows an incomplete list and is not a `ROW`.
    #[error("LIST: field elements: {remaining} more ROW lines wanted, {found:?} found")]
    IncompleteList {
        /// Number of `ROW` lines that the list still lacks.
        remaining: usize,
        /// Message of the line.
        found: String,
    },
    /// The message is unknown.
    #[error("unknown event {0:?}")]
    UnknownEvent(String),
    /// The number of fields is wrong.
    #[error("{message}: {expected} fields ({names}) wanted, {found} found")]
    FieldCount {
        /// Message of the line.
        message: String,
        /// Number of fields in the message's layout.
        expected: usize,
        /// Names of the layout's fields, separated by blanks.
        names: String,
        /// Number of fields on the line.
        found: usize,
    },
    /// A field has an invalid value.
    #[error("{message}: field {field}: {error}")]
    Field {
        /// Message of the line.
        message: String,
        /// Name of the field.
        field: &'static str,
        /// The cause.
        error: FieldError,
    },
}

/// An error of one field.
#[derive(Debug, Error)]
pub enum FieldError {
    /// The text can't be parsed as the field's type.
    #[error("cannot read {0:?}")]
    Unreadable(String),
    /// A required value is absent (`-`).
    #[error("missing")]
    Missing,
    /// The number is infinite or NaN.
    #[error("is not a finite number")]
    NotFinite,
    /// The text is none of the words that the field allows.
    #[error("unknown word {0:?}")]
    UnknownWord(String),
    /// The settings have no class of this name.
    #[error("unknown class {0:?}")]
    UnknownClass(String),
    /// The number is no kind of progress note.
    #[error("unknown note {0}")]
    UnknownNote(u32),
    /// A request with this client request id has arrived before.
    #[error("came before")]
    DuplicateRequest,
    /// No instance with this number was launched, or it was shut down.
    #[error("was never launched")]
    UnknownInstance,
    /// No list with this number was received.
    #[error("no such list was sent")]
    UnknownList,
    /// The settings are invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}
