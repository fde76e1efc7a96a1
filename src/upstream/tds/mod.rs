//! Engines that speak TDS. Each engine has a pool of connections. A connection logs in, executes one request and is
//! closed, since responses on this wire name no request; connections are opened ahead of requests, so that these do not
//! wait for the login. What the line protocol sends as fields is in the first comment of the statement. Engines report
//! progress and usage in INFO tokens (`docs/tds.md`).

mod attempt;
mod connection;
mod health_check;
mod session;
mod sessions_ahead;

use super::{EndpointCommand, EndpointContext};
use crate::core::AttemptId;
use crate::core::ConnectionEnd;
use sessions_ahead::SessionsAhead;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};
use tokio::time::MissedTickBehavior;

pub use crate::tds::login::Login;

/// Tasks that may wait for one connection: a request and its cancellation.
const TASK_QUEUE: usize = 16;
/// Reports of connections that may wait for the pool.
const REPORT_QUEUE: usize = 1024;
/// Interval at which the number of sessions ahead is adjusted.
const REVIEW_INTERVAL: Duration = Duration::from_secs(5);

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

/// A change of a connection's state.
#[derive(Debug)]
enum ConnectionReport {
    /// The session is logged in.
    Ready(ConnectionNumber),
    /// The session can't carry a request. If one is assigned to the connection, the connection still handles it.
    Discarded(ConnectionNumber),
    /// The connection has ended, or carries nothing but a lost attempt.
    Ended(ConnectionNumber),
}

#[derive(Debug)]
struct Connection {
    tasks: mpsc::Sender<Task>,
    /// The attempt that it carries.
    attempt: Option<AttemptId>,
    /// The permit to be open ahead of requests, until it carries one.
    ahead_permit: Option<OwnedSemaphorePermit>,
}

/// The connections to one engine.
struct Pool {
    context: EndpointContext,
    address: SocketAddr,
    login: Login,
    connections: HashMap<ConnectionNumber, Connection>,
    /// The connection that carries each attempt.
    in_flight: HashMap<AttemptId, ConnectionNumber>,
    ahead: SessionsAhead,
    /// Permits for sessions ahead, which all engines share.
    ahead_permits: Arc<Semaphore>,
    /// Whether a session ahead was taken since the last ones were opened.
    is_refill_due: bool,
    last_number: ConnectionNumber,
    reports: mpsc::Sender<ConnectionReport>,
}

/// Runs an engine's connections until the service ends. `ahead_permits` limits the sessions that all engines together
/// open ahead of requests.
pub async fn run(
    context: EndpointContext,
    address: SocketAddr,
    mut commands: mpsc::Receiver<EndpointCommand>,
    login: Login,
    ahead_permits: Arc<Semaphore>,
) {
    let (reports, mut received_reports) = mpsc::channel::<ConnectionReport>(REPORT_QUEUE);
    let mut pool = Pool {
        context,
        address,
        login,
        connections: HashMap::new(),
        in_flight: HashMap::new(),
        ahead: SessionsAhead::new(),
        ahead_permits,
        is_refill_due: false,
        last_number: 0,
        reports,
    };
    let mut reviews = tokio::time::interval(REVIEW_INTERVAL);
    reviews.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            // A connection that has ended makes room for the next command.
            biased;
            report = received_reports.recv() => {
                if let Some(report) = report {
                    pool.apply_report(report);
                }
            }
            _ = reviews.tick() => pool.review_sessions_ahead(),
            command = commands.recv() => {
                let Some(command) = command else { return };
                if let Some(Rejected { command, end }) = pool.apply_command(command)
                    && pool.context.report_unwritten(command, end).await.is_err()
                {
                    return;
                }
            }
            // Requests that wait are sent first.
            () = std::future::ready(()), if pool.is_refill_due => pool.open_sessions_ahead(),
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
            EndpointCommand::SetAddress(address) => self.set_address(address),
            // TDS cannot change the priority of a running batch, so the batch retains the priority it was sent with.
            EndpointCommand::SetPriority { .. } => {}
            // Engines acknowledge each Attention, so each cancellation is confirmed.
            EndpointCommand::Cancel { attempt, .. } => self.cancel(attempt),
            EndpointCommand::Start { .. } | EndpointCommand::HealthCheck => {
                return self.start(command);
            }
        }
        None
    }

    /// Uses this address from now on. Sessions ahead at another address are closed.
    fn set_address(&mut self, address: SocketAddr) {
        if self.address == address {
            return;
        }
        self.address = address;
        for number in self.ahead.clear() {
            self.connections.remove(&number);
        }
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

    /// Passes a command to a connection that is open ahead, and opens one if there is none.
    fn start(&mut self, command: EndpointCommand) -> Option<Rejected> {
        self.is_refill_due = true;
        let number = match self.ahead.take() {
            Some(number) => number,
            None if self.connections.len() >= self.context.limits.max_connections => {
                return Some(Rejected { command, end: ConnectionEnd::ConnectTimeout });
            }
            None => self.open_connection(None),
        };
        let connection = self.connections.get_mut(&number)?;
        connection.ahead_permit = None;
        connection.attempt = match &command {
            EndpointCommand::Start { attempt, .. } => Some(*attempt),
            _ => None,
        };
        let attempt = connection.attempt;
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

    /// Opens sessions ahead of the next requests, as many as the limits allow.
    fn open_sessions_ahead(&mut self) {
        self.is_refill_due = false;
        for _ in 0..self.ahead.missing() {
            if self.connections.len() >= self.context.limits.max_connections {
                return;
            }
            let Ok(permit) = self.ahead_permits.clone().try_acquire_owned() else { return };
            let number = self.open_connection(Some(permit));
            self.ahead.add_opening(number);
        }
    }

    fn open_connection(&mut self, ahead_permit: Option<OwnedSemaphorePermit>) -> ConnectionNumber {
        self.last_number += 1;
        let number = self.last_number;
        let (tasks, queue) = mpsc::channel(TASK_QUEUE);
        let setup = connection::Setup {
            context: self.context.clone(),
            address: self.address,
            login: self.login.clone(),
            number,
            reports: self.reports.clone(),
        };
        tokio::spawn(connection::run(setup, queue));
        self.connections.insert(number, Connection { tasks, attempt: None, ahead_permit });
        number
    }

    fn apply_report(&mut self, report: ConnectionReport) {
        match report {
            ConnectionReport::Ready(number) => self.ahead.mark_ready(number),
            ConnectionReport::Discarded(number) => {
                if self.ahead.discard(number) {
                    self.connections.remove(&number);
                }
            }
            ConnectionReport::Ended(number) => {
                let ended = self.connections.remove(&number);
                if let Some(attempt) = ended.and_then(|connection| connection.attempt) {
                    self.in_flight.remove(&attempt);
                }
            }
        }
    }

    /// Adjusts the number of sessions ahead. Those that are too many are closed.
    fn review_sessions_ahead(&mut self) {
        for number in self.ahead.review() {
            self.connections.remove(&number);
        }
    }
}
