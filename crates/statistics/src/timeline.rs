//! Points in time, and how many came lately.

use std::collections::VecDeque;

/// Points in time, in order. Counting costs the logarithm of their number.
#[derive(Debug, Clone, Default)]
pub struct Timeline(VecDeque<f64>);

impl Timeline {
    /// Adds a point; none may be before the last.
    pub fn push(&mut self, at: f64) {
        debug_assert!(self.0.back().is_none_or(|last| *last <= at));
        self.0.push_back(at);
    }

    /// How many points there are at a time or after it.
    pub fn since(&self, at: f64) -> usize {
        self.0.len() - self.0.partition_point(|point| *point < at)
    }

    /// How many points there are after a time.
    pub fn after(&self, at: f64) -> usize {
        self.0.len() - self.0.partition_point(|point| *point <= at)
    }

    /// Drops what came before a time.
    pub fn trim(&mut self, before: f64) {
        let outdated = self.0.partition_point(|point| *point < before);
        self.0.drain(..outdated);
    }
}
