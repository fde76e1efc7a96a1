//! The open store: opening without harm, and transactions.

use crate::audit::AuditEntry;
use crate::commit::{Commit, Creation};
use crate::error::{StoreError, message, write_error};
use crate::{FORM, backup, panic_guard, tables};
use redb::{Database, Durability, ReadableDatabase, WriteTransaction};
use sanddyke_authorization::Tokens;
use sanddyke_tenancy::Registry;
use std::fs::File;
use std::io::Read;
use std::path::{Path, PathBuf};

const CACHE_BYTES: usize = 4 << 20;
/// The first bytes of the database's files.
const MAGIC: [u8; 4] = *b"redb";

/// The content of a store when it was opened.
#[derive(Debug, Default)]
pub struct Loaded {
    /// The tenants and groups.
    pub registry: Registry,
    /// The tokens.
    pub tokens: Tokens,
    /// The creations with an idempotency key.
    pub creations: Vec<Creation>,
    /// Whether the file was created now.
    pub is_new: bool,
}

/// An open store.
#[derive(Debug)]
pub struct Store {
    pub(crate) database: Database,
    pub(crate) path: PathBuf,
}

/// The error of a database that can't be opened.
pub(crate) fn open_error(path: &Path, error: redb::DatabaseError) -> StoreError {
    use std::io::ErrorKind::{InvalidData, UnexpectedEof};
    match error {
        redb::DatabaseError::DatabaseAlreadyOpen => StoreError::InUse(path.to_owned()),
        redb::DatabaseError::Storage(redb::StorageError::Io(error))
            if !matches!(error.kind(), InvalidData | UnexpectedEof) =>
        {
            StoreError::Io(path.to_owned(), error)
        }
        other => damaged(path, other),
    }
}

fn damaged(path: &Path, reason: impl ToString) -> StoreError {
    StoreError::Damaged { path: path.to_owned(), why: reason.to_string() }
}

impl Store {
    /// Opens a store, or creates an empty one where there is no file; reads it completely.
    ///
    /// # Errors
    /// A file that can't be used stays as it was, byte for byte.
    pub fn open(path: &Path) -> Result<(Store, Loaded), StoreError> {
        let opened = panic_guard::guarded(|| Store::open_unguarded(path));
        opened.unwrap_or_else(|reason| Err(damaged(path, reason)))
    }

    /// Opens a store whose file exists.
    ///
    /// # Errors
    /// As [`Store::open`], and where there is no file.
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
        let loaded = store.load().map_err(|reason| damaged(path, reason))?;
        Ok((store, Loaded { is_new, ..loaded }))
    }

    /// Creates an empty store. It appears under its name only once it can be opened: a crash here leaves no half store.
    fn create(path: &Path) -> Result<(), StoreError> {
        let part = path.with_extension("part");
        let _left = std::fs::remove_file(&part);
        let database = Database::create(&part).map_err(|error| open_error(&part, error))?;
        Store { database, path: part.clone() }.write_form()?;
        backup::publish(&part, path)
    }

    fn attach(path: &Path) -> Result<Store, StoreError> {
        let database = Database::builder().set_cache_size(CACHE_BYTES).open(path);
        let database = database.map_err(|error| open_error(path, error))?;
        Ok(Store { database, path: path.to_owned() })
    }

    /// Makes an empty file a store.
    pub(crate) fn write_form(&self) -> Result<(), StoreError> {
        self.write(tables::write_form)
    }

    fn load(&self) -> Result<Loaded, String> {
        let read = self.database.begin_read().map_err(message)?;
        match tables::read_form(&read)? {
            FORM => tables::load(&read),
            found => Err(format!("form {found}")),
        }
    }

    /// Runs one transaction; it is on the disk when this returns.
    pub(crate) fn write(
        &self,
        write: impl FnOnce(&WriteTransaction) -> Result<(), String>,
    ) -> Result<(), StoreError> {
        let mut transaction = self.database.begin_write().map_err(write_error)?;
        transaction.set_durability(Durability::Immediate).map_err(write_error)?;
        write(&transaction).map_err(StoreError::Write)?;
        transaction.commit().map_err(write_error)
    }

    /// Stores a change; it is on the disk when this returns.
    ///
    /// # Errors
    /// Nothing of the change is stored.
    pub fn commit(&self, commit: &Commit) -> Result<(), StoreError> {
        self.write(|transaction| tables::write(transaction, commit))
    }

    /// Entries of the audit trail before a number, the newest first: at most `limit` of those that are wanted.
    ///
    /// # Errors
    /// A row that can't be read.
    pub fn audit(
        &self,
        before: u64,
        limit: usize,
        is_wanted: impl Fn(&AuditEntry) -> bool,
    ) -> Result<Vec<AuditEntry>, StoreError> {
        let read = self.database.begin_read().map_err(|error| damaged(&self.path, error))?;
        tables::audit(&read, before, limit, is_wanted).map_err(|reason| damaged(&self.path, reason))
    }
}

/// Checks a file on a copy: opening a database may write to it, and must not where it can't be used. The copy is read
/// completely, with the checksum of each page. (A store with all that is retained has some tens of MB at most.)
fn check_file(path: &Path) -> Result<(), StoreError> {
    let io_error = |error| StoreError::Io(path.to_owned(), error);
    let mut file = File::open(path).map_err(io_error)?;
    let mut start = [0; MAGIC.len()];
    match file.read_exact(&mut start) {
        Ok(()) if start == MAGIC => {}
        Ok(()) => return Err(damaged(path, "it does not begin as a store does")),
        Err(error) => return Err(damaged(path, error)),
    }
    // A file that is being written can't be copied consistently.
    if let Err(std::fs::TryLockError::WouldBlock) = file.try_lock() {
        return Err(StoreError::InUse(path.to_owned()));
    }
    drop(file);
    let copy = path.with_extension("check");
    std::fs::copy(path, &copy).map_err(|error| StoreError::Io(copy.clone(), error))?;
    let checked = panic_guard::guarded(|| check_copy(&copy, path));
    std::fs::remove_file(&copy).map_err(|error| StoreError::Io(copy.clone(), error))?;
    checked.unwrap_or_else(|reason| Err(damaged(path, reason)))
}

/// Checks the copy of a file; errors name the file.
fn check_copy(copy: &Path, path: &Path) -> Result<(), StoreError> {
    // A database that was not closed goes back to its last commit.
    let mut database = Database::open(copy).map_err(|error| open_error(path, error))?;
    let read = database.begin_read().map_err(|error| damaged(path, error))?;
    let found = tables::read_form(&read).map_err(|reason| damaged(path, reason))?;
    if found > FORM {
        return Err(StoreError::Newer { path: path.to_owned(), found });
    }
    tables::load(&read).map_err(|reason| damaged(path, reason))?;
    drop(read);
    match database.check_integrity() {
        Ok(true) => Ok(()),
        Ok(false) => Err(damaged(path, "its pages do not fit together")),
        Err(error) => Err(open_error(path, error)),
    }
}

#[cfg(test)]
mod crash_tests;
