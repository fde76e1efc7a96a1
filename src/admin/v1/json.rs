//! Parsing of JSON bodies and rendering of JSON responses.

use crate::admin::problem::Problem;
use crate::core::TenantReport;
use crate::frontend::http::message::Response;
use crate::tenants::{ChangeEvent, IssuedToken};
use sanddyke_authorization::Token;
use sanddyke_tenancy::{Generation, Tenant};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::{Map, Value, json};

/// Parses a JSON body. An empty body is parsed as `{}`.
pub(super) fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, Problem> {
    let body = if body.is_empty() { b"{}" } else { body };
    serde_json::from_slice(body).map_err(|error| Problem::new(400, "body", error.to_string()))
}

/// Parses a tenant or group specification.
fn parse_spec<T: DeserializeOwned>(value: Value) -> Result<T, Problem> {
    serde_json::from_value(value).map_err(|error| Problem::new(422, "invalid", error.to_string()))
}

/// Body of a creation: a name, with the keys of a specification beside it. Parsed in two steps, so that the
/// specification rejects unknown keys.
pub(super) struct NamedSpec<T> {
    pub name: String,
    pub spec: T,
}

impl<T: DeserializeOwned> NamedSpec<T> {
    pub(super) fn parse(body: &[u8]) -> Result<NamedSpec<T>, Problem> {
        let mut value: Map<String, Value> = parse(body)?;
        let name = value.remove("name");
        let name = name.as_ref().and_then(Value::as_str);
        let name = name.ok_or_else(|| Problem::new(422, "invalid", "name: missing"))?.to_owned();
        Ok(NamedSpec { name, spec: parse_spec(Value::Object(value))? })
    }
}

/// Applies a merge patch (RFC 7396) to a specification.
pub(super) fn apply_merge_patch<T: Serialize + DeserializeOwned>(
    spec: &T,
    body: &[u8],
) -> Result<T, Problem> {
    let patch: Map<String, Value> = parse(body)?;
    let mut value =
        serde_json::to_value(spec).map_err(|error| Problem::new(500, "body", error.to_string()))?;
    json_patch::merge(&mut value, &Value::Object(patch));
    parse_spec(value)
}

/// Returns a JSON response with a generation as its `ETag`.
pub(super) fn with_etag(status: u16, generation: Generation, body: Value) -> Response {
    Response::json(status, body.to_string()).with("ETag", format!("\"{}\"", generation.0))
}

/// Problem for a name or id that does not exist, or that the caller is not allowed to see.
pub(super) fn not_found(what: &str) -> Problem {
    Problem::new(404, "not_found", format!("no {what} of this name"))
}

/// A token without its hash and secret.
pub(super) fn token(token: &Token) -> Value {
    json!({
        "id": token.id, "role": token.grant.role, "tenants": token.grant.tenants, "note": token.grant.note,
        "created_ms": token.created_ms, "expires_ms": token.grant.expires_ms,
        "old_secret_until_ms": token.previous.as_ref().map(|previous| previous.until_ms),
    })
}

/// Returns the response with a new secret, which must not be cached. No other response contains the secret.
pub(super) fn issued_token(status: u16, issued: &IssuedToken) -> Response {
    let mut body = token(&issued.token);
    body["secret"] = json!(issued.secret);
    Response::json(status, body.to_string()).with("Cache-Control", "no-store".to_owned())
}

/// A change as listed by a watch.
pub(super) fn change(event: &ChangeEvent) -> Value {
    json!({ "at_ms": event.at_ms, "who": event.actor, "record": event.record })
}

/// A tenant with its effective share and its usage; the usage is `null` if the core does not know the tenant.
pub(super) fn tenant(tenant: &Tenant, share: f64, usage: Option<&TenantReport>) -> Value {
    // Serializing a tenant can't fail.
    let mut value = serde_json::to_value(tenant).unwrap_or_default();
    value["share"] = json!(share);
    value["usage"] = match usage {
        Some(usage) => json!({
            "open": usage.open_requests, "attempts": usage.attempts_in_flight, "refused": usage.rejected,
        }),
        None => Value::Null,
    };
    value
}
