//! The tenants and groups as operators mean them. A list of changes is applied whole or not at all, and each
//! change raises the generation by one and touches one subject.

use crate::{
    Fault, Generation, Group, GroupSpec, MOST_GROUPS, MOST_TENANTS, State, Tenant, TenantId, TenantSpec,
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
    /// The name alone.
    pub fn name(&self) -> &str {
        match self {
            Subject::Tenant(name) | Subject::Group(name) => name,
        }
    }
}

impl Change {
    /// What it is about.
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

/// What changes would do.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// The registry afterwards.
    pub after: Registry,
    /// One record for each change.
    pub records: Vec<Record>,
    /// The effective shares then.
    pub shares: BTreeMap<TenantId, f64>,
    /// Tenants whose effective share is another then: before and after.
    pub share_changes: BTreeMap<TenantId, (f64, f64)>,
}

/// Why changes are not made.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ChangeError {
    /// A value is not taken.
    #[error("{0}")]
    Invalid(#[from] Fault),
    /// The subject is not there.
    #[error("no {0} of this name")]
    NotFound(&'static str),
    /// The name is taken.
    #[error("a {0} of this name is there already")]
    Exists(&'static str),
    /// Another change came first.
    #[error("generation {} was expected, {} is there", expected.0, found.0)]
    Stale {
        /// What the operator had seen.
        expected: Generation,
        /// What is there.
        found: Generation,
    },
    /// A group that has members.
    #[error("the group has {0} members")]
    HasMembers(usize),
    /// A state that can't be reached from the present one.
    #[error("a tenant can't go from {0:?} to {1:?}")]
    Transition(State, State),
    /// There are as many as can be.
    #[error("there are {0} already, the most that there can be")]
    Full(usize),
}

/// The tenants and groups.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Registry {
    generation: Generation,
    last_id: u64,
    tenants: BTreeMap<TenantId, Tenant>,
    names: HashMap<String, TenantId>,
    groups: BTreeMap<String, Group>,
}

impl Registry {
    /// The registry as it was written down. Says what does not fit together rather than mend it.
    pub fn restore(
        generation: Generation,
        last_id: u64,
        tenants: Vec<Tenant>,
        groups: Vec<Group>,
    ) -> Result<Registry, String> {
        let mut registry = Registry { generation, last_id, ..Registry::default() };
        for group in groups {
            if group.id > last_id || group.generation > generation {
                return Err(format!("group {:?} is of a generation to come", group.name));
            }
            if let Some(twice) = registry.groups.insert(group.name.clone(), group) {
                return Err(format!("group {:?} is there twice", twice.name));
            }
        }
        for tenant in tenants {
            let name = &tenant.name;
            if tenant.id.0 > last_id || tenant.generation > generation {
                return Err(format!("tenant {name:?} is of a generation to come"));
            }
            if tenant.spec.group.as_ref().is_some_and(|group| !registry.groups.contains_key(group)) {
                return Err(format!("tenant {name:?} stands in a group that is not there"));
            }
            if registry.names.insert(name.clone(), tenant.id).is_some()
                || registry.tenants.insert(tenant.id, tenant.clone()).is_some()
            {
                return Err(format!("tenant {name:?} is there twice"));
            }
        }
        Ok(registry)
    }

    /// Its generation: how many changes were ever made.
    pub fn generation(&self) -> Generation {
        self.generation
    }

    /// The last id that was given.
    pub fn last_id(&self) -> u64 {
        self.last_id
    }

    /// The tenants, in the order of their ids.
    pub fn tenants(&self) -> impl Iterator<Item = &Tenant> {
        self.tenants.values()
    }

    /// The tenants whose ids come after one.
    pub fn tenants_after(&self, id: TenantId) -> impl Iterator<Item = &Tenant> {
        self.tenants.range(TenantId(id.0 + 1)..).map(|(_, tenant)| tenant)
    }

    /// How many tenants there are.
    pub fn len(&self) -> usize {
        self.tenants.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.tenants.is_empty()
    }

    /// A tenant by its name.
    pub fn tenant(&self, name: &str) -> Option<&Tenant> {
        self.names.get(name).and_then(|id| self.tenants.get(id))
    }

    /// A tenant by its id.
    pub fn by_id(&self, id: TenantId) -> Option<&Tenant> {
        self.tenants.get(&id)
    }

    /// The groups, by name.
    pub fn groups(&self) -> impl Iterator<Item = &Group> {
        self.groups.values()
    }

    /// A group by its name.
    pub fn group(&self, name: &str) -> Option<&Group> {
        self.groups.get(name)
    }

    /// The generation of a subject, where it is there.
    pub fn generation_of(&self, subject: &Subject) -> Option<Generation> {
        match subject {
            Subject::Tenant(name) => self.tenant(name).map(|tenant| tenant.generation),
            Subject::Group(name) => self.group(name).map(|group| group.generation),
        }
    }

    /// Refuses where the subject is not of the generation that an operator has seen.
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

    /// What changes would do; the registry stays as it is.
    pub fn plan(&self, changes: &[Change]) -> Result<Plan, ChangeError> {
        let mut after = self.clone();
        let records = after.apply(changes)?;
        let shares = shares::effective(&after);
        let share_changes = shares::moved(&shares::effective(self), &shares);
        Ok(Plan { after, records, shares, share_changes })
    }

    /// Makes changes, all of them or none.
    pub fn apply(&mut self, changes: &[Change]) -> Result<Vec<Record>, ChangeError> {
        match changes {
            // One change checks all before it touches anything.
            [one] => self.make(one).map(|record| vec![record]),
            many => {
                let mut after = self.clone();
                let records = many.iter().map(|change| after.make(change)).collect::<Result<_, _>>()?;
                *self = after;
                Ok(records)
            }
        }
    }

    /// Makes one change; it is checked completely before anything is touched.
    fn make(&mut self, change: &Change) -> Result<Record, ChangeError> {
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
        if self.tenants.len() >= MOST_TENANTS {
            return Err(ChangeError::Full(MOST_TENANTS));
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
        if self.groups.len() >= MOST_GROUPS {
            return Err(ChangeError::Full(MOST_GROUPS));
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
