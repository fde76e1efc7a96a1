//! Effective shares: the fraction of the service that each tenant has while all tenants are busy.
//!
//! Groups, and tenants without a group, split the whole by their weights. The members of a group split the group's share by
//! their weights. A suspended tenant has no share, and neither has a group whose members are all suspended. The capacity
//! that an idle tenant doesn't use is distributed by [`crate::FairQueue`]: first to its group, then to all.

use crate::{Registry, State, Tenant, TenantId};
use std::collections::{BTreeMap, HashMap};

/// Whether a tenant has a share.
fn has_share(tenant: &Tenant) -> bool {
    matches!(tenant.state, State::Active | State::Draining)
}

/// The effective share of each tenant, from 0 to 1. The shares sum to 1 if any tenant has one. Iterates over the whole
/// registry, so it is called when the registry changes and not for each request.
pub fn effective(registry: &Registry) -> BTreeMap<TenantId, f64> {
    let mut within: HashMap<&str, f64> = HashMap::new();
    let mut whole = 0.0;
    for tenant in registry.tenants().filter(|tenant| has_share(tenant)) {
        match &tenant.spec.group {
            Some(group) => *within.entry(group).or_default() += tenant.spec.weight,
            None => whole += tenant.spec.weight,
        }
    }
    let weight = |group: &str| registry.group(group).map_or(0.0, |group| group.spec.weight);
    // Sums in the registry's order, so that equal registries have bit-identical shares.
    whole += registry
        .groups()
        .filter(|group| within.contains_key(group.name.as_str()))
        .fold(0.0, |sum, group| sum + group.spec.weight);
    let share = |tenant: &Tenant| match &tenant.spec.group {
        _ if !has_share(tenant) => 0.0,
        Some(group) => weight(group) / whole * tenant.spec.weight / within[group.as_str()],
        None => tenant.spec.weight / whole,
    };
    registry.tenants().map(|tenant| (tenant.id, share(tenant))).collect()
}

/// The shares before and after a change, for each tenant whose share differs. A new tenant has 0 before, a removed one 0
/// after.
pub fn changes(
    before: &BTreeMap<TenantId, f64>,
    after: &BTreeMap<TenantId, f64>,
) -> BTreeMap<TenantId, (f64, f64)> {
    let ids = before.keys().chain(after.keys());
    let pair = |id: &TenantId| {
        (*id, (before.get(id).copied().unwrap_or(0.0), after.get(id).copied().unwrap_or(0.0)))
    };
    ids.map(pair).filter(|(_, (old, new))| old != new).collect()
}
