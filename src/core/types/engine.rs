//! Engines as service discovery lists them.

use super::ConnectionEnd;
use crate::clock::Micros;
use crate::decision::{EngineState, LoadReport};
use std::net::SocketAddr;

/// An entry of the engine list.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// The engine's name. It stays the same when the engine's process restarts.
    pub name: String,
    /// The address on which the engine listens.
    pub address: SocketAddr,
    /// The name of the engine's zone.
    pub zone: String,
    /// The kind of machine, by its name in the settings.
    pub kind: String,
    /// The engine's cell; `None` if unknown. Engines of one cell share the idempotency keys that they have received.
    pub cell: Option<u64>,
    /// Whether the engine is ready, draining or removed.
    pub state: EngineState,
    /// The engine's weight relative to the other engines.
    pub weight: f64,
    /// When the engine's process last started; `None` if unknown.
    pub started_at: Option<Micros>,
}

/// An update of the engine list.
#[derive(Debug, Clone, PartialEq)]
pub enum EngineListUpdate {
    /// The complete list from the configuration, applied at program start.
    Initial(Vec<Engine>),
    /// The complete list. Engines that it does not name are removed.
    Complete(Vec<Engine>),
    /// Only the entries that have changed.
    Changed(Vec<Engine>),
}

/// The result of a health check.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HealthCheckResult {
    /// The engine's number.
    pub engine: u64,
    /// How the health check ended.
    pub end: ConnectionEnd,
    /// The engine's load report; `None` if the engine sent none.
    pub report: Option<LoadReport>,
    /// The health-check latency.
    pub elapsed: Micros,
}
