//! Types of the decision module: its inputs, its outputs, and the types that both use. The behavior is in the
//! sibling modules.
//!
//! Units, unless a name says otherwise: a point in time is in milliseconds of the embedding program's clock,
//! a duration is in milliseconds, memory is in megabytes, and work is the time that one thread would take
//! (ms).

mod engines;
mod events;
mod ids;
mod requests;
mod settings;

pub use engines::{EngineEntry, EngineListEvent, EngineState, LoadReport};
pub use events::{Action, AttemptEnd, Event, LogMessage, Outcome, ProgressNote, Usage};
pub use ids::{CellId, ClassId, EngineId, KindId, Millis, OrderKey, RequestId, TenantId, ZoneId};
pub use requests::{PriorExecution, Request};
pub use settings::{
    ClassSettings, DedupScope, Effect, EngineTraits, KindSettings, Limits, MemoryShortage, RetryBudget,
    Rules, Settings, TenantSettings,
};
