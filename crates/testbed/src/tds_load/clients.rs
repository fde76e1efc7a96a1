//! Clients over HTTP for the measurements of TDS engines: each has one connection, and sends its next request after the
//! answer to the last one.

use hdrhistogram::Histogram;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Maximum latency that the histogram distinguishes, in microseconds, and its precision in digits.
const MAX_LATENCY_US: u64 = 60_000_000;
const HISTOGRAM_DIGITS: u8 = 3;
/// Maximum size of a response.
const MAX_RESPONSE_BYTES: usize = 16 * 1024;

/// What the clients have seen.
#[derive(Debug)]
pub(super) struct Observed {
    /// Latency of the requests that were served (us).
    pub(super) latency_us: Histogram<u64>,
    /// Number of requests with another answer, or none.
    pub(super) not_served: u64,
}

impl Observed {
    fn new() -> Option<Observed> {
        let latency_us = Histogram::new_with_max(MAX_LATENCY_US, HISTOGRAM_DIGITS).ok()?;
        Some(Observed { latency_us, not_served: 0 })
    }
}

/// The load that clients send.
#[derive(Debug, Clone, Copy)]
pub(super) struct Load {
    /// Number of clients.
    pub(super) clients: usize,
    /// How long they send requests.
    pub(super) duration: Duration,
    /// Time between the starts of two requests of one client, if it is longer than the first one takes.
    pub(super) interval: Duration,
}

/// Sends requests for the duration of the load. Returns `None` if a client's task has failed.
pub(super) async fn run(address: SocketAddr, load: Load) -> Option<Observed> {
    let next_id = Arc::new(AtomicU64::new(1));
    let end = Instant::now() + load.duration;
    let clients: Vec<_> =
        (0..load.clients).map(|_| tokio::spawn(run_client(address, load, end, next_id.clone()))).collect();
    let mut total = Observed::new()?;
    for client in clients {
        let observed = client.await.ok()??;
        // All histograms have the same range, so the addition can't fail.
        let _ = total.latency_us.add(&observed.latency_us);
        total.not_served += observed.not_served;
    }
    Some(total)
}

async fn run_client(
    address: SocketAddr,
    load: Load,
    end: Instant,
    next_id: Arc<AtomicU64>,
) -> Option<Observed> {
    let mut observed = Observed::new()?;
    let mut stream = None;
    while Instant::now() < end {
        let began = Instant::now();
        let id = next_id.fetch_add(1, Ordering::Relaxed);
        match send(address, &mut stream, id).await {
            Ok(true) => observed.latency_us.saturating_record(began.elapsed().as_micros() as u64),
            Ok(false) => observed.not_served += 1,
            Err(_) => {
                observed.not_served += 1;
                stream = None;
            }
        }
        // A sleep lasts a millisecond at least.
        if Instant::now() < began + load.interval {
            tokio::time::sleep_until(began + load.interval).await;
        }
    }
    Some(observed)
}

/// Sends a request on the client's connection, which is opened first if there is none. Returns whether it was served.
async fn send(address: SocketAddr, connection: &mut Option<TcpStream>, id: u64) -> std::io::Result<bool> {
    let stream = match connection {
        Some(stream) => stream,
        None => {
            let stream = TcpStream::connect(address).await?;
            stream.set_nodelay(true)?;
            connection.insert(stream)
        }
    };
    let body = "SELECT 1";
    let request = format!(
        "POST /do/lookup HTTP/1.1\r\nHost: testbed\r\nX-Txn: {id:016x}\r\nX-Ttl-Ms: 4000\r\nX-Merchant: acme\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).await?;
    let mut response = Vec::with_capacity(512);
    while !is_complete(&response) {
        if response.len() > MAX_RESPONSE_BYTES || stream.read_buf(&mut response).await? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
    }
    Ok(response.starts_with(b"HTTP/1.1 200"))
}

/// Whether the response has its whole body, by its `Content-Length`.
fn is_complete(response: &[u8]) -> bool {
    let text = String::from_utf8_lossy(response);
    let Some((head, body)) = text.split_once("\r\n\r\n") else { return false };
    let length = head.lines().find_map(|line| line.strip_prefix("Content-Length: "));
    length.and_then(|length| length.parse::<usize>().ok()).is_none_or(|length| body.len() >= length)
}
