//! The requests that a connection has carried of late. A retry has the id of the attempt before it: on the same
//! connection, what the engine still sends of that one would be taken for the retry's.

use crate::clock::Micros;
use std::collections::{HashSet, VecDeque};

/// An engine's late answer comes within this time of the attempt.
const RETENTION: Micros = Micros(30_000_000);
/// The most requests that are remembered.
const MAX_REQUESTS: usize = 1024;

/// The requests that a connection has carried of late.
#[derive(Debug, Default)]
pub(super) struct CarriedRequests {
    names: HashSet<String>,
    by_age: VecDeque<(Micros, String)>,
}

impl CarriedRequests {
    /// The connection carries a request from now on.
    pub(super) fn insert(&mut self, now: Micros, name: &str) {
        self.forget_old(now);
        if self.names.insert(name.to_owned()) {
            self.by_age.push_back((now, name.to_owned()));
        }
    }

    /// Whether it has carried a request of this name.
    pub(super) fn contains(&self, name: &str) -> bool {
        self.names.contains(name)
    }

    fn forget_old(&mut self, now: Micros) {
        let is_old = |at: Micros| now - at > RETENTION;
        while self.by_age.front().is_some_and(|(at, _)| is_old(*at)) || self.by_age.len() >= MAX_REQUESTS {
            let Some((_, name)) = self.by_age.pop_front() else { return };
            self.names.remove(&name);
        }
    }
}

#[cfg(test)]
mod tests;
