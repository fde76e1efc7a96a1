//! Tests of what is read from an engine after the manager's close.

use super::*;
use tokio::time::Instant;

/// Guards against an engine that goes on sending at full speed after the close of its connection, for example a result of
/// gigabytes, and so delays all others.
#[tokio::test(start_paused = true)]
async fn an_engine_that_never_stops_sending_is_read_at_a_bounded_rate() {
    const SENT_BYTES: usize = 64 << 20;
    let (mut engine, mut reader) = tokio::io::duplex(1 << 20);
    tokio::spawn(async move {
        let part = vec![b'x'; 1 << 20];
        for _ in 0..SENT_BYTES / part.len() {
            engine.write_all(&part).await.unwrap();
        }
    });
    let began = Instant::now();
    assert_eq!(drain_to_end(&mut reader).await, DiscardStatus::Discarded);
    assert!(began.elapsed() > Duration::from_secs(5), "{:?}", began.elapsed());
}

/// The close of an engine that sends its last results first is not delayed.
#[tokio::test(start_paused = true)]
async fn the_close_behind_a_result_is_read_at_once() {
    let (mut engine, mut reader) = tokio::io::duplex(4 << 20);
    engine.write_all(&vec![b'x'; 900_000]).await.unwrap();
    drop(engine);
    let began = Instant::now();
    assert_eq!(drain_to_end(&mut reader).await, DiscardStatus::Discarded);
    assert_eq!(began.elapsed(), Duration::ZERO);
}
