//! Ordered queues (rule 5): requests of one order key run in order of arrival, one at a time.

use super::requests::PendingRequest;
use super::scheduler::Scheduler;
use super::types::{Millis, OrderKey, Outcome, RequestId};
use std::collections::VecDeque;

/// Requests of one order key, the oldest first.
#[derive(Debug, Default)]
pub(super) struct OrderedQueue {
    requests: VecDeque<RequestId>,
    /// No request starts before this time, because an attempt whose end is unknown may still be executing.
    paused_until: Millis,
}

impl OrderedQueue {
    /// Appends a request that has arrived.
    pub(super) fn push(&mut self, request: RequestId) {
        self.requests.push_back(request);
    }
}

impl Scheduler {
    /// Whether it is the request's turn. A request that already had an attempt may be retried during the
    /// pause of its key.
    pub(super) fn is_next_for_order_key(&self, id: RequestId, request: &PendingRequest) -> bool {
        let Some(key) = request.order_key else { return true };
        let Some(queue) = self.ordered_queues.get(&key) else { return true };
        let may_start = request.attempts_sent > 0 || self.now >= queue.paused_until;
        queue.requests.front() == Some(&id) && may_start
    }

    /// Pauses an order key after an attempt if it is unknown whether the attempt is still executing.
    pub(super) fn pause_order_key(&mut self, key: Option<OrderKey>, outcome: Outcome) {
        let end_known = outcome.never_executed() || matches!(outcome, Outcome::Served | Outcome::ServerError);
        let pause_ms = if end_known { 0.0 } else { self.settings.rules.order_key_pause_ms };
        if let Some(queue) = key.and_then(|key| self.ordered_queues.get_mut(&key)) {
            queue.paused_until = queue.paused_until.max(self.now + pause_ms);
        }
    }

    /// Removes a request from the queue of its order key, once it is closed and has no attempt in flight.
    pub(super) fn remove_from_ordered_queue(&mut self, id: RequestId, key: Option<OrderKey>) {
        let Some(key) = key else { return };
        if self.requests.contains_key(&id) || self.has_attempt_in_flight(id) {
            return;
        }
        let queue = self.ordered_queues.entry(key).or_default();
        queue.requests.retain(|other| *other != id);
    }
}
