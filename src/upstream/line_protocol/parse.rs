//! Parser of an engine's responses on the line protocol: `ID KIND FIELDS [LENGTH]`, then a body of that length.
//!
//! The statement's response has the request's id, a health check's response its tag. Fields that are not known are
//! skipped, so that engines can add some.

use crate::core::Row;
use crate::decision::{LoadReport, ProgressNote, Usage};
use bytes::{Buf, Bytes, BytesMut};
use std::time::Duration;
use thiserror::Error;
use winnow::Parser;
use winnow::ascii::{dec_uint, float};
use winnow::combinator::{alt, eof, opt, peek, preceded, separated, separated_pair, terminated};
use winnow::error::ContextError;
use winnow::token::{take_till, take_while};

/// The longest line accepted.
const MAX_LINE_BYTES: usize = 4096;
/// The longest body accepted: one page of a result.
const MAX_BODY_BYTES: usize = 64 * 1024;
/// The most pages of one result.
const MAX_PAGES: u32 = 64;
/// How much of a line that cannot be parsed is shown in the log.
const SHOWN_BYTES: usize = 120;
/// The end of each line and body.
const CRLF: &[u8] = b"\r\n";

/// Why an engine's bytes could not be parsed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ParseError {
    /// A line that does not end within the limit.
    #[error("a line of over {MAX_LINE_BYTES} bytes")]
    LineTooLong,
    /// A body above the limit, with its announced length.
    #[error("a body of {0} bytes")]
    BodyTooLong(usize),
    /// A body that is not followed by the end of a line.
    #[error("a body without its end")]
    UnterminatedBody,
    /// A line that is not of the protocol.
    #[error("cannot read the line {0:?}")]
    UnknownLine(String),
    /// A page that ends within a row.
    #[error("a page that ends within a row")]
    TruncatedRow,
    /// A page that is not text.
    #[error("a page that is not UTF-8")]
    NotUtf8,
}

/// One response of an engine.
#[derive(Debug, PartialEq)]
pub struct Response {
    /// The request's id, or the tag of a health check or of a cancellation's confirmation.
    pub id: String,
    /// What it says.
    pub kind: ResponseKind,
    /// Its fields.
    pub fields: ResponseFields,
    /// Its body; empty where it has none.
    pub body: Bytes,
}

/// The kinds of responses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseKind {
    /// `200`: the first page of a result.
    Ok,
    /// `503`: the engine is full; the request never ran.
    Full,
    /// `500`: the request failed.
    Error,
    /// `504`: the request's time was over when it was read; it never ran.
    Expired,
    /// `status`: progress of a running request.
    Status,
    /// `chunk`: a further page of a result.
    Page,
    /// `alive`: the engine is well.
    Alive,
    /// `dead`: the engine is not well.
    Dead,
}

/// The fields that the service uses.
#[derive(Debug, Default, PartialEq)]
pub struct ResponseFields {
    /// `sheets`: how many pages the result has.
    pub page_count: Option<u32>,
    /// `sheet`: the number of this page, from 0.
    pub page: Option<u32>,
    /// `n` and `val`: progress of the request.
    pub note: Option<ProgressNote>,
    /// `toil` and `room`: what the request used.
    pub usage: Option<Usage>,
    /// `l`: the engine's load.
    pub report: Option<LoadReport>,
}

/// A response's line without its body.
struct Head {
    id: String,
    kind: ResponseKind,
    fields: ResponseFields,
    body_bytes: Option<usize>,
}

fn token<'a>(input: &mut &'a str) -> Result<&'a str, ContextError> {
    take_till(1.., ' ').parse_next(input)
}

/// `name=value` pairs separated by commas, or `-` for none.
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

/// Parses a load report, `name:value;name:value`; names that are not known are skipped.
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

/// Interprets a response's fields; `None` where a page number is not one.
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
        note: find("n").and_then(|name| note(name, amount)),
        usage: usage.filter(|usage| usage.work_ms > 0.0),
        report: find("l").map(load_report),
    })
}

fn note(name: &str, amount: f64) -> Option<ProgressNote> {
    /// The amount of a `held` note that stands for a load.
    const WAITS_FOR_LOAD: f64 = 2.0;
    match name {
        "share" => Some(ProgressNote::Progress(amount)),
        "short" => Some(ProgressNote::Spills(amount)),
        "held" if amount == WAITS_FOR_LOAD => Some(ProgressNote::WaitsForLoad),
        "held" => Some(ProgressNote::WaitsForMemory),
        _ => None,
    }
}

fn head(text: &str) -> Option<Head> {
    let kind = alt((
        "200".value(ResponseKind::Ok),
        "503".value(ResponseKind::Full),
        "500".value(ResponseKind::Error),
        "504".value(ResponseKind::Expired),
        "status".value(ResponseKind::Status),
        "chunk".value(ResponseKind::Page),
        "alive".value(ResponseKind::Alive),
        "dead".value(ResponseKind::Dead),
    ));
    let length = preceded(' ', dec_uint::<_, usize, ContextError>);
    let mut line = (token, preceded(' ', kind), opt(preceded(' ', pairs)), opt(length), eof);
    let (id, kind, pairs, body_bytes, _) = line.parse(text).ok()?;
    let fields = fields(&pairs.unwrap_or_default())?;
    Some(Head { id: id.to_owned(), kind, fields, body_bytes })
}

/// Takes the next complete response off the front of what was received; `None` where it is not complete yet.
///
/// # Errors
/// The bytes are not of the protocol: nothing behind them can be parsed either.
pub fn next(buffer: &mut BytesMut) -> Result<Option<Response>, ParseError> {
    let Some(line_end) = buffer.windows(CRLF.len()).position(|pair| pair == CRLF) else {
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
    let Head { id, kind, fields, body_bytes } = head(text).ok_or_else(unknown)?;
    let body_start = line_end + CRLF.len();
    let Some(length) = body_bytes else {
        buffer.advance(body_start);
        return Ok(Some(Response { id, kind, fields, body: Bytes::new() }));
    };
    if length > MAX_BODY_BYTES {
        return Err(ParseError::BodyTooLong(length));
    }
    let body_end = body_start + length;
    let response_end = body_end + CRLF.len();
    if buffer.len() < response_end {
        return Ok(None);
    }
    if &buffer[body_end..response_end] != CRLF {
        return Err(ParseError::UnterminatedBody);
    }
    buffer.advance(body_start);
    let body = buffer.split_to(length).freeze();
    buffer.advance(CRLF.len());
    Ok(Some(Response { id, kind, fields, body }))
}

/// The rows of a page: columns are separated by tabs, and each row ends in a line feed.
///
/// # Errors
/// The page is not UTF-8, or was cut off within a row.
pub fn rows(page: &[u8]) -> Result<Vec<Row>, ParseError> {
    let text = std::str::from_utf8(page).map_err(|_| ParseError::NotUtf8)?;
    if !text.is_empty() && !text.ends_with('\n') {
        return Err(ParseError::TruncatedRow);
    }
    let row = |line: &str| line.split('\t').map(|cell| Some(cell.to_owned())).collect();
    Ok(text.split_terminator('\n').map(row).collect())
}

/// An attempt's remaining time as engines read it: whole milliseconds, at least one.
pub fn remaining_ms(wait: Duration) -> u64 {
    u64::try_from(wait.as_millis()).unwrap_or(u64::MAX).max(1)
}

#[cfg(test)]
mod tests;
