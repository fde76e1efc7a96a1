//! Set of tenant names, shared with the frontends, which check it at each login.

use sanddyke_tenancy::Change;
use std::collections::HashSet;
use std::sync::{Arc, PoisonError, RwLock};

/// The names of all tenants. Clones share one set.
#[derive(Debug, Clone, Default)]
pub struct KnownTenants(Arc<RwLock<Names>>);

#[derive(Debug, Default)]
struct Names {
    /// Every name is accepted, since no tenants are configured and none can be added.
    accepts_any: bool,
    names: HashSet<String>,
}

impl KnownTenants {
    /// Creates a set of these names. An empty set accepts every name.
    pub fn new(names: impl IntoIterator<Item = String>) -> KnownTenants {
        let names: HashSet<String> = names.into_iter().collect();
        KnownTenants(Arc::new(RwLock::new(Names { accepts_any: names.is_empty(), names })))
    }

    /// Returns whether a login with this tenant name is accepted.
    pub fn contains(&self, name: &str) -> bool {
        let known = self.0.read().unwrap_or_else(PoisonError::into_inner);
        known.accepts_any || known.names.contains(name)
    }

    /// Replaces all names. An empty set then accepts no name.
    pub fn replace(&self, names: impl IntoIterator<Item = String>) {
        let mut known = self.0.write().unwrap_or_else(PoisonError::into_inner);
        *known = Names { accepts_any: false, names: names.into_iter().collect() };
    }

    /// Applies a registry change. Only the creation and removal of tenants have an effect.
    pub fn apply(&self, change: &Change) {
        let mut known = self.0.write().unwrap_or_else(PoisonError::into_inner);
        match change {
            Change::CreateTenant { name, .. } => drop(known.names.insert(name.clone())),
            Change::RemoveTenant { name } => drop(known.names.remove(name)),
            _ => {}
        }
    }
}
