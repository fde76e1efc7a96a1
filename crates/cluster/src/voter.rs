//! A voter of the Raft group that orders lease grants. All voters apply the same proposals in the same order.
//!
//! It drives the raft library's state machine. The log is in memory, and a [`Disk`] persists each change before any
//! message that depends on the change is sent.

mod storage;

pub use storage::{Disk, PersistBatch, PersistedState};

use crate::lease::{LeaseOutcome, LeaseTable, Proposal};
use protobuf::Message as _;
use raft::eraftpb::{
    ConfChangeSingle, ConfChangeType, ConfChangeV2, Entry, EntryType, HardState, Message, MessageType,
    Snapshot,
};
use raft::storage::MemStorage;
use raft::{Config, RawNode, StateRole, Storage};
use slog::{Logger, o};
use storage::{LogStorage, decode_table};
use thiserror::Error;

/// Interval between two ticks of a voter, in microseconds.
pub const TICK_US: u64 = 50_000;
/// Shortest election timeout, in ticks (0.5 s). A voter that receives no heartbeat for this long starts an election.
const ELECTION_TIMEOUT_TICKS: usize = 10;
/// Interval between two heartbeats of a leader, in ticks (0.1 s).
const HEARTBEAT_INTERVAL_TICKS: usize = 2;
/// Difference between the election timeouts of successive voters, in ticks. Voters are ordered by their ids in the
/// current group.
///
/// Different timeouts keep two voters from starting an election at the same tick. The library randomizes the timeouts
/// with the system's random numbers, which would make simulations irreproducible.
const ELECTION_STAGGER_TICKS: usize = 2;
/// Maximum number of voters in a group. A voter that is admitted under a new id does not exceed it, because its old id
/// is removed first.
const MAX_VOTERS: usize = 7;
/// Maximum size of log entries in one message, in bytes.
const MAX_MESSAGE_ENTRY_BYTES: u64 = 64 * 1024;
/// Maximum number of messages with log entries that are sent to one voter before it acknowledges them.
const MAX_UNACKNOWLEDGED_MESSAGES: usize = 64;
/// Number of applied entries that the log retains for voters that lag behind. The snapshot replaces older entries.
const RETAINED_ENTRIES: u64 = 1024;

/// Why a voter can no longer operate, or why it rejected an input. The texts of [`VoterError::Disk`] and
/// [`VoterError::Corrupt`] are shown in the `cluster:` log lines and by the administration API.
#[derive(Debug, Error)]
pub enum VoterError {
    /// A change could not be persisted. The voter must stop, because it must not acknowledge an entry or a vote that
    /// it could lose.
    #[error("a promise can't be kept: {0}")]
    Disk(String),
    /// Persisted or replicated data can't be decoded or is inconsistent, or a value can't be encoded.
    #[error("what was kept can't be used: {0}")]
    Corrupt(String),
    /// A message of another voter was rejected. It had no effect.
    #[error("message of a voter rejected: {0}")]
    InvalidMessage(String),
    /// The raft library rejected an operation.
    #[error("{0}")]
    Raft(#[from] raft::Error),
}

impl VoterError {
    fn corrupt(error: impl ToString) -> VoterError {
        VoterError::Corrupt(error.to_string())
    }
}

/// A message to another voter. All changes that it depends on are already persisted.
#[derive(Debug)]
pub struct VoterMessage {
    /// Id of the receiving voter.
    pub to: u64,
    /// The raft message, encoded with protobuf.
    pub bytes: Vec<u8>,
}

/// A proposal that was committed and then applied to the lease table.
#[derive(Debug)]
pub struct AppliedProposal {
    /// The proposal, as decoded from its log entry.
    pub proposal: Proposal,
    /// Whether the table accepted the proposal, or why not. It is the same at every voter.
    pub outcome: LeaseOutcome,
}

/// Output of one step of a voter.
#[derive(Debug, Default)]
pub struct VoterOutput {
    /// Messages to send to other voters. They may be lost.
    pub messages: Vec<VoterMessage>,
    /// Proposals that were applied, in the order of the log.
    pub applied: Vec<AppliedProposal>,
    /// Whether an entry or a snapshot was applied to the lease table, so that its index has changed.
    pub table_changed: bool,
}

/// A voter with its Raft state and its replica of the lease table.
pub struct Voter {
    raw_node: RawNode<LogStorage>,
    id: u64,
    /// Log index of the latest persisted snapshot.
    snapshot_index: u64,
}

impl std::fmt::Debug for Voter {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        out.debug_struct("Voter").field("id", &self.id).field("term", &self.term()).finish_non_exhaustive()
    }
}

impl Voter {
    /// Starts a voter from its persisted state.
    ///
    /// # Errors
    /// If the state can't be decoded, a log entry is missing, or the commit index is outside the log.
    pub fn start(id: u64, state: &PersistedState) -> Result<Voter, VoterError> {
        let snapshot = Snapshot::parse_from_bytes(&state.snapshot).map_err(VoterError::corrupt)?;
        let table = decode_table(&snapshot.data)?;
        let hard_state = HardState::parse_from_bytes(&state.hard_state).map_err(VoterError::corrupt)?;
        let entries: Vec<Entry> = state
            .entries
            .iter()
            .map(|entry| Entry::parse_from_bytes(entry))
            .collect::<Result<_, _>>()
            .map_err(VoterError::corrupt)?;
        let snapshot_index = snapshot.get_metadata().index;
        let is_contiguous =
            entries.iter().zip(snapshot_index + 1..).all(|(entry, index)| entry.index == index);
        let last_index = entries.last().map_or(snapshot_index, |entry| entry.index);
        if !is_contiguous || !(snapshot_index..=last_index).contains(&hard_state.commit) {
            return Err(VoterError::corrupt("the log has a hole"));
        }
        let conf_state = snapshot.get_metadata().get_conf_state().clone();
        let log = MemStorage::new();
        log.wl().apply_snapshot(snapshot)?;
        log.wl().append(&entries)?;
        log.wl().set_hardstate(hard_state);
        let config = raft_config(id, snapshot_index);
        let storage = LogStorage { log, table, conf_state };
        let raw_node = RawNode::new(&config, storage, &Logger::root(slog::Discard, o!()))?;
        Ok(Voter { raw_node, id, snapshot_index })
    }

    /// Id of this voter in the group.
    pub fn id(&self) -> u64 {
        self.id
    }

    /// The lease table as of the last log entry that this voter has applied.
    pub fn table(&self) -> &LeaseTable {
        &self.raw_node.store().table
    }

    /// Whether this voter is the leader in its current term. Another voter may lead in a later term already.
    pub fn is_leader(&self) -> bool {
        self.raw_node.raft.state == StateRole::Leader
    }

    /// Whether this voter is in the group, according to the entries that it has applied. A newly admitted voter is not
    /// until it has received the log.
    pub fn is_member(&self) -> bool {
        self.table().voters.contains_key(&self.id)
    }

    /// Id of the current leader; `None` if it is unknown, as during an election.
    pub fn leader(&self) -> Option<u64> {
        Some(self.raw_node.raft.leader_id).filter(|id| *id != raft::INVALID_ID)
    }

    /// Name of the current leader's manager; `None` if the leader is unknown or not in the table.
    pub fn leader_name(&self) -> Option<&String> {
        self.table().voters.get(&self.leader()?)
    }

    /// The current term. It grows with each election.
    pub fn term(&self) -> u64 {
        self.raw_node.raft.term
    }

    /// Advances the election and heartbeat timers by one tick. To be called every [`TICK_US`].
    pub fn tick(&mut self) {
        // The library chooses a random election timeout at each change of term. The timeout is compared in `tick`, so
        // it is set to this voter's own value right before.
        let position = self.table().voters.keys().position(|voter| *voter == self.id).unwrap_or(0);
        let timeout_ticks = ELECTION_TIMEOUT_TICKS + position % MAX_VOTERS * ELECTION_STAGGER_TICKS;
        self.raw_node.raft.set_randomized_election_timeout(timeout_ticks);
        self.raw_node.tick();
    }

    /// Handles a message of another voter.
    ///
    /// # Errors
    /// If the message can't be decoded, is not from a voter of the group to this voter, or is rejected by the library.
    /// A rejected message has no effect.
    pub fn step(&mut self, bytes: &[u8]) -> Result<(), VoterError> {
        let message = Message::parse_from_bytes(bytes)
            .map_err(|error| VoterError::InvalidMessage(error.to_string()))?;
        let is_from_voter = self.table().voters.contains_key(&message.from);
        if message.to != self.id || !is_from_voter || raft::raw_node::is_local_msg(message.msg_type) {
            return Err(VoterError::InvalidMessage(
                "not sent by a voter of the group to this voter".to_owned(),
            ));
        }
        // The library panics on a heartbeat whose commit index is beyond the end of this voter's log.
        if message.commit > self.raw_node.raft.raft_log.last_index()
            && message.msg_type == MessageType::MsgHeartbeat
        {
            return Err(VoterError::InvalidMessage(
                "commit index of a heartbeat is beyond the log".to_owned(),
            ));
        }
        Ok(self.raw_node.step(message)?)
    }

    /// Proposes a log entry. If it is committed, a later [`Voter::process_ready`] returns it. If it is lost, for
    /// example by a change of leader, this is not reported.
    ///
    /// # Errors
    /// If this voter is not the leader, or the library rejects the proposal.
    pub fn propose(&mut self, proposal: &Proposal) -> Result<(), VoterError> {
        let data = postcard::to_stdvec(proposal).map_err(VoterError::corrupt)?;
        Ok(self.raw_node.propose(Vec::new(), data)?)
    }

    /// Proposes to add a voter to the group. The group continues to commit entries meanwhile.
    ///
    /// # Errors
    /// If this voter is not the leader, or another change is in progress.
    pub fn add_voter(&mut self, id: u64, name: &str) -> Result<(), VoterError> {
        self.propose_change(ConfChangeType::AddNode, id, name)
    }

    /// Proposes to remove a voter from the group. The group continues to commit entries meanwhile.
    ///
    /// # Errors
    /// If this voter is not the leader, or another change is in progress.
    pub fn remove_voter(&mut self, id: u64) -> Result<(), VoterError> {
        self.propose_change(ConfChangeType::RemoveNode, id, "")
    }

    fn propose_change(&mut self, change_type: ConfChangeType, id: u64, name: &str) -> Result<(), VoterError> {
        let change = ConfChangeSingle { change_type, node_id: id, ..ConfChangeSingle::default() };
        let mut changes = ConfChangeV2::default();
        changes.set_changes(vec![change].into());
        changes.context = name.as_bytes().to_vec().into();
        Ok(self.raw_node.propose_conf_change(Vec::new(), changes)?)
    }

    /// Starts the transfer of leadership to another voter, if this one is the leader. The transfer is aborted if it
    /// does not succeed within an election timeout.
    pub fn transfer_leadership(&mut self, id: u64) {
        self.raw_node.transfer_leader(id);
    }

    /// Processes all pending work of the Raft state machine. It persists changes, then returns the messages that depend
    /// on them, and applies committed entries.
    ///
    /// # Errors
    /// If a change can't be persisted, or an entry can't be decoded. No message that depends on an unpersisted change
    /// is returned, and the voter must not be used any more.
    pub fn process_ready(&mut self, disk: &mut dyn Disk) -> Result<VoterOutput, VoterError> {
        let mut output = VoterOutput::default();
        while self.raw_node.has_ready() {
            self.process_one_ready(disk, &mut output)?;
            self.compact_log(disk)?;
        }
        Ok(output)
    }

    fn process_one_ready(&mut self, disk: &mut dyn Disk, output: &mut VoterOutput) -> Result<(), VoterError> {
        let mut ready = self.raw_node.ready();
        let mut messages = ready.take_messages();
        let mut batch = PersistBatch::default();
        if !ready.snapshot().is_empty() {
            batch.snapshot = Some(self.install_snapshot(ready.snapshot().clone())?);
            output.table_changed = true;
        }
        for entry in ready.entries() {
            batch.entries.push((entry.index, entry.write_to_bytes().map_err(VoterError::corrupt)?));
        }
        self.raw_node.store().log.wl().append(ready.entries())?;
        if let Some(hard_state) = ready.hs() {
            batch.hard_state = Some(hard_state.write_to_bytes().map_err(VoterError::corrupt)?);
            self.raw_node.store().log.wl().set_hardstate(hard_state.clone());
        }
        if !batch.is_empty() {
            disk.persist(&batch).map_err(VoterError::Disk)?;
        }
        messages.extend(ready.take_persisted_messages());
        let committed = ready.take_committed_entries();
        self.apply_committed(committed, output)?;
        let mut light_ready = self.raw_node.advance(ready);
        if let Some(commit_index) = light_ready.commit_index() {
            self.raw_node.store().log.wl().mut_hard_state().commit = commit_index;
        }
        messages.extend(light_ready.take_messages());
        self.apply_committed(light_ready.take_committed_entries(), output)?;
        self.raw_node.advance_apply();
        for message in messages {
            let bytes = message.write_to_bytes().map_err(VoterError::corrupt)?;
            output.messages.push(VoterMessage { to: message.to, bytes });
        }
        Ok(())
    }

    /// Replaces the table and the log by the leader's snapshot. Returns the snapshot's log index and encoded form.
    fn install_snapshot(&mut self, snapshot: Snapshot) -> Result<(u64, Vec<u8>), VoterError> {
        let index = snapshot.get_metadata().index;
        let bytes = snapshot.write_to_bytes().map_err(VoterError::corrupt)?;
        self.snapshot_index = index;
        let storage = self.raw_node.mut_store();
        storage.table = decode_table(&snapshot.data)?;
        storage.conf_state = snapshot.get_metadata().get_conf_state().clone();
        storage.log.wl().apply_snapshot(snapshot)?;
        Ok((index, bytes))
    }

    fn apply_committed(&mut self, entries: Vec<Entry>, output: &mut VoterOutput) -> Result<(), VoterError> {
        for entry in entries {
            output.table_changed = true;
            match entry.get_entry_type() {
                EntryType::EntryNormal => output.applied.extend(self.apply_entry(&entry)),
                EntryType::EntryConfChangeV2 | EntryType::EntryConfChange => {
                    self.apply_conf_change(&entry)?
                }
            }
        }
        Ok(())
    }

    fn apply_entry(&mut self, entry: &Entry) -> Option<AppliedProposal> {
        let table = &mut self.raw_node.mut_store().table;
        // A new leader's first entry is empty. An entry that can't be decoded was written by a later version of the
        // program. Every voter of this version skips it, so their tables stay equal.
        match postcard::from_bytes::<Proposal>(&entry.data) {
            Ok(proposal) if !entry.data.is_empty() => {
                let outcome = table.apply(entry.index, &proposal);
                Some(AppliedProposal { proposal, outcome })
            }
            _ => {
                table.index = entry.index;
                None
            }
        }
    }

    fn apply_conf_change(&mut self, entry: &Entry) -> Result<(), VoterError> {
        let changes = ConfChangeV2::parse_from_bytes(&entry.data).map_err(VoterError::corrupt)?;
        let conf_state = self.raw_node.apply_conf_change(&changes)?;
        let storage = self.raw_node.mut_store();
        storage.log.wl().set_conf_state(conf_state.clone());
        storage.conf_state = conf_state;
        storage.table.index = entry.index;
        for change in changes.get_changes() {
            match change.get_change_type() {
                ConfChangeType::RemoveNode => {
                    storage.table.voters.remove(&change.node_id);
                }
                ConfChangeType::AddNode | ConfChangeType::AddLearnerNode => {
                    let name = String::from_utf8_lossy(&changes.context).into_owned();
                    storage.table.voters.insert(change.node_id, name);
                }
            }
        }
        Ok(())
    }

    /// Persists a snapshot of the table and removes the older part of the log, once the log has grown to twice
    /// [`RETAINED_ENTRIES`] since the last snapshot.
    fn compact_log(&mut self, disk: &mut dyn Disk) -> Result<(), VoterError> {
        let index = self.table().index;
        if index < self.snapshot_index + 2 * RETAINED_ENTRIES {
            return Ok(());
        }
        let snapshot = self.raw_node.store().snapshot(index, 0)?;
        let snapshot = snapshot.write_to_bytes().map_err(VoterError::corrupt)?;
        let hard_state = self.raw_node.store().initial_state()?.hard_state;
        let hard_state = hard_state.write_to_bytes().map_err(VoterError::corrupt)?;
        let batch = PersistBatch {
            hard_state: Some(hard_state),
            entries: Vec::new(),
            snapshot: Some((index, snapshot)),
        };
        disk.persist(&batch).map_err(VoterError::Disk)?;
        self.raw_node.store().log.wl().compact(index - RETAINED_ENTRIES)?;
        self.snapshot_index = index;
        Ok(())
    }
}

fn raft_config(id: u64, applied: u64) -> Config {
    Config {
        id,
        election_tick: ELECTION_TIMEOUT_TICKS,
        heartbeat_tick: HEARTBEAT_INTERVAL_TICKS,
        min_election_tick: ELECTION_TIMEOUT_TICKS,
        max_election_tick: ELECTION_TIMEOUT_TICKS + MAX_VOTERS * ELECTION_STAGGER_TICKS,
        applied,
        max_size_per_msg: MAX_MESSAGE_ENTRY_BYTES,
        max_inflight_msgs: MAX_UNACKNOWLEDGED_MESSAGES,
        check_quorum: true,
        pre_vote: true,
        ..Config::default()
    }
}

#[cfg(test)]
mod tests;
