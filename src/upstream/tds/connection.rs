//! One connection to a TDS engine. Its session is opened for the first task and executes one request at a time.

use super::session::Session;
use super::{ConnectionNumber, IdleReport, Login, Task};
use crate::clock::Micros;
use crate::core::AttemptId;
use crate::core::{AttemptEvent, Call, ConnectionEnd, Row, Table};
use crate::decision::{LoadReport, ProgressNote, Usage};
use crate::log_text::single_line;
use crate::service::ServiceEnded;
use crate::tds::packet;
use crate::tds::token::{self, Token};
use crate::upstream::closing::report_written_attempts;
use crate::upstream::line_protocol::load_report;
use crate::upstream::{
    EndpointCommand, EndpointContext, ResultBudget, progress_note, row_overhead_bytes, text_bytes,
};
use std::net::SocketAddr;
use tokio::sync::mpsc;

/// Error numbers that say that the engine is full. The request was never executed.
const ERRORS_ENGINE_FULL: [u32; 2] = [10928, 40501];
/// Error number that says that the deadline had passed when the engine read the request. It was never executed.
const ERROR_DEADLINE_PASSED: u32 = 50504;
/// Number of INFO tokens with progress or usage of a running request.
const INFO_REQUEST_PROGRESS: u32 = 50100;
/// Statement that requests the load report.
const HEALTH_CHECK_STATEMENT: &str = "/*probe='load'*/ SELECT util, queue, x0, x1 FROM sys.dm_engine_load";

/// Arguments of a connection's task.
pub(super) struct Setup {
    pub context: EndpointContext,
    pub address: SocketAddr,
    pub login: Login,
    pub number: ConnectionNumber,
    /// Queue of idle reports to the pool.
    pub idle: mpsc::Sender<IdleReport>,
}

/// How the execution of a batch ended.
enum BatchEnd {
    /// The engine answered the request, or acknowledged its cancellation.
    Answered {
        result: Result<Served, ConnectionEnd>,
        /// Whether the session can carry another request.
        reusable: bool,
    },
    /// The session is broken, and the attempt is lost but in flight.
    Broken(ConnectionEnd),
}

/// State of an attempt after its execution, and what it means for the session.
enum AttemptState {
    /// The attempt ended and its end is reported. The value says whether the session can carry another request.
    Ended(bool),
    /// The attempt is lost. The session has to be closed, which ends the attempt.
    Lost(ConnectionEnd),
}

/// A complete result.
struct Served {
    table: Table,
    usage: Option<Usage>,
}

/// Executes tasks until the session breaks or has been idle for the idle timeout.
pub(super) async fn run(setup: Setup, mut tasks: mpsc::Receiver<Task>) {
    let idle_timeout = setup.context.limits.idle_timeout.to_duration();
    let mut session: Option<Session> = None;
    loop {
        let Ok(Some(task)) = tokio::time::timeout(idle_timeout, tasks.recv()).await else { break };
        let Task::Run(command) = task else { continue };
        let (open, started_at) = (session.take(), setup.context.clock.now());
        let mut current = match open {
            Some(open) => open,
            None => match setup.open_session().await {
                Ok(opened) => opened,
                Err(end) => {
                    tasks.close();
                    let _ended = setup.context.report_unwritten(command, end).await;
                    break;
                }
            },
        };
        let reusable = match command {
            EndpointCommand::Start { attempt, call } => {
                match setup.run_attempt(&mut current, attempt, &call, &mut tasks).await {
                    Ok(AttemptState::Ended(reusable)) => reusable,
                    Ok(AttemptState::Lost(end)) => {
                        tasks.close();
                        let (reader, writer) = current.into_split();
                        let _ended =
                            report_written_attempts(&setup.context, vec![attempt], end, reader, writer).await;
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
        if setup.idle.send(IdleReport(setup.number)).await.is_err() {
            return;
        }
    }
    drop(tasks);
    let _ended = setup.idle.send(IdleReport(setup.number)).await;
}

impl Setup {
    async fn open_session(&self) -> Result<Session, ConnectionEnd> {
        let opening = Session::open(
            self.address,
            &self.login,
            self.context.clock.now(),
            self.context.memory.reservation(),
        );
        let opened = tokio::time::timeout(self.context.limits.connect_timeout, opening).await;
        opened.unwrap_or(Err(ConnectionEnd::ConnectTimeout))
    }

    /// Executes an attempt and reports its end, unless it is lost.
    async fn run_attempt(
        &self,
        session: &mut Session,
        attempt: AttemptId,
        call: &Call,
        tasks: &mut mpsc::Receiver<Task>,
    ) -> Result<AttemptState, ServiceEnded> {
        let Some(remaining) = call.permit.remaining(self.context.clock.now()) else {
            self.context.report_ended(attempt, ConnectionEnd::NeverWritten).await?;
            return Ok(AttemptState::Ended(true));
        };
        let batch_end = Attempt::new(&self.context, attempt, call).execute(session, remaining, tasks).await;
        let (result, reusable) = match batch_end {
            BatchEnd::Answered { result, reusable } => (result, reusable),
            BatchEnd::Broken(end) => return Ok(AttemptState::Lost(end)),
        };
        let event = match result {
            Ok(Served { table, usage }) => AttemptEvent::Served { table, usage, report: None },
            Err(end) => AttemptEvent::Ended { end, report: None },
        };
        self.context.report_event(attempt, event).await?;
        Ok(AttemptState::Ended(reusable))
    }

    /// Requests the load report and reports it to the core. Returns true if the session can carry another request.
    ///
    /// A health check without an answer in time is reported as timed out. A late answer is reported beside that, since
    /// it shows that the engine is up: without it, an engine whose answers are always late would stay ejected.
    async fn check_health(&self, session: &mut Session, started_at: Micros) -> Result<bool, ServiceEnded> {
        let limits = &self.context.limits;
        let query = query_load(session);
        tokio::pin!(query);
        let timeout = limits.health_check_timeout.to_duration();
        let result = match tokio::time::timeout(timeout, &mut query).await {
            Ok(result) => result,
            Err(_) => {
                self.report_health_check(started_at, ConnectionEnd::TimedOut, None).await?;
                let late = tokio::time::timeout(limits.silence_timeout.to_duration(), query).await;
                let Ok(Ok(report)) = late else { return Ok(false) };
                Ok(report)
            }
        };
        let (end, report) = match result {
            Ok(report) => (ConnectionEnd::Answered, Some(report)),
            Err(end) => (end, None),
        };
        self.report_health_check(started_at, end, report).await?;
        Ok(report.is_some())
    }

    async fn report_health_check(
        &self,
        started_at: Micros,
        end: ConnectionEnd,
        report: Option<LoadReport>,
    ) -> Result<(), ServiceEnded> {
        let elapsed = self.context.clock.now() - started_at;
        self.context.report_health_check(end, report, elapsed).await
    }
}

/// An attempt in flight, and the part of its result received so far.
struct Attempt<'a> {
    context: &'a EndpointContext,
    id: AttemptId,
    call: &'a Call,
    table: Table,
    usage: Option<Usage>,
    /// Number of the first error that the engine sent.
    error: Option<u32>,
    budget: ResultBudget,
}

impl<'a> Attempt<'a> {
    fn new(context: &'a EndpointContext, id: AttemptId, call: &'a Call) -> Attempt<'a> {
        let budget = context.result_budget();
        Attempt { context, id, call, table: Table::default(), usage: None, error: None, budget }
    }

    async fn execute(
        mut self,
        session: &mut Session,
        remaining: Micros,
        tasks: &mut mpsc::Receiver<Task>,
    ) -> BatchEnd {
        let batch = token::batch(&statement(self.call, remaining));
        if let Err(end) = session.send(packet::SQL_BATCH, &batch).await {
            return BatchEnd::Broken(end);
        }
        session.last_token_at = self.context.clock.now();
        loop {
            let limits = &self.context.limits;
            let silent_at = self.context.clock.instant(session.last_token_at + limits.silence_timeout);
            let token = tokio::select! {
                token = session.next_token() => match token {
                    Ok(token) => token,
                    Err(end) => return BatchEnd::Broken(end),
                },
                task = tasks.recv() => match task {
                    Some(Task::Cancel(cancelled)) if cancelled == self.id => {
                        return match session.cancel().await {
                            true => BatchEnd::Answered { result: Err(ConnectionEnd::Cancelled), reusable: true },
                            false => BatchEnd::Broken(ConnectionEnd::Cancelled),
                        };
                    }
                    Some(_) => continue,
                    None => return BatchEnd::Broken(ConnectionEnd::Cancelled),
                },
                // An engine sends progress notes as long as it executes a request. Health checks, which use other
                // connections, detect an engine that hangs.
                () = tokio::time::sleep_until(silent_at.into()), if limits.engines_report_progress => {
                    log::warn!(
                        engine = self.context.engine, request:% = self.id, name = self.call.client_request_id.as_str();
                        "TDS engine sent nothing about a request within the silence timeout: attempt lost"
                    );
                    return BatchEnd::Broken(ConnectionEnd::RequestSilent);
                }
            };
            session.last_token_at = self.context.clock.now();
            if let Token::Done { more: false, error, .. } = token {
                return BatchEnd::Answered {
                    result: self.result(error),
                    reusable: session.is_message_complete(),
                };
            }
            if let Err(end) = self.handle_token(token).await {
                return BatchEnd::Broken(end);
            }
        }
    }

    /// Adds one token of the response to the result.
    async fn handle_token(&mut self, token: Token) -> Result<(), ConnectionEnd> {
        match token {
            Token::Columns(columns) => {
                self.table.columns = columns.into_iter().map(|column| column.name).collect();
            }
            Token::Row(row) => self.add_row(row)?,
            Token::Info { number: INFO_REQUEST_PROGRESS, text } => match parse_info(&text) {
                Some(InfoContent::Note(note)) => {
                    let notified = self.context.report_event(self.id, AttemptEvent::ProgressNote(note)).await;
                    notified.map_err(|ServiceEnded| ConnectionEnd::Cancelled)?;
                }
                Some(InfoContent::Usage(usage)) => self.usage = Some(usage),
                None => {}
            },
            Token::Error { number, text } => {
                log::debug!(
                    engine = self.context.engine, request:% = self.id;
                    "TDS engine sent error {number}: {}", single_line(&text)
                );
                self.error.get_or_insert(number);
            }
            _ => {}
        }
        Ok(())
    }

    fn add_row(&mut self, row: Row) -> Result<(), ConnectionEnd> {
        let text = text_bytes(&row);
        if !self.budget.add(text, text + row_overhead_bytes(&row)) {
            log::warn!(
                engine = self.context.engine, request:% = self.id;
                "result of a TDS engine exceeds the buffer limit: attempt lost"
            );
            return Err(ConnectionEnd::RequestSilent);
        }
        self.table.rows.push(row);
        Ok(())
    }

    /// Returns the result at the end of the response. The last DONE token says whether there was an error.
    fn result(self, done_with_error: bool) -> Result<Served, ConnectionEnd> {
        match self.error {
            Some(number) if ERRORS_ENGINE_FULL.contains(&number) => Err(ConnectionEnd::AnsweredFull),
            Some(ERROR_DEADLINE_PASSED) => Err(ConnectionEnd::AnsweredOver),
            Some(_) => Err(ConnectionEnd::AnsweredError),
            None if done_with_error => Err(ConnectionEnd::AnsweredError),
            None => {
                let memory = self.budget.into_memory();
                Ok(Served { table: Table { memory, ..self.table }, usage: self.usage })
            }
        }
    }
}

/// Returns the statement with the request's fields in its first comment.
fn statement(call: &Call, remaining: Micros) -> String {
    let key = call.idempotency_key.as_ref().map(|key| format!(",key='{key}'")).unwrap_or_default();
    format!(
        "/*id='{}',class='{}',priority='{}',ttl_ms='{}'{key}*/ {}",
        call.client_request_id,
        call.class,
        call.priority,
        (remaining.0 / 1000).max(1),
        call.statement
    )
}

/// Content of an INFO token about a running request.
enum InfoContent {
    Note(ProgressNote),
    Usage(Usage),
}

/// Names of the notes, in the order in which they are looked for in the text of an INFO token.
const NOTE_NAMES: [&str; 3] = ["share", "short", "held"];

/// Parses the text of an INFO token: `share=0.4`, `short=64`, `held=1`, or `toil=120 room=64`.
fn parse_info(text: &str) -> Option<InfoContent> {
    let find = |name: &str| {
        let value = text.split(' ').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
        value.and_then(|value| value.parse::<f64>().ok()).filter(|value| value.is_finite())
    };
    if let Some(note) = NOTE_NAMES.iter().find_map(|name| progress_note(name, find(name)?)) {
        return Some(InfoContent::Note(note));
    }
    let work_ms = find("toil")?;
    Some(InfoContent::Usage(Usage { work_ms, memory_mb: find("room").unwrap_or(0.0) }))
}

/// Requests the load report of an engine.
async fn query_load(session: &mut Session) -> Result<LoadReport, ConnectionEnd> {
    session.send(packet::SQL_BATCH, &token::batch(HEALTH_CHECK_STATEMENT)).await?;
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
