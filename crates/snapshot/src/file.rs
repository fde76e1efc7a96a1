//! The file that holds the latest snapshot of one name.

use crate::error::SnapshotError;
use crate::format::{HEADER_BYTES, MAX_PAYLOAD_BYTES, Snapshot, decode, encode};
use std::fs::{File, OpenOptions};
use std::io::{ErrorKind, Read, Write};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Of a name, so many characters are used in file names.
const MAX_NAME_CHARS: usize = 64;

/// The file of the latest snapshot of one name.
#[derive(Debug, Clone)]
pub struct SnapshotFile {
    path: PathBuf,
    /// Where this process writes a snapshot until it is complete: two processes may write at once.
    temporary_path: PathBuf,
}

impl SnapshotFile {
    /// The file for `name` in `folder`. Characters of the name that can't be part of a file name are left out.
    pub fn new(folder: &Path, name: &str) -> SnapshotFile {
        let is_usable = |c: &char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_');
        let name: String = name.chars().filter(is_usable).take(MAX_NAME_CHARS).collect();
        let path = folder.join(format!("sanddyke-{name}.learnt"));
        let temporary_path = folder.join(format!("sanddyke-{name}.{}.part", std::process::id()));
        SnapshotFile { path, temporary_path }
    }

    /// Replaces the snapshot by a new one, written at `now_ms` (Unix time in milliseconds).
    ///
    /// # Errors
    /// Where the payload is too long or the file can't be written. The snapshot from before then remains.
    pub fn write(&self, payload: &[u8], now_ms: u64) -> Result<(), SnapshotError> {
        let bytes = encode(payload, now_ms)?;
        let result =
            self.write_temporary(&bytes).and_then(|()| std::fs::rename(&self.temporary_path, &self.path));
        if result.is_err() {
            let _removed = std::fs::remove_file(&self.temporary_path);
        }
        Ok(result?)
    }

    fn write_temporary(&self, bytes: &[u8]) -> std::io::Result<()> {
        // A killed process of this number may have left its file. A symbolic link is removed, not followed.
        match std::fs::remove_file(&self.temporary_path) {
            Err(error) if error.kind() != ErrorKind::NotFound => return Err(error),
            _ => {}
        }
        let mut file = OpenOptions::new().write(true).create_new(true).open(&self.temporary_path)?;
        file.write_all(bytes)
    }

    /// The snapshot, read at `now_ms` (Unix time in milliseconds); `None` where there is no file.
    ///
    /// # Errors
    /// Where the file can't be read, or its snapshot can't be used (see [`decode`]).
    pub fn read(&self, now_ms: u64, max_age: Duration) -> Result<Option<Snapshot<Vec<u8>>>, SnapshotError> {
        let file = match File::open(&self.path) {
            Err(error) if error.kind() == ErrorKind::NotFound => return Ok(None),
            file => file?,
        };
        // One byte above the limit is enough to find a file too long.
        let max_file_bytes = HEADER_BYTES + MAX_PAYLOAD_BYTES + 1;
        let mut bytes = Vec::new();
        file.take(max_file_bytes as u64).read_to_end(&mut bytes)?;
        let snapshot = decode(&bytes, now_ms, max_age)?;
        Ok(Some(Snapshot { payload: snapshot.payload.to_vec(), age: snapshot.age }))
    }

    /// Removes the temporary files of this name whose processes were killed.
    ///
    /// # Errors
    /// Where the folder can't be listed or a file can't be removed.
    pub fn remove_stale_parts(&self) -> std::io::Result<()> {
        let Some(folder) = self.path.parent() else { return Ok(()) };
        for entry in std::fs::read_dir(folder)? {
            let path = entry?.path();
            if self.writer_of(&path).is_some_and(|pid| !is_running(&pid)) {
                std::fs::remove_file(&path)?;
            }
        }
        Ok(())
    }

    /// The process whose temporary file of this name `path` is.
    fn writer_of(&self, path: &Path) -> Option<String> {
        let stem = self.path.file_stem()?.to_string_lossy();
        let file_name = path.file_name()?.to_string_lossy();
        let pid = file_name.strip_prefix(&*stem)?.strip_prefix('.')?.strip_suffix(".part")?;
        let is_number = pid.bytes().all(|byte| byte.is_ascii_digit());
        is_number.then(|| pid.to_owned())
    }
}

fn is_running(pid: &str) -> bool {
    Path::new("/proc").join(pid).exists()
}
