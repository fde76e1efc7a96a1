//! An attempt to execute a request on an engine: the call that is sent, and the events that report on it.

use super::Table;
use crate::core::SendPermit;
use crate::decision::{LoadReport, Outcome, ProgressNote, Usage};
use std::fmt;
use std::sync::Arc;

/// Identifies an attempt in this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The request id.
    pub request: u64,
    /// The number among the attempts of this request, from 0.
    pub number: u32,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{}.{}", self.request, self.number)
    }
}

/// The content of an attempt, which a connection writes to the engine.
#[derive(Debug, Clone)]
pub struct Call {
    /// Permits the connection to write the call, and bounds how long the client waits for the result.
    pub permit: SendPermit,
    /// The client request id.
    pub client_request_id: String,
    /// The name of the request's class.
    pub class: String,
    /// The idempotency key, if the client sent one.
    pub idempotency_key: Option<String>,
    /// The SQL statement.
    pub statement: Arc<str>,
    /// The priority, 0 to 3.
    pub priority: u8,
}

/// How a connection, or an attempt or health check on it, ended. The log shows these names.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// The engine answered with a result.
    Answered,
    /// The engine answered with an error.
    AnsweredError,
    /// The engine answered that it has no capacity, and did not execute the attempt.
    AnsweredFull,
    /// The engine answered that the deadline has passed, and did not execute the attempt.
    AnsweredOver,
    /// The engine refused the connection.
    ConnectRefused,
    /// The connection was not established within the timeout, or no file descriptor was available for it.
    ConnectTimeout,
    /// The connection was established, but ended before the attempt was written to it.
    NeverWritten,
    /// The engine closed the connection before it answered.
    Closed,
    /// The manager closed the connection because another request on it required that, or because it was idle.
    ClosedHere,
    /// The connection was reset before the engine answered.
    Reset,
    /// The network failed. This is no evidence of a fault of the engine.
    Broken,
    /// The engine's response can't be parsed.
    Malformed,
    /// The engine sent nothing within the time allowed.
    Silent,
    /// The engine still sent progress notes on other attempts, but none on this one.
    RequestSilent,
    /// The engine did not answer within the timeout.
    TimedOut,
    /// The manager cancelled the attempt.
    Cancelled,
}

impl ConnectionEnd {
    /// Maps the end to the outcome that the scheduler counts. No other code does this mapping.
    pub fn outcome(self) -> Outcome {
        match self {
            ConnectionEnd::Answered => Outcome::Served,
            ConnectionEnd::AnsweredError => Outcome::ServerError,
            ConnectionEnd::AnsweredFull => Outcome::EngineFull,
            ConnectionEnd::AnsweredOver => Outcome::NotSent,
            ConnectionEnd::ConnectRefused | ConnectionEnd::ConnectTimeout | ConnectionEnd::NeverWritten => {
                Outcome::NoConnection
            }
            // The attempt was written, so it was possibly executed.
            ConnectionEnd::Closed
            | ConnectionEnd::ClosedHere
            | ConnectionEnd::Reset
            | ConnectionEnd::Broken
            | ConnectionEnd::Silent => Outcome::ConnectionLost,
            // The engine reads and answers, so the fault is the connection's and not the engine's.
            ConnectionEnd::Malformed | ConnectionEnd::RequestSilent => Outcome::CorruptedResponse,
            ConnectionEnd::TimedOut => Outcome::TimedOut,
            ConnectionEnd::Cancelled => Outcome::Cancelled,
        }
    }
}

/// What an engine or its connection reports of an attempt.
#[derive(Debug, Clone, PartialEq)]
pub enum AttemptEvent {
    /// The engine is executing the attempt, and sent a progress note.
    ProgressNote(ProgressNote),
    /// The attempt ended with a result.
    Served {
        /// The complete result.
        table: Table,
        /// The resources that the attempt used; `None` if the engine does not report them.
        usage: Option<Usage>,
        /// The engine's load report; `None` if the engine sent none.
        report: Option<LoadReport>,
    },
    /// The attempt will have no result, but the engine may be executing it still. [`AttemptEvent::Ended`] follows
    /// once the engine is known to have discarded it, which may never happen.
    Lost {
        /// The cause of the loss.
        end: ConnectionEnd,
    },
    /// The attempt ended without a result. Either the engine never received it, or it no longer executes it.
    Ended {
        /// How the attempt ended.
        end: ConnectionEnd,
        /// The engine's load report; `None` if the engine sent none.
        report: Option<LoadReport>,
    },
}
