//! Final answers: the one path on which a queued or running request is rejected or failed, and the record of
//! each completion.

use super::requests::AttemptId;
use super::scheduler::Scheduler;
use super::types::{Action, Millis, RequestId};
use sanddyke_statistics::ServedTimes;

/// Disengagement of an answer after the latency objective: a step of the staircase on the design page.
pub(super) const LATE_DISENGAGEMENT: f64 = 0.5;
/// Disengagement of an answer after the deadline, or of no answer.
pub(super) const UNSERVED_DISENGAGEMENT: f64 = 1.0;

impl Scheduler {
    /// Closes a request without a result: rejects it if a retry by the client is safe, otherwise fails it.
    pub(super) fn reject_or_fail(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id).filter(|request| !request.streaming) else { return };
        let answer = if self.is_client_retry_safe(request) {
            let retry_after_ms = self.settings.limits.max_retry_after_ms.unwrap_or(0.0);
            Action::Reject { request: id, retry_after_ms }
        } else {
            Action::Fail(id)
        };
        self.actions.push(answer);
        self.record_completion(id, None);
        self.remove_request(id);
    }

    /// The client disconnected. Clients that give up early shorten the time within which their class is worth
    /// serving.
    pub(super) fn on_client_disconnected(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get(&id) {
            let waited_ms = self.now - request.arrived_at;
            self.classes[request.class].statistics.record_disconnect(waited_ms);
        }
        self.remove_request(id);
    }

    /// Records the completion of a request in its stream. `service_ms` is the time on its engine, `None` if
    /// it was not served.
    pub(super) fn record_completion(&mut self, id: RequestId, service_ms: Option<Millis>) {
        let Some(request) = self.requests.get(&id) else { return };
        let disengagement = match service_ms {
            None => UNSERVED_DISENGAGEMENT,
            Some(_) if self.now <= request.objective_at => 0.0,
            Some(_) => LATE_DISENGAGEMENT,
        };
        let latency_ms = self.now - request.arrived_at;
        let served = service_ms.map(|service_ms| ServedTimes { latency_ms, service_ms });
        if let Some(tenant) = self.tenants.get_mut(&request.tenant) {
            tenant.streams[request.class].completions.push(self.now, served, disengagement);
        }
    }

    /// Removes a closed request, and cancels its attempts in flight if cancellation is allowed.
    pub(super) fn remove_request(&mut self, id: RequestId) {
        self.dequeue(id);
        let Some(request) = self.requests.remove(&id) else { return };
        if self.settings.limits.cancellation {
            let in_flight: Vec<AttemptId> = self.attempts_in_flight(id).collect();
            let cancels =
                in_flight.iter().map(|attempt| Action::Cancel { request: id, attempt: attempt.number });
            self.actions.extend(cancels);
        }
        self.remove_from_ordered_queue(id, request.order_key);
    }
}
