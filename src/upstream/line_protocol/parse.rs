//! Parser of responses on the line protocol: `ID KIND FIELDS [LENGTH]`, then a body of that length.
//!
//! The id is the client request id in responses to a request, and the tag in responses to a health check or a
//! confirmation request. Unknown fields are skipped, so that engines can add fields.

use crate::core::Row;
use crate::decision::{LoadReport, ProgressNote, Usage};
use crate::delimiter_search::DelimiterSearch;
use crate::upstream::progress_note;
use bytes::{Buf, Bytes, BytesMut};
use std::time::Duration;
use thiserror::Error;
use winnow::Parser;
use winnow::ascii::{dec_uint, float};
use winnow::combinator::{alt, eof, opt, peek, preceded, separated, separated_pair, terminated};
use winnow::error::ContextError;
use winnow::token::{take_till, take_while};

/// Length limit of a line.
const MAX_LINE_BYTES: usize = 4096;
/// Length limit of a body, which is one page of a result.
const MAX_BODY_BYTES: usize = 64 * 1024;
/// Limit of the pages of one result.
const MAX_PAGES: u32 = 64;
/// Length to which an invalid line is cut in the error message.
const SHOWN_BYTES: usize = 120;
/// The end of each line and body.
const CRLF: &[u8] = b"\r\n";

/// Why a response could not be parsed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ParseError {
    /// A line that exceeds `MAX_LINE_BYTES`.
    #[error("response line exceeds the limit of {MAX_LINE_BYTES} bytes")]
    LineTooLong,
    /// A body whose announced length exceeds `MAX_BODY_BYTES`. The value is that length.
    #[error("response body of {0} bytes exceeds the limit of {MAX_BODY_BYTES} bytes")]
    BodyTooLong(usize),
    /// A body of the announced length that is not followed by CR LF.
    #[error("response body is not followed by CR LF")]
    UnterminatedBody,
    /// A line that does not follow the protocol. The value is its beginning.
    #[error("response line does not follow the protocol: {0:?}")]
    UnknownLine(String),
    /// A page whose last row has no line feed.
    #[error("result page ends within a row")]
    TruncatedRow,
    /// A page that is not valid UTF-8.
    #[error("result page is not valid UTF-8")]
    NotUtf8,
}

/// One response of an engine.
#[derive(Debug, PartialEq)]
pub struct Response {
    /// The client request id, or the tag of a health check or a confirmation request.
    pub id: String,
    /// Type of the response.
    pub kind: ResponseKind,
    /// Known fields of the response's line.
    pub fields: ResponseFields,
    /// Body of the response; empty without one.
    pub body: Bytes,
}

/// The kinds of responses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseKind {
    /// `200`: the first page of a result.
    Ok,
    /// `503`: the engine is full. The request was never executed.
    EngineFull,
    /// `500`: the request failed.
    Error,
    /// `504`: the deadline had passed when the engine read the request. It was never executed.
    DeadlinePassed,
    /// `status`: a progress note of a running request.
    Status,
    /// `chunk`: a page of a result after the first.
    Page,
    /// `alive`: the engine is healthy.
    Alive,
    /// `dead`: the engine is not healthy.
    Dead,
}

/// The known fields of a response.
#[derive(Debug, Default, PartialEq)]
pub struct ResponseFields {
    /// `sheets`: number of pages of the result.
    pub page_count: Option<u32>,
    /// `sheet`: number of this page, from 0.
    pub page: Option<u32>,
    /// `n` and `val`: a progress note and its amount.
    pub note: Option<ProgressNote>,
    /// `toil` and `room`: work (ms) and memory (MB) that the request used.
    pub usage: Option<Usage>,
    /// `l`: the engine's load report.
    pub report: Option<LoadReport>,
}

/// A parsed response line.
#[derive(Debug)]
struct Head {
    id: String,
    kind: ResponseKind,
    fields: ResponseFields,
    /// Announced length of the body; `None` without a body.
    body_bytes: Option<usize>,
    /// Length of the line with its end.
    line_bytes: usize,
}

impl Head {
    /// Returns the length of the complete response.
    fn response_bytes(&self) -> usize {
        self.line_bytes + self.body_bytes.map_or(0, |length| length + CRLF.len())
    }
}

fn token<'a>(input: &mut &'a str) -> Result<&'a str, ContextError> {
    take_till(1.., ' ').parse_next(input)
}

/// Parses `name=value` pairs separated by commas, or `-` for none.
fn pairs<'a>(input: &mut &'a str) -> Result<Vec<(&'a str, &'a str)>, ContextError> {
    let name = take_while(1.., |c: char| c != '=' && c != ',' && c != ' ');
    let value = take_till(0.., [',', ' ']);
    let list = separated(1.., separated_pair(name, '=', value), ',');
    let none = terminated("-", alt((eof, peek(" ")))).map(|_| Vec::new());
    alt((none, list)).parse_next(input)
}

fn finite_number(text: &str) -> Option<f64> {
    let parsed: Result<f64, _> = terminated(float::<_, f64, ContextError>, eof).parse(text);
    parsed.ok().filter(|value| value.is_finite())
}

fn integer(text: &str) -> Option<u32> {
    terminated(dec_uint::<_, u32, ContextError>, eof).parse(text).ok()
}

/// Parses a load report, `name:value;name:value`. Unknown names are skipped.
pub fn load_report(text: &str) -> LoadReport {
    let mut report = LoadReport::default();
    for (name, value) in text.split(';').filter_map(|pair| pair.split_once(':')) {
        let value = finite_number(value);
        match name {
            "inflight" => report.in_flight = value,
            "queue" => report.queued = value,
            "util" => report.busy = value,
            "x0" => report.memory = value,
            "x1" => report.disks = value,
            _ => {}
        }
    }
    report
}

/// Interprets a response's fields. Returns `None` if a page number or the number of pages is invalid.
fn fields(pairs: &[(&str, &str)]) -> Option<ResponseFields> {
    let find = |name: &str| pairs.iter().find(|(known, _)| *known == name).map(|(_, value)| *value);
    let page_count = match find("sheets") {
        Some(text) => Some(integer(text).filter(|count| *count <= MAX_PAGES)?),
        None => None,
    };
    let page = match find("sheet") {
        Some(text) => Some(integer(text)?),
        None => None,
    };
    let amount = find("val").and_then(finite_number).unwrap_or(0.0);
    let memory_mb = find("room").and_then(finite_number).unwrap_or(0.0);
    let usage = find("toil").and_then(finite_number).map(|work_ms| Usage { work_ms, memory_mb });
    Some(ResponseFields {
        page_count,
        page,
        note: find("n").and_then(|name| progress_note(name, amount)),
        usage: usage.filter(|usage| usage.work_ms > 0.0),
        report: find("l").map(load_report),
    })
}

fn head(text: &str) -> Option<Head> {
    let kind = alt((
        "200".value(ResponseKind::Ok),
        "503".value(ResponseKind::EngineFull),
        "500".value(ResponseKind::Error),
        "504".value(ResponseKind::DeadlinePassed),
        "status".value(ResponseKind::Status),
        "chunk".value(ResponseKind::Page),
        "alive".value(ResponseKind::Alive),
        "dead".value(ResponseKind::Dead),
    ));
    let length = preceded(' ', dec_uint::<_, usize, ContextError>);
    let mut line = (token, preceded(' ', kind), opt(preceded(' ', pairs)), opt(length), eof);
    let (id, kind, pairs, body_bytes, _) = line.parse(text).ok()?;
    let fields = fields(&pairs.unwrap_or_default())?;
    let line_bytes = text.len() + CRLF.len();
    Some(Head { id: id.to_owned(), kind, fields, body_bytes, line_bytes })
}

/// Parses the responses in a receive buffer to which bytes are appended between the calls. Each byte is examined once,
/// so the cost does not depend on the number of parts in which a response arrives.
#[derive(Debug, Default)]
pub struct ResponseParser {
    /// The search for the end of the line.
    line_end: DelimiterSearch,
    /// The parsed line at the front of the buffer, while its body is incomplete.
    head: Option<Head>,
}

impl ResponseParser {
    /// Removes the next complete response from the front of the receive buffer. Returns `None` if it is incomplete.
    /// Between two calls, bytes may only be appended to the buffer.
    ///
    /// # Errors
    /// Fails if the bytes don't follow the protocol. Nothing behind them can be parsed then.
    pub fn next(&mut self, buffer: &mut BytesMut) -> Result<Option<Response>, ParseError> {
        if self.head.is_none() {
            self.head = self.parse_line(buffer)?;
        }
        let is_complete = |head: &mut Head| buffer.len() >= head.response_bytes();
        let Some(head) = self.head.take_if(is_complete) else { return Ok(None) };
        self.line_end.restart();
        buffer.advance(head.line_bytes);
        let body = match head.body_bytes {
            None => Bytes::new(),
            Some(length) if &buffer[length..length + CRLF.len()] != CRLF => {
                return Err(ParseError::UnterminatedBody);
            }
            Some(length) => {
                let body = buffer.split_to(length).freeze();
                buffer.advance(CRLF.len());
                body
            }
        };
        Ok(Some(Response { id: head.id, kind: head.kind, fields: head.fields, body }))
    }

    /// Parses the line at the front of the receive buffer; `None` if it is incomplete.
    fn parse_line(&mut self, buffer: &[u8]) -> Result<Option<Head>, ParseError> {
        let Some(line_end) = self.line_end.find(buffer, CRLF) else {
            return if buffer.len() > MAX_LINE_BYTES { Err(ParseError::LineTooLong) } else { Ok(None) };
        };
        if line_end > MAX_LINE_BYTES {
            return Err(ParseError::LineTooLong);
        }
        let line = &buffer[..line_end];
        let unknown = || {
            let shown = &line[..line_end.min(SHOWN_BYTES)];
            ParseError::UnknownLine(String::from_utf8_lossy(shown).into_owned())
        };
        let text = std::str::from_utf8(line).map_err(|_| unknown())?;
        let head = head(text).ok_or_else(unknown)?;
        match head.body_bytes {
            Some(length) if length > MAX_BODY_BYTES => Err(ParseError::BodyTooLong(length)),
            _ => Ok(Some(head)),
        }
    }
}

/// Parses the rows of a page. Columns are separated by tabs, and each row ends with a line feed.
///
/// # Errors
/// Fails if the page is not UTF-8, or ends within a row.
pub fn rows(page: &[u8]) -> Result<Vec<Row>, ParseError> {
    let text = std::str::from_utf8(page).map_err(|_| ParseError::NotUtf8)?;
    if !text.is_empty() && !text.ends_with('\n') {
        return Err(ParseError::TruncatedRow);
    }
    let row = |line: &str| line.split('\t').map(|cell| Some(cell.to_owned())).collect();
    Ok(text.split_terminator('\n').map(row).collect())
}

/// Returns an attempt's remaining time in the unit of the protocol: whole milliseconds, at least one.
pub fn remaining_ms(wait: Duration) -> u64 {
    u64::try_from(wait.as_millis()).unwrap_or(u64::MAX).max(1)
}

#[cfg(test)]
mod tests;
