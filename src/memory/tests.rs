//! Tests of the memory budget.

use super::*;

#[test]
fn a_reservation_beyond_the_budget_is_rejected_and_leaves_no_trace() {
    let budget = MemoryBudget::new(100);
    let (mut first, mut second) = (budget.reservation(), budget.reservation());
    assert_eq!(first.try_resize(60), Ok(()));
    assert_eq!(second.try_resize(41), Err(BudgetExceeded));
    assert_eq!((second.bytes(), budget.reserved_bytes(), budget.rejections()), (0, 60, 1));
    assert_eq!(second.try_resize(40), Ok(()));
    assert_eq!(first.try_resize(20), Ok(()));
    assert_eq!(budget.reserved_bytes(), 60);
    drop(second);
    assert_eq!(budget.reserved_bytes(), 20);
}

#[test]
fn a_small_amount_counts_and_is_not_rejected() {
    let budget = MemoryBudget::new(100);
    let (mut small, mut large) = (budget.reservation(), budget.reservation());
    small.resize(120);
    assert_eq!((budget.reserved_bytes(), large.try_resize(1)), (120, Err(BudgetExceeded)));
    assert_eq!(small.try_resize(110), Ok(()), "shrinks although the budget is exceeded");
    small.resize(50);
    assert_eq!(large.try_resize(50), Ok(()));
}
