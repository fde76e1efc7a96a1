//! Engine selection: the guard rules before each send, and the two-choice selection: the less loaded of two
//! random suitable engines.

use super::engines::Engine;
use super::requests::PendingRequest;
use super::scheduler::Scheduler;
use super::types::{EngineId, RequestId};
use sanddyke_sampling::Suitability;
use sanddyke_statistics::Load;

impl Scheduler {
    /// Selects the engine for a request's next attempt; `None` if the request may not be sent now or no
    /// engine has capacity.
    pub(super) fn select_engine(&mut self, id: RequestId) -> Option<EngineId> {
        let request = &self.requests[&id];
        let class = request.class;
        if !self.may_place_class(class) || !self.may_send(id, request) {
            return None;
        }
        if self.capacity.below_min_cap && !self.has_fresh_choice(id) {
            return None;
        }
        let selected = self.select_less_loaded_of_two(id);
        if selected.is_none() {
            self.classes[class].placement_failures += 1;
        }
        selected
    }

    /// Samples two engines with capacity and returns the one with less work relative to its present capacity.
    /// An engine that is found unavailable is not sampled again for the class until its state changes.
    fn select_less_loaded_of_two(&mut self, id: RequestId) -> Option<EngineId> {
        let request = &self.requests[&id];
        let mean_query = self.mean_query();
        // Both are moved out while the closures below borrow the scheduler.
        let mut sampler = std::mem::take(&mut self.engine_sampler);
        let mut rng = self.rng;
        let suitability = |engine: &EngineId| self.suitability(request, *engine, &mean_query);
        let random_below = |limit: usize| rng.rand_range(0..limit as u64) as usize;
        let candidates = sampler.sample_two(request.class, random_below, suitability);
        let with_load = candidates
            .into_iter()
            .flatten()
            .map(|engine| (engine, self.relative_load(&self.engines[&engine], request, &mean_query)));
        let less_loaded = with_load.min_by(|a, b| a.1.total_cmp(&b.1));
        self.engine_sampler = sampler;
        self.rng = rng;
        less_loaded.map(|(engine, _)| engine)
    }

    /// Whether an engine can be selected for a request, as a result for the sampler.
    fn suitability(&self, request: &PendingRequest, engine: EngineId, mean_query: &Load) -> Suitability {
        let available =
            self.engines.get(&engine).filter(|engine| self.is_available(request, engine, mean_query));
        match available {
            None => Suitability::UnsuitableForKind,
            Some(engine) if self.can_place(request, engine, mean_query) => Suitability::Suitable,
            Some(_) => Suitability::Unsuitable,
        }
    }

    /// Estimated work on an engine including this request, divided by its present capacity in cores, times
    /// its slowdown.
    fn relative_load(&self, engine: &Engine, request: &PendingRequest, mean_query: &Load) -> f64 {
        let peer_work_ms = engine.reported.peer_queries * mean_query.work_ms;
        let work_ms = engine.local_load.work_ms + peer_work_ms + request.work_ms;
        work_ms / engine.slow_start.effective_cores * engine.health.slowdown
    }

    /// Whether an engine can take requests of this class now: permitted, reachable, and with capacity. The
    /// result is the same for all requests of the class until something changes on the engine.
    pub(super) fn is_available(&self, request: &PendingRequest, engine: &Engine, mean_query: &Load) -> bool {
        let awaits_check = engine.health.down_since.is_some() && self.settings.limits.health_checks;
        let unknown_load = self.capacity.below_min_cap && !engine.reported.is_fresh(self.now);
        !awaits_check
            && !engine.health.is_unresponsive()
            && !unknown_load
            && !engine.health.is_paused(self.now)
            && self.may_receive_class(request.class, engine)
            && self.has_capacity(request, engine, mean_query)
    }

    /// Whether an available engine can take this particular request.
    pub(super) fn can_place(&self, request: &PendingRequest, engine: &Engine, mean_query: &Load) -> bool {
        let lock = request.data_set_lock;
        let would_wait = lock.is_some_and(|data_set| self.is_data_set_locked_on(engine, data_set));
        !would_wait
            && !engine.is_short_of_memory(request.memory_mb, mean_query)
            && self.is_retry_safe(request, Some(&engine.entry))
    }

    /// Guard before every send, for class and engine: rules 3, 4 and 6. A scheduler that has just started
    /// does not know what was sent before, so it sends nothing to an engine that is warming up.
    pub(super) fn may_receive_class(&self, class: usize, engine: &Engine) -> bool {
        let class = &self.settings.classes[class];
        let kind_allowed =
            class.allowed_kinds.as_ref().is_none_or(|kinds| kinds.contains(&engine.entry.kind));
        let zone_allowed =
            class.allowed_zones.as_ref().is_none_or(|zones| zones.contains(&engine.entry.zone));
        let window_start = self.now - self.settings.rules.overload_window_ms;
        let send_history_complete = window_start >= self.created_at;
        let within_budget =
            engine.slow_start.is_warm(self.now) || (send_history_complete && engine.slow_start.has_credit());
        engine.is_ready() && kind_allowed && zone_allowed && within_budget
    }

    /// Guard before every send, for the request: rules 1, 2, 5 and 7.
    fn may_send(&self, id: RequestId, request: &PendingRequest) -> bool {
        self.is_next_for_order_key(id, request)
            && self.may_attempt_again(request)
            && !request.streaming
            && self.now < request.deadline
            && !self.has_attempt_in_flight(id)
    }
}
