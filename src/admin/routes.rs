//! Table of the calls of version 1. Requests are routed with it, and the OpenAPI document is generated from it.

/// The calls. The names of the variants are the operation ids in the OpenAPI document.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Call {
    /// Returns id, role and tenants of the caller's token.
    Myself,
    /// Lists tenants, page by page.
    ListTenants,
    /// Creates a tenant.
    CreateTenant,
    /// Returns one tenant.
    GetTenant,
    /// Changes a tenant by a merge patch.
    PatchTenant,
    /// Removes a tenant.
    RemoveTenant,
    /// Rejects a tenant's new requests until the tenant is resumed.
    SuspendTenant,
    /// Admits the requests of a suspended tenant again.
    ResumeTenant,
    /// Rejects a tenant's new requests permanently; requests already admitted are answered.
    DrainTenant,
    /// Lists all groups.
    ListGroups,
    /// Creates a group.
    CreateGroup,
    /// Returns one group.
    GetGroup,
    /// Changes a group by a merge patch.
    PatchGroup,
    /// Removes a group without members.
    RemoveGroup,
    /// Returns the effective share of each tenant.
    Shares,
    /// Lists all tokens, without their secrets.
    ListTokens,
    /// Creates a token and returns its secret.
    CreateToken,
    /// Replaces a token's secret; the old one stays valid for an overlap.
    RotateToken,
    /// Removes a token; its secret is invalid immediately.
    RemoveToken,
    /// Lists the audit trail, newest first, page by page.
    Audit,
    /// Returns the changes after a generation, and waits if there are none yet.
    Watch,
    /// Lists engines that are in the endpoint list or still have attempts.
    Engines,
    /// Lists open requests.
    Requests,
    /// Cancels an open request.
    CancelRequest,
    /// Writes a backup of the store.
    Backup,
    /// Exports all tenants and groups as TOML.
    Export,
    /// Imports tenants and groups from TOML.
    Import,
    /// Returns this manager's view of the fleet.
    Fleet,
    /// Transfers a lease that this manager holds to the next manager in order.
    HandOver,
    /// Admits a voter whose state file was lost, under its new id.
    Admit,
    /// Starts a rolling restart.
    Roll,
    /// Pauses, resumes or cancels a rolling restart.
    TurnRoll,
}

/// One row of the table: a method and a path with their call.
#[derive(Debug)]
pub struct Route {
    /// HTTP method in upper case.
    pub method: &'static str,
    /// Path template. At most one segment is a parameter, in braces.
    pub path: &'static str,
    /// Call that handles the request.
    pub call: Call,
    /// Summary in the OpenAPI document.
    pub summary: &'static str,
    /// Roles that are allowed to make the call. Only printed in the OpenAPI document; each call checks its permissions
    /// itself.
    pub roles: &'static str,
    /// Name of the JSON body's schema in the OpenAPI document; `None` without a JSON body.
    pub body_schema: Option<&'static str>,
    /// Accepted keys of the query string, separated by spaces.
    pub query_keys: &'static str,
    /// Header fields that the call uses, separated by spaces.
    pub header_fields: &'static str,
    /// HTTP status of a successful response.
    pub success_status: u16,
}

/// Calls that read tenants, or data of tenants.
const READ_TENANT_ROLES: &str = "operator, viewer; tenant_admin: its own";
/// Calls on the requests of a tenant.
const RUN_TENANT_ROLES: &str = "operator; tenant_admin: its own";
/// Calls that change the service, and those that read tokens or export all tenants.
const OPERATOR_ROLE: &str = "operator";
/// Calls that read data of the whole service.
const READ_ROLES: &str = "operator, viewer";

macro_rules! route {
    ($method:literal $path:literal $call:ident $success_status:literal, $roles:expr, $body_schema:expr, $query_keys:literal, $header_fields:literal, $summary:literal) => {
        Route {
            method: $method,
            path: $path,
            call: Call::$call,
            summary: $summary,
            roles: $roles,
            body_schema: $body_schema,
            query_keys: $query_keys,
            header_fields: $header_fields,
            success_status: $success_status,
        }
    };
}

/// The routes of version 1: one row for each method of a path.
#[rustfmt::skip]
pub const ROUTES: &[Route] = &[
    route!("GET" "/v1/self" Myself 200, "any", None, "", "", "Who the caller is, and what its token is for."),
    route!("GET" "/v1/tenants" ListTenants 200, READ_TENANT_ROLES, None, "limit cursor state group", "", "Tenants in the order of their making, by pages; `next` is the cursor of the next page."),
    route!("POST" "/v1/tenants" CreateTenant 201, OPERATOR_ROLE, Some("NewTenant"), "dry_run", "Idempotency-Key", "A new tenant, active once this is answered."),
    route!("GET" "/v1/tenants/{name}" GetTenant 200, READ_TENANT_ROLES, None, "", "", "One tenant, with its share and what is under way; its `ETag` is its generation."),
    route!("PATCH" "/v1/tenants/{name}" PatchTenant 200, "operator; tenant_admin: labels of its own", Some("TenantSpec"), "dry_run", "If-Match", "Changes a tenant by a merge patch (RFC 7396); null takes a value back to its default."),
    route!("DELETE" "/v1/tenants/{name}" RemoveTenant 200, OPERATOR_ROLE, None, "dry_run", "If-Match", "Removes a tenant: nothing new of it is taken, what is under way is answered, its name is free."),
    route!("POST" "/v1/tenants/{name}/suspend" SuspendTenant 200, OPERATOR_ROLE, None, "dry_run", "If-Match", "Refuses a tenant's new requests until it is resumed."),
    route!("POST" "/v1/tenants/{name}/resume" ResumeTenant 200, OPERATOR_ROLE, None, "dry_run", "If-Match", "Takes a tenant's requests again."),
    route!("POST" "/v1/tenants/{name}/drain" DrainTenant 200, OPERATOR_ROLE, None, "dry_run", "If-Match", "Refuses a tenant's new requests for good; what was taken is answered at its share."),
    route!("GET" "/v1/groups" ListGroups 200, READ_ROLES, None, "", "", "All groups."),
    route!("POST" "/v1/groups" CreateGroup 201, OPERATOR_ROLE, Some("NewGroup"), "dry_run", "Idempotency-Key", "A new group."),
    route!("GET" "/v1/groups/{name}" GetGroup 200, READ_ROLES, None, "", "", "One group; its `ETag` is its generation."),
    route!("PATCH" "/v1/groups/{name}" PatchGroup 200, OPERATOR_ROLE, Some("GroupSpec"), "dry_run", "If-Match", "Changes a group by a merge patch (RFC 7396)."),
    route!("DELETE" "/v1/groups/{name}" RemoveGroup 200, OPERATOR_ROLE, None, "dry_run", "If-Match", "Removes a group that has no members."),
    route!("GET" "/v1/shares" Shares 200, READ_ROLES, None, "", "", "The effective share of each tenant."),
    route!("GET" "/v1/tokens" ListTokens 200, OPERATOR_ROLE, None, "", "", "All tokens, without their secrets."),
    route!("POST" "/v1/tokens" CreateToken 201, OPERATOR_ROLE, Some("NewToken"), "", "", "A new token; its secret is told this once."),
    route!("POST" "/v1/tokens/{id}/rotate" RotateToken 200, OPERATOR_ROLE, Some("Rotation"), "", "", "Another secret for a token; the old one is taken for `overlap_ms` still."),
    route!("DELETE" "/v1/tokens/{id}" RemoveToken 200, OPERATOR_ROLE, None, "", "", "Takes a token back at once."),
    route!("GET" "/v1/audit" Audit 200, READ_TENANT_ROLES, None, "limit cursor tenant", "", "The audit trail, the newest first, by pages."),
    route!("GET" "/v1/watch" Watch 200, READ_TENANT_ROLES, None, "after wait_ms", "", "Changes after a generation, at once where there are any, else when one comes or the time is up; 410 where they are no longer at hand."),
    route!("GET" "/v1/engines" Engines 200, READ_ROLES, None, "", "", "Engines that are listed or still hold something."),
    route!("GET" "/v1/requests" Requests 200, READ_TENANT_ROLES, None, "", "", "Open requests."),
    route!("DELETE" "/v1/requests/{name}" CancelRequest 200, RUN_TENANT_ROLES, None, "", "", "Ends a request: its client is answered at once."),
    route!("POST" "/v1/backups" Backup 201, OPERATOR_ROLE, None, "", "", "Writes a backup of the store into the folder that is set up for it."),
    route!("GET" "/v1/export" Export 200, OPERATOR_ROLE, None, "", "", "All tenants and groups, as TOML."),
    route!("POST" "/v1/import" Import 200, OPERATOR_ROLE, None, "prune dry_run", "", "Makes tenants and groups agree with a TOML document, all at once; with `prune`, what it does not name goes."),
    route!("GET" "/v1/fleet" Fleet 200, READ_ROLES, None, "", "", "The fleet as this manager sees it: members, voters, duties and their holders."),
    route!("POST" "/v1/fleet/duties/{name}/hand-over" HandOver 202, OPERATOR_ROLE, None, "", "", "Hands a duty that this manager holds over to the next in order; what was begun is finished first."),
    route!("POST" "/v1/fleet/voters/{name}/admit" Admit 202, OPERATOR_ROLE, None, "", "", "Lets a voter in whose file was lost, under its new number. Asked of the leader."),
    route!("POST" "/v1/fleet/roll" Roll 202, OPERATOR_ROLE, Some("NewRoll"), "", "", "Begins a roll: managers take turns at being drained or restarted, so many of one zone at once; it stops at the first that does not come back. Asked of the holder of the duty `warden`."),
    route!("POST" "/v1/fleet/roll/{word}" TurnRoll 202, OPERATOR_ROLE, None, "", "", "A roll's `pause`, `resume` or `take-back`. Asked of the holder of the duty `warden`."),
];

/// Reason why no route matches a request.
#[derive(Debug, PartialEq, Eq)]
pub enum NoRoute {
    /// No route has this path.
    Path,
    /// Routes have this path, but with other methods: these, as in an `Allow` field.
    Method(String),
}

/// Returns the parameter of a path if the path matches a template, or an empty string if the template has no parameter.
/// `None` if it does not match. An empty parameter does not match.
fn match_path<'a>(template: &str, path: &'a str) -> Option<&'a str> {
    let mut parameter = "";
    let mut segments = path.split('/');
    for expected in template.split('/') {
        let segment = segments.next()?;
        match expected.starts_with('{') {
            true if segment.is_empty() => return None,
            true => parameter = segment,
            false if segment != expected => return None,
            false => {}
        }
    }
    segments.next().is_none().then_some(parameter)
}

/// Returns the route of a request, and the parameter in its path.
///
/// # Errors
/// No route has the path, or none with the method.
pub fn find<'a>(method: &str, path: &'a str) -> Result<(&'static Route, &'a str), NoRoute> {
    let matching = || ROUTES.iter().filter_map(|route| Some((route, match_path(route.path, path)?)));
    if let Some(found) = matching().find(|(route, _)| route.method == method) {
        return Ok(found);
    }
    let methods: Vec<&str> = matching().map(|(route, _)| route.method).collect();
    Err(if methods.is_empty() { NoRoute::Path } else { NoRoute::Method(methods.join(", ")) })
}

#[cfg(test)]
mod tests;
