//! Compares the costs of two operations in one run, for tests of how a cost grows with the size of the input.

use std::time::{Duration, Instant};

/// Number of measurements of each operation. The shortest one counts: other processes only make an operation slower.
const MEASUREMENTS: usize = 7;

/// Returns how many times as long `large` takes as `small`. Both are measured in turn, so that a busy machine slows both.
pub fn cost_ratio(mut small: impl FnMut(), mut large: impl FnMut()) -> f64 {
    let mut shortest_small = Duration::MAX;
    let mut shortest_large = Duration::MAX;
    for _ in 0..MEASUREMENTS {
        shortest_small = shortest_small.min(duration_of(&mut small));
        shortest_large = shortest_large.min(duration_of(&mut large));
    }
    shortest_large.as_secs_f64() / shortest_small.as_secs_f64().max(f64::MIN_POSITIVE)
}

fn duration_of(operation: &mut impl FnMut()) -> Duration {
    let began = Instant::now();
    operation();
    began.elapsed()
}
