//! The listeners for clients, one for each protocol (HTTP and TDS).
//!
//! A frontend reads requests, submits them to the service, and writes the responses.

mod accept;
mod connection_table;
pub mod http;
mod linger;
pub mod tds;

pub use accept::accept;
pub use connection_table::ConnectionPermit;
pub use linger::linger;
