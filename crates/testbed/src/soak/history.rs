//! The recorded history of a run: what engines, clients and the fault schedule observed, in the order of time.
//! Nothing in it is reported by the program under test.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

/// The effect of executing a request more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// A repeat does no harm.
    Repeatable,
    /// Engines discard repeats with the same idempotency key for a window after the first execution.
    Keyed {
        /// The deduplication window in milliseconds.
        window_ms: u64,
    },
    /// A repeat does harm.
    Once,
}

/// How an attempt ended on its engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The engine wrote its final answer, and it was possibly executed.
    EndWritten,
    /// The engine wrote a final answer which says that it was never executed.
    NeverRan,
    /// The engine read the `STOP` message for it.
    StopRead,
    /// The engine read the end of its connection, or reset it.
    Closed,
}

/// A kind of injected fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// An engine neither reads nor writes.
    EnginePaused,
    /// An engine resets its connections and refuses new ones for a while, like a process that crashes and restarts.
    EngineCrashed,
    /// An engine resets its connections.
    EngineReset,
    /// No data is relayed between managers and an engine.
    LinkCut,
    /// No data is relayed to an engine; data from it still arrives.
    LinkCutToEngine,
    /// No data is relayed from an engine; data to it still arrives.
    LinkCutFromEngine,
    /// Data between managers and an engine is delayed.
    LinkDelayed,
    /// The endpoint list has an engine as draining.
    EngineDraining,
    /// The name service does not answer.
    NameServiceSilent,
    /// A manager is suspended (SIGSTOP) and continued (SIGCONT).
    ManagerStopped,
    /// A manager is asked to shut down (SIGTERM) and restarted.
    ManagerTerminated,
    /// A manager is killed (SIGKILL) and restarted.
    ManagerKilled,
    /// A manager reloads its configuration (SIGHUP), several times in a row.
    ManagerReloaded,
    /// Clients connect to a manager and send nothing.
    IdleClients,
}

/// An observed event. The timeline of a violation prints it with `{:?}`, so the names of variants and fields are part of
/// the report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A client wrote the last byte of a request.
    RequestSent {
        /// The number of the call. A resent request is another call with the same client request id.
        call: u64,
        /// The client request id.
        name: String,
        /// The idempotency key, if the request has one.
        key: Option<String>,
        /// The effect of repeats in the request's class.
        effect: Effect,
        /// The time limit that the client sent, in milliseconds.
        ttl_ms: u64,
        /// The number of the manager that it was sent to.
        manager: usize,
    },
    /// A client received the complete final answer.
    Answered {
        /// The number of the call.
        call: u64,
        /// The HTTP status.
        status: u16,
        /// Whether the rows belong to this request. True for any status other than 200.
        is_own: bool,
    },
    /// A client's connection ended without a complete answer.
    Unanswered {
        /// The number of the call.
        call: u64,
    },
    /// A client closed its connection without an answer, because it cancelled or no longer waited.
    ClientLeft {
        /// The number of the call.
        call: u64,
    },
    /// An engine read the last byte of an attempt.
    AttemptRead {
        /// The number of the attempt in this history.
        attempt: u64,
        /// The number of the engine.
        engine: usize,
        /// The client request id.
        name: String,
        /// The idempotency key, if the request has one.
        key: Option<String>,
        /// The remaining time of the client in milliseconds, as the manager reported it to the engine.
        patience_ms: u64,
    },
    /// An attempt ended.
    AttemptOver {
        /// The number of the attempt.
        attempt: u64,
        /// How it ended.
        over: AttemptEnd,
    },
    /// A fault begins on an engine or a manager, depending on its kind.
    FaultBegun {
        /// The kind of the fault.
        fault: Fault,
        /// The number of the engine or manager.
        target: usize,
    },
    /// A fault has ended.
    FaultEnded {
        /// The kind of the fault.
        fault: Fault,
        /// The number of the engine or manager.
        target: usize,
    },
    /// A manager's process was started.
    ManagerStarted {
        /// The number of the manager.
        manager: usize,
    },
    /// A manager's process answered a health check with status 200.
    ManagerReady {
        /// The number of the manager.
        manager: usize,
    },
    /// A manager's process exited, on SIGTERM or by itself. A process killed by the testbed is not recorded here.
    ManagerEnded {
        /// The number of the manager.
        manager: usize,
        /// Whether it exited after SIGTERM with exit code 0.
        success: bool,
    },
}

/// An event and its time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// Microseconds since the start of the history.
    pub at_us: u64,
    /// The observed event.
    pub event: Event,
}

/// The history of a run. Clones share one list of records.
#[derive(Debug, Clone)]
pub struct History {
    start: Instant,
    records: Arc<Mutex<Vec<Record>>>,
}

impl History {
    /// Creates an empty history whose time starts now.
    pub fn start() -> History {
        History { start: Instant::now(), records: Arc::default() }
    }

    /// Appends an event with the current time.
    pub fn push(&self, event: Event) {
        let mut records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        let at_us = u64::try_from(self.start.elapsed().as_micros()).unwrap_or(u64::MAX);
        records.push(Record { at_us, event });
    }

    /// Returns a copy of all records.
    pub fn records(&self) -> Vec<Record> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}
