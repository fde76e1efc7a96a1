//! Why a snapshot is not written or not used.

use crate::format::{MAX_PAYLOAD_BYTES, VERSION};
use std::time::Duration;
use thiserror::Error;

/// Why a snapshot is not written or not used.
#[derive(Debug, Error)]
pub enum SnapshotError {
    /// It is incomplete, or not what was written.
    #[error("damaged: {0}")]
    Damaged(#[from] Damage),
    /// It was written by a later version of this format.
    #[error("of version {version}, newer than {VERSION}")]
    NewerVersion {
        /// Its version.
        version: u32,
    },
    /// It was written too long ago.
    #[error("{} s old", .age.as_secs())]
    TooOld {
        /// The time since it was written.
        age: Duration,
    },
    /// It was written later than now, by more than clocks differ.
    #[error("{} ms from the future", .ahead.as_millis())]
    FromFuture {
        /// How far its time is ahead of now.
        ahead: Duration,
    },
    /// Its payload is longer than [`MAX_PAYLOAD_BYTES`].
    #[error("of {bytes} bytes, more than {MAX_PAYLOAD_BYTES}")]
    TooLong {
        /// The payload's length.
        bytes: usize,
    },
    /// The file can't be read or written.
    #[error(transparent)]
    File(#[from] std::io::Error),
}

/// How the bytes of a snapshot differ from what was written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Damage {
    /// The header is incomplete.
    #[error("cut short")]
    IncompleteHeader,
    /// The magic number is not there.
    #[error("not a snapshot")]
    NotASnapshot,
    /// The payload is not as long as the header says.
    #[error("its length differs")]
    LengthMismatch,
    /// The checksum is not that of the bytes.
    #[error("its checksum differs")]
    ChecksumMismatch,
}
