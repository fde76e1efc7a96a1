//! Possibly executed attempts of recent requests, by identity. A request that a client resends or retries is a new
//! request for the scheduler, but its statement has the same effect, so the attempts of the earlier request count
//! too.

use super::Identity;
use crate::clock::Micros;
use crate::core::AttemptId;
use crate::decision::{CellId, ZoneId};
use std::collections::{HashMap, VecDeque};

/// The time after which an entry expires. It is longer than clients retry a request.
const RETENTION: Micros = Micros(120_000_000);
/// The maximum number of entries. The oldest entry is evicted when it is reached.
const MAX_ENTRIES: usize = 16_384;

/// The first possibly executed attempt under an identity.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::core) struct PossibleExecution {
    pub(in crate::core) attempt: AttemptId,
    pub(in crate::core) started_at: Micros,
    /// The zone of the attempt's engine.
    pub(in crate::core) zone: ZoneId,
    /// The cell of the attempt's engine; `None` if unknown.
    pub(in crate::core) cell: Option<CellId>,
}

/// The first possibly executed attempts by identity, bounded by age and number.
#[derive(Debug, Default)]
pub(super) struct PossibleExecutions {
    by_identity: HashMap<Identity, PossibleExecution>,
    /// Start time and identity of the entries, oldest first. May contain entries that are already removed.
    by_age: VecDeque<(Micros, Identity)>,
}

impl PossibleExecutions {
    /// Returns the first possibly executed attempt under an identity.
    pub(super) fn get(&self, identity: &Identity) -> Option<PossibleExecution> {
        self.by_identity.get(identity).copied()
    }

    /// Records a possibly executed attempt. An existing entry of the identity stays, because the first one counts.
    pub(super) fn insert(&mut self, identity: Identity, execution: PossibleExecution) {
        self.evict(execution.started_at);
        if !self.by_identity.contains_key(&identity) {
            self.by_age.push_back((execution.started_at, identity.clone()));
            self.by_identity.insert(identity, execution);
        }
    }

    /// Removes the entry of an attempt that was never executed.
    pub(super) fn remove(&mut self, identity: &Identity, attempt: AttemptId) {
        if self.by_identity.get(identity).is_some_and(|execution| execution.attempt == attempt) {
            self.by_identity.remove(identity);
        }
    }

    /// Removes expired entries, and evicts the oldest ones while the maximum number is reached.
    fn evict(&mut self, now: Micros) {
        let is_old = |at: Micros| now - at > RETENTION;
        while self.by_age.front().is_some_and(|(at, _)| is_old(*at)) || self.by_age.len() >= MAX_ENTRIES {
            let Some((at, identity)) = self.by_age.pop_front() else { return };
            // The entry may have been removed and another one inserted for the same identity.
            if self.by_identity.get(&identity).is_some_and(|execution| execution.started_at == at) {
                self.by_identity.remove(&identity);
            }
        }
    }
}
