//! The frontends: each reads its own protocol, submits requests to the service, and writes their responses.

mod accept;
mod connection_table;
pub mod http;
mod linger;
pub mod tds;

pub use accept::accept;
pub use connection_table::ConnectionPermit;
pub use linger::linger;
