//! Checks a request before it is submitted to the scheduler or sent to an engine.

use super::{Core, IncomingRequest, OpenRequest, RequestState};
use crate::clock::Micros;
use crate::decision::Effect;
use thiserror::Error;

/// The maximum length of a statement.
pub const MAX_STATEMENT_BYTES: usize = 256 * 1024;
/// The maximum length of a client request id or idempotency key.
const MAX_IDENTIFIER_BYTES: usize = 128;
/// The maximum time budget, 1 h. A longer one is a mistake of the client.
const MAX_TIME_BUDGET: Micros = Micros(3_600_000_000);
/// The priority of a request until the scheduler sets another.
const INITIAL_PRIORITY: u8 = 1;

/// Why a request is not valid. The client receives the text.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Invalid {
    /// The settings have no class with this name.
    #[error("unknown class {0:?}")]
    UnknownClass(String),
    /// There is no tenant with this name.
    #[error("unknown tenant {0:?}")]
    UnknownTenant(String),
    /// Requests of this class need an idempotency key, and the client sent none.
    #[error("a request of class {0:?} needs an idempotency key")]
    MissingIdempotencyKey(String),
    /// The time budget is not above 0, or exceeds one hour.
    #[error("the time budget must be above 0, and an hour at most")]
    TimeBudget,
    /// Another open request has the same client request id.
    #[error("a request of this id is open")]
    Duplicate,
    /// The client request id, idempotency key or statement can't be sent to engines. The value says which.
    #[error("{0} is empty, too long, or has characters that can't be passed on")]
    Text(&'static str),
}

/// Returns whether this text can be sent to engines as a client request id or idempotency key. Commas and equals
/// signs are separators on the line protocol. To TDS engines it is sent in quotation marks within an SQL comment, which
/// it must neither end nor nest.
fn is_sendable_identifier(text: &str) -> bool {
    let is_sendable = |c: char| c.is_ascii_graphic() && !matches!(c, ',' | '=' | '\'');
    let has_comment_mark = text.contains("/*") || text.contains("*/");
    !text.is_empty()
        && text.len() <= MAX_IDENTIFIER_BYTES
        && text.chars().all(is_sendable)
        && !has_comment_mark
}

impl Core {
    /// Returns the request with its class and deadline, or why it is not valid.
    pub(super) fn validate(&self, now: Micros, incoming: IncomingRequest) -> Result<OpenRequest, Invalid> {
        let class = self.check(&incoming)?;
        let class_deadline = Micros::from_ms(self.service_settings.settings.classes[class].deadline_ms);
        let mut deadline = now + incoming.time_budget.min(class_deadline);
        if let Some(shutdown_by) = self.shutdown_by {
            deadline = deadline.min(shutdown_by);
        }
        Ok(OpenRequest {
            class,
            tenant_slot: None,
            received_at: now,
            deadline,
            priority: INITIAL_PRIORITY,
            state: RequestState::Queued,
            incoming,
        })
    }

    /// Checks a request, and returns the index of its class.
    fn check(&self, incoming: &IncomingRequest) -> Result<usize, Invalid> {
        let class = self.service_settings.classes.iter().position(|name| *name == incoming.class);
        let class = class.ok_or_else(|| Invalid::UnknownClass(incoming.class.clone()))?;
        let needs_key = matches!(self.service_settings.settings.classes[class].effect, Effect::Keyed { .. });
        match &incoming.idempotency_key {
            None if needs_key => return Err(Invalid::MissingIdempotencyKey(incoming.class.clone())),
            Some(key) if !is_sendable_identifier(key) => return Err(Invalid::Text("the idempotency key")),
            _ => {}
        }
        if !is_sendable_identifier(&incoming.client_request_id) {
            return Err(Invalid::Text("the request's id"));
        }
        if incoming.statement.trim().is_empty() || incoming.statement.len() > MAX_STATEMENT_BYTES {
            return Err(Invalid::Text("the statement"));
        }
        if incoming.time_budget.0 <= 0 || incoming.time_budget > MAX_TIME_BUDGET {
            return Err(Invalid::TimeBudget);
        }
        if self.open_client_request_ids.contains(&incoming.client_request_id) {
            return Err(Invalid::Duplicate);
        }
        Ok(class)
    }
}
