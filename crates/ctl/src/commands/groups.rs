//! Runs the sub-commands of `groups`.

use super::{ANY_VERSION, with_name};
use crate::arguments::GroupCommand;
use crate::error::CommandError;
use sanddyke_client::Client;
use serde_json::{Value, json};

pub fn run(client: &Client, command: &GroupCommand) -> Result<Value, CommandError> {
    match command {
        GroupCommand::List => Ok(client.get("/v1/groups")?),
        GroupCommand::Show { name } => Ok(client.get(&format!("/v1/groups/{name}"))?),
        GroupCommand::Create { name, weight } => {
            let fields = weight.map_or(json!({}), |weight| json!({ "weight": weight }));
            Ok(client.call("POST", "/v1/groups", &with_name(name, fields), &[])?.body)
        }
        GroupCommand::Set { name, weight } => {
            Ok(client.update(&format!("/v1/groups/{name}"), |_| json!({ "weight": weight }))?)
        }
        GroupCommand::Remove { name } => {
            Ok(client.call("DELETE", &format!("/v1/groups/{name}"), "", &ANY_VERSION)?.body)
        }
    }
}
