//! A sliding window of completions.

use std::collections::VecDeque;

/// Lower bound of a CV. A window of few completions is not sufficient evidence of a CV outside of the bounds.
const MIN_CV: f64 = 0.1;
/// Upper bound of a CV, for the same reason as [`MIN_CV`].
const MAX_CV: f64 = 10.0;
/// Minimum of the mean latency, by which the standard deviation is divided for the CV (ms).
const MIN_MEAN_MS: f64 = 0.1;
/// Minimum number of served completions for which moments are calculated.
const MIN_SERVED: f64 = 2.0;

/// Times of a served completion.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServedTimes {
    /// Time from the arrival to the answer (ms).
    pub latency_ms: f64,
    /// Time at the engine (ms).
    pub service_ms: f64,
}

#[derive(Debug, Clone, Copy)]
struct Completion {
    at: f64,
    served: Option<ServedTimes>,
    cost: f64,
}

/// The most recent completions of one stream.
#[derive(Debug, Clone, Default)]
pub struct Window {
    completions: VecDeque<Completion>,
    capacity: usize,
}

/// Moments of the completions in a window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Moments {
    /// Mean latency of the served completions (ms), at least 0.1.
    pub mean_ms: f64,
    /// Coefficient of variation of that latency, within 0.1 and 10.
    pub cv: f64,
    /// Mean service time of the served completions (ms).
    pub service_ms: f64,
    /// Mean cost of all completions, served or not.
    pub cost: f64,
}

impl Window {
    /// Creates an empty window for at most this many completions.
    pub fn new(capacity: usize) -> Window {
        Window { completions: VecDeque::new(), capacity }
    }

    /// Adds a completion with its time, its cost and, if it was served, its latency and service time. If the window is
    /// full, the oldest completion is removed.
    pub fn push(&mut self, at: f64, served: Option<ServedTimes>, cost: f64) {
        self.completions.push_back(Completion { at, served, cost });
        if self.completions.len() > self.capacity {
            self.completions.pop_front();
        }
    }

    /// Removes the completions before a time.
    pub fn trim(&mut self, before: f64) {
        while self.completions.front().is_some_and(|oldest| oldest.at < before) {
            self.completions.pop_front();
        }
    }

    /// Returns the number of completions.
    pub fn len(&self) -> usize {
        self.completions.len()
    }

    /// Returns whether there are no completions.
    pub fn is_empty(&self) -> bool {
        self.completions.is_empty()
    }

    /// Returns the moments, or `None` if fewer than two completions were served. The cost is O(n).
    pub fn moments(&self) -> Option<Moments> {
        let served = || self.completions.iter().filter_map(|completion| completion.served);
        let count = served().count() as f64;
        if count < MIN_SERVED {
            return None;
        }
        let mean_ms = (served().map(|times| times.latency_ms).sum::<f64>() / count).max(MIN_MEAN_MS);
        let variance = served().map(|times| (times.latency_ms - mean_ms).powi(2)).sum::<f64>() / count;
        let total_cost = self.completions.iter().map(|completion| completion.cost).sum::<f64>();
        Some(Moments {
            mean_ms,
            cv: (variance.sqrt() / mean_ms).clamp(MIN_CV, MAX_CV),
            service_ms: served().map(|times| times.service_ms).sum::<f64>() / count,
            cost: total_cost / self.completions.len() as f64,
        })
    }
}
