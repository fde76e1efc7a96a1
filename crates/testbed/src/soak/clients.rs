//! Emulated clients. They wait, disconnect, resend a request, retry with the same idempotency key, or pipeline
//! requests. A client retries at the same manager, because the rules on repeats hold only there (see the oracle).

use super::SoakEnvironment;
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

/// Mean rate of requests to each manager.
const REQUESTS_PER_SECOND: u64 = 12;
/// Clients wait this long beyond the time limit that they sent, to see whether an answer arrives late.
const LATE_ANSWER_WAIT: Duration = Duration::from_millis(2000);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);
/// Share of the clients that disconnect before their answer.
const DISCONNECT_PERCENT: u64 = 14;
/// Share of the clients that send another request on the connection without waiting for the answer.
const PIPELINE_PERCENT: u64 = 6;
/// Share of the clients that retry after they disconnected or were not served.
const RETRY_PERCENT: u64 = 60;
/// Upper bound of the pause before a client retries.
const MAX_RETRY_PAUSE_MS: u64 = 250;
/// The shortest time limit of a client, in percent of its class's deadline.
const MIN_TTL_PERCENT: u64 = 60;

/// The number of the next call, over all clients.
static NEXT_CALL: AtomicU64 = AtomicU64::new(0);

/// One request of a client.
#[derive(Debug, Clone)]
struct Request {
    client_request_id: String,
    key: Option<String>,
    class: Class,
    ttl: Duration,
    work_ms: u64,
    manager: usize,
}

/// How a call ended for the client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallOutcome {
    Served,
    NotServed,
    Disconnected,
    NotSent,
}

/// Sends requests to random managers for `time`, then waits until every client has finished.
pub(super) async fn run(environment: Arc<SoakEnvironment>, seed: u64, time: Duration) {
    let end = Instant::now() + time;
    let mut rng = Rand64::new(u128::from(seed) << 16);
    let mut clients = JoinSet::new();
    let interval_us = 1_000_000 / (REQUESTS_PER_SECOND * environment.managers.len() as u64);
    while Instant::now() < end {
        let manager = rng.rand_range(0..environment.managers.len() as u64) as usize;
        if environment.managers[manager].is_open() {
            let request = sample_request(&environment, manager, &mut rng);
            let client_rng = Rand64::new(u128::from(rng.rand_u64()));
            clients.spawn(client(environment.clone(), request, client_rng));
        }
        while clients.try_join_next().is_some() {}
        tokio::time::sleep(Duration::from_micros(rng.rand_range(0..2 * interval_us))).await;
    }
    while clients.join_next().await.is_some() {}
}

fn sample_request(environment: &SoakEnvironment, manager: usize, rng: &mut Rand64) -> Request {
    let classes = &environment.scenario.classes;
    let class = classes[rng.rand_range(0..classes.len() as u64) as usize];
    let ttl_percent = rng.rand_range(MIN_TTL_PERCENT..101);
    let key = matches!(class.effect, Effect::Keyed { .. }).then(|| format!("{:032x}", rng.rand_u64()));
    Request {
        client_request_id: format!("{:016x}", rng.rand_u64()),
        key,
        class,
        ttl: Duration::from_millis(class.deadline_ms * ttl_percent / 100),
        work_ms: rng.rand_range(1..class.max_work_ms),
        manager,
    }
}

/// Runs a client with one request, which it may retry once. The retry has a new client request id if the first call
/// was not served or if the request has an idempotency key.
async fn client(environment: Arc<SoakEnvironment>, mut request: Request, mut rng: Rand64) {
    let disconnects = rng.rand_range(0..100) < DISCONNECT_PERCENT;
    let disconnect_after = disconnects.then(|| {
        let ttl_ms = u64::try_from(request.ttl.as_millis()).unwrap_or(u64::MAX);
        Duration::from_millis(rng.rand_range(0..ttl_ms))
    });
    let pipelines = rng.rand_range(0..100) < PIPELINE_PERCENT;
    let outcome = call(&environment, &request, disconnect_after, pipelines).await;
    let retries = rng.rand_range(0..100) < RETRY_PERCENT;
    if !retries || !matches!(outcome, CallOutcome::Disconnected | CallOutcome::NotServed) {
        return;
    }
    tokio::time::sleep(Duration::from_millis(rng.rand_range(0..MAX_RETRY_PAUSE_MS))).await;
    if outcome == CallOutcome::NotServed || request.key.is_some() {
        request.client_request_id = format!("{:016x}", rng.rand_u64());
    }
    if environment.managers[request.manager].is_open() {
        call(&environment, &request, None, false).await;
    }
}

/// Sends a request on a new connection, and waits for its answer or disconnects after `disconnect_after`.
async fn call(
    environment: &SoakEnvironment,
    request: &Request,
    disconnect_after: Option<Duration>,
    pipelines: bool,
) -> CallOutcome {
    let connecting = TcpStream::connect(environment.managers[request.manager].http);
    let Ok(Ok(mut stream)) = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await else {
        return CallOutcome::NotSent;
    };
    let mut bytes = request.bytes();
    if pipelines {
        bytes.push_str("GET /check HTTP/1.1\r\nHost: soak\r\n\r\n");
    }
    if stream.write_all(bytes.as_bytes()).await.is_err() {
        return CallOutcome::NotSent;
    }
    let call = NEXT_CALL.fetch_add(1, Ordering::Relaxed);
    environment.history.push(Event::RequestSent {
        call,
        name: request.client_request_id.clone(),
        key: request.key.clone(),
        effect: request.class.effect,
        ttl_ms: u64::try_from(request.ttl.as_millis()).unwrap_or(u64::MAX),
        manager: request.manager,
    });
    let wait = disconnect_after.unwrap_or(request.ttl + LATE_ANSWER_WAIT);
    match tokio::time::timeout(wait, read_result(&mut stream)).await {
        Ok(Some(Answer { status, text })) => {
            let is_own = status != 200 || text.contains(&request.client_request_id);
            environment.history.push(Event::Answered { call, status, is_own });
            if status == 200 { CallOutcome::Served } else { CallOutcome::NotServed }
        }
        Ok(None) => {
            environment.history.push(Event::Unanswered { call });
            CallOutcome::NotServed
        }
        Err(_) => {
            drop(stream);
            environment.history.push(Event::ClientLeft { call });
            CallOutcome::Disconnected
        }
    }
}

impl Request {
    fn bytes(&self) -> String {
        let Request { client_request_id, class, work_ms, .. } = self;
        let statement = format!("SELECT a FROM sales_17.orders /* work={work_ms} */");
        let key = self.key.as_ref().map(|key| format!("X-Txn-Key: {key}\r\n")).unwrap_or_default();
        format!(
            "POST /do/{} HTTP/1.1\r\nHost: soak\r\nX-Txn: {client_request_id}\r\nX-Ttl-Ms: {}\r\n{key}Content-Length: {}\r\n\r\n{statement}",
            class.name,
            self.ttl.as_millis(),
            statement.len(),
        )
    }
}

/// A completely received answer.
struct Answer {
    status: u16,
    text: String,
}

/// Reads an answer with all its pages. Returns `None` if the connection ends first or a response is malformed.
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
