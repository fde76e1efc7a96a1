//! Events go into the [`Gateway`](crate::decision::Gateway), actions come out.

use super::{EngineId, EngineListEvent, LoadReport, Millis, Request, RequestId, TenantId, TenantSettings};
use std::fmt;

/// How an attempt or a health check ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Served,
    /// The engine answered with an error; the attempt may have executed.
    ServerError,
    /// Rejected by a full engine; never executed.
    Full,
    /// No answer in time; the attempt may have executed, or may still run.
    TimedOut,
    /// No connection; never executed.
    NoConnection,
    /// The connection broke; the attempt may have executed.
    ConnectionLost,
    /// The answer was damaged or lost on the way: the attempt may have executed, and the engine is not at fault.
    Spoilt,
    /// Cancelled; the attempt may have executed.
    Cancelled,
    /// Never sent.
    NotSent,
}

impl Outcome {
    /// Whether it proves that nothing was executed.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Full | Outcome::NoConnection | Outcome::NotSent)
    }
}

/// What a request really used, as its answer reports it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Usage {
    /// Its work (ms of one thread).
    pub work_ms: Millis,
    /// Its memory (MB).
    pub memory_mb: f64,
}

/// A progress report of a running attempt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AttemptNote {
    /// Roughly this fraction is done, from 0 to 1.
    Progress(f64),
    /// It spills to disk for want of this much memory (MB).
    Spills(f64),
    /// It waits for memory.
    WaitsForMemory,
    /// It waits for a load that has its data set locked.
    WaitsForLoad,
}

/// The end of an attempt; each attempt has exactly one.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AttemptEnd {
    /// Its request.
    pub request: RequestId,
    /// Number of the attempt, from 0.
    pub attempt: u32,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since it was sent (ms).
    pub elapsed_ms: Millis,
    /// True when its request has had its final answer.
    pub settled: bool,
    /// What it used, where reported.
    pub usage: Option<Usage>,
    /// The engine's load, where reported.
    pub report: Option<LoadReport>,
}

/// An input of the gateway.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The engine list changed.
    EngineList(EngineListEvent),
    /// A tenant was added, or its share, quota or group has changed.
    Tenant {
        /// Its number.
        tenant: TenantId,
        /// Its settings from now on; `None` once nothing refers to it any more: its number may be another
        /// tenant's later.
        settings: Option<TenantSettings>,
    },
    /// A request arrived.
    Request(Request),
    /// An attempt will have no result, but its engine may still execute it: [`Event::AttemptEnded`] follows once the
    /// engine has dropped it, or its request is over.
    AttemptLost {
        /// Its request.
        request: RequestId,
        /// Number of the attempt.
        attempt: u32,
        /// How it ends.
        outcome: Outcome,
    },
    /// An attempt ended.
    AttemptEnded(AttemptEnd),
    /// A response has begun to stream: its request is bound to that attempt and has no deadline any more.
    StreamStarted {
        /// Its request.
        request: RequestId,
    },
    /// A running attempt reports progress.
    AttemptNote {
        /// Its request.
        request: RequestId,
        /// Number of the attempt.
        attempt: u32,
        /// The report.
        note: AttemptNote,
    },
    /// A health check ended.
    HealthChecked {
        /// The engine.
        engine: EngineId,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was sent (ms).
        elapsed_ms: Millis,
        /// The engine's load, where reported.
        report: Option<LoadReport>,
    },
    /// The client of this request no longer waits for it.
    ClientDisconnected(RequestId),
    /// The gateway will be stopped by force at this time: no request's deadline is later.
    ShutdownBy(Millis),
    /// The timer with this token expired.
    Timer(u64),
}

/// An output of the gateway, to be carried out by the embedding program.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send the request's next attempt.
    Send {
        /// The request.
        request: RequestId,
        /// The engine to send it to.
        engine: EngineId,
        /// Attempt timeout (ms); 0 for as long as the client waits.
        timeout_ms: Millis,
    },
    /// Set memory and priority of the request's attempts.
    SetTerms {
        /// The request.
        request: RequestId,
        /// Memory grant of further attempts (MB); 0 where the engine chooses.
        memory_mb: f64,
        /// Priority from 0 to 3, also of attempts in flight.
        priority: u8,
    },
    /// Final answer: not served, and a retry is harmless.
    Reject {
        /// The request.
        request: RequestId,
        /// Retry-After for the client (ms); 0 for none.
        retry_after_ms: Millis,
    },
    /// Final answer: failed; nothing is known of a retry.
    Fail(RequestId),
    /// Cancel an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Check an engine's health.
    HealthCheck(EngineId),
    /// Set a timer.
    Timer {
        /// Token that [`Event::Timer`] brings back.
        token: u64,
        /// Time until it expires (ms).
        after_ms: Millis,
    },
    /// Subscribe to the engine list.
    Subscribe,
    /// Write a line to the log.
    Log(LogMessage),
}

/// A line for the log. Its text is part of the simulator's wire.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogMessage {
    /// An engine that was down or silent has answered.
    EngineUp(EngineId),
    /// Connections to an engine failed repeatedly.
    EngineDown(EngineId),
    /// An engine left health checks unanswered repeatedly.
    HealthChecksUnanswered(EngineId),
}

impl fmt::Display for LogMessage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LogMessage::EngineUp(EngineId(id)) => write!(f, "engine {id} up again"),
            LogMessage::EngineDown(EngineId(id)) => write!(f, "engine {id} down: no connection"),
            LogMessage::HealthChecksUnanswered(EngineId(id)) => {
                write!(f, "engine {id} leaves probes unanswered")
            }
        }
    }
}
