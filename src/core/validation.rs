//! Checks a request before the decision module or an engine gets it.

use super::{Core, IncomingRequest, OpenRequest, RequestState};
use crate::clock::Micros;
use crate::decision::Effect;
use thiserror::Error;

/// The longest statement that is accepted.
pub const MAX_STATEMENT_BYTES: usize = 256 * 1024;
/// The longest name or idempotency key that is accepted.
const MAX_NAME_BYTES: usize = 128;
/// The longest time budget that is accepted, an hour: a longer one is a client's mistake.
const MAX_TIME_BUDGET: Micros = Micros(3_600_000_000);
/// The priority of a request until the decision module sets another.
const INITIAL_PRIORITY: u8 = 1;

/// Why a request can't be used.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Invalid {
    /// There is no class of this name.
    #[error("unknown class {0:?}")]
    UnknownClass(String),
    /// There is no tenant of this name.
    #[error("unknown tenant {0:?}")]
    UnknownTenant(String),
    /// Requests of this class need an idempotency key.
    #[error("a request of class {0:?} needs an idempotency key")]
    MissingIdempotencyKey(String),
    /// It has no time left, or more than an hour.
    #[error("the time budget must be above 0, and an hour at most")]
    TimeBudget,
    /// Another request of its name is open.
    #[error("a request of this id is open")]
    Duplicate,
    /// A name, key or statement that can't be sent to engines.
    #[error("{0} is empty, too long, or has characters that can't be passed on")]
    Text(&'static str),
}

/// Whether engines can be sent this as a name or key.
fn is_sendable_name(text: &str) -> bool {
    let is_sendable = |c: char| c.is_ascii_graphic() && c != ',' && c != '=';
    !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.chars().all(is_sendable)
}

impl Core {
    /// The request as it is admitted, or why it can't be used.
    pub(super) fn validate(&self, now: Micros, incoming: IncomingRequest) -> Result<OpenRequest, Invalid> {
        let class = self.check(&incoming)?;
        let class_deadline = Micros::from_ms(self.front.settings.classes[class].deadline_ms);
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

    /// Checks a request, and gives the position of its class.
    fn check(&self, incoming: &IncomingRequest) -> Result<usize, Invalid> {
        let class = self.front.classes.iter().position(|name| *name == incoming.class);
        let class = class.ok_or_else(|| Invalid::UnknownClass(incoming.class.clone()))?;
        let needs_key = matches!(self.front.settings.classes[class].effect, Effect::Keyed { .. });
        match &incoming.idempotency_key {
            None if needs_key => return Err(Invalid::MissingIdempotencyKey(incoming.class.clone())),
            Some(key) if !is_sendable_name(key) => return Err(Invalid::Text("the idempotency key")),
            _ => {}
        }
        if !is_sendable_name(&incoming.name) {
            return Err(Invalid::Text("the request's id"));
        }
        if incoming.statement.trim().is_empty() || incoming.statement.len() > MAX_STATEMENT_BYTES {
            return Err(Invalid::Text("the statement"));
        }
        if incoming.time_budget.0 <= 0 || incoming.time_budget > MAX_TIME_BUDGET {
            return Err(Invalid::TimeBudget);
        }
        if self.open_names.contains(&incoming.name) {
            return Err(Invalid::Duplicate);
        }
        Ok(class)
    }
}
