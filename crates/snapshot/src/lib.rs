//! Snapshot files, through which one process passes state to the next. A snapshot has a version, a checksum, a bounded
//! size and the time at which it was written.
//!
//! ```text
//! magic  version  written, Unix ms  payload length  CRC-32  payload
//! 8      4        8                 4               4       at most MAX_PAYLOAD_BYTES
//! ```
//!
//! Numbers are little-endian. The checksum covers version, time, length and payload. A file is written under a
//! temporary name and then renamed, so that a reader always finds a complete file, even if the writer is killed.
//! Nothing is flushed to disk, because a snapshot does not have to survive a failure of the machine.
//!
//! ```
//! use sanddyke_snapshot::{Snapshot, SnapshotError, decode, encode};
//! use std::time::Duration;
//!
//! let minute = Duration::from_secs(60);
//! let bytes = encode(b"learned", 1_000_000).unwrap();
//! let snapshot = decode(&bytes, 1_002_000, minute).unwrap();
//! assert_eq!(snapshot, Snapshot { payload: &b"learned"[..], age: Duration::from_secs(2) });
//! assert!(matches!(decode(&bytes, 2_000_000, minute), Err(SnapshotError::TooOld { .. })));
//! assert!(matches!(decode(&bytes[..20], 1_002_000, minute), Err(SnapshotError::Corrupted(_))));
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod error;
mod file;
mod format;

pub use error::{Corruption, SnapshotError};
pub use file::SnapshotFile;
pub use format::{MAX_PAYLOAD_BYTES, Snapshot, VERSION, decode, encode};
