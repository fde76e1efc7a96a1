//! Health checks: rounds over all engines, and what the latency of an answer tells.

use super::engines::Engine;
use super::gateway::Gateway;
use super::types::{Action, EngineId, LoadReport, LogMessage, Millis, Outcome, ZoneId};
use std::collections::BTreeMap;

/// Health checks for each request received, in rounds. Ours.
const CHECKS_PER_REQUEST: f64 = 0.5;
/// Minimum time between two rounds (ms). Ours.
const MIN_ROUND_INTERVAL_MS: Millis = 250.0;
/// Maximum time between two rounds (ms). Ours.
const MAX_ROUND_INTERVAL_MS: Millis = 4.0 * MIN_ROUND_INTERVAL_MS;
/// Rate of arrivals that is reckoned with at least (requests per ms).
const MIN_REQUESTS_PER_MS: f64 = 0.001;

/// When engines are checked, and how long a check takes at least.
#[derive(Debug, Default)]
pub(super) struct HealthCheckSchedule {
    next_round_at: Millis,
    /// When engines may be sampled for fresh load reports next.
    pub(super) next_sample_at: Millis,
    /// The least latency of a health check, by zone (ms).
    min_latency_by_zone: BTreeMap<ZoneId, Millis>,
}

impl HealthCheckSchedule {
    /// Takes a latency into the least of its zone; gives the excess over that, as a fraction of the least of all
    /// zones.
    fn record_latency(&mut self, zone: ZoneId, latency_ms: Millis) -> f64 {
        let zone_min_ms = self.min_latency_by_zone.entry(zone).or_insert(latency_ms);
        *zone_min_ms = zone_min_ms.min(latency_ms);
        let excess_ms = latency_ms - *zone_min_ms;
        let min_ms = self.min_latency_by_zone.values().copied().fold(f64::INFINITY, f64::min);
        excess_ms / min_ms
    }
}

impl Engine {
    /// Notes that a health check is sent: its report will be of the load that runs now.
    pub(super) fn begin_check(&mut self) {
        self.reported.local_load_at_check = Some(self.local_load);
    }
}

impl Gateway {
    /// A health check ended: takes its latency and report, and judges the engine by its outcome.
    pub(super) fn on_health_checked(
        &mut self,
        id: EngineId,
        outcome: Outcome,
        elapsed_ms: Millis,
        report: Option<LoadReport>,
    ) {
        // A check that was not answered tells neither a load nor the time that an answer takes.
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

    /// A health check runs beside the queries, so it takes long on a jammed engine, which looks idle by its busy
    /// cores. Gateways that are bound by caps do without.
    fn record_check_latency(&mut self, id: EngineId, latency_ms: Millis) {
        let Some(engine) = self.engines.get_mut(&id) else { return };
        let excess = self.health_checks.record_latency(engine.entry.zone, latency_ms);
        engine.health.check_latency_excess = if self.capacity.below_min_cap { excess } else { 0.0 };
    }

    /// Checks every engine, as often as this gateway's traffic allows. A gateway below the minimum cap samples engines
    /// for fresh reports instead, and checks only those that are unreachable.
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
                engine.begin_check();
                self.actions.push(Action::HealthCheck(engine.entry.id));
            }
        }
    }
}
