//! Leases for a fleet of managers. At most one manager holds a given lease at any moment.
//!
//! ```text
//!   Membership  (SWIM, foca)   which managers are up, by gossip
//!   Voter       (Raft)         a replicated log of 3, 5 or 7 voters; each persists an entry before acknowledging it
//!   LeaseTable                 holder, fencing token and version of each lease; a log entry changes it or is rejected
//!   LeaseHolder                when a manager requests a lease, and until when it may use it, by its own clock
//!   Node                       these four for one manager, behind fn handle(now, input, disk, &mut out)
//! ```
//!
//! This crate does no I/O and reads no clock. The caller passes in time, messages and the disk. A seed therefore
//! determines the whole history of a simulated fleet, with message loss, partitions, pauses, crashes and clock drift
//! ([`simulation`]).
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod lease;
pub mod lease_holder;
pub mod membership;
pub mod node;
pub mod rolling_restart;
pub mod simulation;

pub mod voter;

pub use lease::{Grant, Incarnation, LeaseOutcome, LeaseRecord, LeaseRequest, LeaseTable, Proposal};
pub use lease_holder::{DesiredLease, HeldLease, LeaseEffect, LeaseEndReason, LeaseHolder, Micros};
pub use membership::{Member, Membership};
pub use node::{AdmissionError, Input, MessageRejection, Node, NodeConfig, Output, VoterDisk, VoterIdentity};
pub use voter::{Disk, PersistBatch, PersistedState, TICK_US, Voter, VoterError};
