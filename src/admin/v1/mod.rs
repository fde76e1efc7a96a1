//! The calls of version 1. Each checks what it needs of the caller's token, then does its work.
//!
//! | module | calls |
//! | --- | --- |
//! | `tenants`, `groups`, `tokens` | list, get, create, change, remove |
//! | `changes` | what tenants and groups have in common: preconditions, idempotency keys, dry runs |
//! | `audit` | the audit trail, and the watch for changes |
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

/// The answer to a call.
type Answer = Result<Response, Problem>;

/// A call: who makes it, and with what.
struct Context<'a> {
    caller: &'a Caller,
    request: &'a Request,
    query: Query,
}

impl Caller {
    fn require(&self, permission: Permission) -> Result<(), Problem> {
        match self.grant.allows(permission) {
            true => Ok(()),
            false => Err(Problem::new(403, "forbidden", "this token's role does not allow that")),
        }
    }

    /// Requires a permission on a tenant. The tenant counts as not found where the caller may not see it: a token of
    /// one tenant learns nothing of others, not even their names.
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
    /// Answers a call; `name` is the parameter in its path.
    pub(super) async fn v1(&self, caller: &Caller, request: &Request, route: &Route, name: &str) -> Answer {
        let context = Context { caller, request, query: Query::parse(request, route)? };
        match route.call {
            Call::Myself => Ok(myself(caller)),
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

/// What the caller's token is.
fn myself(caller: &Caller) -> Response {
    let body = serde_json::json!({
        "id": caller.id, "role": caller.grant.role, "tenants": caller.grant.tenants,
    });
    Response::json(200, body.to_string())
}
