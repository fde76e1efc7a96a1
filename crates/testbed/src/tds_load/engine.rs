//! An emulated engine that speaks TDS and answers each batch after a fixed time. It runs on a thread of its own.

use bytes::{Buf, BytesMut};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

// Message types (MS-TDS 2.2.3.1.1).
const TABULAR_RESULT: u8 = 0x04;
const ATTENTION: u8 = 0x06;
const LOGIN7: u8 = 0x10;
const PRELOGIN: u8 = 0x12;

const HEADER_BYTES: usize = 8;
const END_OF_MESSAGE: u8 = 1;

// Status bits of a DONE token.
const DONE_FINAL: u16 = 0;
const DONE_COUNT: u16 = 0x10;
const DONE_ATTN: u16 = 0x20;

/// A text in the statement of a health check, which is answered at once.
const HEALTH_CHECK: &[u8] = b"d\0m\0_\0e\0n\0g\0i\0n\0e\0_\0l\0o\0a\0d\0";

/// A running engine, which stops with the process.
#[derive(Debug)]
pub(super) struct TdsEngine {
    pub(super) address: SocketAddr,
    /// Number of connections that it has accepted.
    pub(super) connections: Arc<AtomicU64>,
}

impl TdsEngine {
    /// Starts an engine on a free loopback port.
    pub(super) fn start(work: Duration) -> std::io::Result<TdsEngine> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let connections = Arc::new(AtomicU64::new(0));
        let accepted = connections.clone();
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        std::thread::Builder::new()
            .name("tds-engine".to_owned())
            .spawn(move || runtime.block_on(accept(listener, work, accepted)))?;
        Ok(TdsEngine { address, connections })
    }
}

async fn accept(listener: TcpListener, work: Duration, accepted: Arc<AtomicU64>) {
    let Ok(listener) = tokio::net::TcpListener::from_std(listener) else { return };
    while let Ok((stream, _)) = listener.accept().await {
        accepted.fetch_add(1, Ordering::Relaxed);
        // An error ends only this connection.
        tokio::spawn(async move { drop(serve(stream, work).await) });
    }
}

async fn serve(mut stream: TcpStream, work: Duration) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut received = BytesMut::with_capacity(4096);
    loop {
        let Some(message) = read_message(&mut stream, &mut received).await? else { return Ok(()) };
        let response = match message.kind {
            PRELOGIN => vec![1, 0, 6, 0, 1, 0xff, 2],
            LOGIN7 => [&login_ack()[..], &done(DONE_FINAL)].concat(),
            ATTENTION => done(DONE_ATTN),
            _ if contains(&message.data, HEALTH_CHECK) => table("util", "0.1"),
            _ => {
                if !work.is_zero() {
                    tokio::time::sleep(work).await;
                }
                table("x", "a")
            }
        };
        stream.write_all(&packet(&response)).await?;
    }
}

struct Message {
    kind: u8,
    data: Vec<u8>,
}

/// Reads a message; `None` if the connection was closed.
async fn read_message(stream: &mut TcpStream, received: &mut BytesMut) -> std::io::Result<Option<Message>> {
    let mut data = Vec::new();
    loop {
        if let Some(header) = received.first_chunk::<HEADER_BYTES>().copied() {
            let length = usize::from(u16::from_be_bytes([header[2], header[3]]));
            if received.len() >= length {
                data.extend_from_slice(&received[HEADER_BYTES..length]);
                received.advance(length);
                if header[1] & END_OF_MESSAGE != 0 {
                    return Ok(Some(Message { kind: header[0], data }));
                }
                continue;
            }
        }
        if stream.read_buf(received).await? == 0 {
            return Ok(None);
        }
    }
}

fn contains(data: &[u8], part: &[u8]) -> bool {
    data.windows(part.len()).any(|window| window == part)
}

fn packet(data: &[u8]) -> Vec<u8> {
    let length = ((data.len() + HEADER_BYTES) as u16).to_be_bytes();
    [&[TABULAR_RESULT, END_OF_MESSAGE, length[0], length[1], 0, 0, 1, 0], data].concat()
}

fn login_ack() -> [u8; 13] {
    [0xad, 10, 0, 1, 0x74, 0, 0, 4, 0, 16, 0, 0, 0]
}

fn done(status: u16) -> Vec<u8> {
    [&[0xfd][..], &status.to_le_bytes(), &[0xc1, 0], &[0; 8]].concat()
}

/// A result with one column and one row.
fn table(column: &str, cell: &str) -> Vec<u8> {
    let utf16 = |text: &str| text.encode_utf16().flat_map(u16::to_le_bytes).collect::<Vec<u8>>();
    let (column, cell) = (utf16(column), utf16(cell));
    let type_info = [0, 0, 0, 0, 9, 0, 0xe7, 0x40, 0x1f, 9, 4, 0xd0, 0, 0x34];
    let columns = [&[0x81, 1, 0][..], &type_info, &[(column.len() / 2) as u8], &column].concat();
    let row = [&[0xd1][..], &(cell.len() as u16).to_le_bytes(), &cell].concat();
    [columns, row, done(DONE_COUNT)].concat()
}
