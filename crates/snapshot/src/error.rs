//! Errors of writing and reading a snapshot.

use crate::format::{MAX_PAYLOAD_BYTES, VERSION};
use std::time::Duration;
use thiserror::Error;

/// An error of writing or reading a snapshot.
#[derive(Debug, Error)]
pub enum SnapshotError {
    /// The bytes are incomplete or differ from what was written.
    #[error("snapshot is corrupted: {0}")]
    Corrupted(#[from] Corruption),
    /// The snapshot has a later version of the format than [`VERSION`].
    #[error("snapshot has format version {version}, newer than {VERSION}")]
    NewerVersion {
        /// The snapshot's version.
        version: u32,
    },
    /// The snapshot was written longer ago than the reader allows.
    #[error("snapshot is too old: {} s old", .age.as_secs())]
    TooOld {
        /// The time since it was written.
        age: Duration,
    },
    /// The snapshot's time is later than now by more than a step of the clock explains.
    #[error("snapshot has a time {} ms in the future", .ahead.as_millis())]
    FromFuture {
        /// The difference between the snapshot's time and now.
        ahead: Duration,
    },
    /// The payload is longer than [`MAX_PAYLOAD_BYTES`].
    #[error("snapshot payload has {bytes} bytes, more than {MAX_PAYLOAD_BYTES}")]
    TooLong {
        /// The length of the payload.
        bytes: usize,
    },
    /// The file can't be read or written.
    #[error(transparent)]
    File(#[from] std::io::Error),
}

/// The way in which the bytes of a snapshot differ from what was written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Corruption {
    /// The header is incomplete.
    #[error("the header is incomplete")]
    IncompleteHeader,
    /// The bytes do not begin with the magic number.
    #[error("not a snapshot file")]
    NotASnapshot,
    /// The payload does not have the length that the header states.
    #[error("the payload length differs from the header")]
    LengthMismatch,
    /// The checksum in the header is not that of the bytes.
    #[error("the checksum does not match")]
    ChecksumMismatch,
}
