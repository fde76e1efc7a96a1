//! Duties that only one manager of a fleet holds at a time: members, voters, and leases with fencing numbers.
//!
//! ```text
//!   Members (SWIM, foca)        who is there, by gossip
//!   Voter   (raft)              one order of proposals among 3, 5 or 7, each on the disk before it is spoken of
//!   Table                       the duties: holder, fencing number, version; a proposal changes it or is refused
//!   Holder                      when a manager asks, and until when it may act, by its own clock
//!   Node                        the four of one manager: fn handle(now, input, disk, &mut out)
//! ```
//!
//! Nothing here does I/O or reads a clock: time, messages and the disk are handed in, so that a seed plays a whole fleet
//! with loss, cuts, stalls, crashes and clocks apart ([`simulation`]).
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod lease;
pub mod lease_holder;
pub mod membership;
pub mod node;
pub mod rolling_restart;
pub mod simulation;
pub mod voter;

pub use lease::{Ask, Grant, Life, Proposal, Row, Table, Verdict};
pub use lease_holder::{Deed, Holder, Micros, Why, Wish};
pub use membership::{Member, Members};
pub use node::{Ballot, Input, Node, Output, Refused, Setup, VoterDisk};
pub use voter::{Batch, Disk, Failed, Kept, TICK_US, Voter};
