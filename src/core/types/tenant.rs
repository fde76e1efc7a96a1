//! Changes of tenants at run time.

use sanddyke_tenancy::{Tenant, TenantId};

/// A change of one tenant.
#[derive(Debug, Clone, PartialEq)]
pub enum TenantUpdate {
    /// The tenant was created or changed.
    Set {
        /// The tenant after the change.
        tenant: Box<Tenant>,
        /// The tenant's effective share of the engines.
        share: f64,
        /// The id of the tenant's group; `None` if it is in no group.
        group: Option<u64>,
    },
    /// A tenant's effective share has changed because other tenants were created, changed or removed.
    Share {
        /// The tenant's id in the registry.
        id: TenantId,
        /// The new effective share.
        share: f64,
    },
    /// The tenant was removed. New requests are rejected; requests in progress are completed.
    Removed(TenantId),
}
