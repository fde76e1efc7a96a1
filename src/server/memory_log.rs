//! Logs that the memory budget has rejected requests or results.

use sanddyke::memory::{MemoryBudget, MemoryBudgets};
use std::time::Duration;

/// Interval between two log lines about one budget.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Logs the rejections of both budgets until the program ends. Without a rejection nothing is logged.
pub async fn run(budgets: MemoryBudgets) {
    let mut logged = [0; 2];
    loop {
        tokio::time::sleep(LOG_INTERVAL).await;
        for (logged, (name, budget)) in
            logged.iter_mut().zip([("requests", &budgets.requests), ("results", &budgets.results)])
        {
            log_rejections(name, budget, logged);
        }
    }
}

fn log_rejections(name: &str, budget: &MemoryBudget, logged: &mut u64) {
    let rejections = budget.rejections();
    if rejections > *logged {
        log::warn!(
            budget = name, rejected = rejections - *logged, reserved_bytes = budget.reserved_bytes();
            "memory budget is used up"
        );
        *logged = rejections;
    }
}
