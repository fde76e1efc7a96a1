//! Requests and attempts, as the scheduler tracks them.

use super::scheduler::Scheduler;
use super::types::{CellId, EngineId, Millis, OrderKey, RequestId, ZoneId};
use sanddyke_statistics::Load;
use sanddyke_tenancy::Rank;

/// Bit of a band: the request is predicted to end after its latency objective. It ranks behind all that will
/// be in time.
const LATE_BAND: u8 = 1;
/// Bit of a band: the request was beyond its tenant's share when it arrived. It ranks behind all that were
/// within.
const OVER_SHARE_BAND: u8 = 2;
/// Microseconds in a millisecond. Ranks are whole microseconds.
const US_PER_MS: f64 = 1000.0;

/// Rank of a request in its queue: by band, then by due time. The lowest rank is sent first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub(super) struct QueueRank {
    band: u8,
    due_us: i64,
}

impl QueueRank {
    /// Rank of a request that is due at this time.
    pub(super) fn new(over_share: bool, due_at: Millis) -> QueueRank {
        let band = if over_share { OVER_SHARE_BAND } else { 0 };
        QueueRank { band, due_us: (due_at * US_PER_MS) as i64 }
    }

    /// Whether the request was beyond its tenant's share when it arrived.
    pub(super) fn is_over_share(self) -> bool {
        self.band >= OVER_SHARE_BAND
    }

    /// Whether the request is predicted to end after its latency objective.
    pub(super) fn is_late(self) -> bool {
        self.band & LATE_BAND != 0
    }

    /// Ranks the request behind all that will be in time.
    pub(super) fn mark_late(&mut self) {
        self.band |= LATE_BAND;
    }
}

impl From<QueueRank> for Rank {
    fn from(rank: QueueRank) -> Rank {
        (rank.band, rank.due_us)
    }
}

/// A request without a final answer.
#[derive(Debug, Default)]
pub(super) struct PendingRequest {
    pub(super) class: usize,
    pub(super) tenant: usize,
    /// Order key; `None` if the class is not in order.
    pub(super) order_key: Option<OrderKey>,
    pub(super) arrived_at: Millis,
    /// Time at which the client gives up or the process is killed, whichever is earlier.
    pub(super) deadline: Millis,
    /// End of the latency objective, which depends on the estimate of the work.
    pub(super) objective_at: Millis,
    /// Estimate of the work (ms of one thread).
    pub(super) work_ms: Millis,
    /// Estimate of the memory (MB).
    pub(super) memory_mb: f64,
    pub(super) rank: QueueRank,
    /// Data set that the request locks on its engine while it runs.
    pub(super) data_set_lock: Option<u64>,
    pub(super) attempts_sent: u32,
    pub(super) possibly_executed: Option<PossiblyExecuted>,
    /// The response streams: the request has no deadline and gets no further attempt.
    pub(super) streaming: bool,
}

/// The first attempt of a request that was possibly executed.
#[derive(Debug, Clone, Copy)]
pub(super) struct PossiblyExecuted {
    /// Number of the attempt.
    pub(super) attempt: u32,
    /// Time at which the attempt was sent.
    pub(super) at: Millis,
    /// Zone of the engine.
    pub(super) zone: ZoneId,
    /// Cell of the engine.
    pub(super) cell: Option<CellId>,
}

/// Identifies an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct AttemptId {
    pub(super) request: RequestId,
    /// Number within the request, from 0.
    pub(super) number: u32,
}

/// An attempt in flight.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) engine: EngineId,
    pub(super) sent_at: Millis,
    pub(super) class: usize,
    /// Load that the attempt adds to its engine, by the estimates for its request.
    pub(super) load: Load,
    pub(super) data_set_lock: Option<u64>,
    pub(super) order_key: Option<OrderKey>,
}

impl Scheduler {
    /// Attempts of a request that are in flight, by number.
    pub(super) fn attempts_in_flight(&self, request: RequestId) -> impl Iterator<Item = AttemptId> + '_ {
        let first = AttemptId { request, number: 0 };
        let last = AttemptId { request, number: u32::MAX };
        self.attempts.range(first..=last).map(|(attempt, _)| *attempt)
    }

    /// Whether an attempt of the request is in flight.
    pub(super) fn has_attempt_in_flight(&self, request: RequestId) -> bool {
        self.attempts_in_flight(request).next().is_some()
    }
}
