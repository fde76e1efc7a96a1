//! Runs the sub-commands of `tokens`.

use crate::arguments::TokenCommand;
use crate::error::CommandError;
use sanddyke_client::Client;
use serde_json::{Value, json};

pub fn run(client: &Client, command: &TokenCommand) -> Result<Value, CommandError> {
    match command {
        TokenCommand::List => Ok(client.get("/v1/tokens")?),
        TokenCommand::Create { role, tenants, note, expires_ms } => {
            let body = json!({ "role": role, "tenants": tenants, "note": note, "expires_ms": expires_ms });
            Ok(client.call("POST", "/v1/tokens", &body.to_string(), &[])?.body)
        }
        TokenCommand::Rotate { id, overlap_s } => {
            let body = json!({ "overlap_ms": overlap_s * 1000 }).to_string();
            Ok(client.call("POST", &format!("/v1/tokens/{id}/rotate"), &body, &[])?.body)
        }
        TokenCommand::Remove { id } => Ok(client.call("DELETE", &format!("/v1/tokens/{id}"), "", &[])?.body),
    }
}
