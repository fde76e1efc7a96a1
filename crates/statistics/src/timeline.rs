//! Times of events, and how many of the events are recent.

use std::collections::VecDeque;

/// Times of events in ascending order. Counting is a binary search, O(log n).
#[derive(Debug, Clone, Default)]
pub struct Timeline(VecDeque<f64>);

impl Timeline {
    /// Adds an event, which must not be earlier than the last one.
    pub fn push(&mut self, at: f64) {
        debug_assert!(self.0.back().is_none_or(|last| *last <= at));
        self.0.push_back(at);
    }

    /// Returns the number of events at or after a time.
    pub fn since(&self, at: f64) -> usize {
        self.0.len() - self.0.partition_point(|event| *event < at)
    }

    /// Returns the number of events after a time.
    pub fn after(&self, at: f64) -> usize {
        self.0.len() - self.0.partition_point(|event| *event <= at)
    }

    /// Removes the events before a time.
    pub fn trim(&mut self, before: f64) {
        let outdated = self.0.partition_point(|event| *event < before);
        self.0.drain(..outdated);
    }
}
