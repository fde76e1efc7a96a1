//! Latency budgets and alpha, compared with values computed by hand.

use super::alpha::next_alpha;
use super::latency_budget::{DISENGAGEMENT_TARGET, MAX_TARGET_RATIO, MIN_TARGET_RATIO, latency_budget};

#[test]
fn latency_budget_meets_the_target_for_exponential_latencies() {
    let (objective, deadline) = (400.0, 1500.0);
    let budget = latency_budget(1.0, objective, deadline);
    let u = 0.5 * (-objective / budget).exp() + 0.5 * (-deadline / budget).exp();
    assert!(
        (MIN_TARGET_RATIO - 0.01..=MAX_TARGET_RATIO + 0.01).contains(&(u / DISENGAGEMENT_TARGET)),
        "{budget} {u}"
    );
}

#[test]
fn latency_budget_falls_as_the_cv_rises() {
    assert!(latency_budget(1.5, 400.0, 1500.0) < latency_budget(0.5, 400.0, 1500.0));
}

#[test]
fn alpha_rises_and_falls_by_its_rule_within_its_bounds() {
    assert!((next_alpha(0.4, 1.2, 1.0, 1.0) - 0.5).abs() < 1e-12);
    assert!((next_alpha(0.4, 0.97, 0.5, 0.5) - 0.3).abs() < 1e-12);
    assert!((next_alpha(0.4, 0.97, 0.96, 0.5) - 0.4).abs() < 1e-12);
    assert_eq!(next_alpha(0.9, 2.0, 0.0, 1.0), 0.95);
    assert_eq!(next_alpha(0.06, 0.0, 0.0, 1.0), 0.05);
}
