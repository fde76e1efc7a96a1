//! Admission of a request: its tenant's token bucket, the estimates of its resource needs, its rank, and its
//! deadline.

use super::requests::{PendingRequest, PossiblyExecuted, QueueRank};
use super::scheduler::Scheduler;
use super::timers::TimerPurpose;
use super::types::{Action, ClassSettings, Millis, Request, RequestId};

/// Factor by which a best-effort request's work delays its rank. The delay is divided by the weight of its
/// class relative to the greatest weight, so expensive requests of low weight are sent last.
const RANK_STRETCH: f64 = 2.5;
/// Lower bound of a priority weight used as a divisor.
const MIN_PRIORITY_WEIGHT: f64 = 0.001;
/// Number of an attempt of the same request before this arrival.
const PRIOR_ATTEMPT_NUMBER: u32 = u32::MAX;
/// Minimum estimate of a request's work (ms of one thread).
const MIN_WORK_MS: Millis = 1.0;
/// Time before its deadline at which a request is answered, in addition to two steps of event handling (ms).
const DEADLINE_MARGIN_MS: Millis = 1.0;
/// Steps of event handling before its deadline at which a request is answered.
const DEADLINE_MARGIN_STEPS: f64 = 2.0;

impl Scheduler {
    /// A request arrived: queues it, or fails it if its class is unknown.
    pub(super) fn on_request(&mut self, request: Request) {
        if request.class.0 >= self.classes.len() {
            self.actions.push(Action::Fail(request.id));
            return;
        }
        let pending = self.admit(&request);
        if let Some(key) = pending.order_key {
            self.ordered_queues.entry(key).or_default().push(request.id);
        }
        self.requests.insert(request.id, pending);
        self.limit_deadline(request.id, f64::INFINITY);
        self.retries.record_request(self.now);
        self.traffic.record_arrival();
        if self.is_retry_safe(&self.requests[&request.id], None) {
            self.enqueue(request.id);
        } else {
            self.reject_or_fail(request.id);
        }
    }

    /// Takes a token from the tenant's bucket, and estimates the request's resource needs.
    fn admit(&mut self, request: &Request) -> PendingRequest {
        let class_index = request.class.0;
        let last_tenant = self.tenant_settings.len() - 1;
        let tenant_index = request.tenant.map_or(0, |tenant| tenant.0).min(last_tenant);
        let tenant = self.activate_tenant(tenant_index);
        let over_share = !tenant.take_token();
        let slack_ms = tenant.streams[class_index].slack_ms;

        let class = &self.settings.classes[class_index];
        let statistics = &self.classes[class_index].statistics;
        let work_ms = statistics.estimate_work_ms(request.work_ms).max(MIN_WORK_MS);
        let due_after_ms = if class.is_sensitive() { slack_ms } else { self.rank_delay_ms(class, work_ms) };
        PendingRequest {
            class: class_index,
            tenant: tenant_index,
            order_key: request.key.filter(|_| class.in_order),
            arrived_at: self.now,
            deadline: self.now + request.remaining_ms,
            objective_at: self.now + class.latency_objective_for(work_ms).min(statistics.patience_ms),
            work_ms,
            memory_mb: request.memory_mb.unwrap_or(statistics.memory_mb),
            data_set_lock: class.locks_data_set.then_some(request.data_set),
            rank: QueueRank::new(over_share, self.now + due_after_ms),
            possibly_executed: request.prior_execution.map(|prior| PossiblyExecuted {
                attempt: PRIOR_ATTEMPT_NUMBER,
                at: prior.at,
                zone: prior.zone,
                cell: prior.cell,
            }),
            ..PendingRequest::default()
        }
    }

    /// Time added to the arrival of a best-effort request to obtain its rank (ms).
    fn rank_delay_ms(&self, class: &ClassSettings, work_ms: Millis) -> Millis {
        let weights = self.settings.classes.iter().map(|class| class.priority_weight);
        let greatest_weight = weights.fold(0.0, f64::max);
        RANK_STRETCH * work_ms * greatest_weight / class.priority_weight.max(MIN_PRIORITY_WEIGHT)
    }

    /// Moves a request's deadline forward to `at` if that is earlier, and sets its timer. Rule 1: a timer
    /// answers the request before its client gives up or the process is killed.
    fn limit_deadline(&mut self, id: RequestId, at: Millis) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.deadline = request.deadline.min(at);
        let remaining_ms = request.deadline - self.now;
        let margin_ms = DEADLINE_MARGIN_STEPS * self.settings.step_ms;
        let after_ms = (remaining_ms - margin_ms - DEADLINE_MARGIN_MS).max(0.0);
        self.set_timer(TimerPurpose::RequestDeadline(id), after_ms);
    }

    /// The process will be killed at this time: limits all deadlines to it.
    pub(super) fn on_shutdown_by(&mut self, at: Millis) {
        let open: Vec<RequestId> = self.requests.keys().copied().collect();
        for id in open {
            self.limit_deadline(id, at);
        }
    }
}
