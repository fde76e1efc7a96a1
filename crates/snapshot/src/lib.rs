//! What one process leaves for the next in a file: versioned, checksummed, bounded, with its age.
//!
//! ```text
//! magic  version  written, Unix ms  length  CRC-32 of all but magic and itself  payload
//! 8      4        8                 4       4                                   at most MOST bytes
//! ```
//!
//! Numbers are little-endian. A file is written aside and renamed, so that a reader finds a whole one, old or
//! new, whenever the writer is killed. Nothing is flushed to a disk: a snapshot need not outlive the machine.
//!
//! ```
//! use sanddyke_snapshot::{SnapshotError, decode, encode};
//! use std::time::Duration;
//!
//! let bytes = encode(b"learnt", 1_000_000).unwrap();
//! let (payload, age) = decode(&bytes, 1_002_000, Duration::from_secs(60)).unwrap();
//! assert_eq!((payload, age), (&b"learnt"[..], Duration::from_secs(2)));
//! assert!(matches!(decode(&bytes, 2_000_000, Duration::from_secs(60)), Err(SnapshotError::Old(_))));
//! assert!(matches!(decode(&bytes[..20], 1_002_000, Duration::from_secs(60)), Err(SnapshotError::Damaged(_))));
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use std::fs::{File, OpenOptions};
use std::io::{ErrorKind, Read, Write};
use std::path::{Path, PathBuf};
use std::time::Duration;
use thiserror::Error;

/// The longest payload, in bytes: a file in `$TMPDIR` counts as memory on the platform.
pub const MOST: usize = 256 * 1024;
/// The version that is written, and the newest that is understood.
pub const VERSION: u32 = 1;
const MAGIC: [u8; 8] = *b"SANDSNAP";
const HEAD: usize = 28;
/// Clocks of two processes of one machine are one clock; a step of it by so much is no reason to doubt.
const STEP: Duration = Duration::from_secs(2);

/// Why a snapshot is not used.
#[derive(Debug, Error)]
pub enum SnapshotError {
    /// It is not whole, or not what was written.
    #[error("damaged: {0}")]
    Damaged(&'static str),
    /// Written by a later version of this format.
    #[error("of version {0}, newer than {VERSION}")]
    Newer(u32),
    /// Written too long ago.
    #[error("{} s old", .0.as_secs())]
    Old(Duration),
    /// Written later than now.
    #[error("{} ms from the future", .0.as_millis())]
    Future(Duration),
    /// Its payload would be too long.
    #[error("of {0} bytes, more than {MOST}")]
    Long(usize),
    /// The file can't be read or written.
    #[error("{0}")]
    File(#[from] std::io::Error),
}

fn sum(head: &[u8], payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&head[MAGIC.len()..HEAD - 4]);
    hasher.update(payload);
    hasher.finalize()
}

/// The bytes of a snapshot with this payload, written at this Unix time in milliseconds.
pub fn encode(payload: &[u8], now_ms: u64) -> Result<Vec<u8>, SnapshotError> {
    let length = u32::try_from(payload.len()).ok().filter(|_| payload.len() <= MOST);
    let length = length.ok_or(SnapshotError::Long(payload.len()))?;
    let mut bytes = Vec::with_capacity(HEAD + payload.len());
    bytes.extend(MAGIC);
    bytes.extend(VERSION.to_le_bytes());
    bytes.extend(now_ms.to_le_bytes());
    bytes.extend(length.to_le_bytes());
    bytes.extend([0; 4]);
    let sum = sum(&bytes, payload);
    bytes[HEAD - 4..].copy_from_slice(&sum.to_le_bytes());
    bytes.extend(payload);
    Ok(bytes)
}

fn field<const N: usize>(head: &[u8], at: usize) -> [u8; N] {
    std::array::from_fn(|index| head[at + index])
}

/// The payload of a snapshot and its age, where it is whole, of a version that is understood, and at most so old.
pub fn decode(bytes: &[u8], now_ms: u64, oldest: Duration) -> Result<(&[u8], Duration), SnapshotError> {
    let Some((head, payload)) = bytes.split_at_checked(HEAD) else {
        return Err(SnapshotError::Damaged("cut short"));
    };
    if head[..8] != MAGIC {
        return Err(SnapshotError::Damaged("not a snapshot"));
    }
    // A later version may lay out the rest as it likes, but for its number.
    let version = u32::from_le_bytes(field(head, 8));
    if version > VERSION {
        return Err(SnapshotError::Newer(version));
    }
    let length = u32::from_le_bytes(field(head, 20)) as usize;
    if length > MOST {
        return Err(SnapshotError::Long(length));
    }
    if payload.len() != length {
        return Err(SnapshotError::Damaged("its length differs"));
    }
    if sum(head, payload) != u32::from_le_bytes(field(head, 24)) {
        return Err(SnapshotError::Damaged("its checksum differs"));
    }
    let written = u64::from_le_bytes(field(head, 12));
    let ahead = Duration::from_millis(written.saturating_sub(now_ms));
    if ahead > STEP {
        return Err(SnapshotError::Future(ahead));
    }
    let age = Duration::from_millis(now_ms.saturating_sub(written));
    if age > oldest { Err(SnapshotError::Old(age)) } else { Ok((payload, age)) }
}

/// Where snapshots of one name are kept.
#[derive(Debug, Clone)]
pub struct SnapshotFile {
    path: PathBuf,
    aside: PathBuf,
}

impl SnapshotFile {
    /// A place in a folder. Of the name, what can't stand in a file's name is left out.
    pub fn new(folder: &Path, name: &str) -> SnapshotFile {
        let plain = |c: &char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_');
        let name: String = name.chars().filter(plain).take(64).collect();
        let path = folder.join(format!("sanddyke-{name}.learnt"));
        // Two processes may write at once: each has a file of its own until it is whole.
        let aside = folder.join(format!("sanddyke-{name}.{}.part", std::process::id()));
        SnapshotFile { path, aside }
    }

    /// Puts a snapshot in the place of the one before.
    pub fn write(&self, payload: &[u8], now_ms: u64) -> Result<(), SnapshotError> {
        let bytes = encode(payload, now_ms)?;
        let written = self.write_aside(&bytes).and_then(|()| std::fs::rename(&self.aside, &self.path));
        if written.is_err() {
            let _gone = std::fs::remove_file(&self.aside);
        }
        Ok(written?)
    }

    fn write_aside(&self, bytes: &[u8]) -> std::io::Result<()> {
        // One of this number that was killed may have left its file; what a link leads to stays untouched.
        match std::fs::remove_file(&self.aside) {
            Err(error) if error.kind() != ErrorKind::NotFound => return Err(error),
            _ => {}
        }
        OpenOptions::new().write(true).create_new(true).open(&self.aside)?.write_all(bytes)
    }

    /// The payload of the snapshot that is there and its age; `None` where there is none.
    pub fn read(&self, now_ms: u64, oldest: Duration) -> Result<Option<(Vec<u8>, Duration)>, SnapshotError> {
        let file = match File::open(&self.path) {
            Err(error) if error.kind() == ErrorKind::NotFound => return Ok(None),
            file => file?,
        };
        let mut bytes = Vec::new();
        file.take((HEAD + MOST + 1) as u64).read_to_end(&mut bytes)?;
        let (payload, age) = decode(&bytes, now_ms, oldest)?;
        Ok(Some((payload.to_vec(), age)))
    }

    /// Removes what writers of this name that were killed have left aside.
    pub fn remove_stale_parts(&self) -> std::io::Result<()> {
        let (Some(folder), Some(name)) = (self.path.parent(), self.path.file_stem()) else { return Ok(()) };
        let name = name.to_string_lossy();
        for entry in std::fs::read_dir(folder)? {
            let path = entry?.path();
            let file = path.file_name().unwrap_or_default().to_string_lossy().into_owned();
            let pid =
                file.strip_prefix(&*name).and_then(|rest| rest.strip_prefix('.')?.strip_suffix(".part"));
            let alive = |pid: &str| Path::new("/proc").join(pid).exists();
            if pid.is_some_and(|pid| pid.bytes().all(|byte| byte.is_ascii_digit()) && !alive(pid)) {
                std::fs::remove_file(&path)?;
            }
        }
        Ok(())
    }
}
