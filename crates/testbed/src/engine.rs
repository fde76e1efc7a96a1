//! An emulated engine that speaks the engine protocol. Its queries share its cores, and once its memory is short all of
//! them slow down, as on an engine that pages. A statement states its cost, such as `work=400 mem=64 threads=2`, for the
//! engine only: the program never reads it.

mod connection;

use connection::{Command, serve};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};

/// Time between two updates of the running queries.
const UPDATE_INTERVAL: Duration = Duration::from_millis(2);
/// Time between two progress messages of a running query.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(500);
/// Factor of the speed of all queries while memory is short.
const PAGING_SPEED: f64 = 0.25;
/// Maximum number of commands, and of messages to one connection, that are queued.
const MAX_QUEUED_MESSAGES: usize = 4096;
/// Minimum of the threads in the division of the cores, for an engine without queries.
const MIN_THREADS: f64 = 1e-9;

/// The resources of an engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Spec {
    /// Number of cores.
    pub cores: f64,
    /// Memory (MB).
    pub memory_mb: f64,
}

/// A running engine; it ends with the runtime.
#[derive(Debug)]
pub struct Engine {
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Completed work, as single-thread time (ms).
    pub done_ms: Arc<AtomicU64>,
    /// Number of requests that it has received.
    pub received: Arc<AtomicU64>,
    speed: watch::Sender<f64>,
}

impl Engine {
    /// Sets its speed relative to the initial one; at 0 it is suspended and reads nothing.
    pub fn set_speed(&self, speed: f64) {
        self.speed.send_replace(speed.max(0.0));
    }
}

/// Starts an engine on a free port of the loopback address.
///
/// # Errors
/// Fails where no socket can be bound.
pub async fn start(spec: Spec) -> std::io::Result<Engine> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let done_ms = Arc::new(AtomicU64::new(0));
    let received = Arc::new(AtomicU64::new(0));
    let speed = watch::Sender::new(1.0);
    let (sender, commands) = mpsc::channel(MAX_QUEUED_MESSAGES);
    let state = EngineState {
        spec,
        queries: HashMap::new(),
        last_update: Instant::now(),
        completed_work_ms: 0.0,
        done_ms: done_ms.clone(),
        received: received.clone(),
    };
    tokio::spawn(state.run(commands, speed.subscribe()));
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, sender.clone()));
        }
    });
    Ok(Engine { address, done_ms, received, speed })
}

/// A running query.
struct Query {
    /// The connection that gets its progress and result.
    messages: mpsc::Sender<String>,
    /// Work in all and work to do, as single-thread time (ms).
    work_ms: f64,
    left_ms: f64,
    threads: f64,
    memory_mb: f64,
    last_progress: Instant,
}

impl Query {
    fn new(statement: &str, messages: mpsc::Sender<String>) -> Query {
        let work_ms = cost(statement, "work").unwrap_or(10.0).max(0.1);
        Query {
            messages,
            work_ms,
            left_ms: work_ms,
            threads: cost(statement, "threads").unwrap_or(1.0).max(1.0),
            memory_mb: cost(statement, "mem").unwrap_or(0.0).max(0.0),
            last_progress: Instant::now(),
        }
    }

    /// Sends a message. One that finds the queue full is lost: its connection is not being read.
    fn send(&self, message: String) {
        let _ = self.messages.try_send(message);
    }
}

/// The number after `KEY=` in a statement.
fn cost(statement: &str, key: &str) -> Option<f64> {
    let number = statement.split_whitespace().find_map(|word| word.strip_prefix(key)?.strip_prefix('='));
    number.and_then(|number| number.parse().ok())
}

struct EngineState {
    spec: Spec,
    /// The running queries by id.
    queries: HashMap<String, Query>,
    last_update: Instant,
    completed_work_ms: f64,
    done_ms: Arc<AtomicU64>,
    received: Arc<AtomicU64>,
}

impl EngineState {
    async fn run(mut self, mut commands: mpsc::Receiver<Command>, speed: watch::Receiver<f64>) {
        let mut updates = tokio::time::interval(UPDATE_INTERVAL);
        loop {
            tokio::select! {
                command = commands.recv(), if *speed.borrow() > 0.0 => match command {
                    None => return,
                    Some(command) => self.handle(command),
                },
                _ = updates.tick() => self.update(*speed.borrow()),
            }
        }
    }

    fn handle(&mut self, command: Command) {
        match command {
            Command::Execute { id, statement, messages } => {
                self.received.fetch_add(1, Ordering::Relaxed);
                self.queries.insert(id, Query::new(&statement, messages));
            }
            Command::Cancel { id } => {
                self.queries.remove(&id);
            }
            Command::ReportLoad { tag, messages } => {
                let utilization = (self.threads() / self.spec.cores).min(1.0);
                let memory = self.memory_mb() / self.spec.memory_mb;
                let report = format!("{tag} alive l=util:{utilization:.3};queue:0;x0:{memory:.3};x1:0\r\n");
                // Lost where the connection is not being read.
                let _ = messages.try_send(report);
            }
        }
    }

    fn threads(&self) -> f64 {
        self.queries.values().map(|query| query.threads).sum()
    }

    fn memory_mb(&self) -> f64 {
        self.queries.values().map(|query| query.memory_mb).sum()
    }

    /// Advances all queries to the current time, at a speed relative to the initial one.
    fn update(&mut self, relative_speed: f64) {
        let now = Instant::now();
        let elapsed_ms = (now - self.last_update).as_secs_f64() * 1000.0;
        self.last_update = now;
        let paging = if self.memory_mb() > self.spec.memory_mb { PAGING_SPEED } else { 1.0 };
        let speed = (self.spec.cores / self.threads().max(MIN_THREADS)).min(1.0) * paging * relative_speed;
        let completed_work_ms = &mut self.completed_work_ms;
        self.queries.retain(|id, query| {
            query.left_ms -= elapsed_ms * query.threads * speed;
            if query.left_ms <= 0.0 {
                *completed_work_ms += query.work_ms;
                let Query { work_ms, memory_mb, .. } = &*query;
                query.send(format!("{id} 200 sheets=1,toil={work_ms:.1},room={memory_mb:.1} 3\r\nok\n\r\n"));
                return false;
            }
            if speed > 0.0 && now - query.last_progress >= PROGRESS_INTERVAL {
                query.last_progress = now;
                let fraction = 1.0 - query.left_ms / query.work_ms;
                query.send(format!("{id} status n=share,val={fraction:.3} 0\r\n\r\n"));
            }
            true
        });
        self.done_ms.store(self.completed_work_ms as u64, Ordering::Relaxed);
    }
}

#[cfg(test)]
mod tests;
