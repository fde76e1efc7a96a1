//! A workload manager in front of query engines with limited memory. It decides when and on which engine each query or
//! load of many tenants is executed, and returns exactly one final answer for each request.
//!
//! | module | task |
//! | --- | --- |
//! | [`decision`] | scheduling decisions, without I/O and clock |
//! | [`core`] | requests, attempts and tenants around the decision module, without I/O |
//! | [`service`] | the task that runs the core |
//! | [`frontend`] | connections of clients (HTTP, TDS) |
//! | [`upstream`] | connections to engines |
//! | [`discovery`] | updates of the endpoint list |
//! | [`tenants`], [`admin`] | management of tenants |
//! | [`cluster`] | leases and rolling restarts among several managers |
//! | [`lifecycle`], [`state_handover`], [`operations_endpoint`] | start, drain and shutdown of the process |
//! | [`config`], [`settings`] | configuration |
//!
//! # The decision module
//!
//! [`Scheduler`] is a state machine. Its caller passes every [`Event`] with the time at which it happened, and applies
//! the resulting [`Action`]s in order. The same events always result in the same actions.
//!
//! ```
//! use sanddyke::{Action, ClassSettings, EngineEntry, EngineId, EngineState, Event, Scheduler};
//! use sanddyke::{KindId, KindSettings, EngineListEvent, Request, RequestId, Settings, ZoneId};
//!
//! let settings = Settings {
//!     classes: vec![ClassSettings { latency_objective_ms: 300.0, deadline_ms: 1500.0, ..Default::default() }],
//!     kinds: vec![KindSettings { cores: Some(8.0), memory_mb: Some(16384.0) }],
//!     ..Settings::default()
//! };
//! let mut scheduler = Scheduler::new(settings, 7, 0.0);
//! let mut actions = Vec::new();
//!
//! let engine = EngineEntry {
//!     id: EngineId(51),
//!     state: EngineState::Ready,
//!     kind: KindId(0),
//!     zone: ZoneId(0),
//!     cell: None,
//!     started_at: None,
//!     weight: 1.0,
//! };
//! scheduler.handle(0.0, Event::EngineList(EngineListEvent::Replace(vec![engine])), &mut actions);
//! let request = Request { id: RequestId(1), remaining_ms: 1500.0, ..Default::default() };
//! scheduler.handle(5.0, Event::Request(request), &mut actions);
//! assert!(actions.iter().any(|action| matches!(
//!     action,
//!     Action::Send { request: RequestId(1), engine: EngineId(51), .. }
//! )));
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod admin;
pub mod clock;
pub mod cluster;
pub mod config;
pub mod core;
pub mod decision;
pub mod delimiter_search;
pub mod discovery;
pub mod frontend;
pub mod lifecycle;
mod log_text;
pub mod memory;
pub mod operations_endpoint;
pub mod service;
pub mod settings;
pub mod sql;
pub mod state_handover;
pub mod tds;
pub mod tenant_directory;
pub mod tenants;
pub mod upstream;

pub use decision::*;
