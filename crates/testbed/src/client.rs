//! Open-loop clients: requests are sent at their times, whether or not earlier ones have been answered.

use crate::experiment::{Class, Experiment, Tenant};
use oorandom::Rand64;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{Semaphore, mpsc};
use tokio::time::Instant;

/// Maximum number of requests in flight of one tenant. It bounds the sockets; requests past it are reported as unsent.
const MAX_IN_FLIGHT: usize = 250;
/// Wait before a retry where the response advises none.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Minimum work of a request (ms), and maximum as a multiple of its class's mean.
const MIN_WORK_MS: f64 = 0.5;
const MAX_WORK_FACTOR: f64 = 5.0;
/// Maximum length of a response that is read (bytes).
const MAX_RESPONSE_BYTES: u64 = 64 * 1024;

/// How a request ended for its client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// It was served.
    Served,
    /// Its last attempt was rejected.
    Rejected,
    /// It failed, or its response is malformed.
    Failed,
    /// It had no response within its deadline.
    TimedOut,
    /// It was not sent, because `MAX_IN_FLIGHT` others were in flight.
    Unsent,
}

/// The outcome of a request.
#[derive(Debug, Clone, Copy)]
pub struct Outcome {
    /// The tenant, by its position in [`Experiment::named`].
    pub tenant: usize,
    /// The class, by its position in [`Experiment::classes`].
    pub class: usize,
    /// Time of the first attempt (s since the start).
    pub sent_s: f64,
    /// Time of the end (s since the start).
    pub ended_s: f64,
    /// Work, as single-thread time (ms).
    pub work_ms: f64,
    /// Number of attempts.
    pub attempts: u32,
    /// How it ended.
    pub end: End,
}

/// Sends one tenant's requests until the experiment's time is up, and each outcome to `sender`.
pub async fn tenant(
    experiment: Arc<Experiment>,
    index: usize,
    address: SocketAddr,
    start: Instant,
    sender: mpsc::UnboundedSender<Outcome>,
) {
    let named = experiment.named();
    let name = named[index].0.clone();
    let tenant = named[index].1.clone();
    let rate = experiment.rate(&tenant);
    if rate <= 0.0 {
        return;
    }
    let mut rng = Rand64::new(u128::from(experiment.seed) << 32 | index as u128);
    let permits = Arc::new(Semaphore::new(MAX_IN_FLIGHT));
    let mut sent_s = 0.0;
    let mut number = 0u64;
    loop {
        // Thinning: arrivals are drawn at the maximum rate, and those beyond the current rate are skipped.
        let max_factor = tenant.bursts.iter().fold(1.0, |max: f64, burst| max.max(burst.factor));
        sent_s += -(1.0 - rng.rand_float()).ln() / (rate * max_factor);
        if sent_s >= experiment.seconds {
            return;
        }
        let burst = tenant.bursts.iter().find(|burst| (burst.from_s..burst.to_s).contains(&sent_s));
        if rng.rand_float() * max_factor > burst.map_or(1.0, |burst| burst.factor) {
            continue;
        }
        let class = draw_class(&experiment, &tenant, &mut rng);
        let mean_work_ms = experiment.classes[class].work_ms;
        let work_ms = -(1.0 - rng.rand_float()).ln() * mean_work_ms;
        let work_ms = work_ms.clamp(MIN_WORK_MS, MAX_WORK_FACTOR * mean_work_ms);
        number += 1;
        tokio::time::sleep_until(start + Duration::from_secs_f64(sent_s)).await;
        let unsent =
            Outcome { tenant: index, class, sent_s, ended_s: sent_s, work_ms, attempts: 0, end: End::Unsent };
        let Ok(permit) = permits.clone().try_acquire_owned() else {
            // The receiver ends with the experiment.
            let _ = sender.send(unsent);
            continue;
        };
        let request = Request {
            class: experiment.classes[class].clone(),
            tenant: tenant.clone(),
            tenant_name: name.clone(),
            id: (index as u64) << 40 | number << 4,
            work_ms,
            address,
        };
        let sender = sender.clone();
        tokio::spawn(async move {
            let (attempts, end) = request.run().await;
            let ended_s = start.elapsed().as_secs_f64();
            let _ = sender.send(Outcome { ended_s, attempts, end, ..unsent });
            drop(permit);
        });
    }
}

fn draw_class(experiment: &Experiment, tenant: &Tenant, rng: &mut Rand64) -> usize {
    let total: f64 = tenant.mix.values().sum();
    let mut draw = rng.rand_float() * total;
    let mut class = 0;
    for (name, fraction) in &tenant.mix {
        class = experiment.classes.iter().position(|class| class.name == *name).unwrap_or(0);
        if draw < *fraction {
            break;
        }
        draw -= fraction;
    }
    class
}

/// A request with its retries.
struct Request {
    class: Class,
    tenant: Tenant,
    tenant_name: String,
    /// Its number, whose lowest four bits are those of the attempt.
    id: u64,
    work_ms: f64,
    address: SocketAddr,
}

/// The response to one attempt.
struct AttemptResponse {
    end: End,
    /// Advised wait before a retry.
    retry_after: Option<Duration>,
}

impl Request {
    /// Sends attempts until one ends the request; gives their number and the end.
    async fn run(&self) -> (u32, End) {
        let deadline = Instant::now() + Duration::from_secs_f64(self.class.deadline_ms / 1000.0);
        let mut attempts = 0;
        loop {
            attempts += 1;
            let left = deadline.saturating_duration_since(Instant::now());
            let AttemptResponse { end, retry_after } =
                match tokio::time::timeout(left, self.attempt(attempts, left)).await {
                    Ok(Ok(response)) => response,
                    Ok(Err(_)) => AttemptResponse { end: End::Failed, retry_after: None },
                    Err(_) => AttemptResponse { end: End::TimedOut, retry_after: None },
                };
            let wait = match self.tenant.patient {
                true => retry_after.unwrap_or(DEFAULT_RETRY_AFTER),
                false => Duration::ZERO,
            };
            let may_retry = end == End::Rejected && attempts < self.tenant.max_attempts;
            if !may_retry || Instant::now() + wait >= deadline {
                return (attempts, end);
            }
            tokio::time::sleep(wait).await;
        }
    }

    /// Sends one attempt and reads its response.
    async fn attempt(&self, attempt: u32, left: Duration) -> std::io::Result<AttemptResponse> {
        let mut stream = TcpStream::connect(self.address).await?;
        stream.set_nodelay(true)?;
        stream.write_all(self.http_request(attempt, left).as_bytes()).await?;
        let mut response = Vec::new();
        stream.take(MAX_RESPONSE_BYTES).read_to_end(&mut response).await?;
        Ok(parse_response(&String::from_utf8_lossy(&response)))
    }

    fn http_request(&self, attempt: u32, left: Duration) -> String {
        let Class { name, threads, memory_mb, .. } = &self.class;
        let body = format!("SELECT 1 work={:.2} threads={threads} mem={memory_mb}", self.work_ms);
        let transaction = self.id | u64::from(attempt % 16);
        let idempotency_key = match self.class.idempotency.as_str() {
            "by_key" => format!("X-Txn-Key: k{:x}\r\n", self.id),
            _ => String::new(),
        };
        format!(
            "POST /do/{name} HTTP/1.1\r\nHost: rig\r\nConnection: close\r\nX-Txn: {transaction:016x}\r\nX-Ttl-Ms: {}\r\n\
             X-Merchant: {}\r\n{idempotency_key}Content-Length: {}\r\n\r\n{body}",
            left.as_millis().max(1),
            self.tenant_name,
            body.len()
        )
    }
}

fn parse_response(text: &str) -> AttemptResponse {
    let retry_after = text.lines().find_map(|line| line.strip_prefix("X-Throttle-Ms: "));
    let retry_after_ms = retry_after.and_then(|value| value.trim().parse::<u64>().ok());
    match text.get(9..12) {
        Some("200") => AttemptResponse { end: End::Served, retry_after: None },
        Some("503" | "429" | "403") => {
            AttemptResponse { end: End::Rejected, retry_after: retry_after_ms.map(Duration::from_millis) }
        }
        _ => AttemptResponse { end: End::Failed, retry_after: None },
    }
}
