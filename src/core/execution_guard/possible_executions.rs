//! Possibly executed attempts of recent requests, by identity. A request that a client resends or retries is a new
//! request for the scheduler, but its statement has the same effect, so the attempts of the earlier request count
//! too.

use super::Identity;
use crate::clock::Micros;
use crate::core::AttemptId;
use crate::decision::{CellId, ZoneId};
use std::collections::hash_map::Entry;
use std::collections::{HashMap, VecDeque};
use std::hash::{BuildHasher, RandomState};

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

/// A hash of an identity with 128 bits, so that no two identities of recent requests have the same. It is stored instead
/// of the identity, whose length clients choose.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Fingerprint([u64; 2]);

/// The first possibly executed attempts by identity, bounded by age and number.
#[derive(Debug, Default)]
pub(super) struct PossibleExecutions {
    by_identity: HashMap<Fingerprint, PossibleExecution>,
    /// Start time and identity of the entries, oldest first. May contain entries that are already removed.
    by_age: VecDeque<(Micros, Fingerprint)>,
    /// Two independent hash functions with random keys, which clients can't know.
    hash_functions: [RandomState; 2],
}

impl PossibleExecutions {
    fn fingerprint(&self, identity: &Identity) -> Fingerprint {
        Fingerprint(self.hash_functions.each_ref().map(|function| function.hash_one(identity)))
    }

    /// Returns the first possibly executed attempt under an identity.
    pub(super) fn get(&self, identity: &Identity) -> Option<PossibleExecution> {
        self.by_identity.get(&self.fingerprint(identity)).copied()
    }

    /// Records a possibly executed attempt. An existing entry of the identity stays, because the first one counts.
    pub(super) fn insert(&mut self, identity: &Identity, execution: PossibleExecution) {
        self.evict(execution.started_at);
        let fingerprint = self.fingerprint(identity);
        if let Entry::Vacant(entry) = self.by_identity.entry(fingerprint) {
            entry.insert(execution);
            self.by_age.push_back((execution.started_at, fingerprint));
        }
    }

    /// Removes the entry of an attempt that was never executed.
    pub(super) fn remove(&mut self, identity: &Identity, attempt: AttemptId) {
        let fingerprint = self.fingerprint(identity);
        if self.by_identity.get(&fingerprint).is_some_and(|execution| execution.attempt == attempt) {
            self.by_identity.remove(&fingerprint);
        }
    }

    /// Removes expired entries, and evicts the oldest ones while the maximum number is reached.
    fn evict(&mut self, now: Micros) {
        let is_old = |at: Micros| now - at > RETENTION;
        while self.by_age.front().is_some_and(|(at, _)| is_old(*at)) || self.by_age.len() >= MAX_ENTRIES {
            let Some((at, fingerprint)) = self.by_age.pop_front() else { return };
            // The entry may have been removed and another one inserted for the same identity.
            if self.by_identity.get(&fingerprint).is_some_and(|execution| execution.started_at == at) {
                self.by_identity.remove(&fingerprint);
            }
        }
    }
}
