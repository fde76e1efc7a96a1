//! Load shedding: at each upkeep, requests that cannot end in time are answered at once instead of queued to their
//! deadline, and once clients have few connections left, requests of little weight make way.

use super::gateway::Gateway;
use super::outliers::JAMMED_SLOWDOWN;
use super::requests::PendingRequest;
use super::types::{Millis, RequestId};
use std::collections::BTreeMap;

/// Work per core and ms that this gateway surely gets of its fraction of the fleet. Ours.
const ASSURED_WORK_RATE: f64 = 0.7;
/// Rate of work that is reckoned with at least (work per ms).
const MIN_WORK_RATE: f64 = 0.01;
/// Fraction of the requests that clients can have open above which requests make way: those of little weight, and loads
/// that wait for a lock. Ours.
const CROWDED_FRACTION: f64 = 0.85;

/// What is predicted for a queued best-effort request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Prediction {
    /// It ends in time.
    InTime,
    /// It ends past its latency objective: it goes behind all that are in time.
    Late,
    /// It ends past its deadline, or only waits for a lock.
    Hopeless,
}

/// Predicts the ends of queued best-effort requests, in the order in which they are sent.
struct Forecast<'a> {
    gateway: &'a Gateway,
    /// Work finished per ms.
    work_rate: f64,
    /// Slowdown that attempts are taken to meet.
    slowdown: f64,
    /// Engines that take loads on one data set beside each other.
    reachable_engines: f64,
    /// Work of the requests before (ms of one thread).
    work_ahead_ms: Millis,
    /// Loads before, by data set: they run one after another on each engine.
    loads_ahead: BTreeMap<u64, f64>,
}

impl<'a> Forecast<'a> {
    /// A forecast that begins with the first request in the queue.
    fn new(gateway: &'a Gateway) -> Forecast<'a> {
        let slowdown = gateway.capacity.median_slowdown.clamp(1.0, JAMMED_SLOWDOWN);
        let reachable = || {
            let engines = gateway.engines.values();
            engines.filter(|engine| engine.is_ready() && engine.health.down_since.is_none())
        };
        let cores: f64 = reachable().map(|engine| engine.cores).sum();
        let assured_rate = ASSURED_WORK_RATE * cores * gateway.capacity.gateway_fraction / slowdown;
        Forecast {
            gateway,
            work_rate: gateway.traffic.work_per_ms.max(assured_rate).max(MIN_WORK_RATE),
            slowdown,
            reachable_engines: reachable().count().max(1) as f64,
            work_ahead_ms: 0.0,
            loads_ahead: BTreeMap::new(),
        }
    }

    /// Predicts the next request's end, and counts it as ahead of those that follow unless it gives way to them.
    fn predict(&mut self, request: &PendingRequest) -> Prediction {
        let now = self.gateway.now;
        let alone_ms = self.gateway.time_alone_ms(request);
        let end_at = now + self.work_ahead_ms / self.work_rate + alone_ms * self.slowdown;
        let is_late = end_at > request.objective_at;
        let waits_for_lock = self.waits_for_lock(request, alone_ms);
        if waits_for_lock || end_at > request.deadline || (is_late && request.rank.is_over_share()) {
            Prediction::Hopeless
        } else if is_late && !request.rank.is_late() {
            Prediction::Late
        } else {
            self.work_ahead_ms += request.work_ms;
            Prediction::InTime
        }
    }

    /// Whether a load would only wait for the lock on its data set, with its client's connection open.
    fn waits_for_lock(&mut self, request: &PendingRequest, alone_ms: Millis) -> bool {
        let Some(data_set) = request.data_set_lock else { return false };
        let loads_ahead = self.loads_ahead.entry(data_set).or_default();
        let position = *loads_ahead;
        *loads_ahead += 1.0;
        let latency_ms = self.gateway.classes[request.class].statistics.mean_latency_ms.max(alone_ms);
        let turn_ms = latency_ms * (1.0 + position / self.reachable_engines);
        let turn_is_late = position > 0.0 && self.gateway.now + turn_ms > request.objective_at;
        let crowded = self.gateway.open_request_excess() > 0;
        turn_is_late || (crowded && self.gateway.is_data_set_locked_everywhere(data_set))
    }
}

impl Gateway {
    /// Sheds what cannot end in time, and puts what will be late behind all others.
    pub(super) fn shed(&mut self) {
        let mut shed = self.sensitive_past_objective();
        let mut late = Vec::new();
        let mut forecast = Forecast::new(self);
        for id in self.best_effort_queue.sorted().into_iter().map(RequestId) {
            match forecast.predict(&self.requests[&id]) {
                Prediction::InTime => {}
                Prediction::Late => late.push(id),
                Prediction::Hopeless => shed.push(id),
            }
        }
        shed.extend(self.least_weighty(self.open_request_excess().saturating_sub(shed.len())));
        for id in late {
            self.demote(id);
        }
        for id in shed {
            self.answer_unserved(id);
        }
    }

    /// Time that a request takes on an engine of its own (ms).
    fn time_alone_ms(&self, request: &PendingRequest) -> Millis {
        request.work_ms / self.settings.classes[request.class].threads
    }

    /// Queued sensitive requests that would end past their latency objective even if they were sent now.
    fn sensitive_past_objective(&self) -> Vec<RequestId> {
        let queued = self.sensitive_queue.iter().map(|(_, id)| *id);
        let past_objective = queued.filter(|id| {
            let request = &self.requests[id];
            self.now + self.time_alone_ms(request) > request.objective_at
        });
        past_objective.collect()
    }

    /// Queued requests, the last first, of less weight than the mean of what is open: once clients have few
    /// connections left, each is worth that mean.
    fn least_weighty(&self, count: usize) -> Vec<RequestId> {
        let weight = |id: &RequestId| self.settings.classes[self.requests[id].class].priority_weight;
        let total_weight = self.requests.keys().map(weight).sum::<f64>();
        let mean_weight = total_weight / self.requests.len().max(1) as f64;
        let best_effort = self.best_effort_queue.sorted().into_iter().map(RequestId);
        let sensitive = self.sensitive_queue.iter().map(|(_, id)| *id);
        let queued = best_effort.chain(sensitive);
        queued.rev().filter(|id| weight(id) < mean_weight).take(count).collect()
    }

    /// Puts a request behind all that are in time.
    fn demote(&mut self, id: RequestId) {
        self.dequeue(id);
        if let Some(request) = self.requests.get_mut(&id) {
            request.rank.mark_late();
        }
        self.enqueue(id);
    }

    /// Open requests beyond those that clients can have here before they find no connection.
    pub(super) fn open_request_excess(&self) -> usize {
        let limit = self.settings.limits.max_open_requests;
        let crowded_at = limit.map_or(usize::MAX, |limit| (CROWDED_FRACTION * limit as f64) as usize);
        self.requests.len().saturating_sub(crowded_at)
    }
}
