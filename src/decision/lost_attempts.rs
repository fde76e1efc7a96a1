//! Lost attempts: those that will have no result, but that their engines may still execute. A request has one attempt
//! in flight, so it is retried once its engine has dropped the one that was lost.

use super::gateway::Gateway;
use super::requests::AttemptId;
use super::types::{Effect, Millis, Outcome, RequestId};

/// How long a request waits for an engine to drop its lost attempt before its client is sent away (ms). An engine that
/// reads does so within one round trip.
const DROP_TIMEOUT_MS: Millis = 500.0;

impl Gateway {
    /// An attempt is lost: judges its engine, and answers its request where that can't be retried anyway.
    pub(super) fn on_attempt_lost(&mut self, id: AttemptId, outcome: Outcome) {
        let Some(attempt) = self.attempts.get(&id) else { return };
        let engine = attempt.engine;
        if self.lost_attempts.insert(id, self.now).is_some() {
            return;
        }
        self.record_outcome(engine, outcome);
        self.engine_sampler.restore(engine);
        if self.requests.contains_key(&id.request) && !self.may_retry_after(id.request, outcome) {
            self.answer_unserved(id.request);
        }
    }

    /// Rejects requests whose lost attempts their engines do not drop, where a client's retry does no harm: it is
    /// another request, and goes to another engine. With an idempotency key it is the same, so that one waits.
    pub(super) fn answer_stranded(&mut self) {
        let overdue = self.lost_attempts.iter().filter(|(_, since)| self.now - **since >= DROP_TIMEOUT_MS);
        let stranded: Vec<RequestId> = overdue
            .map(|(id, _)| id.request)
            .filter(|id| self.requests.get(id).is_some_and(|request| self.is_repeatable(request.class)))
            .collect();
        for id in stranded {
            self.answer_unserved(id);
        }
    }

    fn is_repeatable(&self, class: usize) -> bool {
        self.settings.classes[class].effect == Effect::Repeatable
    }
}
