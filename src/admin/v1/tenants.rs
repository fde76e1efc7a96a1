//! Calls that read and change tenants, and list their effective shares.

use super::json::{self, NamedSpec, not_found, with_etag};
use super::{Answer, Context};
use crate::admin::problem::Problem;
use crate::admin::{Admin, Caller};
use crate::tenants::TenantState;
use sanddyke_authorization::{Permission, Role};
use sanddyke_tenancy::{Change, State, Tenant, TenantId, TenantSpec};
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};

/// Returns the effective share of a tenant, 0 if it has none.
fn share(tenants: &TenantState, id: TenantId) -> f64 {
    tenants.shares.get(&id).copied().unwrap_or(0.0)
}

impl Admin {
    /// Returns the names of the tenants that the caller is allowed to see; `None` if all.
    pub(super) async fn visible_tenants(&self, caller: &Caller) -> Option<BTreeSet<String>> {
        if caller.grant.role != Role::TenantAdmin {
            return None;
        }
        let ids = &caller.grant.tenants;
        let names = |tenants: &TenantState| {
            let visible = ids.iter().filter_map(|id| tenants.registry.by_id(*id));
            visible.map(|tenant| tenant.name.clone()).collect()
        };
        Some(self.tenant_service.read(names).await)
    }

    /// Returns a tenant if the caller has a permission on it, otherwise a problem.
    pub(super) async fn permitted_tenant(
        &self,
        caller: &Caller,
        name: &str,
        permission: fn(TenantId) -> Permission,
    ) -> Result<Tenant, Problem> {
        let tenant = self.tenant_service.read(|tenants| tenants.registry.tenant(name).cloned()).await;
        let tenant = tenant.ok_or_else(|| not_found("tenant"))?;
        caller.require_on_tenant(permission, tenant.id)?;
        Ok(tenant)
    }

    /// Lists the tenants that the caller is allowed to see, in the order of their creation. `cursor` is the id of the
    /// last tenant of the previous page.
    pub(super) async fn list_tenants(&self, context: &Context<'_>) -> Answer {
        let query = &context.query;
        let limit = query.page_size()?;
        let after = TenantId(query.cursor.unwrap_or(0));
        let is_wanted = |tenant: &&Tenant| {
            context.caller.grant.allows(Permission::ViewTenant(tenant.id))
                && query.state.is_none_or(|state| tenant.state == state)
                && query.group.as_ref().is_none_or(|group| tenant.spec.group.as_ref() == Some(group))
        };
        let page = self.tenant_service.read(|tenants| {
            // One more than the page holds, to detect whether there is a next page.
            let wanted = tenants.registry.tenants_after(after).filter(is_wanted).take(limit + 1);
            let wanted: Vec<(Tenant, f64)> =
                wanted.map(|tenant| (tenant.clone(), share(tenants, tenant.id))).collect();
            (wanted, tenants.registry.generation())
        });
        let (mut found, generation) = page.await;
        let has_next = found.len() > limit;
        found.truncate(limit);
        let usage = self.handle.usage(found.iter().map(|(tenant, _)| tenant.id).collect()).await?;
        let tenants: Vec<_> =
            found.iter().map(|(tenant, share)| json::tenant(tenant, *share, usage.get(&tenant.id))).collect();
        let next = found.last().filter(|_| has_next).map(|(tenant, _)| tenant.id.0.to_string());
        let body = json!({ "tenants": tenants, "next": next, "generation": generation });
        Ok(with_etag(200, generation, body))
    }

    pub(super) async fn tenant(&self, caller: &Caller, status: u16, name: &str) -> Answer {
        let tenant = self.permitted_tenant(caller, name, Permission::ViewTenant).await?;
        let share = self.tenant_service.read(|tenants| share(tenants, tenant.id)).await;
        let usage = self.handle.usage(vec![tenant.id]).await?;
        let body = json::tenant(&tenant, share, usage.get(&tenant.id));
        Ok(with_etag(status, tenant.generation, body))
    }

    pub(super) async fn create_tenant(&self, context: &Context<'_>) -> Answer {
        context.caller.require(Permission::ChangeTenants)?;
        let NamedSpec { name, spec } = NamedSpec::parse(&context.request.body)?;
        self.create(context, Change::CreateTenant { name, spec }).await
    }

    /// Changes a tenant by a merge patch. A tenant administrator is allowed to change only labels.
    pub(super) async fn patch_tenant(&self, context: &Context<'_>, name: &str) -> Answer {
        let tenant = self.permitted_tenant(context.caller, name, Permission::OperateTenant).await?;
        let spec: TenantSpec = json::apply_merge_patch(&tenant.spec, &context.request.body)?;
        let labels_only = TenantSpec { labels: tenant.spec.labels.clone(), ..spec.clone() } == tenant.spec;
        if !labels_only {
            context.caller.require(Permission::ChangeTenants)?;
        }
        let change = Change::SetTenant { name: name.to_owned(), spec };
        self.change(context, change, Some(tenant.generation)).await
    }

    pub(super) async fn remove_tenant(&self, context: &Context<'_>, name: &str) -> Answer {
        let tenant = self.permitted_tenant(context.caller, name, |_| Permission::ChangeTenants).await?;
        let change = Change::RemoveTenant { name: name.to_owned() };
        self.change(context, change, Some(tenant.generation)).await
    }

    /// Suspends, resumes or drains a tenant.
    pub(super) async fn move_tenant(&self, context: &Context<'_>, name: &str, to: State) -> Answer {
        self.permitted_tenant(context.caller, name, |_| Permission::ChangeTenants).await?;
        let change = Change::MoveTenant { name: name.to_owned(), to };
        self.change(context, change, None).await
    }

    /// Lists the effective share of each tenant.
    pub(super) async fn shares(&self, caller: &Caller) -> Answer {
        caller.require(Permission::View)?;
        let shares = self.tenant_service.read(|tenants| {
            let all = tenants.registry.tenants();
            let shares: BTreeMap<String, f64> =
                all.map(|tenant| (tenant.name.clone(), share(tenants, tenant.id))).collect();
            (shares, tenants.registry.generation())
        });
        let (shares, generation) = shares.await;
        Ok(with_etag(200, generation, json!({ "shares": shares, "generation": generation })))
    }
}
