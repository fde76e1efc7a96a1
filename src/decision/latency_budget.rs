//! Latency budget of a stream: Algorithm 1 of the paper, with the staircase of the design page as
//! disengagement function.

use super::completion::{LATE_DISENGAGEMENT, UNSERVED_DISENGAGEMENT};
use super::types::Millis;
use sanddyke_statistics::GeneralizedExponential;

/// Lower end of the accepted range of disengagement, as a multiple of the target: zeta in the paper.
pub(super) const MIN_TARGET_RATIO: f64 = 0.95;
/// Upper end of that range: theta in the paper.
pub(super) const MAX_TARGET_RATIO: f64 = 0.98;
/// Target disengagement: one request in twenty is late by a full step of the staircase.
pub(super) const DISENGAGEMENT_TARGET: f64 = 0.05;
/// Width of the bisection interval, as a fraction of the deadline, at which the bisection ends at the latest.
const BISECTION_FRACTION: f64 = 1.0 / 4096.0;

/// The highest mean latency (ms) at which latencies with this CV have a disengagement within the accepted
/// range, found by bisection between 0 and the deadline.
pub(super) fn latency_budget(cv: f64, objective_ms: Millis, deadline_ms: Millis) -> Millis {
    let distribution = GeneralizedExponential::with_cv(cv);
    let disengagement = |mean_ms: Millis| {
        let by_objective = distribution.fraction_within(objective_ms, mean_ms);
        let by_deadline = distribution.fraction_within(deadline_ms, mean_ms);
        (by_deadline - by_objective) * LATE_DISENGAGEMENT + (1.0 - by_deadline) * UNSERVED_DISENGAGEMENT
    };
    let mut low = 0.0;
    let mut high = deadline_ms;
    loop {
        let budget = (low + high) / 2.0;
        let target_ratio = disengagement(budget) / DISENGAGEMENT_TARGET;
        if target_ratio < MIN_TARGET_RATIO {
            low = budget;
        } else {
            high = budget;
        }
        let in_range = (MIN_TARGET_RATIO..=MAX_TARGET_RATIO).contains(&target_ratio);
        if in_range || high - low <= deadline_ms * BISECTION_FRACTION {
            return budget;
        }
    }
}
