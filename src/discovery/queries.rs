//! Queries to the name service over one UDP socket.

use super::{DiscoveryError, QueryError, dns};
use std::collections::VecDeque;
use std::net::{Ipv4Addr, Ipv6Addr, SocketAddr};
use tokio::net::UdpSocket;
use tokio::time::Instant;

/// Number of queries whose responses are still accepted.
const MAX_OPEN_QUERIES: usize = 8;

/// A socket, and the ids of the open queries sent from it, oldest first. Late responses to them are accepted as well.
#[derive(Debug)]
pub(super) struct QuerySocket {
    socket: UdpSocket,
    open: VecDeque<u16>,
}

impl QuerySocket {
    pub(super) async fn connect(resolver: SocketAddr) -> Result<QuerySocket, QueryError> {
        let any_port = match resolver {
            SocketAddr::V4(_) => SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)),
            SocketAddr::V6(_) => SocketAddr::from((Ipv6Addr::UNSPECIFIED, 0)),
        };
        let socket = UdpSocket::bind(any_port).await?;
        socket.connect(resolver).await?;
        Ok(QuerySocket { socket, open: VecDeque::new() })
    }

    /// Returns the local address of the socket.
    #[cfg(test)]
    pub(super) fn local_addr(&self) -> std::io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    pub(super) async fn send(&mut self, service: &str, id: u16) -> Result<(), QueryError> {
        self.open.push_back(id);
        if self.open.len() > MAX_OPEN_QUERIES {
            self.open.pop_front();
        }
        self.socket.send(&dns::query(id, service)).await?;
        Ok(())
    }

    /// Waits for the response to the last query until the deadline. At the deadline, returns the last received response
    /// to an earlier query, if there is one. Packets that respond to no open query are ignored.
    pub(super) async fn response(
        &mut self,
        buffer: &mut [u8],
        deadline: Instant,
    ) -> Result<dns::Response, QueryError> {
        let mut latest = Err(QueryError::NoResponse);
        loop {
            let receiving = tokio::time::timeout_at(deadline, self.socket.recv(buffer));
            let Ok(received) = receiving.await else { return latest };
            let message = &buffer[..received?];
            let Some(index) = self.open.iter().position(|id| message.starts_with(&id.to_be_bytes())) else {
                continue;
            };
            // Responses to queries sent before this one would be older: they are no longer accepted.
            self.open.drain(..=index);
            let response = dns::parse(message).map_err(|error: DiscoveryError| QueryError::from(error));
            latest = response.or(latest);
            if self.open.is_empty() {
                return latest;
            }
        }
    }
}
