//! The file with the latest snapshot of one name.

use crate::error::SnapshotError;
use crate::format::{HEADER_BYTES, MAX_PAYLOAD_BYTES, Snapshot, decode, encode};
use std::fs::{File, OpenOptions};
use std::io::{ErrorKind, Read, Write};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Maximum of characters of a name that are used in file names.
const MAX_NAME_CHARS: usize = 64;

/// The file with the latest snapshot of one name. Several processes may read and write it.
#[derive(Debug, Clone)]
pub struct SnapshotFile {
    path: PathBuf,
    /// The file to which this process writes a snapshot before it renames it. Its name contains the process id,
    /// because two processes may write at once.
    temporary_path: PathBuf,
}

impl SnapshotFile {
    /// Creates the value for `name` in `folder`; no file is opened. Characters other than ASCII letters, digits, `-`
    /// and `_` are removed from the name.
    pub fn new(folder: &Path, name: &str) -> SnapshotFile {
        let is_usable = |c: &char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_');
        let name: String = name.chars().filter(is_usable).take(MAX_NAME_CHARS).collect();
        let path = folder.join(format!("sanddyke-{name}.learnt"));
        let temporary_path = folder.join(format!("sanddyke-{name}.{}.part", std::process::id()));
        SnapshotFile { path, temporary_path }
    }

    /// Replaces the snapshot with a new one, written at `now_ms` (Unix time in milliseconds).
    ///
    /// # Errors
    /// The payload is too long, or the file can't be written. Then the previous snapshot stays.
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
        // A killed process with the same process id may have left its temporary file. A symbolic link is removed and
        // not followed.
        match std::fs::remove_file(&self.temporary_path) {
            Err(error) if error.kind() != ErrorKind::NotFound => return Err(error),
            _ => {}
        }
        let mut file = OpenOptions::new().write(true).create_new(true).open(&self.temporary_path)?;
        file.write_all(bytes)
    }

    /// Reads the snapshot at `now_ms` (Unix time in milliseconds). Returns `None` if there is no file.
    ///
    /// # Errors
    /// The file can't be read, or [`decode`] rejects its content.
    pub fn read(&self, now_ms: u64, max_age: Duration) -> Result<Option<Snapshot<Vec<u8>>>, SnapshotError> {
        let file = match File::open(&self.path) {
            Err(error) if error.kind() == ErrorKind::NotFound => return Ok(None),
            file => file?,
        };
        // One byte more than the limit, so that a longer file is detected.
        let max_file_bytes = HEADER_BYTES + MAX_PAYLOAD_BYTES + 1;
        let mut bytes = Vec::new();
        file.take(max_file_bytes as u64).read_to_end(&mut bytes)?;
        let snapshot = decode(&bytes, now_ms, max_age)?;
        Ok(Some(Snapshot { payload: snapshot.payload.to_vec(), age: snapshot.age }))
    }

    /// Removes the temporary files of this name whose processes no longer exist.
    ///
    /// # Errors
    /// The folder can't be listed, or a file can't be removed.
    pub fn remove_stale_temporary_files(&self) -> std::io::Result<()> {
        let Some(folder) = self.path.parent() else { return Ok(()) };
        for entry in std::fs::read_dir(folder)? {
            let path = entry?.path();
            if self.writer_pid(&path).is_some_and(|pid| !is_running(&pid)) {
                std::fs::remove_file(&path)?;
            }
        }
        Ok(())
    }

    /// Returns the process id in the name of a temporary file, or `None` if `path` is not a temporary file of this
    /// name.
    fn writer_pid(&self, path: &Path) -> Option<String> {
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
