//! Connections to the engines. Each engine has one task, which owns the connections to it.
//!
//! [`UpstreamPool`] passes the core's commands to the task of the engine that they name. The engine's task
//! ([`line_protocol`] or [`tds`]) opens connections. It reports progress notes, results and ends of attempts to the
//! core with its [`EndpointContext`].

mod closing;
mod discarded_sessions;
pub mod line_protocol;
mod pool;
pub mod tds;

pub use discarded_sessions::{DiscardReason, DiscardedSessions};
pub use pool::UpstreamPool;

use crate::clock::{Clock, Micros};
use crate::core::{
    AttemptEvent, AttemptId, Call, ConnectionEnd, HealthCheckResult, Input, ResultMemory, Row,
};
use crate::decision::{LoadReport, ProgressNote};
use crate::memory::{MemoryBudget, MemoryReservation};
use crate::service::{ServiceEnded, ServiceHandle};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;

/// Size limit of one result, in bytes.
const MAX_RESULT_BYTES: usize = 1 << 20;

/// A command for an engine's task.
#[derive(Debug)]
pub enum EndpointCommand {
    /// Start an attempt.
    Start {
        /// Request number and attempt number, which later commands and events use.
        attempt: AttemptId,
        /// The statement and the fields sent with it.
        call: Call,
    },
    /// Cancel an attempt.
    Cancel {
        /// The attempt to cancel.
        attempt: AttemptId,
        /// Whether to have the engine confirm at once that it has read the cancellation, not only with the next
        /// health check.
        confirm: bool,
    },
    /// Change the priority of an attempt.
    SetPriority {
        /// The attempt whose priority changes.
        attempt: AttemptId,
        /// The new priority, 0 to 3.
        priority: u8,
    },
    /// Check the engine's health and request its load report.
    HealthCheck,
    /// Use this address for new connections.
    SetAddress(SocketAddr),
}

/// Protocol of the connections to engines.
#[derive(Debug, Clone)]
pub enum UpstreamProtocol {
    /// The platform's line protocol, with many requests per connection.
    LineProtocol,
    /// TDS with one request at a time per connection. The value is the login of each connection.
    Tds(tds::Login),
}

/// Limits and timeouts of the connections to engines.
#[derive(Debug, Clone)]
pub struct UpstreamLimits {
    /// Time within which a connection has to be established.
    pub connect_timeout: Duration,
    /// Time within which a health check has to be answered.
    pub health_check_timeout: Micros,
    /// A connection ends when the engine owes a response and sends nothing for this long. If engines report progress,
    /// the same time limits how long an engine may send nothing about one request.
    pub silence_timeout: Micros,
    /// Whether engines send progress notes of each request that they execute. If they do not, the absence of notes says
    /// nothing about a request.
    pub engines_report_progress: bool,
    /// Time from the first byte of a response within which it has to be complete.
    pub incomplete_response_timeout: Micros,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Micros,
    /// Limit of the attempts that one connection carries at once.
    pub max_attempts_per_connection: usize,
    /// Limit of the connections to one engine.
    pub max_connections: usize,
    /// Limit of the sessions that all engines together open ahead of requests (TDS).
    pub max_sessions_ahead: usize,
}

/// Counts one result: its text, and its memory.
#[derive(Debug)]
pub struct ResultBudget {
    text_bytes: usize,
    memory: MemoryReservation,
}

/// The memory that every result gets, whatever the budget.
const SMALL_RESULT_BYTES: usize = 4096;
/// The estimated memory of a value beside its text.
const VALUE_MEMORY_BYTES: usize = size_of::<Option<String>>() + 16;
/// The estimated memory of a row beside its values.
const ROW_MEMORY_BYTES: usize = size_of::<Row>() + 16;

impl ResultBudget {
    /// Counts further text, and the memory that it occupies. Returns false if this result exceeds `MAX_RESULT_BYTES`, or
    /// the memory budget is used up.
    pub fn add(&mut self, text_bytes: usize, memory_bytes: usize) -> bool {
        self.text_bytes += text_bytes;
        self.text_bytes <= MAX_RESULT_BYTES && self.reserve(self.memory.bytes() + memory_bytes)
    }

    /// Reserves memory. A small result gets it whatever the budget, because the number of open requests is bounded.
    fn reserve(&mut self, bytes: usize) -> bool {
        if bytes <= SMALL_RESULT_BYTES {
            self.memory.resize(bytes);
            return true;
        }
        self.memory.try_resize(bytes).is_ok()
    }

    /// Counts the memory of rows instead of what was counted so far; `None` if the memory budget is used up.
    pub fn into_memory_of(mut self, rows: &[Row]) -> Option<ResultMemory> {
        let bytes: usize = rows.iter().map(|row| text_bytes(row) + row_overhead_bytes(row)).sum();
        self.reserve(bytes).then(|| self.into_memory())
    }

    /// Returns the memory that was counted.
    pub fn into_memory(self) -> ResultMemory {
        ResultMemory(Some(Arc::new(self.memory)))
    }
}

/// Returns the length of a row's values.
fn text_bytes(row: &Row) -> usize {
    row.iter().flatten().map(String::len).sum()
}

/// Returns the estimated memory of a row beside its text.
fn row_overhead_bytes(row: &Row) -> usize {
    ROW_MEMORY_BYTES + row.len() * VALUE_MEMORY_BYTES
}

/// What each connection to an engine needs in order to report to the core.
#[derive(Debug, Clone)]
pub struct EndpointContext {
    /// The engine's number, which the core assigned.
    pub engine: u64,
    /// Queue to the core.
    pub handle: ServiceHandle,
    /// Clock of all times that are reported to the core.
    pub clock: Clock,
    /// Limits and timeouts, the same for all engines.
    pub limits: UpstreamLimits,
    /// Memory budget of the process.
    pub memory: MemoryBudget,
    /// Counts of the sessions that carried no request.
    pub discarded_sessions: DiscardedSessions,
}

impl EndpointContext {
    /// Returns an empty budget for one result.
    pub fn result_budget(&self) -> ResultBudget {
        ResultBudget { text_bytes: 0, memory: self.memory.reservation() }
    }

    /// Reports an event of an attempt.
    ///
    /// # Errors
    /// Fails if the service has ended.
    pub async fn report_event(&self, attempt: AttemptId, event: AttemptEvent) -> Result<(), ServiceEnded> {
        self.handle.notify(Input::Attempt { attempt, event }).await
    }

    /// Reports that an attempt is lost: it will have no result, but is still in flight.
    ///
    /// # Errors
    /// Fails if the service has ended.
    pub async fn report_lost(&self, attempt: AttemptId, end: ConnectionEnd) -> Result<(), ServiceEnded> {
        self.report_event(attempt, AttemptEvent::Lost { end }).await
    }

    /// Reports that an attempt ended without a result.
    ///
    /// # Errors
    /// Fails if the service has ended.
    pub async fn report_ended(&self, attempt: AttemptId, end: ConnectionEnd) -> Result<(), ServiceEnded> {
        self.report_event(attempt, AttemptEvent::Ended { end, report: None }).await
    }

    /// Reports how a health check ended and how long it took.
    ///
    /// # Errors
    /// Fails if the service has ended.
    pub async fn report_health_check(
        &self,
        end: ConnectionEnd,
        report: Option<LoadReport>,
        elapsed: Micros,
    ) -> Result<(), ServiceEnded> {
        let result = HealthCheckResult { engine: self.engine, end, report, elapsed };
        self.handle.notify(Input::HealthChecked(result)).await
    }

    /// Reports that a command was never written to the engine. Only an attempt or a health check leads to a report.
    ///
    /// # Errors
    /// Fails if the service has ended.
    pub async fn report_unwritten(
        &self,
        command: EndpointCommand,
        end: ConnectionEnd,
    ) -> Result<(), ServiceEnded> {
        match command {
            EndpointCommand::Start { attempt, .. } => self.report_ended(attempt, end).await,
            EndpointCommand::HealthCheck => self.report_health_check(end, None, Micros(0)).await,
            EndpointCommand::Cancel { .. }
            | EndpointCommand::SetPriority { .. }
            | EndpointCommand::SetAddress(_) => Ok(()),
        }
    }
}

/// Sends a command about an attempt in flight to a task. If the queue is full, a cancellation waits for capacity, since
/// its attempt would go on without it. At most one cancellation waits for each attempt in flight. A change of
/// priority is dropped.
pub fn send_when_possible(queue: &mpsc::Sender<EndpointCommand>, command: EndpointCommand) {
    let Err(mpsc::error::TrySendError::Full(command)) = queue.try_send(command) else { return };
    if matches!(command, EndpointCommand::Cancel { .. }) {
        let queue = queue.clone();
        // An error says that the connection has ended. Its task reports the attempt's end.
        tokio::spawn(async move { drop(queue.send(command).await) });
    }
}

/// Amount of a `held` note that means waiting for a load. Other amounts mean waiting for memory.
const WAITS_FOR_LOAD: f64 = 2.0;

/// Returns the progress note with this name and amount; `None` if the name is unknown. Both protocols have the same names.
pub fn progress_note(name: &str, amount: f64) -> Option<ProgressNote> {
    match name {
        "share" => Some(ProgressNote::Progress(amount)),
        "short" => Some(ProgressNote::Spills(amount)),
        "held" if amount == WAITS_FOR_LOAD => Some(ProgressNote::WaitsForLoad),
        "held" => Some(ProgressNote::WaitsForMemory),
        _ => None,
    }
}

/// Returns how a connection attempt failed.
pub fn connect_failure(error: &std::io::Error) -> ConnectionEnd {
    match error.kind() {
        std::io::ErrorKind::ConnectionRefused => ConnectionEnd::ConnectRefused,
        _ => ConnectionEnd::ConnectTimeout,
    }
}

/// Returns how an established connection ended.
pub fn io_failure(error: &std::io::Error) -> ConnectionEnd {
    match error.kind() {
        std::io::ErrorKind::ConnectionReset | std::io::ErrorKind::BrokenPipe => ConnectionEnd::Reset,
        _ => ConnectionEnd::Broken,
    }
}

#[cfg(test)]
mod tests;
