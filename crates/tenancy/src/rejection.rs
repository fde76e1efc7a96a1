//! Rejections of requests by their tenant's state or limits, with retry advice.

use crate::Reason;

/// Bounds of the retry advice. Without them a bucket with a tiny rate would delay clients for an hour, and one with a high
/// rate would make them retry within the same round trip.
const MIN_RETRY_AFTER_US: i64 = 50_000;
pub(crate) const MAX_RETRY_AFTER_US: i64 = 60_000_000;

/// The rejection of a request by its tenant's state or limits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rejection {
    /// The state or limit that caused the rejection.
    pub reason: Reason,
    /// Time after which to retry, in microseconds; 0 if a retry does not help.
    pub retry_after_us: i64,
}

impl Rejection {
    /// A rejection without retry advice: a retry does not help.
    pub(crate) fn permanent(reason: Reason) -> Rejection {
        Rejection { reason, retry_after_us: 0 }
    }

    /// A rejection with retry advice, which is clamped to the bounds.
    pub(crate) fn temporary(reason: Reason, retry_after_us: f64) -> Rejection {
        let retry_after_us = (retry_after_us as i64).clamp(MIN_RETRY_AFTER_US, MAX_RETRY_AFTER_US);
        Rejection { reason, retry_after_us }
    }
}
