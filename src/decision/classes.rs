//! Statistics of each class: its resource needs, its latencies, and the patience of its clients.

use super::bounds::Bounds;
use super::latency_budget::latency_budget;
use super::requests::Attempt;
use super::scheduler::Scheduler;
use super::tenants::Stream;
use super::types::{AttemptEnd, ClassSettings, Millis, Usage};
use sanddyke_statistics::{StepCache, Window};

/// A class with a latency objective below this is sensitive: "sub-second" on the design page (ms).
const SENSITIVE_BELOW_MS: Millis = 1000.0;
/// Maximum number of completions in a stream's window: "1K" on the design page.
const STREAM_WINDOW_COMPLETIONS: usize = 1000;
/// CV from which a class's latency budget is computed until there are completions: that of the exponential
/// distribution.
const INITIAL_CV: f64 = 1.0;
/// Number of answers over which a class's resource needs are averaged.
pub(super) const RESOURCE_MEAN_ANSWERS: f64 = 200.0;
/// Number of answers over which a class's mean latency is averaged, and from which on its minimum is tracked.
const LATENCY_MEAN_ANSWERS: f64 = 50.0;
/// Fraction by which the minimum of the mean latency rises per refit, so that old minima expire.
const BEST_LATENCY_DECAY: f64 = 0.003;
/// Weight of one disconnect in the patience of its class.
const PATIENCE_WEIGHT: f64 = 0.05;
/// Fraction by which patience recovers per refit, so that a few early disconnects do not shorten it for long.
const PATIENCE_RECOVERY: f64 = 0.03;
/// Maximum weight of one answer in the hint bias.
const MAX_HINT_BIAS_WEIGHT: f64 = 0.02;
/// Bounds of the ratio of used to estimated work with which one answer counts.
const WORK_RATIO_BOUNDS: Bounds = Bounds::new(0.2, 5.0);

impl ClassSettings {
    /// Whether its requests are sent in order of due time instead of in fair rotation.
    pub(super) fn is_sensitive(&self) -> bool {
        self.latency_objective_ms < SENSITIVE_BELOW_MS
    }

    /// Latency objective of a request of this much work (ms).
    pub(super) fn latency_objective_for(&self, work_ms: Millis) -> Millis {
        let stretch_ms = self.latency_objective_stretch * work_ms / self.threads;
        (self.latency_objective_ms + stretch_ms).min(self.deadline_ms)
    }
}

/// State of one class.
#[derive(Debug)]
pub(super) struct ClassState {
    pub(super) statistics: ClassStatistics,
    /// Initial value of a tenant's stream of this class.
    pub(super) initial_stream: Stream,
    /// Latency budgets by CV and latency objective.
    pub(super) latency_budgets: StepCache,
    /// Number of queued best-effort requests.
    pub(super) queued: usize,
    /// Requests for which no engine had capacity in this round of dispatch.
    pub(super) placement_failures: usize,
}

impl ClassState {
    /// Initial state of a class. Half of its latency objective is assumed to be service time.
    pub(super) fn new(class: &ClassSettings) -> ClassState {
        let service_ms = class.latency_objective_ms / 2.0;
        let budget_ms = latency_budget(INITIAL_CV, class.latency_objective_ms, class.deadline_ms);
        let initial_stream = Stream {
            completions: Window::new(STREAM_WINDOW_COMPLETIONS),
            service_ms,
            slack_ms: (budget_ms - service_ms).max(0.0),
        };
        let statistics = ClassStatistics {
            work_ms: service_ms * class.threads,
            hint_bias: 1.0,
            patience_ms: class.deadline_ms,
            ..ClassStatistics::default()
        };
        ClassState {
            statistics,
            initial_stream,
            latency_budgets: StepCache::default(),
            queued: 0,
            placement_failures: 0,
        }
    }
}

/// Running means over a class's answers.
#[derive(Debug, Default)]
pub(super) struct ClassStatistics {
    /// Number of answers in the means, up to [`RESOURCE_MEAN_ANSWERS`].
    pub(super) answers: f64,
    /// Work of a request (ms of one thread).
    pub(super) work_ms: Millis,
    /// Memory of a request (MB).
    pub(super) memory_mb: f64,
    /// Ratio of the used work to the client's estimate.
    pub(super) hint_bias: f64,
    /// Time from sending an attempt to its answer (ms).
    pub(super) mean_latency_ms: Millis,
    /// Minimum of the mean latency (ms). It rises slowly, so that old minima expire.
    pub(super) best_latency_ms: Millis,
    /// Time that its clients wait before they disconnect (ms).
    pub(super) patience_ms: Millis,
}

impl ClassStatistics {
    /// Estimated work of a request (ms of one thread), from the client's estimate if there is one.
    pub(super) fn estimate_work_ms(&self, hint_ms: Option<Millis>) -> Millis {
        hint_ms.map_or(self.work_ms, |hint_ms| hint_ms * self.hint_bias)
    }

    /// Records that a client disconnected after this time.
    pub(super) fn record_disconnect(&mut self, waited_ms: Millis) {
        self.patience_ms += PATIENCE_WEIGHT * (waited_ms - self.patience_ms);
    }

    /// Lets the minimum latency rise and the patience recover; called once per refit.
    pub(super) fn decay(&mut self, deadline_ms: Millis) {
        self.best_latency_ms *= 1.0 + BEST_LATENCY_DECAY;
        self.patience_ms = (self.patience_ms * (1.0 + PATIENCE_RECOVERY)).min(deadline_ms);
    }

    /// Records an answer and returns the resources that the request used. If they are not reported, they are
    /// derived from the minimum of the mean latency.
    fn record_answer(&mut self, attempt: &Attempt, end: &AttemptEnd) -> Usage {
        self.answers = (self.answers + 1.0).min(RESOURCE_MEAN_ANSWERS);
        let answer_weight = 1.0 / self.answers;
        self.record_latency(answer_weight.max(1.0 / LATENCY_MEAN_ANSWERS), end.elapsed_ms);

        let assumed =
            Usage { work_ms: self.best_latency_ms * attempt.load.threads, memory_mb: self.memory_mb };
        let usage = end.usage.unwrap_or(assumed);
        let weight = if end.usage.is_some() { answer_weight } else { 1.0 };
        self.work_ms += weight * (usage.work_ms - self.work_ms);
        self.memory_mb += weight * (usage.memory_mb - self.memory_mb);
        let work_ratio = WORK_RATIO_BOUNDS.clamp(usage.work_ms / attempt.load.work_ms);
        self.hint_bias *= work_ratio.powf(weight.min(MAX_HINT_BIAS_WEIGHT));
        usage
    }

    /// Updates the mean latency with an answer, and its minimum with the mean.
    fn record_latency(&mut self, weight: f64, latency_ms: Millis) {
        self.mean_latency_ms += weight * (latency_ms - self.mean_latency_ms);
        self.best_latency_ms = if self.answers < LATENCY_MEAN_ANSWERS {
            self.mean_latency_ms
        } else {
            self.best_latency_ms.min(self.mean_latency_ms)
        };
    }
}

impl Scheduler {
    /// Records an answer: the resource needs of its class and the slowdown of its engine.
    pub(super) fn record_served_attempt(&mut self, attempt: &Attempt, end: &AttemptEnd) {
        let statistics = &mut self.classes[attempt.class].statistics;
        let usage = statistics.record_answer(attempt, end);
        self.traffic.record_finished_work(usage.work_ms);
        let idle_engine_ms = (usage.work_ms / attempt.load.threads).max(1.0);
        // Without reported usage the latency on an idle engine is a mean, so it is compared with a mean.
        let latency_ms = if end.usage.is_some() { end.elapsed_ms } else { statistics.mean_latency_ms };
        if end.usage.is_none() || !self.settings.classes[attempt.class].is_sensitive() {
            self.capacity.record_stretch(latency_ms / idle_engine_ms);
        }
        if let Some(engine) = self.engines.get_mut(&attempt.engine) {
            // An answer counts as a report as well: it freed a slot, and an engine that answers is not
            // congested.
            engine.reported.received_at = Some(self.now);
            engine.health.record_slowdown(end.elapsed_ms / idle_engine_ms);
        }
    }
}
