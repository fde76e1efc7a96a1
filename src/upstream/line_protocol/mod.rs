//! Engines that speak the platform's line protocol. Each connection carries many requests at once.

mod carried_requests;
mod connection;
mod parse;

pub use parse::load_report;

use super::{EndpointCommand, EndpointContext, send_when_possible};
use crate::clock::Micros;
use crate::core::ConnectionEnd;
use carried_requests::CarriedRequests;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::sync::mpsc;

/// Attempts per connection at which another connection is opened, as long as the limit of connections permits. All
/// attempts of a connection fail when it ends.
const PREFERRED_MAX_ATTEMPTS: usize = 4;
/// Commands that may wait for one connection.
const COMMAND_QUEUE_CAPACITY: usize = 1024;

/// The handle with which the engine's task uses one connection.
#[derive(Debug)]
struct Connection {
    commands: mpsc::Sender<EndpointCommand>,
    /// Number of attempts that the connection carries, shared with the connection's task.
    load: Arc<AtomicUsize>,
    /// Requests with these client request ids are sent on other connections.
    carried_requests: CarriedRequests,
    /// Set once the engine has another address. Attempts in flight may still end here, but no new ones are sent.
    retired: bool,
}

impl Connection {
    fn open(context: &EndpointContext, address: SocketAddr) -> Connection {
        let (commands, queue) = mpsc::channel(COMMAND_QUEUE_CAPACITY);
        let load = Arc::new(AtomicUsize::new(0));
        tokio::spawn(connection::run(context.clone(), address, queue, load.clone()));
        Connection { commands, load, carried_requests: CarriedRequests::default(), retired: false }
    }

    fn load(&self) -> usize {
        self.load.load(Ordering::Relaxed)
    }

    /// Returns whether the connection may carry one more attempt with this client request id, or a health check
    /// (`None`).
    fn accepts(&self, client_request_id: Option<&str>, max_attempts: usize) -> bool {
        let was_carried = client_request_id
            .is_some_and(|client_request_id| self.carried_requests.contains(client_request_id));
        !self.retired && !was_carried && self.load() < max_attempts
    }

    /// Passes a command to the connection. Returns the command if the connection does not accept it.
    fn send(&mut self, now: Micros, command: EndpointCommand) -> Option<EndpointCommand> {
        let client_request_id = client_request_id_of(&command).map(str::to_owned);
        match self.commands.try_send(command) {
            Ok(()) => {
                if let Some(client_request_id) = client_request_id {
                    self.load.fetch_add(1, Ordering::Relaxed);
                    self.carried_requests.insert(now, &client_request_id);
                }
                None
            }
            Err(rejected) => Some(rejected.into_inner()),
        }
    }
}

/// Returns the client request id of the attempt that a command starts; `None` for other commands.
fn client_request_id_of(command: &EndpointCommand) -> Option<&str> {
    match command {
        EndpointCommand::Start { call, .. } => Some(&call.client_request_id),
        _ => None,
    }
}

/// The connections to one engine.
struct Pool {
    context: EndpointContext,
    address: SocketAddr,
    connections: Vec<Connection>,
}

/// Runs an engine's connections until the service ends.
pub async fn run(
    context: EndpointContext,
    address: SocketAddr,
    mut commands: mpsc::Receiver<EndpointCommand>,
) {
    let mut pool = Pool { context, address, connections: Vec::new() };
    while let Some(command) = commands.recv().await {
        pool.connections.retain(|connection| !connection.commands.is_closed());
        let unsent = match command {
            EndpointCommand::SetAddress(address) => {
                pool.set_address(address);
                continue;
            }
            EndpointCommand::Cancel { .. } | EndpointCommand::SetPriority { .. } => {
                pool.send_to_all(&command);
                continue;
            }
            EndpointCommand::Start { .. } | EndpointCommand::HealthCheck => {
                pool.send_to_least_loaded(command)
            }
        };
        if let Some(command) = unsent
            && pool.context.report_unwritten(command, ConnectionEnd::NeverWritten).await.is_err()
        {
            return;
        }
    }
}

impl Pool {
    fn set_address(&mut self, address: SocketAddr) {
        if address == self.address {
            return;
        }
        self.address = address;
        self.connections.iter_mut().for_each(|connection| connection.retired = true);
    }

    /// Sends a command about an attempt to all connections. Those that don't carry the attempt ignore it.
    fn send_to_all(&self, command: &EndpointCommand) {
        for connection in &self.connections {
            let copy = match *command {
                EndpointCommand::Cancel { attempt, confirm } => EndpointCommand::Cancel { attempt, confirm },
                EndpointCommand::SetPriority { attempt, priority } => {
                    EndpointCommand::SetPriority { attempt, priority }
                }
                _ => continue,
            };
            send_when_possible(&connection.commands, copy);
        }
    }

    /// Sends a command to the connection with the least load, which may be a new one. Returns the command if no
    /// connection has capacity.
    fn send_to_least_loaded(&mut self, command: EndpointCommand) -> Option<EndpointCommand> {
        let limits = &self.context.limits;
        let max_attempts = limits.max_attempts_per_connection;
        let client_request_id = client_request_id_of(&command);
        let has_low_load = |one: &Connection| {
            one.accepts(client_request_id, max_attempts) && one.load() < PREFERRED_MAX_ATTEMPTS
        };
        if !self.connections.iter().any(has_low_load) && self.connections.len() < limits.max_connections {
            self.connections.push(Connection::open(&self.context, self.address));
        }
        let now = self.context.clock.now();
        let usable = self.connections.iter_mut().filter(|one| one.accepts(client_request_id, max_attempts));
        match usable.min_by_key(|one| one.load()) {
            Some(connection) => connection.send(now, command),
            None => Some(command),
        }
    }
}
