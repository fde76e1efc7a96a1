//! HTTP/1.1 responses. The body is complete before the response is written, so `Content-Length` is always sent.

use std::fmt::Write;

const JSON: &str = "application/json";
/// The media type of the text exposition format of Prometheus.
const PLAIN_TEXT: &str = "text/plain; version=0.0.4";

/// A complete response.
#[derive(Debug, Clone)]
pub struct Response {
    status: u16,
    content_type: &'static str,
    fields: Vec<(&'static str, String)>,
    body: String,
}

impl Response {
    /// Creates a response with a JSON body.
    pub fn json(status: u16, body: String) -> Response {
        Response { status, content_type: JSON, fields: Vec::new(), body }
    }

    /// Creates a response whose body has the given media type.
    pub fn of(status: u16, content_type: &'static str, body: String) -> Response {
        Response { status, content_type, fields: Vec::new(), body }
    }

    /// Creates a response whose body is plain text, in the version that Prometheus scrapes.
    pub fn text(status: u16, body: String) -> Response {
        Response { status, content_type: PLAIN_TEXT, fields: Vec::new(), body }
    }

    /// Adds a header field.
    pub fn with(mut self, name: &'static str, value: String) -> Response {
        self.fields.push((name, value));
        self
    }

    /// Encodes the response. `close` adds `Connection: close`, which announces that the connection is closed after it.
    pub fn bytes(&self, close: bool) -> Vec<u8> {
        let reason = reason_phrase(self.status);
        let mut text =
            format!("HTTP/1.1 {} {reason}\r\nContent-Type: {}\r\n", self.status, self.content_type);
        for (name, value) in &self.fields {
            // Writing to a string cannot fail.
            let _ = write!(text, "{name}: {value}\r\n");
        }
        if close {
            text.push_str("Connection: close\r\n");
        }
        let _ = write!(text, "Content-Length: {}\r\n\r\n", self.body.len());
        text.push_str(&self.body);
        text.into_bytes()
    }
}

/// Returns the reason phrase of a status code (RFC 9110, section 15).
fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        204 => "No Content",
        400 => "Bad Request",
        401 => "Unauthorized",
        403 => "Forbidden",
        404 => "Not Found",
        405 => "Method Not Allowed",
        409 => "Conflict",
        410 => "Gone",
        411 => "Length Required",
        412 => "Precondition Failed",
        413 => "Content Too Large",
        422 => "Unprocessable Content",
        428 => "Precondition Required",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        503 => "Service Unavailable",
        _ => "Internal Server Error",
    }
}
