//! Engines as discovery lists them.

use super::ConnectionEnd;
use crate::clock::Micros;
use crate::decision::{EngineState, LoadReport};
use std::net::SocketAddr;

/// An entry of the engine list.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// Its name; the same after a restart of its process.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Its kind of machine.
    pub kind: String,
    /// Its cell: engines of one cell share which idempotency keys they have seen.
    pub cell: Option<u64>,
    /// Its state.
    pub state: EngineState,
    /// Its weight.
    pub weight: f64,
    /// When it last started, where that is known.
    pub started_at: Option<Micros>,
}

/// An update of the engine list.
#[derive(Debug, Clone, PartialEq)]
pub enum EngineListUpdate {
    /// The complete list from the configuration, at the start.
    Initial(Vec<Engine>),
    /// The complete list: engines that it does not name are removed.
    Complete(Vec<Engine>),
    /// Entries that have changed.
    Changed(Vec<Engine>),
}

/// The result of a health check.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HealthCheckResult {
    /// The engine's number.
    pub engine: u64,
    /// How it ended.
    pub end: ConnectionEnd,
    /// The engine's load, where reported.
    pub report: Option<LoadReport>,
    /// How long it took.
    pub elapsed: Micros,
}
