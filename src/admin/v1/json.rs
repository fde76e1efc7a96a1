//! JSON of requests and answers.

use crate::admin::problem::Problem;
use crate::core::TenantReport;
use crate::frontend::http::message::Response;
use crate::tenants::{ChangeEvent, IssuedToken};
use sanddyke_authorization::Token;
use sanddyke_tenancy::{Generation, Tenant};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::{Map, Value, json};

/// A body; an empty one counts as `{}`.
pub(super) fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, Problem> {
    let body = if body.is_empty() { b"{}" } else { body };
    serde_json::from_slice(body).map_err(|error| Problem::new(400, "body", error.to_string()))
}

/// A parse_spec from a value, or the problem with one of its values.
fn parse_spec<T: DeserializeOwned>(value: Value) -> Result<T, Problem> {
    serde_json::from_value(value).map_err(|error| Problem::new(422, "invalid", error.to_string()))
}

/// A parse_spec and the name that its body has beside it.
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

/// A parse_spec after a merge patch (RFC 7396).
pub(super) fn apply_merge_patch<T: Serialize + DeserializeOwned>(spec: &T, body: &[u8]) -> Result<T, Problem> {
    let patch: Map<String, Value> = parse(body)?;
    let mut value =
        serde_json::to_value(spec).map_err(|error| Problem::new(500, "body", error.to_string()))?;
    json_patch::merge(&mut value, &Value::Object(patch));
    parse_spec(value)
}

/// An answer whose `ETag` is a generation.
pub(super) fn with_etag(status: u16, generation: Generation, body: Value) -> Response {
    Response::json(status, body.to_string()).with("ETag", format!("\"{}\"", generation.0))
}

pub(super) fn not_found(what: &str) -> Problem {
    Problem::new(404, "not_found", format!("no {what} of this name"))
}

pub(super) fn token(token: &Token) -> Value {
    json!({
        "id": token.id, "role": token.grant.role, "tenants": token.grant.tenants, "note": token.grant.note,
        "created_ms": token.created_ms, "expires_ms": token.grant.expires_ms,
        "old_secret_until_ms": token.previous.as_ref().map(|previous| previous.until_ms),
    })
}

/// The answer that shows a new secret, the only time that it is shown.
pub(super) fn issued_token(status: u16, issued: &IssuedToken) -> Response {
    let mut body = token(&issued.token);
    body["secret"] = json!(issued.secret);
    Response::json(status, body.to_string()).with("Cache-Control", "no-store".to_owned())
}

pub(super) fn change(event: &ChangeEvent) -> Value {
    json!({ "at_ms": event.at_ms, "who": event.actor, "record": event.record })
}

pub(super) fn tenant(tenant: &Tenant, share: f64, usage: Option<&TenantReport>) -> Value {
    // A tenant always has a JSON form.
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
