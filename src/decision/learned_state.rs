//! State that a scheduler has learned, for the process that succeeds this one: levels and means, but no
//! moments and no requests. It contains no decisions: the successor applies the same rules from this state
//! on.
//!
//! Restored state never relaxes a rule. It can only extend an engine's warm-up, and it contains neither an
//! engine's state in the list nor its slow-start credit. A value that is NaN or infinite is ignored, and one
//! that is out of bounds is clamped. The serialized names are those of the first version.

use super::alpha::ALPHA_BOUNDS;
use super::bounds::Bounds;
use super::capacity::{MAX_STRETCH, SATURATION_BOUNDS};
use super::classes::{ClassState, RESOURCE_MEAN_ANSWERS};
use super::engines::Engine;
use super::outliers::MAX_SLOWDOWN;
use super::scheduler::Scheduler;
use super::tenants::Stream;
use super::types::{EngineId, Millis};
use serde::{Deserialize, Serialize};

/// Upper bound of any restored work, memory or rate.
const MAX_RESTORED_VALUE: f64 = 1e9;
/// Bounds of the hint bias.
const HINT_BIAS_BOUNDS: Bounds = Bounds::new(0.01, 100.0);
/// Minimum work of a request (ms of one thread), and minimum patience (ms).
const MIN_TIME_MS: Millis = 1.0;

/// Levels of the whole scheduler.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct LearnedRates {
    /// Alpha; `None` until it is known.
    pub alpha: Option<f64>,
    /// Threads per core at which an engine counts as saturated.
    #[serde(rename = "full")]
    pub saturation_threads_per_core: f64,
    /// Smoothed ratio of the latency of best-effort answers to their latency on an idle engine.
    pub stretch: f64,
    /// Work finished per ms (ms of one thread).
    #[serde(rename = "rate")]
    pub work_per_ms: f64,
    /// Requests received per ms.
    #[serde(rename = "arrival_rate")]
    pub requests_per_ms: f64,
}

/// Means of one class.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct LearnedClass {
    /// Number of answers in the means.
    #[serde(rename = "seen")]
    pub answers: f64,
    /// Work (ms of one thread).
    #[serde(rename = "work")]
    pub work_ms: f64,
    /// Memory (MB).
    #[serde(rename = "memory")]
    pub memory_mb: f64,
    /// Ratio of the used work to the client's estimate.
    #[serde(rename = "bias")]
    pub hint_bias: f64,
    /// Time from sending an attempt to its answer (ms).
    #[serde(rename = "elapsed")]
    pub mean_latency_ms: f64,
    /// Minimum of the mean latency (ms). It rises slowly, so that old minima expire.
    #[serde(rename = "best")]
    pub best_latency_ms: f64,
    /// Time that clients wait before they disconnect (ms).
    #[serde(rename = "patience")]
    pub patience_ms: f64,
    /// Time on an engine, averaged over the tenants that sent requests recently (ms).
    #[serde(rename = "service")]
    pub service_ms: f64,
    /// Latency budget minus the service time, averaged over the same tenants (ms).
    #[serde(rename = "slack")]
    pub slack_ms: f64,
}

/// Measurements of one engine that neither the list nor its next load report contains.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct LearnedEngine {
    /// Ratio of the latency of answers to their latency on an idle engine.
    #[serde(rename = "slow")]
    pub slowdown: f64,
    /// Remaining time of the warm-up (ms).
    #[serde(rename = "cold_ms")]
    pub warm_up_remaining_ms: f64,
}

/// Measurements of the engine with this id.
#[derive(Debug, Clone, PartialEq)]
pub struct LearnedEngineEntry {
    /// Id of the engine.
    pub id: EngineId,
    /// Measurements of the engine.
    pub learned: LearnedEngine,
}

/// The complete learned state.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LearnedState {
    /// Levels of the whole scheduler.
    pub rates: LearnedRates,
    /// Means by class number; `None` for a class without measurements.
    pub classes: Vec<Option<LearnedClass>>,
    /// Measurements of the listed engines.
    pub engines: Vec<LearnedEngineEntry>,
}

/// Restores a value, clamped to its bounds. A value that is NaN or infinite is ignored.
fn restore_value(target: &mut f64, value: f64, bounds: Bounds) {
    if let Some(value) = bounds.clamp_finite(value) {
        *target = value;
    }
}

impl ClassState {
    /// Learned state of the class, with the means over the streams of the tenants that sent requests
    /// recently.
    fn learned(&self, streams: &[&Stream]) -> LearnedClass {
        let mean = |value: fn(&Stream) -> f64| match streams.len() {
            0 => value(&self.initial_stream),
            count => streams.iter().map(|stream| value(stream)).sum::<f64>() / count as f64,
        };
        LearnedClass {
            answers: self.statistics.answers,
            work_ms: self.statistics.work_ms,
            memory_mb: self.statistics.memory_mb,
            hint_bias: self.statistics.hint_bias,
            mean_latency_ms: self.statistics.mean_latency_ms,
            best_latency_ms: self.statistics.best_latency_ms,
            patience_ms: self.statistics.patience_ms,
            service_ms: mean(|stream| stream.service_ms),
            slack_ms: mean(|stream| stream.slack_ms),
        }
    }

    /// Restores the learned state of the class. Its latencies are bounded by its deadline.
    fn restore(&mut self, learned: &LearnedClass, deadline_ms: Millis) {
        let non_negative = Bounds::new(0.0, MAX_RESTORED_VALUE);
        let latency = Bounds::new(0.0, deadline_ms);
        let statistics = &mut self.statistics;
        restore_value(&mut statistics.answers, learned.answers, Bounds::new(0.0, RESOURCE_MEAN_ANSWERS));
        restore_value(&mut statistics.work_ms, learned.work_ms, Bounds::new(MIN_TIME_MS, MAX_RESTORED_VALUE));
        restore_value(&mut statistics.memory_mb, learned.memory_mb, non_negative);
        restore_value(&mut statistics.hint_bias, learned.hint_bias, HINT_BIAS_BOUNDS);
        restore_value(&mut statistics.mean_latency_ms, learned.mean_latency_ms, latency);
        restore_value(&mut statistics.best_latency_ms, learned.best_latency_ms, latency);
        let patience = Bounds::new(MIN_TIME_MS, deadline_ms);
        restore_value(&mut statistics.patience_ms, learned.patience_ms, patience);
        restore_value(&mut self.initial_stream.service_ms, learned.service_ms, latency);
        restore_value(&mut self.initial_stream.slack_ms, learned.slack_ms, latency);
    }
}

impl Engine {
    /// Learned state of the engine.
    fn learned(&self, now: Millis) -> LearnedEngine {
        let warm_up_remaining_ms = (self.slow_start.warm_at - now).max(0.0);
        LearnedEngine { slowdown: self.health.slowdown, warm_up_remaining_ms }
    }
}

impl Scheduler {
    /// The learned state. Iterates over classes, engines and the tenants that sent requests recently.
    pub fn learned_state(&self) -> LearnedState {
        let listed = self.engines.values().filter(|engine| engine.is_listed());
        LearnedState {
            rates: LearnedRates {
                alpha: self.alpha.alpha,
                saturation_threads_per_core: self.capacity.saturation_threads_per_core,
                stretch: self.capacity.stretch,
                work_per_ms: self.traffic.work_per_ms,
                requests_per_ms: self.traffic.requests_per_ms,
            },
            classes: (0..self.classes.len()).map(|index| Some(self.learned_class(index))).collect(),
            engines: listed
                .map(|engine| LearnedEngineEntry { id: engine.entry.id, learned: engine.learned(self.now) })
                .collect(),
        }
    }

    /// Learned state of one class.
    fn learned_class(&self, index: usize) -> LearnedClass {
        let streams = self.tenants.values().map(|tenant| &tenant.streams[index]);
        let recent: Vec<&Stream> = streams.filter(|stream| !stream.completions.is_empty()).collect();
        self.classes[index].learned(&recent)
    }

    /// Sets the maximum number of requests that clients can have open at this manager. It is lower while
    /// another process has some of their connections.
    pub fn set_max_open_requests(&mut self, limit: Option<usize>) {
        self.settings.limits.max_open_requests = limit;
    }

    /// Continues from the state that another process had learned `age_ms` ago. Unknown engines are ignored.
    pub fn restore(&mut self, state: &LearnedState, age_ms: Millis) {
        self.restore_rates(&state.rates);
        let classes = self.classes.iter_mut().zip(&self.settings.classes).zip(&state.classes);
        for ((class, settings), learned) in classes {
            if let Some(learned) = learned.as_ref().filter(|learned| learned.answers > 0.0) {
                class.restore(learned, settings.deadline_ms);
            }
        }
        for entry in &state.engines {
            self.restore_engine(entry, age_ms);
        }
    }

    /// Restores the levels of the whole scheduler.
    fn restore_rates(&mut self, learned: &LearnedRates) {
        if let Some(alpha) = learned.alpha.and_then(|alpha| ALPHA_BOUNDS.clamp_finite(alpha)) {
            self.alpha.alpha = Some(alpha);
        }
        let non_negative = Bounds::new(0.0, MAX_RESTORED_VALUE);
        let saturation = learned.saturation_threads_per_core;
        restore_value(&mut self.capacity.saturation_threads_per_core, saturation, SATURATION_BOUNDS);
        restore_value(&mut self.capacity.stretch, learned.stretch, Bounds::new(0.0, MAX_STRETCH));
        restore_value(&mut self.traffic.work_per_ms, learned.work_per_ms, non_negative);
        restore_value(&mut self.traffic.requests_per_ms, learned.requests_per_ms, non_negative);
    }

    /// Restores the learned state of one engine, whose warm-up has continued in the meantime.
    fn restore_engine(&mut self, entry: &LearnedEngineEntry, age_ms: Millis) {
        let rules = &self.settings.rules;
        let Some(engine) = self.engines.get_mut(&entry.id) else { return };
        let slowdown_bounds = Bounds::new(1.0, MAX_SLOWDOWN);
        restore_value(&mut engine.health.slowdown, entry.learned.slowdown, slowdown_bounds);
        let remaining_ms = entry.learned.warm_up_remaining_ms - age_ms.max(0.0);
        let warm_up = Bounds::new(0.0, rules.warm_up_ms);
        let warm_at = self.now + warm_up.clamp_finite(remaining_ms).unwrap_or(0.0);
        engine.slow_start.begin(warm_at, self.now, 0.0, &mut self.rng);
        engine.slow_start.update(self.now, 0.0, engine.cores, rules, self.settings.manager_count);
    }
}
