//! Calls that read and change groups of tenants.

use super::json::{self, NamedSpec, not_found, with_etag};
use super::{Answer, Context};
use crate::admin::{Admin, Caller};
use sanddyke_authorization::Permission;
use sanddyke_tenancy::{Change, Group};
use serde_json::json;

impl Admin {
    pub(super) async fn list_groups(&self, caller: &Caller) -> Answer {
        caller.require(Permission::View)?;
        let groups = self.tenant_service.read(|tenants| {
            let groups: Vec<Group> = tenants.registry.groups().cloned().collect();
            (groups, tenants.registry.generation())
        });
        let (groups, generation) = groups.await;
        Ok(with_etag(200, generation, json!({ "groups": groups, "generation": generation })))
    }

    /// Returns a group, with the number of its members and the sum of their shares.
    pub(super) async fn group(&self, caller: &Caller, status: u16, name: &str) -> Answer {
        caller.require(Permission::View)?;
        let found = self.tenant_service.read(|tenants| {
            let group = tenants.registry.group(name).cloned()?;
            let mut members = 0;
            let mut share = 0.0;
            let all = tenants.registry.tenants();
            for tenant in all.filter(|tenant| tenant.spec.group.as_deref() == Some(name)) {
                members += 1;
                share += tenants.shares.get(&tenant.id).copied().unwrap_or(0.0);
            }
            Some((group, members, share))
        });
        let (group, members, share): (Group, u64, f64) = found.await.ok_or_else(|| not_found("group"))?;
        let mut body = serde_json::to_value(&group).unwrap_or_default();
        body["members"] = json!(members);
        body["share"] = json!(share);
        Ok(with_etag(status, group.generation, body))
    }

    pub(super) async fn create_group(&self, context: &Context<'_>) -> Answer {
        context.caller.require(Permission::ChangeTenants)?;
        let NamedSpec { name, spec } = NamedSpec::parse(&context.request.body)?;
        self.create(context, Change::CreateGroup { name, spec }).await
    }

    pub(super) async fn patch_group(&self, context: &Context<'_>, name: &str) -> Answer {
        context.caller.require(Permission::ChangeTenants)?;
        let group = self.tenant_service.read(|tenants| tenants.registry.group(name).cloned()).await;
        let group = group.ok_or_else(|| not_found("group"))?;
        let spec = json::apply_merge_patch(&group.spec, &context.request.body)?;
        let change = Change::SetGroup { name: name.to_owned(), spec };
        self.change(context, change, Some(group.generation)).await
    }

    pub(super) async fn remove_group(&self, context: &Context<'_>, name: &str) -> Answer {
        context.caller.require(Permission::ChangeTenants)?;
        let change = Change::RemoveGroup { name: name.to_owned() };
        self.change(context, change, None).await
    }
}
