//! Handlers of the calls of version 1. Each handler checks the permissions of the caller's token.
//!
//! | module | calls |
//! | --- | --- |
//! | `tenants`, `groups`, `tokens` | list, get, create, change, remove |
//! | `changes` | shared by tenants and groups: preconditions, idempotency keys, dry runs |
//! | `audit` | audit trail, watch for changes |
//! | `service` | engines, open requests, backup, export and import |
//! | `fleet` | leases, voters, rolling restarts |
//! | `query`, `json` | query strings, preconditions, bodies |

mod audit;
mod changes;
mod fleet;
mod groups;
mod json;
mod query;
mod service;
mod tenants;
mod tokens;

pub(super) use audit::watcher_permits;

use super::problem::Problem;
use super::routes::{Call, Route};
use super::{Admin, Caller};
use crate::frontend::http::message::{Request, Response};
use query::Query;
use sanddyke_authorization::Permission;
use sanddyke_tenancy::{State, TenantId};

/// Result of a call: the response, or the problem that is returned instead.
type Answer = Result<Response, Problem>;

/// Caller, request and parsed query string of a call.
struct Context<'a> {
    caller: &'a Caller,
    request: &'a Request,
    query: Query,
}

impl Caller {
    /// Returns a 403 problem if the caller lacks a permission.
    fn require(&self, permission: Permission) -> Result<(), Problem> {
        match self.grant.allows(permission) {
            true => Ok(()),
            false => Err(Problem::new(403, "forbidden", "this token's role does not allow that")),
        }
    }

    /// Returns a problem if the caller lacks a permission on a tenant: 404 if the caller is not allowed to see the
    /// tenant, otherwise 403. The 404 keeps a tenant administrator's token from revealing which other tenants exist.
    fn require_on_tenant(
        &self,
        permission: fn(TenantId) -> Permission,
        tenant: TenantId,
    ) -> Result<(), Problem> {
        if self.grant.allows(permission(tenant)) {
            return Ok(());
        }
        match self.grant.allows(Permission::ViewTenant(tenant)) {
            true => self.require(permission(tenant)),
            false => Err(json::not_found("tenant")),
        }
    }
}

impl Admin {
    /// Handles a call. `name` is the parameter in its path, empty without one.
    pub(super) async fn v1(&self, caller: &Caller, request: &Request, route: &Route, name: &str) -> Answer {
        let context = Context { caller, request, query: Query::parse(request, route)? };
        match route.call {
            Call::Myself => Ok(caller_token(caller)),
            Call::ListTenants => self.list_tenants(&context).await,
            Call::GetTenant => self.tenant(caller, 200, name).await,
            Call::CreateTenant => self.create_tenant(&context).await,
            Call::PatchTenant => self.patch_tenant(&context, name).await,
            Call::RemoveTenant => self.remove_tenant(&context, name).await,
            Call::SuspendTenant => self.move_tenant(&context, name, State::Suspended).await,
            Call::ResumeTenant => self.move_tenant(&context, name, State::Active).await,
            Call::DrainTenant => self.move_tenant(&context, name, State::Draining).await,
            Call::ListGroups => self.list_groups(caller).await,
            Call::GetGroup => self.group(caller, 200, name).await,
            Call::CreateGroup => self.create_group(&context).await,
            Call::PatchGroup => self.patch_group(&context, name).await,
            Call::RemoveGroup => self.remove_group(&context, name).await,
            Call::Shares => self.shares(caller).await,
            Call::ListTokens => self.list_tokens(caller).await,
            Call::CreateToken => self.create_token(&context).await,
            Call::RotateToken => self.rotate_token(&context, name).await,
            Call::RemoveToken => self.remove_token(caller, name).await,
            Call::Audit => self.audit(&context).await,
            Call::Watch => self.watch(&context).await,
            Call::Engines => self.engines(caller).await,
            Call::Requests => self.requests(caller).await,
            Call::CancelRequest => self.cancel_request(caller, name).await,
            Call::Backup => self.backup(caller).await,
            Call::Export => self.export(caller).await,
            Call::Import => self.import(&context).await,
            Call::Fleet => self.show_fleet(caller),
            Call::HandOver => self.hand_over(caller, route, name).await,
            Call::Admit => self.admit_voter(caller, route, name).await,
            Call::Roll => self.start_rolling_restart(&context).await,
            Call::TurnRoll => self.control_rolling_restart(&context, name).await,
        }
    }
}

/// Returns id, role and tenants of the caller's token.
fn caller_token(caller: &Caller) -> Response {
    let body = serde_json::json!({
        "id": caller.id, "role": caller.grant.role, "tenants": caller.grant.tenants,
    });
    Response::json(200, body.to_string())
}
