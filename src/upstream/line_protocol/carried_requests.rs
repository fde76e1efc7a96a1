//! The client request ids that a connection has recently carried. A retry has the client request id of the attempt
//! before it. On the same connection, late responses to that attempt would be taken for responses to the retry.

use crate::clock::Micros;
use std::collections::{HashSet, VecDeque};

/// Time after the start of an attempt within which late responses to it arrive.
const RETENTION: Micros = Micros(30_000_000);
/// Number of client request ids that are stored. The oldest one is evicted for a new one.
const MAX_REQUESTS: usize = 1024;

/// The client request ids that a connection has carried within [`RETENTION`].
#[derive(Debug, Default)]
pub(super) struct CarriedRequests {
    client_request_ids: HashSet<String>,
    by_age: VecDeque<(Micros, String)>,
}

impl CarriedRequests {
    /// Records that the connection carries a request from now on.
    pub(super) fn insert(&mut self, now: Micros, client_request_id: &str) {
        self.remove_expired(now);
        if self.client_request_ids.insert(client_request_id.to_owned()) {
            self.by_age.push_back((now, client_request_id.to_owned()));
        }
    }

    /// Returns whether the connection has recently carried a request with this client request id.
    pub(super) fn contains(&self, client_request_id: &str) -> bool {
        self.client_request_ids.contains(client_request_id)
    }

    fn remove_expired(&mut self, now: Micros) {
        let is_expired = |at: Micros| now - at > RETENTION;
        while self.by_age.front().is_some_and(|(at, _)| is_expired(*at)) || self.by_age.len() >= MAX_REQUESTS
        {
            let Some((_, client_request_id)) = self.by_age.pop_front() else { return };
            self.client_request_ids.remove(&client_request_id);
        }
    }
}

#[cfg(test)]
mod tests;
