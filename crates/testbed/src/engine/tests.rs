//! Tests of the emulated engine over the engine protocol.

use super::*;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;

/// Two concurrent queries of 100 ms each on one core take at least 190 ms; without sharing they would take 100 ms.
#[tokio::test(flavor = "current_thread")]
async fn concurrent_queries_share_the_cores() {
    let engine = start(Spec { cores: 1.0, memory_mb: 100.0 }).await.unwrap();
    let mut stream = TcpStream::connect(engine.address).await.unwrap();
    let request = |id: &str| format!("REQ {id} sort=a,patience=9s,urgency=1 8\r\nwork=100\r\n");
    let began = Instant::now();
    stream.write_all(format!("{}{}", request("a"), request("b")).as_bytes()).await.unwrap();
    let mut lines = BufReader::new(stream);
    let mut line = String::new();
    lines.read_line(&mut line).await.unwrap();
    assert!(line.contains(" 200 sheets=1,toil=100.0"), "{line}");
    assert!(began.elapsed() >= Duration::from_millis(190), "{:?}", began.elapsed());
    assert_eq!(engine.requests_received.load(Ordering::Relaxed), 2);
}
