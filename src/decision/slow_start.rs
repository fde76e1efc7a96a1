//! Slow start (rule 4): an engine that has just started is sent no more work than it can do while its caches
//! are cold.

use super::types::{Millis, Rules};
use oorandom::Rand64;

/// Fraction of the warm-up budget that is used: half of 85 % busy cores. Only half, because the capacity is
/// estimated and not reported.
const BUDGET_FRACTION: f64 = 0.425;

/// Warm-up state of an engine and the work that it may be sent meanwhile.
#[derive(Debug, Default)]
pub(super) struct SlowStart {
    /// Time at which the engine is warm.
    pub(super) warm_at: Millis,
    /// Cores that the present capacity corresponds to; fewer than the engine has while it is warming up.
    pub(super) effective_cores: f64,
    /// Work that this manager may send while the engine is warming up (ms of one thread). A request is
    /// charged after it was sent, so the credit may be negative.
    credit_ms: Millis,
}

impl SlowStart {
    /// Whether the engine has its full capacity.
    pub(super) fn is_warm(&self, now: Millis) -> bool {
        now >= self.warm_at
    }

    /// Whether an engine that is not warm may be sent a request.
    pub(super) fn has_credit(&self) -> bool {
        self.credit_ms >= 0.0
    }

    /// Starts or extends the warm-up, until `warm_at`. Many managers learn of a started engine at once, so
    /// each starts at a random point between two sends.
    pub(super) fn begin(&mut self, warm_at: Millis, now: Millis, mean_work_ms: Millis, rng: &mut Rand64) {
        if warm_at > self.warm_at.max(now) {
            self.warm_at = warm_at;
            self.credit_ms = -rng.rand_float() * mean_work_ms;
        }
    }

    /// Updates the present capacity, and adds this manager's fraction of the work that the engine may be sent
    /// in `elapsed_ms`.
    pub(super) fn update(
        &mut self,
        now: Millis,
        elapsed_ms: Millis,
        cores: f64,
        rules: &Rules,
        managers: usize,
    ) {
        let cold_fraction = ((self.warm_at - now) / rules.warm_up_ms.max(1.0)).clamp(0.0, 1.0);
        self.effective_cores = cores * (1.0 - cold_fraction * (1.0 - rules.initial_capacity_fraction));
        let capacity = BUDGET_FRACTION * rules.overload_factor * self.effective_cores;
        let credit_per_ms = capacity / managers.max(1) as f64;
        let max_credit_ms = credit_per_ms * rules.overload_window_ms / 2.0;
        self.credit_ms = (self.credit_ms + elapsed_ms * credit_per_ms).min(max_credit_ms);
    }

    /// Records that a request of this much work was sent. It only counts while the engine is warming up.
    pub(super) fn record_send(&mut self, now: Millis, work_ms: Millis) {
        if !self.is_warm(now) {
            self.credit_ms -= work_ms;
        }
    }
}
