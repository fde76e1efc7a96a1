//! Retry policy: whether one more attempt is safe (rule 2) and within the retry budget (rule 7).

use super::requests::PendingRequest;
use super::scheduler::Scheduler;
use super::types::{DedupScope, Effect, EngineEntry, Millis, RetryBudget};
use sanddyke_statistics::Timeline;

/// Recent requests and retries, from which the retry budget is computed.
#[derive(Debug, Default)]
pub(super) struct RetryWindow {
    requests: Timeline,
    retries: Timeline,
}

impl RetryWindow {
    /// Records the arrival of a request.
    pub(super) fn record_request(&mut self, now: Millis) {
        self.requests.push(now);
    }

    /// Records that a retry was sent.
    pub(super) fn record_retry(&mut self, now: Millis) {
        self.retries.push(now);
    }

    /// Whether one more retry is within the budget.
    fn allows_retry(&self, budget: RetryBudget, now: Millis) -> bool {
        let since = now - budget.window_ms;
        let requests = self.requests.after(since) as f64;
        let retries = self.retries.since(since) as f64;
        retries + 1.0 <= budget.floor + budget.ratio * requests
    }

    /// Removes entries that are older than the window.
    pub(super) fn trim(&mut self, budget: Option<RetryBudget>, now: Millis) {
        let since = now - budget.map_or(0.0, |budget| budget.window_ms);
        self.retries.trim(since);
        self.requests.trim(since);
    }
}

impl Scheduler {
    /// Whether the maximum number of attempts and the retry budget allow one more attempt of the request.
    pub(super) fn may_attempt_again(&self, request: &PendingRequest) -> bool {
        let is_retry = request.attempts_sent > 0;
        request.attempts_sent < self.settings.limits.max_attempts && (!is_retry || self.retry_budget_allows())
    }

    /// Rule 7: whether one more retry is within the budget, if there is one.
    fn retry_budget_allows(&self) -> bool {
        let budget = self.settings.rules.retry_budget;
        budget.is_none_or(|budget| self.retries.allows_retry(budget, self.now))
    }

    /// Rule 2: whether one more attempt is safe on this engine, or on the most suitable one if `engine` is
    /// `None`.
    pub(super) fn is_retry_safe(&self, request: &PendingRequest, engine: Option<&EngineEntry>) -> bool {
        let Some(executed) = request.possibly_executed else { return true };
        match self.settings.classes[request.class].effect {
            Effect::Repeatable => true,
            Effect::Once => false,
            Effect::Keyed { scope, window_ms } => {
                let in_scope = engine.is_none_or(|engine| match scope {
                    DedupScope::All => true,
                    DedupScope::Zone => executed.zone == engine.zone,
                    DedupScope::Cell => executed.cell.is_some() && executed.cell == engine.cell,
                });
                in_scope && self.now + self.settings.step_ms < executed.at + window_ms
            }
        }
    }

    /// Whether the client may safely retry the request, whichever engine it reaches. Only then is the request
    /// rejected, otherwise it fails.
    pub(super) fn is_client_retry_safe(&self, request: &PendingRequest) -> bool {
        let effect = self.settings.classes[request.class].effect;
        let limited_scope = matches!(effect, Effect::Keyed { scope, .. } if scope != DedupScope::All);
        let may_miss_scope = limited_scope && request.possibly_executed.is_some();
        self.is_retry_safe(request, None) && !may_miss_scope
    }
}
