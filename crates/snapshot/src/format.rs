//! The bytes of a snapshot.

use crate::error::{Damage, SnapshotError};
use std::ops::Range;
use std::time::Duration;

/// The longest payload: a file in `$TMPDIR` counts as memory on the platform.
pub const MAX_PAYLOAD_BYTES: usize = 256 * 1024;
/// The version that is written, and the newest that is read.
pub const VERSION: u32 = 1;

const MAGIC: [u8; 8] = *b"SANDSNAP";
const VERSION_RANGE: Range<usize> = 8..12;
const WRITTEN_RANGE: Range<usize> = 12..20;
const LENGTH_RANGE: Range<usize> = 20..24;
const CHECKSUM_RANGE: Range<usize> = 24..28;
/// Length of all that comes before the payload.
pub(crate) const HEADER_BYTES: usize = 28;

/// Two processes of one machine share its clock; a step of the clock by so much is no reason to reject a snapshot.
const CLOCK_STEP_TOLERANCE: Duration = Duration::from_secs(2);

/// A snapshot that was read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Snapshot<P> {
    /// What was written.
    pub payload: P,
    /// The time since then; 0 where the clock was set back a little.
    pub age: Duration,
}

/// The bytes of a snapshot that is written at `now_ms`, a Unix time in milliseconds.
///
/// # Errors
/// [`SnapshotError::TooLong`] where the payload is longer than [`MAX_PAYLOAD_BYTES`].
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

/// Reads a snapshot at `now_ms`, a Unix time in milliseconds. It must be complete, of a version that is understood,
/// and not older than `max_age`.
///
/// # Errors
/// The first of these conditions that is not met.
pub fn decode(bytes: &[u8], now_ms: u64, max_age: Duration) -> Result<Snapshot<&[u8]>, SnapshotError> {
    let (header, payload) = bytes.split_at_checked(HEADER_BYTES).ok_or(Damage::IncompleteHeader)?;
    if !header.starts_with(&MAGIC) {
        return Err(Damage::NotASnapshot.into());
    }
    // A later version may lay out the rest differently, but not its number.
    let version = u32::from_le_bytes(field(header, VERSION_RANGE));
    if version > VERSION {
        return Err(SnapshotError::NewerVersion { version });
    }
    let length = u32::from_le_bytes(field(header, LENGTH_RANGE)) as usize;
    if length > MAX_PAYLOAD_BYTES {
        return Err(SnapshotError::TooLong { bytes: length });
    }
    if payload.len() != length {
        return Err(Damage::LengthMismatch.into());
    }
    if checksum(header, payload) != u32::from_le_bytes(field(header, CHECKSUM_RANGE)) {
        return Err(Damage::ChecksumMismatch.into());
    }
    let written_ms = u64::from_le_bytes(field(header, WRITTEN_RANGE));
    let age = age(written_ms, now_ms, max_age)?;
    Ok(Snapshot { payload, age })
}

/// The age of what was written at `written_ms`.
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

/// The bytes of a field of the header.
fn field<const N: usize>(header: &[u8], range: Range<usize>) -> [u8; N] {
    std::array::from_fn(|index| header[range.start + index])
}

/// The checksum of the header's fields, without magic and the checksum itself, and the payload.
fn checksum(header: &[u8], payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&header[VERSION_RANGE.start..LENGTH_RANGE.end]);
    hasher.update(payload);
    hasher.finalize()
}
