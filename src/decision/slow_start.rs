//! Slow start (rule 4): an engine that has just started is sent no more than it can do while its caches are cold.

use super::types::{Millis, Rules};
use oorandom::Rand64;

/// Fraction of the budget of an engine that is warming up: half, of 85 % busy cores, as its capacity is estimated
/// and not reported. Ours.
const BUDGET_FRACTION: f64 = 0.425;

/// How warm an engine is, and what it may be sent meanwhile.
#[derive(Debug, Default)]
pub(super) struct SlowStart {
    /// When it is warm.
    pub(super) warm_at: Millis,
    /// Cores' worth of work that it can do now: less while it is warming up.
    pub(super) effective_cores: f64,
    /// Work that this gateway may send it while it is warming up (ms of one thread); paid for afterwards, so it may
    /// be below 0.
    credit_ms: Millis,
}

impl SlowStart {
    /// Whether it can do all that its cores allow.
    pub(super) fn is_warm(&self, now: Millis) -> bool {
        now >= self.warm_at
    }

    /// Whether it may be sent something, where it is not warm.
    pub(super) fn has_credit(&self) -> bool {
        self.credit_ms >= 0.0
    }

    /// It is warming up until `warm_at`. Many gateways learn of it at once, so each begins at a random point between
    /// two sends.
    pub(super) fn begin(&mut self, warm_at: Millis, now: Millis, mean_work_ms: Millis, rng: &mut Rand64) {
        if warm_at > self.warm_at.max(now) {
            self.warm_at = warm_at;
            self.credit_ms = -rng.rand_float() * mean_work_ms;
        }
    }

    /// Reckons what it can do now, and adds this gateway's fraction of what it may be sent in `elapsed_ms`.
    pub(super) fn update(
        &mut self,
        now: Millis,
        elapsed_ms: Millis,
        cores: f64,
        rules: &Rules,
        gateways: usize,
    ) {
        let coldness = ((self.warm_at - now) / rules.warm_up_ms.max(1.0)).clamp(0.0, 1.0);
        self.effective_cores = cores * (1.0 - coldness * (1.0 - rules.initial_capacity_fraction));
        let capacity = BUDGET_FRACTION * rules.overload_factor * self.effective_cores;
        let credit_per_ms = capacity / gateways.max(1) as f64;
        let max_credit_ms = credit_per_ms * rules.overload_window_ms / 2.0;
        self.credit_ms = (self.credit_ms + elapsed_ms * credit_per_ms).min(max_credit_ms);
    }

    /// A request of this much work was sent; it counts only while the engine is warming up.
    pub(super) fn record_send(&mut self, now: Millis, work_ms: Millis) {
        if !self.is_warm(now) {
            self.credit_ms -= work_ms;
        }
    }
}
