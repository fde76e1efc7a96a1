//! Reads HTTP/1.1 requests and writes HTTP/1.1 responses.

mod request;
mod response;

pub use request::{MAX_BODY_BYTES, Request, RequestError, RequestParser, parse_integer};
pub use response::Response;

#[cfg(test)]
mod tests;
