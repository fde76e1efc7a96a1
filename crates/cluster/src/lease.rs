//! Leases as the voters agree on them: requests, their outcomes, and the replicated table of leases.
//!
//! The table has no clock. Whether a lease has expired is determined by each manager on its own clock (see
//! [`crate::lease_holder`]); the table only ensures that at most one of several managers acquires it.

mod table;

pub use table::LeaseTable;

use serde::{Deserialize, Serialize};
use std::ops::RangeInclusive;

/// Maximum number of leases in the table.
pub const MAX_LEASES: usize = 256;
/// Maximum size of a lease's checkpoint, in bytes.
pub const MAX_CHECKPOINT_BYTES: usize = 4096;
/// Maximum size of a lease's or manager's name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;
/// Accepted lease durations, in microseconds: 100 ms to 10 minutes.
pub const LEASE_DURATION_RANGE_US: RangeInclusive<u64> = 100_000..=600_000_000;

/// One run of a manager: after a restart under the same name it is another incarnation.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation {
    /// Name of the manager.
    pub name: String,
    /// Grows with each start of the manager.
    pub number: u64,
}

impl std::fmt::Display for Incarnation {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(out, "{}#{:x}", self.name, self.number)
    }
}

/// A lease as granted to a holder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The holder.
    pub holder: Incarnation,
    /// Fencing token: higher with every grant of any lease.
    pub fencing_token: u64,
    /// Duration of each renewal, counted from before its request was sent, in microseconds.
    pub lease_us: u64,
    /// Identifies the request that was granted: only its sender knows since when it holds the lease.
    pub nonce: u64,
}

/// State of one lease.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// The current grant, if the lease is held.
    pub grant: Option<Grant>,
    /// Log index of the last grant, renewal or release.
    pub version: u64,
    /// Name of the manager that the last holder designated as next.
    pub successor: Option<String>,
    /// Progress of the lease's work, as written by the holder. The next holder continues from it.
    pub checkpoint: String,
    /// Log index of the last checkpoint.
    pub checkpoint_index: u64,
}

/// A manager's request to the voters. The order of variants and fields is that of the wire format.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaseRequest {
    /// Acquire a lease that is free, or that has expired by the sender's clock.
    Acquire {
        /// Name of the lease.
        lease: String,
        /// The version that the sender has seen unchanged for long enough; 0 for a lease that was never held.
        version: u64,
        /// Requested duration, in microseconds.
        lease_us: u64,
    },
    /// Extend a lease that the sender holds.
    Renew {
        /// Name of the lease.
        lease: String,
        /// Fencing token of the sender's grant.
        fencing_token: u64,
    },
    /// Give a lease back. The sender has stopped its work already.
    Release {
        /// Name of the lease.
        lease: String,
        /// Fencing token of the sender's grant.
        fencing_token: u64,
        /// Name of the manager that should hold the lease next.
        successor: Option<String>,
    },
    /// Record the progress of the lease's work. Rejected unless the sender holds the lease.
    Checkpoint {
        /// Name of the lease.
        lease: String,
        /// Fencing token of the sender's grant.
        fencing_token: u64,
        /// [`LeaseRecord::checkpoint_index`] that the new checkpoint was derived from. The request is rejected if
        /// another checkpoint was saved since, so that no update is lost.
        based_on: u64,
        /// The new checkpoint.
        checkpoint: String,
    },
}

impl LeaseRequest {
    /// Name of the lease that the request is about.
    pub fn lease(&self) -> &str {
        match self {
            LeaseRequest::Acquire { lease, .. }
            | LeaseRequest::Renew { lease, .. }
            | LeaseRequest::Release { lease, .. }
            | LeaseRequest::Checkpoint { lease, .. } => lease,
        }
    }
}

/// A request as an entry of the voters' log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proposal {
    /// The requesting manager.
    pub from: Incarnation,
    /// Identifies the request.
    pub nonce: u64,
    /// The request.
    pub request: LeaseRequest,
}

/// Outcome of a request. The order of variants is that of the wire format.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaseOutcome {
    /// The sender holds the lease.
    Granted {
        /// Fencing token of the grant.
        fencing_token: u64,
    },
    /// The sender's lease is extended.
    Renewed,
    /// The lease is free.
    Released,
    /// The checkpoint is saved.
    CheckpointSaved,
    /// The lease's version or checkpoint is not the one that the request was based on.
    Conflict,
    /// The sender does not hold the lease.
    NotHolder,
    /// The request exceeds a limit.
    Invalid,
}

#[cfg(test)]
mod tests;
