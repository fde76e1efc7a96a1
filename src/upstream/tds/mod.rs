//! Engines that speak TDS: a pool of connections, each with one request at a time. What the line protocol has as fields
//! travels in the statement's first comment, and engines report progress and usage in INFO tokens (`docs/tds.md`).

mod connection;
mod session;

use super::{EndpointCommand, EndpointContext};
use crate::core::AttemptId;
use crate::core::ConnectionEnd;
use std::collections::HashMap;
use std::net::SocketAddr;
use tokio::sync::mpsc;

pub use crate::tds::login::Login;

/// Tasks that may wait for one connection: the request that it runs, and its cancellation.
const TASK_QUEUE: usize = 16;
/// Reports of idle connections that may wait for the pool.
const IDLE_QUEUE: usize = 1024;

/// What a connection is to do.
#[derive(Debug)]
enum Task {
    /// Start an attempt or a health check.
    Run(EndpointCommand),
    /// Cancel this attempt, where it is the one that runs.
    Cancel(AttemptId),
}

/// The number of a connection in its pool.
type ConnectionNumber = usize;

/// A connection has finished its task, or has ended.
#[derive(Debug)]
struct Idle(ConnectionNumber);

#[derive(Debug)]
struct Connection {
    tasks: mpsc::Sender<Task>,
    address: SocketAddr,
    busy: bool,
}

/// The connections to one engine.
struct Pool {
    context: EndpointContext,
    address: SocketAddr,
    login: Login,
    connections: HashMap<ConnectionNumber, Connection>,
    /// Which connection carries an attempt.
    in_flight: HashMap<AttemptId, ConnectionNumber>,
    last_number: ConnectionNumber,
    idle: mpsc::Sender<Idle>,
}

/// Runs an engine's connections until the service ends.
pub async fn run(
    context: EndpointContext,
    address: SocketAddr,
    mut commands: mpsc::Receiver<EndpointCommand>,
    login: Login,
) {
    let (idle, mut idle_reports) = mpsc::channel::<Idle>(IDLE_QUEUE);
    let mut pool = Pool {
        context,
        address,
        login,
        connections: HashMap::new(),
        in_flight: HashMap::new(),
        last_number: 0,
        idle,
    };
    loop {
        tokio::select! {
            command = commands.recv() => {
                let Some(command) = command else { return };
                if let Some(Rejected { command, end }) = pool.carry_out(command)
                    && pool.context.unwritten(command, end).await.is_err()
                {
                    return;
                }
            }
            report = idle_reports.recv() => {
                if let Some(Idle(number)) = report {
                    pool.mark_idle(number);
                }
            }
        }
    }
}

/// A command that no connection accepts, and the end to report for it.
struct Rejected {
    command: EndpointCommand,
    end: ConnectionEnd,
}

impl Pool {
    fn carry_out(&mut self, command: EndpointCommand) -> Option<Rejected> {
        match command {
            EndpointCommand::Address(address) => self.address = address,
            // TDS cannot change the priority of a batch that runs: it keeps the one that it was sent with.
            EndpointCommand::SetPriority { .. } => {}
            // An attention is acknowledged by its own token, so each cancellation is confirmed.
            EndpointCommand::Cancel { attempt, .. } => self.cancel(attempt),
            EndpointCommand::Start { .. } | EndpointCommand::HealthCheck => return self.start(command),
        }
        None
    }

    fn cancel(&self, attempt: AttemptId) {
        let number = self.in_flight.get(&attempt);
        let Some(connection) = number.and_then(|number| self.connections.get(number)) else { return };
        if connection.tasks.try_send(Task::Cancel(attempt)).is_err() {
            log::debug!("an attempt was over before its stop");
        }
    }

    /// Hands a command to an idle connection, which may be a new one.
    fn start(&mut self, command: EndpointCommand) -> Option<Rejected> {
        self.connections.retain(|_, connection| !connection.tasks.is_closed());
        let number = match self.idle_connection() {
            Some(number) => number,
            None if self.connections.len() >= self.context.limits.connections => {
                return Some(Rejected { command, end: ConnectionEnd::ConnectTimeout });
            }
            None => self.open_connection(),
        };
        let connection = self.connections.get_mut(&number)?;
        connection.busy = true;
        let attempt = match &command {
            EndpointCommand::Start { attempt, .. } => Some(*attempt),
            _ => None,
        };
        match connection.tasks.try_send(Task::Run(command)) {
            Ok(()) => {
                self.in_flight.extend(attempt.map(|attempt| (attempt, number)));
                None
            }
            Err(rejected) => match rejected.into_inner() {
                Task::Run(command) => Some(Rejected { command, end: ConnectionEnd::NeverWritten }),
                Task::Cancel(_) => None,
            },
        }
    }

    fn idle_connection(&self) -> Option<ConnectionNumber> {
        let mut connections = self.connections.iter();
        let is_idle = |connection: &Connection| !connection.busy && connection.address == self.address;
        connections.find(|(_, connection)| is_idle(connection)).map(|(number, _)| *number)
    }

    fn open_connection(&mut self) -> ConnectionNumber {
        self.last_number += 1;
        let number = self.last_number;
        let (tasks, queue) = mpsc::channel(TASK_QUEUE);
        let setup = connection::Setup {
            context: self.context.clone(),
            address: self.address,
            login: self.login.clone(),
            number,
            idle: self.idle.clone(),
        };
        tokio::spawn(connection::run(setup, queue));
        self.connections.insert(number, Connection { tasks, address: self.address, busy: false });
        number
    }

    fn mark_idle(&mut self, number: ConnectionNumber) {
        let connections = &mut self.connections;
        connections.retain(|_, connection| !connection.tasks.is_closed());
        self.in_flight.retain(|_, carrier| *carrier != number && connections.contains_key(carrier));
        if let Some(connection) = connections.get_mut(&number) {
            connection.busy = false;
        }
    }
}
