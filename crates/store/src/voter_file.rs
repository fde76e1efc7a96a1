//! The persistent state of a voter, in a redb file of its own: the voter's id, and the replicated log. Each row has a
//! CRC-32. [`VoterFile::open`] rejects a damaged file and leaves it as it was: nobody votes by it.

use crate::encoding::{pack, unpack};
use crate::error::{StoreError, message, write_error};
use crate::panic_guard;
use crate::tables::optional;
use redb::{Database, Durability, ReadableDatabase, ReadableTable, ReadableTableMetadata, TableDefinition};
use std::path::{Path, PathBuf};

const META: TableDefinition<&str, &[u8]> = TableDefinition::new("voter");
const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("voter_log");
const CACHE_BYTES: usize = 1 << 20;

/// The state that a voter restores at its start. The bytes are the consensus library's.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct VoterState {
    /// Term, vote and commit.
    pub hard_state: Vec<u8>,
    /// The log's entries after the snapshot.
    pub entries: Vec<Vec<u8>>,
    /// The snapshot that the log follows.
    pub snapshot: Vec<u8>,
}

/// A change of a voter's state, stored completely or not at all.
#[derive(Debug, Clone, Default)]
pub struct VoterUpdate<'a> {
    /// Term, vote and commit, where they changed.
    pub hard_state: Option<&'a [u8]>,
    /// Entries by their index in the log; entries stored from the first of them on are replaced.
    pub entries: &'a [(u64, Vec<u8>)],
    /// A snapshot with its index; entries stored up to it are removed.
    pub snapshot: Option<(u64, &'a [u8])>,
}

/// An open voter file.
#[derive(Debug)]
pub struct VoterFile {
    database: Database,
    path: PathBuf,
    id: u64,
    founded: bool,
}

impl VoterFile {
    /// Opens the file, or creates one with a new id. The id belongs to the file: where the file is lost, so is the vote, and
    /// nobody takes the new voter for the old one.
    ///
    /// # Errors
    /// The file is damaged or in use.
    pub fn open(path: &Path, new_id: u64) -> Result<VoterFile, StoreError> {
        let damaged = |why: String| StoreError::Damaged { path: path.to_owned(), why };
        let opened = panic_guard::guarded(|| {
            let database = Database::builder().set_cache_size(CACHE_BYTES).create(path);
            let database = database.map_err(|error| match error {
                redb::DatabaseError::DatabaseAlreadyOpen => StoreError::InUse(path.to_owned()),
                other => damaged(other.to_string()),
            })?;
            let mut file = VoterFile { database, path: path.to_owned(), id: 0, founded: false };
            match file.meta("id").map_err(damaged)? {
                Some(row) => file.id = unpack("voter's number", &row).map_err(damaged)?,
                None => {
                    file.id = new_id;
                    file.write(|meta, _| {
                        meta.insert("id", pack(&new_id)?.as_slice()).map_err(message)?;
                        Ok(())
                    })?;
                }
            }
            file.founded = file.meta("snapshot").map_err(damaged)?.is_some();
            if file.founded {
                file.state()?;
            }
            Ok(file)
        });
        opened.unwrap_or_else(|why| Err(damaged(why)))
    }

    /// The voter's id, and whether its group is founded: only then it votes.
    pub fn identity(&self) -> (u64, bool) {
        (self.id, self.founded)
    }

    fn meta(&self, key: &str) -> Result<Option<Vec<u8>>, String> {
        let read = self.database.begin_read().map_err(message)?;
        let Some(table) = optional(read.open_table(META))? else { return Ok(None) };
        Ok(table.get(key).map_err(message)?.map(|row| row.value().to_vec()))
    }

    fn write(
        &self,
        make: impl FnOnce(
            &mut redb::Table<'_, &str, &[u8]>,
            &mut redb::Table<'_, u64, &[u8]>,
        ) -> Result<(), String>,
    ) -> Result<(), StoreError> {
        let mut transaction = self.database.begin_write().map_err(write_error)?;
        transaction.set_durability(Durability::Immediate).map_err(write_error)?;
        {
            let mut meta = transaction.open_table(META).map_err(write_error)?;
            let mut log = transaction.open_table(LOG).map_err(write_error)?;
            make(&mut meta, &mut log).map_err(StoreError::Write)?;
        }
        transaction.commit().map_err(write_error)
    }

    /// Stores the first state of a founded group. It is on the disk when this returns.
    ///
    /// # Errors
    /// Nothing is stored.
    pub fn initialize(&mut self, state: &VoterState) -> Result<(), StoreError> {
        self.write(|meta, log| {
            log.retain(|_, _| false).map_err(message)?;
            meta.insert("hard_state", pack(&state.hard_state)?.as_slice()).map_err(message)?;
            meta.insert("snapshot", pack(&state.snapshot)?.as_slice()).map_err(message)?;
            Ok(())
        })?;
        self.founded = true;
        Ok(())
    }

    /// Stores a change. It is on the disk when this returns.
    ///
    /// # Errors
    /// Nothing of it is stored.
    pub fn store(&self, more: &VoterUpdate<'_>) -> Result<(), StoreError> {
        self.write(|meta, log| {
            if let Some(state) = more.hard_state {
                meta.insert("hard_state", pack(&state)?.as_slice()).map_err(message)?;
            }
            if let Some((index, snapshot)) = more.snapshot {
                meta.insert("snapshot", pack(&snapshot)?.as_slice()).map_err(message)?;
                log.retain_in(..=index, |_, _| false).map_err(message)?;
            }
            if let Some((first, _)) = more.entries.first() {
                log.retain_in(*first.., |_, _| false).map_err(message)?;
            }
            for (index, entry) in more.entries {
                log.insert(index, pack(entry)?.as_slice()).map_err(message)?;
            }
            Ok(())
        })
    }

    /// The stored state.
    ///
    /// # Errors
    /// A row that is missing or damaged.
    pub fn state(&self) -> Result<VoterState, StoreError> {
        let damaged = |why: String| StoreError::Damaged { path: self.path.clone(), why };
        let row = |key: &str| -> Result<Vec<u8>, String> {
            unpack(key, &self.meta(key)?.ok_or_else(|| format!("no {key}"))?)
        };
        let mut state = VoterState {
            hard_state: row("hard_state").map_err(damaged)?,
            snapshot: row("snapshot").map_err(damaged)?,
            entries: Vec::new(),
        };
        let read = self.database.begin_read().map_err(|error| damaged(error.to_string()))?;
        if let Some(log) = optional(read.open_table(LOG)).map_err(damaged)? {
            state.entries.reserve(log.len().map_or(0, |rows| rows as usize));
            for row in log.iter().map_err(|error| damaged(error.to_string()))? {
                let (_, row) = row.map_err(|error| damaged(error.to_string()))?;
                state.entries.push(unpack("voter's log", row.value()).map_err(damaged)?);
            }
        }
        Ok(state)
    }
}

#[cfg(test)]
mod tests;
