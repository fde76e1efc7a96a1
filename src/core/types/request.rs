//! A client's request and its final answer.

use crate::clock::Micros;
use crate::core::Invalid;
use crate::memory::MemoryReservation;
use sanddyke_tenancy::Reason;
use std::sync::Arc;

/// The estimated memory of an open request beside its text.
const OPEN_REQUEST_MEMORY_BYTES: usize = 2048;

/// A row of a result: the text of each column, `None` for NULL.
pub type Row = Vec<Option<String>>;

/// A complete result.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Table {
    /// Column names; empty if the engine sent none.
    pub columns: Vec<String>,
    /// The rows, in the order in which the engine sent them.
    pub rows: Vec<Row>,
    /// The memory of the rows.
    pub memory: ResultMemory,
}

/// The part of the memory budget that a result occupies. It is released with the last clone.
#[derive(Debug, Clone, Default)]
pub struct ResultMemory(pub Option<Arc<MemoryReservation>>);

/// Results are compared by their content.
impl PartialEq for ResultMemory {
    fn eq(&self, _other: &ResultMemory) -> bool {
        true
    }
}

impl Eq for ResultMemory {}

impl Table {
    /// Returns the size of the values in bytes, without the column names.
    pub fn bytes(&self) -> usize {
        self.rows.iter().flatten().flatten().map(String::len).sum()
    }
}

/// A request as a frontend received it.
#[derive(Debug, Clone)]
pub struct IncomingRequest {
    /// The request id, unique in this process. The service assigns it.
    pub id: u64,
    /// The client request id: the client's own identifier of the request. Engines receive it unchanged, and a client
    /// that resends a request uses it again.
    pub client_request_id: String,
    /// The name of the request's class in the settings.
    pub class: String,
    /// The tenant's name; `None` if the client sent none.
    pub tenant: Option<String>,
    /// The client's idempotency key. Engines use it to recognise a repetition. A client that retries a request as
    /// a new one uses the same key.
    pub idempotency_key: Option<String>,
    /// The SQL statement.
    pub statement: Arc<str>,
    /// How long the client waits for the answer, from the time of receipt.
    pub time_budget: Micros,
}

impl IncomingRequest {
    /// Returns the estimated memory of the request while it is open: its text, and its entries in the tables of the core.
    pub fn memory_bytes(&self) -> usize {
        let key = self.idempotency_key.as_ref().map_or(0, String::len);
        OPEN_REQUEST_MEMORY_BYTES + self.statement.len() + self.client_request_id.len() + key
    }
}

/// The final answer to a request. Each request has exactly one.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    /// The request was executed, and this is the complete result.
    Served(Table),
    /// The request was rejected and never executed, so a retry can't execute it twice.
    Rejected {
        /// The time after which the client should retry; 0 if unknown.
        retry_after: Micros,
        /// The tenant limit that was exceeded; `None` if no tenant limit is the cause, for example when the
        /// manager is overloaded.
        reason: Option<Reason>,
    },
    /// The request failed, and was possibly executed. The reason is set if a tenant limit is the cause.
    Failed(Option<Reason>),
    /// An operator cancelled the request.
    Cancelled,
    /// The request is not valid, and was not admitted.
    Invalid(Invalid),
}

impl Answer {
    /// Returns the answer's name in the log.
    pub fn kind(&self) -> &'static str {
        match self {
            Answer::Served(_) => "served",
            Answer::Rejected { .. } => "rejected",
            Answer::Failed(_) => "failed",
            Answer::Cancelled => "cancelled",
            Answer::Invalid(_) => "invalid",
        }
    }
}
