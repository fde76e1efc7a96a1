//! Lost attempts: they will have no result, but their engines may still be executing them. A request has at
//! most one attempt in flight, so it is retried only after its engine has discarded the lost one.

use super::requests::AttemptId;
use super::scheduler::Scheduler;
use super::types::{Effect, Millis, Outcome, RequestId};

/// Time that a request waits for an engine to discard its lost attempt before it is rejected (ms). An engine
/// that still reads its connection discards the attempt within one round trip.
const DISCARD_TIMEOUT_MS: Millis = 500.0;

impl Scheduler {
    /// An attempt is lost: records its outcome for its engine, and answers its request if that cannot be
    /// retried.
    pub(super) fn on_attempt_lost(&mut self, id: AttemptId, outcome: Outcome) {
        let Some(attempt) = self.attempts.get(&id) else { return };
        let engine = attempt.engine;
        if self.lost_attempts.insert(id, self.now).is_some() {
            return;
        }
        self.record_outcome(engine, outcome);
        self.engine_sampler.restore(engine);
        if self.requests.contains_key(&id.request) && !self.may_retry_after(id.request, outcome) {
            self.reject_or_fail(id.request);
        }
    }

    /// Rejects requests whose lost attempts are not discarded in time, if a client's retry is safe: the retry
    /// is another request and goes to another engine. A retry with an idempotency key is the same request, so
    /// requests of such classes keep waiting.
    pub(super) fn reject_on_discard_timeout(&mut self) {
        let overdue = self.lost_attempts.iter().filter(|(_, since)| self.now - **since >= DISCARD_TIMEOUT_MS);
        let rejected: Vec<RequestId> = overdue
            .map(|(id, _)| id.request)
            .filter(|id| self.requests.get(id).is_some_and(|request| self.is_repeatable(request.class)))
            .collect();
        for id in rejected {
            self.reject_or_fail(id);
        }
    }

    fn is_repeatable(&self, class: usize) -> bool {
        self.settings.classes[class].effect == Effect::Repeatable
    }
}
