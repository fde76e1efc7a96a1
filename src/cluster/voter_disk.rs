//! Durable storage of the node's voter in a file.

use sanddyke_cluster::{Disk, PersistBatch, PersistedState, VoterDisk, VoterIdentity};
use sanddyke_store::StoreError;
use sanddyke_store::voter_file::{VoterFile, VoterState, VoterUpdate};
use std::path::Path;

/// Storage of a voter in the voter file of the store.
pub struct FileVoterDisk(VoterFile);

impl FileVoterDisk {
    /// Opens the voter file. Creates it with a random voter id if it does not exist.
    ///
    /// # Errors
    /// If the file can't be created, is in use, or is corrupted.
    pub fn open(path: &Path) -> Result<FileVoterDisk, StoreError> {
        let mut id = [0; 8];
        getrandom::fill(&mut id).map_err(|error| StoreError::Write(error.to_string()))?;
        // The raft library reserves the id 0.
        let id = u64::from_le_bytes(id) | 1;
        VoterFile::open(path, id).map(FileVoterDisk)
    }
}

impl Disk for FileVoterDisk {
    fn persist(&mut self, batch: &PersistBatch) -> Result<(), String> {
        let update = VoterUpdate {
            hard_state: batch.hard_state.as_deref(),
            entries: &batch.entries,
            snapshot: batch.snapshot.as_ref().map(|(index, snapshot)| (*index, snapshot.as_slice())),
        };
        self.0.store(&update).map_err(|error| error.to_string())
    }
}

impl VoterDisk for FileVoterDisk {
    fn identity(&self) -> VoterIdentity {
        let (id, founded) = self.0.identity();
        VoterIdentity { id, founded }
    }

    fn initialize(&mut self, state: &PersistedState) -> Result<(), String> {
        let PersistedState { hard_state, entries, snapshot } = state.clone();
        self.0.initialize(&VoterState { hard_state, entries, snapshot }).map_err(|error| error.to_string())
    }

    fn load(&self) -> Result<PersistedState, String> {
        let state = self.0.state().map_err(|error| error.to_string())?;
        let VoterState { hard_state, entries, snapshot } = state;
        Ok(PersistedState { hard_state, entries, snapshot })
    }
}
