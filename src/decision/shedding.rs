//! Load shedding: at each upkeep, requests that cannot end in time are answered at once instead of queued to
//! their deadline. When clients have few connections left, requests of low weight are shed as well.

use super::outliers::CONGESTED_SLOWDOWN;
use super::requests::PendingRequest;
use super::scheduler::Scheduler;
use super::types::{Millis, RequestId};
use std::collections::BTreeMap;

/// Work per core and ms that this manager is assumed to get at least from its fraction of the fleet.
const ASSURED_WORK_RATE: f64 = 0.7;
/// Lower bound of the work rate used in predictions (work per ms).
const MIN_WORK_RATE: f64 = 0.01;
/// Fraction of the maximum open requests above which requests of low weight and loads that wait for a lock
/// are shed.
const OPEN_REQUEST_THRESHOLD: f64 = 0.85;

/// Predicted end of a queued best-effort request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Prediction {
    /// The request keeps its rank: it ends in time, or is already ranked as late.
    InTime,
    /// The request ends after its latency objective. It is ranked behind all that end in time.
    Late,
    /// The request cannot be served usefully: it ends after its deadline, only waits for a lock, or is late
    /// and beyond its tenant's share.
    Unservable,
}

/// Predicts the ends of queued best-effort requests, in the order in which they are sent.
struct Forecast<'a> {
    scheduler: &'a Scheduler,
    /// Work finished per ms.
    work_rate: f64,
    /// Slowdown that attempts are assumed to encounter.
    slowdown: f64,
    /// Number of engines that can run loads on one data set in parallel.
    reachable_engines: f64,
    /// Work of the requests ahead in the queue (ms of one thread).
    work_ahead_ms: Millis,
    /// Number of loads ahead in the queue, by data set. They run one after another on each engine.
    loads_ahead: BTreeMap<u64, f64>,
}

impl<'a> Forecast<'a> {
    /// A forecast that starts at the head of the queue.
    fn new(scheduler: &'a Scheduler) -> Forecast<'a> {
        let slowdown = scheduler.capacity.median_slowdown.clamp(1.0, CONGESTED_SLOWDOWN);
        let reachable = || {
            let engines = scheduler.engines.values();
            engines.filter(|engine| engine.is_ready() && engine.health.down_since.is_none())
        };
        let cores: f64 = reachable().map(|engine| engine.cores).sum();
        let assured_rate = ASSURED_WORK_RATE * cores * scheduler.capacity.manager_fraction / slowdown;
        Forecast {
            scheduler,
            work_rate: scheduler.traffic.work_per_ms.max(assured_rate).max(MIN_WORK_RATE),
            slowdown,
            reachable_engines: reachable().count().max(1) as f64,
            work_ahead_ms: 0.0,
            loads_ahead: BTreeMap::new(),
        }
    }

    /// Predicts the end of the next request. A request that ends in time, or is already ranked as late,
    /// counts as ahead of those that follow.
    fn predict(&mut self, request: &PendingRequest) -> Prediction {
        let now = self.scheduler.now;
        let idle_engine_ms = self.scheduler.idle_engine_time_ms(request);
        let end_at = now + self.work_ahead_ms / self.work_rate + idle_engine_ms * self.slowdown;
        let is_late = end_at > request.objective_at;
        let waits_for_lock = self.waits_for_lock(request, idle_engine_ms);
        if waits_for_lock || end_at > request.deadline || (is_late && request.rank.is_over_share()) {
            Prediction::Unservable
        } else if is_late && !request.rank.is_late() {
            Prediction::Late
        } else {
            self.work_ahead_ms += request.work_ms;
            Prediction::InTime
        }
    }

    /// Whether a load would only wait for the lock on its data set, with its client's connection open.
    fn waits_for_lock(&mut self, request: &PendingRequest, idle_engine_ms: Millis) -> bool {
        let Some(data_set) = request.data_set_lock else { return false };
        let loads_ahead = self.loads_ahead.entry(data_set).or_default();
        let position = *loads_ahead;
        *loads_ahead += 1.0;
        let latency_ms = self.scheduler.classes[request.class].statistics.mean_latency_ms.max(idle_engine_ms);
        let turn_ms = latency_ms * (1.0 + position / self.reachable_engines);
        let turn_is_late = position > 0.0 && self.scheduler.now + turn_ms > request.objective_at;
        let connections_scarce = self.scheduler.open_request_excess() > 0;
        turn_is_late || (connections_scarce && self.scheduler.is_data_set_locked_everywhere(data_set))
    }
}

impl Scheduler {
    /// Sheds requests that cannot end in time, and ranks requests that will be late behind all others.
    pub(super) fn shed(&mut self) {
        let mut shed = self.sensitive_past_objective();
        let mut late = Vec::new();
        let mut forecast = Forecast::new(self);
        for id in self.best_effort_queue.sorted().into_iter().map(RequestId) {
            match forecast.predict(&self.requests[&id]) {
                Prediction::InTime => {}
                Prediction::Late => late.push(id),
                Prediction::Unservable => shed.push(id),
            }
        }
        shed.extend(self.lowest_weight_queued(self.open_request_excess().saturating_sub(shed.len())));
        for id in late {
            self.demote(id);
        }
        for id in shed {
            self.reject_or_fail(id);
        }
    }

    /// Time that a request takes on an idle engine (ms).
    fn idle_engine_time_ms(&self, request: &PendingRequest) -> Millis {
        request.work_ms / self.settings.classes[request.class].threads
    }

    /// Queued sensitive requests that would end after their latency objective even if they were sent now.
    fn sensitive_past_objective(&self) -> Vec<RequestId> {
        let queued = self.sensitive_queue.iter().map(|(_, id)| *id);
        let past_objective = queued.filter(|id| {
            let request = &self.requests[id];
            self.now + self.idle_engine_time_ms(request) > request.objective_at
        });
        past_objective.collect()
    }

    /// Queued requests whose weight is below the mean of all open requests, from the tail of the queue. When
    /// clients have few connections left, a connection is worth that mean.
    fn lowest_weight_queued(&self, count: usize) -> Vec<RequestId> {
        let weight = |id: &RequestId| self.settings.classes[self.requests[id].class].priority_weight;
        let total_weight = self.requests.keys().map(weight).sum::<f64>();
        let mean_weight = total_weight / self.requests.len().max(1) as f64;
        let best_effort = self.best_effort_queue.sorted().into_iter().map(RequestId);
        let sensitive = self.sensitive_queue.iter().map(|(_, id)| *id);
        let queued = best_effort.chain(sensitive);
        queued.rev().filter(|id| weight(id) < mean_weight).take(count).collect()
    }

    /// Ranks a request behind all that will be in time.
    fn demote(&mut self, id: RequestId) {
        self.dequeue(id);
        if let Some(request) = self.requests.get_mut(&id) {
            request.rank.mark_late();
        }
        self.enqueue(id);
    }

    /// Number of open requests beyond the threshold at which clients soon find no free connection.
    pub(super) fn open_request_excess(&self) -> usize {
        let limit = self.settings.limits.max_open_requests;
        let threshold = limit.map_or(usize::MAX, |limit| (OPEN_REQUEST_THRESHOLD * limit as f64) as usize);
        self.requests.len().saturating_sub(threshold)
    }
}
