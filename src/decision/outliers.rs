//! Outlier detection: an engine's health, from the outcomes of attempts and health checks, and its ejection.

use super::scheduler::Scheduler;
use super::types::{Action, EngineId, LogMessage, Millis, Outcome};

/// Consecutive connection failures, or unanswered health checks, after which an engine is ejected until it
/// answers.
pub(super) const EJECT_AFTER_FAILURES: u32 = 2;
/// Attempts lost within this time of each other were lost with the same connection (ms).
const SAME_CONNECTION_LOSS_MS: Millis = 50.0;
/// Pause of an engine after a connection failure (ms).
const FAILURE_PAUSE_MS: Millis = 500.0;
/// Pause of an engine that rejected an attempt because it was full (ms).
const FULL_PAUSE_MS: Millis = 200.0;
/// An engine that was down for longer than this has restarted and is warming up (ms).
const RESTART_AFTER_MS: Millis = 1500.0;
/// Slowdown above which an engine is congested: "latency far above best" on the design page.
pub(super) const CONGESTED_SLOWDOWN: f64 = 3.0;
/// Weight of one answer in an engine's slowdown.
const SLOWDOWN_WEIGHT: f64 = 0.1;
/// Maximum slowdown with which one answer counts.
pub(super) const MAX_SLOWDOWN: f64 = 50.0;
/// Time in which a slowdown decays if there are no answers (ms).
const SLOWDOWN_DECAY_MS: Millis = 8000.0;

/// Health of one engine.
#[derive(Debug, Default)]
pub(super) struct EngineHealth {
    /// Smoothed ratio of the latency of answers to their latency on an idle engine.
    pub(super) slowdown: f64,
    /// Consecutive connection failures.
    connection_failures: u32,
    /// Time at which a connection to the engine last broke.
    connection_lost_at: Option<Millis>,
    /// Time since which the engine is ejected for connection failures; `None` if it is not.
    pub(super) down_since: Option<Millis>,
    /// The engine is sent nothing before this time.
    paused_until: Millis,
    /// Consecutive unanswered health checks.
    check_timeouts: u32,
    /// Excess of the last health-check latency over the minimum of its zone, as a fraction of the minimum
    /// over all zones.
    pub(super) check_latency_excess: f64,
}

impl EngineHealth {
    /// Health of an engine without measurements: good.
    pub(super) fn new() -> EngineHealth {
        EngineHealth { slowdown: 1.0, ..EngineHealth::default() }
    }

    /// Whether the engine is ejected because it leaves health checks unanswered.
    pub(super) fn is_unresponsive(&self) -> bool {
        self.check_timeouts >= EJECT_AFTER_FAILURES
    }

    /// Whether the engine is ejected because of connection failures or unanswered health checks.
    pub(super) fn is_unreachable(&self) -> bool {
        self.down_since.is_some() || self.is_unresponsive()
    }

    /// Whether the engine is briefly sent nothing because it was full or a connection failed.
    pub(super) fn is_paused(&self, now: Millis) -> bool {
        now < self.paused_until
    }

    /// Records that an answer took this multiple of its latency on an idle engine.
    pub(super) fn record_slowdown(&mut self, slowdown: f64) {
        self.slowdown += SLOWDOWN_WEIGHT * (slowdown.min(MAX_SLOWDOWN) - self.slowdown);
    }

    /// Moves the slowdown towards 1, because an engine that is sent nothing has no answers to lower it.
    pub(super) fn decay_slowdown(&mut self, elapsed_ms: Millis) {
        let fraction = (elapsed_ms / SLOWDOWN_DECAY_MS).min(1.0);
        self.slowdown += (1.0 - self.slowdown).min(0.0) * fraction;
    }

    /// Records an unanswered health check. Returns true if the engine is ejected because of it.
    pub(super) fn record_check_timeout(&mut self) -> bool {
        self.check_timeouts += 1;
        self.check_timeouts == EJECT_AFTER_FAILURES
    }

    /// Records an answered health check or a load report.
    pub(super) fn reset_check_timeouts(&mut self) {
        self.check_timeouts = 0;
    }

    /// Records an answer. Returns since when the engine was down; `None` if it was not.
    fn record_success(&mut self) -> Option<Millis> {
        self.connection_failures = 0;
        self.check_timeouts = 0;
        self.down_since.take()
    }

    /// Records that a connection broke or could not be made. Returns true if the engine goes down because of
    /// it. Attempts that were lost with the same connection count as one failure.
    fn record_connection_failure(&mut self, now: Millis, established: bool) -> bool {
        let previous_loss_at = self.connection_lost_at;
        let is_same_connection =
            established && previous_loss_at.is_some_and(|before| now - before < SAME_CONNECTION_LOSS_MS);
        if established {
            self.connection_lost_at = Some(now);
        }
        self.paused_until = now + FAILURE_PAUSE_MS;
        if is_same_connection {
            return false;
        }
        self.connection_failures += 1;
        let is_ejected = self.connection_failures == EJECT_AFTER_FAILURES;
        if is_ejected {
            self.down_since = Some(now);
        }
        is_ejected
    }
}

impl Scheduler {
    /// Updates an engine's health by the outcome of an attempt or a health check: a full engine is paused, an
    /// unreachable one is down until it answers.
    pub(super) fn record_outcome(&mut self, id: EngineId, outcome: Outcome) {
        let now = self.now;
        match outcome {
            Outcome::Served => self.record_success(id),
            Outcome::EngineFull => {
                if let Some(engine) = self.engines.get_mut(&id) {
                    engine.health.paused_until = now + FULL_PAUSE_MS;
                }
            }
            Outcome::NoConnection | Outcome::ConnectionLost => {
                let established = outcome == Outcome::ConnectionLost;
                let Some(engine) = self.engines.get_mut(&id) else { return };
                if engine.health.record_connection_failure(now, established) {
                    self.actions.push(Action::Log(LogMessage::EngineDown(id)));
                }
            }
            Outcome::ServerError
            | Outcome::TimedOut
            | Outcome::CorruptedResponse
            | Outcome::Cancelled
            | Outcome::NotSent => {}
        }
    }

    /// Records that an engine answered. One that was down for long has restarted and is warming up.
    fn record_success(&mut self, id: EngineId) {
        let mean_work_ms = self.mean_work_ms();
        let Some(engine) = self.engines.get_mut(&id) else { return };
        let Some(down_since) = engine.health.record_success() else { return };
        if self.now - down_since > RESTART_AFTER_MS {
            let warm_at = self.now + self.settings.rules.warm_up_ms;
            engine.slow_start.begin(warm_at, self.now, mean_work_ms, &mut self.rng);
        }
        engine.health.slowdown = 1.0;
        engine.reported.peer_queries = 0.0;
        self.actions.push(Action::Log(LogMessage::EngineUp(id)));
    }
}
