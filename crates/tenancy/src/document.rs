//! All tenants and groups as one document, for export, import and the first start, and the changes that make a registry
//! equal to a document.

use crate::{Change, GroupSpec, Registry, State, TenantSpec};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The format version that this build writes.
pub const FORMAT: u32 = 1;

/// A tenant in a document.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Entry {
    /// Where it stands.
    pub state: State,
    /// What it is.
    pub spec: TenantSpec,
}

/// All tenants and groups.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// The form of the document: 1.
    pub format: u32,
    /// Groups by name.
    #[serde(default)]
    pub groups: BTreeMap<String, GroupSpec>,
    /// Tenants by name.
    #[serde(default)]
    pub tenants: BTreeMap<String, Entry>,
}

impl Document {
    /// The tenants and groups of a registry.
    pub fn of(registry: &Registry) -> Document {
        let entry = |state, spec: &TenantSpec| Entry { state, spec: spec.clone() };
        Document {
            format: FORMAT,
            groups: registry.groups().map(|group| (group.name.clone(), group.spec.clone())).collect(),
            tenants: registry
                .tenants()
                .map(|tenant| (tenant.name.clone(), entry(tenant.state, &tenant.spec)))
                .collect(),
        }
    }

    /// The changes that make a registry equal to this document. Tenants and groups that the document does not contain are
    /// removed if `prune` is set, and left otherwise. The order is such that each change can be applied: groups are created
    /// before their members, and members are removed before their group.
    pub fn changes(&self, registry: &Registry, prune: bool) -> Vec<Change> {
        let mut changes = Vec::new();
        for (name, spec) in &self.groups {
            let (name, spec) = (name.clone(), spec.clone());
            match registry.group(&name) {
                None => changes.push(Change::CreateGroup { name, spec }),
                Some(known) if known.spec != spec => changes.push(Change::SetGroup { name, spec }),
                Some(_) => {}
            }
        }
        for (name, entry) in &self.tenants {
            let (name, spec, to) = (name.clone(), entry.spec.clone(), entry.state);
            let known = registry.tenant(&name);
            match known {
                None => changes.push(Change::CreateTenant { name: name.clone(), spec }),
                Some(known) if known.spec != spec => {
                    changes.push(Change::SetTenant { name: name.clone(), spec })
                }
                Some(_) => {}
            }
            if known.map_or(State::Active, |known| known.state) != to {
                changes.push(Change::MoveTenant { name, to });
            }
        }
        if prune {
            let tenants = registry.tenants().map(|tenant| &tenant.name);
            let obsolete = tenants.filter(|name| !self.tenants.contains_key(*name));
            changes.extend(obsolete.map(|name| Change::RemoveTenant { name: name.clone() }));
            let groups = registry.groups().map(|group| &group.name);
            let obsolete = groups.filter(|name| !self.groups.contains_key(*name));
            changes.extend(obsolete.map(|name| Change::RemoveGroup { name: name.clone() }));
        }
        changes
    }
}
