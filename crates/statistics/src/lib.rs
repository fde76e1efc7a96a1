//! What the mechanism measures with: a sliding window of completions and its moments, and the generalized
//! exponential law of latencies that has a given coefficient of variation (CV). No clock: times come in.
//!
//! ```
//! use sanddyke_statistics::Window;
//!
//! let mut window = Window::new(100);
//! window.push(1.0, Some((30.0, 20.0)), 0.0);
//! window.push(2.0, Some((50.0, 20.0)), 1.0);
//! let moments = window.moments().unwrap();
//! assert_eq!((moments.mean, moments.service, moments.cost), (40.0, 20.0, 0.5));
//! assert_eq!(moments.cv, 0.25);
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use special::Gamma;
use std::collections::{HashMap, VecDeque};

/// Bounds of a CV: fewer than some answers say too little for more.
const CV_BOUNDS: (f64, f64) = (0.1, 10.0);
/// Least mean latency that a CV is taken of (ms).
const LEAST_MEAN: f64 = 0.1;

#[derive(Debug, Clone, Copy)]
struct Completion {
    at: f64,
    /// Latency and service time, where it was served.
    served: Option<(f64, f64)>,
    cost: f64,
}

/// The last completions of one stream.
#[derive(Debug, Clone, Default)]
pub struct Window {
    done: VecDeque<Completion>,
    most: usize,
}

/// Moments of a window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Moments {
    /// Mean latency of what was served (ms).
    pub mean: f64,
    /// Its coefficient of variation, within bounds.
    pub cv: f64,
    /// Mean service time of what was served (ms).
    pub service: f64,
    /// Mean cost of all, served or not.
    pub cost: f64,
}

impl Window {
    /// A window of so many completions at most.
    pub fn new(most: usize) -> Window {
        Window { most, ..Window::default() }
    }

    /// Adds a completion: when, its latency and service time where it was served, and what it cost.
    pub fn push(&mut self, at: f64, served: Option<(f64, f64)>, cost: f64) {
        self.done.push_back(Completion { at, served, cost });
        if self.done.len() > self.most {
            self.done.pop_front();
        }
    }

    /// Drops what came before a time.
    pub fn trim(&mut self, before: f64) {
        while self.done.front().is_some_and(|one| one.at < before) {
            self.done.pop_front();
        }
    }

    /// How many completions it holds.
    pub fn len(&self) -> usize {
        self.done.len()
    }

    /// Whether it holds none.
    pub fn is_empty(&self) -> bool {
        self.done.is_empty()
    }

    /// Its moments, where two were served at least. Costs a walk over it.
    pub fn moments(&self) -> Option<Moments> {
        let served = || self.done.iter().filter_map(|one| one.served);
        let many = served().count() as f64;
        if many < 2.0 {
            return None;
        }
        let mean = (served().map(|(latency, _)| latency).sum::<f64>() / many).max(LEAST_MEAN);
        let variance = served().map(|(latency, _)| (latency - mean).powi(2)).sum::<f64>() / many;
        Some(Moments {
            mean,
            cv: (variance.sqrt() / mean).clamp(CV_BOUNDS.0, CV_BOUNDS.1),
            service: served().map(|(_, service)| service).sum::<f64>() / many,
            cost: self.done.iter().map(|one| one.cost).sum::<f64>() / self.done.len() as f64,
        })
    }
}

/// Points in time, in order: how many have come lately. Counting costs the logarithm of them.
#[derive(Debug, Clone, Default)]
pub struct Timeline(VecDeque<f64>);

impl Timeline {
    /// Adds a point; none before the last.
    pub fn push(&mut self, at: f64) {
        debug_assert!(self.0.back().is_none_or(|last| *last <= at));
        self.0.push_back(at);
    }

    /// How many came at a time or after it.
    pub fn since(&self, at: f64) -> usize {
        self.0.len() - self.0.partition_point(|one| *one < at)
    }

    /// How many came after a time.
    pub fn after(&self, at: f64) -> usize {
        self.0.len() - self.0.partition_point(|one| *one <= at)
    }

    /// Drops what came before a time.
    pub fn trim(&mut self, before: f64) {
        self.0.drain(..self.0.partition_point(|one| *one < before));
    }
}

/// Remembers a costly function of two positive numbers by steps of one percent of each: its result for a step is
/// that for the middle of it, whoever asks first. Past so many results it begins anew.
#[derive(Debug, Clone, Default)]
pub struct Memo(HashMap<(i32, i32), f64>);

impl Memo {
    const STEP: f64 = 1.01;
    const MOST: usize = 4096;

    /// The function's result, worked out once a step.
    pub fn get(&mut self, a: f64, b: f64, work_out: impl FnOnce(f64, f64) -> f64) -> f64 {
        let step = |x: f64| (x.max(1e-9).ln() / Self::STEP.ln()).round() as i32;
        let middle = |step: i32| Self::STEP.powi(step);
        if self.0.len() >= Self::MOST {
            self.0.clear();
        }
        let key = (step(a), step(b));
        *self.0.entry(key).or_insert_with(|| work_out(middle(key.0), middle(key.1)))
    }
}

/// What runs somewhere, added up.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Load {
    /// Queries.
    pub queries: f64,
    /// Threads that they run on.
    pub threads: f64,
    /// Their work (ms of one thread).
    pub work: f64,
    /// Their memory (MB).
    pub memory: f64,
}

impl Load {
    /// Adds another, or takes it off where the sign is -1; rounding never leaves less than nothing.
    pub fn add(&mut self, other: Load, sign: f64) {
        self.queries = (self.queries + sign * other.queries).max(0.0);
        self.threads = (self.threads + sign * other.threads).max(0.0);
        self.work = (self.work + sign * other.work).max(0.0);
        self.memory = (self.memory + sign * other.memory).max(0.0);
    }

    /// The mean query of these and one more, which stands for them where there are none.
    pub fn mean_with(mut self, one: Load) -> Load {
        self.add(one, 1.0);
        let many = self.queries;
        Load {
            queries: 1.0,
            threads: self.threads / many,
            work: self.work / many,
            memory: self.memory / many,
        }
    }
}

/// The generalized exponential law, `(1 - exp(-x / scale)) ^ shape` (the paper's (4) and (5)).
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct GeneralizedExponential {
    /// Its shape.
    pub shape: f64,
    /// Its mean over its scale.
    pub mean: f64,
}

impl GeneralizedExponential {
    /// The law with this CV, found by halving the logarithm of the shape.
    pub fn with_cv(cv: f64) -> GeneralizedExponential {
        let mean = |shape: f64| (shape + 1.0).digamma() - 1f64.digamma();
        let (mut low, mut high) = (1e-4f64.ln(), 1e6f64.ln());
        for _ in 0..50 {
            let shape = f64::exp((low + high) / 2.0);
            let variance = (1f64.trigamma() - (shape + 1.0).trigamma()).max(0.0);
            let too_wide = variance.sqrt() / mean(shape) > cv;
            *(if too_wide { &mut low } else { &mut high }) = shape.ln();
        }
        let shape = f64::exp((low + high) / 2.0);
        GeneralizedExponential { shape, mean: mean(shape) }
    }

    /// Part that lies within `x`, where the mean is `mean`.
    pub fn within(&self, x: f64, mean: f64) -> f64 {
        (1.0 - (-x * self.mean / mean).exp()).powf(self.shape)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn cv_one_is_the_exponential() {
        let law = GeneralizedExponential::with_cv(1.0);
        assert!((law.shape - 1.0).abs() < 1e-6, "{law:?}");
        assert!((law.mean - 1.0).abs() < 1e-6, "{law:?}");
        assert!((law.within(3.0, 2.0) - (1.0 - (-1.5f64).exp())).abs() < 1e-6);
    }

    /// Shape 2 has mean 3/2 and variance 5/4 of the scale: the larger of two exponentials.
    #[test]
    fn the_larger_of_two_exponentials_has_shape_two() {
        let law = GeneralizedExponential::with_cv(1.25f64.sqrt() / 1.5);
        assert!((law.shape - 2.0).abs() < 1e-6, "{law:?}");
        assert!((law.mean - 1.5).abs() < 1e-6, "{law:?}");
    }

    #[test]
    fn a_memo_works_out_each_step_once() {
        let (mut memo, mut worked) = (Memo::default(), 0);
        let mut product = |a: f64, b: f64| {
            memo.get(a, b, |a, b| {
                worked += 1;
                a * b
            })
        };
        for _ in 0..3 {
            assert!((product(0.8, 900.0) / 720.0 - 1.0).abs() < 0.011);
            assert_eq!(product(0.8005, 900.5), product(0.8, 900.0), "of the same step");
        }
        assert_ne!(product(0.83, 900.0), product(0.8, 900.0));
        assert_eq!(worked, 2);
    }

    #[test]
    fn a_timeline_counts_both_sides_of_a_point() {
        let mut line = Timeline::default();
        [1.0, 2.0, 2.0, 3.0].into_iter().for_each(|at| line.push(at));
        assert_eq!((line.since(2.0), line.after(2.0)), (3, 1));
        line.trim(2.0);
        assert_eq!((line.since(0.0), line.after(9.0)), (3, 0));
    }

    #[test]
    fn a_window_holds_so_many_and_so_long() {
        let mut window = Window::new(3);
        for at in 0..5 {
            window.push(f64::from(at), None, 1.0);
        }
        assert_eq!((window.len(), window.moments()), (3, None));
        window.trim(4.0);
        assert_eq!(window.len(), 1);
        window.trim(9.0);
        assert!(window.is_empty());
    }
}
