//! Outlier detection: the health of an engine by the outcomes of attempts and health checks, and its ejection.

use super::gateway::Gateway;
use super::types::{Action, EngineId, LogMessage, Millis, Outcome};

/// Connection failures, or unanswered health checks, in a row after which an engine is ejected until it answers.
/// Ours.
pub(super) const EJECT_AFTER_FAILURES: u32 = 2;
/// Attempts lost this close together were lost with one connection (ms). Ours.
const SAME_LOSS_MS: Millis = 50.0;
/// Pause of an engine after a connection failure (ms). Ours.
const FAILURE_PAUSE_MS: Millis = 500.0;
/// Pause of an engine that rejected an attempt because it was full (ms). Ours.
const FULL_PAUSE_MS: Millis = 200.0;
/// An engine that was down for longer than this has restarted, and is warming up (ms). Ours.
const RESTART_AFTER_MS: Millis = 1500.0;
/// An engine with this slowdown is jammed: the design page's "latency far above best". Ours.
pub(super) const JAMMED_SLOWDOWN: f64 = 3.0;
/// Weight of one answer in an engine's slowdown. Ours.
const SLOWDOWN_WEIGHT: f64 = 0.1;
/// One answer counts with this slowdown at most. Ours.
pub(super) const MAX_SLOWDOWN: f64 = 50.0;
/// Time in which a slowdown fades where there are no answers (ms). Ours.
const SLOWDOWN_FADE_MS: Millis = 8000.0;

/// Health of one engine.
#[derive(Debug, Default)]
pub(super) struct EngineHealth {
    /// Time that answers take over the time that they would take alone, smoothed.
    pub(super) slowdown: f64,
    /// Connection failures in a row.
    connection_failures: u32,
    /// When a connection to it last broke.
    connection_lost_at: Option<Millis>,
    /// Since when it has been ejected for connection failures.
    pub(super) down_since: Option<Millis>,
    /// It gets nothing before this.
    paused_until: Millis,
    /// Health checks in a row that it left unanswered.
    check_timeouts: u32,
    /// Latency of the last health check over the least in its zone, as a fraction of the least in any zone.
    pub(super) check_latency_excess: f64,
}

impl EngineHealth {
    /// Health of an engine of which nothing is known: good.
    pub(super) fn new() -> EngineHealth {
        EngineHealth { slowdown: 1.0, ..EngineHealth::default() }
    }

    /// Whether it leaves health checks unanswered.
    pub(super) fn is_silent(&self) -> bool {
        self.check_timeouts >= EJECT_AFTER_FAILURES
    }

    /// Whether connections to it fail, or it leaves health checks unanswered.
    pub(super) fn is_unreachable(&self) -> bool {
        self.down_since.is_some() || self.is_silent()
    }

    /// Whether it gets nothing for a moment, because it was full or a connection failed.
    pub(super) fn is_paused(&self, now: Millis) -> bool {
        now < self.paused_until
    }

    /// An answer took this times what it would have taken alone.
    pub(super) fn record_slowdown(&mut self, slowdown: f64) {
        self.slowdown += SLOWDOWN_WEIGHT * (slowdown.min(MAX_SLOWDOWN) - self.slowdown);
    }

    /// Lets the slowdown fade towards 1, as engines that get nothing have no answers.
    pub(super) fn fade_slowdown(&mut self, elapsed_ms: Millis) {
        let fraction = (elapsed_ms / SLOWDOWN_FADE_MS).min(1.0);
        self.slowdown += (1.0 - self.slowdown).min(0.0) * fraction;
    }

    /// A health check was not answered; true where that makes the engine silent.
    pub(super) fn record_check_timeout(&mut self) -> bool {
        self.check_timeouts += 1;
        self.check_timeouts == EJECT_AFTER_FAILURES
    }

    /// It has answered.
    pub(super) fn reset_check_timeouts(&mut self) {
        self.check_timeouts = 0;
    }

    /// It answered. Gives since when it was down, where it was.
    fn record_success(&mut self) -> Option<Millis> {
        self.connection_failures = 0;
        self.check_timeouts = 0;
        self.down_since.take()
    }

    /// A connection broke, or could not be made; true where the engine goes down by it. Attempts that were lost with
    /// one connection are one failure.
    fn record_connection_failure(&mut self, now: Millis, established: bool) -> bool {
        let lost_before = self.connection_lost_at;
        let is_same_loss = established && lost_before.is_some_and(|before| now - before < SAME_LOSS_MS);
        if established {
            self.connection_lost_at = Some(now);
        }
        self.paused_until = now + FAILURE_PAUSE_MS;
        if is_same_loss {
            return false;
        }
        self.connection_failures += 1;
        let goes_down = self.connection_failures == EJECT_AFTER_FAILURES;
        if goes_down {
            self.down_since = Some(now);
        }
        goes_down
    }
}

impl Gateway {
    /// Judges an engine by the outcome of an attempt or a health check: a full one pauses, an unreachable one is down
    /// until it answers.
    pub(super) fn record_outcome(&mut self, id: EngineId, outcome: Outcome) {
        let now = self.now;
        match outcome {
            Outcome::Served => self.record_success(id),
            Outcome::Full => {
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
            | Outcome::Spoilt
            | Outcome::Cancelled
            | Outcome::NotSent => {}
        }
    }

    /// An engine that was down is back; where it was down for long it has restarted, and is warming up.
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
