//! HTTP/1.1 messages: heads read by winnow, answers written whole.

use bytes::{Buf, Bytes, BytesMut};
use std::fmt::Write;
use thiserror::Error;
use winnow::Parser;
use winnow::combinator::{opt, preceded, repeat, terminated};
use winnow::error::ContextError;
use winnow::token::take_while;

/// The longest head and body read, and the most header fields.
const LONGEST_HEAD: usize = 16 * 1024;
/// The longest body, in bytes.
pub const LONGEST_BODY: usize = 64 * 1024;
const MOST_FIELDS: usize = 64;

/// Why a request could not be read; each has the status that answers it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Unreadable {
    /// Not HTTP/1.1.
    #[error("not a request")]
    Malformed,
    /// Too long a head.
    #[error("the head is too long")]
    Head,
    /// Too long a body.
    #[error("the body is too long")]
    Body,
    /// A body whose length is not told.
    #[error("the body's length must be told")]
    Length,
}

impl Unreadable {
    /// The status that answers it.
    pub fn status(self) -> u16 {
        match self {
            Unreadable::Malformed => 400,
            Unreadable::Head => 431,
            Unreadable::Body => 413,
            Unreadable::Length => 411,
        }
    }
}

/// A request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Its method.
    pub method: String,
    /// Its target.
    pub target: String,
    /// Its header fields.
    pub fields: Vec<(String, String)>,
    /// Its body.
    pub body: Bytes,
    /// Whether the connection ends with its answer.
    pub close: bool,
}

impl Request {
    /// A header field's value; names are told apart without case.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields
            .iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }
}

/// A request's head.
#[derive(Debug)]
pub struct Head {
    request: Request,
    head: usize,
    body: usize,
    /// Whether the client waits for a word before it sends the body.
    pub expects: bool,
}

type Out<T> = Result<T, ContextError>;
type Line = (String, String, bool, Vec<(String, String)>);

fn is_token(c: char) -> bool {
    c.is_ascii_alphanumeric() || "!#$%&'*+-.^_`|~".contains(c)
}

fn field(input: &mut &str) -> Out<(String, String)> {
    let name = take_while(1.., is_token);
    let value = take_while(0.., |c: char| c == '\t' || !c.is_control());
    let line = (terminated(name, ':'), terminated(value, "\r\n"));
    line.map(|(name, value): (&str, &str)| (name.to_owned(), value.trim_matches([' ', '\t']).to_owned()))
        .parse_next(input)
}

fn head(input: &mut &str) -> Out<Line> {
    let method = take_while(1..=16, |c: char| c.is_ascii_uppercase());
    let target = take_while(1.., |c: char| c.is_ascii_graphic());
    let version = preceded("HTTP/1.", winnow::token::one_of(['0', '1']));
    let (method, _, target, _, version, _) = (method, ' ', target, ' ', version, "\r\n").parse_next(input)?;
    let fields = repeat(0..=MOST_FIELDS, field).parse_next(input)?;
    "\r\n".parse_next(input)?;
    Ok((method.to_owned(), target.to_owned(), version == '0', fields))
}

/// Reads the head of the next request, where it is there whole; one with a longer body is not read.
pub fn read_head(buffer: &mut BytesMut, longest_body: usize) -> Result<Option<Head>, Unreadable> {
    // Empty lines before a request are passed over.
    while buffer.starts_with(b"\r\n") {
        buffer.advance(2);
    }
    let Some(end) = buffer.windows(4).position(|four| four == b"\r\n\r\n") else {
        return if buffer.len() > LONGEST_HEAD { Err(Unreadable::Head) } else { Ok(None) };
    };
    let end = end + 4;
    if end > LONGEST_HEAD {
        return Err(Unreadable::Head);
    }
    let text = std::str::from_utf8(&buffer[..end]).map_err(|_| Unreadable::Malformed)?;
    let (method, target, old, fields) = head.parse(text).map_err(|_| Unreadable::Malformed)?;
    let request = Request { method, target, fields, body: Bytes::new(), close: false };
    if request.field("Transfer-Encoding").is_some() {
        return Err(Unreadable::Length);
    }
    let lengths: Vec<&String> = request
        .fields
        .iter()
        .filter(|(name, _)| name.eq_ignore_ascii_case("Content-Length"))
        .map(|(_, value)| value)
        .collect();
    let body = match lengths[..] {
        [] => 0,
        [told] => whole_number(told).ok_or(Unreadable::Malformed)?,
        // Two lengths are two readings of where the next request begins.
        _ => return Err(Unreadable::Malformed),
    };
    if body > longest_body {
        return Err(Unreadable::Body);
    }
    let word =
        |name: &str, wanted: &str| request.field(name).is_some_and(|told| told.eq_ignore_ascii_case(wanted));
    let close = word("Connection", "close") || (old && !word("Connection", "keep-alive"));
    let expects = word("Expect", "100-continue");
    Ok(Some(Head { request: Request { close, ..request }, head: end, body, expects }))
}

/// Reads a whole number.
pub fn whole_number(text: &str) -> Option<usize> {
    terminated(winnow::ascii::dec_uint::<_, usize, ContextError>, opt(' ')).parse(text).ok()
}

impl Head {
    /// Takes the whole request off the front of what was received, where its body is there.
    pub fn take(self, buffer: &mut BytesMut) -> Option<Request> {
        if buffer.len() < self.head + self.body {
            return None;
        }
        buffer.advance(self.head);
        Some(Request { body: buffer.split_to(self.body).freeze(), ..self.request })
    }
}

/// An answer, ready to be written.
#[derive(Debug, Clone)]
pub struct Response {
    status: u16,
    kind: &'static str,
    fields: Vec<(&'static str, String)>,
    body: String,
}

impl Response {
    /// An answer with a JSON body.
    pub fn json(status: u16, body: String) -> Response {
        Response { status, kind: "application/json", fields: Vec::new(), body }
    }

    /// An answer with a body of some kind.
    pub fn of(status: u16, kind: &'static str, body: String) -> Response {
        Response { status, kind, fields: Vec::new(), body }
    }

    /// An answer with a body of plain text.
    pub fn text(status: u16, body: String) -> Response {
        Response { status, kind: "text/plain; version=0.0.4", fields: Vec::new(), body }
    }

    /// Adds a header field.
    pub fn with(mut self, name: &'static str, value: String) -> Response {
        self.fields.push((name, value));
        self
    }

    /// Its bytes.
    pub fn bytes(&self, close: bool) -> Vec<u8> {
        let reason = match self.status {
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
        };
        let mut text = format!("HTTP/1.1 {} {reason}\r\nContent-Type: {}\r\n", self.status, self.kind);
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

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_request_is_read_however_it_is_cut() {
        let sent = b"POST /do/report HTTP/1.1\r\nX-Txn: 9b\r\nContent-Length: 3\r\n\r\nabc";
        for cut in 0..sent.len() {
            let mut buffer = BytesMut::from(&sent[..cut]);
            if let Some(head) = read_head(&mut buffer, LONGEST_BODY).unwrap() {
                assert!(head.take(&mut buffer).is_none(), "cut at {cut}");
            }
            buffer.extend_from_slice(&sent[cut..]);
            let request = read_head(&mut buffer, LONGEST_BODY).unwrap().unwrap().take(&mut buffer).unwrap();
            assert_eq!((request.field("x-txn"), &request.body[..]), (Some("9b"), &b"abc"[..]));
        }
    }

    #[test]
    fn what_can_be_read_in_two_ways_is_not_read() {
        let bad = [
            ("GET / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", 400),
            ("GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", 411),
            ("GET / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", 400),
            ("GET / HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n", 413),
            ("GET / HTTP/1.1\r\nX y: 1\r\n\r\n", 400),
            ("nonsense\r\n\r\n", 400),
        ];
        for (text, status) in bad {
            assert_eq!(
                read_head(&mut BytesMut::from(text), LONGEST_BODY).unwrap_err().status(),
                status,
                "{text}"
            );
        }
    }
}
