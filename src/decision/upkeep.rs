//! Upkeep: the one timer that always runs, so that queued requests never depend on another event.

use super::scheduler::Scheduler;
use super::timers::TimerPurpose;
use super::types::Millis;
use sanddyke_statistics::Load;

/// Time between two rounds of upkeep (ms).
pub(super) const UPKEEP_INTERVAL_MS: Millis = 20.0;

impl Scheduler {
    /// Runs one round of upkeep. The order matters: later steps use values that earlier ones have updated.
    pub(super) fn on_upkeep(&mut self) {
        self.set_timer(TimerPurpose::Upkeep, UPKEEP_INTERVAL_MS);
        self.recompute_local_load();
        self.reset_engine_sampler();
        let elapsed_ms = self.traffic.update(self.now);
        self.refill_token_buckets(elapsed_ms);
        self.update_engines(elapsed_ms);
        self.poll_engine_list();
        self.check_engines();
        if self.alpha.refit_is_due(self.now) {
            self.refit();
        }
        self.reject_on_discard_timeout();
        self.shed();
        self.retries.trim(self.settings.rules.retry_budget, self.now);
    }

    /// Recomputes the total local load, because repeated additions and subtractions accumulate rounding
    /// errors.
    fn recompute_local_load(&mut self) {
        let mut total = Load::default();
        for engine in self.engines.values() {
            total += engine.local_load;
        }
        self.local_load = total;
    }

    /// Advances the decay of slowdowns and the warm-up of engines, and computes the median slowdown.
    fn update_engines(&mut self, elapsed_ms: Millis) {
        let rules = &self.settings.rules;
        for engine in self.engines.values_mut() {
            engine.health.decay_slowdown(elapsed_ms);
            let managers = self.settings.manager_count;
            engine.slow_start.update(self.now, elapsed_ms, engine.cores, rules, managers);
        }
        let ready = self.engines.values().filter(|engine| engine.is_ready());
        let mut slowdowns: Vec<f64> = ready.map(|engine| engine.health.slowdown).collect();
        slowdowns.sort_by(f64::total_cmp);
        self.capacity.median_slowdown = slowdowns.get(slowdowns.len() / 2).copied().unwrap_or(1.0);
    }
}
