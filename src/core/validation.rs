//! Take in: checks a request before the module or an engine hears of it.

use super::{Core, IncomingRequest, Open, RequestState};
use crate::clock::Micros;
use crate::decision::Effect;
use thiserror::Error;

/// The longest statement taken, in bytes.
pub const LONGEST_STATEMENT: usize = 256 * 1024;
/// The longest name or key taken, in bytes.
const LONGEST_NAME: usize = 128;

/// No client waits longer; who says so has miscounted.
const LONGEST_WAIT: Micros = Micros(3_600_000_000);

/// Why a request could not be used.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Invalid {
    /// No such class.
    #[error("unknown class {0:?}")]
    Class(String),
    /// No such tenant.
    #[error("unknown tenant {0:?}")]
    Tenant(String),
    /// The class wants a key.
    #[error("a request of class {0:?} needs an idempotency key")]
    Key(String),
    /// It has no time left, or more than any client waits.
    #[error("the time budget must be above 0, and an hour at most")]
    Budget,
    /// Another request of that name is open.
    #[error("a request of this id is open")]
    Duplicate,
    /// A name, key or statement that engines could not be sent.
    #[error("{0} is empty, too long, or has characters that can't be passed on")]
    Text(&'static str),
}

fn is_plain(text: &str) -> bool {
    let plain = |c: char| c.is_ascii_graphic() && c != ',' && c != '=';
    !text.is_empty() && text.len() <= LONGEST_NAME && text.chars().all(plain)
}

impl Core {
    /// The request as it enters the table, or its number and why it can't be used.
    pub(super) fn take_in(&mut self, now: Micros, arrival: IncomingRequest) -> Result<Open, (u64, Invalid)> {
        let checked = self.check(&arrival);
        let class = checked.map_err(|why| (arrival.request, why))?;
        // A longer wait than the class allows is none that a client may ask engines for.
        let most = Micros::from_ms(self.front.settings.classes[class].deadline_ms);
        let deadline = now + arrival.left.min(most);
        let deadline = self.shutdown_by.map_or(deadline, |end| deadline.min(end));
        Ok(Open {
            class,
            slot: None,
            arrived: now,
            deadline,
            priority: 1,
            state: RequestState::Queued,
            arrival,
        })
    }

    fn check(&self, arrival: &IncomingRequest) -> Result<usize, Invalid> {
        let class = self.front.classes.iter().position(|name| *name == arrival.class);
        let class = class.ok_or_else(|| Invalid::Class(arrival.class.clone()))?;
        let keyed = matches!(self.front.settings.classes[class].effect, Effect::Keyed { .. });
        match &arrival.key {
            None if keyed => return Err(Invalid::Key(arrival.class.clone())),
            Some(key) if !is_plain(key) => return Err(Invalid::Text("the idempotency key")),
            _ => {}
        }
        if !is_plain(&arrival.name) {
            return Err(Invalid::Text("the request's id"));
        }
        if arrival.statement.trim().is_empty() || arrival.statement.len() > LONGEST_STATEMENT {
            return Err(Invalid::Text("the statement"));
        }
        if arrival.left.0 <= 0 || arrival.left > LONGEST_WAIT {
            return Err(Invalid::Budget);
        }
        match self.names.contains(&arrival.name) {
            true => Err(Invalid::Duplicate),
            false => Ok(class),
        }
    }
}
