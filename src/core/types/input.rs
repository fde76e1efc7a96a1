//! Events that the core handles.

use super::{AttemptEvent, AttemptId, EngineListUpdate, HealthCheckResult, IncomingRequest, TenantUpdate};
use crate::clock::Micros;
use crate::core::HandoverState;

/// An event that the core handles.
#[derive(Debug)]
pub enum Input {
    /// A frontend received a request.
    RequestReceived(IncomingRequest),
    /// The client of this request no longer waits.
    ClientDisconnected(u64),
    /// An operator cancels this request.
    CancelRequested(u64),
    /// The engine list has changed.
    Engines(EngineListUpdate),
    /// Tenants have changed, all by one change of the registry.
    Tenants(Vec<TenantUpdate>),
    /// An engine reports on an attempt, or the attempt has ended.
    Attempt {
        /// The attempt.
        attempt: AttemptId,
        /// What happened to it.
        event: AttemptEvent,
    },
    /// A health check has ended.
    HealthChecked(HealthCheckResult),
    /// Restore what another process of this manager has learned.
    RestoreState {
        /// What it has learned.
        state: Box<HandoverState>,
        /// The time since then.
        age: Micros,
    },
    /// Another process of this manager has so many of the connections that clients may have.
    PeerProcessConnections(usize),
    /// Time has passed: due timers fire.
    Tick,
    /// New requests are rejected from now on: the program is about to end.
    RejectNew,
    /// The program ends by then: no request, open or new, has a later deadline.
    ShutdownBy(Micros),
}
