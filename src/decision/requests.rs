//! Requests and attempts as the gateway tracks them.

use super::gateway::Gateway;
use super::types::{CellId, EngineId, Millis, OrderKey, RequestId, ZoneId};
use sanddyke_statistics::Load;
use sanddyke_tenancy::Rank;

/// Bit of a band: the request is predicted to end past its latency objective. Ranks behind all that are in time.
const LATE_BAND: u8 = 1;
/// Bit of a band: the request was beyond its tenant's share when it arrived. Ranks behind all that were within.
const OVER_SHARE_BAND: u8 = 2;
/// Microseconds in a millisecond: ranks are whole microseconds.
const US_PER_MS: f64 = 1000.0;

/// Position of a request in its queue, the least first: by band, then by due time.
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

    /// Whether the request is predicted to end past its latency objective.
    pub(super) fn is_late(self) -> bool {
        self.band & LATE_BAND != 0
    }

    /// Puts the request behind all that are in time.
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
    /// The key within which it is ordered, where its class asks for that.
    pub(super) order_key: Option<OrderKey>,
    pub(super) arrived_at: Millis,
    /// When its client gives up, or the gateway is stopped.
    pub(super) deadline: Millis,
    /// End of its latency objective, by the estimate of its work.
    pub(super) objective_at: Millis,
    /// Estimate of its work (ms of one thread).
    pub(super) work_ms: Millis,
    /// Estimate of its memory (MB).
    pub(super) memory_mb: f64,
    pub(super) rank: QueueRank,
    /// The data set that it locks on its engine while it runs.
    pub(super) data_set_lock: Option<u64>,
    pub(super) attempts_sent: u32,
    pub(super) possibly_executed: Option<PossiblyExecuted>,
    /// Its response streams: it has no deadline any more, and no further attempt.
    pub(super) streaming: bool,
}

/// The first attempt of a request that may have been executed.
#[derive(Debug, Clone, Copy)]
pub(super) struct PossiblyExecuted {
    /// Number of the attempt.
    pub(super) attempt: u32,
    /// When it was sent.
    pub(super) at: Millis,
    /// Location of its engine.
    pub(super) zone: ZoneId,
    /// Cell of its engine.
    pub(super) cell: Option<CellId>,
}

/// Identifies an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct AttemptId {
    pub(super) request: RequestId,
    /// From 0.
    pub(super) number: u32,
}

/// An attempt in flight.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) engine: EngineId,
    pub(super) sent_at: Millis,
    pub(super) class: usize,
    /// What it adds to its engine's load, by the estimates of its request.
    pub(super) load: Load,
    pub(super) data_set_lock: Option<u64>,
    pub(super) order_key: Option<OrderKey>,
}

impl Gateway {
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
