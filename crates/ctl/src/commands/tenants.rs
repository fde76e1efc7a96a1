//! Runs the sub-commands of `tenants`.

use super::{ANY_VERSION, with_name};
use crate::arguments::{TenantCommand, TenantSpec};
use crate::error::CommandError;
use sanddyke_client::Client;
use serde_json::{Map, Value, json};

pub fn run(client: &Client, command: &TenantCommand) -> Result<Value, CommandError> {
    let post_action = |name: &str, action: &str| {
        let response = client.call("POST", &format!("/v1/tenants/{name}/{action}"), "", &[])?;
        Ok(response.body)
    };
    match command {
        TenantCommand::List { state, group } => list(client, state.as_deref(), group.as_deref()),
        TenantCommand::Show { name } => Ok(client.get(&format!("/v1/tenants/{name}"))?),
        TenantCommand::Create { name, spec, key } => {
            let header_fields: Vec<(&str, &str)> =
                key.iter().map(|key| ("Idempotency-Key", key.as_str())).collect();
            let body = with_name(name, merge_patch(spec)?);
            Ok(client.call("POST", "/v1/tenants", &body, &header_fields)?.body)
        }
        TenantCommand::Set { name, spec } => {
            let patch = merge_patch(spec)?;
            Ok(client.update(&format!("/v1/tenants/{name}"), |_| patch.clone())?)
        }
        TenantCommand::Suspend { name } => post_action(name, "suspend"),
        TenantCommand::Resume { name } => post_action(name, "resume"),
        TenantCommand::Drain { name } => post_action(name, "drain"),
        TenantCommand::Remove { name } => {
            Ok(client.call("DELETE", &format!("/v1/tenants/{name}"), "", &ANY_VERSION)?.body)
        }
        TenantCommand::Plan { name, spec, remove, create } => {
            let target = format!("/v1/tenants/{name}?dry_run=true");
            let response = if *remove {
                client.call("DELETE", &target, "", &ANY_VERSION)?
            } else if *create {
                let body = with_name(name, merge_patch(spec)?);
                client.call("POST", "/v1/tenants?dry_run=true", &body, &ANY_VERSION)?
            } else {
                client.call("PATCH", &target, &merge_patch(spec)?.to_string(), &ANY_VERSION)?
            };
            Ok(response.body)
        }
    }
}

fn list(client: &Client, state: Option<&str>, group: Option<&str>) -> Result<Value, CommandError> {
    let state = state.map_or(String::new(), |state| format!("&state={state}"));
    let group = group.map_or(String::new(), |group| format!("&group={group}"));
    let tenants = client.tenants(&format!("{state}{group}")).collect::<Result<Vec<_>, _>>()?;
    Ok(json!({ "tenants": tenants }))
}

/// The JSON merge patch (RFC 7396) of the fields that are set on the command line; null removes a field.
fn merge_patch(spec: &TenantSpec) -> Result<Value, CommandError> {
    let mut patch = Map::new();
    if let Some(weight) = spec.weight {
        patch.insert("weight".to_owned(), json!(weight));
    }
    if let Some(quota_rps) = spec.quota_rps {
        patch.insert("quota_rps".to_owned(), json!(quota_rps));
    }
    if let Some(group) = &spec.group {
        patch.insert("group".to_owned(), null_if_empty(group));
    }
    if !spec.limits.is_empty() {
        patch.insert("limits".to_owned(), Value::Object(limits(&spec.limits)?));
    }
    if !spec.labels.is_empty() {
        patch.insert("labels".to_owned(), Value::Object(labels(&spec.labels)?));
    }
    Ok(Value::Object(patch))
}

fn limits(arguments: &[String]) -> Result<Map<String, Value>, CommandError> {
    let mut limits = Map::new();
    for argument in arguments {
        let (key, value) = split_pair("limit", argument)?;
        let value = match (key, value) {
            (_, "") => Value::Null,
            ("classes", names) => json!(names.split(',').collect::<Vec<_>>()),
            (_, number) => serde_json::from_str(number).map_err(|_| {
                CommandError::Usage(format!("--limit {argument}: the value must be a number or empty"))
            })?,
        };
        limits.insert(key.to_owned(), value);
    }
    Ok(limits)
}

fn labels(arguments: &[String]) -> Result<Map<String, Value>, CommandError> {
    let mut labels = Map::new();
    for argument in arguments {
        let (key, value) = split_pair("label", argument)?;
        labels.insert(key.to_owned(), null_if_empty(value));
    }
    Ok(labels)
}

/// Splits `KEY=VALUE`. `option` names the option in the error message.
fn split_pair<'a>(option: &str, argument: &'a str) -> Result<(&'a str, &'a str), CommandError> {
    let pair = argument.split_once('=');
    pair.ok_or_else(|| CommandError::Usage(format!("--{option} {argument}: must be KEY=VALUE")))
}

fn null_if_empty(text: &str) -> Value {
    if text.is_empty() { Value::Null } else { json!(text) }
}
