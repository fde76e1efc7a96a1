//! The persistent state of a voter in a separate redb file: the voter's id and the replicated log. Each row has a CRC-32.
//! [`VoterFile::open`] rejects a corrupted file and does not change it, so that no vote is based on corrupted state.

use crate::encoding::{pack, unpack};
use crate::error::{StoreError, message, write_error};
use crate::panic_guard;
use crate::tables::optional;
use redb::{Database, Durability, ReadableDatabase, ReadableTable, ReadableTableMetadata, TableDefinition};
use std::path::{Path, PathBuf};

const META: TableDefinition<&str, &[u8]> = TableDefinition::new("voter");
const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("voter_log");
/// Size of the page cache.
const CACHE_BYTES: usize = 1 << 20;

/// The state that a voter restores at startup, as encoded by the consensus library.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct VoterState {
    /// The current term, the vote in it, and the commit index.
    pub hard_state: Vec<u8>,
    /// The log entries after the snapshot, in the order of their index.
    pub entries: Vec<Vec<u8>>,
    /// The snapshot that the log follows.
    pub snapshot: Vec<u8>,
}

/// A change of a voter's state. It is stored completely or not at all.
#[derive(Debug, Clone, Default)]
pub struct VoterUpdate<'a> {
    /// The term, vote and commit index; `None` if they are unchanged.
    pub hard_state: Option<&'a [u8]>,
    /// Log entries with their index. Stored entries from the first of these indexes on are replaced.
    pub entries: &'a [(u64, Vec<u8>)],
    /// A snapshot with its index. Stored entries up to this index are removed.
    pub snapshot: Option<(u64, &'a [u8])>,
}

/// An open voter file. Other processes can't open it meanwhile.
#[derive(Debug)]
pub struct VoterFile {
    database: Database,
    path: PathBuf,
    id: u64,
    founded: bool,
}

impl VoterFile {
    /// Opens the file, or creates one with the id `new_id`. The id is bound to the file: if the file is lost, so are its
    /// votes, and the new id prevents the voter with a new file from being mistaken for the previous one.
    ///
    /// # Errors
    /// The file is corrupted or in use.
    pub fn open(path: &Path, new_id: u64) -> Result<VoterFile, StoreError> {
        let corrupted = |reason: String| StoreError::Corrupted { path: path.to_owned(), reason };
        let opened = panic_guard::guarded(|| {
            let database = Database::builder().set_cache_size(CACHE_BYTES).create(path);
            let database = database.map_err(|error| match error {
                redb::DatabaseError::DatabaseAlreadyOpen => StoreError::InUse(path.to_owned()),
                other => corrupted(other.to_string()),
            })?;
            let mut file = VoterFile { database, path: path.to_owned(), id: 0, founded: false };
            match file.meta("id").map_err(corrupted)? {
                Some(row) => file.id = unpack("voter's id", &row).map_err(corrupted)?,
                None => {
                    file.id = new_id;
                    file.write(|meta, _| {
                        meta.insert("id", pack(&new_id)?.as_slice()).map_err(message)?;
                        Ok(())
                    })?;
                }
            }
            file.founded = file.meta("snapshot").map_err(corrupted)?.is_some();
            if file.founded {
                file.state()?;
            }
            Ok(file)
        });
        opened.unwrap_or_else(|reason| Err(corrupted(reason)))
    }

    /// The voter's id, and whether its group was founded, that is, whether [`VoterFile::initialize`] was called. A voter
    /// votes only then.
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
        run: impl FnOnce(
            &mut redb::Table<'_, &str, &[u8]>,
            &mut redb::Table<'_, u64, &[u8]>,
        ) -> Result<(), String>,
    ) -> Result<(), StoreError> {
        let mut transaction = self.database.begin_write().map_err(write_error)?;
        transaction.set_durability(Durability::Immediate).map_err(write_error)?;
        {
            let mut meta = transaction.open_table(META).map_err(write_error)?;
            let mut log = transaction.open_table(LOG).map_err(write_error)?;
            run(&mut meta, &mut log).map_err(StoreError::Write)?;
        }
        transaction.commit().map_err(write_error)
    }

    /// Stores the initial state of a founded group and removes all log entries. It is on the disk when this returns.
    ///
    /// # Errors
    /// Writing failed. Nothing is stored.
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
    /// Writing failed. Nothing of the change is stored.
    pub fn store(&self, update: &VoterUpdate<'_>) -> Result<(), StoreError> {
        self.write(|meta, log| {
            if let Some(state) = update.hard_state {
                meta.insert("hard_state", pack(&state)?.as_slice()).map_err(message)?;
            }
            if let Some((index, snapshot)) = update.snapshot {
                meta.insert("snapshot", pack(&snapshot)?.as_slice()).map_err(message)?;
                log.retain_in(..=index, |_, _| false).map_err(message)?;
            }
            if let Some((first, _)) = update.entries.first() {
                log.retain_in(*first.., |_, _| false).map_err(message)?;
            }
            for (index, entry) in update.entries {
                log.insert(index, pack(entry)?.as_slice()).map_err(message)?;
            }
            Ok(())
        })
    }

    /// Reads the stored state.
    ///
    /// # Errors
    /// A row is missing or corrupted.
    pub fn state(&self) -> Result<VoterState, StoreError> {
        let corrupted = |reason: String| StoreError::Corrupted { path: self.path.clone(), reason };
        let row = |key: &str| -> Result<Vec<u8>, String> {
            unpack(key, &self.meta(key)?.ok_or_else(|| format!("its {key} row is missing"))?)
        };
        let mut state = VoterState {
            hard_state: row("hard_state").map_err(corrupted)?,
            snapshot: row("snapshot").map_err(corrupted)?,
            entries: Vec::new(),
        };
        let read = self.database.begin_read().map_err(|error| corrupted(error.to_string()))?;
        if let Some(log) = optional(read.open_table(LOG)).map_err(corrupted)? {
            state.entries.reserve(log.len().map_or(0, |rows| rows as usize));
            for row in log.iter().map_err(|error| corrupted(error.to_string()))? {
                let (_, row) = row.map_err(|error| corrupted(error.to_string()))?;
                state.entries.push(unpack("voter's log", row.value()).map_err(corrupted)?);
            }
        }
        Ok(state)
    }
}

#[cfg(test)]
mod tests;
