//! The tenants and groups as operators configure them. A list of changes is applied completely or not at all. Each change
//! increments the generation and modifies one subject.

use crate::{
    Generation, Group, GroupSpec, InvalidValue, MAX_GROUPS, MAX_TENANTS, State, Tenant, TenantId, TenantSpec,
    check_name, shares,
};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};

/// What an operator wants.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(tag = "op", rename_all = "snake_case")]
pub enum Change {
    /// A new tenant, active from now on.
    CreateTenant {
        /// Its name.
        name: String,
        /// What it is.
        spec: TenantSpec,
    },
    /// Another specification, whole.
    SetTenant {
        /// Its name.
        name: String,
        /// What it is from now on.
        spec: TenantSpec,
    },
    /// Another state; removal is a change of its own.
    MoveTenant {
        /// Its name.
        name: String,
        /// Where it stands from now on.
        to: State,
    },
    /// The tenant goes; its name is free again at once.
    RemoveTenant {
        /// Its name.
        name: String,
    },
    /// A new group.
    CreateGroup {
        /// Its name.
        name: String,
        /// What it is.
        spec: GroupSpec,
    },
    /// Another specification, whole.
    SetGroup {
        /// Its name.
        name: String,
        /// What it is from now on.
        spec: GroupSpec,
    },
    /// The group goes; only one without members.
    RemoveGroup {
        /// Its name.
        name: String,
    },
}

/// What a change is about.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema)]
#[serde(tag = "kind", content = "name", rename_all = "snake_case")]
pub enum Subject {
    /// A tenant.
    Tenant(String),
    /// A group.
    Group(String),
}

impl Subject {
    /// The name of the tenant or group.
    pub fn name(&self) -> &str {
        match self {
            Subject::Tenant(name) | Subject::Group(name) => name,
        }
    }
}

impl Change {
    /// The tenant or group that the change modifies.
    pub fn subject(&self) -> Subject {
        match self {
            Change::CreateTenant { name, .. }
            | Change::SetTenant { name, .. }
            | Change::MoveTenant { name, .. }
            | Change::RemoveTenant { name } => Subject::Tenant(name.clone()),
            Change::CreateGroup { name, .. }
            | Change::SetGroup { name, .. }
            | Change::RemoveGroup { name } => Subject::Group(name.clone()),
        }
    }
}

/// A change that was made: enough to write it down and to tell it to others.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct Record {
    /// The registry's generation that it made.
    pub generation: Generation,
    /// The subject's generation before, where it was there.
    pub from: Option<Generation>,
    /// The tenant's id, where it is about one.
    pub tenant: Option<TenantId>,
    /// What was wanted.
    pub change: Change,
}

/// The result that a list of changes would have.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// The registry after the changes.
    pub after: Registry,
    /// One record for each change, in the order of the changes.
    pub records: Vec<Record>,
    /// The effective shares after the changes, from 0 to 1.
    pub shares: BTreeMap<TenantId, f64>,
    /// The shares before and after the changes, for each tenant whose effective share differs.
    pub share_changes: BTreeMap<TenantId, (f64, f64)>,
}

/// Why changes are not applied. The messages are part of the administration API's answers.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ChangeError {
    /// A value is invalid.
    #[error("{0}")]
    Invalid(#[from] InvalidValue),
    /// The subject, a tenant or a group, does not exist.
    #[error("no {0} of this name")]
    NotFound(&'static str),
    /// A tenant or group of this name exists already.
    #[error("a {0} of this name is there already")]
    Exists(&'static str),
    /// The subject was changed after the operator read it.
    #[error("generation {} was expected, {} is there", expected.0, found.0)]
    Stale {
        /// The generation that the operator read.
        expected: Generation,
        /// The subject's current generation.
        found: Generation,
    },
    /// A group that has members can't be removed; the number of members.
    #[error("the group has {0} members")]
    HasMembers(usize),
    /// The tenant's state can't change from the first to the second.
    #[error("a tenant can't go from {0:?} to {1:?}")]
    Transition(State, State),
    /// The number of tenants or groups is at this maximum.
    #[error("there are {0} already, the most that there can be")]
    Full(usize),
}

/// The tenants and groups, their generation, and the last id assigned.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Registry {
    generation: Generation,
    last_id: u64,
    tenants: BTreeMap<TenantId, Tenant>,
    names: HashMap<String, TenantId>,
    groups: BTreeMap<String, Group>,
}

impl Registry {
    /// Restores a registry from stored values.
    ///
    /// # Errors
    /// The values are inconsistent. The message names the first inconsistency; nothing is repaired.
    pub fn restore(
        generation: Generation,
        last_id: u64,
        tenants: Vec<Tenant>,
        groups: Vec<Group>,
    ) -> Result<Registry, String> {
        let mut registry = Registry { generation, last_id, ..Registry::default() };
        for group in groups {
            if group.id > last_id || group.generation > generation {
                return Err(format!(
                    "group {:?} has id {} and generation {}, but the registry's last id is {last_id} and its generation {}",
                    group.name, group.id, group.generation.0, generation.0
                ));
            }
            if let Some(duplicate) = registry.groups.insert(group.name.clone(), group) {
                return Err(format!("two groups have the name {:?}", duplicate.name));
            }
        }
        for tenant in tenants {
            let name = &tenant.name;
            if tenant.id.0 > last_id || tenant.generation > generation {
                return Err(format!(
                    "tenant {name:?} has id {} and generation {}, but the registry's last id is {last_id} and its generation {}",
                    tenant.id.0, tenant.generation.0, generation.0
                ));
            }
            if tenant.spec.group.as_ref().is_some_and(|group| !registry.groups.contains_key(group)) {
                let group = tenant.spec.group.as_deref().unwrap_or_default();
                return Err(format!("tenant {name:?} belongs to a group that does not exist: {group:?}"));
            }
            if registry.names.insert(name.clone(), tenant.id).is_some()
                || registry.tenants.insert(tenant.id, tenant.clone()).is_some()
            {
                return Err(format!("two tenants have the name {name:?} or the id {}", tenant.id.0));
            }
        }
        Ok(registry)
    }

    /// The generation: the number of changes applied so far.
    pub fn generation(&self) -> Generation {
        self.generation
    }

    /// The last id that was assigned to a tenant or a group.
    pub fn last_id(&self) -> u64 {
        self.last_id
    }

    /// The tenants in the order of their ids.
    pub fn tenants(&self) -> impl Iterator<Item = &Tenant> {
        self.tenants.values()
    }

    /// The tenants whose ids are greater than this one, in the order of their ids.
    pub fn tenants_after(&self, id: TenantId) -> impl Iterator<Item = &Tenant> {
        self.tenants.range(TenantId(id.0 + 1)..).map(|(_, tenant)| tenant)
    }

    /// The number of tenants.
    pub fn len(&self) -> usize {
        self.tenants.len()
    }

    /// Whether there are no tenants.
    pub fn is_empty(&self) -> bool {
        self.tenants.is_empty()
    }

    /// The tenant of this name; `None` if it does not exist or was removed.
    pub fn tenant(&self, name: &str) -> Option<&Tenant> {
        self.names.get(name).and_then(|id| self.tenants.get(id))
    }

    /// The tenant with this id; `None` if it does not exist or was removed.
    pub fn by_id(&self, id: TenantId) -> Option<&Tenant> {
        self.tenants.get(&id)
    }

    /// The groups in the order of their names.
    pub fn groups(&self) -> impl Iterator<Item = &Group> {
        self.groups.values()
    }

    /// The group of this name; `None` if it does not exist.
    pub fn group(&self, name: &str) -> Option<&Group> {
        self.groups.get(name)
    }

    /// The generation of the change that last modified a subject; `None` if the subject does not exist.
    pub fn generation_of(&self, subject: &Subject) -> Option<Generation> {
        match subject {
            Subject::Tenant(name) => self.tenant(name).map(|tenant| tenant.generation),
            Subject::Group(name) => self.group(name).map(|group| group.generation),
        }
    }

    /// Checks that a subject still has the generation that an operator read. Succeeds if `expected` is `None` or the
    /// subject does not exist.
    ///
    /// # Errors
    /// [`ChangeError::Stale`] if the subject has another generation.
    pub fn check_generation(
        &self,
        subject: &Subject,
        expected: Option<Generation>,
    ) -> Result<(), ChangeError> {
        match (expected, self.generation_of(subject)) {
            (Some(expected), Some(found)) if expected != found => Err(ChangeError::Stale { expected, found }),
            _ => Ok(()),
        }
    }

    /// The result that changes would have. The registry is not modified.
    ///
    /// # Errors
    /// As [`Registry::apply`].
    pub fn plan(&self, changes: &[Change]) -> Result<Plan, ChangeError> {
        let mut after = self.clone();
        let records = after.apply(changes)?;
        let shares = shares::effective(&after);
        let share_changes = shares::changes(&shares::effective(self), &shares);
        Ok(Plan { after, records, shares, share_changes })
    }

    /// Applies changes, all of them or none, and returns one record for each.
    ///
    /// # Errors
    /// The first change that can't be applied.
    pub fn apply(&mut self, changes: &[Change]) -> Result<Vec<Record>, ChangeError> {
        match changes {
            // A single change is validated completely before it modifies anything, so that no copy is needed.
            [one] => self.apply_one(one).map(|record| vec![record]),
            many => {
                let mut after = self.clone();
                let records = many.iter().map(|change| after.apply_one(change)).collect::<Result<_, _>>()?;
                *self = after;
                Ok(records)
            }
        }
    }

    /// Applies one change. It is validated completely before anything is modified.
    fn apply_one(&mut self, change: &Change) -> Result<Record, ChangeError> {
        let from = self.generation_of(&change.subject());
        let next = Generation(self.generation.0 + 1);
        let tenant = match change {
            Change::CreateTenant { name, spec } => Some(self.create_tenant(name, spec, next)?),
            Change::SetTenant { name, spec } => Some(self.set_tenant(name, spec, next)?),
            Change::MoveTenant { name, to } => Some(self.move_tenant(name, *to, next)?),
            Change::RemoveTenant { name } => Some(self.remove_tenant(name)?),
            Change::CreateGroup { name, spec } => self.create_group(name, spec, next).map(|()| None)?,
            Change::SetGroup { name, spec } => self.set_group(name, spec, next).map(|()| None)?,
            Change::RemoveGroup { name } => self.remove_group(name).map(|()| None)?,
        };
        self.generation = next;
        Ok(Record { generation: next, from, tenant, change: change.clone() })
    }

    fn create_tenant(
        &mut self,
        name: &str,
        spec: &TenantSpec,
        generation: Generation,
    ) -> Result<TenantId, ChangeError> {
        check_name(name)?;
        self.check_spec(spec)?;
        if self.names.contains_key(name) {
            return Err(ChangeError::Exists("tenant"));
        }
        if self.tenants.len() >= MAX_TENANTS {
            return Err(ChangeError::Full(MAX_TENANTS));
        }
        self.last_id += 1;
        let id = TenantId(self.last_id);
        let state = State::Active;
        let tenant = Tenant { id, name: name.to_owned(), spec: spec.clone(), state, generation };
        self.names.insert(name.to_owned(), id);
        self.tenants.insert(id, tenant);
        Ok(id)
    }

    fn set_tenant(
        &mut self,
        name: &str,
        spec: &TenantSpec,
        generation: Generation,
    ) -> Result<TenantId, ChangeError> {
        self.check_spec(spec)?;
        let tenant = self.tenant_mut(name)?;
        tenant.spec = spec.clone();
        tenant.generation = generation;
        Ok(tenant.id)
    }

    fn move_tenant(
        &mut self,
        name: &str,
        to: State,
        generation: Generation,
    ) -> Result<TenantId, ChangeError> {
        let tenant = self.tenant_mut(name)?;
        if to == State::Removed {
            return Err(ChangeError::Transition(tenant.state, to));
        }
        tenant.state = to;
        tenant.generation = generation;
        Ok(tenant.id)
    }

    fn remove_tenant(&mut self, name: &str) -> Result<TenantId, ChangeError> {
        let id = self.names.remove(name).ok_or(ChangeError::NotFound("tenant"))?;
        self.tenants.remove(&id);
        Ok(id)
    }

    fn create_group(
        &mut self,
        name: &str,
        spec: &GroupSpec,
        generation: Generation,
    ) -> Result<(), ChangeError> {
        check_name(name)?;
        spec.check()?;
        if self.groups.contains_key(name) {
            return Err(ChangeError::Exists("group"));
        }
        if self.groups.len() >= MAX_GROUPS {
            return Err(ChangeError::Full(MAX_GROUPS));
        }
        self.last_id += 1;
        let group = Group { id: self.last_id, name: name.to_owned(), spec: spec.clone(), generation };
        self.groups.insert(name.to_owned(), group);
        Ok(())
    }

    fn set_group(&mut self, name: &str, spec: &GroupSpec, generation: Generation) -> Result<(), ChangeError> {
        spec.check()?;
        let group = self.groups.get_mut(name).ok_or(ChangeError::NotFound("group"))?;
        group.spec = spec.clone();
        group.generation = generation;
        Ok(())
    }

    fn remove_group(&mut self, name: &str) -> Result<(), ChangeError> {
        if !self.groups.contains_key(name) {
            return Err(ChangeError::NotFound("group"));
        }
        let is_member = |tenant: &&Tenant| tenant.spec.group.as_deref() == Some(name);
        match self.tenants.values().filter(is_member).count() {
            0 => {
                self.groups.remove(name);
                Ok(())
            }
            members => Err(ChangeError::HasMembers(members)),
        }
    }

    fn tenant_mut(&mut self, name: &str) -> Result<&mut Tenant, ChangeError> {
        let id = self.names.get(name).ok_or(ChangeError::NotFound("tenant"))?;
        self.tenants.get_mut(id).ok_or(ChangeError::NotFound("tenant"))
    }

    fn check_spec(&self, spec: &TenantSpec) -> Result<(), ChangeError> {
        spec.check()?;
        match spec.group.as_ref().is_none_or(|group| self.groups.contains_key(group)) {
            true => Ok(()),
            false => Err(ChangeError::NotFound("group")),
        }
    }
}
