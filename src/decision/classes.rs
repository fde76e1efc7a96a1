//! What is learned of each class: its needs, its latencies, and how long its clients wait.

use super::bounds::Bounds;
use super::gateway::Gateway;
use super::latency_budget::latency_budget;
use super::requests::Attempt;
use super::tenants::Stream;
use super::types::{AttemptEnd, ClassSettings, Millis, Usage};
use sanddyke_statistics::{Memo, Window};

/// A class with a latency objective below this is sensitive: "sub-second" on the design page (ms).
const SENSITIVE_BELOW_MS: Millis = 1000.0;
/// Completions that a stream looks back on: the design page's 1K.
const STREAM_WINDOW_COMPLETIONS: usize = 1000;
/// CV by which the latency budget of a class is set until completions tell it: that of the exponential law.
const INITIAL_CV: f64 = 1.0;
/// Answers over which a class's needs are averaged. Ours.
pub(super) const LEARNING_ANSWERS: f64 = 200.0;
/// Answers over which a class's mean latency is averaged, and from which the best of it is sought. Ours.
const LATENCY_ANSWERS: f64 = 50.0;
/// Fraction by which the best mean latency is forgotten a refit. Ours.
const BEST_LATENCY_DECAY: f64 = 0.003;
/// Weight of one disconnected client in its class's patience. Ours.
const PATIENCE_WEIGHT: f64 = 0.05;
/// Fraction by which patience grows back a refit: a few that leave early must not shorten it for long. Ours.
const PATIENCE_RECOVERY: f64 = 0.03;
/// Maximum weight of one answer in the bias of hints. Ours.
const MAX_HINT_BIAS_WEIGHT: f64 = 0.02;
/// Bounds of the ratio of used to estimated work that one answer counts with. Ours.
const WORK_RATIO_BOUNDS: Bounds = Bounds::new(0.2, 5.0);

impl ClassSettings {
    /// Whether its requests go by due time, rather than in fair rotation.
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
    /// What a tenant's stream of this class begins with.
    pub(super) initial_stream: Stream,
    /// Latency budgets by CV and latency objective.
    pub(super) latency_budgets: Memo,
    /// Best-effort requests that are queued.
    pub(super) queued: usize,
    /// Requests for which no engine had capacity in this round of dispatch.
    pub(super) placement_failures: usize,
}

impl ClassState {
    /// The state of a class of which nothing is learned yet: half of its latency objective is service time.
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
            latency_budgets: Memo::default(),
            queued: 0,
            placement_failures: 0,
        }
    }
}

/// Running means over a class's answers.
#[derive(Debug, Default)]
pub(super) struct ClassStatistics {
    /// Answers that the means are over, up to [`LEARNING_ANSWERS`].
    pub(super) answers: f64,
    /// Work of a request (ms of one thread).
    pub(super) work_ms: Millis,
    /// Memory of a request (MB).
    pub(super) memory_mb: f64,
    /// Used work over the client's estimate.
    pub(super) hint_bias: f64,
    /// Time from sending an attempt to its answer (ms).
    pub(super) mean_latency_ms: Millis,
    /// The least that the mean latency was for long (ms).
    pub(super) best_latency_ms: Millis,
    /// How long its clients wait (ms).
    pub(super) patience_ms: Millis,
}

impl ClassStatistics {
    /// Work of a request, by its client's estimate where there is one (ms of one thread).
    pub(super) fn estimate_work_ms(&self, hint_ms: Option<Millis>) -> Millis {
        hint_ms.map_or(self.work_ms, |hint_ms| hint_ms * self.hint_bias)
    }

    /// A client gave up after this time.
    pub(super) fn record_disconnect(&mut self, waited_ms: Millis) {
        self.patience_ms += PATIENCE_WEIGHT * (waited_ms - self.patience_ms);
    }

    /// Forgets a little: once a refit.
    pub(super) fn decay(&mut self, deadline_ms: Millis) {
        self.best_latency_ms *= 1.0 + BEST_LATENCY_DECAY;
        self.patience_ms = (self.patience_ms * (1.0 + PATIENCE_RECOVERY)).min(deadline_ms);
    }

    /// Learns from an answer; gives what the request used. Where that is not reported, it is what the best mean
    /// latency amounts to.
    fn record_answer(&mut self, attempt: &Attempt, end: &AttemptEnd) -> Usage {
        self.answers = (self.answers + 1.0).min(LEARNING_ANSWERS);
        let answer_weight = 1.0 / self.answers;
        self.record_latency(answer_weight.max(1.0 / LATENCY_ANSWERS), end.elapsed_ms);

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

    /// Takes the latency of an answer into the mean, and that into the best.
    fn record_latency(&mut self, weight: f64, latency_ms: Millis) {
        self.mean_latency_ms += weight * (latency_ms - self.mean_latency_ms);
        self.best_latency_ms = if self.answers < LATENCY_ANSWERS {
            self.mean_latency_ms
        } else {
            self.best_latency_ms.min(self.mean_latency_ms)
        };
    }
}

impl Gateway {
    /// Learns from an answer: the needs of its class, and how much slower than alone its engine is.
    pub(super) fn learn_from_answer(&mut self, attempt: &Attempt, end: &AttemptEnd) {
        let statistics = &mut self.classes[attempt.class].statistics;
        let usage = statistics.record_answer(attempt, end);
        self.traffic.record_finished_work(usage.work_ms);
        let alone_ms = (usage.work_ms / attempt.load.threads).max(1.0);
        // Without reported usage the time alone is a mean, so it is compared with one.
        let latency_ms = if end.usage.is_some() { end.elapsed_ms } else { statistics.mean_latency_ms };
        if end.usage.is_none() || !self.settings.classes[attempt.class].is_sensitive() {
            self.capacity.record_stretch(latency_ms / alone_ms);
        }
        if let Some(engine) = self.engines.get_mut(&attempt.engine) {
            // A freed slot counts as a report as well: what answers is not jammed.
            engine.reported.received_at = Some(self.now);
            engine.health.record_slowdown(end.elapsed_ms / alone_ms);
        }
    }
}
