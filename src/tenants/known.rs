//! The names of the tenants, as the fronts see them at a login.

use sanddyke_tenancy::Change;
use std::collections::HashSet;
use std::sync::{Arc, PoisonError, RwLock};

/// Names that are taken.
#[derive(Debug, Clone, Default)]
pub struct KnownTenants(Arc<RwLock<Names>>);

#[derive(Debug, Default)]
struct Names {
    /// Where no tenants are set up and none can be added, any name is taken.
    any: bool,
    names: HashSet<String>,
}

impl KnownTenants {
    /// The settings' tenants; any name where there are none.
    pub fn new(names: impl IntoIterator<Item = String>) -> KnownTenants {
        let names: HashSet<String> = names.into_iter().collect();
        KnownTenants(Arc::new(RwLock::new(Names { any: names.is_empty(), names })))
    }

    /// Whether a name is a tenant's.
    pub fn contains(&self, name: &str) -> bool {
        let known = self.0.read().unwrap_or_else(PoisonError::into_inner);
        known.any || known.names.contains(name)
    }

    /// These tenants and no others.
    pub fn replace(&self, names: impl IntoIterator<Item = String>) {
        let mut known = self.0.write().unwrap_or_else(PoisonError::into_inner);
        *known = Names { any: false, names: names.into_iter().collect() };
    }

    /// Takes over a change that was made.
    pub fn note(&self, change: &Change) {
        let mut known = self.0.write().unwrap_or_else(PoisonError::into_inner);
        match change {
            Change::CreateTenant { name, .. } => drop(known.names.insert(name.clone())),
            Change::RemoveTenant { name } => drop(known.names.remove(name)),
            _ => {}
        }
    }
}
