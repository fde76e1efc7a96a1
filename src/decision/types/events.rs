//! Events are the input of the [`Scheduler`](crate::decision::Scheduler), actions its output.

use super::{EngineId, EngineListEvent, LoadReport, Millis, Request, RequestId, TenantId, TenantSettings};
use std::fmt;

/// Outcome of an attempt or of a health check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The engine answered with a result.
    Served,
    /// The engine answered with an error; the attempt was possibly executed.
    ServerError,
    /// The engine rejected the attempt because it was full; never executed.
    EngineFull,
    /// The engine did not answer in time; the attempt was possibly executed, and the engine may still be
    /// executing it.
    TimedOut,
    /// No connection to the engine could be made; never executed.
    NoConnection,
    /// The connection broke; the attempt was possibly executed.
    ConnectionLost,
    /// The response was corrupted or lost on the way; the attempt was possibly executed. The engine is not at
    /// fault.
    CorruptedResponse,
    /// The attempt was cancelled; it was possibly executed.
    Cancelled,
    /// The attempt was never sent.
    NotSent,
}

impl Outcome {
    /// Whether the outcome proves that the attempt was never executed.
    pub fn never_executed(self) -> bool {
        matches!(self, Outcome::EngineFull | Outcome::NoConnection | Outcome::NotSent)
    }
}

/// Resources that a request used, as its response reports them.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Usage {
    /// Work (ms of one thread).
    pub work_ms: Millis,
    /// Memory (MB).
    pub memory_mb: f64,
}

/// Progress note of a running attempt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ProgressNote {
    /// Approximate fraction of the attempt that is done, from 0 to 1.
    Progress(f64),
    /// The attempt spills to disk because it lacks this much memory (MB).
    Spills(f64),
    /// The attempt waits for memory.
    WaitsForMemory,
    /// The attempt waits because a load has its data set locked.
    WaitsForLoad,
}

/// The end of an attempt. Each attempt ends exactly once.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AttemptEnd {
    /// Request that the attempt belongs to.
    pub request: RequestId,
    /// Number of the attempt within its request, from 0.
    pub attempt: u32,
    /// Outcome of the attempt.
    pub outcome: Outcome,
    /// Time since the attempt was sent (ms).
    pub elapsed_ms: Millis,
    /// Whether the request is closed: it has its final answer, or its client disconnected.
    pub request_closed: bool,
    /// Resources that the attempt used; `None` if not reported.
    pub usage: Option<Usage>,
    /// Load report of the engine; `None` if the response contained none.
    pub report: Option<LoadReport>,
}

/// An input of the scheduler.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The engine list changed, or could not be fetched.
    EngineList(EngineListEvent),
    /// A tenant was added or removed, or its settings changed.
    Tenant {
        /// Number of the tenant.
        tenant: TenantId,
        /// Settings that apply from now on. `None` if the tenant is removed and nothing refers to its number
        /// any more; the number may be assigned to another tenant later.
        settings: Option<TenantSettings>,
    },
    /// A request arrived.
    Request(Request),
    /// An attempt is lost: it will have no result, but its engine may still be executing it.
    /// [`Event::AttemptEnded`] follows once the engine has discarded the attempt or the request is closed.
    AttemptLost {
        /// Request that the attempt belongs to.
        request: RequestId,
        /// Number of the attempt within its request, from 0.
        attempt: u32,
        /// Outcome of the attempt.
        outcome: Outcome,
    },
    /// An attempt ended.
    AttemptEnded(AttemptEnd),
    /// A response started to stream. From now on its request has no deadline and gets no further attempt.
    StreamStarted {
        /// Request whose response streams.
        request: RequestId,
    },
    /// An engine sent a progress note of a running attempt.
    ProgressNote {
        /// Request that the attempt belongs to.
        request: RequestId,
        /// Number of the attempt within its request, from 0.
        attempt: u32,
        /// The progress note.
        note: ProgressNote,
    },
    /// A health check ended.
    HealthChecked {
        /// Engine that was checked.
        engine: EngineId,
        /// Outcome of the health check.
        outcome: Outcome,
        /// Time since the health check was sent (ms).
        elapsed_ms: Millis,
        /// Load report of the engine; `None` if the response contained none.
        report: Option<LoadReport>,
    },
    /// The client of this request disconnected.
    ClientDisconnected(RequestId),
    /// The process will be killed at this time: open requests whose deadline is later get it as their deadline.
    ShutdownBy(Millis),
    /// The timer with this token expired.
    Timer(u64),
}

/// An output of the scheduler, to be applied by the embedding program.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send the next attempt of a request.
    Send {
        /// Request that the attempt belongs to.
        request: RequestId,
        /// Engine to send the attempt to.
        engine: EngineId,
        /// Attempt timeout (ms); 0 if the attempt may take as long as the client waits.
        timeout_ms: Millis,
    },
    /// Set the memory grant and the priority of a request's attempts.
    SetAttemptOptions {
        /// Request whose attempts are concerned.
        request: RequestId,
        /// Memory grant of further attempts (MB); 0 if the engine chooses.
        memory_mb: f64,
        /// Priority from 0 to 3; it also applies to attempts in flight.
        priority: u8,
    },
    /// Final answer: the request is rejected, and a retry by the client is safe.
    Reject {
        /// Request to reject.
        request: RequestId,
        /// Retry-After for the client (ms); 0 for none.
        retry_after_ms: Millis,
    },
    /// Final answer: the request failed; it is unknown whether a retry is safe.
    Fail(RequestId),
    /// Cancel an attempt.
    Cancel {
        /// Request that the attempt belongs to.
        request: RequestId,
        /// Number of the attempt within its request, from 0.
        attempt: u32,
    },
    /// Send a health check to an engine.
    HealthCheck(EngineId),
    /// Set a timer.
    Timer {
        /// Token to return in [`Event::Timer`].
        token: u64,
        /// Time until the timer expires (ms).
        after_ms: Millis,
    },
    /// Subscribe to the engine list, or poll it.
    Subscribe,
    /// Write a line to the log.
    Log(LogMessage),
}

/// A line for the log. Its text is part of the simulator's wire protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogMessage {
    /// An engine that was down answered.
    EngineUp(EngineId),
    /// Several connections in a row to an engine failed.
    EngineDown(EngineId),
    /// An engine left several health checks in a row unanswered.
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
