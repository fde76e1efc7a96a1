//! A client's request and its final answer.

use crate::clock::Micros;
use crate::core::Invalid;
use sanddyke_tenancy::Reason;
use std::sync::Arc;

/// A row of a result: text by column; a missing value is `None`.
pub type Row = Vec<Option<String>>;

/// A complete result.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Table {
    /// Names of the columns, where the engine sent them.
    pub columns: Vec<String>,
    /// The rows, in order.
    pub rows: Vec<Row>,
}

impl Table {
    /// Bytes of its text, without the names of the columns.
    pub fn bytes(&self) -> usize {
        self.rows.iter().flatten().flatten().map(String::len).sum()
    }
}

/// A request, as a frontend received it.
#[derive(Debug, Clone)]
pub struct IncomingRequest {
    /// Its id in this process; never used twice. The service assigns it.
    pub id: u64,
    /// The client's name for it, sent to engines unchanged.
    pub name: String,
    /// Its class, by name.
    pub class: String,
    /// Its tenant, by name.
    pub tenant: Option<String>,
    /// The client's idempotency key.
    pub idempotency_key: Option<String>,
    /// The statement.
    pub statement: Arc<str>,
    /// How long its client waits for the answer from now on.
    pub time_budget: Micros,
}

/// The final answer to a request. Each request has exactly one.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    /// It was executed, and this is the complete result.
    Served(Table),
    /// It was rejected and never executed: a retry is harmless.
    Rejected {
        /// When a retry is worthwhile, from now; 0 where there is no advice.
        retry_after: Micros,
        /// The tenant's limit that rejected it; none where the whole manager is overloaded.
        reason: Option<Reason>,
    },
    /// It failed, and may have been executed. The reason is given where a tenant's limit made it fail.
    Failed(Option<Reason>),
    /// An operator cancelled it.
    Cancelled,
    /// It can't be used, and nothing was done about it.
    Invalid(Invalid),
}

impl Answer {
    /// Its name in the log.
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
