//! Rejections for a tenant's sake, and when to come back.

use crate::Reason;

/// Bounds of the advice when to come back: a bucket with a tiny rate must not keep clients away for an hour, nor one with
/// a great rate bring them back within the same round trip.
const MIN_RETRY_AFTER_US: i64 = 50_000;
pub(crate) const MAX_RETRY_AFTER_US: i64 = 60_000_000;

/// A rejection for a tenant's sake.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rejection {
    /// The reason.
    pub reason: Reason,
    /// When to come back, in microseconds; 0 where coming back does not help.
    pub retry_after_us: i64,
}

impl Rejection {
    /// A rejection that does not pass by itself.
    pub(crate) fn permanent(reason: Reason) -> Rejection {
        Rejection { reason, retry_after_us: 0 }
    }

    /// A rejection with advice when to come back.
    pub(crate) fn temporary(reason: Reason, retry_after_us: f64) -> Rejection {
        let retry_after_us = (retry_after_us as i64).clamp(MIN_RETRY_AFTER_US, MAX_RETRY_AFTER_US);
        Rejection { reason, retry_after_us }
    }
}
