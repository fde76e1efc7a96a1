//! Load reports: what engines say of their load, what follows for the load of other gateways, and how a gateway
//! below the minimum cap gets fresh reports.
//!
//! Many gateways read one report and send by it at once. A gateway below the minimum cap therefore reckons with
//! *concurrent observers*: gateways that send to the same free memory before the next report.

use super::bounds::Bounds;
use super::dispatch::MAX_PLACEMENT_FAILURES;
use super::engines::Engine;
use super::gateway::Gateway;
use super::types::{Action, EngineId, LoadReport, Millis, RequestId};
use sanddyke_statistics::Load;

/// Weight of one report in the queries of other gateways. Ours.
const PEER_LOAD_WEIGHT: f64 = 0.5;
/// Fraction of busy cores from which it says little of other gateways: it cannot exceed 1. Ours.
const BUSY_FRACTION_LIMIT: f64 = 0.75;
/// A report counts as fresh for this long (ms). Ours.
const FRESH_MS: Millis = 200.0;
/// A report is smoothed with the last one if that is at most this old (ms). Ours.
const SMOOTH_MS: Millis = 2.0 * FRESH_MS;
/// Engines that are sampled for a fresh report at once: the two of the two-choice pick.
const SAMPLE_SIZE: usize = 2;
/// Minimum time between two samples (ms). Ours.
const SAMPLE_INTERVAL_MS: Millis = 150.0;
/// Fraction of the reports that may show more memory granted than there is. Ours.
const OVERCOMMIT_TARGET: f64 = 0.1;
/// Step of one report in the correction of concurrent observers. Ours.
const OBSERVER_STEP: f64 = 0.1;
/// Bounds of that correction. Ours.
const OBSERVER_CORRECTION_BOUNDS: Bounds = Bounds::new(0.25, 4.0);

/// What an engine has reported, and what is reckoned from it.
#[derive(Debug, Default)]
pub(super) struct ReportedLoad {
    /// When it last reported, also without figures, or answered.
    pub(super) received_at: Option<Millis>,
    /// Queries of the other gateways, smoothed.
    pub(super) peer_queries: f64,
    /// Fraction of its memory that is granted; with what was sent since, by all concurrent observers.
    pub(super) memory_fraction: f64,
    /// Gateways that send by the same report; drawn anew with each.
    pub(super) concurrent_observers: f64,
    /// What this gateway ran there when the health check was sent that is in flight.
    pub(super) local_load_at_check: Option<Load>,
}

impl ReportedLoad {
    /// Whether it last reported less than this long ago.
    fn is_within(&self, now: Millis, age_ms: Millis) -> bool {
        self.received_at.is_some_and(|at| now - at < age_ms)
    }

    /// Whether its last report can be gone by.
    pub(super) fn is_fresh(&self, now: Millis) -> bool {
        self.is_within(now, FRESH_MS)
    }
}

/// How many gateways send by the same report.
#[derive(Debug)]
pub(super) struct ObserverEstimate {
    /// Gateways as busy as this one that sample the same engine, as corrected.
    pub(super) per_report: f64,
    /// Factor over what can be counted: above 1 where engines report more memory granted than there is.
    correction: f64,
}

impl Default for ObserverEstimate {
    fn default() -> ObserverEstimate {
        ObserverEstimate { per_report: 0.0, correction: 1.0 }
    }
}

impl ObserverEstimate {
    /// Takes the memory that an engine reports into the correction.
    fn record_memory(&mut self, memory_fraction: f64) {
        let overcommitted = f64::from(memory_fraction > 1.0);
        let step = OBSERVER_STEP * (overcommitted - OVERCOMMIT_TARGET);
        self.correction = OBSERVER_CORRECTION_BOUNDS.clamp(self.correction * (1.0 + step));
    }
}

/// What the estimate of the other gateways' queries on an engine goes by.
struct PeerLoadBasis {
    /// This gateway's load there when the engine reported.
    local_load: Load,
    /// Threads of a mean query.
    threads_per_query: f64,
    /// Queries of the other gateways, if they run as many as this one.
    expected_queries: f64,
}

impl PeerLoadBasis {
    /// Queries of the other gateways by a report; `None` where it has no figure for that.
    fn estimate(&self, report: &LoadReport, cores: f64) -> Option<f64> {
        if let Some(in_flight) = report.in_flight {
            return Some(in_flight - self.local_load.queries);
        }
        let busy = report.busy?;
        let queries = (busy * cores - self.local_load.threads) / self.threads_per_query;
        // A saturated engine may have any number of them: take the other gateways to be like this one.
        Some(if busy >= BUSY_FRACTION_LIMIT { queries.max(self.expected_queries) } else { queries })
    }
}

impl Gateway {
    /// Takes a load report, of a health check or an answer, into what is known of the engine.
    pub(super) fn record_load_report(&mut self, id: EngineId, report: LoadReport) {
        let threads_per_query = self.mean_query().threads;
        let local_per_engine = self.local_load.queries / self.capacity.listed_engines.max(1) as f64;
        let expected_queries = local_per_engine * (1.0 / self.capacity.gateway_fraction - 1.0);
        let below_min_cap = self.capacity.below_min_cap;
        let Some(engine) = self.engines.get_mut(&id) else { return };

        engine.health.reset_check_timeouts();
        let reported = &mut engine.reported;
        let local_load = reported.local_load_at_check.take().unwrap_or(engine.local_load);
        let smooth = !below_min_cap || reported.is_within(self.now, SMOOTH_MS);
        reported.received_at = Some(self.now);
        if below_min_cap {
            // Each observer sends its fraction of what fits: this one comes at a random place among them.
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

    /// Reckons anew how many gateways sample an engine at once. One that receives more than its part of the tenants'
    /// quotas has fewer beside it that receive as much.
    pub(super) fn refit_observers(&mut self) {
        let tenants = self.tenant_settings.iter().flatten();
        let quota_per_ms: f64 = tenants.map(|tenant| tenant.quota_per_s / 1000.0).sum();
        let quota_per_ms = if quota_per_ms > 0.0 { quota_per_ms } else { f64::MAX };
        let gateways = 1.0 / self.capacity.gateway_fraction;
        let as_busy = gateways.min(quota_per_ms / self.traffic.requests_per_ms);
        let observing = f64::from(self.capacity.below_min_cap) * as_busy;
        let listed = self.capacity.listed_engines.max(1) as f64;
        self.observers.per_report = observing * SAMPLE_SIZE as f64 / listed * self.observers.correction;
    }

    /// Whether fresh reports show an engine with capacity for the request. A gateway below the minimum cap is too
    /// quiet to know the engines otherwise: where there are none, it samples engines for some.
    pub(super) fn has_fresh_choice(&mut self, id: RequestId) -> bool {
        let request = &self.requests[&id];
        let class = request.class;
        let mean_query = self.mean_query();
        let is_usable = |engine: &&Engine| {
            self.may_receive_class(class, engine) && self.is_harmless(request, Some(&engine.entry))
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

    /// Checks some engines at random, unless a check is in flight or the last sample was just now.
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
                engine.begin_check();
            }
            self.actions.push(Action::HealthCheck(id));
            self.health_checks.next_sample_at = self.now + SAMPLE_INTERVAL_MS;
        }
    }
}
