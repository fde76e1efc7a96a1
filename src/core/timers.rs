//! The timers of the core.

use super::AttemptId;
use crate::clock::Micros;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// The action of a timer. Timers are never cancelled: one whose request or attempt is no longer in the table does
/// nothing when it fires.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// A timer of the scheduler, with the token that the scheduler chose.
    Scheduler(u64),
    /// The deadline of the request with this id passes.
    RequestDeadline(u64),
    /// The timeout of the attempt passes.
    AttemptTimeout(AttemptId),
    /// The attempt was cancelled or lost, and its request is closed, so its outcome is recorded without waiting
    /// for the engine.
    AttemptAbandoned(AttemptId),
    /// The engine has not confirmed the end of a cancelled or lost attempt in time. The attempt counts as ended.
    UnconfirmedAttemptExpired(AttemptId),
    /// The deferred request with this id may be submitted to the scheduler.
    DeferredRequestReleased(u64),
    /// The execution guard denied the attempt, so it was never sent.
    AttemptNotSent(AttemptId),
}

/// A set timer. Entries are ordered by the due time, then by the order in which they were set.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Entry {
    at: Micros,
    sequence: u64,
    timer: Timer,
}

/// The set timers. Timers with the same due time fire in the order in which they were set.
#[derive(Debug, Default)]
pub(super) struct Timers {
    queue: BinaryHeap<Reverse<Entry>>,
    /// The number of timers set so far.
    sequence: u64,
}

impl Timers {
    /// Sets a timer that is due at `at`.
    pub(super) fn set(&mut self, at: Micros, timer: Timer) {
        self.sequence += 1;
        self.queue.push(Reverse(Entry { at, sequence: self.sequence, timer }));
    }

    /// Returns the due time of the next timer; `None` if none is set.
    pub(super) fn next(&self) -> Option<Micros> {
        self.queue.peek().map(|Reverse(entry)| entry.at)
    }

    /// Removes and returns the first timer that is due.
    pub(super) fn pop_due(&mut self, now: Micros) -> Option<Timer> {
        if self.next()? > now {
            return None;
        }
        self.queue.pop().map(|Reverse(entry)| entry.timer)
    }
}
