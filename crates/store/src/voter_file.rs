//! What a voter has promised, in a file of its own (redb): its number, and the log that it votes on. Each row carries a
//! CRC-32. A file that is damaged is not voted on: [`VoterFile::open`] says so and leaves it as it was.

use super::{StoreError, guard, missing, text, write_error};
use crate::encoding::{pack, unpack};
use redb::{Database, Durability, ReadableDatabase, ReadableTable, ReadableTableMetadata, TableDefinition};
use std::path::{Path, PathBuf};

const META: TableDefinition<&str, &[u8]> = TableDefinition::new("voter");
const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("voter_log");
const CACHE_BYTES: usize = 1 << 20;

/// What was promised: all that a voter goes on from.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct VoterState {
    /// Term, vote and commit.
    pub hard_state: Vec<u8>,
    /// The log, from the snapshot on.
    pub entries: Vec<Vec<u8>>,
    /// What the log goes on from.
    pub snapshot: Vec<u8>,
}

/// What is to be kept, all of it or none.
#[derive(Debug, Clone, Default)]
pub struct VoterUpdate<'a> {
    /// Term, vote and commit, where they changed.
    pub hard_state: Option<&'a [u8]>,
    /// Entries by their place; what was kept from the first of them on goes.
    pub entries: &'a [(u64, Vec<u8>)],
    /// A new beginning of the log: what was kept up to there goes.
    pub snapshot: Option<(u64, &'a [u8])>,
}

/// The open file.
#[derive(Debug)]
pub struct VoterFile {
    database: Database,
    path: PathBuf,
    id: u64,
    founded: bool,
}

impl VoterFile {
    /// Opens the file, or makes one under a new number. The number is drawn with the file: where the file is lost, so is
    /// the vote, and nobody takes the new one for the old.
    pub fn open(path: &Path, new_id: u64) -> Result<VoterFile, StoreError> {
        let damaged = |why: String| StoreError::Damaged { path: path.to_owned(), why };
        let opened = guard::guarded(|| {
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
                        meta.insert("id", pack(&new_id)?.as_slice()).map_err(text)?;
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

    /// The voter's number, and whether it has begun to vote.
    pub fn standing(&self) -> (u64, bool) {
        (self.id, self.founded)
    }

    fn meta(&self, key: &str) -> Result<Option<Vec<u8>>, String> {
        let read = self.database.begin_read().map_err(text)?;
        let Some(table) = missing(read.open_table(META))? else { return Ok(None) };
        Ok(table.get(key).map_err(text)?.map(|row| row.value().to_vec()))
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

    /// Begins to vote from here. All of it is on the disk when this returns.
    pub fn begin(&mut self, state: &VoterState) -> Result<(), StoreError> {
        self.write(|meta, log| {
            log.retain(|_, _| false).map_err(text)?;
            meta.insert("hard_state", pack(&state.hard_state)?.as_slice()).map_err(text)?;
            meta.insert("snapshot", pack(&state.snapshot)?.as_slice()).map_err(text)?;
            Ok(())
        })?;
        self.founded = true;
        Ok(())
    }

    /// Keeps more. All of it is on the disk when this returns.
    pub fn keep(&self, more: &VoterUpdate<'_>) -> Result<(), StoreError> {
        self.write(|meta, log| {
            if let Some(state) = more.hard_state {
                meta.insert("hard_state", pack(&state)?.as_slice()).map_err(text)?;
            }
            if let Some((index, snapshot)) = more.snapshot {
                meta.insert("snapshot", pack(&snapshot)?.as_slice()).map_err(text)?;
                log.retain_in(..=index, |_, _| false).map_err(text)?;
            }
            if let Some((first, _)) = more.entries.first() {
                log.retain_in(*first.., |_, _| false).map_err(text)?;
            }
            for (index, entry) in more.entries {
                log.insert(index, pack(entry)?.as_slice()).map_err(text)?;
            }
            Ok(())
        })
    }

    /// All that was promised.
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
        if let Some(log) = missing(read.open_table(LOG)).map_err(damaged)? {
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
mod tests {
    use super::*;

    /// Guards against a voter that comes back with less than it promised, or with what it took back.
    #[test]
    fn what_was_promised_is_there_after_a_new_start() {
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join("voter.redb");
        {
            let mut file = VoterFile::open(&path, 7).unwrap();
            assert_eq!(file.standing(), (7, false));
            file.begin(&VoterState { hard_state: vec![1], snapshot: vec![2], entries: Vec::new() }).unwrap();
            let entries = [(2, vec![20]), (3, vec![30]), (4, vec![40])];
            file.keep(&VoterUpdate { hard_state: Some(&[3]), entries: &entries, ..VoterUpdate::default() })
                .unwrap();
            file.keep(&VoterUpdate { entries: &[(3, vec![31])], ..VoterUpdate::default() }).unwrap();
        }
        let file = VoterFile::open(&path, 8).unwrap();
        assert_eq!(file.standing(), (7, true), "the number stays the file's");
        let state = file.state().unwrap();
        assert_eq!(
            state,
            VoterState { hard_state: vec![3], snapshot: vec![2], entries: vec![vec![20], vec![31]] }
        );
        file.keep(&VoterUpdate { snapshot: Some((2, &[9])), ..VoterUpdate::default() }).unwrap();
        let state = file.state().unwrap();
        assert_eq!((state.snapshot, state.entries), (vec![9], vec![vec![31]]));
    }

    /// Guards against a damaged file that is voted on as if it were whole.
    #[test]
    fn a_file_that_is_no_voters_is_refused_and_left() {
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join("voter.redb");
        std::fs::write(&path, b"not a file of this kind").unwrap();
        assert!(matches!(VoterFile::open(&path, 7), Err(StoreError::Damaged { .. })));
        assert_eq!(std::fs::read(&path).unwrap(), b"not a file of this kind");
    }
}
