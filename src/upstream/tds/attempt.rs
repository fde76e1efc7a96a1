//! The execution of one attempt on a session: the batch, its response, and its cancellation.

use super::Task;
use super::session::Session;
use crate::clock::Micros;
use crate::core::{AttemptEvent, AttemptId, Call, ConnectionEnd, Row, Table};
use crate::decision::{ProgressNote, Usage};
use crate::log_text::single_line;
use crate::service::ServiceEnded;
use crate::tds::token::Token;
use crate::upstream::{EndpointContext, ResultBudget, progress_note, row_overhead_bytes, text_bytes};
use tokio::sync::mpsc;

/// Error numbers that say that the engine is full. The request was never executed.
const ERRORS_ENGINE_FULL: [u32; 2] = [10928, 40501];
/// Error number that says that the deadline had passed when the engine read the request. It was never executed.
const ERROR_DEADLINE_PASSED: u32 = 50504;
/// Number of INFO tokens with progress or usage of a running request.
const INFO_REQUEST_PROGRESS: u32 = 50100;

/// How the execution of a batch ended.
pub(super) enum BatchEnd {
    /// The engine answered the request, or acknowledged its cancellation.
    Answered(Result<Served, ConnectionEnd>),
    /// The session is broken, and the attempt is lost but in flight.
    Broken(ConnectionEnd),
}

/// A complete result.
pub(super) struct Served {
    /// The rows.
    pub(super) table: Table,
    /// What the request used, if the engine reported it.
    pub(super) usage: Option<Usage>,
}

/// An attempt in flight, and the part of its result received so far.
pub(super) struct Attempt<'a> {
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
    /// Creates the state of an attempt that was not sent yet.
    pub(super) fn new(context: &'a EndpointContext, id: AttemptId, call: &'a Call) -> Attempt<'a> {
        let budget = context.result_budget();
        Attempt { context, id, call, table: Table::default(), usage: None, error: None, budget }
    }

    /// Sends the batch and reads its response.
    pub(super) async fn execute(
        mut self,
        session: &mut Session,
        remaining: Micros,
        tasks: &mut mpsc::Receiver<Task>,
    ) -> BatchEnd {
        if let Err(end) = session.send_batch(&statement(self.call, remaining)).await {
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
                            true => BatchEnd::Answered(Err(ConnectionEnd::Cancelled)),
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
                return self.end(error, session.is_empty_result_ambiguous());
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

    /// Returns how the batch ended. The last DONE token says whether there was an error.
    fn end(self, done_with_error: bool, is_empty_result_ambiguous: bool) -> BatchEnd {
        let has_error = done_with_error || self.error.is_some();
        if !has_error && is_empty_result_ambiguous && self.table.columns.is_empty() {
            log::warn!(
                engine = self.context.engine, request:% = self.id;
                "empty result of a TDS engine may be a part of its answer to the login: attempt lost"
            );
            return BatchEnd::Broken(ConnectionEnd::Malformed);
        }
        BatchEnd::Answered(self.result(done_with_error))
    }

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
