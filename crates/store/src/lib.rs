//! Persistent storage of the data that the administration API changes: tenants, groups, tokens, the audit trail and the
//! idempotency keys of creations, in one file. A change and its audit entries are one transaction, and [`Store::commit`]
//! returns when the transaction is on the disk.
//!
//! The file is a redb database (copy-on-write B-trees with checksums and atomic commits). Each value also has a CRC-32, so
//! that any corrupted row is detected. Opening a file never repairs or overwrites it: a file that is corrupted, has a later
//! format or is not a store causes one error and is not changed.
//!
//! [`voter_file`] is a separate file for managers that are voters of the lease group.
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
pub const FORMAT_VERSION: u64 = 1;
/// Maximum number of retained audit entries. The oldest are removed first.
pub const MAX_AUDIT_ENTRIES: u64 = 200_000;
/// Maximum number of retained idempotency keys of creations. The oldest are removed first.
pub const MAX_CREATION_KEYS: u64 = 10_000;
