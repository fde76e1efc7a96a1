//! Opening a store without changing a file that can't be used, and transactions on the open store.

use crate::audit::AuditEntry;
use crate::commit::{Commit, Creation};
use crate::error::{StoreError, message, write_error};
use crate::{FORMAT_VERSION, backup, panic_guard, tables};
use redb::{Database, Durability, ReadableDatabase, WriteTransaction};
use sanddyke_authorization::Tokens;
use sanddyke_tenancy::Registry;
use std::fs::File;
use std::io::Read;
use std::path::{Path, PathBuf};

/// Size of the page cache.
const CACHE_BYTES: usize = 4 << 20;
/// The first bytes of each redb file.
const MAGIC: [u8; 4] = *b"redb";

/// The content of a store when it was opened.
#[derive(Debug, Default)]
pub struct Loaded {
    /// The tenants and groups.
    pub registry: Registry,
    /// The tokens.
    pub tokens: Tokens,
    /// The retained idempotency keys of creations.
    pub creations: Vec<Creation>,
    /// Whether the file did not exist and was created.
    pub is_new: bool,
}

/// An open store. Other processes can't open the file meanwhile.
#[derive(Debug)]
pub struct Store {
    pub(crate) database: Database,
    pub(crate) path: PathBuf,
}

/// Converts an error of opening a database. Faults in the file's content are [`StoreError::Corrupted`].
pub(crate) fn open_error(path: &Path, error: redb::DatabaseError) -> StoreError {
    use std::io::ErrorKind::{InvalidData, UnexpectedEof};
    match error {
        redb::DatabaseError::DatabaseAlreadyOpen => StoreError::InUse(path.to_owned()),
        redb::DatabaseError::Storage(redb::StorageError::Io(error))
            if !matches!(error.kind(), InvalidData | UnexpectedEof) =>
        {
            StoreError::Io(path.to_owned(), error)
        }
        other => corrupted(path, other),
    }
}

fn corrupted(path: &Path, reason: impl ToString) -> StoreError {
    StoreError::Corrupted { path: path.to_owned(), reason: reason.to_string() }
}

impl Store {
    /// Opens a store and reads it completely. Creates an empty store if the file does not exist.
    ///
    /// # Errors
    /// The file can't be used. It is not changed.
    pub fn open(path: &Path) -> Result<(Store, Loaded), StoreError> {
        let opened = panic_guard::guarded(|| Store::open_unguarded(path));
        opened.unwrap_or_else(|reason| Err(corrupted(path, reason)))
    }

    /// Opens a store whose file exists.
    ///
    /// # Errors
    /// As [`Store::open`], and if the file does not exist.
    pub fn open_existing(path: &Path) -> Result<(Store, Loaded), StoreError> {
        match path.exists() {
            true => Store::open(path),
            false => Err(StoreError::Io(path.to_owned(), std::io::ErrorKind::NotFound.into())),
        }
    }

    fn open_unguarded(path: &Path) -> Result<(Store, Loaded), StoreError> {
        let is_new = !path.exists();
        if is_new {
            Store::create(path)?;
        } else {
            check_file(path)?;
        }
        let store = Store::attach(path)?;
        let loaded = store.load().map_err(|reason| corrupted(path, reason))?;
        Ok((store, Loaded { is_new, ..loaded }))
    }

    /// Creates an empty store under a temporary name and renames it when it is complete, so that a crash leaves no
    /// incomplete store under its name.
    fn create(path: &Path) -> Result<(), StoreError> {
        let part = path.with_extension("part");
        let _left = std::fs::remove_file(&part);
        let database = Database::create(&part).map_err(|error| open_error(&part, error))?;
        Store { database, path: part.clone() }.write_format_version()?;
        backup::publish(&part, path)
    }

    /// Opens the database of a file that was checked or just created.
    fn attach(path: &Path) -> Result<Store, StoreError> {
        let database = Database::builder().set_cache_size(CACHE_BYTES).open(path);
        let database = database.map_err(|error| open_error(path, error))?;
        Ok(Store { database, path: path.to_owned() })
    }

    /// Writes the format version into an empty database, which makes it a store.
    pub(crate) fn write_format_version(&self) -> Result<(), StoreError> {
        self.write(tables::write_format_version)
    }

    fn load(&self) -> Result<Loaded, String> {
        let read = self.database.begin_read().map_err(message)?;
        match tables::read_format_version(&read)? {
            FORMAT_VERSION => tables::load(&read),
            found => Err(format!("format version is {found}, expected {FORMAT_VERSION}")),
        }
    }

    /// Runs one transaction. It is on the disk when this returns.
    pub(crate) fn write(
        &self,
        write: impl FnOnce(&WriteTransaction) -> Result<(), String>,
    ) -> Result<(), StoreError> {
        let mut transaction = self.database.begin_write().map_err(write_error)?;
        transaction.set_durability(Durability::Immediate).map_err(write_error)?;
        write(&transaction).map_err(StoreError::Write)?;
        transaction.commit().map_err(write_error)
    }

    /// Stores a change. It is on the disk when this returns.
    ///
    /// # Errors
    /// Writing failed. Nothing of the change is stored.
    pub fn commit(&self, commit: &Commit) -> Result<(), StoreError> {
        self.write(|transaction| tables::write(transaction, commit))
    }

    /// The newest audit entries whose number is less than `before`, newest first: at most `limit` of those for which
    /// `is_wanted` returns true.
    ///
    /// # Errors
    /// A row can't be read.
    pub fn audit(
        &self,
        before: u64,
        limit: usize,
        is_wanted: impl Fn(&AuditEntry) -> bool,
    ) -> Result<Vec<AuditEntry>, StoreError> {
        let read = self.database.begin_read().map_err(|error| corrupted(&self.path, error))?;
        tables::audit(&read, before, limit, is_wanted).map_err(|reason| corrupted(&self.path, reason))
    }
}

/// Checks a file by a copy, because opening a database may write to its file, and a file that can't be used must not be
/// changed. The copy is read completely, and the checksum of each page is verified. (At the retention limits a store has
/// some tens of MB at most.)
fn check_file(path: &Path) -> Result<(), StoreError> {
    let io_error = |error| StoreError::Io(path.to_owned(), error);
    let mut file = File::open(path).map_err(io_error)?;
    let mut start = [0; MAGIC.len()];
    match file.read_exact(&mut start) {
        Ok(()) if start == MAGIC => {}
        Ok(()) => {
            return Err(corrupted(
                path,
                format!("it starts with the bytes {start:02x?}, expected {MAGIC:02x?}"),
            ));
        }
        Err(error) => return Err(corrupted(path, error)),
    }
    // A file that another process writes can't be copied consistently.
    if let Err(std::fs::TryLockError::WouldBlock) = file.try_lock() {
        return Err(StoreError::InUse(path.to_owned()));
    }
    drop(file);
    let copy = path.with_extension("check");
    std::fs::copy(path, &copy).map_err(|error| StoreError::Io(copy.clone(), error))?;
    let checked = panic_guard::guarded(|| check_copy(&copy, path));
    std::fs::remove_file(&copy).map_err(|error| StoreError::Io(copy.clone(), error))?;
    checked.unwrap_or_else(|reason| Err(corrupted(path, reason)))
}

/// Checks the copy of a file. Errors name the original `path`.
fn check_copy(copy: &Path, path: &Path) -> Result<(), StoreError> {
    // Opening a database that was not closed cleanly rolls it back to its last commit.
    let mut database = Database::open(copy).map_err(|error| open_error(path, error))?;
    let read = database.begin_read().map_err(|error| corrupted(path, error))?;
    let found = tables::read_format_version(&read).map_err(|reason| corrupted(path, reason))?;
    if found > FORMAT_VERSION {
        return Err(StoreError::Newer { path: path.to_owned(), found });
    }
    tables::load(&read).map_err(|reason| corrupted(path, reason))?;
    drop(read);
    match database.check_integrity() {
        Ok(true) => Ok(()),
        Ok(false) => Err(corrupted(path, "its pages are inconsistent")),
        Err(error) => Err(open_error(path, error)),
    }
}

#[cfg(test)]
mod crash_tests;
