//! Latency budgets and alpha, compared with values computed by hand.

use super::alpha::next_alpha;
use super::latency_budget::{THETA, U_TARGET, ZETA, latency_budget};

#[test]
fn the_budget_meets_the_target_under_the_exponential() {
    let (aim, deadline) = (400.0, 1500.0);
    let budget = latency_budget(1.0, aim, deadline);
    let u = 0.5 * (-aim / budget).exp() + 0.5 * (-deadline / budget).exp();
    assert!((ZETA - 0.01..=THETA + 0.01).contains(&(u / U_TARGET)), "{budget} {u}");
}

#[test]
fn a_wider_spread_lowers_the_budget() {
    assert!(latency_budget(1.5, 400.0, 1500.0) < latency_budget(0.5, 400.0, 1500.0));
}

#[test]
fn alpha_follows_its_rule_and_bounds() {
    assert!((next_alpha(0.4, 1.2, 1.0, 1.0) - 0.5).abs() < 1e-12);
    assert!((next_alpha(0.4, 0.97, 0.5, 0.5) - 0.3).abs() < 1e-12);
    assert!((next_alpha(0.4, 0.97, 0.96, 0.5) - 0.4).abs() < 1e-12);
    assert_eq!(next_alpha(0.9, 2.0, 0.0, 1.0), 0.95);
    assert_eq!(next_alpha(0.06, 0.0, 0.0, 1.0), 0.05);
}
