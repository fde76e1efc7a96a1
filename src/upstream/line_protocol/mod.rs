//! Engines that speak the platform's line protocol: connections that each carry many requests at once.

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

/// Attempts from which on a connection is spared, as long as another may be opened: a connection that ends takes all
/// that it carries with it.
const PREFERRED_LOAD: usize = 4;
/// Commands that may wait for one connection.
const QUEUE: usize = 1024;

/// A connection as the engine's task sees it.
#[derive(Debug)]
struct Connection {
    commands: mpsc::Sender<EndpointCommand>,
    /// Attempts that it carries.
    load: Arc<AtomicUsize>,
    /// A request of these names goes to another connection.
    carried: CarriedRequests,
    /// The engine has moved to another address: what is in flight here may still end here, but nothing new is sent.
    retired: bool,
}

impl Connection {
    fn open(context: &EndpointContext, address: SocketAddr) -> Connection {
        let (commands, queue) = mpsc::channel(QUEUE);
        let load = Arc::new(AtomicUsize::new(0));
        tokio::spawn(connection::run(context.clone(), address, queue, load.clone()));
        Connection { commands, load, carried: CarriedRequests::default(), retired: false }
    }

    fn load(&self) -> usize {
        self.load.load(Ordering::Relaxed)
    }

    /// Whether it may carry one more attempt, of a request with this name, or a health check.
    fn accepts(&self, name: Option<&str>, max_streams: usize) -> bool {
        let may_confuse = name.is_some_and(|name| self.carried.contains(name));
        !self.retired && !may_confuse && self.load() < max_streams
    }

    /// Hands a command to the connection; gives it back where the connection does not accept it.
    fn send(&mut self, now: Micros, command: EndpointCommand) -> Option<EndpointCommand> {
        let name = request_name(&command).map(str::to_owned);
        match self.commands.try_send(command) {
            Ok(()) => {
                if let Some(name) = name {
                    self.load.fetch_add(1, Ordering::Relaxed);
                    self.carried.insert(now, &name);
                }
                None
            }
            Err(rejected) => Some(rejected.into_inner()),
        }
    }
}

/// The name of the request that a command starts an attempt of.
fn request_name(command: &EndpointCommand) -> Option<&str> {
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
            EndpointCommand::Address(address) => {
                pool.move_to(address);
                continue;
            }
            EndpointCommand::Cancel { .. } | EndpointCommand::SetPriority { .. } => {
                pool.send_to_all(&command);
                continue;
            }
            EndpointCommand::Start { .. } | EndpointCommand::HealthCheck => pool.send_to_one(command),
        };
        if let Some(command) = unsent
            && pool.context.unwritten(command, ConnectionEnd::NeverWritten).await.is_err()
        {
            return;
        }
    }
}

impl Pool {
    fn move_to(&mut self, address: SocketAddr) {
        if address == self.address {
            return;
        }
        self.address = address;
        self.connections.iter_mut().for_each(|connection| connection.retired = true);
    }

    /// Sends a command on an attempt to all connections: only the one that carries it knows, the others ignore it.
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

    /// Sends a command to the connection with the least load, which may be a new one; gives it back where none has
    /// capacity.
    fn send_to_one(&mut self, command: EndpointCommand) -> Option<EndpointCommand> {
        let limits = &self.context.limits;
        let max_streams = limits.streams;
        let name = request_name(&command);
        let is_light = |one: &Connection| one.accepts(name, max_streams) && one.load() < PREFERRED_LOAD;
        if !self.connections.iter().any(is_light) && self.connections.len() < limits.connections {
            self.connections.push(Connection::open(&self.context, self.address));
        }
        let now = self.context.clock.now();
        let usable = self.connections.iter_mut().filter(|one| one.accepts(name, max_streams));
        match usable.min_by_key(|one| one.load()) {
            Some(connection) => connection.send(now, command),
            None => Some(command),
        }
    }
}
