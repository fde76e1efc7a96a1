//! Alpha: the chance that a free slot goes to the sensitive side. It rises by a factor while a sensitive stream
//! misses its target for disengagement, and falls by a step while all are well within theirs.

use super::bounds::Bounds;
use super::gateway::Gateway;
use super::latency_budget::{THETA, U_TARGET, ZETA, latency_budget};
use super::types::Millis;

/// Step by which alpha falls, divided by the mean CV: the paper's gamma.
const GAMMA: f64 = 0.05;
/// Fraction by which alpha rises: the paper's beta.
const BETA: f64 = 0.25;
/// Bounds of alpha, so that neither side is ever shut out. Ours.
pub(super) const ALPHA_BOUNDS: Bounds = Bounds::new(0.05, 0.95);
/// Alpha until the first completions tell the fraction of requests that are sensitive. Ours.
const INITIAL_ALPHA: f64 = 0.5;
/// Time between two refits (ms): one for each request, as in the paper, costs too much.
const REFIT_INTERVAL_MS: Millis = 500.0;
/// How far back a stream looks (ms). Ours.
const STREAM_WINDOW_MS: Millis = 10_000.0;

/// Alpha, and when it is refitted.
#[derive(Debug, Default)]
pub(super) struct AlphaController {
    /// `None` until there are completions of a sensitive class.
    pub(super) alpha: Option<f64>,
    next_refit_at: Millis,
}

impl AlphaController {
    /// The chance that a free slot goes to the sensitive side.
    pub(super) fn sensitive_chance(&self) -> f64 {
        self.alpha.unwrap_or(INITIAL_ALPHA)
    }

    /// Whether a refit is due; if so, the next one is an interval away.
    pub(super) fn refit_is_due(&mut self, now: Millis) -> bool {
        let due = now >= self.next_refit_at;
        if due {
            self.next_refit_at = now + REFIT_INTERVAL_MS;
        }
        due
    }

    /// Moves alpha by what a refit has found; it starts at the fraction of requests that are sensitive.
    fn update(&mut self, streams: &StreamSummary) {
        if streams.sensitive_streams > 0.0 {
            let alpha = self.alpha.unwrap_or(streams.sensitive_completions / streams.completions);
            let mean_cv = streams.cv_sum / streams.sensitive_streams;
            self.alpha = Some(next_alpha(alpha, streams.worst, streams.best, mean_cv));
        }
    }
}

/// Alpha's rule: `worst` and `best` are the greatest and least disengagement of a sensitive stream over the target.
pub(super) fn next_alpha(alpha: f64, worst: f64, best: f64, mean_cv: f64) -> f64 {
    let next = if worst > THETA {
        alpha * (1.0 + BETA)
    } else if best < ZETA {
        alpha - GAMMA / mean_cv
    } else {
        alpha
    };
    ALPHA_BOUNDS.clamp(next)
}

/// What a refit finds over all streams.
#[derive(Debug)]
struct StreamSummary {
    /// Completions in the windows of all streams.
    completions: f64,
    /// Those of sensitive classes.
    sensitive_completions: f64,
    /// Greatest disengagement of a sensitive stream, over the target.
    worst: f64,
    /// Least disengagement of a sensitive stream, over the target.
    best: f64,
    /// Sum of the CVs of the sensitive streams.
    cv_sum: f64,
    /// Sensitive streams with enough completions for a CV.
    sensitive_streams: f64,
}

impl Default for StreamSummary {
    fn default() -> StreamSummary {
        StreamSummary {
            completions: 0.0,
            sensitive_completions: 0.0,
            worst: 0.0,
            best: f64::INFINITY,
            cv_sum: 0.0,
            sensitive_streams: 0.0,
        }
    }
}

impl Gateway {
    /// Refits the latency budgets and alpha, and what adapts as slowly as they do.
    pub(super) fn refit(&mut self) {
        self.forget_idle_tenants();
        let streams = self.refit_streams();
        self.alpha.update(&streams);
        for (state, class) in self.classes.iter_mut().zip(&self.settings.classes) {
            state.statistics.decay(class.deadline_ms);
        }
        self.refit_observers();
        self.capacity.adjust_saturation(!self.best_effort_queue.is_empty());
    }

    /// Takes the moments of each stream, and sets its service time and slack by Algorithm 1.
    fn refit_streams(&mut self) -> StreamSummary {
        let mut summary = StreamSummary::default();
        let window_start = self.now - STREAM_WINDOW_MS;
        let streams = self.tenants.values_mut().flat_map(|tenant| tenant.streams.iter_mut().enumerate());
        for (index, stream) in streams {
            let class = &self.settings.classes[index];
            stream.completions.trim(window_start);
            let count = stream.completions.len() as f64;
            summary.completions += count;
            if class.is_sensitive() {
                summary.sensitive_completions += count;
            }
            let Some(moments) = stream.completions.moments() else { continue };
            let state = &mut self.classes[index];
            let objective_ms = class.latency_objective_for(state.statistics.work_ms);
            let budget_ms =
                state.latency_budgets.get_or_compute(moments.cv, objective_ms, |cv, objective_ms| {
                    latency_budget(cv, objective_ms, class.deadline_ms)
                });
            stream.service_ms = moments.service_ms;
            stream.slack_ms = (budget_ms - moments.service_ms).max(0.0);
            if class.is_sensitive() {
                summary.worst = summary.worst.max(moments.cost / U_TARGET);
                summary.best = summary.best.min(moments.cost / U_TARGET);
                summary.cv_sum += moments.cv;
                summary.sensitive_streams += 1.0;
            }
        }
        summary
    }
}
