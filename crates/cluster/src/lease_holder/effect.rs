//! What follows from a lease holder's decisions.

use super::Micros;
use crate::lease::LeaseRequest;

/// An effect that the caller of [`super::LeaseHolder`] carries out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseEffect {
    /// Send this request to the voters.
    Submit {
        /// Identifies the request.
        nonce: u64,
        /// The request.
        request: LeaseRequest,
    },
    /// This manager holds the lease.
    Acquired {
        /// Name of the lease.
        lease: String,
        /// Fencing token of the grant.
        fencing_token: u64,
        /// When it expires unless it is renewed, by this manager's clock.
        expires_at_us: Micros,
    },
    /// The checkpoint that was to be saved is saved: the next holder continues from it.
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
        /// When it expires unless it is renewed again, by this manager's clock.
        expires_at_us: Micros,
    },
    /// Finish the work that was begun under this grant, begin nothing more, and report when it is finished.
    FinishWork {
        /// Name of the lease.
        lease: String,
        /// Fencing token of the grant.
        fencing_token: u64,
    },
    /// This manager no longer holds the lease: nothing may be done under this grant from now on.
    Ended {
        /// Name of the lease.
        lease: String,
        /// Fencing token of the grant.
        fencing_token: u64,
        /// Why it ended.
        reason: LeaseEndReason,
    },
}

/// Why a lease ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseEndReason {
    /// It expired: the voters were not reached in time.
    Expired,
    /// According to the voters another manager holds it.
    Lost,
    /// It was handed over.
    HandedOver,
}

impl std::fmt::Display for LeaseEndReason {
    /// The text of the log line of the lease's end.
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        out.write_str(match self {
            LeaseEndReason::Expired => "its lease ran out",
            LeaseEndReason::Lost => "another holds it",
            LeaseEndReason::HandedOver => "it was handed over",
        })
    }
}
