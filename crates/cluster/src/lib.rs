//! Leases that at most one manager of a fleet holds at a time: membership, voters, and leases with fencing tokens.
//!
//! ```text
//!   Membership  (SWIM, foca)   which managers are up, by gossip
//!   Voter       (raft)         one order of proposals among 3, 5 or 7 voters, each persisted before it counts
//!   LeaseTable                 the leases: holder, fencing token, version; a proposal changes it or is rejected
//!   LeaseHolder                when a manager requests a lease, and until when it may act, by its own clock
//!   Node                       the four of one manager: fn handle(now, input, disk, &mut out)
//! ```
//!
//! Nothing here does I/O or reads a clock: time, messages and the disk are passed in, so that a seed determines the
//! history of a whole fleet with message loss, partitions, pauses, crashes and clock drift ([`simulation`]).
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
