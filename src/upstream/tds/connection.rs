//! One connection to a TDS engine: a session that is opened for the first task, then one request at a time.

use super::session::Session;
use super::{ConnectionNumber, Idle, Login, Task};
use crate::clock::Micros;
use crate::core::AttemptId;
use crate::core::{AttemptEvent, Call, ConnectionEnd, Row, Table};
use crate::decision::{LoadReport, ProgressNote, Usage};
use crate::service::ServiceEnded;
use crate::tds::packet;
use crate::tds::token::{self, Token};
use crate::upstream::closing::report_written;
use crate::upstream::line_protocol::load_report;
use crate::upstream::{EndpointCommand, EndpointContext, ResultBudget};
use std::net::SocketAddr;
use tokio::sync::mpsc;

/// Error numbers that say that the engine is full: the request never ran.
const ERRORS_FULL: [u32; 2] = [10928, 40501];
/// Error number that says that the request's time was over when it was read: it never ran.
const ERROR_EXPIRED: u32 = 50504;
/// Number of the INFO tokens that report on a running request.
const INFO_PROGRESS: u32 = 50100;
/// The statement that asks an engine for its load report.
const HEALTH_CHECK: &str = "/*probe='load'*/ SELECT util, queue, x0, x1 FROM sys.dm_engine_load";

/// What a connection needs.
pub(super) struct Setup {
    pub context: EndpointContext,
    pub address: SocketAddr,
    pub login: Login,
    pub number: ConnectionNumber,
    /// Where the connection reports that it is idle.
    pub idle: mpsc::Sender<Idle>,
}

/// How a request ended.
enum Finish {
    /// The engine answered it, or acknowledged that it is cancelled.
    Answered {
        result: Result<Served, ConnectionEnd>,
        /// Whether the session can carry another request.
        reusable: bool,
    },
    /// The session can't be used any more, and the engine may still execute it.
    Broken(ConnectionEnd),
}

/// What is left to do after an attempt.
enum AttemptFinish {
    /// Its end is reported. Says whether the session can carry another request.
    SessionUsable(bool),
    /// The session is to be closed, and the attempt is over with that.
    Lost(ConnectionEnd),
}

/// A complete result.
struct Served {
    table: Table,
    usage: Option<Usage>,
}

/// Carries out tasks until the session breaks or is idle for too long.
pub(super) async fn run(setup: Setup, mut tasks: mpsc::Receiver<Task>) {
    let idle_after = setup.context.limits.idle_after.to_duration();
    let mut session: Option<Session> = None;
    loop {
        let Ok(Some(task)) = tokio::time::timeout(idle_after, tasks.recv()).await else { break };
        let Task::Run(command) = task else { continue };
        let (open, started_at) = (session.take(), setup.context.clock.now());
        let mut current = match open {
            Some(open) => open,
            None => match setup.open_session().await {
                Ok(opened) => opened,
                Err(end) => {
                    tasks.close();
                    let _ended = setup.context.unwritten(command, end).await;
                    break;
                }
            },
        };
        let reusable = match command {
            EndpointCommand::Start { attempt, call } => {
                match setup.run_attempt(&mut current, attempt, &call, &mut tasks).await {
                    Ok(AttemptFinish::SessionUsable(reusable)) => reusable,
                    Ok(AttemptFinish::Lost(end)) => {
                        tasks.close();
                        let (reader, writer) = current.into_split();
                        let _ended = report_written(&setup.context, vec![attempt], end, reader, writer).await;
                        break;
                    }
                    Err(ServiceEnded) => return,
                }
            }
            EndpointCommand::HealthCheck => {
                matches!(setup.check_health(&mut current, started_at).await, Ok(true))
            }
            _ => true,
        };
        if !reusable {
            tasks.close();
            break;
        }
        session = Some(current);
        if setup.idle.send(Idle(setup.number)).await.is_err() {
            return;
        }
    }
    drop(tasks);
    let _ended = setup.idle.send(Idle(setup.number)).await;
}

impl Setup {
    async fn open_session(&self) -> Result<Session, ConnectionEnd> {
        let opening = Session::open(self.address, &self.login, self.context.clock.now());
        let opened = tokio::time::timeout(self.context.limits.connect_timeout, opening).await;
        opened.unwrap_or(Err(ConnectionEnd::ConnectTimeout))
    }

    /// Runs an attempt and reports its end, unless it is lost.
    async fn run_attempt(
        &self,
        session: &mut Session,
        attempt: AttemptId,
        call: &Call,
        tasks: &mut mpsc::Receiver<Task>,
    ) -> Result<AttemptFinish, ServiceEnded> {
        let Some(remaining) = call.permit.remaining(self.context.clock.now()) else {
            self.context.ended(attempt, ConnectionEnd::NeverWritten).await?;
            return Ok(AttemptFinish::SessionUsable(true));
        };
        let finish = Attempt::new(&self.context, attempt, call).run(session, remaining, tasks).await;
        let (result, reusable) = match finish {
            Finish::Answered { result, reusable } => (result, reusable),
            Finish::Broken(end) => return Ok(AttemptFinish::Lost(end)),
        };
        let event = match result {
            Ok(Served { table, usage }) => AttemptEvent::Served { table, usage, report: None },
            Err(end) => AttemptEvent::Ended { end, report: None },
        };
        self.context.news(attempt, event).await?;
        Ok(AttemptFinish::SessionUsable(reusable))
    }

    /// Asks for the load report and reports it; true where the session can carry another request.
    async fn check_health(&self, session: &mut Session, started_at: Micros) -> Result<bool, ServiceEnded> {
        let timeout = self.context.limits.probe_timeout.to_duration();
        let (end, report) = match tokio::time::timeout(timeout, query_load(session)).await {
            Ok(Ok(report)) => (ConnectionEnd::Answered, Some(report)),
            Ok(Err(end)) => (end, None),
            Err(_) => (ConnectionEnd::TimedOut, None),
        };
        let elapsed = self.context.clock.now() - started_at;
        let answered = report.is_some();
        self.context.probed(end, report, elapsed).await?;
        Ok(answered)
    }
}

/// A running attempt, and what has come of its result.
struct Attempt<'a> {
    context: &'a EndpointContext,
    id: AttemptId,
    call: &'a Call,
    table: Table,
    usage: Option<Usage>,
    /// The first error that the engine sent.
    error: Option<u32>,
    budget: ResultBudget,
}

impl<'a> Attempt<'a> {
    fn new(context: &'a EndpointContext, id: AttemptId, call: &'a Call) -> Attempt<'a> {
        let budget = context.collect();
        Attempt { context, id, call, table: Table::default(), usage: None, error: None, budget }
    }

    async fn run(
        mut self,
        session: &mut Session,
        remaining: Micros,
        tasks: &mut mpsc::Receiver<Task>,
    ) -> Finish {
        let batch = token::batch(&statement(self.call, remaining));
        if let Err(end) = session.send(packet::SQL_BATCH, &batch).await {
            return Finish::Broken(end);
        }
        session.last_token = self.context.clock.now();
        loop {
            let limits = &self.context.limits;
            let silent_at = self.context.clock.instant(session.last_token + limits.silent_after);
            let token = tokio::select! {
                token = session.next_token() => match token {
                    Ok(token) => token,
                    Err(end) => return Finish::Broken(end),
                },
                task = tasks.recv() => match task {
                    Some(Task::Cancel(cancelled)) if cancelled == self.id => {
                        return match session.cancel().await {
                            true => Finish::Answered { result: Err(ConnectionEnd::Cancelled), reusable: true },
                            false => Finish::Broken(ConnectionEnd::Cancelled),
                        };
                    }
                    Some(_) => continue,
                    None => return Finish::Broken(ConnectionEnd::Cancelled),
                },
                // An engine that runs a request reports on it all the time. Whether the engine itself hangs is for the
                // health checks to find, which have connections of their own.
                () = tokio::time::sleep_until(silent_at.into()), if limits.reports_progress => {
                    log::warn!("a TDS engine says no more of request {}: given up there", self.call.name);
                    return Finish::Broken(ConnectionEnd::RequestSilent);
                }
            };
            session.last_token = self.context.clock.now();
            if let Token::Done { more: false, error, .. } = token {
                return Finish::Answered {
                    result: self.result(error),
                    reusable: session.is_message_complete(),
                };
            }
            if let Err(end) = self.token(token).await {
                return Finish::Broken(end);
            }
        }
    }

    /// Takes one token of the answer in.
    async fn token(&mut self, token: Token) -> Result<(), ConnectionEnd> {
        match token {
            Token::Columns(columns) => {
                self.table.columns = columns.into_iter().map(|column| column.name).collect();
            }
            Token::Row(row) => self.row(row)?,
            Token::Info { number: INFO_PROGRESS, text } => match progress(&text) {
                Some(Progress::Note(note)) => {
                    let notified = self.context.news(self.id, AttemptEvent::Note(note)).await;
                    notified.map_err(|ServiceEnded| ConnectionEnd::Cancelled)?;
                }
                Some(Progress::Usage(usage)) => self.usage = Some(usage),
                None => {}
            },
            Token::Error { number, text } => {
                log::debug!("an engine's error: {number} {text}");
                self.error.get_or_insert(number);
            }
            _ => {}
        }
        Ok(())
    }

    fn row(&mut self, row: Row) -> Result<(), ConnectionEnd> {
        let bytes = row.iter().flatten().map(String::len).sum();
        if !self.budget.add(bytes, self.context.limits.collected) {
            log::warn!("a TDS engine's result is too long: given up there");
            return Err(ConnectionEnd::RequestSilent);
        }
        self.table.rows.push(row);
        Ok(())
    }

    /// The result at the end of the answer, whose last token says whether there was an error.
    fn result(self, done_with_error: bool) -> Result<Served, ConnectionEnd> {
        match self.error {
            Some(number) if ERRORS_FULL.contains(&number) => Err(ConnectionEnd::AnsweredFull),
            Some(ERROR_EXPIRED) => Err(ConnectionEnd::AnsweredOver),
            Some(_) => Err(ConnectionEnd::AnsweredError),
            None if done_with_error => Err(ConnectionEnd::AnsweredError),
            None => Ok(Served { table: self.table, usage: self.usage }),
        }
    }
}

/// The statement with the request's fields in its first comment.
fn statement(call: &Call, remaining: Micros) -> String {
    let key = call.idempotency_key.as_ref().map(|key| format!(",key='{key}'")).unwrap_or_default();
    format!(
        "/*id='{}',class='{}',priority='{}',ttl_ms='{}'{key}*/ {}",
        call.name,
        call.class,
        call.priority,
        (remaining.0 / 1000).max(1),
        call.statement
    )
}

/// What an engine reports of a running request.
enum Progress {
    Note(ProgressNote),
    Usage(Usage),
}

/// Parses a report on a running request: `share=0.4`, `short=64`, `held=1`, or `toil=120 room=64`.
fn progress(text: &str) -> Option<Progress> {
    /// The amount of `held` that stands for a load.
    const WAITS_FOR_LOAD: f64 = 2.0;
    let find = |name: &str| {
        let value = text.split(' ').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
        value.and_then(|value| value.parse::<f64>().ok()).filter(|value| value.is_finite())
    };
    let note = if let Some(fraction) = find("share") {
        ProgressNote::Progress(fraction)
    } else if let Some(megabytes) = find("short") {
        ProgressNote::Spills(megabytes)
    } else if let Some(amount) = find("held") {
        match amount == WAITS_FOR_LOAD {
            true => ProgressNote::WaitsForLoad,
            false => ProgressNote::WaitsForMemory,
        }
    } else {
        let work_ms = find("toil")?;
        return Some(Progress::Usage(Usage { work_ms, memory_mb: find("room").unwrap_or(0.0) }));
    };
    Some(Progress::Note(note))
}

/// Asks an engine for its load report.
async fn query_load(session: &mut Session) -> Result<LoadReport, ConnectionEnd> {
    session.send(packet::SQL_BATCH, &token::batch(HEALTH_CHECK)).await?;
    let mut columns = Vec::new();
    let mut row = Row::new();
    loop {
        match session.next_token().await? {
            Token::Columns(reported) => columns = reported,
            Token::Row(reported) => row = reported,
            Token::Error { .. } => return Err(ConnectionEnd::AnsweredError),
            Token::Done { more: false, .. } => break,
            _ => {}
        }
    }
    let cells = columns.iter().zip(row);
    let pairs = cells.filter_map(|(column, cell)| Some(format!("{}:{}", column.name, cell?)));
    Ok(load_report(&pairs.collect::<Vec<_>>().join(";")))
}
