//! Capacity: the saturation of an engine, the cap of one manager on one engine, and memory.

use super::bounds::Bounds;
use super::engines::Engine;
use super::outliers::CONGESTED_SLOWDOWN;
use super::requests::PendingRequest;
use super::scheduler::Scheduler;
use super::types::Settings;
use sanddyke_statistics::Load;

/// Minimum cap of one manager on one engine (threads): two on the design page. A manager whose fraction of an
/// engine is below it uses fresh load reports instead of caps, because with so many managers the minimum caps
/// together would fill the engine many times over.
const MIN_CAP_THREADS: f64 = 2.0;
/// Initial threads per core at which an engine counts as saturated.
const INITIAL_SATURATION: f64 = 1.2;
/// Initial saturation below the minimum cap. It is higher, because otherwise few engines would be unsaturated
/// and all managers would choose the same ones.
const INITIAL_SATURATION_BELOW_MIN_CAP: f64 = 2.0;
/// Bounds of the saturation.
pub(super) const SATURATION_BOUNDS: Bounds = Bounds::new(1.0, 2.2);
/// Fraction by which the saturation changes per refit.
const SATURATION_STEP: f64 = 0.02;
/// The saturation rises while the stretch of best-effort answers is below the lower bound, and falls while it
/// is above the upper.
const STRETCH_RANGE: Bounds = Bounds::new(1.4, 1.8);
/// Maximum stretch with which one answer counts, so that a single slow engine does not lower the saturation
/// of all.
pub(super) const MAX_STRETCH: f64 = 4.0;
/// Weight of one answer in the stretch.
const STRETCH_WEIGHT: f64 = 0.05;
/// Additional threads per core for sensitive requests, so that they do not wait for heavy ones.
const SENSITIVE_HEADROOM: f64 = 0.4;
/// Health-check latency excess above which the saturation is halved.
const BUSY_LATENCY_EXCESS: f64 = 0.3;
/// Health-check latency excess above which an engine is congested. The excess is only used below the minimum
/// cap, where a congested engine is sent nothing.
const CONGESTED_LATENCY_EXCESS: f64 = 0.6;
/// Fraction of an engine's memory that may be filled. Above it, queries spill and the engine pages.
const MAX_MEMORY_FRACTION: f64 = 0.85;
/// An engine with fewer queries than this counts as empty, and any request fits.
const EMPTY_BELOW_QUERIES: f64 = 1.0;

/// This manager's estimate of the fleet's capacity.
#[derive(Debug)]
pub(super) struct FleetCapacity {
    /// This manager's fraction of all traffic.
    pub(super) manager_fraction: f64,
    /// Whether this manager's fraction of an engine is below the minimum cap.
    pub(super) below_min_cap: bool,
    /// Threads per core at which an engine counts as saturated.
    pub(super) saturation_threads_per_core: f64,
    /// Smoothed ratio of the latency of best-effort answers to their latency on an idle engine.
    pub(super) stretch: f64,
    /// Median slowdown of the ready engines.
    pub(super) median_slowdown: f64,
    /// Number of engines in the list.
    pub(super) listed_engines: usize,
}

impl FleetCapacity {
    /// Initial capacity, from the settings alone.
    pub(super) fn new(settings: &Settings) -> FleetCapacity {
        let manager_fraction = 1.0 / settings.manager_count.max(1) as f64;
        let max_cores = settings.kinds.iter().filter_map(|kind| kind.cores).fold(0.0, f64::max);
        let cap_threads = max_cores * INITIAL_SATURATION * manager_fraction;
        let below_min_cap = settings.limits.health_checks && cap_threads < MIN_CAP_THREADS && max_cores > 0.0;
        let saturation_threads_per_core =
            if below_min_cap { INITIAL_SATURATION_BELOW_MIN_CAP } else { INITIAL_SATURATION };
        FleetCapacity {
            manager_fraction,
            below_min_cap,
            saturation_threads_per_core,
            stretch: 0.0,
            median_slowdown: 1.0,
            listed_engines: 0,
        }
    }

    /// Records that an answer took this multiple of its latency on an idle engine.
    pub(super) fn record_stretch(&mut self, stretch: f64) {
        self.stretch += STRETCH_WEIGHT * (stretch.min(MAX_STRETCH) - self.stretch);
    }

    /// Adjusts the saturation by one step, depending on the stretch. It only rises while best-effort requests
    /// are queued.
    pub(super) fn adjust_saturation(&mut self, best_effort_waits: bool) {
        let has_capacity = best_effort_waits && self.stretch > 0.0 && self.stretch < STRETCH_RANGE.min;
        let is_overloaded = self.stretch > STRETCH_RANGE.max;
        let step = SATURATION_STEP * (f64::from(has_capacity) - f64::from(is_overloaded));
        let saturation = self.saturation_threads_per_core * (1.0 + step);
        self.saturation_threads_per_core = SATURATION_BOUNDS.clamp(saturation);
    }

    /// The cap of this manager on one engine (threads). It is lower on a congested engine.
    fn cap_threads(&self, engine: &Engine) -> f64 {
        let healthy_cap = engine.cores * self.saturation_threads_per_core * self.manager_fraction;
        let cap = healthy_cap * (CONGESTED_SLOWDOWN / engine.health.slowdown).min(1.0);
        cap.max(MIN_CAP_THREADS)
    }

    /// Whether one more request with this many threads is within the cap. The first always is.
    fn is_within_cap(&self, engine: &Engine, threads: f64) -> bool {
        let local_threads = engine.local_load.threads;
        local_threads == 0.0 || local_threads + threads <= self.cap_threads(engine)
    }
}

impl Engine {
    /// Whether one more request with this much memory would fill the engine's memory too far.
    pub(super) fn is_short_of_memory(&self, memory_mb: f64, mean_query: &Load) -> bool {
        let peer_queries = self.reported.peer_queries;
        if self.local_load.queries + peer_queries < EMPTY_BELOW_QUERIES {
            return false;
        }
        let estimated_mb = self.local_load.memory_mb + peer_queries * mean_query.memory_mb + memory_mb;
        let added_fraction = self.reported.concurrent_observers * memory_mb / self.memory_mb;
        let reported_fraction = self.reported.memory_fraction + added_fraction;
        estimated_mb > MAX_MEMORY_FRACTION * self.memory_mb || reported_fraction > MAX_MEMORY_FRACTION
    }

    /// Whether the engine is so slow that it is sent nothing beyond this manager's cap.
    fn is_congested(&self) -> bool {
        self.health.slowdown > CONGESTED_SLOWDOWN
            || self.health.check_latency_excess > CONGESTED_LATENCY_EXCESS
    }
}

impl Scheduler {
    /// Whether an engine has capacity for a request of this class: it has the memory, and either it is not
    /// under pressure or the request is within this manager's cap.
    pub(super) fn has_capacity(&self, request: &PendingRequest, engine: &Engine, mean_query: &Load) -> bool {
        let threads = self.settings.classes[request.class].threads;
        let under_pressure = engine.is_congested() || self.would_saturate(request.class, engine, mean_query);
        let within_cap = !self.capacity.below_min_cap && self.capacity.is_within_cap(engine, threads);
        // Uses the lesser memory of request and class, because the result applies to the whole class until
        // the next upkeep.
        let memory_mb = request.memory_mb.min(self.classes[request.class].statistics.memory_mb);
        (!under_pressure || within_cap) && !engine.is_short_of_memory(memory_mb, mean_query)
    }

    /// Whether half of one more request of this class would saturate the engine.
    fn would_saturate(&self, class: usize, engine: &Engine, mean_query: &Load) -> bool {
        let class = &self.settings.classes[class];
        let threads = engine.local_load.threads + engine.reported.peer_queries * mean_query.threads;
        let headroom = if class.is_sensitive() { SENSITIVE_HEADROOM } else { 0.0 };
        let saturation = self.capacity.saturation_threads_per_core + headroom;
        let is_busy = engine.health.check_latency_excess > BUSY_LATENCY_EXCESS;
        let limit = if is_busy { saturation / 2.0 } else { saturation };
        threads + class.threads / 2.0 > limit * engine.slow_start.effective_cores
    }
}
