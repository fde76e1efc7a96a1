//! Encoding and decoding of a snapshot.

use crate::error::{Corruption, SnapshotError};
use std::ops::Range;
use std::time::Duration;

/// Limit of the payload. On the platform, a file in `$TMPDIR` counts as memory.
pub const MAX_PAYLOAD_BYTES: usize = 256 * 1024;
/// The format version that is written, and the newest one that is read.
pub const VERSION: u32 = 1;

const MAGIC: [u8; 8] = *b"SANDSNAP";
const VERSION_RANGE: Range<usize> = 8..12;
const WRITTEN_MS_RANGE: Range<usize> = 12..20;
const LENGTH_RANGE: Range<usize> = 20..24;
const CHECKSUM_RANGE: Range<usize> = 24..28;
/// Length of the header, which precedes the payload.
pub(crate) const HEADER_BYTES: usize = 28;

/// A snapshot whose time is ahead of now by at most this is accepted. The two processes share the machine's clock, so
/// only a step of the clock explains a difference.
const CLOCK_STEP_TOLERANCE: Duration = Duration::from_secs(2);

/// A decoded snapshot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Snapshot<P> {
    /// The bytes that were passed to [`encode`].
    pub payload: P,
    /// The time since the snapshot was written; 0 if the clock was set back since then.
    pub age: Duration,
}

/// Returns the bytes of a snapshot that is written at `now_ms`, a Unix time in milliseconds.
///
/// # Errors
/// [`SnapshotError::TooLong`] if the payload is longer than [`MAX_PAYLOAD_BYTES`].
pub fn encode(payload: &[u8], now_ms: u64) -> Result<Vec<u8>, SnapshotError> {
    let length = u32::try_from(payload.len()).ok().filter(|_| payload.len() <= MAX_PAYLOAD_BYTES);
    let length = length.ok_or(SnapshotError::TooLong { bytes: payload.len() })?;
    let mut bytes = Vec::with_capacity(HEADER_BYTES + payload.len());
    bytes.extend(MAGIC);
    bytes.extend(VERSION.to_le_bytes());
    bytes.extend(now_ms.to_le_bytes());
    bytes.extend(length.to_le_bytes());
    let checksum = checksum(&bytes, payload);
    bytes.extend(checksum.to_le_bytes());
    bytes.extend(payload);
    Ok(bytes)
}

/// Decodes a snapshot at `now_ms`, a Unix time in milliseconds. It must be complete, of a supported version, and not
/// older than `max_age`.
///
/// # Errors
/// The first condition that is not met.
pub fn decode(bytes: &[u8], now_ms: u64, max_age: Duration) -> Result<Snapshot<&[u8]>, SnapshotError> {
    let (header, payload) = bytes.split_at_checked(HEADER_BYTES).ok_or(Corruption::IncompleteHeader)?;
    if !header.starts_with(&MAGIC) {
        return Err(Corruption::NotASnapshot.into());
    }
    // A later version may change the rest of the format, but not the position of the version.
    let version = u32::from_le_bytes(field(header, VERSION_RANGE));
    if version > VERSION {
        return Err(SnapshotError::NewerVersion { version });
    }
    let length = u32::from_le_bytes(field(header, LENGTH_RANGE)) as usize;
    if length > MAX_PAYLOAD_BYTES {
        return Err(SnapshotError::TooLong { bytes: length });
    }
    if payload.len() != length {
        return Err(Corruption::LengthMismatch.into());
    }
    if checksum(header, payload) != u32::from_le_bytes(field(header, CHECKSUM_RANGE)) {
        return Err(Corruption::ChecksumMismatch.into());
    }
    let written_ms = u64::from_le_bytes(field(header, WRITTEN_MS_RANGE));
    let age = age(written_ms, now_ms, max_age)?;
    Ok(Snapshot { payload, age })
}

/// Returns the age of a snapshot that was written at `written_ms`, or an error if it is too old or from the future.
fn age(written_ms: u64, now_ms: u64, max_age: Duration) -> Result<Duration, SnapshotError> {
    let ahead = Duration::from_millis(written_ms.saturating_sub(now_ms));
    if ahead > CLOCK_STEP_TOLERANCE {
        return Err(SnapshotError::FromFuture { ahead });
    }
    let age = Duration::from_millis(now_ms.saturating_sub(written_ms));
    if age > max_age {
        return Err(SnapshotError::TooOld { age });
    }
    Ok(age)
}

/// Returns the bytes of a field of the header.
fn field<const N: usize>(header: &[u8], range: Range<usize>) -> [u8; N] {
    std::array::from_fn(|index| header[range.start + index])
}

/// Returns the checksum of the payload and of the header's fields except the magic number and the checksum itself.
fn checksum(header: &[u8], payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&header[VERSION_RANGE.start..LENGTH_RANGE.end]);
    hasher.update(payload);
    hasher.finalize()
}
