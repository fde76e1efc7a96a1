//! Reads requests from a connection, with a deadline for each.

use super::input_buffer::InputBuffer;
use super::message::{Request, RequestError, RequestParser};
use std::io;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::time::Instant;

/// A request must be complete within this time. The time of a connection's first request starts when the connection is
/// accepted, that of a later request with its first byte.
pub(super) const READ_TIMEOUT: Duration = Duration::from_millis(2500);
/// An idle connection is closed after this time. The platform's clients close idle connections after 4 s, so they close
/// first.
pub(super) const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// The deadline for the first request of a connection that is accepted now.
pub fn first_request_deadline() -> Instant {
    Instant::now() + READ_TIMEOUT
}

/// Reads the next request, whose body may have at most `max_body_bytes`.
///
/// The request must be complete by `deadline`. If `deadline` is `None`, it must be complete within `READ_TIMEOUT` of
/// its first byte. Returns `None` if the client closed the connection or sent no complete request in time. The memory of
/// the request is part of the buffer's until [`InputBuffer::shrink`].
///
/// # Errors
///
/// The outer error is a failure of the connection. The inner error reports input that is not a valid request, or for
/// which there is no memory.
pub async fn read_request<S: AsyncRead + AsyncWrite + Unpin>(
    stream: &mut S,
    input: &mut InputBuffer,
    deadline: Option<Instant>,
    max_body_bytes: usize,
) -> io::Result<Option<Result<Request, RequestError>>> {
    let mut parser = RequestParser::new(max_body_bytes);
    let mut continue_sent = false;
    let mut started = deadline.is_some() || !input.bytes.is_empty();
    let timeout = if started { READ_TIMEOUT } else { IDLE_TIMEOUT };
    let mut deadline = deadline.unwrap_or(Instant::now() + timeout);
    loop {
        match parser.next(&mut input.bytes) {
            Ok(None) => {}
            Ok(Some(request)) => return Ok(Some(Ok(request))),
            Err(error) => return Ok(Some(Err(error))),
        }
        if parser.expects_continue() && !continue_sent {
            continue_sent = true;
            stream.write_all(CONTINUE).await?;
        }
        if input.reserve(parser.max_buffer_bytes(), parser.head_memory_bytes()).is_err() {
            return Ok(Some(Err(RequestError::OutOfMemory)));
        }
        match tokio::time::timeout_at(deadline, stream.read_buf(&mut input.bytes)).await {
            Ok(Ok(1..)) => {}
            Ok(Err(error)) => return Err(error),
            Ok(Ok(0)) | Err(_) => return Ok(None),
        }
        if !started {
            started = true;
            deadline = Instant::now() + READ_TIMEOUT;
        }
    }
}
