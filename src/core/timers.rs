//! Timers: what is due when.

use super::AttemptId;
use crate::clock::Micros;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// What happens when a timer fires. A timer whose request or attempt has ended does nothing.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// The decision module set it, with this token.
    Scheduler(u64),
    /// The request's time is over.
    RequestDeadline(u64),
    /// The attempt's time is over.
    AttemptTimeout(AttemptId),
    /// The attempt is to end, and its request is closed: nobody waits for the engine.
    AttemptAbandoned(AttemptId),
    /// The engine has not shown for long whether it has dropped the attempt.
    AttemptForgotten(AttemptId),
    /// The request may be handed to the decision module.
    Released(u64),
    /// The attempt could not be sent.
    AttemptNotSent(AttemptId),
}

/// Ordered by time, then by when it was set.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Entry {
    at: Micros,
    sequence: u64,
    timer: Timer,
}

/// The timers that are set. Timers of one time fire in the order in which they were set.
#[derive(Debug, Default)]
pub(super) struct Timers {
    queue: BinaryHeap<Reverse<Entry>>,
    /// How many were ever set.
    sequence: u64,
}

impl Timers {
    /// Sets a timer.
    pub(super) fn set(&mut self, at: Micros, timer: Timer) {
        self.sequence += 1;
        self.queue.push(Reverse(Entry { at, sequence: self.sequence, timer }));
    }

    /// When the next one is due.
    pub(super) fn next(&self) -> Option<Micros> {
        self.queue.peek().map(|Reverse(entry)| entry.at)
    }

    /// Takes out the first one that is due.
    pub(super) fn pop_due(&mut self, now: Micros) -> Option<Timer> {
        if self.next()? > now {
            return None;
        }
        self.queue.pop().map(|Reverse(entry)| entry.timer)
    }
}
