//! The program as a process, and calls of its administration API.

use crate::TestbedError;
use crate::experiment::{Class, Experiment};
use serde_json::{Value, json};
use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;
use tempfile::TempDir;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};

static STARTED: AtomicU8 = AtomicU8::new(0);
pub(crate) const TOKEN: &str = "the-rig-s-own-token-0001";
/// The program must be ready by then.
const READY_WITHIN: Duration = Duration::from_secs(10);
/// Descriptors that it may hold.
const SOCKETS: usize = 4096;

/// A running program; it ends with this.
#[derive(Debug)]
pub struct Program {
    child: Child,
    /// Where clients connect.
    pub http: SocketAddr,
    /// The second address.
    pub ops: SocketAddr,
    admin: SocketAddr,
    _folder: TempDir,
}

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
    /// Starts it on engines, with the experiment's tenants in a store of its own.
    pub async fn start(
        binary: &Path,
        experiment: &Experiment,
        engines: &[SocketAddr],
        names: SocketAddr,
    ) -> Result<Program, TestbedError> {
        let folder = tempfile::tempdir()?;
        let [a, b] = (std::process::id() as u16).to_le_bytes();
        // No two programs of this process, or of another, race for a port.
        let own = IpAddr::from([127, 77 + STARTED.fetch_add(1, Ordering::Relaxed) % 100, a, b]);
        let (http, admin) = (SocketAddr::new(own, 8080), SocketAddr::new(own, 8081));
        let ops = SocketAddr::new(own, 19000);
        std::fs::write(folder.path().join("token"), TOKEN)?;
        let endpoints = engines.iter().enumerate().map(|(number, address)| {
            json!({"name": format!("e{number}"), "address": address.to_string(), "zone": "a", "type": "std"})
        });
        let pool = json!({"snapshot": true, "endpoints": endpoints.collect::<Vec<_>>()});
        let config = json!({
            "name": "rig", "listen": http.to_string(), "ops": ops.to_string(), "seed": format!("{:x}", experiment.seed),
            "limits": {"sockets": SOCKETS}, "resolver": names.to_string(), "settings": settings(&experiment.classes, experiment.engines.cores, experiment.engines.memory_mb),
            "known": {"rev": 1, "notices": [{"rev": 1, "pool": pool}]},
            "admin": {"listen": admin.to_string(), "token_file": folder.path().join("token")},
            "store": {"path": folder.path().join("state.redb")},
        });
        let path = folder.path().join("config.json");
        std::fs::write(&path, config.to_string())?;
        let mut command = Command::new(binary);
        command.arg("--config").arg(&path).env("RUST_LOG", "warn").kill_on_drop(true);
        let child = command
            .spawn()
            .map_err(|error| TestbedError::Program(format!("{}: {error}", binary.display())))?;
        let mut program = Program { child, http, ops, admin, _folder: folder };
        let ready = tokio::time::timeout(READY_WITHIN, async {
            while TcpStream::connect(program.admin).await.is_err() {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        });
        if ready.await.is_err() || program.child.try_wait()?.is_some() {
            return Err(TestbedError::Program("it did not become ready".to_owned()));
        }
        program.import(experiment).await?;
        Ok(program)
    }

    /// Its process.
    pub fn id(&self) -> u32 {
        self.child.id().unwrap_or(0)
    }

    async fn import(&self, experiment: &Experiment) -> Result<(), TestbedError> {
        let mut text = "format = 1\n".to_owned();
        let groups: std::collections::BTreeSet<&String> =
            experiment.tenants.iter().filter_map(|row| row.group.as_ref()).collect();
        groups.iter().for_each(|group| text.push_str(&format!("[groups.{group}]\nweight = 1.0\n")));
        for (name, row) in experiment.named() {
            let group = row.group.as_ref().map_or(String::new(), |group| format!("group = \"{group}\"\n"));
            text.push_str(&format!("[tenants.{name}.spec]\nweight = {:?}\n{group}", row.weight));
        }
        self.call("POST", "/v1/import", &text).await.map(drop)
    }

    /// Calls the administration API.
    pub async fn call(&self, method: &str, target: &str, body: &str) -> Result<Value, TestbedError> {
        call(self.admin, method, target, body).await
    }
}

/// Calls an administration API.
pub(crate) async fn call(
    admin: SocketAddr,
    method: &str,
    target: &str,
    body: &str,
) -> Result<Value, TestbedError> {
    let mut stream = TcpStream::connect(admin).await?;
    let request = format!(
        "{method} {target} HTTP/1.1\r\nHost: rig\r\nConnection: close\r\nAuthorization: Bearer {TOKEN}\r\n\
         If-Match: *\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).await?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await?;
    let (head, body) = answer.split_once("\r\n\r\n").unwrap_or((&answer, ""));
    match head.get(9..10) {
        Some("2") => Ok(serde_json::from_str(body).unwrap_or(Value::Null)),
        _ => Err(TestbedError::step(format!("{method} {target}"), body.to_owned())),
    }
}
