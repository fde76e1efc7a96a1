//! Open-loop clients: each request is sent at its arrival time, whether or not earlier ones have been answered.

use crate::experiment::{Class, Experiment, Tenant};
use oorandom::Rand64;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{Semaphore, mpsc};
use tokio::time::Instant;

/// Maximum number of concurrent requests of one tenant, which bounds the sockets. Further requests count as unsent.
const MAX_IN_FLIGHT: usize = 250;
/// Wait before a retry if the response advises none.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Minimum work of a request (ms), and maximum work as a multiple of its class's mean.
const MIN_WORK_MS: f64 = 0.5;
const MAX_WORK_FACTOR: f64 = 5.0;
/// Maximum number of bytes that are read of a response.
const MAX_RESPONSE_BYTES: u64 = 64 * 1024;

/// How a request ended, as seen by its client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestStatus {
    /// The last attempt has a result.
    Served,
    /// The last attempt was rejected.
    Rejected,
    /// The connection failed, or the response is an error or malformed.
    Failed,
    /// There was no response within the deadline.
    TimedOut,
    /// The request was not sent, because `MAX_IN_FLIGHT` others of the tenant were open.
    Unsent,
}

/// The outcome of a request.
#[derive(Debug, Clone, Copy)]
pub struct Outcome {
    /// Index of the tenant in [`Experiment::named_tenants`].
    pub tenant: usize,
    /// Index of the class in [`Experiment::classes`].
    pub class: usize,
    /// Arrival time, at which the first attempt is sent (s since the start).
    pub sent_s: f64,
    /// Time of the response, error or timeout (s since the start).
    pub ended_s: f64,
    /// Work, as single-thread time (ms).
    pub work_ms: f64,
    /// Number of attempts; 0 if the request was not sent.
    pub attempts: u32,
    /// How the request ended.
    pub status: RequestStatus,
}

/// Sends the requests of the tenant with this index until the experiment ends, and each outcome to `sender`.
pub async fn run_tenant(
    experiment: Arc<Experiment>,
    index: usize,
    address: SocketAddr,
    start: Instant,
    sender: mpsc::UnboundedSender<Outcome>,
) {
    let named_tenants = experiment.named_tenants();
    let name = named_tenants[index].0.clone();
    let tenant = named_tenants[index].1.clone();
    let arrival_rate = experiment.arrival_rate(&tenant);
    if arrival_rate <= 0.0 {
        return;
    }
    let mut rng = Rand64::new(u128::from(experiment.seed) << 32 | index as u128);
    let permits = Arc::new(Semaphore::new(MAX_IN_FLIGHT));
    let mut sent_s = 0.0;
    let mut number = 0u64;
    loop {
        // Thinning: arrivals are sampled at the maximum rate, and those in excess of the current rate are skipped.
        let max_factor = tenant.bursts.iter().fold(1.0, |max: f64, burst| max.max(burst.factor));
        sent_s += -(1.0 - rng.rand_float()).ln() / (arrival_rate * max_factor);
        if sent_s >= experiment.seconds {
            return;
        }
        let burst = tenant.bursts.iter().find(|burst| (burst.from_s..burst.to_s).contains(&sent_s));
        if rng.rand_float() * max_factor > burst.map_or(1.0, |burst| burst.factor) {
            continue;
        }
        let class = sample_class(&experiment, &tenant, &mut rng);
        let mean_work_ms = experiment.classes[class].work_ms;
        let work_ms = -(1.0 - rng.rand_float()).ln() * mean_work_ms;
        let work_ms = work_ms.clamp(MIN_WORK_MS, MAX_WORK_FACTOR * mean_work_ms);
        number += 1;
        tokio::time::sleep_until(start + Duration::from_secs_f64(sent_s)).await;
        let unsent = Outcome {
            tenant: index,
            class,
            sent_s,
            ended_s: sent_s,
            work_ms,
            attempts: 0,
            status: RequestStatus::Unsent,
        };
        let Ok(permit) = permits.clone().try_acquire_owned() else {
            // The receiver is dropped when the experiment ends.
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
            let (attempts, status) = request.run().await;
            let ended_s = start.elapsed().as_secs_f64();
            let _ = sender.send(Outcome { ended_s, attempts, status, ..unsent });
            drop(permit);
        });
    }
}

fn sample_class(experiment: &Experiment, tenant: &Tenant, rng: &mut Rand64) -> usize {
    let total: f64 = tenant.mix.values().sum();
    let mut sample = rng.rand_float() * total;
    let mut class = 0;
    for (name, fraction) in &tenant.mix {
        class = experiment.classes.iter().position(|class| class.name == *name).unwrap_or(0);
        if sample < *fraction {
            break;
        }
        sample -= fraction;
    }
    class
}

/// A request, including its retries.
struct Request {
    class: Class,
    tenant: Tenant,
    tenant_name: String,
    /// Number of the request. The lowest four bits are 0 and hold the attempt's number in the transaction number.
    id: u64,
    work_ms: f64,
    address: SocketAddr,
}

/// The response to one attempt.
struct AttemptResponse {
    status: RequestStatus,
    /// Wait before a retry that the response advises, if any.
    retry_after: Option<Duration>,
}

impl Request {
    /// Sends attempts until one ends the request, and returns their number and the request's status.
    async fn run(&self) -> (u32, RequestStatus) {
        let deadline = Instant::now() + Duration::from_secs_f64(self.class.deadline_ms / 1000.0);
        let mut attempts = 0;
        loop {
            attempts += 1;
            let left = deadline.saturating_duration_since(Instant::now());
            let AttemptResponse { status, retry_after } =
                match tokio::time::timeout(left, self.attempt(attempts, left)).await {
                    Ok(Ok(response)) => response,
                    Ok(Err(_)) => AttemptResponse { status: RequestStatus::Failed, retry_after: None },
                    Err(_) => AttemptResponse { status: RequestStatus::TimedOut, retry_after: None },
                };
            let wait = match self.tenant.patient {
                true => retry_after.unwrap_or(DEFAULT_RETRY_AFTER),
                false => Duration::ZERO,
            };
            let may_retry = status == RequestStatus::Rejected && attempts < self.tenant.max_attempts;
            if !may_retry || Instant::now() + wait >= deadline {
                return (attempts, status);
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
        Some("200") => AttemptResponse { status: RequestStatus::Served, retry_after: None },
        Some("503" | "429" | "403") => AttemptResponse {
            status: RequestStatus::Rejected,
            retry_after: retry_after_ms.map(Duration::from_millis),
        },
        _ => AttemptResponse { status: RequestStatus::Failed, retry_after: None },
    }
}
