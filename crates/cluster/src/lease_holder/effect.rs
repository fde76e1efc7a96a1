//! The effects that a lease holder returns to its caller.

use super::Micros;
use crate::lease::LeaseRequest;

/// An effect that the caller of [`super::LeaseHolder`] applies.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseEffect {
    /// Send a request to the voters. Requests may be lost, and their responses too.
    Submit {
        /// Random number that the voters return with the outcome, see [`super::LeaseHolder::handle_outcome`].
        nonce: u64,
        /// The request to send.
        request: LeaseRequest,
    },
    /// This manager acquired the lease.
    Acquired {
        /// Name of the lease.
        lease: String,
        /// Fencing token of the grant.
        fencing_token: u64,
        /// When the lease expires unless it is renewed, by this manager's clock.
        expires_at_us: Micros,
    },
    /// The voters saved a checkpoint as requested. The next holder continues from it.
    CheckpointSaved {
        /// Name of the lease.
        lease: String,
        /// Fencing token of the grant.
        fencing_token: u64,
    },
    /// The lease was renewed.
    Extended {
        /// Name of the lease.
        lease: String,
        /// Fencing token of the grant.
        fencing_token: u64,
        /// When the lease expires unless it is renewed again, by this manager's clock.
        expires_at_us: Micros,
    },
    /// Finish the work that was begun under this grant, begin no more, and call [`super::LeaseHolder::work_finished`]
    /// when it is finished.
    FinishWork {
        /// Name of the lease.
        lease: String,
        /// Fencing token of the grant.
        fencing_token: u64,
    },
    /// This manager no longer holds the lease. No operation may be done under this grant any more.
    Ended {
        /// Name of the lease.
        lease: String,
        /// Fencing token of the grant.
        fencing_token: u64,
        /// Why this manager no longer holds the lease.
        reason: LeaseEndReason,
    },
}

/// Why a manager no longer holds a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseEndReason {
    /// The lease expired, because no renewal was confirmed by the voters in time.
    Expired,
    /// According to the voters this manager does not hold the lease under its fencing token any more.
    Lost,
    /// The lease was handed over: its work was finished and the lease was released.
    HandedOver,
}

impl std::fmt::Display for LeaseEndReason {
    /// The text of the `reason` field in the log line `lease ended`.
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        out.write_str(match self {
            LeaseEndReason::Expired => "its lease ran out",
            LeaseEndReason::Lost => "another holds it",
            LeaseEndReason::HandedOver => "it was handed over",
        })
    }
}
