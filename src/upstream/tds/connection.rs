//! One connection to a TDS engine: it opens a session, waits for a request, executes it and ends.

use super::attempt::{Attempt, BatchEnd, Served};
use super::health_check::check_health;
use super::session::{IdleEnd, Session};
use super::{ConnectionNumber, ConnectionReport, Login, Task};
use crate::core::{AttemptEvent, AttemptId, Call, ConnectionEnd};
use crate::service::ServiceEnded;
use crate::upstream::closing::report_written_attempts;
use crate::upstream::{DiscardReason, EndpointCommand, EndpointContext};
use std::net::SocketAddr;
use tokio::sync::mpsc;

/// Arguments of a connection's task.
pub(super) struct Setup {
    pub context: EndpointContext,
    pub address: SocketAddr,
    pub login: Login,
    pub number: ConnectionNumber,
    /// Queue of reports to the pool.
    pub reports: mpsc::Sender<ConnectionReport>,
}

/// Opens a session and executes one request on it. Ends without a request if the pool drops the connection.
pub(super) async fn run(setup: Setup, mut tasks: mpsc::Receiver<Task>) {
    if let Some(command) = setup.next_command(&mut tasks).await {
        // An error says that the service has ended, which ends the pool as well.
        let _ended = setup.execute(command, &mut tasks).await;
    }
    setup.report(ConnectionReport::Ended(setup.number)).await;
}

/// A command, with the session to carry it.
struct AssignedCommand {
    command: EndpointCommand,
    session: Result<Session, ConnectionEnd>,
}

impl Setup {
    async fn report(&self, report: ConnectionReport) {
        // An error says that the pool has ended, which needs no report.
        let _ended = self.reports.send(report).await;
    }

    /// Opens a session that can carry a request. On any error, no request was sent.
    async fn open_session(&self) -> Result<Session, ConnectionEnd> {
        let opening = Session::open(
            self.address,
            &self.login,
            self.context.clock.now(),
            self.context.memory.reservation(),
        );
        let opened = tokio::time::timeout(self.context.limits.connect_timeout, opening).await;
        let session = match opened.unwrap_or(Err(ConnectionEnd::ConnectTimeout)) {
            Ok(session) => session,
            Err(ConnectionEnd::ConnectRefused) => return Err(ConnectionEnd::ConnectRefused),
            Err(end) => {
                if end == ConnectionEnd::Malformed {
                    self.context.discarded_sessions.count(DiscardReason::UnexpectedData);
                }
                return Err(ConnectionEnd::ConnectTimeout);
            }
        };
        match session.check_idle() {
            Ok(()) => Ok(session),
            Err(end) => {
                self.discard(session, end.into());
                Err(ConnectionEnd::ConnectTimeout)
            }
        }
    }

    /// Opens a session and waits for a command. A session that can't carry one is replaced only if a command has been
    /// assigned to it. Returns `None` if the pool drops the connection.
    async fn next_command(&self, tasks: &mut mpsc::Receiver<Task>) -> Option<AssignedCommand> {
        let session = match self.open_session().await {
            Ok(session) => session,
            Err(end) => {
                self.report(ConnectionReport::Discarded(self.number)).await;
                let command = next_run(tasks).await?;
                return Some(AssignedCommand { command, session: Err(end) });
            }
        };
        self.report(ConnectionReport::Ready(self.number)).await;
        let discarded = tokio::select! {
            biased;
            command = next_run(tasks) => {
                let command = command?;
                match session.check_idle() {
                    Ok(()) => return Some(AssignedCommand { command, session: Ok(session) }),
                    Err(end) => {
                        self.discard(session, end.into());
                        return Some(AssignedCommand { command, session: self.open_session().await });
                    }
                }
            }
            end = session.idle_end() => end.into(),
            () = tokio::time::sleep(self.context.limits.idle_timeout.to_duration()) => DiscardReason::Idle,
        };
        self.discard(session, discarded);
        self.report(ConnectionReport::Discarded(self.number)).await;
        // The pool may have assigned a command before it received the report.
        let command = next_run(tasks).await?;
        Some(AssignedCommand { command, session: self.open_session().await })
    }

    /// Closes a session that carried no request.
    fn discard(&self, session: Session, reason: DiscardReason) {
        self.context.discarded_sessions.count(reason);
        let (engine, address) = (self.context.engine, self.address);
        match reason {
            DiscardReason::UnexpectedData => log::warn!(
                engine, address:%; "TDS engine sent data on an idle session: session closed, no request was on it"
            ),
            DiscardReason::ClosedByEngine | DiscardReason::Idle => log::debug!(
                engine, address:%, reason = reason.name(); "idle session with a TDS engine closed"
            ),
        }
        session.close();
    }

    async fn execute(
        &self,
        assigned: AssignedCommand,
        tasks: &mut mpsc::Receiver<Task>,
    ) -> Result<(), ServiceEnded> {
        let AssignedCommand { command, session } = assigned;
        let mut session = match session {
            Ok(session) => session,
            Err(end) => return self.context.report_unwritten(command, end).await,
        };
        match command {
            EndpointCommand::Start { attempt, call } => {
                self.run_attempt(session, attempt, &call, tasks).await
            }
            EndpointCommand::HealthCheck => {
                let checked = check_health(&self.context, &mut session).await;
                session.close();
                checked
            }
            _ => Ok(()),
        }
    }

    /// Executes an attempt and reports its end. A lost attempt ends once the engine has read the close.
    async fn run_attempt(
        &self,
        mut session: Session,
        attempt: AttemptId,
        call: &Call,
        tasks: &mut mpsc::Receiver<Task>,
    ) -> Result<(), ServiceEnded> {
        let Some(remaining) = call.permit.remaining(self.context.clock.now()) else {
            session.close();
            return self.context.report_ended(attempt, ConnectionEnd::NeverWritten).await;
        };
        let result =
            match Attempt::new(&self.context, attempt, call).execute(&mut session, remaining, tasks).await {
                BatchEnd::Answered(result) => result,
                BatchEnd::Broken(end) => {
                    tasks.close();
                    self.report(ConnectionReport::Ended(self.number)).await;
                    let (reader, writer) = session.into_split();
                    return report_written_attempts(&self.context, vec![attempt], end, reader, writer).await;
                }
            };
        session.close();
        self.report(ConnectionReport::Ended(self.number)).await;
        let event = match result {
            Ok(Served { table, usage }) => AttemptEvent::Served { table, usage, report: None },
            Err(end) => AttemptEvent::Ended { end, report: None },
        };
        self.context.report_event(attempt, event).await
    }
}

/// Returns the next command; `None` if the pool has dropped the connection. A cancellation without an attempt has no
/// effect.
async fn next_run(tasks: &mut mpsc::Receiver<Task>) -> Option<EndpointCommand> {
    loop {
        match tasks.recv().await? {
            Task::Run(command) => return Some(command),
            Task::Cancel(_) => {}
        }
    }
}

impl From<IdleEnd> for DiscardReason {
    fn from(end: IdleEnd) -> DiscardReason {
        match end {
            IdleEnd::UnexpectedData => DiscardReason::UnexpectedData,
            IdleEnd::Closed => DiscardReason::ClosedByEngine,
        }
    }
}
