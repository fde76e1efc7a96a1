//! Sends queries to the name service over UDP, and receives the responses.

use super::query_paths::{PathChoice, PathId, QueryPaths};
use super::{DiscoveryError, QueryError, dns};
use crate::clock::{Clock, Micros};
use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, Ipv6Addr, SocketAddr};
use std::task::{Context, Poll};
use tokio::io::ReadBuf;
use tokio::net::UdpSocket;

/// Upper limit of a response. It is above the longest response that the name service sends.
const MAX_RESPONSE_BYTES: usize = 16 * 1024;

/// Queries to one name service, from one or more sockets.
#[derive(Debug)]
pub(super) struct QueryClient {
    resolver: SocketAddr,
    service: String,
    clock: Clock,
    paths: QueryPaths,
    sockets: BTreeMap<PathId, OpenSocket>,
    buffer: Vec<u8>,
}

#[derive(Debug)]
struct OpenSocket {
    socket: UdpSocket,
    /// Receiving has failed since the last query was sent. It is tried again after the next one, so that a permanent
    /// error does not keep the program busy.
    receive_failed: bool,
}

/// A response to an open query, and how long it took.
#[derive(Debug)]
pub(super) struct ReceivedResponse {
    pub(super) response: dns::Response,
    pub(super) delay: Micros,
}

impl QueryClient {
    /// Creates a client that queries a name service for a service. It opens no socket yet.
    pub(super) fn new(resolver: SocketAddr, service: &str, clock: Clock) -> QueryClient {
        QueryClient {
            resolver,
            service: service.to_owned(),
            clock,
            paths: QueryPaths::default(),
            sockets: BTreeMap::new(),
            buffer: vec![0; MAX_RESPONSE_BYTES],
        }
    }

    /// Whether the client queries this name service for this service.
    pub(super) fn queries(&self, resolver: SocketAddr, service: &str) -> bool {
        self.resolver == resolver && self.service == service
    }

    /// Sends a query with this id.
    pub(super) async fn send(&mut self, id: u16) -> Result<(), QueryError> {
        for socket in self.sockets.values_mut() {
            socket.receive_failed = false;
        }
        let path = match self.paths.choose() {
            PathChoice::Open(path) => path,
            PathChoice::New => match (self.open().await, self.paths.sender()) {
                (Ok(path), _) => path,
                // Without descriptors, queries are sent from the socket that there is.
                (Err(_), Some(sender)) => sender,
                (Err(error), None) => return Err(error),
            },
        };
        self.paths.query_sent(path, id, self.clock.now());
        while let Some(closed) = self.paths.take_closed() {
            self.sockets.remove(&closed);
        }
        if let Some(open) = self.sockets.get(&path) {
            open.socket.send(&dns::query(id, &self.service)).await?;
        }
        Ok(())
    }

    async fn open(&mut self) -> Result<PathId, QueryError> {
        let any_port = match self.resolver {
            SocketAddr::V4(_) => SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)),
            SocketAddr::V6(_) => SocketAddr::from((Ipv6Addr::UNSPECIFIED, 0)),
        };
        let socket = UdpSocket::bind(any_port).await?;
        socket.connect(self.resolver).await?;
        let path = self.paths.opened();
        self.sockets.insert(path, OpenSocket { socket, receive_failed: false });
        Ok(path)
    }

    /// Waits for the next response to an open query, however late it is. Other packets are ignored. Cancel safe: no
    /// packet is lost if the future is dropped.
    pub(super) async fn receive(&mut self) -> Result<ReceivedResponse, QueryError> {
        loop {
            let Received { path, length } =
                std::future::poll_fn(|context| self.poll_receive(context)).await?;
            let message = &self.buffer[..length];
            let Some(id) = message.first_chunk().map(|id| u16::from_be_bytes(*id)) else { continue };
            let Some(delay) = self.paths.response_received(path, id, self.clock.now()) else { continue };
            let response = dns::parse(message).map_err(|error: DiscoveryError| QueryError::from(error))?;
            return Ok(ReceivedResponse { response, delay });
        }
    }

    /// Receives a packet from any socket.
    fn poll_receive(&mut self, context: &mut Context<'_>) -> Poll<io::Result<Received>> {
        let usable = self.sockets.iter_mut().filter(|(_, open)| !open.receive_failed);
        for (path, open) in usable {
            let mut buffer = ReadBuf::new(&mut self.buffer);
            match open.socket.poll_recv(context, &mut buffer) {
                Poll::Pending => {}
                Poll::Ready(Ok(())) => {
                    let length = buffer.filled().len();
                    return Poll::Ready(Ok(Received { path: *path, length }));
                }
                Poll::Ready(Err(error)) => {
                    open.receive_failed = true;
                    return Poll::Ready(Err(error));
                }
            }
        }
        Poll::Pending
    }
}

/// A packet in the client's buffer.
struct Received {
    path: PathId,
    length: usize,
}
