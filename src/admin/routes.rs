//! The calls of version 1, as one table: by it requests are told apart, and the OpenAPI document is made.

use schemars::generate::SchemaSettings;
use schemars::{JsonSchema, SchemaGenerator};
use serde_json::{Value, json};

/// What a request asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Call {
    /// Who the caller is.
    Myself,
    /// Tenants, by pages.
    ListTenants,
    /// A new tenant.
    CreateTenant,
    /// One tenant.
    GetTenant,
    /// Changes of a tenant, as a merge patch.
    PatchTenant,
    /// A tenant's end.
    RemoveTenant,
    /// A tenant takes no requests for now.
    SuspendTenant,
    /// It takes them again.
    ResumeTenant,
    /// It takes none for good.
    DrainTenant,
    /// Groups.
    ListGroups,
    /// A new group.
    CreateGroup,
    /// One group.
    GetGroup,
    /// Changes of a group, as a merge patch.
    PatchGroup,
    /// A group's end.
    RemoveGroup,
    /// Effective shares.
    Shares,
    /// Tokens.
    ListTokens,
    /// A new token.
    CreateToken,
    /// Another secret for a token.
    RotateToken,
    /// A token's end.
    RemoveToken,
    /// The audit trail, by pages.
    Audit,
    /// Changes as they come.
    Watch,
    /// Engines.
    Engines,
    /// Open requests.
    Requests,
    /// A request's end.
    CancelRequest,
    /// A backup of the store.
    Backup,
    /// All tenants and groups, as TOML.
    Export,
    /// Tenants and groups from TOML.
    Import,
    /// The fleet.
    Fleet,
    /// A duty goes to the next in order.
    HandOver,
    /// A voter whose file was lost is let in.
    Admit,
    /// Managers take turns at being drained or restarted.
    Roll,
    /// A roll is paused, taken up again, or taken back.
    TurnRoll,
}

/// A row of the table.
#[derive(Debug)]
pub struct Route {
    /// Its method.
    pub method: &'static str,
    /// Its path; one part may be a parameter, in braces.
    pub path: &'static str,
    /// What it asks for.
    pub call: Call,
    /// In words.
    pub summary: &'static str,
    /// The roles that may call it.
    pub roles: &'static str,
    /// The schema of its body, by name.
    pub takes: Option<&'static str>,
    /// Its query keys, separated by spaces.
    pub query: &'static str,
    /// Header fields of the request that it heeds, separated by spaces.
    pub fields: &'static str,
    /// The status of its answer where it is granted.
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

/// The table.
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

/// Why no row fits.
#[derive(Debug, PartialEq, Eq)]
pub enum NoRoute {
    /// No row has the path.
    Path,
    /// Rows have it with these methods.
    Method(String),
}

/// The parameter of a path, where it fits a row's.
fn fit<'a>(template: &str, path: &'a str) -> Option<&'a str> {
    let (mut parameter, mut parts) = ("", path.split('/'));
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

/// The row that a request asks for, and its parameter.
pub fn find<'a>(method: &str, path: &'a str) -> Result<(&'static Route, &'a str), NoRoute> {
    let rows = || ROUTES.iter().filter_map(|row| Some((row, fit(row.path, path)?)));
    if let Some(found) = rows().find(|(row, _)| row.method == method) {
        return Ok(found);
    }
    let methods: Vec<&str> = rows().map(|(row, _)| row.method).collect();
    Err(if methods.is_empty() { NoRoute::Path } else { NoRoute::Method(methods.join(", ")) })
}

fn schema<T: JsonSchema>(generator: &mut SchemaGenerator) {
    generator.subschema_for::<T>();
}

/// The OpenAPI document.
pub fn openapi() -> Value {
    let mut settings = SchemaSettings::draft2020_12();
    settings.definitions_path = "/components/schemas".into();
    let mut generator = SchemaGenerator::new(settings);
    schema::<super::v1::NewTenant>(&mut generator);
    schema::<super::v1::NewGroup>(&mut generator);
    schema::<super::v1::NewToken>(&mut generator);
    schema::<super::v1::Rotation>(&mut generator);
    schema::<super::v1::NewRoll>(&mut generator);
    schema::<sanddyke_tenancy::TenantSpec>(&mut generator);
    schema::<sanddyke_tenancy::GroupSpec>(&mut generator);
    schema::<sanddyke_tenancy::Tenant>(&mut generator);
    schema::<sanddyke_tenancy::Group>(&mut generator);
    schema::<sanddyke_store::AuditEntry>(&mut generator);
    let schemas = generator.take_definitions(true);
    let mut paths = serde_json::Map::new();
    for route in ROUTES {
        let parameter = |name: &str, place: &str| {
            let required = place == "path";
            json!({ "name": name, "in": place, "required": required, "schema": { "type": "string" } })
        };
        let in_path = route.path.split(['{', '}']).nth(1).map(|name| parameter(name, "path"));
        let query = route.query.split_whitespace().map(|name| parameter(name, "query"));
        let fields = route.fields.split_whitespace().map(|name| parameter(name, "header"));
        let parameters: Vec<Value> = in_path.into_iter().chain(query).chain(fields).collect();
        let mut operation = json!({
            "operationId": format!("{:?}", route.call),
            "summary": route.summary,
            "description": format!("Roles: {}.", route.roles),
            "parameters": parameters,
            "responses": {
                route.status.to_string(): { "description": "granted" },
                "default": { "description": "a problem", "content": { "application/problem+json": {
                    "schema": { "$ref": "#/components/schemas/Problem" } } } },
            },
        });
        if let Some(name) = route.takes {
            let body = json!({ "schema": { "$ref": format!("#/components/schemas/{name}") } });
            operation["requestBody"] = json!({ "required": true, "content": { "application/json": body } });
        }
        let path = paths.entry(route.path).or_insert_with(|| json!({}));
        path[route.method.to_lowercase()] = operation;
    }
    let mut schemas = Value::Object(schemas);
    schemas["Problem"] = json!({
        "type": "object", "required": ["type", "title", "status", "detail"],
        "properties": { "type": { "type": "string" }, "title": { "type": "string" },
            "status": { "type": "integer" }, "detail": { "type": "string" } },
    });
    json!({
        "openapi": "3.1.0",
        "info": { "title": "sanddyke administration API", "version": "1",
            "description": "Tenants, groups, tokens and the audit trail of a sanddyke workload manager." },
        "security": [{ "bearer": [] }],
        "paths": paths,
        "components": {
            "securitySchemes": { "bearer": { "type": "http", "scheme": "bearer" } },
            "schemas": schemas,
        },
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn paths_are_told_apart() {
        let found = |method, path| find(method, path).map(|(row, name)| (row.call, name));
        assert_eq!(found("GET", "/v1/tenants"), Ok((Call::ListTenants, "")));
        assert_eq!(found("GET", "/v1/tenants/a"), Ok((Call::GetTenant, "a")));
        assert_eq!(found("POST", "/v1/tenants/a/drain"), Ok((Call::DrainTenant, "a")));
        assert_eq!(found("PUT", "/v1/tenants/a"), Err(NoRoute::Method("GET, PATCH, DELETE".to_owned())));
        for path in ["/v1/tenants/", "/v1/tenants//drain", "/v1", "/v1/tenants/a/b", "/v1/tenants/a/drain/"] {
            assert_eq!(found("GET", path), Err(NoRoute::Path), "{path}");
        }
    }

    #[test]
    fn the_document_names_schemas_that_it_holds() {
        let document = openapi();
        let text = document.to_string();
        for name in text.split("#/components/schemas/").skip(1).map(|rest| rest.split('"').next().unwrap()) {
            assert!(document["components"]["schemas"].get(name).is_some(), "{name}");
        }
        assert_eq!(document["paths"].as_object().unwrap().len(), {
            let mut paths: Vec<&str> = ROUTES.iter().map(|row| row.path).collect();
            paths.sort_unstable();
            paths.dedup();
            paths.len()
        });
    }
}
