//! Requests, as they arrive.

use super::{CellId, ClassId, Millis, OrderKey, RequestId, TenantId, ZoneId};

/// A request, as received from a client.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Request {
    /// Id of the request.
    pub id: RequestId,
    /// Class of the request.
    pub class: ClassId,
    /// Tenant of the request; `None` if requests carry no tenant.
    pub tenant: Option<TenantId>,
    /// Order key; only used if the class is [in order](super::ClassSettings::in_order).
    pub key: Option<OrderKey>,
    /// Data set that the request reads or loads.
    pub data_set: u64,
    /// The client's estimate of the work (ms of one thread); `None` if it gives none.
    pub work_ms: Option<Millis>,
    /// The client's estimate of the memory (MB); `None` if it gives none.
    pub memory_mb: Option<f64>,
    /// Time that the client still waits (ms).
    pub remaining_ms: Millis,
    /// Possible execution before this arrival, if the client has sent the request before.
    pub prior_execution: Option<PriorExecution>,
}

/// A possible execution of a request that its client has resent since.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PriorExecution {
    /// Time at which the execution started.
    pub at: Millis,
    /// Zone of the engine.
    pub zone: ZoneId,
    /// Cell of the engine; `None` if it belongs to none.
    pub cell: Option<CellId>,
}
