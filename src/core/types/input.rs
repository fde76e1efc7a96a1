//! Inputs: the events that the core handles.

use super::{AttemptEvent, AttemptId, EngineListUpdate, HealthCheckResult, IncomingRequest, TenantUpdate};
use crate::clock::Micros;
use crate::core::HandoverState;

/// An event that the core handles.
#[derive(Debug)]
pub enum Input {
    /// A frontend received a request.
    RequestReceived(IncomingRequest),
    /// The client of the request with this id disconnected.
    ClientDisconnected(u64),
    /// An operator cancels the request with this id.
    CancelRequested(u64),
    /// The engine list has changed.
    Engines(EngineListUpdate),
    /// Tenants have changed. All updates stem from one change of the registry.
    Tenants(Vec<TenantUpdate>),
    /// An engine or its connection reports on an attempt.
    Attempt {
        /// The id of the attempt.
        attempt: AttemptId,
        /// The reported event.
        event: AttemptEvent,
    },
    /// A health check has ended.
    HealthChecked(HealthCheckResult),
    /// Restore the learned state of another process of this manager.
    RestoreState {
        /// The state that the other process exported.
        state: Box<HandoverState>,
        /// The time since the export.
        age: Micros,
    },
    /// The number of client connections that another process of this manager has. They count against the same limit.
    PeerProcessConnections(usize),
    /// Fire all timers that are due.
    Tick,
    /// Reject new requests from now on, because a graceful shutdown has begun.
    RejectNew,
    /// The program ends by this time. Later deadlines of open and new requests are moved to it.
    ShutdownBy(Micros),
}
