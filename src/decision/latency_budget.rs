//! The latency budget of a stream: Algorithm 1 of the paper, with the staircase of the design page.

use super::completion::{LATE_DISENGAGEMENT, UNSERVED_DISENGAGEMENT};
use super::types::Millis;
use sanddyke_statistics::GeneralizedExponential;

/// Lower end of the allowed range of disengagement over its target: the paper's zeta.
pub(super) const ZETA: f64 = 0.95;
/// Upper end of that range: the paper's theta.
pub(super) const THETA: f64 = 0.98;
/// Target of disengagement: one request in twenty late by a full step of the staircase. Ours.
pub(super) const U_TARGET: f64 = 0.05;
/// The bisection ends at the latest when its interval is this fraction of the deadline. Ours.
const BISECTION_FRACTION: f64 = 1.0 / 4096.0;

/// The highest mean latency at which the disengagement of latencies with this CV stays within its range, found by
/// bisection below the deadline (ms).
pub(super) fn latency_budget(cv: f64, objective_ms: Millis, deadline_ms: Millis) -> Millis {
    let law = GeneralizedExponential::with_cv(cv);
    let disengagement = |mean_ms: Millis| {
        let by_objective = law.fraction_within(objective_ms, mean_ms);
        let by_deadline = law.fraction_within(deadline_ms, mean_ms);
        (by_deadline - by_objective) * LATE_DISENGAGEMENT + (1.0 - by_deadline) * UNSERVED_DISENGAGEMENT
    };
    let mut low = 0.0;
    let mut high = deadline_ms;
    loop {
        let budget = (low + high) / 2.0;
        let over_target = disengagement(budget) / U_TARGET;
        if over_target < ZETA {
            low = budget;
        } else {
            high = budget;
        }
        let in_range = (ZETA..=THETA).contains(&over_target);
        if in_range || high - low <= deadline_ms * BISECTION_FRACTION {
            return budget;
        }
    }
}
