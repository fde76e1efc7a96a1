//! Connections to the engines: one task for each engine, which keeps its connections.
//!
//! [`UpstreamPool`] carries out the core's commands on the engine that they name. The engine's task ([`line_protocol`]
//! or [`tds`]) opens connections, and reports notes, results and ends of attempts to the core by its
//! [`EndpointContext`].

mod closing;
pub mod line_protocol;
mod pool;
pub mod tds;

pub use pool::UpstreamPool;

use crate::clock::{Clock, Micros};
use crate::core::{AttemptEvent, AttemptId, Call, ConnectionEnd, HealthCheckResult, Input};
use crate::decision::LoadReport;
use crate::service::{ServiceEnded, ServiceHandle};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::sync::mpsc;

/// The longest result that is collected, in bytes.
const MAX_RESULT_BYTES: usize = 1 << 20;

/// A command for an engine's task.
#[derive(Debug)]
pub enum EndpointCommand {
    /// Start an attempt.
    Start {
        /// The attempt.
        attempt: AttemptId,
        /// What to send.
        call: Call,
    },
    /// Cancel an attempt.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
        /// Whether to report its end only once the engine has read the cancellation.
        confirm: bool,
    },
    /// Change the priority of an attempt.
    SetPriority {
        /// The attempt.
        attempt: AttemptId,
        /// The priority, 0 to 3.
        priority: u8,
    },
    /// Check the engine's health, and get its load report.
    HealthCheck,
    /// The engine listens at this address from now on.
    Address(SocketAddr),
}

/// The protocol that engines speak.
#[derive(Debug, Clone)]
pub enum UpstreamProtocol {
    /// The platform's line protocol.
    LineProtocol,
    /// TDS, with the login for each connection.
    Tds(tds::Login),
}

/// Limits and timeouts of the connections to engines.
#[derive(Debug, Clone)]
pub struct UpstreamLimits {
    /// A connection that is not established within this time counts as failed.
    pub connect_timeout: Duration,
    /// A health check without an answer within this time counts as timed out.
    pub probe_timeout: Micros,
    /// An engine that owes a response and sends nothing for this long counts as gone.
    pub silent_after: Micros,
    /// Whether engines report each request while it runs. Where they do not, silence about one means nothing.
    pub reports_progress: bool,
    /// A line of an engine's has to be complete within this time from its first byte.
    pub line_within: Micros,
    /// Idle connections are closed after this long.
    pub idle_after: Micros,
    /// Bytes of incomplete results that may be collected at once, over all engines.
    pub collected: usize,
    /// Attempts that one connection carries at once.
    pub streams: usize,
    /// Connections to one engine.
    pub connections: usize,
}

/// Bytes of a result that is not complete yet. They count in the sum over all engines until this is dropped.
#[derive(Debug)]
pub struct ResultBudget {
    bytes: usize,
    total: Arc<AtomicUsize>,
}

impl ResultBudget {
    /// Counts further bytes; false where they exceed the limit of one result, or the limit of all together.
    pub fn add(&mut self, bytes: usize, max_total: usize) -> bool {
        self.bytes += bytes;
        let total = self.total.fetch_add(bytes, Ordering::Relaxed) + bytes;
        self.bytes <= MAX_RESULT_BYTES && total <= max_total
    }
}

impl Drop for ResultBudget {
    fn drop(&mut self) {
        self.total.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// What each connection to an engine needs to report to the core.
#[derive(Debug, Clone)]
pub struct EndpointContext {
    /// The engine's number.
    pub engine: u64,
    /// Reaches the core.
    pub handle: ServiceHandle,
    /// The program's clock.
    pub clock: Clock,
    /// Limits and timeouts.
    pub limits: UpstreamLimits,
    /// Bytes of results that the connections of all engines are collecting now.
    pub collected: Arc<AtomicUsize>,
}

impl EndpointContext {
    /// Begins to collect a result.
    pub fn collect(&self) -> ResultBudget {
        ResultBudget { bytes: 0, total: self.collected.clone() }
    }

    /// Reports an event of an attempt.
    ///
    /// # Errors
    /// The service has ended.
    pub async fn news(&self, attempt: AttemptId, event: AttemptEvent) -> Result<(), ServiceEnded> {
        self.handle.notify(Input::Attempt { attempt, event }).await
    }

    /// Reports that an attempt will have no result, and that the engine may still execute it.
    ///
    /// # Errors
    /// The service has ended.
    pub async fn lost(&self, attempt: AttemptId, end: ConnectionEnd) -> Result<(), ServiceEnded> {
        self.news(attempt, AttemptEvent::Lost { end }).await
    }

    /// Reports the end of an attempt without a result.
    ///
    /// # Errors
    /// The service has ended.
    pub async fn ended(&self, attempt: AttemptId, end: ConnectionEnd) -> Result<(), ServiceEnded> {
        self.news(attempt, AttemptEvent::Ended { end, report: None }).await
    }

    /// Reports the end of a health check.
    ///
    /// # Errors
    /// The service has ended.
    pub async fn probed(
        &self,
        end: ConnectionEnd,
        report: Option<LoadReport>,
        elapsed: Micros,
    ) -> Result<(), ServiceEnded> {
        let result = HealthCheckResult { engine: self.engine, end, report, elapsed };
        self.handle.notify(Input::HealthChecked(result)).await
    }

    /// Reports a command that was never written to the engine.
    ///
    /// # Errors
    /// The service has ended.
    pub async fn unwritten(&self, command: EndpointCommand, end: ConnectionEnd) -> Result<(), ServiceEnded> {
        match command {
            EndpointCommand::Start { attempt, .. } => self.ended(attempt, end).await,
            EndpointCommand::HealthCheck => self.probed(end, None, Micros(0)).await,
            EndpointCommand::Cancel { .. }
            | EndpointCommand::SetPriority { .. }
            | EndpointCommand::Address(_) => Ok(()),
        }
    }
}

/// Sends a command on a running attempt, at once or as soon as the queue has capacity: a cancellation that is dropped
/// leaves its attempt running. At most one waits for each attempt in flight; a change of priority does not wait.
pub fn send_when_possible(queue: &mpsc::Sender<EndpointCommand>, command: EndpointCommand) {
    let Err(mpsc::error::TrySendError::Full(command)) = queue.try_send(command) else { return };
    if matches!(command, EndpointCommand::Cancel { .. }) {
        let queue = queue.clone();
        // An error says that the connection has ended, and the attempt with it.
        tokio::spawn(async move { drop(queue.send(command).await) });
    }
}

/// How an attempt to connect failed.
pub fn failed_connect(error: &std::io::Error) -> ConnectionEnd {
    match error.kind() {
        std::io::ErrorKind::ConnectionRefused => ConnectionEnd::ConnectRefused,
        _ => ConnectionEnd::ConnectTimeout,
    }
}

/// How an established connection ended.
pub fn failed_io(error: &std::io::Error) -> ConnectionEnd {
    match error.kind() {
        std::io::ErrorKind::ConnectionReset | std::io::ErrorKind::BrokenPipe => ConnectionEnd::Reset,
        _ => ConnectionEnd::Broken,
    }
}

#[cfg(test)]
mod tests;
