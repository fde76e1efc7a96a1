//! Limits the open connections of one listener.
//!
//! The table records the state of each connection. At the limit, it selects the connection to evict for a new one.

use std::collections::{BTreeSet, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::task::AbortHandle;

/// A connection that entered its state less than this time ago may have a request in transit, so it is evicted after
/// older ones.
const REQUEST_TRANSIT_TIME: Duration = Duration::from_millis(500);

/// The state of a connection.
#[derive(Debug, Clone, Copy)]
enum ConnectionState {
    /// The last response was sent, and the connection is being closed.
    Closing,
    /// The connection was accepted, and no complete request has been received.
    AwaitingFirstRequest,
    /// The last request was answered, and another may follow.
    Idle,
    /// A request was received, and its response is pending.
    Busy,
}

/// The number of states of a connection.
const STATE_COUNT: usize = 4;

#[derive(Debug)]
struct Connection {
    state: ConnectionState,
    /// When the connection entered its state.
    since: Instant,
    /// The task that serves the connection; `None` until it is spawned.
    task: Option<AbortHandle>,
}

#[derive(Debug, Default)]
struct ConnectionTable {
    last_id: u64,
    connections: HashMap<u64, Connection>,
    /// For each state, its connections ordered by the time at which they entered it, the oldest first.
    by_age: [BTreeSet<(Instant, u64)>; STATE_COUNT],
}

impl ConnectionTable {
    fn add(&mut self, state: ConnectionState, since: Instant) -> u64 {
        self.last_id += 1;
        let connection = Connection { state, since, task: None };
        self.connections.insert(self.last_id, connection);
        self.by_age[state as usize].insert((since, self.last_id));
        self.last_id
    }

    fn remove(&mut self, id: u64) -> Option<AbortHandle> {
        let connection = self.connections.remove(&id)?;
        self.by_age[connection.state as usize].remove(&(connection.since, id));
        connection.task
    }

    fn set_state(&mut self, id: u64, state: ConnectionState) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        self.by_age[connection.state as usize].remove(&(connection.since, id));
        connection.state = state;
        connection.since = Instant::now();
        self.by_age[state as usize].insert((connection.since, id));
    }

    /// Selects the connection to evict among those without a pending response. Connections that may have a request in
    /// transit come last.
    fn eviction_candidate(&self, now: Instant) -> Option<u64> {
        self.oldest(ConnectionState::Closing, Duration::ZERO, now)
            .or_else(|| self.oldest(ConnectionState::AwaitingFirstRequest, REQUEST_TRANSIT_TIME, now))
            .or_else(|| self.oldest(ConnectionState::Idle, REQUEST_TRANSIT_TIME, now))
            .or_else(|| self.oldest(ConnectionState::AwaitingFirstRequest, Duration::ZERO, now))
            .or_else(|| self.oldest(ConnectionState::Idle, Duration::ZERO, now))
    }

    /// Returns the connection that has been in a state for the longest time, if that is at least `min_age`.
    fn oldest(&self, state: ConnectionState, min_age: Duration, now: Instant) -> Option<u64> {
        let (since, id) = self.by_age[state as usize].first()?;
        (now - *since >= min_age).then_some(*id)
    }

    /// Evicts a connection by aborting its task. Returns false if all connections have a pending response.
    fn evict_one(&mut self) -> bool {
        let Some(id) = self.eviction_candidate(Instant::now()) else { return false };
        let Some(task) = self.remove(id) else { return false };
        task.abort();
        true
    }
}

/// The connection slots of a listener. Clones share them.
#[derive(Debug, Clone)]
pub struct ConnectionSlots {
    max_connections: usize,
    table: Arc<Mutex<ConnectionTable>>,
}

impl ConnectionSlots {
    /// Creates `max_connections` free slots.
    pub fn new(max_connections: usize) -> ConnectionSlots {
        ConnectionSlots { max_connections, table: Arc::default() }
    }

    /// The maximum number of open connections.
    pub fn max_connections(&self) -> usize {
        self.max_connections
    }

    /// Acquires a slot for a new connection. If none is free, another connection is evicted. Returns `None` if all
    /// connections have a pending response.
    pub fn acquire(&self) -> Option<ConnectionPermit> {
        let mut table = lock(&self.table);
        let full = table.connections.len() >= self.max_connections;
        if full && !table.evict_one() {
            return None;
        }
        let id = table.add(ConnectionState::AwaitingFirstRequest, Instant::now());
        Some(ConnectionPermit { id, table: self.table.clone() })
    }

    /// Sets the task that is aborted when this connection is evicted. Does nothing if the connection has ended.
    pub fn set_task(&self, id: u64, task: AbortHandle) {
        if let Some(connection) = lock(&self.table).connections.get_mut(&id) {
            connection.task = Some(task);
        }
    }

    /// Evicts a connection. Returns false if all connections have a pending response.
    pub fn evict_one(&self) -> bool {
        lock(&self.table).evict_one()
    }
}

/// The slot that a connection occupies. Dropping the permit releases the slot.
#[derive(Debug)]
pub struct ConnectionPermit {
    id: u64,
    table: Arc<Mutex<ConnectionTable>>,
}

impl ConnectionPermit {
    /// The id of the connection, unique within its listener.
    pub fn id(&self) -> u64 {
        self.id
    }

    /// Records that a complete request was received. The connection cannot be evicted while its response is pending.
    pub fn busy(&self) {
        lock(&self.table).set_state(self.id, ConnectionState::Busy);
    }

    /// Records that the request was answered and another may follow.
    pub fn idle(&self) {
        lock(&self.table).set_state(self.id, ConnectionState::Idle);
    }

    /// Records that the last response was sent. Such a connection is evicted first.
    pub fn ending(&self) {
        lock(&self.table).set_state(self.id, ConnectionState::Closing);
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        lock(&self.table).remove(self.id);
    }
}

fn lock(table: &Mutex<ConnectionTable>) -> MutexGuard<'_, ConnectionTable> {
    table.lock().unwrap_or_else(PoisonError::into_inner)
}

#[cfg(test)]
mod tests;
