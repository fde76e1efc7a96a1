//! A cache of an expensive function of two numbers.

use std::collections::HashMap;

/// Ratio of two neighbouring steps.
const STEP_RATIO: f64 = 1.01;
/// Minimum of an argument that is told apart.
const MIN_ARGUMENT: f64 = 1e-9;
/// Results that are cached at most; past that the cache is emptied.
const MAX_RESULTS: usize = 4096;

/// Step of an argument: the rounded logarithm to the base of the ratio.
fn step_of(argument: f64) -> i32 {
    (argument.max(MIN_ARGUMENT).ln() / STEP_RATIO.ln()).round() as i32
}

/// The argument in the middle of a step.
fn middle_of(step: i32) -> f64 {
    STEP_RATIO.powi(step)
}

/// Steps of both arguments.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Key {
    first: i32,
    second: i32,
}

/// Caches an expensive function of two positive numbers, by steps of one percent of each. The result for a step is
/// that for its middle, whichever arguments come first, so that results do not depend on the order of calls.
#[derive(Debug, Clone, Default)]
pub struct StepCache(HashMap<Key, f64>);

impl StepCache {
    /// The function's result for these arguments, computed once for each step.
    pub fn get_or_compute(&mut self, first: f64, second: f64, compute: impl FnOnce(f64, f64) -> f64) -> f64 {
        if self.0.len() >= MAX_RESULTS {
            self.0.clear();
        }
        let key = Key { first: step_of(first), second: step_of(second) };
        *self.0.entry(key).or_insert_with(|| compute(middle_of(key.first), middle_of(key.second)))
    }
}
