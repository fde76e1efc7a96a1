//! Persistent storage of what the administration API changes: tenants, groups, tokens, the audit trail and the idempotency
//! keys of creations, in one file. A change and its audit entry are one transaction, and [`Store::commit`] returns only
//! once it is on the disk.
//!
//! The file is a redb database (copy-on-write B-trees with checksums and atomic commits). Each value has a CRC-32 of its
//! own, so that a damaged row is recognised wherever the damage is. Opening a file never repairs or overwrites it: one
//! that is newer, damaged or no store at all gives one error and stays as it was, byte for byte.
//!
//! [`voter_file`] is a file of its own, for managers that vote about leases.
//!
//! ```
//! use sanddyke_store::{Commit, Store};
//! use sanddyke_tenancy::{Change, Registry, TenantSpec};
//!
//! let dir = tempfile::tempdir().unwrap();
//! let path = dir.path().join("state.redb");
//! let mut registry = Registry::default();
//! let change = Change::CreateTenant { name: "glannau".into(), spec: TenantSpec::default() };
//! let records = registry.apply(&[change]).unwrap();
//! {
//!     let (store, _) = Store::open(&path).unwrap();
//!     store.commit(&Commit::of("me", 1_000, &registry, records)).unwrap();
//! }
//! let (_, loaded) = Store::open(&path).unwrap();
//! assert_eq!(loaded.registry, registry);
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod audit;
mod backup;
mod commit;
mod encoding;
mod error;
mod panic_guard;
mod store;
mod tables;
pub mod voter_file;

pub use audit::{AuditAction, AuditEntry};
pub use backup::restore;
pub use commit::{Commit, Creation};
pub use error::StoreError;
pub use store::{Loaded, Store};

/// The format version that this build writes, and the latest that it reads.
pub const FORM: u64 = 1;
/// Entries of the audit trail that are retained; the oldest are removed first.
pub const AUDIT_KEPT: u64 = 200_000;
/// Idempotency keys of creations that are retained; the oldest are removed first.
pub const MAX_CREATION_KEYS: u64 = 10_000;
