//! `sanddykectl`: tenants, groups, tokens, engines and requests of a running service. Tables for people,
//! `--json` for programs; nothing is printed on standard output before all of it is there.
#![forbid(unsafe_code)]

mod arguments;
mod table;

use arguments::{Arguments, Command, Fleet, Groups, Profile, Spec, Tenants, Tokens};
use clap::{CommandFactory, Parser};
use sanddyke_client::{Client, Error, Options};
use serde_json::{Map, Value, json};
use std::io::Write;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use thiserror::Error as Fault;

#[derive(Debug, Fault)]
enum Failed {
    #[error("{0}")]
    Call(#[from] Error),
    #[error("{0}: {1}")]
    File(PathBuf, String),
    #[error("{0}")]
    Usage(String),
    #[error("{0}")]
    Output(#[from] std::io::Error),
}

impl Failed {
    /// What scripts rely on; `--help` lists it.
    fn code(&self) -> u8 {
        match self {
            Failed::Usage(_) => 2,
            Failed::File(..) => 3,
            Failed::Call(Error::File(..)) => 3,
            Failed::Call(Error::Unreachable(..)) => 4,
            Failed::Call(Error::Problem { status, .. }) => match status {
                401 | 403 => 5,
                404 | 410 => 6,
                409 | 412 | 428 => 7,
                400..=499 => 8,
                _ => 9,
            },
            Failed::Output(_) => 1,
        }
    }
}

fn read(path: &PathBuf) -> Result<String, Failed> {
    let text = match path.as_os_str() == "-" {
        true => std::io::read_to_string(std::io::stdin()),
        false => std::fs::read_to_string(path),
    };
    text.map_err(|error| Failed::File(path.clone(), error.to_string()))
}

/// The profile that is named, or the only one, or none where there is no file.
fn profile(arguments: &Arguments) -> Result<Profile, Failed> {
    let home = std::env::var_os("HOME").map(|home| PathBuf::from(home).join(".config/sanddyke/ctl.toml"));
    let Some(path) = arguments.profiles.clone().or(home.filter(|path| path.exists())) else {
        return Ok(Profile::default());
    };
    let wrong = |why: String| Failed::File(path.clone(), why);
    let file: arguments::Profiles =
        toml::from_str(&read(&path)?).map_err(|error| wrong(error.to_string()))?;
    match &arguments.profile {
        Some(name) => file.profiles.get(name).cloned().ok_or_else(|| wrong(format!("no profile {name}"))),
        None => match file.profiles.len() {
            1 => Ok(file.profiles.into_values().next().unwrap_or_default()),
            _ => file
                .profiles
                .get("default")
                .cloned()
                .ok_or_else(|| wrong("no profile \"default\"".to_owned())),
        },
    }
}

fn client(arguments: &Arguments) -> Result<Client, Failed> {
    let profile = profile(arguments)?;
    let url = arguments.url.clone().or(profile.url);
    let url = url.ok_or_else(|| Failed::Usage("no address: --url, or a profile file".to_owned()))?;
    let token = match (&arguments.token, arguments.token_file.as_ref().or(profile.token_file.as_ref())) {
        (Some(token), _) => token.clone(),
        (None, Some(path)) => read(path)?.trim().to_owned(),
        (None, None) => return Err(Failed::Usage("no token: --token-file, or a profile file".to_owned())),
    };
    let identity = profile.certificate.zip(profile.private_key);
    Ok(Client::new(Options { url, token, ca: profile.ca, identity })?)
}

/// The merge patch of what is given on the command line.
fn patch(spec: &Spec) -> Result<Value, Failed> {
    let mut limits = Map::new();
    let mut patch = Map::new();
    let set = |map: &mut Map<String, Value>, key: &str, value: Option<Value>| {
        value.into_iter().for_each(|value| drop(map.insert(key.to_owned(), value)));
    };
    set(&mut patch, "weight", spec.weight.map(|value| json!(value)));
    set(&mut patch, "quota_rps", spec.quota_rps.map(|value| json!(value)));
    let group = spec.group.as_ref().map(|name| if name.is_empty() { Value::Null } else { json!(name) });
    set(&mut patch, "group", group);
    for limit in &spec.limits {
        let (key, value) = limit
            .split_once('=')
            .ok_or_else(|| Failed::Usage(format!("--limit {limit}: must be KEY=VALUE")))?;
        let value = match (key, value) {
            (_, "") => Value::Null,
            ("classes", names) => json!(names.split(',').collect::<Vec<_>>()),
            (_, number) => serde_json::from_str(number)
                .map_err(|_| Failed::Usage(format!("--limit {limit}: must be a number")))?,
        };
        limits.insert(key.to_owned(), value);
    }
    set(&mut patch, "limits", Some(Value::Object(limits)).filter(|_| !spec.limits.is_empty()));
    let mut labels = Map::new();
    for label in &spec.labels {
        let (key, value) = label
            .split_once('=')
            .ok_or_else(|| Failed::Usage(format!("--label {label}: must be KEY=VALUE")))?;
        labels.insert(key.to_owned(), if value.is_empty() { Value::Null } else { json!(value) });
    }
    set(&mut patch, "labels", Some(Value::Object(labels)).filter(|_| !spec.labels.is_empty()));
    Ok(Value::Object(patch))
}

fn with_name(name: &str, mut spec: Value) -> String {
    spec["name"] = json!(name);
    spec.to_string()
}

const ANY: [(&str, &str); 1] = [("If-Match", "*")];

fn tenants(client: &Client, command: &Tenants) -> Result<Value, Failed> {
    let post = |name: &str, verb: &str| {
        let answer = client.call("POST", &format!("/v1/tenants/{name}/{verb}"), "", &[])?;
        Ok(answer.body)
    };
    match command {
        Tenants::List { state, group } => {
            let state = state.as_ref().map_or(String::new(), |state| format!("&state={state}"));
            let group = group.as_ref().map_or(String::new(), |group| format!("&group={group}"));
            let rows = client.tenants(&format!("{state}{group}")).collect::<Result<Vec<_>, _>>()?;
            Ok(json!({ "tenants": rows }))
        }
        Tenants::Show { name } => Ok(client.get(&format!("/v1/tenants/{name}"))?),
        Tenants::Create { name, spec, key } => {
            let fields: Vec<(&str, &str)> = key.iter().map(|key| ("Idempotency-Key", key.as_str())).collect();
            let body = with_name(name, patch(spec)?);
            Ok(client.call("POST", "/v1/tenants", &body, &fields)?.body)
        }
        Tenants::Set { name, spec } => {
            let patch = patch(spec)?;
            Ok(client.update(&format!("/v1/tenants/{name}"), |_| patch.clone())?)
        }
        Tenants::Suspend { name } => post(name, "suspend"),
        Tenants::Resume { name } => post(name, "resume"),
        Tenants::Drain { name } => post(name, "drain"),
        Tenants::Remove { name } => Ok(client.call("DELETE", &format!("/v1/tenants/{name}"), "", &ANY)?.body),
        Tenants::Plan { name, spec, remove, create } => {
            let (method, target, body) = match (remove, create) {
                (true, _) => ("DELETE", format!("/v1/tenants/{name}?dry_run=true"), String::new()),
                (false, true) => {
                    ("POST", "/v1/tenants?dry_run=true".to_owned(), with_name(name, patch(spec)?))
                }
                (false, false) => {
                    ("PATCH", format!("/v1/tenants/{name}?dry_run=true"), patch(spec)?.to_string())
                }
            };
            Ok(client.call(method, &target, &body, &ANY)?.body)
        }
    }
}

fn groups(client: &Client, command: &Groups) -> Result<Value, Failed> {
    let spec = |weight: &Option<f64>| weight.map_or(json!({}), |weight| json!({ "weight": weight }));
    match command {
        Groups::List => Ok(client.get("/v1/groups")?),
        Groups::Show { name } => Ok(client.get(&format!("/v1/groups/{name}"))?),
        Groups::Create { name, weight } => {
            Ok(client.call("POST", "/v1/groups", &with_name(name, spec(weight)), &[])?.body)
        }
        Groups::Set { name, weight } => {
            Ok(client.update(&format!("/v1/groups/{name}"), |_| json!({ "weight": weight }))?)
        }
        Groups::Remove { name } => Ok(client.call("DELETE", &format!("/v1/groups/{name}"), "", &ANY)?.body),
    }
}

fn tokens(client: &Client, command: &Tokens) -> Result<Value, Failed> {
    match command {
        Tokens::List => Ok(client.get("/v1/tokens")?),
        Tokens::Create { role, tenants, note, expires_ms } => {
            let body = json!({ "role": role, "tenants": tenants, "note": note, "expires_ms": expires_ms });
            Ok(client.call("POST", "/v1/tokens", &body.to_string(), &[])?.body)
        }
        Tokens::Rotate { id, overlap_s } => {
            let body = json!({ "overlap_ms": overlap_s * 1000 }).to_string();
            Ok(client.call("POST", &format!("/v1/tokens/{id}/rotate"), &body, &[])?.body)
        }
        Tokens::Remove { id } => Ok(client.call("DELETE", &format!("/v1/tokens/{id}"), "", &[])?.body),
    }
}

fn fleet(client: &Client, command: &Fleet) -> Result<Value, Failed> {
    let post = |target: &str, body: &str| Ok(client.call("POST", target, body, &[])?.body);
    match command {
        Fleet::Show => Ok(client.get("/v1/fleet")?),
        Fleet::HandOver { duty } => post(&format!("/v1/fleet/duties/{duty}/hand-over"), ""),
        Fleet::Admit { name } => post(&format!("/v1/fleet/voters/{name}/admit"), ""),
        Fleet::Roll { restart, most } => {
            let how = if *restart { "restart" } else { "drain" };
            post("/v1/fleet/roll", &json!({ "how": how, "most": most }).to_string())
        }
        Fleet::Pause => post("/v1/fleet/roll/pause", ""),
        Fleet::Resume => post("/v1/fleet/roll/resume", ""),
        Fleet::TakeBack => post("/v1/fleet/roll/take-back", ""),
    }
}

/// The fleet for people: who speaks, then its duties and members.
fn fleet_text(answer: &Value) -> String {
    let word = |key: &str| answer[key].as_str().unwrap_or("-").to_owned();
    let voters = answer["voters"].as_object().into_iter().flatten();
    let voters: Vec<&str> = voters.filter_map(|(_, name)| name.as_str()).collect();
    let mut text = format!(
        "{} in zone {:?}: {}; voters: {}\n\n",
        word("me"),
        word("zone"),
        word("vote"),
        voters.join(", ")
    );
    text.push_str(&table::show(&json!({ "duties": answer["duties"] })));
    text.push('\n');
    text.push_str(&table::show(&json!({ "members": answer["members"] })));
    text
}

fn print(text: &str) -> Result<(), Failed> {
    let mut out = std::io::stdout().lock();
    out.write_all(text.as_bytes())?;
    Ok(out.flush()?)
}

fn watch(client: &Client, mut after: Option<u64>, count: Option<usize>) -> Result<(), Failed> {
    let mut told = 0;
    while count.is_none_or(|count| told < count) {
        let (changes, next) = client.watch(after, Duration::from_secs(20))?;
        after = Some(next);
        for change in changes {
            told += 1;
            print(&format!("{change}\n"))?;
        }
    }
    Ok(())
}

fn run(arguments: &Arguments) -> Result<(), Failed> {
    if let Command::Completions { shell } = &arguments.command {
        let mut command = Arguments::command();
        let mut out = Vec::new();
        clap_complete::generate(*shell, &mut command, "sanddykectl", &mut out);
        return print(&String::from_utf8_lossy(&out));
    }
    let client = client(arguments)?;
    let answer = match &arguments.command {
        Command::Tenants(command) => tenants(&client, command)?,
        Command::Groups(command) => groups(&client, command)?,
        Command::Tokens(command) => tokens(&client, command)?,
        Command::Shares => client.get("/v1/shares")?,
        Command::Whoami => client.get("/v1/self")?,
        Command::Engines => client.get("/v1/engines")?,
        Command::Requests => client.get("/v1/requests")?,
        Command::Cancel { name } => client.call("DELETE", &format!("/v1/requests/{name}"), "", &[])?.body,
        Command::Audit { tenant, last } => {
            let filter = tenant.as_ref().map_or(String::new(), |name| format!("&tenant={name}"));
            let rows = client.audit(&filter).take(*last).collect::<Result<Vec<_>, _>>()?;
            json!({ "entries": rows })
        }
        Command::Watch { after, count } => return watch(&client, *after, *count),
        Command::Export => {
            let text = client.get("/v1/export")?;
            return print(text.as_str().unwrap_or_default());
        }
        Command::Import { file, prune, dry_run } => {
            let target = format!("/v1/import?prune={prune}&dry_run={dry_run}");
            client.call("POST", &target, &read(file)?, &[])?.body
        }
        Command::Backup => client.call("POST", "/v1/backups", "", &[])?.body,
        Command::Fleet(command) => {
            let answer = fleet(&client, command)?;
            if let (Fleet::Show, false) = (command, arguments.json) {
                return print(&fleet_text(&answer));
            }
            answer
        }
        Command::Completions { .. } => Value::Null,
    };
    match arguments.json {
        true => print(&format!("{answer:#}\n")),
        false => print(&table::show(&answer)),
    }
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    match run(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failed) => {
            eprintln!("sanddykectl: {failed}");
            ExitCode::from(failed.code())
        }
    }
}
