//! Transports length-delimited messages between managers over TCP. A pair of managers uses two connections, one for
//! each direction. A message that can't be sent is dropped, and the node resends what it needs.

use crate::memory::{MemoryBudget, MemoryReservation};
use bytes::{Bytes, BytesMut};
use futures_util::{SinkExt, StreamExt};
use sanddyke_cluster::node::MAX_MESSAGE_BYTES;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{Semaphore, mpsc};
use tokio_util::codec::{Decoder, FramedRead, FramedWrite, LengthDelimitedCodec};

/// Maximum number of messages queued for one manager. Further messages are dropped.
const QUEUE_CAPACITY: usize = 256;
/// Maximum number of outgoing connections, and of incoming connections.
const MAX_CONNECTIONS: usize = 1024;
/// Connection attempts fail after this time, and the queued messages are dropped.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// A connection is closed if writing one message takes longer than this.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// A connection without messages for this time is closed. Members send to each other about once in each probe round
/// over all members.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Delay after an error of `accept`. Such an error is often a lack of descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Queues of the outgoing connections, by address of the manager.
pub struct PeerTransport {
    local: SocketAddr,
    queues: HashMap<SocketAddr, mpsc::Sender<Bytes>>,
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MAX_MESSAGE_BYTES).new_codec()
}

/// The memory that every incoming connection gets, whatever the budget. A usual message fits.
const SMALL_INPUT_BYTES: usize = 8192;

/// Decodes messages, and counts the input that is received but not decoded yet.
struct CountingDecoder {
    codec: LengthDelimitedCodec,
    memory: MemoryReservation,
}

impl Decoder for CountingDecoder {
    type Item = BytesMut;
    type Error = std::io::Error;

    fn decode(&mut self, input: &mut BytesMut) -> std::io::Result<Option<BytesMut>> {
        let decoded = self.codec.decode(input)?;
        if input.len() <= SMALL_INPUT_BYTES {
            self.memory.resize(input.len());
        } else {
            let counted = self.memory.try_resize(input.len());
            counted.map_err(|error| std::io::Error::new(std::io::ErrorKind::OutOfMemory, error))?;
        }
        Ok(decoded)
    }
}

impl PeerTransport {
    /// Starts to accept connections. Received messages are sent to `inbox`. Incomplete ones count against `memory`.
    pub fn start(
        listener: TcpListener,
        local: SocketAddr,
        inbox: mpsc::Sender<Vec<u8>>,
        memory: MemoryBudget,
    ) -> PeerTransport {
        tokio::spawn(accept_connections(listener, inbox, memory));
        PeerTransport { local, queues: HashMap::new() }
    }

    /// Queues a message. Returns `false` if the message is dropped, because the queue is full or too many connections
    /// exist.
    pub fn send(&mut self, to: SocketAddr, message: Vec<u8>) -> bool {
        self.queues.retain(|_, queue| !queue.is_closed());
        if !self.queues.contains_key(&to) && self.queues.len() >= MAX_CONNECTIONS {
            return false;
        }
        let queue = self.queues.entry(to).or_insert_with(|| {
            let (queue, messages) = mpsc::channel(QUEUE_CAPACITY);
            tokio::spawn(run_outgoing_connection(self.local, to, messages));
            queue
        });
        queue.try_send(message.into()).is_ok()
    }
}

async fn connect(local: SocketAddr, to: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = if to.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    // Connects from the address that this manager listens on, by which others recognise it.
    if local.is_ipv4() == to.is_ipv4() {
        socket.bind(SocketAddr::new(local.ip(), 0))?;
    }
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, socket.connect(to)).await??;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Sends the queued messages to one manager until the connection ends. The next message opens another connection.
async fn run_outgoing_connection(local: SocketAddr, to: SocketAddr, mut messages: mpsc::Receiver<Bytes>) {
    let stream = match connect(local, to).await {
        Ok(stream) => stream,
        Err(error) => return log::debug!("cluster: connecting to {to} failed: {error}"),
    };
    let mut frames = FramedWrite::new(stream, codec());
    while let Ok(Some(message)) = tokio::time::timeout(IDLE_TIMEOUT, messages.recv()).await {
        let sent = tokio::time::timeout(WRITE_TIMEOUT, frames.send(message)).await;
        if !matches!(sent, Ok(Ok(()))) {
            return log::debug!("cluster: the connection to {to} has ended");
        }
    }
}

async fn accept_connections(listener: TcpListener, inbox: mpsc::Sender<Vec<u8>>, memory: MemoryBudget) {
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let (stream, from) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!("cluster: accepting a connection failed: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let Ok(permit) = permits.clone().try_acquire_owned() else {
            log::warn!("cluster: a connection from {from} is rejected: {MAX_CONNECTIONS} are open");
            continue;
        };
        let inbox = inbox.clone();
        let decoder = CountingDecoder { codec: codec(), memory: memory.reservation() };
        tokio::spawn(async move {
            run_incoming_connection(stream, from, inbox, decoder).await;
            drop(permit);
        });
    }
}

/// Receives messages from one manager until the connection ends.
async fn run_incoming_connection(
    stream: TcpStream,
    from: SocketAddr,
    inbox: mpsc::Sender<Vec<u8>>,
    decoder: CountingDecoder,
) {
    let mut frames = FramedRead::new(stream, decoder);
    while let Ok(Some(frame)) = tokio::time::timeout(IDLE_TIMEOUT, frames.next()).await {
        match frame {
            Ok(message) => {
                if inbox.send(message.to_vec()).await.is_err() {
                    return;
                }
            }
            Err(error) => {
                return log::warn!("cluster: the connection from {from} ends: invalid frame: {error}");
            }
        }
    }
}
