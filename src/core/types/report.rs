//! The state of the service, as the administration API and the metrics show it.

use crate::core::AnswerCounts;
use sanddyke_tenancy::{State, TenantId};
use serde::Serialize;
use std::collections::BTreeMap;

/// The state of the whole service.
#[derive(Debug, Serialize)]
pub struct Report {
    /// The engines, sorted by name.
    pub engines: Vec<EngineReport>,
    /// The open requests, sorted by id.
    pub requests: Vec<RequestReport>,
    /// Answers since the start of the process, by tenant and class.
    #[serde(rename = "tallies")]
    pub answers: Vec<AnswerCounts>,
    /// Attempts with a recorded outcome since the start of the process, by outcome.
    pub attempts: BTreeMap<&'static str, u64>,
    /// The tenants, in order of their slots.
    pub tenants: Vec<TenantReport>,
    /// Attempts in flight, including those of closed requests.
    #[serde(skip)]
    pub attempts_in_flight: usize,
    /// How often a request was deferred because its client request id or idempotency key was in use.
    #[serde(skip)]
    pub deferred: u64,
    /// Attempts that the execution guard denied, by the violated rule.
    #[serde(skip)]
    pub violations: BTreeMap<&'static str, u64>,
    /// Sessions with engines that were closed before they carried a request, by reason.
    #[serde(skip)]
    pub discarded_sessions: BTreeMap<&'static str, u64>,
    /// Requests that were answered as invalid because their tenant does not exist.
    pub unknown_tenants: u64,
    /// Whether new requests are rejected because a graceful shutdown has begun.
    pub stopping: bool,
}

/// One tenant.
#[derive(Debug, Serialize)]
pub struct TenantReport {
    /// The tenant's id in the registry.
    pub id: TenantId,
    /// The tenant's name.
    pub name: String,
    /// The lifecycle state: active, suspended, draining or removed.
    pub state: State,
    /// The effective share of the engines; 0 while the tenant is suspended.
    pub share: f64,
    /// The number of open requests.
    #[serde(rename = "open")]
    pub open_requests: u32,
    /// The number of attempts whose end the scheduler does not know yet.
    #[serde(rename = "attempts")]
    pub attempts_in_flight: u32,
    /// Requests that the tenant's limits rejected, by reason code.
    #[serde(rename = "refused")]
    pub rejected: BTreeMap<&'static str, u64>,
}

/// One engine.
#[derive(Debug, Serialize)]
pub struct EngineReport {
    /// The engine's name.
    pub name: String,
    /// The name of the engine's zone.
    pub zone: String,
    /// The kind of machine.
    pub kind: String,
    /// The engine's state in the endpoint list.
    pub state: String,
    /// Attempts of this manager on the engine whose end the scheduler does not know yet.
    #[serde(rename = "attempts_out")]
    pub attempts_in_flight: usize,
}

/// One open request.
#[derive(Debug, Serialize)]
pub struct RequestReport {
    /// The request id.
    pub id: u64,
    /// The client request id.
    #[serde(rename = "name")]
    pub client_request_id: String,
    /// The name of the request's class.
    pub class: String,
    /// The tenant's name; `None` if the request has none.
    pub tenant: Option<String>,
    /// Time since the request was received.
    pub age_ms: f64,
    /// Time until the request's deadline; negative after it.
    #[serde(rename = "left_ms")]
    pub remaining_ms: f64,
    /// `held` while the request is queued or deferred, `on ENGINE` while an attempt runs there, `out` if that
    /// engine is no longer known.
    pub state: String,
}
