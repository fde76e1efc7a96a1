//! Runs the sub-commands of `fleet`.

use crate::arguments::FleetCommand;
use crate::error::CommandError;
use crate::table;
use sanddyke_client::Client;
use serde_json::{Value, json};

pub fn run(client: &Client, command: &FleetCommand) -> Result<Value, CommandError> {
    let post = |target: &str, body: &str| Ok(client.call("POST", target, body, &[])?.body);
    match command {
        FleetCommand::Show => Ok(client.get("/v1/fleet")?),
        FleetCommand::HandOver { duty } => post(&format!("/v1/fleet/duties/{duty}/hand-over"), ""),
        FleetCommand::Admit { name } => post(&format!("/v1/fleet/voters/{name}/admit"), ""),
        FleetCommand::Roll { restart, most } => {
            let mode = if *restart { "restart" } else { "drain" };
            post("/v1/fleet/roll", &json!({ "how": mode, "most": most }).to_string())
        }
        FleetCommand::Pause => post("/v1/fleet/roll/pause", ""),
        FleetCommand::Resume => post("/v1/fleet/roll/resume", ""),
        FleetCommand::TakeBack => post("/v1/fleet/roll/take-back", ""),
    }
}

/// Renders the fleet as text: the manager that responded, then the leases and the members.
pub fn render(fleet: &Value) -> String {
    let text = |key: &str| fleet[key].as_str().unwrap_or("-").to_owned();
    let voters = fleet["voters"].as_object().into_iter().flatten();
    let voters: Vec<&str> = voters.filter_map(|(_, name)| name.as_str()).collect();
    let mut rendered = format!(
        "{} in zone {:?}: {}; voters: {}\n\n",
        text("me"),
        text("zone"),
        text("vote"),
        voters.join(", ")
    );
    rendered.push_str(&table::render(&json!({ "duties": fleet["duties"] })));
    rendered.push('\n');
    rendered.push_str(&table::render(&json!({ "members": fleet["members"] })));
    rendered
}
