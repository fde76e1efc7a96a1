//! An emulated engine that implements the engine protocol. Queries share its cores. When they need more than its
//! memory, all of them slow down, as on an engine that pages. The statement of a query contains its cost, such as
//! `work=400 mem=64 threads=2`, which only the emulated engine reads and the program ignores.

mod connection;

use connection::{Command, serve};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};

/// Time between two updates of the running queries' progress.
const UPDATE_INTERVAL: Duration = Duration::from_millis(2);
/// Time between two progress notes of a running query.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(500);
/// Factor of the speed of all queries while they need more than the engine's memory.
const PAGING_SPEED_FACTOR: f64 = 0.25;
/// Capacity of the command queue, and of each connection's queue of outgoing messages.
const MAX_QUEUED_MESSAGES: usize = 4096;
/// Minimum of the divisor in cores per thread, which avoids a division by zero on an engine without queries.
const MIN_THREADS: f64 = 1e-9;

/// The resources of an emulated engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Spec {
    /// Number of cores.
    pub cores: f64,
    /// Memory (MB).
    pub memory_mb: f64,
}

/// A running emulated engine, which stops with the runtime.
#[derive(Debug)]
pub struct Engine {
    /// Listen address.
    pub address: SocketAddr,
    /// Work of all completed queries, as single-thread time (ms).
    pub completed_ms: Arc<AtomicU64>,
    /// Number of requests received.
    pub requests_received: Arc<AtomicU64>,
    speed: watch::Sender<f64>,
}

impl Engine {
    /// Sets the speed relative to the initial one. At 0 the engine is suspended and reads no commands.
    pub fn set_speed(&self, speed: f64) {
        self.speed.send_replace(speed.max(0.0));
    }
}

/// Starts an engine on a free loopback port.
///
/// # Errors
/// Fails if no socket can be bound.
pub async fn start(spec: Spec) -> std::io::Result<Engine> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let completed_ms = Arc::new(AtomicU64::new(0));
    let requests_received = Arc::new(AtomicU64::new(0));
    let speed = watch::Sender::new(1.0);
    let (sender, commands) = mpsc::channel(MAX_QUEUED_MESSAGES);
    let state = EngineState {
        spec,
        queries: HashMap::new(),
        last_update: Instant::now(),
        completed_work_ms: 0.0,
        completed_ms: completed_ms.clone(),
        requests_received: requests_received.clone(),
    };
    tokio::spawn(state.run(commands, speed.subscribe()));
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, sender.clone()));
        }
    });
    Ok(Engine { address, completed_ms, requests_received, speed })
}

/// A running query.
struct Query {
    /// Queue of the connection that receives the progress notes and the result.
    messages: mpsc::Sender<String>,
    /// Total and remaining work, as single-thread time (ms).
    work_ms: f64,
    remaining_ms: f64,
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
            remaining_ms: work_ms,
            threads: cost(statement, "threads").unwrap_or(1.0).max(1.0),
            memory_mb: cost(statement, "mem").unwrap_or(0.0).max(0.0),
            last_progress: Instant::now(),
        }
    }

    /// Queues a message. It is dropped if the queue is full because the peer does not read from the connection.
    fn send(&self, message: String) {
        let _ = self.messages.try_send(message);
    }
}

/// The number after `KEY=` in a statement; `None` if it is absent or malformed.
fn cost(statement: &str, key: &str) -> Option<f64> {
    let number = statement.split_whitespace().find_map(|word| word.strip_prefix(key)?.strip_prefix('='));
    number.and_then(|number| number.parse().ok())
}

struct EngineState {
    spec: Spec,
    /// Running queries by wire id.
    queries: HashMap<String, Query>,
    last_update: Instant,
    completed_work_ms: f64,
    completed_ms: Arc<AtomicU64>,
    requests_received: Arc<AtomicU64>,
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
                self.requests_received.fetch_add(1, Ordering::Relaxed);
                self.queries.insert(id, Query::new(&statement, messages));
            }
            Command::Cancel { id } => {
                self.queries.remove(&id);
            }
            Command::ReportLoad { tag, messages } => {
                let utilization = (self.threads() / self.spec.cores).min(1.0);
                let memory = self.memory_mb() / self.spec.memory_mb;
                let report = format!("{tag} alive l=util:{utilization:.3};queue:0;x0:{memory:.3};x1:0\r\n");
                // Dropped if the queue is full because the peer does not read from the connection.
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

    /// Advances all queries to the current time, completes those without remaining work, and sends due progress notes.
    fn update(&mut self, relative_speed: f64) {
        let now = Instant::now();
        let elapsed_ms = (now - self.last_update).as_secs_f64() * 1000.0;
        self.last_update = now;
        let paging = if self.memory_mb() > self.spec.memory_mb { PAGING_SPEED_FACTOR } else { 1.0 };
        let speed = (self.spec.cores / self.threads().max(MIN_THREADS)).min(1.0) * paging * relative_speed;
        let completed_work_ms = &mut self.completed_work_ms;
        self.queries.retain(|id, query| {
            query.remaining_ms -= elapsed_ms * query.threads * speed;
            if query.remaining_ms <= 0.0 {
                *completed_work_ms += query.work_ms;
                let Query { work_ms, memory_mb, .. } = &*query;
                query.send(format!("{id} 200 sheets=1,toil={work_ms:.1},room={memory_mb:.1} 3\r\nok\n\r\n"));
                return false;
            }
            if speed > 0.0 && now - query.last_progress >= PROGRESS_INTERVAL {
                query.last_progress = now;
                let fraction = 1.0 - query.remaining_ms / query.work_ms;
                query.send(format!("{id} status n=share,val={fraction:.3} 0\r\n\r\n"));
            }
            true
        });
        self.completed_ms.store(self.completed_work_ms as u64, Ordering::Relaxed);
    }
}

#[cfg(test)]
mod tests;
