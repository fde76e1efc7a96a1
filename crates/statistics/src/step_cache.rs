//! A cache of an expensive function of two numbers.

use std::collections::HashMap;

/// Ratio between neighbouring steps.
const STEP_RATIO: f64 = 1.01;
/// Smaller arguments are treated as this value, because zero has no logarithm.
const MIN_ARGUMENT: f64 = 1e-9;
/// Maximum number of cached results. A full cache is cleared.
const MAX_RESULTS: usize = 4096;

/// Returns the step of an argument, which is its rounded logarithm to the base [`STEP_RATIO`].
fn step_of(argument: f64) -> i32 {
    (argument.max(MIN_ARGUMENT).ln() / STEP_RATIO.ln()).round() as i32
}

/// Returns the argument in the middle of a step.
fn middle_of(step: i32) -> f64 {
    STEP_RATIO.powi(step)
}

/// The steps of both arguments.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Key {
    first: i32,
    second: i32,
}

/// A cache of an expensive function of two positive numbers, with steps of 1 % for each argument. The function is
/// computed for the middle of a step, not for the arguments of the first call, so that results do not depend on the
/// order of calls.
#[derive(Debug, Clone, Default)]
pub struct StepCache(HashMap<Key, f64>);

impl StepCache {
    /// Returns the result for the steps of these arguments, and computes it if it is not cached.
    pub fn get_or_compute(&mut self, first: f64, second: f64, compute: impl FnOnce(f64, f64) -> f64) -> f64 {
        if self.0.len() >= MAX_RESULTS {
            self.0.clear();
        }
        let key = Key { first: step_of(first), second: step_of(second) };
        *self.0.entry(key).or_insert_with(|| compute(middle_of(key.first), middle_of(key.second)))
    }
}
