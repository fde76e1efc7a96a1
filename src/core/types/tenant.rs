//! Changes of tenants while the program runs.

use sanddyke_tenancy::{Tenant, TenantId};

/// A change of one tenant.
#[derive(Debug, Clone, PartialEq)]
pub enum TenantUpdate {
    /// The tenant was created or changed.
    Set {
        /// The tenant as it is now.
        tenant: Box<Tenant>,
        /// Its effective share.
        share: f64,
        /// The id of its group.
        group: Option<u64>,
    },
    /// Its effective share has changed because others were created, changed or removed.
    Share {
        /// The tenant.
        id: TenantId,
        /// Its effective share.
        share: f64,
    },
    /// The tenant was removed: new requests are rejected, and those in progress go on.
    Removed(TenantId),
}
