//! Runs the sub-commands, with a module for each resource that has several.

mod fleet;
mod groups;
mod tenants;
mod tokens;

use crate::arguments::{Arguments, Command, FleetCommand};
use crate::error::CommandError;
use crate::profile::{client, read_file};
use crate::table;
use clap::CommandFactory;
use sanddyke_client::{Changes, Client};
use serde_json::{Value, json};
use std::io::Write;
use std::path::Path;
use std::time::Duration;

/// Program name in the shell completions.
const PROGRAM: &str = "sanddykectl";
/// Header field of a change that applies to any current version of the resource.
const ANY_VERSION: [(&str, &str); 1] = [("If-Match", "*")];
/// Longest time that one watch call waits for changes; the next call follows at once.
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);

/// Runs the sub-command and prints its result.
pub fn run(arguments: &Arguments) -> Result<(), CommandError> {
    if let Command::Completions { shell } = &arguments.command {
        return print_completions(*shell);
    }
    let client = client(arguments)?;
    let body = match &arguments.command {
        Command::Watch { after, count } => return watch(&client, *after, *count),
        Command::Export => {
            let document = client.get("/v1/export")?;
            return print(document.as_str().unwrap_or_default());
        }
        Command::Fleet(FleetCommand::Show) if !arguments.json => {
            let body = fleet::run(&client, &FleetCommand::Show)?;
            return print(&fleet::render(&body));
        }
        command => call(&client, command)?,
    };
    match arguments.json {
        true => print(&format!("{body:#}\n")),
        false => print(&table::render(&body)),
    }
}

/// Calls the service for a sub-command and returns the response body.
fn call(client: &Client, command: &Command) -> Result<Value, CommandError> {
    match command {
        Command::Tenants(command) => tenants::run(client, command),
        Command::Groups(command) => groups::run(client, command),
        Command::Tokens(command) => tokens::run(client, command),
        Command::Fleet(command) => fleet::run(client, command),
        Command::Shares => Ok(client.get("/v1/shares")?),
        Command::Whoami => Ok(client.get("/v1/self")?),
        Command::Engines => Ok(client.get("/v1/engines")?),
        Command::Requests => Ok(client.get("/v1/requests")?),
        Command::Cancel { name: client_request_id } => {
            Ok(client.call("DELETE", &format!("/v1/requests/{client_request_id}"), "", &[])?.body)
        }
        Command::Audit { tenant, last } => audit(client, tenant.as_deref(), *last),
        Command::Import { file, prune, dry_run } => import(client, file, *prune, *dry_run),
        Command::Backup => Ok(client.call("POST", "/v1/backups", "", &[])?.body),
        // `run` handles these: each prints its own result.
        Command::Watch { .. } | Command::Export | Command::Completions { .. } => Ok(Value::Null),
    }
}

fn audit(client: &Client, tenant: Option<&str>, last: usize) -> Result<Value, CommandError> {
    let filter = tenant.map_or(String::new(), |name| format!("&tenant={name}"));
    let entries = client.audit(&filter).take(last).collect::<Result<Vec<_>, _>>()?;
    Ok(json!({ "entries": entries }))
}

fn import(client: &Client, file: &Path, prune: bool, dry_run: bool) -> Result<Value, CommandError> {
    let target = format!("/v1/import?prune={prune}&dry_run={dry_run}");
    Ok(client.call("POST", &target, &read_file(file)?, &[])?.body)
}

/// Prints changes as they arrive, until at least `count` are printed; without `count` it does not end.
fn watch(client: &Client, mut after: Option<u64>, count: Option<usize>) -> Result<(), CommandError> {
    let mut printed = 0;
    while count.is_none_or(|count| printed < count) {
        let Changes { changes, next } = client.watch(after, WATCH_TIMEOUT)?;
        after = Some(next);
        for change in changes {
            printed += 1;
            print(&format!("{change}\n"))?;
        }
    }
    Ok(())
}

fn print_completions(shell: clap_complete::Shell) -> Result<(), CommandError> {
    let mut script = Vec::new();
    clap_complete::generate(shell, &mut Arguments::command(), PROGRAM, &mut script);
    print(&String::from_utf8_lossy(&script))
}

fn print(text: &str) -> Result<(), CommandError> {
    let mut out = std::io::stdout().lock();
    out.write_all(text.as_bytes())?;
    out.flush()?;
    Ok(())
}

/// The request body that creates a resource: `fields` with the name added.
fn with_name(name: &str, mut fields: Value) -> String {
    fields["name"] = json!(name);
    fields.to_string()
}
