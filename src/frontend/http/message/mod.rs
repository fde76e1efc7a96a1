//! Reads HTTP/1.1 requests and writes HTTP/1.1 responses.

mod request;
mod response;

pub use request::{Head, MAX_BODY_BYTES, Request, RequestError, parse_integer, read_head};
pub use response::Response;

#[cfg(test)]
mod tests;
