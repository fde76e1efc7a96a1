//! The sessions of one engine that are opened ahead of requests, and how many there should be. Without I/O and clock.
//!
//! A request that finds no session ahead raises the number. At each review the number falls by half of the sessions
//! that no request has needed since the review before.

use super::ConnectionNumber;
use std::collections::VecDeque;

/// Limit of the sessions ahead for one engine.
const MAX_TARGET: usize = 16;
/// The number of sessions ahead for an engine with few requests.
const MIN_TARGET: usize = 1;

/// The sessions ahead of one engine.
#[derive(Debug)]
pub(super) struct SessionsAhead {
    /// The sessions that can carry a request, oldest first. The oldest is used first: a late copy of its login's answer
    /// is the least likely.
    ready: VecDeque<ConnectionNumber>,
    /// The sessions that are being opened, oldest first.
    opening: VecDeque<ConnectionNumber>,
    /// The number of sessions that should be ready or being opened.
    target: usize,
    /// The lowest number of ready sessions since the last review.
    min_ready: usize,
}

impl SessionsAhead {
    /// Starts without sessions.
    pub(super) fn new() -> SessionsAhead {
        SessionsAhead { ready: VecDeque::new(), opening: VecDeque::new(), target: MIN_TARGET, min_ready: 0 }
    }

    /// Removes a session to carry a request: the oldest that is ready, else the one that is ready soonest.
    pub(super) fn take(&mut self) -> Option<ConnectionNumber> {
        if let Some(number) = self.ready.pop_front() {
            self.min_ready = self.min_ready.min(self.ready.len());
            return Some(number);
        }
        self.min_ready = 0;
        self.target = (self.target + 1).min(MAX_TARGET);
        self.opening.pop_front()
    }

    /// The number of sessions to be opened.
    pub(super) fn missing(&self) -> usize {
        self.target.saturating_sub(self.ready.len() + self.opening.len())
    }

    /// Records that a session is being opened.
    pub(super) fn add_opening(&mut self, number: ConnectionNumber) {
        self.opening.push_back(number);
    }

    /// Records that a session can carry a request. Has no effect if one has taken it already.
    pub(super) fn mark_ready(&mut self, number: ConnectionNumber) {
        if remove(&mut self.opening, number) {
            self.ready.push_back(number);
        }
    }

    /// Removes a session that can't carry a request. Returns whether none has taken it.
    pub(super) fn discard(&mut self, number: ConnectionNumber) -> bool {
        remove(&mut self.ready, number) || remove(&mut self.opening, number)
    }

    /// Removes all sessions, since the engine's address has changed.
    pub(super) fn clear(&mut self) -> Vec<ConnectionNumber> {
        self.min_ready = 0;
        self.ready.drain(..).chain(self.opening.drain(..)).collect()
    }

    /// Adjusts the number of sessions to the requests since the last review. Removes those that are too many.
    pub(super) fn review(&mut self) -> Vec<ConnectionNumber> {
        self.target = self.target.saturating_sub(self.min_ready.div_ceil(2)).max(MIN_TARGET);
        let surplus = (self.ready.len() + self.opening.len()).saturating_sub(self.target);
        let removed = self.ready.drain(..surplus.min(self.ready.len())).collect();
        self.min_ready = self.ready.len();
        removed
    }
}

/// Removes a session from a queue. Returns whether it was there.
fn remove(queue: &mut VecDeque<ConnectionNumber>, number: ConnectionNumber) -> bool {
    let Some(index) = queue.iter().position(|other| *other == number) else { return false };
    queue.remove(index);
    true
}

#[cfg(test)]
mod tests;
