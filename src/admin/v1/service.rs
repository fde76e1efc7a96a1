//! Calls on the running service: engines, open requests, backup, export and import of tenants.

use super::json::not_found;
use super::{Answer, Context};
use crate::admin::problem::Problem;
use crate::admin::{Admin, Caller};
use crate::core::Input;
use crate::frontend::http::message::Response;
use crate::tenants::ChangeRequest;
use sanddyke_authorization::Permission;
use sanddyke_tenancy::{Document, FORMAT, TenantId};
use serde_json::json;

impl Admin {
    pub(super) async fn engines(&self, caller: &Caller) -> Answer {
        caller.require(Permission::View)?;
        let report = self.handle.inspect().await?;
        Ok(Response::json(200, json!({ "engines": report.engines }).to_string()))
    }

    /// Lists the open requests of the tenants that the caller is allowed to see.
    pub(super) async fn requests(&self, caller: &Caller) -> Answer {
        let visible = self.visible_tenants(caller).await;
        let mut report = self.handle.inspect().await?;
        if let Some(names) = visible {
            let is_visible =
                |tenant: &Option<String>| tenant.as_ref().is_some_and(|name| names.contains(name));
            report.requests.retain(|open| is_visible(&open.tenant));
        }
        Ok(Response::json(200, json!({ "requests": report.requests }).to_string()))
    }

    /// Cancels an open request by its client request id. Its client receives the answer immediately. The request
    /// counts as not found if the caller is not allowed to see its tenant.
    pub(super) async fn cancel_request(&self, caller: &Caller, client_request_id: &str) -> Answer {
        let report = self.handle.inspect().await?;
        let missing = || not_found("open request");
        let open = report
            .requests
            .iter()
            .find(|open| open.client_request_id == client_request_id)
            .ok_or_else(missing)?;
        match self.tenant_id(open.tenant.as_deref().unwrap_or_default()).await {
            Some(id) if !caller.grant.allows(Permission::ViewTenant(id)) => return Err(missing()),
            Some(id) => caller.require(Permission::OperateTenant(id))?,
            None => caller.require(Permission::ChangeTenants)?,
        }
        self.handle.notify(Input::CancelRequested(open.id)).await?;
        log::info!(who = caller.id.as_str(); "admin: request {client_request_id} cancelled");
        Ok(Response::json(200, json!({ "cancelled": client_request_id }).to_string()))
    }

    /// Returns the id of the tenant with this name.
    pub(super) async fn tenant_id(&self, name: &str) -> Option<TenantId> {
        self.tenant_service.read(|tenants| tenants.registry.tenant(name).map(|tenant| tenant.id)).await
    }

    /// Writes a backup of the store and returns its path.
    pub(super) async fn backup(&self, caller: &Caller) -> Answer {
        caller.require(Permission::Administer)?;
        let path = self.tenant_service.backup().await?;
        Ok(Response::json(201, json!({ "path": path }).to_string()))
    }

    /// Exports all tenants and groups as TOML.
    pub(super) async fn export(&self, caller: &Caller) -> Answer {
        caller.require(Permission::Administer)?;
        let document = self.tenant_service.read(|tenants| Document::of(&tenants.registry)).await;
        let text =
            toml::to_string(&document).map_err(|error| Problem::new(500, "export", error.to_string()))?;
        Ok(Response::of(200, "application/toml", text))
    }

    /// Changes tenants and groups to match a TOML document, atomically. With `prune`, those that the document does not
    /// contain are removed.
    pub(super) async fn import(&self, context: &Context<'_>) -> Answer {
        context.caller.require(Permission::Administer)?;
        let document = document(&context.request.body)?;
        let prune = context.query.prune;
        // The changes are computed from the current state. If another change is applied before them, the registry may
        // reject some of them, and then none is applied.
        let changes = self.tenant_service.read(|tenants| document.changes(&tenants.registry, prune)).await;
        let count = changes.len();
        let request =
            ChangeRequest { actor: context.caller.id.clone(), changes, precondition: None, key: None };
        if context.query.dry_run {
            return self.dry_run(&request).await;
        }
        if count > 0 {
            self.tenant_service.change(request).await?;
        }
        Ok(Response::json(200, json!({ "changes": count }).to_string()))
    }
}

/// Parses a TOML document and checks its format version.
fn document(body: &[u8]) -> Result<Document, Problem> {
    let invalid = |detail: String| Problem::new(422, "invalid", detail);
    let text = std::str::from_utf8(body).map_err(|error| invalid(error.to_string()))?;
    let document: Document = toml::from_str(text).map_err(|error| invalid(error.to_string()))?;
    match document.format == FORMAT {
        true => Ok(document),
        false => Err(invalid(format!("format: must be {FORMAT}"))),
    }
}
