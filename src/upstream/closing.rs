//! The end of a connection to an engine. An attempt that was completely written is in flight until the engine discards
//! it. An engine discards the attempts of a connection when it closes the connection itself, and when it reads the
//! close of the manager.

use super::EndpointContext;
use crate::core::{AttemptId, ConnectionEnd};
use crate::service::ServiceEnded;
use bytes::BytesMut;
use std::io::{self, ErrorKind};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// Time to wait for the engine's close after the manager's. Engines hang for less than this.
const CLOSE_CONFIRM_TIMEOUT: Duration = Duration::from_secs(30);
/// Size of the buffer for what an engine still sends after the manager's close. Its content is dropped.
const DRAIN_BUFFER_BYTES: usize = 4096;
/// What an engine may send after the manager's close before reading is paced. It is above the longest result.
const UNPACED_DRAIN_BYTES: usize = 1 << 20;
/// Pause before each further read, so that an engine that never stops sending uses little processor time.
const DRAIN_PAUSE: Duration = Duration::from_millis(10);

/// Whether an engine has discarded the attempts of a connection that ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum DiscardStatus {
    /// The engine has discarded them.
    Discarded,
    /// The engine discards them once it has read the manager's close.
    AfterClose,
    /// The connection can no longer show whether the engine has discarded them.
    Unknown,
}

impl From<ConnectionEnd> for DiscardStatus {
    fn from(end: ConnectionEnd) -> DiscardStatus {
        match end {
            ConnectionEnd::Closed | ConnectionEnd::Reset => DiscardStatus::Discarded,
            ConnectionEnd::Broken => DiscardStatus::Unknown,
            _ => DiscardStatus::AfterClose,
        }
    }
}

/// Reports the attempts that were completely written to a connection that ended. They are possibly executed. Each has
/// ended once the engine has discarded it, and is lost until then.
///
/// # Errors
/// Fails if the service has ended.
pub async fn report_written_attempts(
    context: &EndpointContext,
    written: Vec<AttemptId>,
    end: ConnectionEnd,
    reader: impl AsyncRead + Unpin,
    writer: impl AsyncWrite + Unpin,
) -> Result<(), ServiceEnded> {
    if written.is_empty() {
        return Ok(());
    }
    let mut discard_status = DiscardStatus::from(end);
    if discard_status != DiscardStatus::Discarded {
        for attempt in &written {
            context.report_lost(*attempt, end).await?;
        }
    }
    if discard_status == DiscardStatus::AfterClose {
        discard_status = close_and_drain(reader, writer).await;
    }
    if discard_status != DiscardStatus::Discarded {
        let count = written.len();
        log::warn!(
            engine = context.engine, count, reason:? = end;
            "engine did not confirm the close of a connection: its attempts stay in flight"
        );
        return Ok(());
    }
    for attempt in written {
        context.report_ended(attempt, end).await?;
    }
    Ok(())
}

/// Closes a connection and waits for the engine's close, which shows that the engine has read the manager's.
async fn close_and_drain(
    mut reader: impl AsyncRead + Unpin,
    mut writer: impl AsyncWrite + Unpin,
) -> DiscardStatus {
    if let Err(error) = writer.shutdown().await {
        return status_after_error(&error);
    }
    let closed = tokio::time::timeout(CLOSE_CONFIRM_TIMEOUT, drain_to_end(&mut reader)).await;
    closed.unwrap_or(DiscardStatus::Unknown)
}

async fn drain_to_end(reader: &mut (impl AsyncRead + Unpin)) -> DiscardStatus {
    let mut buffer = BytesMut::with_capacity(DRAIN_BUFFER_BYTES);
    let mut drained_bytes = 0;
    loop {
        buffer.clear();
        if drained_bytes > UNPACED_DRAIN_BYTES {
            tokio::time::sleep(DRAIN_PAUSE).await;
        }
        match reader.read_buf(&mut buffer).await {
            Ok(0) => return DiscardStatus::Discarded,
            Ok(read) => drained_bytes += read,
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => return status_after_error(&error),
        }
    }
}

/// A reset comes from the engine, which has discarded the attempts then. Other errors don't come from the engine.
fn status_after_error(error: &io::Error) -> DiscardStatus {
    match error.kind() {
        ErrorKind::ConnectionReset | ErrorKind::BrokenPipe => DiscardStatus::Discarded,
        _ => DiscardStatus::Unknown,
    }
}

#[cfg(test)]
mod tests;
