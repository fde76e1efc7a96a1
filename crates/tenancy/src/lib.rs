//! Tenants of a hosted service: their configuration, their shares, their limits, and the order in which their requests
//! are served. The crate does no I/O and reads no clock: callers pass times in microseconds and changes as values.
//!
//! ```text
//!   operators' changes -> Registry (configuration: tenants, groups, generations) -> shares
//!                             |                                                       |
//!                             v                                                       v
//!   requests -----------> Roster (current use: limits, counts, slots)          FairQueue (order of service)
//! ```
//!
//! * [`Registry`] is the state that operators change. A list of changes is applied completely or not at all, and each
//!   change increments the registry's generation.
//! * [`shares`] computes effective shares from weights. A group's share is split among its members.
//! * [`Roster`] admits or rejects each request by its tenant's state and limits. It frees a tenant's slot when no request
//!   and no attempt refers to it.
//! * [`FairQueue`] holds the queued requests and selects the next member by two-level start-time fair queueing. Its
//!   members are the slots of the roster.
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
