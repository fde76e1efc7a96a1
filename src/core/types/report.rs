//! The state of the service for the administration API and the metrics.

use crate::core::AnswerCounts;
use sanddyke_tenancy::{State, TenantId};
use serde::Serialize;
use std::collections::BTreeMap;

/// The state of the whole service.
#[derive(Debug, Serialize)]
pub struct Report {
    /// The engines, by name.
    pub engines: Vec<EngineReport>,
    /// The open requests, by id.
    pub requests: Vec<RequestReport>,
    /// Answers so far, by tenant and class.
    #[serde(rename = "tallies")]
    pub answers: Vec<AnswerCounts>,
    /// Ended attempts, by outcome.
    pub attempts: BTreeMap<&'static str, u64>,
    /// The tenants.
    pub tenants: Vec<TenantReport>,
    /// Attempts that engines may still execute, also those of requests that are over.
    #[serde(skip)]
    pub attempts_in_flight: usize,
    /// How often a request was withheld because something with its name or key might still be executed.
    #[serde(skip)]
    pub withheld: u64,
    /// Attempts that were asked for and denied, by the rule against them.
    #[serde(skip)]
    pub violations: BTreeMap<&'static str, u64>,
    /// Requests that were rejected because their tenant does not exist.
    pub unknown_tenants: u64,
    /// Whether new requests are rejected because the program is about to end.
    pub stopping: bool,
}

/// One tenant.
#[derive(Debug, Serialize)]
pub struct TenantReport {
    /// Its id.
    pub id: TenantId,
    /// Its name.
    pub name: String,
    /// Its state.
    pub state: State,
    /// Its effective share.
    pub share: f64,
    /// Its open requests.
    #[serde(rename = "open")]
    pub open_requests: u32,
    /// Its attempts in flight.
    #[serde(rename = "attempts")]
    pub attempts_in_flight: u32,
    /// Requests that its limits rejected, by reason code.
    #[serde(rename = "refused")]
    pub rejected: BTreeMap<&'static str, u64>,
}

/// One engine.
#[derive(Debug, Serialize)]
pub struct EngineReport {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Its kind of machine.
    pub kind: String,
    /// Its state in the list.
    pub state: String,
    /// Attempts of this manager that are in flight there.
    #[serde(rename = "attempts_out")]
    pub attempts_in_flight: usize,
}

/// One open request.
#[derive(Debug, Serialize)]
pub struct RequestReport {
    /// Its id.
    pub id: u64,
    /// The client's name for it.
    pub name: String,
    /// Its class.
    pub class: String,
    /// Its tenant.
    pub tenant: Option<String>,
    /// Time since it was received.
    pub age_ms: f64,
    /// Time until its deadline.
    #[serde(rename = "left_ms")]
    pub remaining_ms: f64,
    /// `held` while it is queued, or where it runs.
    pub state: String,
}
