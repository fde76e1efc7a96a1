//! Load reports: the load that engines report, the load of other managers that follows from it, and how a
//! manager below the minimum cap gets fresh reports.
//!
//! Many managers read the same report and send requests because of it at once. A manager below the minimum
//! cap therefore accounts for *concurrent observers*: managers that send to the same free memory before the
//! next report.

use super::bounds::Bounds;
use super::dispatch::MAX_PLACEMENT_FAILURES;
use super::engines::Engine;
use super::scheduler::Scheduler;
use super::types::{Action, EngineId, LoadReport, Millis, RequestId};
use sanddyke_statistics::Load;

/// Weight of one report in the queries of other managers.
const PEER_LOAD_WEIGHT: f64 = 0.5;
/// Reported fraction of busy cores from which on it tells little about the load of other managers, because it
/// cannot exceed 1.
const BUSY_FRACTION_LIMIT: f64 = 0.75;
/// Time for which a report counts as fresh (ms).
const REPORT_FRESH_MS: Millis = 200.0;
/// Maximum age of the last report with which a new one is smoothed (ms).
const REPORT_SMOOTHING_MS: Millis = 2.0 * REPORT_FRESH_MS;
/// Number of engines that are sampled for a fresh report at once: the two of the two-choice selection.
const SAMPLE_SIZE: usize = 2;
/// Minimum time between two samples (ms).
const SAMPLE_INTERVAL_MS: Millis = 150.0;
/// Accepted fraction of reports in which the granted memory exceeds the engine's memory.
const OVERCOMMIT_TARGET: f64 = 0.1;
/// Step by which one report changes the correction of concurrent observers.
const OBSERVER_STEP: f64 = 0.1;
/// Bounds of that correction.
const OBSERVER_CORRECTION_BOUNDS: Bounds = Bounds::new(0.25, 4.0);

/// Load that an engine has reported, and the estimates derived from it.
#[derive(Debug, Default)]
pub(super) struct ReportedLoad {
    /// Time of its last report (with or without values) or answer.
    pub(super) received_at: Option<Millis>,
    /// Estimated queries of the other managers, smoothed.
    pub(super) peer_queries: f64,
    /// Fraction of the engine's memory that is granted, including the estimate of what all concurrent
    /// observers have sent since the report.
    pub(super) memory_fraction: f64,
    /// Number of managers assumed to send because of the same report; sampled for each report.
    pub(super) concurrent_observers: f64,
    /// This manager's load on the engine when the health check in flight was sent; `None` if none is in
    /// flight.
    pub(super) local_load_at_check: Option<Load>,
}

impl ReportedLoad {
    /// Whether the last report is younger than this.
    fn is_younger_than(&self, now: Millis, age_ms: Millis) -> bool {
        self.received_at.is_some_and(|at| now - at < age_ms)
    }

    /// Whether the last report is recent enough to base a decision on.
    pub(super) fn is_fresh(&self, now: Millis) -> bool {
        self.is_younger_than(now, REPORT_FRESH_MS)
    }
}

/// Estimate of the number of managers that send because of the same report.
#[derive(Debug)]
pub(super) struct ObserverEstimate {
    /// Expected number of managers, as busy as this one, that sample the same engine; includes the
    /// correction.
    pub(super) per_report: f64,
    /// Factor on the expected number. It rises above 1 while engines report more memory granted than they
    /// have.
    correction: f64,
}

impl Default for ObserverEstimate {
    fn default() -> ObserverEstimate {
        ObserverEstimate { per_report: 0.0, correction: 1.0 }
    }
}

impl ObserverEstimate {
    /// Adjusts the correction by the memory that an engine reports.
    fn record_memory(&mut self, memory_fraction: f64) {
        let overcommitted = f64::from(memory_fraction > 1.0);
        let step = OBSERVER_STEP * (overcommitted - OVERCOMMIT_TARGET);
        self.correction = OBSERVER_CORRECTION_BOUNDS.clamp(self.correction * (1.0 + step));
    }
}

/// Basis of the estimate of the other managers' queries on an engine.
struct PeerLoadBasis {
    /// This manager's load on the engine when the engine reported.
    local_load: Load,
    /// Threads of a mean query.
    threads_per_query: f64,
    /// Queries of the other managers if each has as many as this one.
    expected_queries: f64,
}

impl PeerLoadBasis {
    /// Queries of the other managers, from a report; `None` if it contains no value for that.
    fn estimate(&self, report: &LoadReport, cores: f64) -> Option<f64> {
        if let Some(in_flight) = report.in_flight {
            return Some(in_flight - self.local_load.queries);
        }
        let busy = report.busy?;
        let queries = (busy * cores - self.local_load.threads) / self.threads_per_query;
        // A saturated engine may have any number of queries. Assume that the other managers have as many as
        // this one.
        Some(if busy >= BUSY_FRACTION_LIMIT { queries.max(self.expected_queries) } else { queries })
    }
}

impl Scheduler {
    /// Records a load report from a health check or a response.
    pub(super) fn record_load_report(&mut self, id: EngineId, report: LoadReport) {
        let threads_per_query = self.mean_query().threads;
        let local_per_engine = self.local_load.queries / self.capacity.listed_engines.max(1) as f64;
        let expected_queries = local_per_engine * (1.0 / self.capacity.manager_fraction - 1.0);
        let below_min_cap = self.capacity.below_min_cap;
        let Some(engine) = self.engines.get_mut(&id) else { return };

        engine.health.reset_check_timeouts();
        let reported = &mut engine.reported;
        let local_load = reported.local_load_at_check.take().unwrap_or(engine.local_load);
        let smooth = !below_min_cap || reported.is_younger_than(self.now, REPORT_SMOOTHING_MS);
        reported.received_at = Some(self.now);
        if below_min_cap {
            // Each observer sends its fraction of the free memory. This manager is at a random position among
            // them.
            reported.concurrent_observers = self.observers.per_report * self.rng.rand_float();
            reported.memory_fraction = report.memory.unwrap_or(reported.memory_fraction);
        } else {
            reported.concurrent_observers = 0.0;
        }
        if let Some(memory_fraction) = report.memory {
            self.observers.record_memory(memory_fraction);
        }
        let basis = PeerLoadBasis { local_load, threads_per_query, expected_queries };
        if let Some(peer_queries) = basis.estimate(&report, engine.cores) {
            let weight = if smooth { PEER_LOAD_WEIGHT } else { 1.0 };
            reported.peer_queries += weight * (peer_queries.max(0.0) - reported.peer_queries);
        }
    }

    /// Estimates how many managers sample an engine at once. If this manager receives more than its part of
    /// the tenants' quotas, fewer other managers receive as much.
    pub(super) fn refit_observers(&mut self) {
        let tenants = self.tenant_settings.iter().flatten();
        let quota_per_ms: f64 = tenants.map(|tenant| tenant.quota_per_s / 1000.0).sum();
        let quota_per_ms = if quota_per_ms > 0.0 { quota_per_ms } else { f64::MAX };
        let managers = 1.0 / self.capacity.manager_fraction;
        let equally_busy = managers.min(quota_per_ms / self.traffic.requests_per_ms);
        let observing = f64::from(self.capacity.below_min_cap) * equally_busy;
        let listed = self.capacity.listed_engines.max(1) as f64;
        self.observers.per_report = observing * SAMPLE_SIZE as f64 / listed * self.observers.correction;
    }

    /// Whether fresh reports show an engine with capacity for the request. Below the minimum cap, this
    /// manager has too little traffic to know the engines' load otherwise. If there are no fresh reports, it
    /// samples engines.
    pub(super) fn has_fresh_choice(&mut self, id: RequestId) -> bool {
        let request = &self.requests[&id];
        let class = request.class;
        let mean_query = self.mean_query();
        let is_usable = |engine: &&Engine| {
            self.may_receive_class(class, engine) && self.is_retry_safe(request, Some(&engine.entry))
        };
        let usable = self.engines.values().filter(is_usable);
        let (fresh, stale): (Vec<&Engine>, Vec<&Engine>) =
            usable.partition(|engine| engine.reported.is_fresh(self.now));
        let fits = |engine: &&Engine| {
            self.is_available(request, engine, &mean_query) && self.can_place(request, engine, &mean_query)
        };
        let wanted = (fresh.len() + stale.len()).min(SAMPLE_SIZE);
        if fresh.len() >= wanted && fresh.iter().any(fits) {
            return true;
        }
        let stale: Vec<EngineId> = stale.iter().map(|engine| engine.entry.id).collect();
        self.classes[class].placement_failures = MAX_PLACEMENT_FAILURES;
        self.sample_engines(stale);
        false
    }

    /// Sends health checks to random engines, unless one is in flight or the last sample was too recent.
    fn sample_engines(&mut self, mut candidates: Vec<EngineId>) {
        let mut engines = self.engines.values();
        let in_flight = engines.any(|engine| engine.reported.local_load_at_check.is_some());
        if in_flight || self.now < self.health_checks.next_sample_at {
            return;
        }
        for _ in 0..SAMPLE_SIZE.min(candidates.len()) {
            let index = self.rng.rand_range(0..candidates.len() as u64) as usize;
            let id = candidates.swap_remove(index);
            if let Some(engine) = self.engines.get_mut(&id) {
                engine.begin_health_check();
            }
            self.actions.push(Action::HealthCheck(id));
            self.health_checks.next_sample_at = self.now + SAMPLE_INTERVAL_MS;
        }
    }
}
