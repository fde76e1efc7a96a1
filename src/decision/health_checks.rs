//! Health checks: rounds over all engines, and evaluation of health-check latencies.

use super::engines::Engine;
use super::scheduler::Scheduler;
use super::types::{Action, EngineId, LoadReport, LogMessage, Millis, Outcome, ZoneId};
use std::collections::BTreeMap;

/// Health checks per received request, in rounds.
const CHECKS_PER_REQUEST: f64 = 0.5;
/// Minimum time between two rounds (ms).
const MIN_ROUND_INTERVAL_MS: Millis = 250.0;
/// Maximum time between two rounds (ms).
const MAX_ROUND_INTERVAL_MS: Millis = 4.0 * MIN_ROUND_INTERVAL_MS;
/// Lower bound of the arrival rate used to schedule rounds (requests per ms).
const MIN_REQUESTS_PER_MS: f64 = 0.001;

/// Schedule of health checks, and their minimum latency.
#[derive(Debug, Default)]
pub(super) struct HealthCheckSchedule {
    next_round_at: Millis,
    /// Earliest time at which engines may be sampled again for fresh load reports.
    pub(super) next_sample_at: Millis,
    /// Minimum health-check latency by zone (ms).
    min_latency_by_zone: BTreeMap<ZoneId, Millis>,
}

impl HealthCheckSchedule {
    /// Records a latency. Returns its excess over the minimum of its zone, as a fraction of the minimum over
    /// all zones.
    fn record_latency(&mut self, zone: ZoneId, latency_ms: Millis) -> f64 {
        let zone_min_ms = self.min_latency_by_zone.entry(zone).or_insert(latency_ms);
        *zone_min_ms = zone_min_ms.min(latency_ms);
        let excess_ms = latency_ms - *zone_min_ms;
        let min_ms = self.min_latency_by_zone.values().copied().fold(f64::INFINITY, f64::min);
        excess_ms / min_ms
    }
}

impl Engine {
    /// Records the load at which a health check is sent. Its report will refer to this load.
    pub(super) fn begin_health_check(&mut self) {
        self.reported.local_load_at_check = Some(self.local_load);
    }
}

impl Scheduler {
    /// A health check ended: records its latency and load report, and its outcome for the engine's health.
    pub(super) fn on_health_checked(
        &mut self,
        id: EngineId,
        outcome: Outcome,
        elapsed_ms: Millis,
        report: Option<LoadReport>,
    ) {
        // A health check without an answer shows neither a load nor a latency.
        if outcome == Outcome::Served {
            self.record_check_latency(id, elapsed_ms);
            self.record_load_report(id, report.unwrap_or_default());
        }
        if let Some(engine) = self.engines.get_mut(&id) {
            engine.reported.local_load_at_check = None;
            if outcome == Outcome::TimedOut && engine.health.record_check_timeout() {
                self.actions.push(Action::Log(LogMessage::HealthChecksUnanswered(id)));
            }
        }
        self.record_outcome(id, outcome);
        self.engine_sampler.restore(id);
    }

    /// Health checks run beside the queries, so their latency rises on a congested engine, whose cores may
    /// look idle in its load report. Managers that are bound by caps do not use it.
    fn record_check_latency(&mut self, id: EngineId, latency_ms: Millis) {
        let Some(engine) = self.engines.get_mut(&id) else { return };
        let excess = self.health_checks.record_latency(engine.entry.zone, latency_ms);
        engine.health.check_latency_excess = if self.capacity.below_min_cap { excess } else { 0.0 };
    }

    /// Checks every engine, at an interval that depends on this manager's traffic. Below the minimum cap,
    /// engines are sampled for fresh reports instead, and rounds only check unreachable engines.
    pub(super) fn check_engines(&mut self) {
        if !self.settings.limits.health_checks || self.now < self.health_checks.next_round_at {
            return;
        }
        let checks_per_ms = CHECKS_PER_REQUEST * self.traffic.requests_per_ms.max(MIN_REQUESTS_PER_MS);
        let interval_ms = self.capacity.listed_engines as f64 / checks_per_ms;
        let interval_ms = interval_ms.clamp(MIN_ROUND_INTERVAL_MS, MAX_ROUND_INTERVAL_MS);
        self.health_checks.next_round_at = self.now + interval_ms;
        for engine in self.engines.values_mut() {
            let is_due = !self.capacity.below_min_cap || engine.health.is_unreachable();
            if is_due && engine.is_listed() {
                engine.begin_health_check();
                self.actions.push(Action::HealthCheck(engine.entry.id));
            }
        }
    }
}
