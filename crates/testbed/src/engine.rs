//! An emulated engine on the lines wire: cores that its queries share, and memory past which all of them slow
//! down, as an engine's that pages. A statement tells what it takes, as `work=400 mem=64 threads=2`, to the
//! engine only: the program never reads that.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};

/// Time between two looks at what has been done.
const STEP: Duration = Duration::from_millis(2);
/// Time between two words on a query that runs.
const TELL_EVERY: Duration = Duration::from_millis(500);
/// Part of their speed that queries keep once memory is short.
const PAGING_SPEED: f64 = 0.25;
/// Words that may wait for one connection.
const MOST_WORDS: usize = 4096;

/// What an engine has.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Spec {
    /// Cores.
    pub cores: f64,
    /// Memory in MB.
    pub memory_mb: f64,
}

/// A running engine.
#[derive(Debug)]
pub struct Engine {
    /// Where it listens.
    pub address: SocketAddr,
    /// Work that it has finished, in whole ms of one thread.
    pub done_ms: Arc<AtomicU64>,
    /// Number of requests that it has received.
    pub received: Arc<AtomicU64>,
    speed: watch::Sender<f64>,
}

impl Engine {
    /// Changes its speed, 1 as it began; at 0 it stands still and reads nothing.
    pub fn set_speed(&self, speed: f64) {
        self.speed.send_replace(speed.max(0.0));
    }
}

enum Order {
    Request { id: String, statement: String, words: mpsc::Sender<String> },
    Stop(String),
    Say { tag: String, words: mpsc::Sender<String> },
}

struct Query {
    words: mpsc::Sender<String>,
    work: f64,
    left: f64,
    threads: f64,
    memory: f64,
    told: Instant,
}

/// The number behind a key in a statement.
fn told(statement: &str, key: &str) -> Option<f64> {
    let word = statement.split_whitespace().find_map(|word| word.strip_prefix(key)?.strip_prefix('='));
    word.and_then(|number| number.parse().ok())
}

/// Starts an engine on a free port of the loopback address.
pub async fn start(spec: Spec) -> std::io::Result<Engine> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let done_ms = Arc::new(AtomicU64::new(0));
    let received = Arc::new(AtomicU64::new(0));
    let (orders, inbox) = mpsc::channel(MOST_WORDS);
    let speed = watch::Sender::new(1.0);
    tokio::spawn(run(spec, inbox, done_ms.clone(), received.clone(), speed.subscribe()));
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(connection(stream, orders.clone()));
        }
    });
    Ok(Engine { address, done_ms, received, speed })
}

async fn connection(stream: TcpStream, orders: mpsc::Sender<Order>) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let (input, mut output) = stream.into_split();
    let (words, mut said) = mpsc::channel::<String>(MOST_WORDS);
    tokio::spawn(async move {
        while let Some(word) = said.recv().await {
            if output.write_all(word.as_bytes()).await.is_err() {
                return;
            }
        }
    });
    let (mut input, mut line) = (BufReader::new(input), String::new());
    let mut running = Vec::new();
    loop {
        line.clear();
        if input.read_line(&mut line).await? == 0 {
            break;
        }
        let parts: Vec<&str> = line.trim_end().split(' ').collect();
        let order = match parts[..] {
            ["REQ", id, _, length] => {
                let mut body = vec![0; length.parse::<usize>().unwrap_or(0) + 2];
                input.read_exact(&mut body).await?;
                running.push(id.to_owned());
                let statement = String::from_utf8_lossy(&body).into_owned();
                Order::Request { id: id.to_owned(), statement, words: words.clone() }
            }
            ["STOP", id] => Order::Stop(id.to_owned()),
            ["STAT" | "HELO", tag] => Order::Say { tag: tag.to_owned(), words: words.clone() },
            _ => continue,
        };
        if orders.send(order).await.is_err() {
            break;
        }
    }
    for id in running {
        let _ended = orders.send(Order::Stop(id)).await;
    }
    Ok(())
}

async fn run(
    spec: Spec,
    mut inbox: mpsc::Receiver<Order>,
    done: Arc<AtomicU64>,
    received: Arc<AtomicU64>,
    speeds: watch::Receiver<f64>,
) {
    let mut queries: HashMap<String, Query> = HashMap::new();
    let mut ticks = tokio::time::interval(STEP);
    let (mut last, mut finished) = (Instant::now(), 0.0);
    loop {
        tokio::select! {
            order = inbox.recv(), if *speeds.borrow() > 0.0 => match order {
                None => return,
                Some(Order::Request { id, statement, words }) => {
                    received.fetch_add(1, Ordering::Relaxed);
                    let work = told(&statement, "work").unwrap_or(10.0).max(0.1);
                    let threads = told(&statement, "threads").unwrap_or(1.0).max(1.0);
                    let memory = told(&statement, "mem").unwrap_or(0.0).max(0.0);
                    queries.insert(id, Query { words, work, left: work, threads, memory, told: Instant::now() });
                }
                Some(Order::Stop(id)) => drop(queries.remove(&id)),
                Some(Order::Say { tag, words }) => {
                    let threads: f64 = queries.values().map(|query| query.threads).sum();
                    let memory: f64 = queries.values().map(|query| query.memory).sum();
                    let (busy, full) = ((threads / spec.cores).min(1.0), memory / spec.memory_mb);
                    // One that reads no words is one whose connection ends.
                    let _full = words.try_send(format!("{tag} alive l=util:{busy:.3};queue:0;x0:{full:.3};x1:0\r\n"));
                }
            },
            _ = ticks.tick() => {
                let now = Instant::now();
                let passed = (now - last).as_secs_f64() * 1000.0;
                last = now;
                let threads: f64 = queries.values().map(|query| query.threads).sum();
                let memory: f64 = queries.values().map(|query| query.memory).sum();
                let paging = if memory > spec.memory_mb { PAGING_SPEED } else { 1.0 };
                let speed = (spec.cores / threads.max(1e-9)).min(1.0) * paging * *speeds.borrow();
                queries.retain(|id, query| {
                    query.left -= passed * query.threads * speed;
                    if query.left <= 0.0 {
                        finished += query.work;
                        let (toil, room) = (query.work, query.memory);
                        let _full = query.words.try_send(format!("{id} 200 sheets=1,toil={toil:.1},room={room:.1} 3\r\nok\n\r\n"));
                        return false;
                    }
                    if speed > 0.0 && now - query.told >= TELL_EVERY {
                        query.told = now;
                        let share = 1.0 - query.left / query.work;
                        let _full = query.words.try_send(format!("{id} status n=share,val={share:.3} 0\r\n\r\n"));
                    }
                    true
                });
                done.store(finished as u64, Ordering::Relaxed);
            }
        }
    }
}

#[cfg(test)]
mod tests;
