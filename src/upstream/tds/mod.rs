//! Engines that speak TDS. Each engine has a pool of connections, and each connection executes one request at a time.
//! What the line protocol sends as fields is in the first comment of the statement. Engines report progress and usage
//! in INFO tokens (`docs/tds.md`).

mod connection;
mod session;

use super::{EndpointCommand, EndpointContext};
use crate::core::AttemptId;
use crate::core::ConnectionEnd;
use std::collections::HashMap;
use std::net::SocketAddr;
use tokio::sync::mpsc;

pub use crate::tds::login::Login;

/// Tasks that may wait for one connection: a request and its cancellation.
const TASK_QUEUE: usize = 16;
/// Reports of idle connections that may wait for the pool.
const IDLE_QUEUE: usize = 1024;

/// A task of one connection.
#[derive(Debug)]
enum Task {
    /// Start an attempt or a health check.
    Run(EndpointCommand),
    /// Cancel this attempt if the connection is executing it.
    Cancel(AttemptId),
}

/// Number of a connection, unique in its pool.
type ConnectionNumber = usize;

/// Reports that the connection with this number has finished its task, or has ended.
#[derive(Debug)]
struct IdleReport(ConnectionNumber);

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
    /// The connection that carries each attempt.
    in_flight: HashMap<AttemptId, ConnectionNumber>,
    last_number: ConnectionNumber,
    idle: mpsc::Sender<IdleReport>,
}

/// Runs an engine's connections until the service ends.
pub async fn run(
    context: EndpointContext,
    address: SocketAddr,
    mut commands: mpsc::Receiver<EndpointCommand>,
    login: Login,
) {
    let (idle, mut idle_reports) = mpsc::channel::<IdleReport>(IDLE_QUEUE);
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
                if let Some(Rejected { command, end }) = pool.apply_command(command)
                    && pool.context.report_unwritten(command, end).await.is_err()
                {
                    return;
                }
            }
            report = idle_reports.recv() => {
                if let Some(IdleReport(number)) = report {
                    pool.mark_idle(number);
                }
            }
        }
    }
}

/// A command that no connection accepted, and the end to report for it.
struct Rejected {
    command: EndpointCommand,
    end: ConnectionEnd,
}

impl Pool {
    fn apply_command(&mut self, command: EndpointCommand) -> Option<Rejected> {
        match command {
            EndpointCommand::SetAddress(address) => self.address = address,
            // TDS cannot change the priority of a running batch, so the batch retains the priority it was sent with.
            EndpointCommand::SetPriority { .. } => {}
            // Engines acknowledge each Attention, so each cancellation is confirmed.
            EndpointCommand::Cancel { attempt, .. } => self.cancel(attempt),
            EndpointCommand::Start { .. } | EndpointCommand::HealthCheck => return self.start(command),
        }
        None
    }

    fn cancel(&self, attempt: AttemptId) {
        let number = self.in_flight.get(&attempt);
        let Some(connection) = number.and_then(|number| self.connections.get(number)) else { return };
        if connection.tasks.try_send(Task::Cancel(attempt)).is_err() {
            log::debug!(
                engine = self.context.engine, request:% = attempt;
                "cancellation dropped: attempt has already ended"
            );
        }
    }

    /// Passes a command to an idle connection, and opens one if there is none.
    fn start(&mut self, command: EndpointCommand) -> Option<Rejected> {
        self.connections.retain(|_, connection| !connection.tasks.is_closed());
        let number = match self.idle_connection() {
            Some(number) => number,
            None if self.connections.len() >= self.context.limits.max_connections => {
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
