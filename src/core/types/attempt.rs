//! An attempt to execute a request on an engine: what is sent, and how it ends.

use super::Table;
use crate::core::SendPermit;
use crate::decision::{LoadReport, Outcome, ProgressNote, Usage};
use std::fmt;
use std::sync::Arc;

/// Identifies an attempt in this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The id of its request.
    pub request: u64,
    /// Its number among the attempts of that request, from 0.
    pub number: u32,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{}.{}", self.request, self.number)
    }
}

/// What an engine is sent.
#[derive(Debug, Clone)]
pub struct Call {
    /// Whether it may be written now, and how long the client waits for its result then.
    pub permit: SendPermit,
    /// The client's name for the request.
    pub name: String,
    /// Its class.
    pub class: String,
    /// Its idempotency key, in classes that need one.
    pub idempotency_key: Option<String>,
    /// The statement.
    pub statement: Arc<str>,
    /// Its priority, 0 to 3.
    pub priority: u8,
}

/// Every way in which a connection, or what was sent on it, can end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// The engine answered: served.
    Answered,
    /// The engine answered with an error.
    AnsweredError,
    /// The engine was full and did not execute it.
    AnsweredFull,
    /// The engine answered that the request's time is over and did not execute it.
    AnsweredOver,
    /// The connection was refused.
    ConnectRefused,
    /// The connection was not established in time, or there was no descriptor for it.
    ConnectTimeout,
    /// The connection was established but ended before this was written to it.
    NeverWritten,
    /// The engine closed the connection before it answered.
    Closed,
    /// The manager closed the connection, for the sake of another request or because it was idle.
    ClosedHere,
    /// The connection was reset before the engine answered.
    Reset,
    /// The network failed under the connection, which says nothing of the engine.
    Broken,
    /// The engine's bytes can't be parsed.
    Malformed,
    /// The engine sent nothing for too long.
    Silent,
    /// The engine sent reports on other attempts, but no more on this one.
    RequestSilent,
    /// No answer within the timeout.
    TimedOut,
    /// The manager cancelled it.
    Cancelled,
}

impl ConnectionEnd {
    /// The outcome as the decision module counts it. This is the one place where ends become outcomes.
    pub fn outcome(self) -> Outcome {
        match self {
            ConnectionEnd::Answered => Outcome::Served,
            ConnectionEnd::AnsweredError => Outcome::ServerError,
            ConnectionEnd::AnsweredFull => Outcome::EngineFull,
            ConnectionEnd::AnsweredOver => Outcome::NotSent,
            ConnectionEnd::ConnectRefused | ConnectionEnd::ConnectTimeout | ConnectionEnd::NeverWritten => {
                Outcome::NoConnection
            }
            // It was written, so it was possibly executed.
            ConnectionEnd::Closed
            | ConnectionEnd::ClosedHere
            | ConnectionEnd::Reset
            | ConnectionEnd::Broken
            | ConnectionEnd::Silent => Outcome::ConnectionLost,
            // The engine reads and answers: the fault is the connection's, not the engine's.
            ConnectionEnd::Malformed | ConnectionEnd::RequestSilent => Outcome::CorruptedResponse,
            ConnectionEnd::TimedOut => Outcome::TimedOut,
            ConnectionEnd::Cancelled => Outcome::Cancelled,
        }
    }
}

/// What an engine, or the connection to it, reports of an attempt.
#[derive(Debug, Clone, PartialEq)]
pub enum AttemptEvent {
    /// It is being executed.
    Note(ProgressNote),
    /// It ended with a result.
    Served {
        /// The complete result.
        table: Table,
        /// The resources that it used, where reported.
        usage: Option<Usage>,
        /// The engine's load, where reported.
        report: Option<LoadReport>,
    },
    /// It will have no result, but the engine may still execute it: its end follows once the engine has dropped it,
    /// if that ever shows.
    Lost {
        /// Why.
        end: ConnectionEnd,
    },
    /// It ended without a result: it never began, or the engine no longer executes it.
    Ended {
        /// How it ended.
        end: ConnectionEnd,
        /// The engine's load, where reported.
        report: Option<LoadReport>,
    },
}
