//! The names of the tenants, shared with the frontends that check them at a login.

use sanddyke_tenancy::Change;
use std::collections::HashSet;
use std::sync::{Arc, PoisonError, RwLock};

/// The names of all tenants. Clones share one set.
#[derive(Debug, Clone, Default)]
pub struct KnownTenants(Arc<RwLock<Names>>);

#[derive(Debug, Default)]
struct Names {
    /// Any name is accepted: no tenants are configured, and none can be added.
    any: bool,
    names: HashSet<String>,
}

impl KnownTenants {
    /// These names; any name where there are none.
    pub fn new(names: impl IntoIterator<Item = String>) -> KnownTenants {
        let names: HashSet<String> = names.into_iter().collect();
        KnownTenants(Arc::new(RwLock::new(Names { any: names.is_empty(), names })))
    }

    /// Whether there is a tenant of this name.
    pub fn contains(&self, name: &str) -> bool {
        let known = self.0.read().unwrap_or_else(PoisonError::into_inner);
        known.any || known.names.contains(name)
    }

    /// Replaces all names.
    pub fn replace(&self, names: impl IntoIterator<Item = String>) {
        let mut known = self.0.write().unwrap_or_else(PoisonError::into_inner);
        *known = Names { any: false, names: names.into_iter().collect() };
    }

    /// Applies a change of the registry.
    pub fn apply(&self, change: &Change) {
        let mut known = self.0.write().unwrap_or_else(PoisonError::into_inner);
        match change {
            Change::CreateTenant { name, .. } => drop(known.names.insert(name.clone())),
            Change::RemoveTenant { name } => drop(known.names.remove(name)),
            _ => {}
        }
    }
}
