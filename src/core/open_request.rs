//! Open requests and their states.

use super::IncomingRequest;
use crate::clock::Micros;
use sanddyke_tenancy::Slot;

/// An admitted request without a final answer. The answer removes it from the core's table, so that there is no
/// second answer.
#[derive(Debug)]
pub(super) struct OpenRequest {
    pub(super) incoming: IncomingRequest,
    /// The index of the request's class in the settings.
    pub(super) class: usize,
    /// The slot of the request's tenant in the roster, set on admission; `None` for requests without a tenant.
    pub(super) tenant_slot: Option<Slot>,
    pub(super) received_at: Micros,
    pub(super) deadline: Micros,
    pub(super) priority: u8,
    pub(super) state: RequestState,
}

/// The state of an open request. The log's field `state` shows these names.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RequestState {
    /// Deferred: admitted, but not yet submitted to the scheduler, because another request or attempt uses its client
    /// request id or idempotency key.
    Withheld,
    /// Submitted to the scheduler, and no attempt is in flight.
    Queued,
    /// The attempt of this number is in flight.
    Running(u32),
}
