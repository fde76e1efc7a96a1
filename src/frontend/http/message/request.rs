//! Reads HTTP/1.1 requests (RFC 9112). The head is parsed with winnow.

use crate::delimiter_search::DelimiterSearch;
use bytes::{Buf, Bytes, BytesMut};
use thiserror::Error;
use winnow::Parser;
use winnow::combinator::{opt, preceded, repeat, terminated};
use winnow::error::ContextError;
use winnow::token::take_while;

/// The maximum size of a request's head.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// The maximum size of the body of a client's request.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// The maximum number of header fields in a request.
const MAX_FIELDS: usize = 64;
/// The estimated memory of a parsed header field beside its text: two strings, each with an allocation.
const FIELD_MEMORY_BYTES: usize = 2 * (size_of::<String>() + 16);
/// The maximum length of a method.
const MAX_METHOD_CHARS: usize = 16;

const LINE_END: &[u8] = b"\r\n";
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Why input is not a valid request. The texts are sent to the client.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum RequestError {
    /// The input is not HTTP/1.1, or it is ambiguous.
    #[error("not a request")]
    Malformed,
    /// The head exceeds its maximum size.
    #[error("the head is too long")]
    HeadTooLong,
    /// The body exceeds the maximum size that the caller allows.
    #[error("the body is too long")]
    BodyTooLong,
    /// The body has a transfer coding, so its length is not known in advance.
    #[error("the body's length must be told")]
    LengthRequired,
    /// The memory budget of the process does not allow a request of this size now. The request was not executed.
    #[error("no memory for a request of this size now")]
    OutOfMemory,
}

impl RequestError {
    /// The HTTP status of the response.
    pub fn status(self) -> u16 {
        match self {
            RequestError::Malformed => 400,
            RequestError::HeadTooLong => 431,
            RequestError::BodyTooLong => 413,
            RequestError::LengthRequired => 411,
            RequestError::OutOfMemory => 503,
        }
    }
}

/// A complete request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// The method, in upper case.
    pub method: String,
    /// The request target, as it was sent.
    pub target: String,
    /// The header fields: names and values, in the order in which they were sent.
    pub fields: Vec<(String, String)>,
    /// The body; empty if the request has none.
    pub body: Bytes,
    /// Whether the client requests that the connection be closed after the response.
    pub close: bool,
}

impl Request {
    /// Returns the value of the first header field with this name. Names are case-insensitive.
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        let (_, value) = fields.find(|(known, _)| known.eq_ignore_ascii_case(name))?;
        Some(value)
    }

    /// Returns the values of all header fields with this name. Names are case-insensitive.
    pub fn values<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        let same_name = move |(known, _): &&(String, String)| known.eq_ignore_ascii_case(name);
        self.fields.iter().filter(same_name).map(|(_, value)| value.as_str())
    }

    /// Whether the first header field with this name has this value. Both are case-insensitive.
    fn field_is(&self, name: &str, value: &str) -> bool {
        self.field(name).is_some_and(|found| found.eq_ignore_ascii_case(value))
    }
}

/// Parses one request from a receive buffer to which bytes are appended between the calls. Each byte is examined once,
/// so the cost does not depend on the number of parts in which a request arrives.
#[derive(Debug)]
pub struct RequestParser {
    max_body_bytes: usize,
    /// The search for the end of the head.
    head_end: DelimiterSearch,
    /// The parsed head, while the body is incomplete.
    head: Option<Head>,
    /// The number of bytes of all heads that were parsed.
    #[cfg(test)]
    parsed_bytes: usize,
}

/// The parsed head of a request.
#[derive(Debug)]
struct Head {
    request: Request,
    head_bytes: usize,
    body_bytes: usize,
    expects_continue: bool,
}

impl RequestParser {
    /// Creates a parser of a request whose body may have at most `max_body_bytes`.
    pub fn new(max_body_bytes: usize) -> RequestParser {
        RequestParser {
            max_body_bytes,
            head_end: DelimiterSearch::default(),
            head: None,
            #[cfg(test)]
            parsed_bytes: 0,
        }
    }

    /// The number of bytes that were searched for the end of a head, or parsed.
    #[cfg(test)]
    pub fn examined_bytes(&self) -> usize {
        self.head_end.examined_bytes + self.parsed_bytes
    }

    /// Removes the request from the front of the receive buffer; `None` if it is incomplete. Between two calls, bytes
    /// may only be appended to the buffer.
    ///
    /// # Errors
    ///
    /// The request is malformed, its head or body is too long, or its body has a transfer coding.
    pub fn next(&mut self, buffer: &mut BytesMut) -> Result<Option<Request>, RequestError> {
        if self.head.is_none() {
            self.head = self.parse_head(buffer)?;
        }
        let is_complete = |head: &mut Head| buffer.len() >= head.head_bytes + head.body_bytes;
        let Some(head) = self.head.take_if(is_complete) else { return Ok(None) };
        self.head_end.restart();
        buffer.advance(head.head_bytes);
        let body = buffer.split_to(head.body_bytes).freeze();
        Ok(Some(Request { body, ..head.request }))
    }

    /// Returns the size to which the receive buffer may have to grow.
    pub fn max_buffer_bytes(&self) -> usize {
        // A head that is too long is noticed with its first byte beyond the maximum.
        self.head.as_ref().map_or(MAX_HEAD_BYTES + 1, |head| head.head_bytes + head.body_bytes)
    }

    /// Returns the estimated memory of the parsed head, while the body is incomplete.
    pub fn head_memory_bytes(&self) -> usize {
        self.head.as_ref().map_or(0, |head| head.head_bytes + head.request.fields.len() * FIELD_MEMORY_BYTES)
    }

    /// Whether the client waits for `100 Continue` before it sends the body.
    pub fn expects_continue(&self) -> bool {
        self.head.as_ref().is_some_and(|head| head.expects_continue)
    }

    /// Parses the head at the front of the receive buffer; `None` if it is incomplete.
    fn parse_head(&mut self, buffer: &mut BytesMut) -> Result<Option<Head>, RequestError> {
        // Empty lines before a request are ignored (RFC 9112, section 2.2).
        while buffer.starts_with(LINE_END) {
            buffer.advance(LINE_END.len());
            self.head_end.restart();
        }
        let Some(head_bytes) = self.head_length(buffer)? else { return Ok(None) };
        #[cfg(test)]
        {
            self.parsed_bytes += head_bytes;
        }
        let text = std::str::from_utf8(&buffer[..head_bytes]).map_err(|_| RequestError::Malformed)?;
        let parsed = parse_head.parse(text).map_err(|_| RequestError::Malformed)?;
        let mut request = Request {
            method: parsed.method,
            target: parsed.target,
            fields: parsed.fields,
            body: Bytes::new(),
            close: false,
        };
        let body_bytes = body_length(&request)?;
        if body_bytes > self.max_body_bytes {
            return Err(RequestError::BodyTooLong);
        }
        let keeps_alive = !parsed.is_http_1_0 || request.field_is("Connection", "keep-alive");
        request.close = request.field_is("Connection", "close") || !keeps_alive;
        let expects_continue = request.field_is("Expect", "100-continue");
        Ok(Some(Head { request, head_bytes, body_bytes, expects_continue }))
    }

    /// Returns the length of the head; `None` if its end has not been received.
    fn head_length(&mut self, buffer: &[u8]) -> Result<Option<usize>, RequestError> {
        let end = self.head_end.find(buffer, HEAD_END);
        match end.map(|position| position + HEAD_END.len()) {
            Some(length) if length <= MAX_HEAD_BYTES => Ok(Some(length)),
            None if buffer.len() <= MAX_HEAD_BYTES => Ok(None),
            _ => Err(RequestError::HeadTooLong),
        }
    }
}

type ParseResult<T> = Result<T, ContextError>;

/// The parsed request line and header fields.
struct ParsedHead {
    method: String,
    target: String,
    is_http_1_0: bool,
    fields: Vec<(String, String)>,
}

/// Whether a character is allowed in the name of a header field (`tchar` of RFC 9110, section 5.6.2).
fn is_token_char(c: char) -> bool {
    c.is_ascii_alphanumeric() || "!#$%&'*+-.^_`|~".contains(c)
}

fn parse_field(input: &mut &str) -> ParseResult<(String, String)> {
    let name = take_while(1.., is_token_char);
    let value = take_while(0.., |c: char| c == '\t' || !c.is_control());
    let line = (terminated(name, ':'), terminated(value, "\r\n"));
    line.map(|(name, value): (&str, &str)| (name.to_owned(), value.trim_matches([' ', '\t']).to_owned()))
        .parse_next(input)
}

fn parse_head(input: &mut &str) -> ParseResult<ParsedHead> {
    let method = take_while(1..=MAX_METHOD_CHARS, |c: char| c.is_ascii_uppercase());
    let target = take_while(1.., |c: char| c.is_ascii_graphic());
    let version = preceded("HTTP/1.", winnow::token::one_of(['0', '1']));
    let (method, _, target, _, version, _) = (method, ' ', target, ' ', version, "\r\n").parse_next(input)?;
    let fields = repeat(0..=MAX_FIELDS, parse_field).parse_next(input)?;
    "\r\n".parse_next(input)?;
    Ok(ParsedHead {
        method: method.to_owned(),
        target: target.to_owned(),
        is_http_1_0: version == '0',
        fields,
    })
}

/// Returns the length of the body from `Content-Length`, or 0 without that field.
///
/// Two lengths, or a transfer coding, are rejected. A proxy and this program could otherwise disagree on where the next
/// request begins (request smuggling).
fn body_length(request: &Request) -> Result<usize, RequestError> {
    if request.field("Transfer-Encoding").is_some() {
        return Err(RequestError::LengthRequired);
    }
    let mut lengths = request.values("Content-Length");
    match (lengths.next(), lengths.next()) {
        (None, _) => Ok(0),
        (Some(length), None) => parse_integer(length).ok_or(RequestError::Malformed),
        (Some(_), Some(_)) => Err(RequestError::Malformed),
    }
}

/// Parses an unsigned decimal integer. One trailing space is accepted.
pub fn parse_integer(text: &str) -> Option<usize> {
    terminated(winnow::ascii::dec_uint::<_, usize, ContextError>, opt(' ')).parse(text).ok()
}
