//! The lingering close of a connection whose client may still be sending.

use bytes::BytesMut;
use std::io;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::time::Instant;

/// How long a client may go on sending after its last response. A value of ours, as is the next.
const LINGER_TIME: Duration = Duration::from_secs(1);
/// How much of that is read.
const LINGER_BYTES: usize = 256 * 1024;

/// Closes the sending side, then reads and drops what the client still sends, up to `LINGER_BYTES`.
///
/// A close with unread input would reset the connection, and the client could lose the response (RFC 9112,
/// section 9.6). It returns after `LINGER_TIME`, or as soon as the client has closed.
///
/// # Errors
///
/// The sending side cannot be shut down.
pub async fn linger<S>(stream: &mut S, buffer: &mut BytesMut) -> io::Result<()>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    stream.shutdown().await?;
    let deadline = Instant::now() + LINGER_TIME;
    let mut dropped = 0;
    while dropped < LINGER_BYTES {
        buffer.clear();
        match tokio::time::timeout_at(deadline, stream.read_buf(buffer)).await {
            Ok(Ok(read @ 1..)) => dropped += read,
            _ => return Ok(()),
        }
    }
    tokio::time::sleep_until(deadline).await;
    Ok(())
}
