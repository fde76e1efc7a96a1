//! How long the second address takes to answer: idle, under load, beside callers who say nothing, and with the
//! program's part of a core used up by others.

use crate::client;
use crate::experiment::Experiment;
use crate::{Testbed, TestbedError, report};
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

/// An answer is owed within this.
pub const OWED: Duration = Duration::from_secs(1);
/// Calls a second, as a front makes them.
const CALLS: Duration = Duration::from_millis(100);
/// A caller holds its connection for so long and says nothing whole.
const HOLD: Duration = Duration::from_secs(4);
/// The core on which the program and its rivals run.
const CORE: &str = "0";

/// What a row is measured under.
#[derive(Debug, Clone, Copy)]
struct Condition {
    name: &'static str,
    /// Requests come, 110 a second.
    load: bool,
    /// Callers of the second address who hold on.
    silent: usize,
    /// Programs that use all of the core that they can get, on the core of the program.
    rivals: usize,
}

const CONDITIONS: [Condition; 4] = [
    Condition { name: "idle", load: false, silent: 0, rivals: 0 },
    Condition { name: "110 requests a second", load: true, silent: 0, rivals: 0 },
    Condition { name: "and 400 silent callers", load: true, silent: 400, rivals: 0 },
    Condition { name: "and a fifth of a core", load: true, silent: 400, rivals: 4 },
];

/// The traffic: 12 cores, of which it asks 55 in 100.
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

/// One condition's answers.
#[derive(Debug, Clone)]
pub struct Row {
    /// The condition.
    pub name: &'static str,
    /// Calls made.
    pub calls: u64,
    /// Of those, how many were not answered within [`OWED`].
    pub late: u64,
    /// Times of answers (ms): half of them, 99 in 100, and the longest.
    pub ms: [f64; 3],
}

/// Ends with its process.
struct Rival(Child);

impl Drop for Rival {
    fn drop(&mut self) {
        let _gone = self.0.kill();
        let _reaped = self.0.wait();
    }
}

fn taskset(arguments: &[&str]) -> Result<Child, TestbedError> {
    let mut command = Command::new("taskset");
    let child = command.args(arguments).stdout(Stdio::null()).stderr(Stdio::null()).spawn();
    child.map_err(|error| TestbedError::Program(format!("taskset: {error}")))
}

fn call(to: SocketAddr) -> std::io::Result<bool> {
    let mut stream = TcpStream::connect_timeout(&to, 5 * OWED)?;
    stream.set_read_timeout(Some(5 * OWED))?;
    stream.write_all(b"GET /admin/health HTTP/1.1\r\nHost: rig\r\n\r\n")?;
    let mut answer = [0; 12];
    stream.read_exact(&mut answer)?;
    Ok(&answer[9..] == b"200")
}

/// Callers who hold on, until told that it is over.
fn hold_on(to: SocketAddr, most: usize, over: &AtomicBool) {
    let mut held = VecDeque::new();
    while !over.load(Ordering::Relaxed) {
        while held.front().is_some_and(|(since, _): &(Instant, TcpStream)| since.elapsed() > HOLD) {
            held.pop_front();
        }
        if held.len() < most
            && let Ok(mut stream) = TcpStream::connect_timeout(&to, OWED)
        {
            // Some begin a call and never end it.
            let _sent = if held.len() % 3 == 0 { stream.write(b"GET /adm") } else { Ok(0) };
            held.push_back((Instant::now(), stream));
        }
        std::thread::sleep(HOLD / most.max(1) as u32);
    }
}

fn measure(condition: Condition, to: SocketAddr, seconds: u64) -> Row {
    let over = Arc::new(AtomicBool::new(false));
    let holders = (condition.silent > 0).then(|| {
        let over = over.clone();
        std::thread::spawn(move || hold_on(to, condition.silent, &over))
    });
    std::thread::sleep(if condition.silent > 0 { HOLD } else { Duration::from_secs(1) });
    // Three digits from 10 us to an hour: such bounds are always taken.
    let mut times = Histogram::<u64>::new_with_bounds(1, 360_000_000, 3).expect("good bounds");
    let (mut calls, mut late) = (0, 0);
    let began = Instant::now();
    while began.elapsed() < Duration::from_secs(seconds) {
        let asked = Instant::now();
        let yes = call(to).unwrap_or(false);
        let took = asked.elapsed();
        calls += 1;
        late += u64::from(!yes || took > OWED);
        times.saturating_record((took.as_micros() / 10) as u64);
        std::thread::sleep(CALLS.saturating_sub(took));
    }
    over.store(true, Ordering::Relaxed);
    holders.map(std::thread::JoinHandle::join);
    let at = |part: f64| times.value_at_quantile(part) as f64 / 100.0;
    Row { name: condition.name, calls, late, ms: [at(0.5), at(0.99), at(1.0)] }
}

/// Measures each condition for so many seconds, on a program that is started for it.
pub async fn run(binary: &Path, seconds: u64) -> Result<Vec<Row>, TestbedError> {
    let wrong = |error: toml::de::Error| TestbedError::Experiment {
        path: "the traffic".into(),
        reason: error.to_string(),
    };
    let experiment: Arc<Experiment> = Arc::new(toml::from_str(TRAFFIC).map_err(wrong)?);
    let mut rows = Vec::new();
    for condition in CONDITIONS {
        let testbed = Testbed::start(&experiment, binary).await?;
        let program = &testbed.program;
        let mut rivals = Vec::new();
        if condition.rivals > 0 {
            taskset(&["-a", "-c", "-p", CORE, &program.id().to_string()])?.wait()?;
            for _ in 0..condition.rivals {
                rivals.push(Rival(taskset(&["-c", CORE, "sh", "-c", "while :; do :; done"])?));
            }
        }
        let (sink, mut outcomes) = mpsc::unbounded_channel();
        let traffic = condition.load.then(|| {
            tokio::spawn(client::tenant(
                experiment.clone(),
                0,
                program.http,
                tokio::time::Instant::now(),
                sink,
            ))
        });
        let drained = tokio::spawn(async move { while outcomes.recv().await.is_some() {} });
        let to = program.ops;
        let measured = tokio::task::spawn_blocking(move || measure(condition, to, seconds)).await;
        rows.push(measured.map_err(|error| TestbedError::Program(error.to_string()))?);
        traffic.inspect(tokio::task::JoinHandle::abort);
        drained.abort();
    }
    Ok(rows)
}

/// The rows as CSV.
pub fn csv(rows: &[Row]) -> String {
    let mut text = "condition,calls,late,p50_ms,p99_ms,longest_ms\n".to_owned();
    for row in rows {
        let [half, most, longest] = row.ms;
        // Writing to a string cannot fail.
        let _ = writeln!(text, "{},{},{},{half:.2},{most:.2},{longest:.2}", row.name, row.calls, row.late);
    }
    text
}

/// The rows as a chart.
pub fn chart(rows: &[Row], path: &Path) -> Result<(), TestbedError> {
    let bars = rows.iter().map(|row| (row.name.to_owned(), row.ms)).collect::<Vec<_>>();
    report::bars("Answers of the second address (ms)", &["half", "99 in 100", "longest"], &bars, path)
}
