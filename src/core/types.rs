//! What goes into and comes out of the core: neutral types that no wire shows in.

use super::{HandoverState, Invalid, Tally};
use crate::clock::Micros;
use crate::decision::{AttemptNote, EngineState, LoadReport, Outcome, Usage};
use sanddyke_tenancy::{Reason, State, Tenant, TenantId};
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// Rows of text; a missing value is `None`.
pub type Row = Vec<Option<String>>;

/// A whole result.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Table {
    /// Names of the columns, where the engine told them.
    pub columns: Vec<String>,
    /// The rows, in order.
    pub rows: Vec<Row>,
}

impl Table {
    /// Bytes of its text.
    pub fn bytes(&self) -> usize {
        self.rows.iter().flatten().flatten().map(String::len).sum()
    }
}

/// News of a tenant.
#[derive(Debug, Clone, PartialEq)]
pub enum TenantUpdate {
    /// It is there, as this; its share, and the id of its group.
    Set {
        /// The tenant.
        tenant: Box<Tenant>,
        /// Its effective share.
        share: f64,
        /// The id of its group.
        group: Option<u64>,
    },
    /// Only its share is another: others have come, gone or changed.
    Share {
        /// The tenant.
        id: TenantId,
        /// Its effective share.
        share: f64,
    },
    /// It is removed: nothing new of it is taken, and what is under way goes on.
    Removed(TenantId),
}

/// A request, as a front took it.
#[derive(Debug, Clone)]
pub struct IncomingRequest {
    /// Its number; never used twice.
    pub request: u64,
    /// The client's name for it, passed on to engines unchanged.
    pub name: String,
    /// Its class.
    pub class: String,
    /// Its tenant.
    pub tenant: Option<String>,
    /// Its idempotency key.
    pub key: Option<String>,
    /// The statement.
    pub statement: Arc<str>,
    /// How long its client still waits.
    pub left: Micros,
}

/// The final answer to a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    /// Served, whole.
    Served(Table),
    /// Refused: trying again is harmless, best after this long.
    Rejected {
        /// Advice to stay away this long; 0 for none.
        retry_after: Micros,
        /// Why, where it is for its tenant's sake.
        reason: Option<Reason>,
    },
    /// Failed, with no promise; why, where it is for its tenant's sake.
    Failed(Option<Reason>),
    /// Ended by an operator.
    Cancelled,
    /// It could not be used, and nothing was done about it.
    Invalid(Invalid),
}

/// Takes an attempt back as long as nothing of it is written: whoever writes it asks right before. Orders come by
/// queues, and may stand there behind a connection that comes up late; this is seen at once.
#[derive(Debug, Clone, Default)]
pub struct CancelToken {
    cancelled: Arc<AtomicBool>,
    /// From then on engines would take it for another request than the one that may have run.
    dedup_until: Option<Micros>,
}

impl CancelToken {
    /// For an attempt that may be begun until then, where that is bound.
    pub fn until(dedup_until: Option<Micros>) -> CancelToken {
        CancelToken { cancelled: Arc::default(), dedup_until }
    }

    /// Nothing of the attempt is to be written from now on.
    pub fn cancel(&self) {
        self.cancelled.store(true, Ordering::Relaxed);
    }

    /// Whether the attempt was taken back, or comes too late.
    pub fn is_cancelled(&self, now: Micros) -> bool {
        self.cancelled.load(Ordering::Relaxed) || self.dedup_until.is_some_and(|until| now >= until)
    }
}

/// What an engine is sent.
#[derive(Debug, Clone)]
pub struct Call {
    /// Whether it is to be sent at all by the time that it can be.
    pub cancel_token: CancelToken,
    /// The client's name for the request.
    pub name: String,
    /// Its class.
    pub class: String,
    /// Its idempotency key, in keyed classes.
    pub key: Option<String>,
    /// The statement.
    pub statement: Arc<str>,
    /// How long the workload manager will wait.
    pub patience: Micros,
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
    /// The engine was full; it never ran.
    AnsweredFull,
    /// The engine said that the request was over; it never ran.
    AnsweredOver,
    /// Connecting was refused.
    ConnectRefused,
    /// The connection did not come up in time, or there was no descriptor for it.
    ConnectTimeout,
    /// The connection came up but ended before this was written to it.
    NeverWritten,
    /// Closed by the engine in the midst of it.
    Closed,
    /// Reset in the midst of it.
    Reset,
    /// What the engine sent could not be read.
    Malformed,
    /// The engine said nothing for too long.
    Silent,
    /// The engine spoke of others, but no more of this one.
    RequestSilent,
    /// No answer in the time that it had.
    TimedOut,
    /// Given up by the workload manager.
    Cancelled,
}

impl ConnectionEnd {
    /// The one place where ends become the module's outcomes.
    pub fn outcome(self) -> Outcome {
        match self {
            ConnectionEnd::Answered => Outcome::Served,
            ConnectionEnd::AnsweredError => Outcome::ServerError,
            ConnectionEnd::AnsweredFull => Outcome::Full,
            ConnectionEnd::AnsweredOver => Outcome::NotSent,
            ConnectionEnd::ConnectRefused | ConnectionEnd::ConnectTimeout | ConnectionEnd::NeverWritten => {
                Outcome::NoConnection
            }
            // It was written, so it may have run.
            ConnectionEnd::Closed | ConnectionEnd::Reset | ConnectionEnd::Silent => Outcome::ConnectionLost,
            // It reads and answers: the fault is the connection's, not the engine's.
            ConnectionEnd::Malformed | ConnectionEnd::RequestSilent => Outcome::Spoilt,
            ConnectionEnd::TimedOut => Outcome::TimedOut,
            ConnectionEnd::Cancelled => Outcome::Cancelled,
        }
    }
}

/// Word of an attempt.
#[derive(Debug, Clone, PartialEq)]
pub enum AttemptEvent {
    /// It runs.
    Note(AttemptNote),
    /// It is over and served.
    Served {
        /// The whole result.
        table: Table,
        /// What it needed, where told.
        usage: Option<Usage>,
        /// The engine's load, where told.
        report: Option<LoadReport>,
    },
    /// It is over in another way.
    Ended {
        /// How.
        end: ConnectionEnd,
        /// The engine's load, where told.
        report: Option<LoadReport>,
    },
}

/// An engine as discovery names it.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// Its name.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Its kind of machine.
    pub kind: String,
    /// Its cell.
    pub cell: Option<u64>,
    /// Its state.
    pub state: EngineState,
    /// Its weight.
    pub weight: f64,
    /// When it last started, where that is told.
    pub started: Option<Micros>,
}

/// News of the engine list.
#[derive(Debug, Clone, PartialEq)]
pub enum EngineListUpdate {
    /// The whole list at the start.
    Initial(Vec<Engine>),
    /// The whole list.
    Complete(Vec<Engine>),
    /// Changed entries only.
    Changed(Vec<Engine>),
}

/// What the core is told.
#[derive(Debug)]
pub enum Input {
    /// A front took a request.
    RequestReceived(IncomingRequest),
    /// The client of a request stopped waiting.
    ClientDisconnected(u64),
    /// An operator ends a request.
    CancelRequested(u64),
    /// News of the engine list.
    Engines(EngineListUpdate),
    /// News of tenants, all of one change.
    Tenants(Vec<TenantUpdate>),
    /// Word of an attempt.
    Attempt {
        /// Its request.
        request: u64,
        /// Its number.
        attempt: u32,
        /// The word.
        news: AttemptEvent,
    },
    /// A probe came back.
    HealthChecked {
        /// The engine.
        engine: u64,
        /// How it ended.
        end: ConnectionEnd,
        /// The load, where told.
        report: Option<LoadReport>,
        /// How long it took.
        elapsed: Micros,
    },
    /// What another process has learnt, so long ago.
    RestoreState(Box<HandoverState>, Micros),
    /// Another process of this manager holds so many of the connections that clients may have.
    PeerProcessConnections(usize),
    /// Time has passed.
    Tick,
    /// From now on every new request is refused: the program is about to end.
    RejectNew,
    /// The program is ended by force then: no request that comes from now on is given longer.
    ShutdownBy(Micros),
}

/// What the core wants done.
#[derive(Debug)]
pub enum Command {
    /// Give a request its one final answer.
    Answer {
        /// The request.
        request: u64,
        /// The answer.
        answer: Answer,
    },
    /// Start an attempt.
    StartAttempt {
        /// Its request.
        request: u64,
        /// Its number.
        attempt: u32,
        /// Where.
        engine: u64,
        /// What.
        call: Call,
    },
    /// Give an attempt up.
    CancelAttempt {
        /// Whether word is wanted once the engine has read the stop: the request may then go elsewhere.
        confirm: bool,
        /// Its request.
        request: u64,
        /// Its number.
        attempt: u32,
        /// Where.
        engine: u64,
    },
    /// Change the priority of an attempt.
    SetPriority {
        /// Its request.
        request: u64,
        /// Its number.
        attempt: u32,
        /// Where.
        engine: u64,
        /// The priority, 0 to 3.
        priority: u8,
    },
    /// Probe an engine.
    HealthCheck {
        /// Which.
        engine: u64,
    },
    /// An engine is listed or has changed.
    UpdateEngine {
        /// Its number.
        engine: u64,
        /// Its name.
        name: String,
        /// Where it listens.
        address: SocketAddr,
        /// Its state.
        state: EngineState,
    },
    /// An engine is gone and nothing is out there: no more will be wanted of it.
    RemoveEngine {
        /// Which.
        engine: u64,
    },
    /// A line for the log.
    Log(String),
}

/// What the administration API shows of the whole service.
#[derive(Debug, Serialize)]
pub struct Report {
    /// The engines.
    pub engines: Vec<EngineReport>,
    /// Requests that are owed an answer.
    pub requests: Vec<RequestReport>,
    /// What has been answered so far, by class and tenant.
    pub tallies: Vec<Tally>,
    /// Ends of attempts, by outcome.
    pub attempts: BTreeMap<&'static str, u64>,
    /// The tenants under way.
    pub tenants: Vec<TenantReport>,
    /// Requests refused because they named no tenant that is there.
    pub unknown_tenants: u64,
    /// True once new requests are refused.
    pub stopping: bool,
}

/// One tenant, as it is under way.
#[derive(Debug, Serialize)]
pub struct TenantReport {
    /// Its id.
    pub id: TenantId,
    /// Its name.
    pub name: String,
    /// Where it stands.
    pub state: State,
    /// Its effective share.
    pub share: f64,
    /// Requests that are owed an answer.
    pub open: u32,
    /// Attempts that are out.
    pub attempts: u32,
    /// Requests that were refused for its sake, by reason.
    pub refused: BTreeMap<&'static str, u64>,
}

/// One engine.
#[derive(Debug, Serialize)]
pub struct EngineReport {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Its kind.
    pub kind: String,
    /// Its state in the list.
    pub state: String,
    /// Attempts of this workload manager that are out there.
    pub attempts_out: usize,
}

/// One open request.
#[derive(Debug, Serialize)]
pub struct RequestReport {
    /// Its number.
    pub id: u64,
    /// The client's name for it.
    pub name: String,
    /// Its class.
    pub class: String,
    /// Its tenant.
    pub tenant: Option<String>,
    /// Time since it was taken.
    pub age_ms: f64,
    /// Time until its client gives up.
    pub left_ms: f64,
    /// `held`, or where it runs.
    pub state: String,
}
