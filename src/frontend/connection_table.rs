//! The open connections of one listener: their states, their limit, and which one is evicted for a new one.

use std::collections::{BTreeSet, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::task::AbortHandle;

/// A client whose connection has been in its state for less than this may have sent a request that is not read yet.
/// A value of ours.
const REQUEST_TRANSIT_TIME: Duration = Duration::from_millis(500);

/// What a connection is doing.
#[derive(Debug, Clone, Copy)]
enum ConnectionState {
    /// It was sent its last response.
    Ending,
    /// It has not sent a complete request yet.
    Silent,
    /// Its last request is answered.
    Idle,
    /// It has a pending response.
    Busy,
}

/// The number of states, each of which has its own order of eviction.
const STATES: usize = 4;

#[derive(Debug)]
struct Connection {
    state: ConnectionState,
    /// When it entered its state.
    since: Instant,
    /// The task that serves it, once there is one.
    task: Option<AbortHandle>,
}

#[derive(Debug, Default)]
struct ConnectionTable {
    last_id: u64,
    connections: HashMap<u64, Connection>,
    /// The connections in each state by the time at which they entered it, the oldest first.
    by_age: [BTreeSet<(Instant, u64)>; STATES],
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

    /// The connection to evict, of those without a pending response. One whose request may be in transit comes last.
    fn eviction_candidate(&self, now: Instant) -> Option<u64> {
        self.oldest(ConnectionState::Ending, Duration::ZERO, now)
            .or_else(|| self.oldest(ConnectionState::Silent, REQUEST_TRANSIT_TIME, now))
            .or_else(|| self.oldest(ConnectionState::Idle, REQUEST_TRANSIT_TIME, now))
            .or_else(|| self.oldest(ConnectionState::Silent, Duration::ZERO, now))
            .or_else(|| self.oldest(ConnectionState::Idle, Duration::ZERO, now))
    }

    /// The connection that is longest in a state, if it is in it for `min_age` at least.
    fn oldest(&self, state: ConnectionState, min_age: Duration, now: Instant) -> Option<u64> {
        let (since, id) = self.by_age[state as usize].first()?;
        (now - *since >= min_age).then_some(*id)
    }

    /// Evicts a connection; false if all have a pending response.
    fn evict_one(&mut self) -> bool {
        let Some(id) = self.eviction_candidate(Instant::now()) else { return false };
        let Some(task) = self.remove(id) else { return false };
        task.abort();
        true
    }
}

/// The connection slots of a listener.
#[derive(Debug, Clone)]
pub struct ConnectionSlots {
    max_connections: usize,
    table: Arc<Mutex<ConnectionTable>>,
}

impl ConnectionSlots {
    /// Slots for at most `max_connections` connections, all of them free.
    pub fn new(max_connections: usize) -> ConnectionSlots {
        ConnectionSlots { max_connections, table: Arc::default() }
    }

    /// The number of connections that may be open.
    pub fn max_connections(&self) -> usize {
        self.max_connections
    }

    /// Takes a slot for a new connection. If none is free, another connection is evicted; `None` if all of them have
    /// a pending response.
    pub fn acquire(&self) -> Option<ConnectionPermit> {
        let mut table = lock(&self.table);
        let full = table.connections.len() >= self.max_connections;
        if full && !table.evict_one() {
            return None;
        }
        let id = table.add(ConnectionState::Silent, Instant::now());
        Some(ConnectionPermit { id, table: self.table.clone() })
    }

    /// Sets the task that an eviction of this connection aborts. Does nothing if the connection has ended.
    pub fn set_task(&self, id: u64, task: AbortHandle) {
        if let Some(connection) = lock(&self.table).connections.get_mut(&id) {
            connection.task = Some(task);
        }
    }

    /// Evicts a connection; false if all have a pending response.
    pub fn evict_one(&self) -> bool {
        lock(&self.table).evict_one()
    }
}

/// A connection's slot among those of its listener. It is given back when the permit is dropped.
#[derive(Debug)]
pub struct ConnectionPermit {
    id: u64,
    table: Arc<Mutex<ConnectionTable>>,
}

impl ConnectionPermit {
    /// The connection's number, unique among those of its listener.
    pub fn id(&self) -> u64 {
        self.id
    }

    /// A complete request was read: the connection is not evicted until it is answered.
    pub fn busy(&self) {
        lock(&self.table).set_state(self.id, ConnectionState::Busy);
    }

    /// The request is answered, and another may come.
    pub fn idle(&self) {
        lock(&self.table).set_state(self.id, ConnectionState::Idle);
    }

    /// The last response is sent.
    pub fn ending(&self) {
        lock(&self.table).set_state(self.id, ConnectionState::Ending);
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
