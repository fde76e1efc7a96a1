//! The timers of the core.

use super::AttemptId;
use crate::clock::Micros;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// The action of a timer. Timers are not cancelled: one whose request or attempt is no longer in the table does nothing
/// when it fires, and is removed by the next [`Timers::compact`].
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

/// The number of timers from which those that are no longer needed are removed.
pub(super) const MIN_COMPACTED_TIMERS: usize = 1024;

/// A set timer. Entries are ordered by the due time, then by the order in which they were set.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Entry {
    at: Micros,
    sequence: u64,
    timer: Timer,
}

/// The set timers. Timers with the same due time fire in the order in which they were set.
#[derive(Debug)]
pub(super) struct Timers {
    queue: BinaryHeap<Reverse<Entry>>,
    /// The number of timers at which the next compaction is due.
    compacted_at: usize,
    /// The number of timers set so far.
    sequence: u64,
}

impl Default for Timers {
    fn default() -> Timers {
        Timers { queue: BinaryHeap::new(), compacted_at: MIN_COMPACTED_TIMERS, sequence: 0 }
    }
}

impl Timers {
    /// Sets a timer that is due at `at`.
    pub(super) fn set(&mut self, at: Micros, timer: Timer) {
        self.sequence += 1;
        self.queue.push(Reverse(Entry { at, sequence: self.sequence, timer }));
    }

    /// The number of set timers.
    #[cfg(test)]
    pub(super) fn len(&self) -> usize {
        self.queue.len()
    }

    /// Removes the timers that are no longer needed, if the number of timers has doubled since the last time. The cost is
    /// constant for each timer that was set.
    pub(super) fn compact(&mut self, is_needed: impl Fn(&Timer) -> bool) {
        if self.queue.len() < self.compacted_at {
            return;
        }
        self.queue.retain(|Reverse(entry)| is_needed(&entry.timer));
        self.queue.shrink_to(2 * self.queue.len());
        self.compacted_at = (2 * self.queue.len()).max(MIN_COMPACTED_TIMERS);
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
