//! Smoothed rates of requests and of work.

use super::types::Millis;

/// Time over which rates are smoothed (ms).
const RATE_WINDOW_MS: Millis = 2000.0;

/// Rates of this manager's traffic.
#[derive(Debug)]
pub(super) struct TrafficRates {
    /// Work finished per ms (ms of one thread).
    pub(super) work_per_ms: f64,
    /// Requests received per ms.
    pub(super) requests_per_ms: f64,
    updated_at: Millis,
    /// Work finished since the last update (ms of one thread).
    finished_work_ms: f64,
    /// Requests received since the last update.
    arrivals: f64,
}

impl TrafficRates {
    /// Rates before any traffic.
    pub(super) fn new(now: Millis) -> TrafficRates {
        TrafficRates {
            work_per_ms: 0.0,
            requests_per_ms: 0.0,
            updated_at: now,
            finished_work_ms: 0.0,
            arrivals: 0.0,
        }
    }

    /// Records the arrival of a request.
    pub(super) fn record_arrival(&mut self) {
        self.arrivals += 1.0;
    }

    /// Records that a request of this much work was finished.
    pub(super) fn record_finished_work(&mut self, work_ms: Millis) {
        self.finished_work_ms += work_ms;
    }

    /// Updates the rates with what was recorded since the last update. Returns the time since then (ms), at
    /// least 1.
    pub(super) fn update(&mut self, now: Millis) -> Millis {
        let elapsed_ms = (now - std::mem::replace(&mut self.updated_at, now)).max(1.0);
        let weight = (elapsed_ms / RATE_WINDOW_MS).min(1.0);
        let finished = std::mem::take(&mut self.finished_work_ms);
        let arrivals = std::mem::take(&mut self.arrivals);
        self.work_per_ms += weight * (finished / elapsed_ms - self.work_per_ms);
        self.requests_per_ms += weight * (arrivals / elapsed_ms - self.requests_per_ms);
        elapsed_ms
    }

    /// Work finished per request received (ms of one thread).
    pub(super) fn work_per_request_ms(&self) -> Millis {
        self.work_per_ms / self.requests_per_ms.max(f64::MIN_POSITIVE)
    }
}
