//! A request that has no answer yet.

use super::IncomingRequest;
use crate::clock::Micros;
use sanddyke_tenancy::Slot;

/// A request that has no answer yet. It leaves the core's table with its answer, so there can be no second one.
#[derive(Debug)]
pub(super) struct OpenRequest {
    pub(super) incoming: IncomingRequest,
    /// The position of its class in the settings.
    pub(super) class: usize,
    /// Its tenant's slot, once it is admitted; none where requests carry no tenants.
    pub(super) tenant_slot: Option<Slot>,
    pub(super) received_at: Micros,
    pub(super) deadline: Micros,
    pub(super) priority: u8,
    pub(super) state: RequestState,
}

/// The state of an open request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RequestState {
    /// Something with its name or idempotency key may still be executed: the decision module does not know it yet.
    Withheld,
    /// The decision module has queued it.
    Queued,
    /// The attempt of this number is in flight.
    Running(u32),
}
