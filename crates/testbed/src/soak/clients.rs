//! Clients: those that wait, leave, send the same request again, retry with the same key, or send much at once. A
//! client that comes again comes to the same manager.

use super::Site;
use super::history::{Effect, Event};
use super::scenario::Class;
use oorandom::Rand64;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Requests of each manager in a second.
const REQUESTS_PER_SECOND: u64 = 12;
/// Clients wait this much longer than they said, to see whether an answer comes late.
const EXTRA_WAIT: Duration = Duration::from_millis(2000);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);
/// In a hundred requests: clients that leave before their answer, and that send the next request at once.
const LEAVE_CHANCE: u64 = 14;
const PIPELINE_CHANCE: u64 = 6;
/// In a hundred: clients that come again, after they have left or were sent away.
const AGAIN_CHANCE: u64 = 60;
/// The longest pause before a client comes again (ms).
const MAX_AGAIN_PAUSE_MS: u64 = 250;
/// The shortest time that a client waits, as a fraction of its class's deadline in a hundred.
const MIN_TTL_PERCENT: u64 = 60;

static CALLS: AtomicU64 = AtomicU64::new(0);

/// One request, as its client means it.
#[derive(Debug, Clone)]
struct Request {
    name: String,
    key: Option<String>,
    class: Class,
    ttl: Duration,
    work_ms: u64,
    manager: usize,
}

/// What came of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Outcome {
    Served,
    NotServed,
    Left,
    NotSent,
}

/// Sends requests to all managers for some time, and waits for their ends.
pub(super) async fn run(site: Arc<Site>, seed: u64, time: Duration) {
    let end = Instant::now() + time;
    let mut rng = Rand64::new(u128::from(seed) << 16);
    let mut clients = JoinSet::new();
    let interval_us = 1_000_000 / (REQUESTS_PER_SECOND * site.managers.len() as u64);
    while Instant::now() < end {
        let manager = rng.rand_range(0..site.managers.len() as u64) as usize;
        if site.managers[manager].is_open() {
            let request = draw(&site, manager, &mut rng);
            let behaviour = Rand64::new(u128::from(rng.rand_u64()));
            clients.spawn(client(site.clone(), request, behaviour));
        }
        while clients.try_join_next().is_some() {}
        tokio::time::sleep(Duration::from_micros(rng.rand_range(0..2 * interval_us))).await;
    }
    while clients.join_next().await.is_some() {}
}

fn draw(site: &Site, manager: usize, rng: &mut Rand64) -> Request {
    let classes = &site.scenario.classes;
    let class = classes[rng.rand_range(0..classes.len() as u64) as usize];
    let ttl_percent = rng.rand_range(MIN_TTL_PERCENT..101);
    let key = matches!(class.effect, Effect::Keyed { .. }).then(|| format!("{:032x}", rng.rand_u64()));
    Request {
        name: format!("{:016x}", rng.rand_u64()),
        key,
        class,
        ttl: Duration::from_millis(class.deadline_ms * ttl_percent / 100),
        work_ms: rng.rand_range(1..class.max_work_ms),
        manager,
    }
}

/// A client with one request, which it may send again.
async fn client(site: Arc<Site>, mut request: Request, mut rng: Rand64) {
    let leaves = rng.rand_range(0..100) < LEAVE_CHANCE;
    let leave_after = leaves.then(|| {
        let ttl_ms = u64::try_from(request.ttl.as_millis()).unwrap_or(u64::MAX);
        Duration::from_millis(rng.rand_range(0..ttl_ms))
    });
    let pipelines = rng.rand_range(0..100) < PIPELINE_CHANCE;
    let outcome = call(&site, &request, leave_after, pipelines).await;
    let comes_again = rng.rand_range(0..100) < AGAIN_CHANCE;
    if !comes_again || !matches!(outcome, Outcome::Left | Outcome::NotServed) {
        return;
    }
    tokio::time::sleep(Duration::from_millis(rng.rand_range(0..MAX_AGAIN_PAUSE_MS))).await;
    if outcome == Outcome::NotServed || request.key.is_some() {
        request.name = format!("{:016x}", rng.rand_u64());
    }
    if site.managers[request.manager].is_open() {
        call(&site, &request, None, false).await;
    }
}

/// Sends a request on a new connection and waits for its answer, or leaves.
async fn call(site: &Site, request: &Request, leave_after: Option<Duration>, pipelines: bool) -> Outcome {
    let connecting = TcpStream::connect(site.managers[request.manager].http);
    let Ok(Ok(mut stream)) = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await else {
        return Outcome::NotSent;
    };
    let mut bytes = request.bytes();
    if pipelines {
        bytes.push_str("GET /check HTTP/1.1\r\nHost: soak\r\n\r\n");
    }
    if stream.write_all(bytes.as_bytes()).await.is_err() {
        return Outcome::NotSent;
    }
    let call = CALLS.fetch_add(1, Ordering::Relaxed);
    site.history.push(Event::RequestSent {
        call,
        name: request.name.clone(),
        key: request.key.clone(),
        effect: request.class.effect,
        ttl_ms: u64::try_from(request.ttl.as_millis()).unwrap_or(u64::MAX),
        manager: request.manager,
    });
    let wait = leave_after.unwrap_or(request.ttl + EXTRA_WAIT);
    match tokio::time::timeout(wait, read_result(&mut stream)).await {
        Ok(Some(Answer { status, text })) => {
            let is_own = status != 200 || text.contains(&request.name);
            site.history.push(Event::Answered { call, status, is_own });
            if status == 200 { Outcome::Served } else { Outcome::NotServed }
        }
        Ok(None) => {
            site.history.push(Event::Unanswered { call });
            Outcome::NotServed
        }
        Err(_) => {
            drop(stream);
            site.history.push(Event::ClientLeft { call });
            Outcome::Left
        }
    }
}

impl Request {
    fn bytes(&self) -> String {
        let Request { name, class, work_ms, .. } = self;
        let statement = format!("SELECT a FROM sales_17.orders /* work={work_ms} */");
        let key = self.key.as_ref().map(|key| format!("X-Txn-Key: {key}\r\n")).unwrap_or_default();
        format!(
            "POST /do/{} HTTP/1.1\r\nHost: soak\r\nX-Txn: {name}\r\nX-Ttl-Ms: {}\r\n{key}Content-Length: {}\r\n\r\n{statement}",
            class.name,
            self.ttl.as_millis(),
            statement.len(),
        )
    }
}

/// A whole answer.
struct Answer {
    status: u16,
    text: String,
}

/// Reads an answer with all its pages; `None` where the connection ends first.
async fn read_result(stream: &mut TcpStream) -> Option<Answer> {
    let mut answer = read_response(stream).await?;
    while answer.status == 200
        && let Some(path) = next_page(&answer.text)
    {
        let request = format!("GET {path} HTTP/1.1\r\nHost: soak\r\n\r\n");
        stream.write_all(request.as_bytes()).await.ok()?;
        answer = read_response(stream).await?;
    }
    Some(answer)
}

fn next_page(body: &str) -> Option<String> {
    let (_, after) = body.split_once("{\"more\":\"")?;
    after.split('"').next().map(str::to_owned)
}

async fn read_response(stream: &mut TcpStream) -> Option<Answer> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    let head = String::from_utf8(head).ok()?;
    let length = head.lines().find_map(|line| line.strip_prefix("Content-Length: "))?.parse().ok()?;
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await.ok()?;
    Some(Answer { status: head.get(9..12)?.parse().ok()?, text: String::from_utf8(body).ok()? })
}
