//! What the gateway has learnt, for the process that takes over from this one: levels and means, no moments and
//! no requests. It decides nothing: the same rules go on from where they stood.
//!
//! Nothing taken over loosens a rule: an engine's coldness can only grow by it, its state and credit are not part
//! of it, and a figure that is not a number or out of its bounds is cut to them or left out.

use super::*;
use serde::{Deserialize, Serialize};

/// Levels of the whole gateway.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct LearnedRates {
    /// Alpha, once it is known.
    pub alpha: Option<f64>,
    /// Threads a core of a full engine.
    pub full: f64,
    /// Time over time alone.
    pub stretch: f64,
    /// Work finished a ms.
    pub rate: f64,
    /// Requests taken a ms.
    pub arrival_rate: f64,
}

/// Means of one class.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct LearnedClass {
    /// Answers that they are over.
    pub seen: f64,
    /// Work, in ms of one thread.
    pub work: f64,
    /// Memory, in MB.
    pub memory: f64,
    /// Told work over hinted work.
    pub bias: f64,
    /// Mean time of an answer, and the least that it was for long, in ms.
    pub elapsed: f64,
    /// See `elapsed`.
    pub best: f64,
    /// How long clients wait, in ms.
    pub patience: f64,
    /// Time on an engine, and the latency budget less that, in ms, over the tenants that asked of late.
    pub service: f64,
    /// See `service`.
    pub slack: f64,
}

/// What is known of one engine beyond the list and its next report.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct LearnedEngine {
    /// Time that answers take over the time that they would take alone.
    pub slow: f64,
    /// It is cold for so long yet, in ms.
    pub cold_ms: f64,
}

/// All that is passed on.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LearnedState {
    /// Levels of the whole gateway.
    pub pace: LearnedRates,
    /// By class.
    pub classes: Vec<Option<LearnedClass>>,
    /// By engine.
    pub engines: Vec<(EngineId, LearnedEngine)>,
}

/// Cuts a figure to its bounds; `None` for what is no number.
fn within(figure: f64, least: f64, most: f64) -> Option<f64> {
    figure.is_finite().then(|| figure.clamp(least, most))
}

/// Takes a figure over where it is one.
fn take(to: &mut f64, figure: f64, least: f64, most: f64) {
    *to = within(figure, least, most).unwrap_or(*to);
}

/// No work, memory or rate is above this.
const MOST_FIGURE: f64 = 1e9;

impl Gateway {
    /// What it has learnt. Costs a walk over classes, engines and the tenants that asked of late.
    pub fn learnt(&self) -> LearnedState {
        let pace = &self.pace;
        let class = |index: usize, stats: &ClassStats| {
            let streams = self.tenants.values().map(|tenant| &tenant.streams[index]);
            let asked: Vec<&Stream> = streams.filter(|stream| !stream.done.is_empty()).collect();
            let mean = |of: fn(&Stream) -> f64, first: f64| match asked.len() {
                0 => first,
                count => asked.iter().map(|stream| of(stream)).sum::<f64>() / count as f64,
            };
            LearnedClass {
                seen: stats.seen,
                work: stats.work,
                memory: stats.memory,
                bias: stats.bias,
                elapsed: stats.elapsed,
                best: stats.best,
                patience: stats.patience,
                service: mean(|stream| stream.service, stats.first.service),
                slack: mean(|stream| stream.slack, stats.first.slack),
            }
        };
        let cold = |engine: &Engine| (engine.cold_until - self.now).max(0.0);
        let listed = self.engines.values().filter(|engine| engine.entry.state != EngineState::Removed);
        LearnedState {
            pace: LearnedRates {
                alpha: pace.alpha,
                full: pace.full,
                stretch: pace.stretch,
                rate: pace.rate,
                arrival_rate: pace.arrival_rate,
            },
            classes: self.classes.iter().enumerate().map(|(at, stats)| Some(class(at, stats))).collect(),
            engines: listed
                .map(|engine| (engine.entry.id, LearnedEngine { slow: engine.slow, cold_ms: cold(engine) }))
                .collect(),
        }
    }

    /// Requests that clients can have open here from now on: fewer while another process has some of their places.
    pub fn set_max_open(&mut self, most: Option<usize>) {
        self.settings.limits.max_open_requests = most;
    }

    /// Goes on from what another has learnt, so many ms ago. Engines that are not listed are passed over.
    pub fn restore(&mut self, learnt: &LearnedState, age_ms: Millis) {
        let (pace, told) = (&mut self.pace, &learnt.pace);
        pace.alpha =
            told.alpha.and_then(|alpha| within(alpha, ALPHA_BOUNDS.0, ALPHA_BOUNDS.1)).or(pace.alpha);
        take(&mut pace.full, told.full, FULL_BOUNDS.0, FULL_BOUNDS.1);
        take(&mut pace.stretch, told.stretch, 0.0, STRETCH_MOST);
        take(&mut pace.rate, told.rate, 0.0, MOST_FIGURE);
        take(&mut pace.arrival_rate, told.arrival_rate, 0.0, MOST_FIGURE);
        for ((stats, class), told) in self.classes.iter_mut().zip(&self.settings.classes).zip(&learnt.classes)
        {
            let Some(told) = told.as_ref().filter(|told| told.seen > 0.0) else { continue };
            let deadline = class.deadline_ms;
            take(&mut stats.seen, told.seen, 0.0, LEARN_OVER);
            take(&mut stats.work, told.work, 1.0, MOST_FIGURE);
            take(&mut stats.memory, told.memory, 0.0, MOST_FIGURE);
            take(&mut stats.bias, told.bias, 0.01, 100.0);
            take(&mut stats.elapsed, told.elapsed, 0.0, deadline);
            take(&mut stats.best, told.best, 0.0, deadline);
            take(&mut stats.patience, told.patience, 1.0, deadline);
            take(&mut stats.first.service, told.service, 0.0, deadline);
            take(&mut stats.first.slack, told.slack, 0.0, deadline);
        }
        for (id, told) in &learnt.engines {
            let Some(engine) = self.engines.get_mut(id) else { continue };
            take(&mut engine.slow, told.slow, 1.0, 50.0);
            let most = self.settings.rules.warm_up_ms;
            let left = within(told.cold_ms - age_ms.max(0.0), 0.0, most).unwrap_or(0.0);
            let until = self.now + left;
            engine.chill(until, self.now, 0.0, &mut self.rng);
            engine.warm(self.now, 0.0, &self.settings.rules, self.settings.gateway_count);
        }
    }
}
