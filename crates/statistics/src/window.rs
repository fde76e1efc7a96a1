//! A sliding window of completions.

use std::collections::VecDeque;

/// Bounds of a CV: a window of few answers says too little for one beyond them.
const MIN_CV: f64 = 0.1;
/// See [`MIN_CV`].
const MAX_CV: f64 = 10.0;
/// Minimum of the mean latency that a CV is taken of (ms).
const MIN_MEAN_MS: f64 = 0.1;
/// Minimum of served completions that moments are taken of.
const MIN_SERVED: f64 = 2.0;

/// Times of a completion that was served.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServedTimes {
    /// Time from the arrival to the answer (ms).
    pub latency_ms: f64,
    /// Time on the engine (ms).
    pub service_ms: f64,
}

#[derive(Debug, Clone, Copy)]
struct Completion {
    at: f64,
    served: Option<ServedTimes>,
    cost: f64,
}

/// The last completions of one stream.
#[derive(Debug, Clone, Default)]
pub struct Window {
    completions: VecDeque<Completion>,
    capacity: usize,
}

/// Moments of a window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Moments {
    /// Mean latency of what was served (ms).
    pub mean_ms: f64,
    /// Its coefficient of variation, within bounds.
    pub cv: f64,
    /// Mean service time of what was served (ms).
    pub service_ms: f64,
    /// Mean cost of all completions, served or not.
    pub cost: f64,
}

impl Window {
    /// A window of at most this many completions.
    pub fn new(capacity: usize) -> Window {
        Window { completions: VecDeque::new(), capacity }
    }

    /// Adds a completion: its time, its latency and service time where it was served, and its cost. The oldest one
    /// goes where the window is full.
    pub fn push(&mut self, at: f64, served: Option<ServedTimes>, cost: f64) {
        self.completions.push_back(Completion { at, served, cost });
        if self.completions.len() > self.capacity {
            self.completions.pop_front();
        }
    }

    /// Drops what came before a time.
    pub fn trim(&mut self, before: f64) {
        while self.completions.front().is_some_and(|oldest| oldest.at < before) {
            self.completions.pop_front();
        }
    }

    /// How many completions it holds.
    pub fn len(&self) -> usize {
        self.completions.len()
    }

    /// Whether it holds none.
    pub fn is_empty(&self) -> bool {
        self.completions.is_empty()
    }

    /// Its moments, where at least two completions were served. Costs a walk over it.
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
