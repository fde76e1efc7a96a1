//! Chooses the UDP socket from which each query to the name service is sent, and accepts the responses. Free of I/O.
//!
//! A query without a response may have been lost, or its response is late. Both need a reaction:
//!
//! - All responses to one socket may be lost on the network path. After some unanswered queries the next ones are
//!   therefore sent from a new socket.
//! - A late response still has news. Each socket therefore stays open, and its queries stay open, while queries are sent
//!   from other sockets.
//!
//! The number of sockets is bounded. If it is reached, the socket that was opened first is closed for a new one, and the
//! number of unanswered queries that leads to a new socket doubles each time until a response arrives. So each socket
//! stays open longer than the one before, and a response that takes up to `MAX_OPEN_QUERIES` poll intervals finds its
//! socket open, however slow the name service is.

use crate::clock::Micros;
use std::collections::VecDeque;

/// Unanswered queries after which the next one is sent from a new socket.
const UNANSWERED_BEFORE_NEW_PATH: usize = 3;
/// Maximum of open sockets.
const MAX_PATHS: usize = 8;
/// Maximum of open queries of one socket. The oldest one is closed for a new one.
const MAX_OPEN_QUERIES: usize = 300;
/// A socket is closed when this many queries in a row were sent from others, while responses arrive. Its own queries would
/// be closed by then if they had been sent in turn.
const MAX_UNUSED_QUERIES: usize = MAX_OPEN_QUERIES;

/// Identifies a socket.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct PathId(u64);

/// A query whose response is still accepted.
#[derive(Debug)]
struct OpenQuery {
    id: u16,
    sent_at: Micros,
}

/// A socket, and the open queries that were sent from it.
#[derive(Debug)]
struct Path {
    id: PathId,
    /// Oldest first.
    open_queries: VecDeque<OpenQuery>,
    /// Number of queries sent from other sockets since the last one from this socket.
    unused_queries: usize,
}

/// From which socket the next query has to be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PathChoice {
    /// From an open one.
    Open(PathId),
    /// From a new one, because there is none, or because too many queries are unanswered.
    New,
}

/// The open sockets, in the order in which they were opened.
#[derive(Debug, Default)]
pub(super) struct QueryPaths {
    paths: Vec<Path>,
    /// The socket from which queries are sent: the one that received the last response, or a newer one.
    sender: Option<PathId>,
    last_id: u64,
    /// Queries sent from the current sender since it became the sender, or since the last response.
    unanswered_queries: usize,
    /// Sockets opened since the last response.
    opened_paths: usize,
}

impl QueryPaths {
    /// Returns from which socket the next query has to be sent.
    pub(super) fn choose(&self) -> PathChoice {
        match self.sender {
            Some(sender) if self.unanswered_queries < self.patience() => PathChoice::Open(sender),
            _ => PathChoice::New,
        }
    }

    /// Returns the socket from which queries are sent; `None` if none was opened.
    pub(super) fn sender(&self) -> Option<PathId> {
        self.sender
    }

    /// Returns the number of unanswered queries that leads to a new socket.
    fn patience(&self) -> usize {
        let beyond_bound = self.opened_paths.saturating_sub(MAX_PATHS - 1).min(usize::BITS as usize / 2);
        (UNANSWERED_BEFORE_NEW_PATH << beyond_bound).min(MAX_OPEN_QUERIES)
    }

    /// Records that a socket was opened, from which queries are sent from now on.
    pub(super) fn opened(&mut self) -> PathId {
        self.last_id += 1;
        let id = PathId(self.last_id);
        self.paths.push(Path { id, open_queries: VecDeque::new(), unused_queries: 0 });
        self.sender = Some(id);
        self.unanswered_queries = 0;
        self.opened_paths += 1;
        id
    }

    /// Records that a query is sent. `path` is one that [`QueryPaths::choose`] or [`QueryPaths::opened`] has returned.
    pub(super) fn query_sent(&mut self, path: PathId, id: u16, now: Micros) {
        self.unanswered_queries += 1;
        for other in &mut self.paths {
            if other.id != path {
                other.unused_queries += 1;
                continue;
            }
            other.unused_queries = 0;
            if other.open_queries.len() >= MAX_OPEN_QUERIES {
                other.open_queries.pop_front();
            }
            other.open_queries.push_back(OpenQuery { id, sent_at: now });
        }
    }

    /// Handles a response. Returns how long it took; `None` if it responds to no open query of this socket.
    pub(super) fn response_received(&mut self, path: PathId, id: u16, now: Micros) -> Option<Micros> {
        let receiver = self.paths.iter_mut().find(|other| other.id == path)?;
        let index = receiver.open_queries.iter().position(|query| query.id == id)?;
        let query = receiver.open_queries.remove(index)?;
        self.sender = Some(path);
        self.unanswered_queries = 0;
        self.opened_paths = 0;
        Some(now - query.sent_at)
    }

    /// Removes and returns a socket that has to be closed; `None` if all stay open.
    pub(super) fn take_closed(&mut self) -> Option<PathId> {
        let is_unused = |path: &Path| path.unused_queries >= MAX_UNUSED_QUERIES;
        let responses_arrive = self.opened_paths == 0;
        let index = match self.paths.len() > MAX_PATHS {
            true => self.paths.iter().position(|path| Some(path.id) != self.sender),
            false if responses_arrive => self.paths.iter().position(is_unused),
            false => None,
        };
        index.map(|index| self.paths.remove(index).id)
    }
}

#[cfg(test)]
mod tests;
