//! Tenants of a hosted service: who they are, what part of the service is theirs, what they may ask, and
//! whose turn it is. No I/O and no clock: time comes in as whole microseconds, changes as values.
//!
//! ```text
//!   operators' changes -> Registry (what is meant: tenants, groups, generations) -> shares
//!                             |                                                       |
//!                             v                                                       v
//!   requests -----------> Roster (what is under way: limits, counts, slots)    FairQueue (who is next)
//! ```
//!
//! * [`Registry`] is the state that operators change. Every change raises one generation, all or nothing.
//! * [`shares`] turns weights into effective shares; a group's share is split among its members.
//! * [`Roster`] judges each request against its tenant's state and limits, and keeps a tenant's slot until
//!   nothing refers to it any more.
//! * [`FairQueue`] holds what waits and says who is next: two-level start-time fair queueing over the slots of the roster.
//!
//! ```
//! use sanddyke_tenancy::{AdmissionRequest, Change, Reason, Registry, Roster, TenantSpec};
//!
//! let mut registry = Registry::default();
//! let spec = TenantSpec { weight: 3.0, ..TenantSpec::default() };
//! registry.apply(&[Change::CreateTenant { name: "glannau".into(), spec }]).unwrap();
//! let mut roster = Roster::default();
//! for tenant in registry.tenants() {
//!     roster.set(tenant);
//! }
//! let request = AdmissionRequest { class: "lookup", statement_bytes: 9 };
//! assert!(roster.admit(0, "glannau", &request).is_ok());
//! assert_eq!(roster.admit(0, "nobody", &request).unwrap_err().reason, Reason::Unknown);
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod document;
mod model;
mod queue;
mod registry;
mod rejection;
mod roster;
pub mod shares;
mod token_bucket;

pub use document::{Document, Entry, FORMAT};
pub use model::*;
pub use queue::{BANDS, Cursor, FairQueue, Rank};
pub use registry::{Change, ChangeError, Plan, Record, Registry, Subject};
pub use rejection::Rejection;
pub use roster::{AdmissionRequest, Roster, Slot, SlotUsage};
pub use token_bucket::TokenBucket;
