//! Open-loop clients: requests come when they come, whether or not others have been answered.

use crate::experiment::{Class, Experiment, Tenant};
use oorandom::Rand64;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{Semaphore, mpsc};
use tokio::time::Instant;

/// Requests that one tenant's clients have open at most: a bound on sockets, reported where it binds.
const MOST_OPEN: usize = 250;
/// A client that is not told when to come back waits this long.
const PAUSE: Duration = Duration::from_millis(100);

/// How a request ended for its client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// Served.
    Served,
    /// Refused, also at its last try.
    Refused,
    /// Failed, or an answer that makes no sense.
    Failed,
    /// No answer in its time.
    Unanswered,
    /// Not sent: too many were open.
    Unsent,
}

/// What became of a request.
#[derive(Debug, Clone, Copy)]
pub struct Outcome {
    /// Its tenant, by its place in [`Experiment::named`].
    pub tenant: usize,
    /// Its class.
    pub class: usize,
    /// When it was first sent (s since the start).
    pub sent_s: f64,
    /// When it ended.
    pub ended_s: f64,
    /// Its work (ms of one thread).
    pub work_ms: f64,
    /// Tries.
    pub tries: u32,
    /// How it ended.
    pub end: End,
}

/// One tenant's traffic, until the experiment's time is up.
pub async fn tenant(
    experiment: Arc<Experiment>,
    index: usize,
    to: SocketAddr,
    start: Instant,
    sink: mpsc::UnboundedSender<Outcome>,
) {
    let named = experiment.named();
    let (name, row) = (named[index].0.clone(), named[index].1.clone());
    let mut rng = Rand64::new(u128::from(experiment.seed) << 32 | index as u128);
    let rate = experiment.rate(&row);
    let open = Arc::new(Semaphore::new(MOST_OPEN));
    let (mut at, mut number) = (0.0, 0u64);
    if rate <= 0.0 {
        return;
    }
    loop {
        // Thinning: arrivals at the greatest rate, of which those of a quiet time are passed over.
        let most = row.bursts.iter().fold(1.0, |most: f64, burst| most.max(burst.factor));
        at += -(1.0 - rng.rand_float()).ln() / (rate * most);
        if at >= experiment.seconds {
            return;
        }
        let burst = row.bursts.iter().find(|burst| (burst.from_s..burst.to_s).contains(&at));
        if rng.rand_float() * most > burst.map_or(1.0, |burst| burst.factor) {
            continue;
        }
        let class = draw_class(&experiment, &row, &mut rng);
        let of = &experiment.classes[class];
        let work_ms = (-(1.0 - rng.rand_float()).ln() * of.work_ms).clamp(0.5, 5.0 * of.work_ms);
        number += 1;
        tokio::time::sleep_until(start + Duration::from_secs_f64(at)).await;
        let outcome =
            Outcome { tenant: index, class, sent_s: at, ended_s: at, work_ms, tries: 0, end: End::Unsent };
        let Ok(place) = open.clone().try_acquire_owned() else {
            let _over = sink.send(outcome);
            continue;
        };
        let (experiment, name, sink, row) = (experiment.clone(), name.clone(), sink.clone(), row.clone());
        let id = (index as u64) << 40 | number << 4;
        tokio::spawn(async move {
            let (tries, end) = request(&experiment.classes[class], &row, &name, id, work_ms, to).await;
            let ended_s = start.elapsed().as_secs_f64();
            let _over = sink.send(Outcome { ended_s, tries, end, ..outcome });
            drop(place);
        });
    }
}

fn draw_class(experiment: &Experiment, row: &Tenant, rng: &mut Rand64) -> usize {
    let whole: f64 = row.mix.values().sum();
    let mut drawn = rng.rand_float() * whole;
    let mut last = 0;
    for (name, part) in &row.mix {
        last = experiment.classes.iter().position(|class| class.name == *name).unwrap_or(0);
        if drawn < *part {
            break;
        }
        drawn -= part;
    }
    last
}

/// One request with its further tries.
async fn request(
    class: &Class,
    row: &Tenant,
    tenant: &str,
    id: u64,
    work_ms: f64,
    to: SocketAddr,
) -> (u32, End) {
    let until = Instant::now() + Duration::from_secs_f64(class.deadline_ms / 1000.0);
    let mut tries = 0;
    loop {
        tries += 1;
        let left = until.saturating_duration_since(Instant::now());
        let name = id | u64::from(tries % 16);
        let one = once(class, tenant, name, id, work_ms, to, left);
        let (end, wait) = tokio::time::timeout(left, one)
            .await
            .unwrap_or(Ok((End::Unanswered, None)))
            .unwrap_or((End::Failed, None));
        let wait = if row.patient { wait.unwrap_or(PAUSE) } else { Duration::ZERO };
        let more = end == End::Refused && tries < row.tries && Instant::now() + wait < until;
        if !more {
            return (tries, end);
        }
        tokio::time::sleep(wait).await;
    }
}

async fn once(
    class: &Class,
    tenant: &str,
    name: u64,
    key: u64,
    work_ms: f64,
    to: SocketAddr,
    left: Duration,
) -> std::io::Result<(End, Option<Duration>)> {
    let mut stream = TcpStream::connect(to).await?;
    stream.set_nodelay(true)?;
    let (threads, memory) = (class.threads, class.memory_mb);
    let body = format!("SELECT 1 work={work_ms:.2} threads={threads} mem={memory}");
    let key = if class.idempotency == "by_key" { format!("X-Txn-Key: k{key:x}\r\n") } else { String::new() };
    let head = format!(
        "POST /do/{} HTTP/1.1\r\nHost: rig\r\nConnection: close\r\nX-Txn: {name:016x}\r\nX-Ttl-Ms: {}\r\n\
         X-Merchant: {tenant}\r\n{key}Content-Length: {}\r\n\r\n{body}",
        class.name,
        left.as_millis().max(1),
        body.len()
    );
    stream.write_all(head.as_bytes()).await?;
    let mut answer = Vec::new();
    stream.take(64 * 1024).read_to_end(&mut answer).await?;
    let text = String::from_utf8_lossy(&answer);
    let field = |name: &str| {
        let line = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(": "));
        line.and_then(|value| value.trim().parse::<u64>().ok())
    };
    let wait = field("X-Throttle-Ms").map(Duration::from_millis);
    Ok(match text.get(9..12) {
        Some("200") => (End::Served, None),
        Some("503" | "429" | "403") => (End::Refused, wait),
        _ => (End::Failed, None),
    })
}
