//! Attempts: sending, progress, and end.

use super::requests::{Attempt, AttemptId, PossiblyExecuted};
use super::scheduler::Scheduler;
use super::types::{Action, AttemptEnd, Effect, EngineId, Millis, Outcome, ProgressNote, RequestId};
use sanddyke_statistics::Load;

/// An attempt is cancelled if its remaining time exceeds the time of a fresh attempt by this factor.
const RUNAWAY_FACTOR: f64 = 5.0;
/// Lower bound of the progress used in predictions (fraction).
const MIN_PROGRESS: f64 = 0.001;
/// Priority of a request beyond its tenant's share.
const OVER_SHARE_PRIORITY: u8 = 0;
/// Priority of a best-effort request.
const BEST_EFFORT_PRIORITY: u8 = 1;
/// Priority of a request of a sensitive class.
const SENSITIVE_PRIORITY: u8 = 3;

impl Scheduler {
    /// Sends a request's next attempt. Returns false if it may not be sent now or no engine has capacity.
    pub(super) fn try_send(&mut self, id: RequestId) -> bool {
        let Some(engine) = self.select_engine(id) else { return false };
        self.dequeue(id);
        self.set_attempt_options(id);
        self.start_attempt(id, engine);
        true
    }

    /// Sets the priority of a request's attempts if engines honor one. The engine chooses the memory.
    fn set_attempt_options(&mut self, id: RequestId) {
        if !self.settings.engines.priorities {
            return;
        }
        let request = &self.requests[&id];
        let priority = if request.rank.is_over_share() {
            OVER_SHARE_PRIORITY
        } else if self.settings.classes[request.class].is_sensitive() {
            SENSITIVE_PRIORITY
        } else {
            BEST_EFFORT_PRIORITY
        };
        self.actions.push(Action::SetAttemptOptions { request: id, memory_mb: 0.0, priority });
    }

    /// Tracks an attempt and the load that it adds to its engine, and sends it.
    fn start_attempt(&mut self, id: RequestId, to: EngineId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(engine) = self.engines.get_mut(&to) else { return };
        let number = request.attempts_sent;
        if number > 0 {
            self.retries.record_retry(self.now);
        }
        request.attempts_sent += 1;
        request.possibly_executed.get_or_insert(PossiblyExecuted {
            attempt: number,
            at: self.now,
            zone: engine.entry.zone,
            cell: engine.entry.cell,
        });

        let load = Load {
            queries: 1.0,
            threads: self.settings.classes[request.class].threads,
            work_ms: request.work_ms,
            memory_mb: request.memory_mb,
        };
        engine.local_load += load;
        self.local_load += load;
        // Until the next report, the engine is assumed to receive the same load from each concurrent
        // observer.
        let memory_fraction = request.memory_mb / engine.memory_mb;
        engine.reported.memory_fraction += memory_fraction * self.observers.per_report;
        engine.slow_start.record_send(self.now, self.classes[request.class].statistics.work_ms);
        engine.locked_data_sets.extend(request.data_set_lock);
        let attempt = Attempt {
            engine: to,
            sent_at: self.now,
            class: request.class,
            load,
            data_set_lock: request.data_set_lock,
            order_key: request.order_key,
        };
        self.attempts.insert(AttemptId { request: id, number }, attempt);
        self.actions.push(Action::Send { request: id, engine: to, timeout_ms: 0.0 });
    }

    /// A response streams: its request no longer has a deadline.
    pub(super) fn on_stream_started(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.streaming = true;
        }
    }

    /// An attempt ended: releases its load, updates the statistics, and closes or retries its request.
    pub(super) fn on_attempt_ended(&mut self, end: &AttemptEnd) {
        let id = end.request;
        let Some(attempt) = self.attempts.remove(&AttemptId { request: id, number: end.attempt }) else {
            return;
        };
        self.release_load(&attempt);
        if let Some(report) = end.report {
            self.record_load_report(attempt.engine, report);
        }
        if end.outcome == Outcome::Served {
            self.record_served_attempt(&attempt, end);
        }
        if self.lost_attempts.remove(&AttemptId { request: id, number: end.attempt }).is_none() {
            self.record_outcome(attempt.engine, end.outcome);
        }
        self.engine_sampler.restore(attempt.engine);
        self.pause_order_key(attempt.order_key, end.outcome);
        self.close_or_retry_request(end);
        self.remove_from_ordered_queue(id, attempt.order_key);
    }

    /// Subtracts an attempt from the load of its engine and releases its data-set lock.
    fn release_load(&mut self, attempt: &Attempt) {
        self.local_load -= attempt.load;
        let Some(engine) = self.engines.get_mut(&attempt.engine) else { return };
        engine.local_load -= attempt.load;
        let mut locked = engine.locked_data_sets.iter();
        if let Some(index) = locked.position(|data_set| Some(*data_set) == attempt.data_set_lock) {
            engine.locked_data_sets.swap_remove(index);
        }
    }

    /// Applies the end of an attempt to its request: the request is removed, queued again, rejected or
    /// failed.
    fn close_or_retry_request(&mut self, end: &AttemptEnd) {
        let id = end.request;
        let Some(request) = self.requests.get_mut(&id) else { return };
        if end.outcome.never_executed() {
            // The possibly executed attempt was this one and it was never executed, so none was.
            request.possibly_executed =
                request.possibly_executed.filter(|executed| executed.attempt != end.attempt);
        }
        if end.request_closed {
            let service_ms = (end.outcome == Outcome::Served).then_some(end.elapsed_ms);
            self.record_completion(id, service_ms);
            self.remove_request(id);
        } else if !self.has_attempt_in_flight(id) {
            if self.may_retry_after(id, end.outcome) {
                self.enqueue(id);
            } else {
                self.reject_or_fail(id);
            }
        }
    }

    /// Whether a request may be retried after an attempt with this outcome, as far as is known now.
    pub(super) fn may_retry_after(&self, id: RequestId, outcome: Outcome) -> bool {
        let request = &self.requests[&id];
        let attempts_left = request.attempts_sent < self.settings.limits.max_attempts;
        let time_left = self.now < request.deadline;
        outcome != Outcome::NotSent && attempts_left && time_left && self.is_retry_safe(request, None)
    }

    /// Cancels an attempt that has a bad plan or a bad engine: at its present pace the remainder takes far
    /// longer than a fresh attempt. Not done below the minimum cap, where this manager has too little traffic
    /// to know how long attempts usually take.
    pub(super) fn on_progress_note(&mut self, id: AttemptId, note: ProgressNote) {
        let ProgressNote::Progress(progress) = note else { return };
        let Some(attempt) = self.attempts.get(&id) else { return };
        let Some(request) = self.requests.get(&id.request) else { return };
        let class = &self.settings.classes[request.class];
        let limits = &self.settings.limits;
        let is_allowed = class.effect == Effect::Repeatable
            && limits.cancellation
            && request.attempts_sent < limits.max_attempts
            && !self.capacity.below_min_cap;
        let remaining_ms = (self.now - attempt.sent_at) * (1.0 - progress) / progress.max(MIN_PROGRESS);
        let fresh_ms = self.fresh_attempt_ms(request.tenant, request.class, request.work_ms);
        if is_allowed && remaining_ms > RUNAWAY_FACTOR * fresh_ms {
            self.actions.push(Action::Cancel { request: id.request, attempt: id.number });
        }
    }

    /// Expected time of a fresh attempt (ms): the mean of the tenant's stream, but no less than the work at
    /// the engines' median slowdown.
    fn fresh_attempt_ms(&self, tenant: usize, class: usize, work_ms: Millis) -> Millis {
        let mean_service_ms =
            self.tenants.get(&tenant).map_or(0.0, |tenant| tenant.streams[class].service_ms);
        let idle_engine_ms = work_ms / self.settings.classes[class].threads;
        mean_service_ms.max(idle_engine_ms * self.capacity.median_slowdown.max(1.0))
    }
}
