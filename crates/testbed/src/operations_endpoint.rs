//! Measures the response time of the operations endpoint: idle, under load, with silent connections, and with a
//! fraction of a core.

use crate::experiment::Experiment;
use crate::report::{BarGroup, bars};
use crate::{Testbed, TestbedError, client};
use hdrhistogram::Histogram;
use std::collections::VecDeque;
use std::fmt::Write as _;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use tokio::sync::mpsc;

/// Response time above which a call counts as late.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Socket timeout of a call. It exceeds [`CALL_TIMEOUT`] so that the times of late calls are measured, too.
const MAX_CALL_TIME: Duration = Duration::from_secs(5);
/// Time from the start of one call to the start of the next.
const CALL_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which a silent connection is closed and replaced.
const SILENT_CONNECTION_LIFETIME: Duration = Duration::from_secs(4);
/// Time before the measurement under conditions without silent connections.
const SETTLE_TIME: Duration = Duration::from_secs(1);
/// Index of the core that the program and its competing processes share.
const CORE: &str = "0";

/// Unit, range and precision (decimal digits) of the histogram of response times: from 10 us to an hour.
const TICK_US: u128 = 10;
const TICKS_PER_MS: f64 = 100.0;
const MAX_TICKS: u64 = 360_000_000;
const HISTOGRAM_DIGITS: u8 = 3;

/// A condition under which the response times are measured.
#[derive(Debug, Clone, Copy)]
struct Condition {
    name: &'static str,
    /// Whether clients send 110 requests a second.
    has_load: bool,
    /// Number of connections to the operations endpoint that never send a complete request.
    silent_connections: usize,
    /// Number of busy processes that share the program's core.
    competing_processes: usize,
}

const CONDITIONS: [Condition; 4] = [
    Condition { name: "idle", has_load: false, silent_connections: 0, competing_processes: 0 },
    Condition {
        name: "110 requests a second",
        has_load: true,
        silent_connections: 0,
        competing_processes: 0,
    },
    Condition {
        name: "and 400 silent callers",
        has_load: true,
        silent_connections: 400,
        competing_processes: 0,
    },
    Condition {
        name: "and a fifth of a core",
        has_load: true,
        silent_connections: 400,
        competing_processes: 4,
    },
];

/// The load: 55 % of the capacity of 12 cores, which is 110 requests per second of 60 ms each.
const TRAFFIC: &str = r#"
title = "The second address"
seed = 20
seconds = 600
[engines]
count = 3
cores = 4
memory_mb = 4096
[[classes]]
name = "report"
target_ms = 1000
deadline_ms = 6000
work_ms = 60
[[tenants]]
name = "dyffryn"
weight = 1
load = 0.55
mix = { report = 1 }
"#;

/// The response times under one condition.
#[derive(Debug, Clone)]
pub struct ResponseTimes {
    /// Name of the condition.
    pub condition: &'static str,
    /// Number of calls.
    pub calls: u64,
    /// Number of calls that failed or were not answered within [`CALL_TIMEOUT`].
    pub late: u64,
    /// Median response time (ms).
    pub p50_ms: f64,
    /// 99th percentile of the response time (ms).
    pub p99_ms: f64,
    /// Maximum response time (ms).
    pub max_ms: f64,
}

/// A child process that is killed when it is dropped.
struct KillOnDrop(Child);

impl Drop for KillOnDrop {
    fn drop(&mut self) {
        // Fails if the process has exited by itself.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn taskset(arguments: &[&str]) -> Result<Child, TestbedError> {
    let mut command = Command::new("taskset");
    let child = command.args(arguments).stdout(Stdio::null()).stderr(Stdio::null()).spawn();
    child.map_err(|error| TestbedError::Program(format!("taskset: {error}")))
}

/// Measures the response times under each condition for `seconds`, with a new program process for each condition.
///
/// # Errors
/// Fails if a process cannot be started. Failed calls are counted in [`ResponseTimes::late`].
pub async fn run(binary: &Path, seconds: u64) -> Result<Vec<ResponseTimes>, TestbedError> {
    let invalid = |error: toml::de::Error| TestbedError::Experiment {
        path: "the traffic".into(),
        reason: error.to_string(),
    };
    let experiment: Arc<Experiment> = Arc::new(toml::from_str(TRAFFIC).map_err(invalid)?);
    let mut rows = Vec::new();
    for condition in CONDITIONS {
        rows.push(run_condition(condition, &experiment, binary, seconds).await?);
    }
    Ok(rows)
}

async fn run_condition(
    condition: Condition,
    experiment: &Arc<Experiment>,
    binary: &Path,
    seconds: u64,
) -> Result<ResponseTimes, TestbedError> {
    let testbed = Testbed::start(experiment, binary).await?;
    let program = &testbed.program;
    let _competitors = start_competitors(condition, program.id())?;
    let (sender, mut outcomes) = mpsc::unbounded_channel();
    let load = condition.has_load.then(|| {
        let start = tokio::time::Instant::now();
        tokio::spawn(client::run_tenant(experiment.clone(), 0, program.client_address, start, sender))
    });
    let discard = tokio::spawn(async move { while outcomes.recv().await.is_some() {} });
    let address = program.operations_address;
    let measured = tokio::task::spawn_blocking(move || measure(condition, address, seconds)).await;
    let row = measured.map_err(|error| TestbedError::Program(error.to_string()))?;
    if let Some(load) = load {
        load.abort();
    }
    discard.abort();
    Ok(row)
}

/// Pins the program to a core and starts the processes that compete for it. Does nothing if the condition has none.
fn start_competitors(condition: Condition, program: u32) -> Result<Vec<KillOnDrop>, TestbedError> {
    let mut competitors = Vec::new();
    if condition.competing_processes > 0 {
        taskset(&["-a", "-c", "-p", CORE, &program.to_string()])?.wait()?;
        for _ in 0..condition.competing_processes {
            competitors.push(KillOnDrop(taskset(&["-c", CORE, "sh", "-c", "while :; do :; done"])?));
        }
    }
    Ok(competitors)
}

fn measure(condition: Condition, address: SocketAddr, seconds: u64) -> ResponseTimes {
    let is_finished = Arc::new(AtomicBool::new(false));
    let has_silent_connections = condition.silent_connections > 0;
    let silent_connections = has_silent_connections.then(|| {
        let is_finished = is_finished.clone();
        std::thread::spawn(move || {
            hold_silent_connections(address, condition.silent_connections, &is_finished)
        })
    });
    std::thread::sleep(if has_silent_connections { SILENT_CONNECTION_LIFETIME } else { SETTLE_TIME });
    let mut times =
        Histogram::<u64>::new_with_bounds(1, MAX_TICKS, HISTOGRAM_DIGITS).expect("constant bounds are valid");
    let mut calls = 0;
    let mut late = 0;
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(seconds) {
        let call_start = Instant::now();
        let is_healthy = call(address).unwrap_or(false);
        let time = call_start.elapsed();
        calls += 1;
        late += u64::from(!is_healthy || time > CALL_TIMEOUT);
        times.saturating_record((time.as_micros() / TICK_US) as u64);
        std::thread::sleep(CALL_INTERVAL.saturating_sub(time));
    }
    is_finished.store(true, Ordering::Relaxed);
    if let Some(thread) = silent_connections {
        // A panic of the thread has already been printed and does not affect the measured calls.
        let _ = thread.join();
    }
    let quantile_ms = |quantile: f64| times.value_at_quantile(quantile) as f64 / TICKS_PER_MS;
    ResponseTimes {
        condition: condition.name,
        calls,
        late,
        p50_ms: quantile_ms(0.5),
        p99_ms: quantile_ms(0.99),
        max_ms: quantile_ms(1.0),
    }
}

/// Calls the health check and returns whether its status is 200.
fn call(address: SocketAddr) -> std::io::Result<bool> {
    let mut stream = TcpStream::connect_timeout(&address, MAX_CALL_TIME)?;
    stream.set_read_timeout(Some(MAX_CALL_TIME))?;
    stream.write_all(b"GET /admin/health HTTP/1.1\r\nHost: rig\r\n\r\n")?;
    let mut status_line = [0; 12];
    stream.read_exact(&mut status_line)?;
    Ok(&status_line[9..] == b"200")
}

/// A connection without a complete request.
struct SilentConnection {
    opened: Instant,
    _stream: TcpStream,
}

/// Holds up to `max` silent connections open until `is_finished`, and replaces each at the end of its lifetime.
fn hold_silent_connections(address: SocketAddr, max: usize, is_finished: &AtomicBool) {
    let mut open: VecDeque<SilentConnection> = VecDeque::new();
    let is_expired = |connection: &SilentConnection| connection.opened.elapsed() > SILENT_CONNECTION_LIFETIME;
    while !is_finished.load(Ordering::Relaxed) {
        while open.front().is_some_and(is_expired) {
            open.pop_front();
        }
        if open.len() < max
            && let Ok(mut stream) = TcpStream::connect_timeout(&address, CALL_TIMEOUT)
        {
            if open.len().is_multiple_of(3) {
                // Some connections send an incomplete request. If the peer has closed one, it is replaced at the end
                // of its lifetime.
                let _ = stream.write(b"GET /adm");
            }
            open.push_back(SilentConnection { opened: Instant::now(), _stream: stream });
        }
        std::thread::sleep(SILENT_CONNECTION_LIFETIME / max.max(1) as u32);
    }
}

/// Formats the measurement as CSV.
pub fn csv(rows: &[ResponseTimes]) -> String {
    let mut text = "condition,calls,late,p50_ms,p99_ms,longest_ms\n".to_owned();
    for row in rows {
        let ResponseTimes { condition, calls, late, p50_ms, p99_ms, max_ms } = row;
        // Writing to a string cannot fail.
        let _ = writeln!(text, "{condition},{calls},{late},{p50_ms:.2},{p99_ms:.2},{max_ms:.2}");
    }
    text
}

/// Draws the measurement as an SVG chart.
pub fn chart(rows: &[ResponseTimes], path: &Path) -> Result<(), TestbedError> {
    let group = |row: &ResponseTimes| BarGroup {
        name: row.condition.to_owned(),
        values: [row.p50_ms, row.p99_ms, row.max_ms],
    };
    let groups: Vec<BarGroup> = rows.iter().map(group).collect();
    bars("Answers of the second address (ms)", ["half", "99 in 100", "longest"], &groups, path)
}
