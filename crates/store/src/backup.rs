//! Backup of a store to another file, and restoring a store from a backup.

use crate::error::{StoreError, write_error};
use crate::store::{Store, open_error};
use crate::tables;
use redb::{Database, ReadableDatabase};
use std::fs::File;
use std::path::{Path, PathBuf};

impl Store {
    /// Writes a copy of the store in its current state. The store can be used meanwhile. The copy is written under a
    /// temporary name and renamed when it is complete. An existing file is not replaced.
    ///
    /// # Errors
    /// The file `to` exists, or writing failed.
    pub fn backup(&self, to: &Path) -> Result<(), StoreError> {
        if to.exists() {
            return Err(StoreError::Exists(to.to_owned()));
        }
        let part = to.with_extension("part");
        let copied = self.copy(&part);
        if let Err(error) = copied.and_then(|()| publish(&part, to)) {
            let _removed = std::fs::remove_file(&part);
            return Err(error);
        }
        Ok(())
    }

    /// Writes a copy under a name that at most one caller creates. Returns false if the file `to` exists already.
    ///
    /// Each later lease holder passes a greater fencing token. Incomplete copies with smaller tokens are removed, so that a
    /// former lease holder that resumes after a pause can't publish its copy.
    ///
    /// # Errors
    /// Reading the folder or writing failed.
    pub fn backup_once(&self, to: &Path, fencing_token: u64) -> Result<bool, StoreError> {
        let failed = |error| StoreError::Io(to.to_owned(), error);
        remove_older_parts(folder_of(to), fencing_token).map_err(failed)?;
        if to.exists() {
            return Ok(false);
        }
        let part = to.with_extension(format!("{PART_PREFIX}{fencing_token}"));
        let _left = std::fs::remove_file(&part);
        self.copy(&part)?;
        File::open(&part).and_then(|file| file.sync_all()).map_err(failed)?;
        // A hard link fails if the name exists; a rename would replace the file.
        let linked = std::fs::hard_link(&part, to);
        std::fs::remove_file(&part).map_err(failed)?;
        match linked {
            Ok(()) => sync_folder(to).map(|()| true),
            Err(error) if error.kind() == std::io::ErrorKind::AlreadyExists => Ok(false),
            Err(error) => Err(failed(error)),
        }
    }

    fn copy(&self, part: &Path) -> Result<(), StoreError> {
        let _left = std::fs::remove_file(part);
        let read = self.database.begin_read().map_err(write_error)?;
        let database = Database::create(part).map_err(|error| open_error(part, error))?;
        let copy = Store { database, path: part.to_owned() };
        copy.write(|transaction| tables::copy(&read, transaction))
    }
}

/// The extension of an incomplete copy is this prefix and the caller's fencing token.
const PART_PREFIX: &str = "part-";

/// Removes the incomplete copies in a folder whose fencing token is smaller.
fn remove_older_parts(folder: &Path, fencing_token: u64) -> std::io::Result<()> {
    for entry in std::fs::read_dir(folder)? {
        let path = entry?.path();
        let extension = path.extension().and_then(|extension| extension.to_str());
        let token = extension.and_then(|extension| extension.strip_prefix(PART_PREFIX)?.parse::<u64>().ok());
        if token.is_some_and(|token| token < fencing_token) {
            let _removed = std::fs::remove_file(&path);
        }
    }
    Ok(())
}

/// The folder that contains a file; the working directory for a bare file name.
fn folder_of(path: &Path) -> &Path {
    path.parent().filter(|folder| !folder.as_os_str().is_empty()).unwrap_or(Path::new("."))
}

/// Renames a complete file to its final name. The file and its name are on the disk when this returns.
pub(crate) fn publish(part: &Path, to: &Path) -> Result<(), StoreError> {
    let failed = |error| StoreError::Io(to.to_owned(), error);
    File::open(part).and_then(|file| file.sync_all()).map_err(failed)?;
    std::fs::rename(part, to).map_err(failed)?;
    sync_folder(to)
}

fn sync_folder(path: &Path) -> Result<(), StoreError> {
    let folder = folder_of(path);
    let synced = File::open(folder).and_then(|folder| folder.sync_all());
    synced.map_err(|error| StoreError::Io(folder.to_owned(), error))
}

/// Replaces a store that no process has open by a backup, which is read completely first. A previous store is renamed
/// and retained in the same folder. Returns its new name; `None` if there was none.
///
/// # Errors
/// The backup can't be read, the store is open, or writing failed. The store is not changed then.
pub fn restore(from: &Path, to: &Path) -> Result<Option<PathBuf>, StoreError> {
    let (backup, _) = Store::open_existing(from)?;
    let replaced = match to.exists() {
        true => Some(move_aside(to)?),
        false => None,
    };
    if let Err(error) = backup.backup(to) {
        if let Some(replaced) = &replaced {
            std::fs::rename(replaced, to).map_err(|error| StoreError::Io(to.to_owned(), error))?;
        }
        return Err(error);
    }
    Ok(replaced)
}

/// Renames a store to an unused name in the same folder, and returns that name.
fn move_aside(path: &Path) -> Result<PathBuf, StoreError> {
    // A store that another process has open must not be replaced. A corrupted store may be, so other errors are ignored.
    if let Err(StoreError::InUse(path)) = Store::open(path) {
        return Err(StoreError::InUse(path));
    }
    let name = |number: u32| path.with_extension(format!("before-restore-{number}"));
    let free = (1..).map(name).find(|path| !path.exists()).unwrap_or_else(|| name(0));
    std::fs::rename(path, &free).map_err(|error| StoreError::Io(free.clone(), error))?;
    Ok(free)
}
