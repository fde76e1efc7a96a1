//! Effective shares: what part of the service each tenant has while all are busy.
//!
//! Groups, and tenants that stand in none, split the whole by weight; the members of a group split its part
//! by theirs. A suspended tenant counts for nothing, nor does a group of which all members are. What an idle
//! tenant leaves goes to the busy ones by turns ([`crate::FairQueue`]): first to its group, then to all.

use crate::{Registry, State, Tenant, TenantId};
use std::collections::{BTreeMap, HashMap};

/// Whether a tenant counts.
fn counts(tenant: &Tenant) -> bool {
    matches!(tenant.state, State::Active | State::Draining)
}

/// The share of each tenant, from 0 to 1; they sum to 1 where one counts. Costs one walk over the registry:
/// for changes, never for requests.
pub fn effective(registry: &Registry) -> BTreeMap<TenantId, f64> {
    let mut within: HashMap<&str, f64> = HashMap::new();
    let mut whole = 0.0;
    for tenant in registry.tenants().filter(|tenant| counts(tenant)) {
        match &tenant.spec.group {
            Some(group) => *within.entry(group).or_default() += tenant.spec.weight,
            None => whole += tenant.spec.weight,
        }
    }
    let weight = |group: &str| registry.group(group).map_or(0.0, |group| group.spec.weight);
    // In the registry's order: the same registry gives the same shares to the last bit.
    whole += registry
        .groups()
        .filter(|group| within.contains_key(group.name.as_str()))
        .fold(0.0, |sum, group| sum + group.spec.weight);
    let share = |tenant: &Tenant| match &tenant.spec.group {
        _ if !counts(tenant) => 0.0,
        Some(group) => weight(group) / whole * tenant.spec.weight / within[group.as_str()],
        None => tenant.spec.weight / whole,
    };
    registry.tenants().map(|tenant| (tenant.id, share(tenant))).collect()
}

/// The tenants whose share is not what it was, with both; new ones had 0, removed ones have 0.
pub fn moved(
    before: &BTreeMap<TenantId, f64>,
    after: &BTreeMap<TenantId, f64>,
) -> BTreeMap<TenantId, (f64, f64)> {
    let ids = before.keys().chain(after.keys());
    let pair = |id: &TenantId| {
        (*id, (before.get(id).copied().unwrap_or(0.0), after.get(id).copied().unwrap_or(0.0)))
    };
    ids.map(pair).filter(|(_, (old, new))| old != new).collect()
}
