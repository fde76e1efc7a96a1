//! A request, as it arrives.

use super::{ClassId, Millis, OrderKey, RequestId, TenantId};

/// One request, as received from a client.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant, where requests carry one.
    pub tenant: Option<TenantId>,
    /// The key within which it is ordered; heeded where its class is [in order](super::ClassSettings::in_order).
    pub key: Option<OrderKey>,
    /// The data set that it reads or loads.
    pub data_set: u64,
    /// Estimate of its work, where the client gives one (ms of one thread).
    pub work_ms: Option<Millis>,
    /// Estimate of its memory, where the client gives one (MB).
    pub memory_mb: Option<f64>,
    /// How much longer its client waits (ms).
    pub remaining_ms: Millis,
}
