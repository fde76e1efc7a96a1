//! Alpha: the probability that a free slot goes to the sensitive side. It rises by a factor while the
//! disengagement of a sensitive stream is above the accepted range of its target. Otherwise it falls by a step
//! while that of a sensitive stream is below this range.

use super::bounds::Bounds;
use super::latency_budget::{DISENGAGEMENT_TARGET, MAX_TARGET_RATIO, MIN_TARGET_RATIO, latency_budget};
use super::scheduler::Scheduler;
use super::types::Millis;

/// Step by which alpha falls, divided by the mean CV (coefficient of variation): gamma in the paper.
const ALPHA_DECREASE_STEP: f64 = 0.05;
/// Fraction by which alpha rises: beta in the paper.
const ALPHA_INCREASE_FRACTION: f64 = 0.25;
/// Bounds of alpha, so that neither side is starved.
pub(super) const ALPHA_BOUNDS: Bounds = Bounds::new(0.05, 0.95);
/// Alpha until the first completions show which fraction of the requests is sensitive.
const INITIAL_ALPHA: f64 = 0.5;
/// Time between two refits (ms). One refit per request, as in the paper, costs too much.
const REFIT_INTERVAL_MS: Millis = 500.0;
/// Age of the oldest completion that a stream takes into account (ms).
const STREAM_WINDOW_MS: Millis = 10_000.0;

/// Alpha and the time of its next refit.
#[derive(Debug, Default)]
pub(super) struct AlphaController {
    /// `None` until a request of a sensitive class has completed.
    pub(super) alpha: Option<f64>,
    next_refit_at: Millis,
}

impl AlphaController {
    /// Probability that a free slot goes to the sensitive side.
    pub(super) fn sensitive_probability(&self) -> f64 {
        self.alpha.unwrap_or(INITIAL_ALPHA)
    }

    /// Whether a refit is due. If so, schedules the next one.
    pub(super) fn refit_is_due(&mut self, now: Millis) -> bool {
        let due = now >= self.next_refit_at;
        if due {
            self.next_refit_at = now + REFIT_INTERVAL_MS;
        }
        due
    }

    /// Adjusts alpha by the result of a refit. Its first value is the fraction of requests that are
    /// sensitive.
    fn update(&mut self, streams: &StreamSummary) {
        if streams.sensitive_streams > 0.0 {
            let alpha = self.alpha.unwrap_or(streams.sensitive_completions / streams.completions);
            let mean_cv = streams.cv_sum / streams.sensitive_streams;
            self.alpha = Some(next_alpha(alpha, streams.max_target_ratio, streams.min_target_ratio, mean_cv));
        }
    }
}

/// Next value of alpha. `max_target_ratio` and `min_target_ratio` are the greatest and the least disengagement
/// of a sensitive stream, as a multiple of the target.
pub(super) fn next_alpha(alpha: f64, max_target_ratio: f64, min_target_ratio: f64, mean_cv: f64) -> f64 {
    let next = if max_target_ratio > MAX_TARGET_RATIO {
        alpha * (1.0 + ALPHA_INCREASE_FRACTION)
    } else if min_target_ratio < MIN_TARGET_RATIO {
        alpha - ALPHA_DECREASE_STEP / mean_cv
    } else {
        alpha
    };
    ALPHA_BOUNDS.clamp(next)
}

/// Result of a refit over all streams.
#[derive(Debug)]
struct StreamSummary {
    /// Completions in the windows of all streams.
    completions: f64,
    /// Completions of sensitive classes among them.
    sensitive_completions: f64,
    /// Greatest disengagement of a sensitive stream, as a multiple of the target.
    max_target_ratio: f64,
    /// Least disengagement of a sensitive stream, as a multiple of the target.
    min_target_ratio: f64,
    /// Sum of the CVs of the sensitive streams.
    cv_sum: f64,
    /// Number of sensitive streams with enough completions for a CV.
    sensitive_streams: f64,
}

impl Default for StreamSummary {
    fn default() -> StreamSummary {
        StreamSummary {
            completions: 0.0,
            sensitive_completions: 0.0,
            max_target_ratio: 0.0,
            min_target_ratio: f64::INFINITY,
            cv_sum: 0.0,
            sensitive_streams: 0.0,
        }
    }
}

impl Scheduler {
    /// Recomputes the latency budgets and alpha, and the other values that adapt at the same interval.
    pub(super) fn refit(&mut self) {
        self.expire_idle_tenants();
        let streams = self.refit_streams();
        self.alpha.update(&streams);
        for (state, class) in self.classes.iter_mut().zip(&self.settings.classes) {
            state.statistics.decay(class.deadline_ms);
        }
        self.refit_observers();
        self.capacity.adjust_saturation(!self.best_effort_queue.is_empty());
    }

    /// Recomputes the moments of each stream, and its service time and slack by Algorithm 1 of the paper.
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
                summary.max_target_ratio = summary.max_target_ratio.max(moments.cost / DISENGAGEMENT_TARGET);
                summary.min_target_ratio = summary.min_target_ratio.min(moments.cost / DISENGAGEMENT_TARGET);
                summary.cv_sum += moments.cv;
                summary.sensitive_streams += 1.0;
            }
        }
        summary
    }
}
