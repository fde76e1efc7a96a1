//! Inputs and outputs of the core. These types are independent of the wire protocols.

mod attempt;
mod command;
mod engine;
mod input;
mod report;
mod request;
mod tenant;

pub use attempt::{AttemptEvent, AttemptId, Call, ConnectionEnd};
pub use command::Command;
pub use engine::{Engine, EngineListUpdate, HealthCheckResult};
pub use input::Input;
pub use report::{EngineReport, Report, RequestReport, TenantReport};
pub use request::{Answer, IncomingRequest, ResultMemory, Row, Table};
pub use tenant::TenantUpdate;
