//! Engines, as the engine list and their own load reports describe them.

use super::{CellId, EngineId, KindId, Millis, ZoneId};

/// State of an engine in the engine list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum EngineState {
    /// The engine accepts requests.
    Ready,
    /// The engine finishes the attempts that it executes and accepts no new ones.
    Draining,
    /// The engine is no longer in the list.
    #[default]
    Removed,
}

impl EngineState {
    /// The state's name in logs, metrics and the administration API.
    pub fn name(self) -> &'static str {
        match self {
            EngineState::Ready => "ready",
            EngineState::Draining => "draining",
            EngineState::Removed => "gone",
        }
    }
}

/// An entry of the engine list.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct EngineEntry {
    /// Id of the engine.
    pub id: EngineId,
    /// Time at which the engine's process last started; `None` if the list does not state it. An engine that is
    /// already known then counts as started long ago.
    pub started_at: Option<Millis>,
    /// Cell that the engine belongs to; `None` if it belongs to none.
    pub cell: Option<CellId>,
    /// State of the engine in the list.
    pub state: EngineState,
    /// Kind of machine that the engine runs on.
    pub kind: KindId,
    /// Relative size of the engine; 1 if unknown.
    pub weight: f64,
    /// Zone that the engine is in.
    pub zone: ZoneId,
}

/// An update of the engine list.
#[derive(Debug, Clone, PartialEq)]
pub enum EngineListEvent {
    /// Only the entries that changed.
    Update(Vec<EngineEntry>),
    /// The complete list. Engines that it does not contain are removed.
    Replace(Vec<EngineEntry>),
    /// The complete list as it was last saved, possibly stale. Engines that it does not contain are removed.
    Restored(Vec<EngineEntry>),
    /// The list could not be fetched.
    Unavailable,
}

/// Load report of an engine. A value that the engine does not report is `None`.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct LoadReport {
    /// Number of queries in flight.
    pub in_flight: Option<f64>,
    /// Number of queries that wait for memory.
    pub queued: Option<f64>,
    /// Fraction of the cores that are busy, from 0 to 1.
    pub busy: Option<f64>,
    /// Fraction of the memory that is granted; above 1 if the grants exceed the memory.
    pub memory: Option<f64>,
    /// Fraction of the disks that are busy, from 0 to 1.
    pub disks: Option<f64>,
}
