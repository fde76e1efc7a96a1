//! The replicated table of leases, the requests that change it, and their outcomes.
//!
//! The table has no clock. Each manager determines by its own clock whether a lease has expired (see
//! [`crate::lease_holder`]). The table ensures that at most one of the managers that request a lease acquires it.

mod table;

pub use table::LeaseTable;

use serde::{Deserialize, Serialize};
use std::ops::RangeInclusive;

/// Maximum number of leases in the table.
pub const MAX_LEASES: usize = 256;
/// Maximum size of the checkpoint of one lease, in bytes.
pub const MAX_CHECKPOINT_BYTES: usize = 4096;
/// Maximum size of the name of a lease or a manager, in bytes.
pub const MAX_NAME_BYTES: usize = 64;
/// Accepted lease durations, in microseconds (100 ms to 10 minutes).
pub const LEASE_DURATION_RANGE_US: RangeInclusive<u64> = 100_000..=600_000_000;

/// One run of a manager. A manager that restarts under the same name is a new incarnation.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation {
    /// Name of the manager, unique in the fleet.
    pub name: String,
    /// Number of the incarnation. It grows with each start of the manager.
    pub number: u64,
}

impl std::fmt::Display for Incarnation {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(out, "{}#{:x}", self.name, self.number)
    }
}

/// A lease that was granted to a manager.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The incarnation that holds the lease.
    pub holder: Incarnation,
    /// Fencing token. It grows with every grant of any lease.
    pub fencing_token: u64,
    /// Duration of the lease, in microseconds. The holder counts it from before it sent the request, also for each
    /// renewal.
    pub lease_us: u64,
    /// Nonce of the request that was granted. By it the sender finds the time of sending, which nobody else knows and
    /// from which the lease counts.
    pub nonce: u64,
}

/// State of one lease in the table.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// The current grant; `None` if the lease was released. It stays after its expiry until another grant replaces it.
    pub grant: Option<Grant>,
    /// Log index of the last grant, renewal or release.
    pub version: u64,
    /// Name of the manager that the last holder designated as the next holder, when it released the lease.
    pub successor: Option<String>,
    /// Progress of the work that is done under the lease, as saved by a holder. The next holder continues from it.
    pub checkpoint: String,
    /// Log index of the last checkpoint; 0 if none was saved.
    pub checkpoint_index: u64,
}

/// A request of a manager to the voters. The wire format depends on the order of variants and fields.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaseRequest {
    /// Acquire a lease that is free or has expired by the sender's clock.
    Acquire {
        /// Name of the lease.
        lease: String,
        /// The [`LeaseRecord::version`] that the sender has seen unchanged for long enough; 0 for a lease that was
        /// never held. The request is rejected if the version has changed.
        version: u64,
        /// Requested duration, in microseconds, within [`LEASE_DURATION_RANGE_US`].
        lease_us: u64,
    },
    /// Renew a lease that the sender holds.
    Renew {
        /// Name of the lease.
        lease: String,
        /// Fencing token of the sender's grant.
        fencing_token: u64,
    },
    /// Release a lease that the sender holds. The sender has already stopped the work that it did under the lease.
    Release {
        /// Name of the lease.
        lease: String,
        /// Fencing token of the sender's grant.
        fencing_token: u64,
        /// Name of the manager that may acquire the lease before all others; `None` for no preference.
        successor: Option<String>,
    },
    /// Save the progress of the work that is done under the lease. Rejected unless the sender holds the lease.
    Checkpoint {
        /// Name of the lease.
        lease: String,
        /// Fencing token of the sender's grant.
        fencing_token: u64,
        /// The [`LeaseRecord::checkpoint_index`] that the new checkpoint was derived from. The request is rejected if
        /// another checkpoint was saved since then, so that no update is lost.
        based_on: u64,
        /// The new checkpoint, at most [`MAX_CHECKPOINT_BYTES`] long.
        checkpoint: String,
    },
}

impl LeaseRequest {
    /// Name of the lease that the request refers to.
    pub fn lease(&self) -> &str {
        match self {
            LeaseRequest::Acquire { lease, .. }
            | LeaseRequest::Renew { lease, .. }
            | LeaseRequest::Release { lease, .. }
            | LeaseRequest::Checkpoint { lease, .. } => lease,
        }
    }
}

/// A request as an entry of the replicated log. The wire format depends on the order of fields.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proposal {
    /// The requesting manager and its incarnation.
    pub from: Incarnation,
    /// Random number by which the requesting manager matches the response to its request.
    pub nonce: u64,
    /// The change of a lease that is requested.
    pub request: LeaseRequest,
}

/// Outcome of a request. The wire format depends on the order of variants.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaseOutcome {
    /// The sender acquired the lease.
    Granted {
        /// Fencing token of the grant.
        fencing_token: u64,
    },
    /// The sender's lease was renewed.
    Renewed,
    /// The lease was released and is free.
    Released,
    /// The checkpoint was saved.
    CheckpointSaved,
    /// The version or the checkpoint has changed since the one that the request was based on.
    Conflict,
    /// The sender does not hold the lease under the fencing token of the request.
    NotHolder,
    /// A name, the checkpoint, the duration or the number of leases is outside its limit.
    Invalid,
}

#[cfg(test)]
mod tests;
