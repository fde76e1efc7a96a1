//! What was possibly executed of late, by what a request is recognised by: a client that comes again is another request
//! to the decision module, but not to what its statement does.

use super::Identity;
use crate::clock::Micros;
use crate::core::AttemptId;
use crate::decision::{CellId, ZoneId};
use std::collections::{HashMap, VecDeque};

/// Longer than clients retry a request.
const RETENTION: Micros = Micros(120_000_000);
/// The most executions that are remembered.
const MAX_EXECUTIONS: usize = 16_384;

/// The first attempt that a request was possibly executed by.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::core) struct Execution {
    pub(in crate::core) attempt: AttemptId,
    pub(in crate::core) started_at: Micros,
    pub(in crate::core) zone: ZoneId,
    pub(in crate::core) cell: Option<CellId>,
}

/// What was possibly executed of late.
#[derive(Debug, Default)]
pub(super) struct Executions {
    by_identity: HashMap<Identity, Execution>,
    by_age: VecDeque<(Micros, Identity)>,
}

impl Executions {
    /// The first execution under an identity.
    pub(super) fn get(&self, identity: &Identity) -> Option<Execution> {
        self.by_identity.get(identity).copied()
    }

    /// Something is possibly executed from now on. The first execution under an identity stays.
    pub(super) fn insert(&mut self, identity: Identity, execution: Execution) {
        self.forget_old(execution.started_at);
        if !self.by_identity.contains_key(&identity) {
            self.by_age.push_back((execution.started_at, identity.clone()));
            self.by_identity.insert(identity, execution);
        }
    }

    /// An attempt was never executed after all.
    pub(super) fn remove(&mut self, identity: &Identity, attempt: AttemptId) {
        if self.by_identity.get(identity).is_some_and(|execution| execution.attempt == attempt) {
            self.by_identity.remove(identity);
        }
    }

    fn forget_old(&mut self, now: Micros) {
        let is_old = |at: Micros| now - at > RETENTION;
        while self.by_age.front().is_some_and(|(at, _)| is_old(*at)) || self.by_age.len() >= MAX_EXECUTIONS {
            let Some((at, identity)) = self.by_age.pop_front() else { return };
            // It may have been removed, and another one inserted since.
            if self.by_identity.get(&identity).is_some_and(|execution| execution.started_at == at) {
                self.by_identity.remove(&identity);
            }
        }
    }
}
