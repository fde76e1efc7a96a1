//! Parses lines of the simulator's protocol: a message and its fields, separated by blanks. `-` is an absent value.

use crate::error::{FieldError, LineError};
use std::str::FromStr;

/// Names of a message's fields, in order.
pub type Layout = &'static [&'static str];

/// Begins a batch.
pub const BATCH: Layout = &["clock"];
/// Launches an instance.
pub const LAUNCH: Layout = &["who", "randomSeed", "env"];
/// Begins an engine list.
pub const LIST: Layout = &["list", "elements"];
/// An entry of the engine list.
pub const ROW: Layout =
    &["engine", "upSinceMs", "unitGroup", "stageState", "familyType", "capacityHint", "zone"];
/// Ends an instance.
pub const SHUTDOWN: Layout = &["who"];

// Fields of the messages for an instance, by `EventMessage`.
const REGISTRY: Layout = &["who", "gen", "form", "list"];
const INGRESS: Layout =
    &["who", "xid", "dataGroup", "opts", "costMs", "customer", "memMb", "graceMs", "profile", "object"];
const COMPLETED: Layout =
    &["who", "xid", "sendNo", "engine", "status", "timeTakenMs", "settled", "bill", "stats"];
const CHECKED: Layout = &["who", "status", "engine", "timeTakenMs", "stats"];
const INTERIM: Layout = &["who", "xid", "sendNo", "engine", "what", "amount"];
const STREAMING: Layout = &["who", "xid", "sendNo", "engine", "timeTakenMs"];
const INBOX: Layout = &["who", "neighbour", "raw"];
const WAKEUP: Layout = &["who", "handle"];
const TIMED_OUT_CLIENT: Layout = &["who", "xid"];

/// A message that is an event of one instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventMessage {
    /// An update of the engine list.
    Registry,
    /// A request arrived.
    Ingress,
    /// An attempt ended.
    Completed,
    /// A health check ended.
    Checked,
    /// A running attempt reports progress.
    Interim,
    /// A response has begun to stream.
    Streaming,
    /// A message of another manager; ignored.
    Inbox,
    /// A timer expired.
    Wakeup,
    /// A client disconnected.
    TimedOutClient,
}

impl EventMessage {
    /// Parses the message of a line.
    pub fn of(name: &str) -> Result<EventMessage, LineError> {
        Ok(match name {
            "REGISTRY" => EventMessage::Registry,
            "INGRESS" => EventMessage::Ingress,
            "COMPLETED" => EventMessage::Completed,
            "CHECKED" => EventMessage::Checked,
            "INTERIM" => EventMessage::Interim,
            "STREAMING" => EventMessage::Streaming,
            "INBOX" => EventMessage::Inbox,
            "WAKEUP" => EventMessage::Wakeup,
            "TIMED_OUT_CLIENT" => EventMessage::TimedOutClient,
            other => return Err(LineError::UnknownEvent(other.to_owned())),
        })
    }

    /// Names of the message's fields.
    pub fn layout(self) -> Layout {
        match self {
            EventMessage::Registry => REGISTRY,
            EventMessage::Ingress => INGRESS,
            EventMessage::Completed => COMPLETED,
            EventMessage::Checked => CHECKED,
            EventMessage::Interim => INTERIM,
            EventMessage::Streaming => STREAMING,
            EventMessage::Inbox => INBOX,
            EventMessage::Wakeup => WAKEUP,
            EventMessage::TimedOutClient => TIMED_OUT_CLIENT,
        }
    }
}

/// The first word of a line; empty for an empty line.
pub fn message_of(line: &str) -> &str {
    line.split(' ').next().unwrap_or("")
}

/// The values of one line.
pub struct Fields<'a> {
    message: &'a str,
    values: Vec<&'a str>,
    layout: Layout,
}

impl<'a> Fields<'a> {
    /// Splits a line by the layout of its message. The last field of `LAUNCH` keeps its blanks.
    pub fn parse(line: &'a str, layout: Layout) -> Result<Fields<'a>, LineError> {
        let message = message_of(line);
        let rest = line.get(message.len() + 1..).unwrap_or("");
        let values: Vec<&str> = if message == "LAUNCH" {
            rest.splitn(layout.len(), ' ').collect()
        } else if rest.is_empty() {
            Vec::new()
        } else {
            rest.split(' ').collect()
        };
        if values.len() != layout.len() {
            return Err(LineError::FieldCount {
                message: message.to_owned(),
                expected: layout.len(),
                names: layout.join(" "),
                found: values.len(),
            });
        }
        Ok(Fields { message, values, layout })
    }

    /// The error for an invalid field.
    pub fn error(&self, index: usize, error: impl Into<FieldError>) -> LineError {
        LineError::Field { message: self.message.to_owned(), field: self.layout[index], error: error.into() }
    }

    /// A field's text; `None` if the value is absent.
    pub fn text(&self, index: usize) -> Option<&'a str> {
        Some(self.values[index]).filter(|value| *value != "-")
    }

    /// A field's text; an error if the value is absent.
    pub fn required_text(&self, index: usize) -> Result<&'a str, LineError> {
        self.text(index).ok_or_else(|| self.error(index, FieldError::Missing))
    }

    /// A field's parsed value; `None` if it is absent.
    pub fn value<T: FromStr>(&self, index: usize) -> Result<Option<T>, LineError> {
        let Some(text) = self.text(index) else { return Ok(None) };
        match text.parse() {
            Ok(value) => Ok(Some(value)),
            Err(_) => Err(self.error(index, FieldError::Unreadable(text.to_owned()))),
        }
    }

    /// A field's parsed value; an error if it is absent.
    pub fn required<T: FromStr>(&self, index: usize) -> Result<T, LineError> {
        self.value(index)?.ok_or_else(|| self.error(index, FieldError::Missing))
    }

    /// A finite time or amount; `None` if it is absent. JSON's and the clock's numbers are finite as well.
    pub fn amount(&self, index: usize) -> Result<Option<f64>, LineError> {
        match self.value::<f64>(index)? {
            Some(value) if !value.is_finite() => Err(self.error(index, FieldError::NotFinite)),
            value => Ok(value),
        }
    }

    /// A finite time or amount; an error if it is absent.
    pub fn required_amount(&self, index: usize) -> Result<f64, LineError> {
        self.amount(index)?.ok_or_else(|| self.error(index, FieldError::Missing))
    }
}
