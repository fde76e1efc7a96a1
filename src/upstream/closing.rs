//! The end of a connection to an engine. What was completely written to an engine is in flight there until the engine has dropped it:
//! it does so with a connection that it closed itself, or of which it has read the close.

use super::EndpointContext;
use crate::core::{AttemptId, ConnectionEnd};
use crate::service::ServiceEnded;
use bytes::BytesMut;
use std::io::{self, ErrorKind};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// How long a closed connection waits for the engine's close; longer than engines hang.
const CLOSE_CONFIRM_TIMEOUT: Duration = Duration::from_secs(30);
/// Buffer for what an engine still sends on a closed connection, which is dropped.
const DROPPED_BYTES: usize = 4096;

/// Whether an engine has dropped the attempts of a connection that ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Dropped {
    /// It has.
    Yes,
    /// It does once it has read the close.
    WithTheClose,
    /// Nothing will tell.
    Unknown,
}

impl From<ConnectionEnd> for Dropped {
    fn from(end: ConnectionEnd) -> Dropped {
        match end {
            ConnectionEnd::Closed | ConnectionEnd::Reset => Dropped::Yes,
            ConnectionEnd::Broken => Dropped::Unknown,
            _ => Dropped::WithTheClose,
        }
    }
}

/// Reports attempts that were completely written to a connection that ended: they are possibly executed, and over once
/// the engine has dropped them.
///
/// # Errors
/// The service has ended.
pub async fn report_written(
    context: &EndpointContext,
    written: Vec<AttemptId>,
    end: ConnectionEnd,
    reader: impl AsyncRead + Unpin,
    writer: impl AsyncWrite + Unpin,
) -> Result<(), ServiceEnded> {
    if written.is_empty() {
        return Ok(());
    }
    let mut dropped = Dropped::from(end);
    if dropped != Dropped::Yes {
        for attempt in &written {
            context.lost(*attempt, end).await?;
        }
    }
    if dropped == Dropped::WithTheClose {
        dropped = close(reader, writer).await;
    }
    if dropped != Dropped::Yes {
        let count = written.len();
        log::warn!(count, reason:? = end; "an engine has not shown that it dropped attempts of a connection");
        return Ok(());
    }
    for attempt in written {
        context.ended(attempt, end).await?;
    }
    Ok(())
}

/// Closes a connection and waits until the engine has closed it too: it has read the close by then.
async fn close(mut reader: impl AsyncRead + Unpin, mut writer: impl AsyncWrite + Unpin) -> Dropped {
    if let Err(error) = writer.shutdown().await {
        return read_error(&error);
    }
    let closed = tokio::time::timeout(CLOSE_CONFIRM_TIMEOUT, read_to_end(&mut reader)).await;
    closed.unwrap_or(Dropped::Unknown)
}

async fn read_to_end(reader: &mut (impl AsyncRead + Unpin)) -> Dropped {
    let mut buffer = BytesMut::with_capacity(DROPPED_BYTES);
    loop {
        buffer.clear();
        match reader.read_buf(&mut buffer).await {
            Ok(0) => return Dropped::Yes,
            Ok(_) => {}
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => return read_error(&error),
        }
    }
}

/// Only a reset comes from the engine's side.
fn read_error(error: &io::Error) -> Dropped {
    match error.kind() {
        ErrorKind::ConnectionReset | ErrorKind::BrokenPipe => Dropped::Yes,
        _ => Dropped::Unknown,
    }
}
