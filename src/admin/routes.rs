//! The calls of version 1 as one table: requests are routed by it, and the OpenAPI document is made from it.

/// The calls. Their names are the operation ids of the OpenAPI document.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Call {
    /// The caller's own token.
    Myself,
    /// Lists tenants, by pages.
    ListTenants,
    /// Creates a tenant.
    CreateTenant,
    /// Gets one tenant.
    GetTenant,
    /// Changes a tenant by a merge patch.
    PatchTenant,
    /// Removes a tenant.
    RemoveTenant,
    /// Rejects a tenant's requests for now.
    SuspendTenant,
    /// Admits a tenant's requests again.
    ResumeTenant,
    /// Rejects a tenant's requests for good.
    DrainTenant,
    /// Lists groups.
    ListGroups,
    /// Creates a group.
    CreateGroup,
    /// Gets one group.
    GetGroup,
    /// Changes a group by a merge patch.
    PatchGroup,
    /// Removes a group.
    RemoveGroup,
    /// The effective share of each tenant.
    Shares,
    /// Lists tokens.
    ListTokens,
    /// Creates a token.
    CreateToken,
    /// Replaces a token's secret.
    RotateToken,
    /// Removes a token.
    RemoveToken,
    /// Lists the audit trail, by pages.
    Audit,
    /// Waits for changes.
    Watch,
    /// Lists engines.
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
    /// Shows the fleet.
    Fleet,
    /// Hands a lease over to the next manager.
    HandOver,
    /// Admits a voter whose file was lost.
    Admit,
    /// Starts a rolling restart.
    Roll,
    /// Pauses, resumes or takes back a rolling restart.
    TurnRoll,
}

/// A route.
#[derive(Debug)]
pub struct Route {
    /// The HTTP method.
    pub method: &'static str,
    /// The path; one part may be a parameter, in braces.
    pub path: &'static str,
    /// The call.
    pub call: Call,
    /// The summary in the OpenAPI document.
    pub summary: &'static str,
    /// The roles that may make the call, for the OpenAPI document.
    pub roles: &'static str,
    /// The name of the body's schema.
    pub takes: Option<&'static str>,
    /// The keys of its query string, separated by spaces.
    pub query: &'static str,
    /// Header fields that it uses, separated by spaces.
    pub fields: &'static str,
    /// The status of a successful answer.
    pub status: u16,
}

const ALL: &str = "operator, viewer; tenant_admin: its own";
const RUN: &str = "operator; tenant_admin: its own";
const OPERATOR: &str = "operator";
const SEE: &str = "operator, viewer";

macro_rules! route {
    ($method:literal $path:literal $call:ident $status:literal, $roles:expr, $takes:expr, $query:literal, $fields:literal, $summary:literal) => {
        Route {
            method: $method,
            path: $path,
            call: Call::$call,
            summary: $summary,
            roles: $roles,
            takes: $takes,
            query: $query,
            fields: $fields,
            status: $status,
        }
    };
}

/// All routes.
#[rustfmt::skip]
pub const ROUTES: &[Route] = &[
    route!("GET" "/v1/self" Myself 200, "any", None, "", "", "Who the caller is, and what its token is for."),
    route!("GET" "/v1/tenants" ListTenants 200, ALL, None, "limit cursor state group", "", "Tenants in the order of their making, by pages; `next` is the cursor of the next page."),
    route!("POST" "/v1/tenants" CreateTenant 201, OPERATOR, Some("NewTenant"), "dry_run", "Idempotency-Key", "A new tenant, active once this is answered."),
    route!("GET" "/v1/tenants/{name}" GetTenant 200, ALL, None, "", "", "One tenant, with its share and what is under way; its `ETag` is its generation."),
    route!("PATCH" "/v1/tenants/{name}" PatchTenant 200, "operator; tenant_admin: labels of its own", Some("TenantSpec"), "dry_run", "If-Match", "Changes a tenant by a merge patch (RFC 7396); null takes a value back to its default."),
    route!("DELETE" "/v1/tenants/{name}" RemoveTenant 200, OPERATOR, None, "dry_run", "If-Match", "Removes a tenant: nothing new of it is taken, what is under way is answered, its name is free."),
    route!("POST" "/v1/tenants/{name}/suspend" SuspendTenant 200, OPERATOR, None, "dry_run", "If-Match", "Refuses a tenant's new requests until it is resumed."),
    route!("POST" "/v1/tenants/{name}/resume" ResumeTenant 200, OPERATOR, None, "dry_run", "If-Match", "Takes a tenant's requests again."),
    route!("POST" "/v1/tenants/{name}/drain" DrainTenant 200, OPERATOR, None, "dry_run", "If-Match", "Refuses a tenant's new requests for good; what was taken is answered at its share."),
    route!("GET" "/v1/groups" ListGroups 200, SEE, None, "", "", "All groups."),
    route!("POST" "/v1/groups" CreateGroup 201, OPERATOR, Some("NewGroup"), "dry_run", "Idempotency-Key", "A new group."),
    route!("GET" "/v1/groups/{name}" GetGroup 200, SEE, None, "", "", "One group; its `ETag` is its generation."),
    route!("PATCH" "/v1/groups/{name}" PatchGroup 200, OPERATOR, Some("GroupSpec"), "dry_run", "If-Match", "Changes a group by a merge patch (RFC 7396)."),
    route!("DELETE" "/v1/groups/{name}" RemoveGroup 200, OPERATOR, None, "dry_run", "If-Match", "Removes a group that has no members."),
    route!("GET" "/v1/shares" Shares 200, SEE, None, "", "", "The effective share of each tenant."),
    route!("GET" "/v1/tokens" ListTokens 200, OPERATOR, None, "", "", "All tokens, without their secrets."),
    route!("POST" "/v1/tokens" CreateToken 201, OPERATOR, Some("NewToken"), "", "", "A new token; its secret is told this once."),
    route!("POST" "/v1/tokens/{id}/rotate" RotateToken 200, OPERATOR, Some("Rotation"), "", "", "Another secret for a token; the old one is taken for `overlap_ms` still."),
    route!("DELETE" "/v1/tokens/{id}" RemoveToken 200, OPERATOR, None, "", "", "Takes a token back at once."),
    route!("GET" "/v1/audit" Audit 200, ALL, None, "limit cursor tenant", "", "The audit trail, the newest first, by pages."),
    route!("GET" "/v1/watch" Watch 200, ALL, None, "after wait_ms", "", "Changes after a generation, at once where there are any, else when one comes or the time is up; 410 where they are no longer at hand."),
    route!("GET" "/v1/engines" Engines 200, SEE, None, "", "", "Engines that are listed or still hold something."),
    route!("GET" "/v1/requests" Requests 200, ALL, None, "", "", "Open requests."),
    route!("DELETE" "/v1/requests/{name}" CancelRequest 200, RUN, None, "", "", "Ends a request: its client is answered at once."),
    route!("POST" "/v1/backups" Backup 201, OPERATOR, None, "", "", "Writes a backup of the store into the folder that is set up for it."),
    route!("GET" "/v1/export" Export 200, OPERATOR, None, "", "", "All tenants and groups, as TOML."),
    route!("POST" "/v1/import" Import 200, OPERATOR, None, "prune dry_run", "", "Makes tenants and groups agree with a TOML document, all at once; with `prune`, what it does not name goes."),
    route!("GET" "/v1/fleet" Fleet 200, SEE, None, "", "", "The fleet as this manager sees it: members, voters, duties and their holders."),
    route!("POST" "/v1/fleet/duties/{name}/hand-over" HandOver 202, OPERATOR, None, "", "", "Hands a duty that this manager holds over to the next in order; what was begun is finished first."),
    route!("POST" "/v1/fleet/voters/{name}/admit" Admit 202, OPERATOR, None, "", "", "Lets a voter in whose file was lost, under its new number. Asked of the leader."),
    route!("POST" "/v1/fleet/roll" Roll 202, OPERATOR, Some("NewRoll"), "", "", "Begins a roll: managers take turns at being drained or restarted, so many of one zone at once; it stops at the first that does not come back. Asked of the holder of the duty `warden`."),
    route!("POST" "/v1/fleet/roll/{word}" TurnRoll 202, OPERATOR, None, "", "", "A roll's `pause`, `resume` or `take-back`. Asked of the holder of the duty `warden`."),
];

/// Why no route matches.
#[derive(Debug, PartialEq, Eq)]
pub enum NoRoute {
    /// No route has the path.
    Path,
    /// Routes with the path have these methods.
    Method(String),
}

/// Matches a path with a template, and returns the parameter.
fn match_path<'a>(template: &str, path: &'a str) -> Option<&'a str> {
    let mut parameter = "";
    let mut parts = path.split('/');
    for wanted in template.split('/') {
        let part = parts.next()?;
        match wanted.starts_with('{') {
            true if part.is_empty() => return None,
            true => parameter = part,
            false if part != wanted => return None,
            false => {}
        }
    }
    parts.next().is_none().then_some(parameter)
}

/// The route of a request, and the parameter in its path.
pub fn find<'a>(method: &str, path: &'a str) -> Result<(&'static Route, &'a str), NoRoute> {
    let rows = || ROUTES.iter().filter_map(|row| Some((row, match_path(row.path, path)?)));
    if let Some(found) = rows().find(|(row, _)| row.method == method) {
        return Ok(found);
    }
    let methods: Vec<&str> = rows().map(|(row, _)| row.method).collect();
    Err(if methods.is_empty() { NoRoute::Path } else { NoRoute::Method(methods.join(", ")) })
}

#[cfg(test)]
mod tests;
