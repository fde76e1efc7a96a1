//! Lingering close: closes a connection without losing the last response when the client is still sending.

use std::io;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::time::Instant;

/// How long the client's input is read after the last response.
const LINGER_TIME: Duration = Duration::from_secs(1);
/// The size of one read.
const READ_BYTES: usize = 2048;
/// How much of the client's input is read after the last response.
const LINGER_BYTES: usize = 256 * 1024;

/// Shuts down the sending side, then reads and drops up to `LINGER_BYTES` of further input.
///
/// A close with unread input would reset the connection, and the client could lose the response (RFC 9112,
/// section 9.6). Returns when the client closes the connection, but after `LINGER_TIME` at the latest.
///
/// # Errors
///
/// The sending side cannot be shut down.
pub async fn linger<S>(stream: &mut S) -> io::Result<()>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    stream.shutdown().await?;
    let deadline = Instant::now() + LINGER_TIME;
    let mut dropped = 0;
    let mut space = vec![0; READ_BYTES];
    while dropped < LINGER_BYTES {
        match tokio::time::timeout_at(deadline, stream.read(&mut space)).await {
            Ok(Ok(read @ 1..)) => dropped += read,
            _ => return Ok(()),
        }
    }
    tokio::time::sleep_until(deadline).await;
    Ok(())
}
