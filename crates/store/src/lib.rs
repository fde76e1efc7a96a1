//! What the administration API changes, kept in one file: tenants, groups, tokens, the audit trail and the
//! keys of creations. A change and its audit entry are one transaction, and [`Store::commit`] returns only once
//! it is on the disk.
//!
//! The file is redb's (copy-on-write B-trees with checksums and atomic commits). Each value carries a CRC-32 of
//! its own, so that a damaged row is told from a good one wherever the damage is. Nothing is ever mended or
//! written over on opening: a file that is newer, damaged or no store at all gives one error and stays as it
//! was, byte for byte.
//!
//! ```
//! use sanddyke_store::{Commit, Store};
//! use sanddyke_tenancy::{Change, Registry, TenantSpec};
//!
//! let dir = tempfile::tempdir().unwrap();
//! let path = dir.path().join("state.redb");
//! let mut registry = Registry::default();
//! let change = Change::CreateTenant { name: "glannau".into(), spec: TenantSpec::default() };
//! let records = registry.apply(&[change]).unwrap();
//! {
//!     let (store, _) = Store::open(&path).unwrap();
//!     store.commit(&Commit::of("me", 1_000, &registry, records)).unwrap();
//! }
//! let (_, loaded) = Store::open(&path).unwrap();
//! assert_eq!(loaded.registry, registry);
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod encoding;
mod guard;
pub mod voter_file;

use encoding::{pack, unpack};
use redb::{
    Database, Durability, ReadableDatabase, ReadableTable, TableDefinition, TableError, WriteTransaction,
};
use sanddyke_authorization::{Token, Tokens};
use sanddyke_tenancy::{Generation, Group, Record, Registry, Subject, Tenant};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::fs::File;
use std::io::Read;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// The form of the file that this version writes, and the newest that it reads.
pub const FORM: u64 = 1;
/// Entries of the audit trail that are kept; the oldest go first.
pub const AUDIT_KEPT: u64 = 200_000;
/// Keys of creations that are kept, the oldest go first.
pub const CREATIONS_KEPT: u64 = 10_000;
const CACHE_BYTES: usize = 4 << 20;

const META: TableDefinition<&str, u64> = TableDefinition::new("meta");
const TENANTS: TableDefinition<u64, &[u8]> = TableDefinition::new("tenants");
const GROUPS: TableDefinition<&str, &[u8]> = TableDefinition::new("groups");
const TOKENS: TableDefinition<&str, &[u8]> = TableDefinition::new("tokens");
const AUDIT: TableDefinition<u64, &[u8]> = TableDefinition::new("audit");
const CREATIONS: TableDefinition<&str, &[u8]> = TableDefinition::new("creations");
const CREATION_ORDER: TableDefinition<u64, &str> = TableDefinition::new("creation_order");

/// Why the store can't do a thing.
#[derive(Debug, Error)]
pub enum StoreError {
    /// The file is of a later version.
    #[error("{path}: written by a later version (form {found}, this one reads up to {FORM}); left as it was")]
    Newer {
        /// The file.
        path: PathBuf,
        /// Its form.
        found: u64,
    },
    /// What is in the file can't be used.
    #[error("{path}: damaged or no store: {why}; left as it was. Restore a backup (sanddyke restore)")]
    Damaged {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        why: String,
    },
    /// Another process has it open.
    #[error("{0}: another process has it open")]
    InUse(PathBuf),
    /// There is something at a path already.
    #[error("{0}: is there already")]
    Exists(PathBuf),
    /// Writing failed: nothing of this change is kept.
    #[error("the store can't be written: {0}")]
    Write(String),
    /// Reading or writing a file failed.
    #[error("{0}: {1}")]
    Io(PathBuf, std::io::Error),
}

/// One line of the audit trail.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct AuditEntry {
    /// Its number; there are no gaps.
    pub number: u64,
    /// When (Unix time, ms).
    pub at_ms: u64,
    /// Who: a token's id, or `settings` for the first import.
    pub who: String,
    /// What was done.
    pub what: AuditAction,
}

/// What was done.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(tag = "kind", rename_all = "snake_case")]
#[schemars(rename = "Done")]
pub enum AuditAction {
    /// A tenant or group was changed.
    Registry {
        /// The change, with the generations before and after.
        record: Box<Record>,
    },
    /// A token was made, rotated or removed.
    Token {
        /// Its id.
        id: String,
        /// `created`, `rotated` or `removed`.
        how: String,
    },
}

/// A creation that was asked for with a key, and what became of it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Creation {
    /// The key, together with who used it.
    pub key: String,
    /// A digest of what was asked.
    pub asked: String,
    /// The name that was created.
    pub name: String,
    /// Until when the key is heeded (Unix time, ms).
    pub until_ms: u64,
}

/// A change that is to be kept, all of it or none.
#[derive(Debug, Default)]
pub struct Commit {
    who: String,
    at_ms: u64,
    generation: Generation,
    last_id: u64,
    tenants: Vec<(u64, Option<Tenant>)>,
    groups: Vec<(String, Option<Group>)>,
    tokens: Vec<(String, Option<Token>)>,
    creation: Option<Creation>,
    done: Vec<AuditAction>,
}

impl Commit {
    /// Changes of a registry: what it is after them, and their records.
    pub fn of(who: &str, at_ms: u64, after: &Registry, records: Vec<Record>) -> Commit {
        let mut commit = Commit {
            who: who.to_owned(),
            at_ms,
            generation: after.generation(),
            last_id: after.last_id(),
            ..Commit::default()
        };
        for record in records {
            match record.change.subject() {
                Subject::Tenant(_) => {
                    let row = record.tenant.map(|id| (id.0, after.by_id(id).cloned()));
                    commit.tenants.extend(row);
                }
                Subject::Group(name) => {
                    let group = after.group(&name).cloned();
                    commit.groups.push((name, group));
                }
            }
            commit.done.push(AuditAction::Registry { record: Box::new(record) });
        }
        commit
    }

    /// A token made or rotated (`Some`) or removed; the registry stays as it is.
    pub fn token(
        who: &str,
        at_ms: u64,
        registry: &Registry,
        id: &str,
        token: Option<Token>,
        how: &str,
    ) -> Commit {
        let mut commit = Commit::of(who, at_ms, registry, Vec::new());
        commit.tokens.push((id.to_owned(), token));
        commit.done.push(AuditAction::Token { id: id.to_owned(), how: how.to_owned() });
        commit
    }

    /// Keeps the key of a creation with it.
    pub fn with_creation(mut self, creation: Creation) -> Commit {
        self.creation = Some(creation);
        self
    }
}

/// What a store held when it was opened.
#[derive(Debug, Default)]
pub struct Loaded {
    /// The tenants and groups.
    pub registry: Registry,
    /// The tokens.
    pub tokens: Tokens,
    /// The keys of creations.
    pub creations: Vec<Creation>,
    /// Whether the file was made just now.
    pub is_new: bool,
}

/// The open file.
#[derive(Debug)]
pub struct Store {
    database: Database,
    path: PathBuf,
}

fn write_error(error: impl std::fmt::Display) -> StoreError {
    StoreError::Write(error.to_string())
}

/// The table, or nothing where it was never written.
fn missing<T>(table: Result<T, TableError>) -> Result<Option<T>, String> {
    match table {
        Ok(table) => Ok(Some(table)),
        Err(TableError::TableDoesNotExist(_)) => Ok(None),
        Err(error) => Err(error.to_string()),
    }
}

fn text(error: impl std::fmt::Display) -> String {
    error.to_string()
}

impl Store {
    /// Opens a store, or makes an empty one where there is no file; reads it whole.
    pub fn open(path: &Path) -> Result<(Store, Loaded), StoreError> {
        let opened = guard::guarded(|| Store::open_unguarded(path));
        opened.unwrap_or_else(|why| Err(StoreError::Damaged { path: path.to_owned(), why }))
    }

    fn open_unguarded(path: &Path) -> Result<(Store, Loaded), StoreError> {
        let is_new = !path.exists();
        if !is_new {
            Store::look(path)?;
        }
        if is_new {
            // It appears under its name only once it can be opened, so a crash here leaves no half store.
            let part = path.with_extension("part");
            let _left = std::fs::remove_file(&part);
            let empty = Database::create(&part).map_err(|error| Store::opening(&part, error))?;
            Store { database: empty, path: part.clone() }.found()?;
            publish(&part, path)?;
        }
        let store = Store::attach(path)?;
        let loaded = store.load().map_err(|why| StoreError::Damaged { path: path.to_owned(), why })?;
        Ok((store, Loaded { is_new, ..loaded }))
    }

    fn attach(path: &Path) -> Result<Store, StoreError> {
        let database = Database::builder().set_cache_size(CACHE_BYTES).open(path);
        let database = database.map_err(|error| Store::opening(path, error))?;
        Ok(Store { database, path: path.to_owned() })
    }

    /// Makes an empty file a store.
    fn found(&self) -> Result<(), StoreError> {
        self.write(|transaction| {
            let mut meta = transaction.open_table(META).map_err(text)?;
            meta.insert("form", FORM).map_err(text)?;
            Ok(())
        })
    }

    fn opening(path: &Path, error: redb::DatabaseError) -> StoreError {
        match error {
            redb::DatabaseError::DatabaseAlreadyOpen => StoreError::InUse(path.to_owned()),
            redb::DatabaseError::Storage(redb::StorageError::Io(error))
                if error.kind() != std::io::ErrorKind::InvalidData
                    && error.kind() != std::io::ErrorKind::UnexpectedEof =>
            {
                StoreError::Io(path.to_owned(), error)
            }
            other => StoreError::Damaged { path: path.to_owned(), why: other.to_string() },
        }
    }

    /// Tries a file on a copy: opening it may write to it, and must not where it can't be used. The copy is read
    /// whole, with the checksum of each page. (A store of all that is kept at most is some tens of MB.)
    fn look(path: &Path) -> Result<(), StoreError> {
        let damaged = |why: String| StoreError::Damaged { path: path.to_owned(), why };
        let mut start = [0; 4];
        let mut file = File::open(path).map_err(|error| StoreError::Io(path.to_owned(), error))?;
        match file.read_exact(&mut start) {
            Ok(()) if start == *b"redb" => {}
            Ok(()) => return Err(damaged("it does not begin as a store does".to_owned())),
            Err(error) => return Err(damaged(error.to_string())),
        }
        // One that is written at this moment can't be copied whole.
        if let Err(std::fs::TryLockError::WouldBlock) = file.try_lock() {
            return Err(StoreError::InUse(path.to_owned()));
        }
        drop(file);
        let copy = path.with_extension("check");
        std::fs::copy(path, &copy).map_err(|error| StoreError::Io(copy.clone(), error))?;
        let tried = guard::guarded(|| {
            // One that was not closed goes back to its last commit.
            let mut database = Database::open(&copy).map_err(|error| Store::opening(path, error))?;
            let read = database.begin_read().map_err(|error| damaged(error.to_string()))?;
            let found = form(&read).map_err(damaged)?;
            if found > FORM {
                return Err(StoreError::Newer { path: path.to_owned(), found });
            }
            load(&read).map_err(damaged)?;
            drop(read);
            match database.check_integrity() {
                Ok(true) => Ok(()),
                Ok(false) => Err(damaged("its pages do not fit together".to_owned())),
                Err(error) => Err(Store::opening(path, error)),
            }
        });
        std::fs::remove_file(&copy).map_err(|error| StoreError::Io(copy.clone(), error))?;
        tried.unwrap_or_else(|why| Err(damaged(why)))
    }

    fn load(&self) -> Result<Loaded, String> {
        let read = self.database.begin_read().map_err(text)?;
        match form(&read)? {
            FORM => load(&read),
            found => Err(format!("form {found}")),
        }
    }

    /// Runs one transaction that is on the disk when this returns.
    fn write(&self, make: impl FnOnce(&WriteTransaction) -> Result<(), String>) -> Result<(), StoreError> {
        let mut transaction = self.database.begin_write().map_err(write_error)?;
        transaction.set_durability(Durability::Immediate).map_err(write_error)?;
        make(&transaction).map_err(StoreError::Write)?;
        transaction.commit().map_err(write_error)
    }

    /// Keeps a change. After an error nothing of it is kept.
    pub fn commit(&self, commit: &Commit) -> Result<(), StoreError> {
        self.write(|transaction| {
            let mut meta = transaction.open_table(META).map_err(text)?;
            meta.insert("generation", commit.generation.0).map_err(text)?;
            meta.insert("last_id", commit.last_id).map_err(text)?;
            let mut tenants = transaction.open_table(TENANTS).map_err(text)?;
            for (id, row) in &commit.tenants {
                match row {
                    Some(row) => drop(tenants.insert(id, pack(row)?.as_slice()).map_err(text)?),
                    None => drop(tenants.remove(id).map_err(text)?),
                }
            }
            let mut groups = transaction.open_table(GROUPS).map_err(text)?;
            for (name, row) in &commit.groups {
                match row {
                    Some(row) => drop(groups.insert(name.as_str(), pack(row)?.as_slice()).map_err(text)?),
                    None => drop(groups.remove(name.as_str()).map_err(text)?),
                }
            }
            let mut tokens = transaction.open_table(TOKENS).map_err(text)?;
            for (id, row) in &commit.tokens {
                match row {
                    Some(row) => drop(tokens.insert(id.as_str(), pack(row)?.as_slice()).map_err(text)?),
                    None => drop(tokens.remove(id.as_str()).map_err(text)?),
                }
            }
            let mut audit = transaction.open_table(AUDIT).map_err(text)?;
            let mut next = audit.last().map_err(text)?.map_or(1, |(number, _)| number.value() + 1);
            for what in &commit.done {
                let (at_ms, who) = (commit.at_ms, commit.who.clone());
                let entry = AuditEntry { number: next, at_ms, who, what: what.clone() };
                audit.insert(next, pack(&entry)?.as_slice()).map_err(text)?;
                next += 1;
            }
            let oldest = next.saturating_sub(AUDIT_KEPT);
            audit.retain_in(..oldest, |_, _| false).map_err(text)?;
            if let Some(creation) = &commit.creation {
                keep_creation(transaction, creation)?;
            }
            Ok(())
        })
    }

    /// Entries of the audit trail before a number, the newest first, as many as are wanted of those that fit.
    pub fn audit(
        &self,
        before: u64,
        most: usize,
        fits: impl Fn(&AuditEntry) -> bool,
    ) -> Result<Vec<AuditEntry>, StoreError> {
        let damaged = |why: String| StoreError::Damaged { path: self.path.clone(), why };
        let read = self.database.begin_read().map_err(|error| damaged(error.to_string()))?;
        let Some(table) = missing(read.open_table(AUDIT)).map_err(damaged)? else { return Ok(Vec::new()) };
        let mut found = Vec::new();
        for row in table.range(..before).map_err(|error| damaged(error.to_string()))?.rev() {
            let (_, value) = row.map_err(|error| damaged(error.to_string()))?;
            let entry = unpack("audit", value.value()).map_err(damaged)?;
            if found.len() >= most {
                break;
            }
            if fits(&entry) {
                found.push(entry);
            }
        }
        Ok(found)
    }

    /// Writes a copy of the store as it is now, while it goes on being used. The copy appears under its name
    /// only once it is whole; a file of that name is not replaced.
    pub fn backup(&self, to: &Path) -> Result<(), StoreError> {
        if to.exists() {
            return Err(StoreError::Exists(to.to_owned()));
        }
        let part = to.with_extension("part");
        let made = self.copy(&part);
        if let Err(error) = made.and_then(|()| publish(&part, to)) {
            let _gone = std::fs::remove_file(&part);
            return Err(error);
        }
        Ok(())
    }

    /// Writes a copy under a name that is taken once and for all: false where it is taken already. `turn` grows from
    /// caller to caller; what callers of an earlier turn have left half is removed, so that one of them that goes on
    /// later has nothing to put there.
    pub fn backup_once(&self, to: &Path, turn: u64) -> Result<bool, StoreError> {
        let failed = |error| StoreError::Io(to.to_owned(), error);
        let folder = to.parent().filter(|folder| !folder.as_os_str().is_empty()).unwrap_or(Path::new("."));
        for entry in std::fs::read_dir(folder).map_err(failed)? {
            let path = entry.map_err(failed)?.path();
            let of = path.extension().and_then(|end| end.to_str()).and_then(|end| end.strip_prefix("part-"));
            if of.and_then(|of| of.parse::<u64>().ok()).is_some_and(|of| of < turn) {
                let _gone = std::fs::remove_file(&path);
            }
        }
        if to.exists() {
            return Ok(false);
        }
        let part = to.with_extension(format!("part-{turn}"));
        let _left = std::fs::remove_file(&part);
        self.copy(&part)?;
        File::open(&part).and_then(|file| file.sync_all()).map_err(failed)?;
        // Unlike a rename, a link replaces nothing.
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
        let copy = Database::create(part).map_err(|error| Store::opening(part, error))?;
        let copy = Store { database: copy, path: part.to_owned() };
        copy.write(|transaction| {
            copy_table(&read, transaction, META)?;
            copy_table(&read, transaction, TENANTS)?;
            copy_table(&read, transaction, GROUPS)?;
            copy_table(&read, transaction, TOKENS)?;
            copy_table(&read, transaction, AUDIT)?;
            copy_table(&read, transaction, CREATIONS)?;
            copy_table(&read, transaction, CREATION_ORDER)
        })
    }
}

fn copy_table<K: redb::Key + 'static, V: redb::Value + 'static>(
    from: &redb::ReadTransaction,
    to: &WriteTransaction,
    table: TableDefinition<K, V>,
) -> Result<(), String> {
    let Some(rows) = missing(from.open_table(table))? else { return Ok(()) };
    let mut copy = to.open_table(table).map_err(text)?;
    for row in rows.iter().map_err(text)? {
        let (key, value) = row.map_err(text)?;
        copy.insert(key.value(), value.value()).map_err(text)?;
    }
    Ok(())
}

fn keep_creation(transaction: &WriteTransaction, creation: &Creation) -> Result<(), String> {
    let mut creations = transaction.open_table(CREATIONS).map_err(text)?;
    let mut order = transaction.open_table(CREATION_ORDER).map_err(text)?;
    let next = order.last().map_err(text)?.map_or(1, |(number, _)| number.value() + 1);
    creations.insert(creation.key.as_str(), pack(creation)?.as_slice()).map_err(text)?;
    order.insert(next, creation.key.as_str()).map_err(text)?;
    loop {
        let oldest = order.first().map_err(text)?.map(|(number, _)| number.value());
        let Some(oldest) = oldest.filter(|oldest| oldest + CREATIONS_KEPT <= next) else { break };
        let key = order.remove(oldest).map_err(text)?.map(|key| key.value().to_owned());
        if let Some(key) = key {
            creations.remove(key.as_str()).map_err(text)?;
        }
    }
    Ok(())
}

fn form(read: &redb::ReadTransaction) -> Result<u64, String> {
    let Some(meta) = missing(read.open_table(META))? else { return Err("it has no form".to_owned()) };
    let found = meta.get("form").map_err(text)?;
    found.map(|form| form.value()).ok_or_else(|| "it has no form".to_owned())
}

fn load(read: &redb::ReadTransaction) -> Result<Loaded, String> {
    let meta = missing(read.open_table(META))?;
    let number = |key: &str| match &meta {
        Some(meta) => Ok(meta.get(key).map_err(text)?.map_or(0, |found| found.value())),
        None => Ok::<u64, String>(0),
    };
    let mut tenants: Vec<Tenant> = Vec::new();
    if let Some(table) = missing(read.open_table(TENANTS))? {
        for row in table.iter().map_err(text)? {
            let (id, value) = row.map_err(text)?;
            let tenant: Tenant = unpack("tenant", value.value())?;
            if tenant.id.0 != id.value() {
                return Err(format!("tenant {} stands under {}", tenant.id.0, id.value()));
            }
            tenants.push(tenant);
        }
    }
    let mut groups: Vec<Group> = Vec::new();
    if let Some(table) = missing(read.open_table(GROUPS))? {
        for row in table.iter().map_err(text)? {
            groups.push(unpack("group", row.map_err(text)?.1.value())?);
        }
    }
    let mut tokens = Tokens::default();
    if let Some(table) = missing(read.open_table(TOKENS))? {
        for row in table.iter().map_err(text)? {
            tokens.put(unpack("token", row.map_err(text)?.1.value())?).map_err(text)?;
        }
    }
    let mut creations = Vec::new();
    if let Some(table) = missing(read.open_table(CREATIONS))? {
        for row in table.iter().map_err(text)? {
            creations.push(unpack("creation", row.map_err(text)?.1.value())?);
        }
    }
    let generation = Generation(number("generation")?);
    let registry = Registry::restore(generation, number("last_id")?, tenants, groups)?;
    Ok(Loaded { registry, tokens, creations, is_new: false })
}

/// Gives a finished file its name, and has both on the disk.
fn publish(part: &Path, to: &Path) -> Result<(), StoreError> {
    let failed = |error| StoreError::Io(to.to_owned(), error);
    File::open(part).and_then(|file| file.sync_all()).map_err(failed)?;
    std::fs::rename(part, to).map_err(failed)?;
    sync_folder(to)
}

fn sync_folder(path: &Path) -> Result<(), StoreError> {
    let folder = path.parent().filter(|folder| !folder.as_os_str().is_empty()).unwrap_or(Path::new("."));
    let synced = File::open(folder).and_then(|folder| folder.sync_all());
    synced.map_err(|error| StoreError::Io(folder.to_owned(), error))
}

/// Puts a backup in a store's place, where no process has that open. The backup is read whole first, and the
/// store that was there is kept beside it under the name that is given back.
pub fn restore(from: &Path, to: &Path) -> Result<Option<PathBuf>, StoreError> {
    let (backup, _) = Store::open_existing(from)?;
    let kept = match to.exists() {
        true => {
            // Whoever has it open keeps others out; a damaged one may be replaced all the same.
            match Store::open(to) {
                Err(StoreError::InUse(path)) => return Err(StoreError::InUse(path)),
                _closed => {}
            }
            let name = |number: u32| to.with_extension(format!("before-restore-{number}"));
            let free = (1..).map(name).find(|path| !path.exists()).unwrap_or_else(|| name(0));
            std::fs::rename(to, &free).map_err(|error| StoreError::Io(free.clone(), error))?;
            Some(free)
        }
        false => None,
    };
    if let Err(error) = backup.backup(to) {
        if let Some(kept) = &kept {
            std::fs::rename(kept, to).map_err(|error| StoreError::Io(to.to_owned(), error))?;
        }
        return Err(error);
    }
    Ok(kept)
}

#[cfg(test)]
mod crash;

impl Store {
    /// Opens a store that is there.
    pub fn open_existing(path: &Path) -> Result<(Store, Loaded), StoreError> {
        match path.exists() {
            true => Store::open(path),
            false => Err(StoreError::Io(path.to_owned(), std::io::ErrorKind::NotFound.into())),
        }
    }
}
