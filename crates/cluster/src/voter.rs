//! A voter: the raft library's state machine with its log in memory, and a [`Disk`] that has each promise before it is
//! spoken. What it decides comes out as proposals in one order, the same at every voter.

use crate::lease::{Proposal, Table};
use protobuf::Message as _;
use raft::eraftpb::{
    ConfChangeSingle, ConfChangeType, ConfChangeV2, ConfState, Entry, EntryType, HardState, Message, Snapshot,
};
use raft::storage::MemStorage;
use raft::{Config, GetEntriesContext, RaftState, RawNode, StateRole, Storage, StorageError};
use slog::{Logger, o};
use thiserror::Error;

/// Time between two ticks, in microseconds.
pub const TICK_US: u64 = 50_000;
/// A leader that is not heard for 10 ticks (0.5 s) and more is replaced; it speaks every 2 (0.1 s).
const TICKS: (usize, usize) = (10, 2);
/// Voters wait 2 ticks longer one after another, in the order of their numbers in the group as it is now: two do not
/// stand for election at once, and a play from a seed is the same each time. (The library's own spread draws from the
/// system.)
const APART: usize = 2;
/// Places of that order: a group has 7 voters at most, and one that is let in comes after its old number went.
const PLACES: usize = 7;
/// Bytes of log in one message.
const MOST_BYTES: u64 = 64 * 1024;
/// Messages with log that one voter may owe its word for.
const IN_FLIGHT: usize = 64;
/// Entries that the log keeps behind what is carried out; the table stands for the rest.
const LOG_KEPT: u64 = 1024;

/// Why a voter can't go on.
#[derive(Debug, Error)]
pub enum Failed {
    /// Nothing that it promised from here on would outlive it.
    #[error("a promise can't be kept: {0}")]
    Disk(String),
    /// What the disk held can't be used.
    #[error("what was kept can't be used: {0}")]
    Kept(String),
    /// The library refused something.
    #[error("{0}")]
    Raft(#[from] raft::Error),
}

/// What is to be kept before anything that rests on it is said. All of it or none.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Batch {
    /// Term, vote and commit, where they changed.
    pub hard_state: Option<Vec<u8>>,
    /// Entries by their place in the log. What was kept from the first of them on goes.
    pub entries: Vec<(u64, Vec<u8>)>,
    /// A table with its place in the log, where it changed. What was kept up to there may go.
    pub snapshot: Option<(u64, Vec<u8>)>,
}

impl Batch {
    fn is_empty(&self) -> bool {
        self.hard_state.is_none() && self.entries.is_empty() && self.snapshot.is_none()
    }
}

/// Where a voter's promises are kept.
pub trait Disk {
    /// Returns once all of it would be there after a loss of power.
    fn keep(&mut self, batch: &Batch) -> Result<(), String>;
}

/// What a disk holds at a start.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Kept {
    /// Term, vote and commit.
    pub hard_state: Vec<u8>,
    /// The log from the snapshot on.
    pub entries: Vec<Vec<u8>>,
    /// The table that the log goes on from. There is always one: a voter begins with it.
    pub snapshot: Vec<u8>,
}

impl Kept {
    /// What all voters of a new group begin with: the group itself, agreed on before there is a log.
    pub fn first(table: &Table) -> Result<Kept, Failed> {
        let mut snapshot = Snapshot::default();
        snapshot.mut_metadata().index = 1;
        snapshot.mut_metadata().term = 1;
        snapshot
            .mut_metadata()
            .set_conf_state(ConfState::from((table.voters.keys().copied().collect::<Vec<_>>(), vec![])));
        let table = Table { index: 1, ..table.clone() };
        snapshot.data = pack(&table)?.into();
        let hard_state = HardState { term: 1, commit: 1, ..HardState::default() };
        let bytes = |error: protobuf::ProtobufError| Failed::Kept(error.to_string());
        Ok(Kept {
            hard_state: hard_state.write_to_bytes().map_err(bytes)?,
            entries: Vec::new(),
            snapshot: snapshot.write_to_bytes().map_err(bytes)?,
        })
    }

    /// Takes a batch in, as a disk does.
    pub fn take(&mut self, batch: &Batch) -> Result<(), Failed> {
        let bytes = |error: protobuf::ProtobufError| Failed::Kept(error.to_string());
        if let Some(state) = &batch.hard_state {
            self.hard_state.clone_from(state);
        }
        if let Some((index, snapshot)) = &batch.snapshot {
            self.snapshot.clone_from(snapshot);
            let mut kept = Vec::new();
            for entry in std::mem::take(&mut self.entries) {
                if Entry::parse_from_bytes(&entry).map_err(bytes)?.index > *index {
                    kept.push(entry);
                }
            }
            self.entries = kept;
        }
        if let Some((first, _)) = batch.entries.first() {
            let mut kept = Vec::new();
            for entry in std::mem::take(&mut self.entries) {
                if Entry::parse_from_bytes(&entry).map_err(bytes)?.index < *first {
                    kept.push(entry);
                }
            }
            kept.extend(batch.entries.iter().map(|(_, entry)| entry.clone()));
            self.entries = kept;
        }
        Ok(())
    }
}

fn pack(table: &Table) -> Result<Vec<u8>, Failed> {
    postcard::to_stdvec(table).map_err(|error| Failed::Kept(error.to_string()))
}

fn unpack(bytes: &[u8]) -> Result<Table, Failed> {
    postcard::from_bytes(bytes).map_err(|error| Failed::Kept(error.to_string()))
}

/// The log in memory, and the table as it stands at the last entry that was carried out.
struct Log {
    inner: MemStorage,
    table: Table,
    conf: ConfState,
}

impl Storage for Log {
    fn initial_state(&self) -> raft::Result<RaftState> {
        self.inner.initial_state()
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max: impl Into<Option<u64>>,
        context: GetEntriesContext,
    ) -> raft::Result<Vec<Entry>> {
        self.inner.entries(low, high, max, context)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        self.inner.term(index)
    }

    fn first_index(&self) -> raft::Result<u64> {
        self.inner.first_index()
    }

    fn last_index(&self) -> raft::Result<u64> {
        self.inner.last_index()
    }

    fn snapshot(&self, request_index: u64, _to: u64) -> raft::Result<Snapshot> {
        if self.table.index < request_index {
            return Err(raft::Error::Store(StorageError::SnapshotTemporarilyUnavailable));
        }
        let mut snapshot = Snapshot::default();
        snapshot.mut_metadata().index = self.table.index;
        snapshot.mut_metadata().term = self.inner.term(self.table.index)?;
        snapshot.mut_metadata().set_conf_state(self.conf.clone());
        let data = pack(&self.table)
            .map_err(|_| raft::Error::Store(StorageError::SnapshotTemporarilyUnavailable))?;
        snapshot.data = data.into();
        Ok(snapshot)
    }
}

/// What a voter did in one turn.
#[derive(Debug, Default)]
pub struct Turn {
    /// Messages for other voters, by number. What they rest on is on the disk.
    pub messages: Vec<(u64, Vec<u8>)>,
    /// Proposals that were carried out, with what became of them.
    pub done: Vec<(Proposal, crate::lease::Verdict)>,
    /// The table has changed.
    pub changed: bool,
}

/// One voter.
pub struct Voter {
    node: RawNode<Log>,
    id: u64,
    kept_snapshot: u64,
}

impl std::fmt::Debug for Voter {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        out.debug_struct("Voter").field("id", &self.id).field("term", &self.term()).finish_non_exhaustive()
    }
}

impl Voter {
    /// Goes on from what a disk held.
    pub fn start(id: u64, kept: &Kept, pre_vote: bool) -> Result<Voter, Failed> {
        let bad = |error: protobuf::ProtobufError| Failed::Kept(error.to_string());
        let snapshot = Snapshot::parse_from_bytes(&kept.snapshot).map_err(bad)?;
        let table = unpack(&snapshot.data)?;
        let hard_state = HardState::parse_from_bytes(&kept.hard_state).map_err(bad)?;
        let entries: Result<Vec<Entry>, _> =
            kept.entries.iter().map(|entry| Entry::parse_from_bytes(entry)).collect();
        let (entries, index) = (entries.map_err(bad)?, snapshot.get_metadata().index);
        let together = entries.iter().zip(index + 1..).all(|(entry, at)| entry.index == at);
        let last = entries.last().map_or(index, |entry| entry.index);
        if !together || hard_state.commit < index || hard_state.commit > last {
            return Err(Failed::Kept("the log has a hole".to_owned()));
        }
        let conf = snapshot.get_metadata().get_conf_state().clone();
        let inner = MemStorage::new();
        inner.wl().apply_snapshot(snapshot)?;
        inner.wl().append(&entries)?;
        inner.wl().set_hardstate(hard_state);
        let config = Config {
            id,
            election_tick: TICKS.0,
            heartbeat_tick: TICKS.1,
            min_election_tick: TICKS.0,
            max_election_tick: TICKS.0 + PLACES * APART,
            applied: index,
            max_size_per_msg: MOST_BYTES,
            max_inflight_msgs: IN_FLIGHT,
            check_quorum: true,
            pre_vote,
            ..Config::default()
        };
        let node = RawNode::new(&config, Log { inner, table, conf }, &Logger::root(slog::Discard, o!()))?;
        Ok(Voter { node, id, kept_snapshot: index })
    }

    /// Its number.
    pub fn id(&self) -> u64 {
        self.id
    }

    /// The table as far as it is carried out here.
    pub fn table(&self) -> &Table {
        &self.node.store().table
    }

    /// Whether it leads.
    pub fn leads(&self) -> bool {
        self.node.raft.state == StateRole::Leader
    }

    /// Whether the group has it, as far as it knows: one that was just let in has yet to get the log.
    pub fn is_member(&self) -> bool {
        self.table().voters.contains_key(&self.id)
    }

    /// The leader that it knows of.
    pub fn leader(&self) -> Option<u64> {
        Some(self.node.raft.leader_id).filter(|id| *id != 0)
    }

    /// The term that it is in.
    pub fn term(&self) -> u64 {
        self.node.raft.term
    }

    /// [`TICK_US`] have passed.
    pub fn tick(&mut self) {
        // The library draws its time anew at each change of term; what holds is what stands when it counts.
        let place = self.table().voters.keys().position(|voter| *voter == self.id).unwrap_or(0);
        self.node.raft.set_randomized_election_timeout(TICKS.0 + place % PLACES * APART);
        self.node.tick();
    }

    /// A message of another voter's. One that can't be read, or makes no sense, is refused and changes nothing.
    pub fn step(&mut self, bytes: &[u8]) -> Result<(), Failed> {
        let message = Message::parse_from_bytes(bytes).map_err(|error| Failed::Kept(error.to_string()))?;
        if message.to != self.id
            || !self.table().voters.contains_key(&message.from)
            || raft::raw_node::is_local_msg(message.msg_type)
        {
            return Err(Failed::Kept("not from a voter to this one".to_owned()));
        }
        // Guards against a leader's log that names what this one never had: the library ends the program on it.
        if message.commit > self.node.raft.raft_log.last_index()
            && message.msg_type == raft::eraftpb::MessageType::MsgHeartbeat
        {
            return Err(Failed::Kept("a commit beyond the log".to_owned()));
        }
        Ok(self.node.step(message)?)
    }

    /// Puts a proposal to the voters. Whether it is carried out shows later, or never.
    pub fn propose(&mut self, proposal: &Proposal) -> Result<(), Failed> {
        let data = postcard::to_stdvec(proposal).map_err(|error| Failed::Kept(error.to_string()))?;
        Ok(self.node.propose(Vec::new(), data)?)
    }

    /// Adds a voter, or takes one out, while the others go on. Only the leader can.
    pub fn change_voters(&mut self, id: u64, name: Option<&str>) -> Result<(), Failed> {
        let change_type = if name.is_some() { ConfChangeType::AddNode } else { ConfChangeType::RemoveNode };
        let change = ConfChangeSingle { change_type, node_id: id, ..ConfChangeSingle::default() };
        let mut all = ConfChangeV2::default();
        all.set_changes(vec![change].into());
        let context = name.unwrap_or_default().as_bytes().to_vec();
        all.context = context.into();
        Ok(self.node.propose_conf_change(Vec::new(), all)?)
    }

    /// Asks another voter to lead.
    pub fn hand_lead_to(&mut self, id: u64) {
        self.node.transfer_leader(id);
    }

    /// Does all that is due: keeps what is promised, then says it, and carries out what is decided.
    ///
    /// # Errors
    /// Where the disk fails: nothing that rests on it is said, and the voter must not go on.
    pub fn turn(&mut self, disk: &mut dyn Disk) -> Result<Turn, Failed> {
        let mut turn = Turn::default();
        while self.node.has_ready() {
            let mut ready = self.node.ready();
            let bad = |error: protobuf::ProtobufError| Failed::Kept(error.to_string());
            let mut messages = ready.take_messages();
            let mut batch = Batch::default();
            if *ready.snapshot() != Snapshot::default() {
                let snapshot = ready.snapshot().clone();
                batch.snapshot =
                    Some((snapshot.get_metadata().index, snapshot.write_to_bytes().map_err(bad)?));
                self.kept_snapshot = snapshot.get_metadata().index;
                let table = unpack(&snapshot.data)?;
                let store = self.node.mut_store();
                (store.table, store.conf) = (table, snapshot.get_metadata().get_conf_state().clone());
                store.inner.wl().apply_snapshot(snapshot)?;
                turn.changed = true;
            }
            for entry in ready.entries() {
                batch.entries.push((entry.index, entry.write_to_bytes().map_err(bad)?));
            }
            self.node.mut_store().inner.wl().append(ready.entries())?;
            if let Some(state) = ready.hs() {
                batch.hard_state = Some(state.write_to_bytes().map_err(bad)?);
                self.node.mut_store().inner.wl().set_hardstate(state.clone());
            }
            if !batch.is_empty() {
                disk.keep(&batch).map_err(Failed::Disk)?;
            }
            messages.extend(ready.take_persisted_messages());
            let committed = ready.take_committed_entries();
            self.carry_out(committed, &mut turn)?;
            let mut light = self.node.advance(ready);
            if let Some(commit) = light.commit_index() {
                self.node.mut_store().inner.wl().mut_hard_state().commit = commit;
            }
            messages.extend(light.take_messages());
            self.carry_out(light.take_committed_entries(), &mut turn)?;
            self.node.advance_apply();
            for message in messages {
                turn.messages.push((message.to, message.write_to_bytes().map_err(bad)?));
            }
            self.shorten(disk)?;
        }
        Ok(turn)
    }

    fn carry_out(&mut self, entries: Vec<Entry>, turn: &mut Turn) -> Result<(), Failed> {
        for entry in entries {
            turn.changed = true;
            match entry.get_entry_type() {
                EntryType::EntryNormal if entry.data.is_empty() => {
                    self.node.mut_store().table.index = entry.index
                }
                EntryType::EntryNormal => match postcard::from_bytes::<Proposal>(&entry.data) {
                    Ok(proposal) => {
                        let verdict = self.node.mut_store().table.apply(entry.index, &proposal);
                        turn.done.push((proposal, verdict));
                    }
                    // Of a later version: every voter of this one passes it over.
                    Err(_) => self.node.mut_store().table.index = entry.index,
                },
                EntryType::EntryConfChangeV2 | EntryType::EntryConfChange => {
                    let change = ConfChangeV2::parse_from_bytes(&entry.data)
                        .map_err(|error| Failed::Kept(error.to_string()))?;
                    let conf = self.node.apply_conf_change(&change)?;
                    let store = self.node.mut_store();
                    store.inner.wl().set_conf_state(conf.clone());
                    store.conf = conf;
                    store.table.index = entry.index;
                    for one in change.get_changes() {
                        match one.get_change_type() {
                            ConfChangeType::RemoveNode => drop(store.table.voters.remove(&one.node_id)),
                            _ => {
                                let name = String::from_utf8_lossy(&change.context).into_owned();
                                store.table.voters.insert(one.node_id, name);
                            }
                        }
                    }
                }
            }
        }
        Ok(())
    }

    /// Lets the table stand for the older part of the log.
    fn shorten(&mut self, disk: &mut dyn Disk) -> Result<(), Failed> {
        let index = self.table().index;
        if index < self.kept_snapshot + 2 * LOG_KEPT {
            return Ok(());
        }
        let snapshot = self.node.store().snapshot(index, 0)?;
        let bytes = snapshot.write_to_bytes().map_err(|error| Failed::Kept(error.to_string()))?;
        let hard_state = self.node.store().initial_state()?.hard_state;
        let hard_state = hard_state.write_to_bytes().map_err(|error| Failed::Kept(error.to_string()))?;
        let batch =
            Batch { hard_state: Some(hard_state), snapshot: Some((index, bytes)), ..Batch::default() };
        disk.keep(&batch).map_err(Failed::Disk)?;
        self.node.mut_store().inner.wl().compact(index - LOG_KEPT)?;
        self.kept_snapshot = index;
        Ok(())
    }
}

#[cfg(test)]
mod tests;
