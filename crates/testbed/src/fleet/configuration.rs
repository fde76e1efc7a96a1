//! Generates the configuration files of a fleet's managers.

use super::manager::Manager;
use super::plan::Plan;
use crate::experiment::Class;
use crate::program::settings;
use serde_json::{Value, json};
use std::path::Path;

/// Number of zones over which the managers are spread.
const ZONES: usize = 3;
/// Resources of each engine in the settings.
const ENGINE_CORES: f64 = 4.0;
const ENGINE_MEMORY_MB: f64 = 4096.0;

/// Contents of one manager's configuration file. Its store, vote, token and backup paths are in `folder`.
pub(super) fn configuration(plan: &Plan, managers: &[Manager], number: usize, folder: &Path) -> Value {
    let manager = &managers[number];
    let voters = &managers[..plan.voters];
    let seeds: Vec<String> = voters.iter().map(|voter| voter.relay_address().to_string()).collect();
    let voter_names: Vec<String> = (0..plan.voters).map(manager_name).collect();
    let file = |name: String| folder.join(name);
    json!({
        "name": manager_name(number),
        "listen": manager.client_address().to_string(),
        "ops": manager.operations_address().to_string(),
        "limits": {"sockets": 256},
        "settings": settings(&classes(plan), ENGINE_CORES, ENGINE_MEMORY_MB),
        "known": {"rev": 1, "notices": [{"rev": 1, "pool": {"snapshot": true, "endpoints": endpoints(plan)}}]},
        "admin": {"listen": manager.admin_address().to_string(), "token_file": file("token".to_owned())},
        "store": {"path": file(format!("m{number}.redb")), "backups": file("backups".to_owned())},
        "cluster": {
            "name": "rig",
            "listen": manager.peer_address().to_string(),
            "advertise": manager.relay_address().to_string(),
            "seeds": seeds,
            "voters": voter_names,
            "path": file(format!("m{number}.votes")),
            "zone": format!("z{}", number % ZONES),
            "lease_ms": plan.lease_ms,
            "backup_every_ms": plan.backup_every_ms,
        },
    })
}

fn manager_name(number: usize) -> String {
    format!("m{number}")
}

fn endpoints(plan: &Plan) -> Vec<Value> {
    let endpoint = |(number, address): (usize, &std::net::SocketAddr)| json!({"name": format!("e{number}"), "address": address.to_string(), "zone": "a", "type": "std"});
    plan.engines.iter().enumerate().map(endpoint).collect()
}

fn classes(plan: &Plan) -> Vec<Class> {
    if plan.engines.is_empty() {
        return Vec::new();
    }
    vec![Class {
        name: "lookup".to_owned(),
        target_ms: 500.0,
        deadline_ms: 5000.0,
        idempotency: "repeatable".to_owned(),
        work_ms: 5.0,
        threads: 1.0,
        memory_mb: 0.0,
        worth: 1.0,
    }]
}
