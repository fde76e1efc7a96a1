//! A simulated manager with its node, disk and clock.

use super::LEASES;
use super::fleet::Event;
use crate::lease_holder::Micros;
use crate::node::{Input, Node, Output, VoterDisk, VoterIdentity};
use crate::voter::{Disk, PersistBatch, PersistedState};

/// Storage of a voter in memory. It outlives crashes of the manager.
#[derive(Debug, Clone)]
pub(super) struct MemoryDisk {
    identity: VoterIdentity,
    state: Option<PersistedState>,
    /// The state before the last write, to which a crash reverts the disk if durability is disabled.
    previous_state: Option<PersistedState>,
    /// While set, writes fail. A restart of the manager clears it.
    is_full: bool,
}

impl MemoryDisk {
    pub(super) fn new(id: u64) -> MemoryDisk {
        MemoryDisk {
            identity: VoterIdentity { id, founded: false },
            state: None,
            previous_state: None,
            is_full: false,
        }
    }

    pub(super) fn is_initialized(&self) -> bool {
        self.state.is_some()
    }

    pub(super) fn set_full(&mut self, is_full: bool) {
        self.is_full = is_full;
    }

    /// Reverts the last write, as if it had not been durable.
    pub(super) fn revert_last_write(&mut self) {
        if self.previous_state.is_some() {
            self.state = self.previous_state.take();
        }
    }
}

impl Disk for MemoryDisk {
    fn persist(&mut self, batch: &PersistBatch) -> Result<(), String> {
        if self.is_full {
            return Err("simulated disk write failed: no space left".to_owned());
        }
        self.previous_state.clone_from(&self.state);
        let state = self.state.as_mut().ok_or("simulated disk write failed: voter has not joined a group")?;
        state.apply(batch).map_err(|error| error.to_string())
    }
}

impl VoterDisk for MemoryDisk {
    fn identity(&self) -> VoterIdentity {
        self.identity.clone()
    }

    fn initialize(&mut self, state: &PersistedState) -> Result<(), String> {
        self.state = Some(state.clone());
        self.identity.founded = true;
        Ok(())
    }

    fn load(&self) -> Result<PersistedState, String> {
        self.state.clone().ok_or("simulated disk read failed: voter has not joined a group".to_owned())
    }
}

/// The monotonic clock of a manager. Local time is true time * rate + offset.
#[derive(Debug, Clone, Copy)]
pub(super) struct LocalClock {
    pub(super) rate: f64,
    pub(super) offset_us: u64,
}

impl LocalClock {
    pub(super) fn local_time(self, true_time: Micros) -> Micros {
        (true_time as f64 * self.rate) as Micros + self.offset_us
    }

    /// The first moment of true time at which the clock shows `local_time`.
    pub(super) fn true_time(self, local_time: Micros) -> Micros {
        (local_time.saturating_sub(self.offset_us) as f64 / self.rate) as Micros
    }
}

/// An operation that a manager may begin now, because it holds the lease.
pub(super) struct PermittedOperation {
    /// Index of the lease.
    pub(super) lease: usize,
    pub(super) fencing_token: u64,
}

/// A simulated manager. The disk, the clock and the incarnation number outlive its restarts.
pub(super) struct Manager {
    /// `None` while the manager is down.
    pub(super) node: Option<Node>,
    /// `None` if the manager is not a voter.
    pub(super) disk: Option<MemoryDisk>,
    pub(super) clock: LocalClock,
    /// Number of the latest incarnation; 0 before the first start.
    pub(super) incarnation: u64,
    pub(super) suspended_until: Micros,
    /// Events that arrived while the manager was suspended.
    pub(super) deferred_events: Vec<Event>,
}

impl Manager {
    pub(super) fn new(disk: Option<MemoryDisk>, clock: LocalClock) -> Manager {
        Manager { node: None, disk, clock, incarnation: 0, suspended_until: 0, deferred_events: Vec::new() }
    }

    /// Passes an input to the node and returns the outputs. Does nothing while the manager is down.
    pub(super) fn handle(&mut self, now: Micros, input: Input<'_>) -> Vec<Output> {
        let mut outputs = Vec::new();
        if let Some(node) = &mut self.node {
            let disk = self.disk.as_mut().map(|disk| disk as &mut dyn VoterDisk);
            node.handle(self.clock.local_time(now), input, disk, &mut outputs);
        }
        outputs
    }

    /// The operations that this manager may begin now, at most one for each lease.
    pub(super) fn permitted_operations(&self, now: Micros) -> Vec<PermittedOperation> {
        let Some(node) = &self.node else { return Vec::new() };
        let local_time = self.clock.local_time(now);
        let permitted = |lease: usize| {
            let fencing_token = node.holder().fencing_token_for_operation(LEASES[lease], local_time)?;
            Some(PermittedOperation { lease, fencing_token })
        };
        (0..LEASES.len()).filter_map(permitted).collect()
    }
}
