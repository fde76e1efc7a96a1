//! Generates the OpenAPI document from the routes and the schemas of their bodies.

use super::bodies;
use super::routes::{ROUTES, Route};
use schemars::generate::SchemaSettings;
use schemars::{JsonSchema, SchemaGenerator};
use serde_json::{Map, Value, json};

/// Returns the OpenAPI document of version 1.
pub fn openapi() -> Value {
    let mut schemas = Value::Object(schemas());
    schemas["Problem"] = problem_schema();
    let mut paths = Map::new();
    for route in ROUTES {
        let path = paths.entry(route.path).or_insert_with(|| json!({}));
        path[route.method.to_lowercase()] = operation(route);
    }
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

/// Schemas of the request bodies, and of the tenants, groups and audit entries in responses, by name.
fn schemas() -> Map<String, Value> {
    let mut settings = SchemaSettings::draft2020_12();
    settings.definitions_path = "/components/schemas".into();
    let mut generator = SchemaGenerator::new(settings);
    add::<bodies::NewTenant>(&mut generator);
    add::<bodies::NewGroup>(&mut generator);
    add::<bodies::NewToken>(&mut generator);
    add::<bodies::Rotation>(&mut generator);
    add::<bodies::NewRollingRestart>(&mut generator);
    add::<sanddyke_tenancy::TenantSpec>(&mut generator);
    add::<sanddyke_tenancy::GroupSpec>(&mut generator);
    add::<sanddyke_tenancy::Tenant>(&mut generator);
    add::<sanddyke_tenancy::Group>(&mut generator);
    add::<sanddyke_store::AuditEntry>(&mut generator);
    generator.take_definitions(true)
}

fn add<T: JsonSchema>(generator: &mut SchemaGenerator) {
    generator.subschema_for::<T>();
}

/// Schema of problem details (RFC 9457).
fn problem_schema() -> Value {
    json!({
        "type": "object", "required": ["type", "title", "status", "detail"],
        "properties": { "type": { "type": "string" }, "title": { "type": "string" },
            "status": { "type": "integer" }, "detail": { "type": "string" } },
    })
}

/// The operation object of a route.
fn operation(route: &Route) -> Value {
    let mut operation = json!({
        "operationId": format!("{:?}", route.call),
        "summary": route.summary,
        "description": format!("Roles: {}.", route.roles),
        "parameters": parameters(route),
        "responses": {
            route.success_status.to_string(): { "description": "granted" },
            "default": { "description": "a problem", "content": { "application/problem+json": {
                "schema": { "$ref": "#/components/schemas/Problem" } } } },
        },
    });
    if let Some(name) = route.body_schema {
        let body = json!({ "schema": { "$ref": format!("#/components/schemas/{name}") } });
        operation["requestBody"] = json!({ "required": true, "content": { "application/json": body } });
    }
    operation
}

/// The parameters of a route: in its path, query string and header.
fn parameters(route: &Route) -> Vec<Value> {
    let parameter = |name: &str, location: &str| {
        let required = location == "path";
        json!({ "name": name, "in": location, "required": required, "schema": { "type": "string" } })
    };
    let in_path = route.path.split(['{', '}']).nth(1).map(|name| parameter(name, "path"));
    let in_query = route.query_keys.split_whitespace().map(|name| parameter(name, "query"));
    let in_header = route.header_fields.split_whitespace().map(|name| parameter(name, "header"));
    in_path.into_iter().chain(in_query).chain(in_header).collect()
}
