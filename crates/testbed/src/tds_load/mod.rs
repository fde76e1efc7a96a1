//! Compares versions of the program with an engine over TDS in one run: throughput, latency, sockets and memory.
//!
//! The versions are measured in turn, round after round, so that a change of the machine's speed affects all of them.

mod clients;
mod engine;

use crate::TestbedError;
use crate::experiment::Class;
use crate::program::{TOKEN, settings};
use clients::{Load, Observed};
use engine::TdsEngine;
use serde_json::json;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::Ordering;
use std::time::Duration;
use tempfile::TempDir;
use tokio::net::TcpStream;

/// Maximum time until the program is ready, and time between two checks.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
const READY_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Time between two looks at the sockets and the memory of the program.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(500);
/// Limits of the program: descriptors, and memory in MB.
const MAX_DESCRIPTORS: u64 = 1024;
const MEMORY_MB: u64 = 64;
/// Resources of the engine: cores, and memory in MB.
const ENGINE_CORES: f64 = 64.0;
const ENGINE_MEMORY_MB: f64 = 16384.0;

// States of a TCP socket in /proc/net/tcp.
const ESTABLISHED: &str = "01";
const TIME_WAIT: &str = "06";

/// What is measured.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The versions of the program.
    pub programs: Vec<PathBuf>,
    /// How often each version is measured.
    pub rounds: usize,
    /// Number of clients.
    pub clients: usize,
    /// Length of one measurement.
    pub duration: Duration,
    /// Requests a second of all clients together; 0 for as many as are answered.
    pub rate: f64,
    /// Time after which the engine answers a request.
    pub work: Duration,
}

/// The result of one measurement.
#[derive(Debug, Clone)]
pub struct Row {
    /// The version of the program.
    pub program: PathBuf,
    /// Number of requests served a second.
    pub served_per_second: f64,
    /// Number of requests that were not served.
    pub not_served: u64,
    /// Median latency (ms).
    pub p50_ms: f64,
    /// 99th percentile of the latency (ms).
    pub p99_ms: f64,
    /// Number of connections that the engine accepted.
    pub connections: u64,
    /// The largest number of open connections to the engine.
    pub max_established: usize,
    /// The largest number of ports to the engine in TIME_WAIT.
    pub max_time_wait: usize,
    /// The largest resident memory (MB).
    pub max_memory_mb: f64,
}

/// Measures each version of the program in each round, with a new process and a new engine each time.
///
/// # Errors
/// Fails if an engine or a process cannot be started.
pub async fn run(plan: &Plan) -> Result<Vec<Row>, TestbedError> {
    let mut rows = Vec::new();
    for _ in 0..plan.rounds {
        for program in &plan.programs {
            rows.push(measure(plan, program).await?);
        }
    }
    Ok(rows)
}

async fn measure(plan: &Plan, program: &Path) -> Result<Row, TestbedError> {
    let engine = TdsEngine::start(plan.work)?;
    let process = Process::start(program, engine.address).await?;
    let interval = match plan.rate > 0.0 {
        true => Duration::from_secs_f64(plan.clients as f64 / plan.rate),
        false => Duration::ZERO,
    };
    let load = Load { clients: plan.clients, duration: plan.duration, interval };
    let sending = clients::run(process.address, load);
    tokio::pin!(sending);
    let (mut max_established, mut max_time_wait) = (0, 0);
    let observed = loop {
        match tokio::time::timeout(SAMPLE_INTERVAL, &mut sending).await {
            Ok(observed) => break observed,
            Err(_) => {
                max_established = max_established.max(sockets_to(engine.address, ESTABLISHED)?);
                max_time_wait = max_time_wait.max(sockets_to(engine.address, TIME_WAIT)?);
            }
        }
    };
    let Some(Observed { latency_us, not_served }) = observed else {
        return Err(TestbedError::Program("a client's task has failed".to_owned()));
    };
    let quantile_ms = |quantile: f64| latency_us.value_at_quantile(quantile) as f64 / 1000.0;
    Ok(Row {
        program: program.to_owned(),
        served_per_second: latency_us.len() as f64 / plan.duration.as_secs_f64(),
        not_served,
        p50_ms: quantile_ms(0.5),
        p99_ms: quantile_ms(0.99),
        connections: engine.connections.load(Ordering::Relaxed),
        max_established,
        max_time_wait,
        max_memory_mb: process.max_memory_mb()?,
    })
}

/// Renders the results as CSV.
pub fn csv(rows: &[Row]) -> String {
    let mut out = "program,served_per_second,not_served,p50_ms,p99_ms,connections,max_established,max_time_wait,max_memory_mb\n"
        .to_owned();
    for row in rows {
        // Writing to a string can't fail.
        let _ = writeln!(
            out,
            "{},{:.0},{},{:.3},{:.3},{},{},{},{:.1}",
            row.program.display(),
            row.served_per_second,
            row.not_served,
            row.p50_ms,
            row.p99_ms,
            row.connections,
            row.max_established,
            row.max_time_wait,
            row.max_memory_mb
        );
    }
    out
}

/// Returns the number of sockets to this address that are in a state of /proc/net/tcp.
fn sockets_to(remote: SocketAddr, state: &str) -> std::io::Result<usize> {
    let SocketAddr::V4(remote) = remote else { return Ok(0) };
    let remote = format!("{:08X}:{:04X}", u32::from_ne_bytes(remote.ip().octets()), remote.port());
    let table = std::fs::read_to_string("/proc/net/tcp")?;
    let is_counted = |line: &&str| {
        let mut fields = line.split_whitespace().skip(2);
        (fields.next(), fields.next()) == (Some(remote.as_str()), Some(state))
    };
    Ok(table.lines().filter(is_counted).count())
}

/// A process of the program, which is killed on drop.
struct Process {
    child: Child,
    address: SocketAddr,
    _folder: TempDir,
}

impl Process {
    async fn start(program: &Path, engine: SocketAddr) -> Result<Process, TestbedError> {
        let folder = tempfile::tempdir()?;
        let address = crate::program::unused_client_address();
        std::fs::write(folder.path().join("token"), TOKEN)?;
        let endpoint = json!({"name": "e0", "address": engine.to_string(), "zone": "a", "type": "std"});
        let mut settings = settings(&[lookup()], ENGINE_CORES, ENGINE_MEMORY_MB);
        settings["customers"] = json!([{"name": "acme", "portion": 1.0, "quotaRps": 1e6}]);
        settings["familyInfo"]["tellsEveryMs"] = json!(0);
        let config = json!({
            "name": "measured",
            "listen": address.to_string(),
            "limits": {"sockets": MAX_DESCRIPTORS, "memory_mb": MEMORY_MB},
            "settings": settings,
            "engines": {"wire": "tds", "user": "u"},
            "known": {"rev": 1, "notices": [{"rev": 1, "pool": {"snapshot": true, "endpoints": [endpoint]}}]},
        });
        let path = folder.path().join("config.json");
        std::fs::write(&path, config.to_string())?;
        let child = Command::new(program)
            .arg("--config")
            .arg(&path)
            .env("RUST_LOG", "error")
            .stdout(Stdio::null())
            .spawn()
            .map_err(|error| TestbedError::Program(format!("{}: {error}", program.display())))?;
        let process = Process { child, address, _folder: folder };
        let ready = async {
            while TcpStream::connect(address).await.is_err() {
                tokio::time::sleep(READY_POLL_INTERVAL).await;
            }
        };
        match tokio::time::timeout(READY_TIMEOUT, ready).await {
            Ok(()) => Ok(process),
            Err(_) => Err(TestbedError::Program(format!("not ready within {READY_TIMEOUT:?}"))),
        }
    }

    /// The largest resident memory since the start of the process.
    fn max_memory_mb(&self) -> Result<f64, TestbedError> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))?;
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kilobytes = peak.and_then(|text| text.trim().strip_suffix(" kB")?.trim().parse::<f64>().ok());
        let kilobytes = kilobytes.ok_or_else(|| TestbedError::Program("the process has ended".to_owned()))?;
        Ok(kilobytes / 1024.0)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Fails if the process has exited by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn lookup() -> Class {
    Class {
        name: "lookup".to_owned(),
        target_ms: 1000.0,
        deadline_ms: 4000.0,
        idempotency: "repeatable".to_owned(),
        worth: 1.0,
        work_ms: 1.0,
        threads: 1.0,
        memory_mb: 1.0,
    }
}
