//! The persisted state of a voter, and the in-memory log that the raft library reads.

use super::VoterError;
use crate::lease::LeaseTable;
use protobuf::Message as _;
use raft::eraftpb::{ConfState, Entry, HardState, Snapshot};
use raft::storage::MemStorage;
use raft::{GetEntriesContext, RaftState, Storage, StorageError};

/// Changes that are persisted atomically, before any message that depends on them is sent.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PersistBatch {
    /// Term, vote and commit index in encoded form; `None` if they are unchanged.
    pub hard_state: Option<Vec<u8>>,
    /// Log entries with their log index, in encoded form. They replace all persisted entries from the first index on.
    pub entries: Vec<(u64, Vec<u8>)>,
    /// A new snapshot of the table with its log index, if there is one. Entries up to that index may be removed.
    pub snapshot: Option<(u64, Vec<u8>)>,
}

impl PersistBatch {
    pub(super) fn is_empty(&self) -> bool {
        self.hard_state.is_none() && self.entries.is_empty() && self.snapshot.is_none()
    }
}

/// Durable storage of a voter's Raft state.
pub trait Disk {
    /// Persists a batch. Returns once the whole batch would survive a power failure.
    ///
    /// # Errors
    /// The reason why the batch could not be persisted, as text for operators.
    fn persist(&mut self, batch: &PersistBatch) -> Result<(), String>;
}

/// The state that a voter's disk holds when the voter starts. All parts are in encoded form.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PersistedState {
    /// Term, vote and commit index (raft's hard state).
    pub hard_state: Vec<u8>,
    /// The log entries after the snapshot, in the order of their log index.
    pub entries: Vec<Vec<u8>>,
    /// The snapshot of the table that the log continues from. It is never empty, because a new group starts from one.
    pub snapshot: Vec<u8>,
}

impl PersistedState {
    /// The state that all voters of a new group start from. It contains the group's members, which the voters agree on
    /// before there is a log.
    ///
    /// # Errors
    /// If the table can't be encoded.
    pub fn initial(table: &LeaseTable) -> Result<PersistedState, VoterError> {
        let voters: Vec<u64> = table.voters.keys().copied().collect();
        let table = LeaseTable { index: 1, ..table.clone() };
        let mut snapshot = Snapshot::default();
        let metadata = snapshot.mut_metadata();
        metadata.index = 1;
        metadata.term = 1;
        metadata.set_conf_state(ConfState::from((voters, vec![])));
        snapshot.data = encode_table(&table)?.into();
        let hard_state = HardState { term: 1, commit: 1, ..HardState::default() };
        Ok(PersistedState {
            hard_state: hard_state.write_to_bytes().map_err(VoterError::corrupt)?,
            entries: Vec::new(),
            snapshot: snapshot.write_to_bytes().map_err(VoterError::corrupt)?,
        })
    }

    /// Applies a batch in memory, with the result that [`Disk::persist`] must have on disk.
    ///
    /// # Errors
    /// If an entry can't be decoded. The state is unspecified then.
    pub fn apply(&mut self, batch: &PersistBatch) -> Result<(), VoterError> {
        if let Some(hard_state) = &batch.hard_state {
            self.hard_state.clone_from(hard_state);
        }
        if let Some((snapshot_index, snapshot)) = &batch.snapshot {
            self.snapshot.clone_from(snapshot);
            self.retain_entries(|index| index > *snapshot_index)?;
        }
        if let Some((first_index, _)) = batch.entries.first() {
            self.retain_entries(|index| index < *first_index)?;
            self.entries.extend(batch.entries.iter().map(|(_, entry)| entry.clone()));
        }
        Ok(())
    }

    fn retain_entries(&mut self, is_retained: impl Fn(u64) -> bool) -> Result<(), VoterError> {
        let mut retained = Vec::new();
        for bytes in std::mem::take(&mut self.entries) {
            let entry = Entry::parse_from_bytes(&bytes).map_err(VoterError::corrupt)?;
            if is_retained(entry.index) {
                retained.push(bytes);
            }
        }
        self.entries = retained;
        Ok(())
    }
}

pub(super) fn encode_table(table: &LeaseTable) -> Result<Vec<u8>, VoterError> {
    postcard::to_stdvec(table).map_err(VoterError::corrupt)
}

pub(super) fn decode_table(bytes: &[u8]) -> Result<LeaseTable, VoterError> {
    postcard::from_bytes(bytes).map_err(VoterError::corrupt)
}

/// The in-memory log, with the table and the group's members as of the last applied entry. The raft library reads the
/// log from here and obtains snapshots of the table for voters that lag behind.
pub(super) struct LogStorage {
    pub(super) log: MemStorage,
    pub(super) table: LeaseTable,
    pub(super) conf_state: ConfState,
}

impl Storage for LogStorage {
    fn initial_state(&self) -> raft::Result<RaftState> {
        self.log.initial_state()
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        context: GetEntriesContext,
    ) -> raft::Result<Vec<Entry>> {
        self.log.entries(low, high, max_size, context)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        self.log.term(index)
    }

    fn first_index(&self) -> raft::Result<u64> {
        self.log.first_index()
    }

    fn last_index(&self) -> raft::Result<u64> {
        self.log.last_index()
    }

    fn snapshot(&self, request_index: u64, _to: u64) -> raft::Result<Snapshot> {
        let unavailable = || raft::Error::Store(StorageError::SnapshotTemporarilyUnavailable);
        if self.table.index < request_index {
            return Err(unavailable());
        }
        let mut snapshot = Snapshot::default();
        let metadata = snapshot.mut_metadata();
        metadata.index = self.table.index;
        metadata.term = self.log.term(self.table.index)?;
        metadata.set_conf_state(self.conf_state.clone());
        let data = encode_table(&self.table).map_err(|_| unavailable())?;
        snapshot.data = data.into();
        Ok(snapshot)
    }
}
