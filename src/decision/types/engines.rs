//! Engines as the engine list and their own load reports describe them.

use super::{CellId, EngineId, KindId, Millis, ZoneId};

/// State of an engine in the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum EngineState {
    /// Accepts requests.
    Ready,
    /// Finishes the requests that it runs, and accepts no more.
    Draining,
    /// No longer in the list.
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

/// An engine as the list describes it.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct EngineEntry {
    /// Its id.
    pub id: EngineId,
    /// When its process last started; `None` for long ago.
    pub started_at: Option<Millis>,
    /// Its cell.
    pub cell: Option<CellId>,
    /// Its state.
    pub state: EngineState,
    /// Its kind of machine.
    pub kind: KindId,
    /// Its relative size, where known; else 1.
    pub weight: f64,
    /// Its location.
    pub zone: ZoneId,
}

/// An update of the engine list.
#[derive(Debug, Clone, PartialEq)]
pub enum EngineListEvent {
    /// Changed entries only.
    Update(Vec<EngineEntry>),
    /// The complete list.
    Replace(Vec<EngineEntry>),
    /// The complete list as last saved, perhaps stale.
    Restored(Vec<EngineEntry>),
    /// The list could not be fetched.
    Unavailable,
}

/// An engine's report of its load; what it does not report is `None`.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct LoadReport {
    /// Queries in flight.
    pub in_flight: Option<f64>,
    /// Queries waiting for memory.
    pub queued: Option<f64>,
    /// Fraction of the cores that is busy.
    pub busy: Option<f64>,
    /// Fraction of the memory that is granted; above 1 where more is granted than there is.
    pub memory: Option<f64>,
    /// Fraction of the disks that is busy.
    pub disks: Option<f64>,
}
