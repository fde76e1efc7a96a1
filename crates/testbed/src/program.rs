//! Runs the program as a single process and calls its administration API.

use crate::TestbedError;
use crate::experiment::{Class, Experiment};
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;
use tempfile::TempDir;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};

/// Bearer token of the administration API in every process that the testbed starts.
pub(crate) const TOKEN: &str = "the-rig-s-own-token-0001";
/// Maximum time until the program is ready, and time between two checks.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
const READY_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Value of the program's setting `limits.sockets`.
const MAX_SOCKETS: usize = 4096;
const CLIENT_PORT: u16 = 8080;
const ADMIN_PORT: u16 = 8081;
const OPERATIONS_PORT: u16 = 19000;
/// Second byte of the first program's loopback address, and the number of programs after which the addresses repeat.
const FIRST_ADDRESS_BLOCK: u8 = 77;
const ADDRESS_BLOCKS: u8 = 100;

/// Number of program processes that this process has started.
static PROGRAMS_STARTED: AtomicU8 = AtomicU8::new(0);

/// A running program process, which is killed on drop.
#[derive(Debug)]
pub struct Program {
    child: Child,
    /// Listen address for clients.
    pub client_address: SocketAddr,
    /// Listen address of the operations endpoint.
    pub operations_address: SocketAddr,
    admin_address: SocketAddr,
    /// Folder of the configuration, the token and the store, which is removed on drop.
    _folder: TempDir,
}

/// The program's `settings` for these classes and for engines with these resources.
pub(crate) fn settings(classes: &[Class], cores: f64, memory_mb: f64) -> Value {
    let threads: Vec<f64> = classes.iter().map(|class| class.threads).collect();
    let classes = classes.iter().map(|class| {
        json!({
            "name": class.name, "targetMs": class.target_ms, "deadlineMs": class.deadline_ms,
            "idempotency": class.idempotency, "dedupScope": "all", "windowMs": 15000, "worth": class.worth,
        })
    });
    json!({
        "allowed": {"attemptsCap": 3, "cancel": true, "probes": true, "maxRetryAfterMs": 2000},
        "classes": classes.collect::<Vec<_>>(),
        "discovery": "pushed", "models": ["std"], "replicasOfMe": 1, "stepMs": 5, "zone": "a", "zones": ["a"],
        "familyInfo": {
            "dop": threads, "kindCores": [cores], "memoryByKindMb": [memory_mb],
            "outOfMemory": "swap", "saysCost": true, "tellsEveryMs": 500,
        },
        "report": {"columns": ["util", "queue", "x0", "x1"]},
        "safety": {"coldFrom": 0.3, "overloadFactor": 2, "tipAfterMs": 1500, "warmUpMs": 1000},
    })
}

impl Program {
    /// Starts the program with these engines, a new store, and the experiment's tenants imported into it.
    ///
    /// # Errors
    /// Fails if the process cannot be started, is not ready within 10 s, or rejects the tenants.
    pub async fn start(
        binary: &Path,
        experiment: &Experiment,
        engines: &[SocketAddr],
        name_server: SocketAddr,
    ) -> Result<Program, TestbedError> {
        let folder = tempfile::tempdir()?;
        let address = unused_address();
        let client_address = SocketAddr::new(address, CLIENT_PORT);
        let admin_address = SocketAddr::new(address, ADMIN_PORT);
        let operations_address = SocketAddr::new(address, OPERATIONS_PORT);
        std::fs::write(folder.path().join("token"), TOKEN)?;
        let endpoint = |(number, address): (usize, &SocketAddr)| json!({"name": format!("e{number}"), "address": address.to_string(), "zone": "a", "type": "std"});
        let endpoints: Vec<Value> = engines.iter().enumerate().map(endpoint).collect();
        let pool = json!({"snapshot": true, "endpoints": endpoints});
        let resources = &experiment.engines;
        let config = json!({
            "name": "rig",
            "listen": client_address.to_string(),
            "ops": operations_address.to_string(),
            "seed": format!("{:x}", experiment.seed),
            "limits": {"sockets": MAX_SOCKETS},
            "resolver": name_server.to_string(),
            "settings": settings(&experiment.classes, resources.cores, resources.memory_mb),
            "known": {"rev": 1, "notices": [{"rev": 1, "pool": pool}]},
            "admin": {"listen": admin_address.to_string(), "token_file": folder.path().join("token")},
            "store": {"path": folder.path().join("state.redb")},
        });
        let path = folder.path().join("config.json");
        std::fs::write(&path, config.to_string())?;
        let mut command = Command::new(binary);
        command.arg("--config").arg(&path).env("RUST_LOG", "warn").kill_on_drop(true);
        let child = command
            .spawn()
            .map_err(|error| TestbedError::Program(format!("{}: {error}", binary.display())))?;
        let mut program =
            Program { child, client_address, operations_address, admin_address, _folder: folder };
        program.wait_until_ready().await?;
        program.import_tenants(experiment).await?;
        Ok(program)
    }

    async fn wait_until_ready(&mut self) -> Result<(), TestbedError> {
        let admin_address = self.admin_address;
        let ready = async {
            while TcpStream::connect(admin_address).await.is_err() {
                tokio::time::sleep(READY_POLL_INTERVAL).await;
            }
        };
        let in_time = tokio::time::timeout(READY_TIMEOUT, ready).await.is_ok();
        if !in_time || self.child.try_wait()?.is_some() {
            return Err(TestbedError::Program(format!(
                "exited, or accepted no connection at {admin_address} within {READY_TIMEOUT:?}"
            )));
        }
        Ok(())
    }

    /// Process id; 0 if the process is known to have exited.
    pub fn id(&self) -> u32 {
        self.child.id().unwrap_or(0)
    }

    /// Imports the experiment's tenants and their groups over the administration API.
    async fn import_tenants(&self, experiment: &Experiment) -> Result<(), TestbedError> {
        let mut document = "format = 1\n".to_owned();
        let groups: BTreeSet<&String> =
            experiment.tenants.iter().filter_map(|tenant| tenant.group.as_ref()).collect();
        for group in groups {
            document.push_str(&format!("[groups.{group}]\nweight = 1.0\n"));
        }
        for (name, tenant) in experiment.named_tenants() {
            let group = tenant.group.as_ref().map_or(String::new(), |group| format!("group = \"{group}\"\n"));
            document.push_str(&format!("[tenants.{name}.spec]\nweight = {:?}\n{group}", tenant.weight));
        }
        self.call("POST", "/v1/import", &document).await?;
        Ok(())
    }

    /// Calls the administration API and returns the response body, or `Null` if it is not JSON.
    ///
    /// # Errors
    /// Fails if the API cannot be reached or the status is not 2xx.
    pub async fn call(&self, method: &str, target: &str, body: &str) -> Result<Value, TestbedError> {
        call(self.admin_address, method, target, body).await
    }
}

/// A listen address for clients that no other process of the testbed uses.
pub(crate) fn unused_client_address() -> SocketAddr {
    SocketAddr::new(unused_address(), CLIENT_PORT)
}

/// A loopback address derived from the process id and the program's number, so that concurrent programs do not collide.
fn unused_address() -> IpAddr {
    let [process_low, process_high] = (std::process::id() as u16).to_le_bytes();
    let block = FIRST_ADDRESS_BLOCK + PROGRAMS_STARTED.fetch_add(1, Ordering::Relaxed) % ADDRESS_BLOCKS;
    IpAddr::from([127, block, process_low, process_high])
}

/// Calls the administration API at an address and returns the response body, or `Null` if it is not JSON.
pub(crate) async fn call(
    admin_address: SocketAddr,
    method: &str,
    target: &str,
    body: &str,
) -> Result<Value, TestbedError> {
    let mut stream = TcpStream::connect(admin_address).await?;
    let request = format!(
        "{method} {target} HTTP/1.1\r\nHost: rig\r\nConnection: close\r\nAuthorization: Bearer {TOKEN}\r\n\
         If-Match: *\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).await?;
    let mut response = String::new();
    stream.read_to_string(&mut response).await?;
    let (head, body) = response.split_once("\r\n\r\n").unwrap_or((&response, ""));
    match head.get(9..10) {
        Some("2") => Ok(serde_json::from_str(body).unwrap_or(Value::Null)),
        _ => Err(TestbedError::step(format!("{method} {target}"), body.to_owned())),
    }
}
