//! What engines, clients and the fault schedule have seen, in the order of time. The program is never asked.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

/// What a repeated execution of a request does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// Nothing.
    Repeatable,
    /// Engines drop repeats with its key for so many ms after the first execution.
    Keyed {
        /// The deduplication window.
        window_ms: u64,
    },
    /// Harm.
    Once,
}

/// Why an attempt is no longer in flight on its engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Over {
    /// Its end was written, and it may have been executed.
    EndWritten,
    /// Its end was written, and says that it never ran.
    NeverRan,
    /// The engine has read its stop.
    StopRead,
    /// The engine has read the close of its connection, or has closed it.
    Closed,
}

/// A kind of fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// An engine reads and writes nothing.
    EnginePaused,
    /// An engine's process dies and comes back.
    EngineCrashed,
    /// An engine resets its connections.
    EngineReset,
    /// Nothing passes between managers and an engine.
    LinkCut,
    /// Nothing passes to an engine; what it sends arrives.
    LinkCutToEngine,
    /// Nothing passes from an engine; what it is sent arrives.
    LinkCutFromEngine,
    /// All that passes is late.
    LinkDelayed,
    /// An engine is listed as draining.
    EngineDraining,
    /// The name service does not answer.
    NameServiceSilent,
    /// A manager is stopped (SIGSTOP) and continued.
    ManagerStopped,
    /// A manager is told to end (SIGTERM) and started again.
    ManagerTerminated,
    /// A manager is killed (SIGKILL) and started again.
    ManagerKilled,
    /// A manager reads its configuration again, several times in a row (SIGHUP).
    ManagerReloaded,
    /// Clients connect that send nothing.
    IdleClients,
}

/// Something that was seen.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A client has written the last byte of a request.
    RequestSent {
        /// The number of the call; a resent request is another call of the same name.
        call: u64,
        /// The request's id.
        name: String,
        /// Its idempotency key.
        key: Option<String>,
        /// Its class's effect.
        effect: Effect,
        /// How long the client waits.
        ttl_ms: u64,
        /// The manager.
        manager: usize,
    },
    /// A client has the whole final answer.
    Answered {
        /// The call.
        call: u64,
        /// Its status.
        status: u16,
        /// Whether its rows are those of this request.
        is_own: bool,
    },
    /// A client's connection ended without a whole answer.
    Unanswered {
        /// The call.
        call: u64,
    },
    /// A client has closed its connection without an answer.
    ClientLeft {
        /// The call.
        call: u64,
    },
    /// An engine has read the last byte of a request.
    AttemptRead {
        /// The number of the attempt in this history.
        attempt: u64,
        /// The engine.
        engine: usize,
        /// The request's id.
        name: String,
        /// Its idempotency key.
        key: Option<String>,
        /// The time that the manager says the client has left.
        patience_ms: u64,
    },
    /// An attempt is no longer in flight.
    AttemptOver {
        /// The attempt.
        attempt: u64,
        /// Why.
        over: Over,
    },
    /// A fault begins, at an engine or a manager by its kind.
    FaultBegun {
        /// Its kind.
        fault: Fault,
        /// The engine or manager.
        target: usize,
    },
    /// A fault is over.
    FaultEnded {
        /// Its kind.
        fault: Fault,
        /// The engine or manager.
        target: usize,
    },
    /// A process of a manager was started.
    ManagerStarted {
        /// The manager.
        manager: usize,
    },
    /// It answers its health check with yes.
    ManagerReady {
        /// The manager.
        manager: usize,
    },
    /// It has ended, as it was told to or not.
    ManagerEnded {
        /// The manager.
        manager: usize,
        /// Whether its exit code was 0.
        success: bool,
    },
}

/// An event and its time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// Microseconds since the start.
    pub at_us: u64,
    /// What was seen.
    pub event: Event,
}

/// The history of a run. Clones are the same one.
#[derive(Debug, Clone)]
pub struct History {
    start: Instant,
    records: Arc<Mutex<Vec<Record>>>,
}

impl History {
    /// An empty history that begins now.
    pub fn start() -> History {
        History { start: Instant::now(), records: Arc::default() }
    }

    /// Records what is seen now.
    pub fn push(&self, event: Event) {
        let mut records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        let at_us = u64::try_from(self.start.elapsed().as_micros()).unwrap_or(u64::MAX);
        records.push(Record { at_us, event });
    }

    /// All that was recorded.
    pub fn records(&self) -> Vec<Record> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}
