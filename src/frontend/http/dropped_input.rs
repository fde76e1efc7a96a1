//! Reads and drops input that a client sends ahead of a pending response, in order to see its close behind that input.
//!
//! All connections share one buffer and one rate, so that clients that never stop sending use little memory and
//! processor time.

use std::io;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// The size of one read.
const READ_BYTES: usize = 64 * 1024;
/// The pause of a connection after its reads. The rate is counted in windows of this length.
const WINDOW: Duration = Duration::from_millis(10);
/// The maximum that one connection drops in a window. A client's socket buffers are read within 0.1 s.
const MAX_CONNECTION_BYTES: usize = 1 << 20;
/// The maximum that all connections drop in a window, but for one read each.
const MAX_TOTAL_BYTES: usize = 2 << 20;

#[derive(Debug)]
struct Shared {
    buffer: Vec<u8>,
    window_began: Instant,
    /// The bytes dropped in the window.
    dropped_bytes: usize,
}

/// The shared buffer and rate.
#[derive(Debug)]
pub struct DroppedInput(Mutex<Shared>);

impl DroppedInput {
    /// Creates the buffer and the rate.
    pub fn new() -> DroppedInput {
        DroppedInput(Mutex::new(Shared {
            buffer: vec![0; READ_BYTES],
            window_began: Instant::now(),
            dropped_bytes: 0,
        }))
    }

    /// Drops the input that a connection has received, within the rate, and pauses. Returns false if the client closed
    /// the connection.
    pub(super) async fn drop_from(&self, stream: &TcpStream) -> bool {
        let open = self.drop_received(stream);
        if open {
            tokio::time::sleep(WINDOW).await;
        }
        open
    }

    fn drop_received(&self, stream: &TcpStream) -> bool {
        let mut shared = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        if now - shared.window_began >= WINDOW {
            shared.window_began = now;
            shared.dropped_bytes = 0;
        }
        let mut dropped = 0;
        loop {
            match stream.try_read(&mut shared.buffer) {
                Ok(0) => return false,
                Ok(bytes) => {
                    dropped += bytes;
                    shared.dropped_bytes += bytes;
                }
                Err(error) => return error.kind() == io::ErrorKind::WouldBlock,
            }
            if dropped >= MAX_CONNECTION_BYTES || shared.dropped_bytes >= MAX_TOTAL_BYTES {
                return true;
            }
        }
    }
}
