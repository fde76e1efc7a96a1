//! An engine's lines, read by winnow: `ID WORD FIELDS [LENGTH]`, and a body of that length.

use crate::core::Row;
use crate::decision::{AttemptNote, LoadReport, Usage};
use bytes::{Buf, Bytes, BytesMut};
use std::time::Duration;
use thiserror::Error;
use winnow::Parser;
use winnow::ascii::{dec_uint, float};
use winnow::combinator::{alt, eof, opt, preceded, separated, separated_pair, terminated};
use winnow::error::ContextError;
use winnow::token::{take_till, take_while};

/// The longest line and body read.
const LONGEST_LINE: usize = 4096;
const LONGEST_BODY: usize = 64 * 1024;
/// The most pages of one result.
const MOST_PAGES: u32 = 64;

/// Why an engine's bytes could not be read.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Garbled {
    /// A line with no end.
    #[error("a line of over {LONGEST_LINE} bytes")]
    Line,
    /// A body that is too long.
    #[error("a body of {0} bytes")]
    Body(usize),
    /// A body that does not end where it should.
    #[error("a body without its end")]
    End,
    /// Not a line of the protocol.
    #[error("cannot read the line {0:?}")]
    Word(String),
    /// A page that ends within a row.
    #[error("a page that ends within a row")]
    Row,
    /// A page that is not text.
    #[error("a page that is not UTF-8")]
    Text,
}

/// A line: id, word, fields and body.
#[derive(Debug, PartialEq)]
pub struct Line {
    /// The request's or the probe's name.
    pub id: String,
    /// The word.
    pub word: Word,
    /// The fields.
    pub fields: Fields,
    /// The body.
    pub body: Bytes,
}

/// What an engine says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Word {
    /// Served.
    Ok,
    /// Full.
    Full,
    /// Error.
    Error,
    /// Over already.
    Over,
    /// Not yet over.
    Status,
    /// A further page.
    Chunk,
    /// Well.
    Alive,
    /// Not well.
    Dead,
}

/// The fields that the service heeds; others are passed over.
#[derive(Debug, Default, PartialEq)]
pub struct Fields {
    /// The number of all pages.
    pub sheets: Option<u32>,
    /// The number of this one.
    pub sheet: Option<u32>,
    /// A note.
    pub note: Option<AttemptNote>,
    /// What it needed.
    pub usage: Option<Usage>,
    /// The engine's load.
    pub report: Option<LoadReport>,
}

fn token<'a>(input: &mut &'a str) -> Result<&'a str, ContextError> {
    take_till(1.., ' ').parse_next(input)
}

fn pairs<'a>(input: &mut &'a str) -> Result<Vec<(&'a str, &'a str)>, ContextError> {
    let name = take_while(1.., |c: char| c != '=' && c != ',' && c != ' ');
    let value = take_till(0.., [',', ' ']);
    let list = separated(1.., separated_pair(name, '=', value), ',');
    alt((terminated("-", alt((eof, winnow::combinator::peek(" ")))).map(|_| Vec::new()), list))
        .parse_next(input)
}

fn number(text: &str) -> Option<f64> {
    let all: Result<f64, _> = terminated(float::<_, f64, ContextError>, eof).parse(text);
    all.ok().filter(|value| value.is_finite())
}

fn whole(text: &str) -> Option<u32> {
    terminated(dec_uint::<_, u32, ContextError>, eof).parse(text).ok()
}

/// Reads `name:value;name:value`; names that are not known are passed over.
pub fn load_report(text: &str) -> LoadReport {
    let mut report = LoadReport::default();
    for (name, value) in text.split(';').filter_map(|pair| pair.split_once(':')) {
        let value = number(value);
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

fn fields(pairs: &[(&str, &str)]) -> Option<Fields> {
    let find = |name: &str| pairs.iter().find(|(known, _)| *known == name).map(|(_, value)| *value);
    let count = |name: &str| find(name).map(whole);
    let amount = find("val").and_then(number).unwrap_or(0.0);
    let note = match find("n") {
        Some("share") => Some(AttemptNote::Progress(amount)),
        Some("short") => Some(AttemptNote::Spills(amount)),
        Some("held") if amount == 2.0 => Some(AttemptNote::WaitsForLoad),
        Some("held") => Some(AttemptNote::WaitsForMemory),
        _ => None,
    };
    let usage = find("toil")
        .and_then(number)
        .map(|work_ms| Usage { work_ms, memory_mb: find("room").and_then(number).unwrap_or(0.0) });
    let sheets = match count("sheets") {
        Some(told) => Some(told.filter(|all| *all <= MOST_PAGES)?),
        None => None,
    };
    let sheet = match count("sheet") {
        Some(told) => Some(told?),
        None => None,
    };
    Some(Fields {
        sheets,
        sheet,
        note,
        usage: usage.filter(|told| told.work_ms > 0.0),
        report: find("l").map(load_report),
    })
}

fn head(text: &str) -> Option<(String, Word, Fields, Option<usize>)> {
    let word = alt((
        "200".value(Word::Ok),
        "503".value(Word::Full),
        "500".value(Word::Error),
        "504".value(Word::Over),
        "status".value(Word::Status),
        "chunk".value(Word::Chunk),
        "alive".value(Word::Alive),
        "dead".value(Word::Dead),
    ));
    let length = preceded(' ', dec_uint::<_, usize, ContextError>);
    let line = (token, preceded(' ', word), opt(preceded(' ', pairs)), opt(length), eof);
    let mut line = line;
    let (id, word, pairs, length, _) = line.parse(text).ok()?;
    Some((id.to_owned(), word, fields(&pairs.unwrap_or_default())?, length))
}

/// Takes the next whole line, with its body, off the front of what was received.
pub fn next(buffer: &mut BytesMut) -> Result<Option<Line>, Garbled> {
    let Some(end) = buffer.windows(2).position(|pair| pair == b"\r\n") else {
        return if buffer.len() > LONGEST_LINE { Err(Garbled::Line) } else { Ok(None) };
    };
    if end > LONGEST_LINE {
        return Err(Garbled::Line);
    }
    let shown = || String::from_utf8_lossy(&buffer[..end.min(120)]).into_owned();
    let text = std::str::from_utf8(&buffer[..end]).map_err(|_| Garbled::Word(shown()))?;
    let (id, word, fields, length) = head(text).ok_or_else(|| Garbled::Word(shown()))?;
    let Some(length) = length else {
        buffer.advance(end + 2);
        return Ok(Some(Line { id, word, fields, body: Bytes::new() }));
    };
    if length > LONGEST_BODY {
        return Err(Garbled::Body(length));
    }
    let whole = end + 2 + length + 2;
    if buffer.len() < whole {
        return Ok(None);
    }
    if &buffer[whole - 2..whole] != b"\r\n" {
        return Err(Garbled::End);
    }
    buffer.advance(end + 2);
    let body = buffer.split_to(length).freeze();
    buffer.advance(2);
    Ok(Some(Line { id, word, fields, body }))
}

/// The rows of a page: columns part at tabs, and each row ends in a line feed. One that was cut off does not.
pub fn rows(page: &[u8]) -> Result<Vec<Row>, Garbled> {
    let text = std::str::from_utf8(page).map_err(|_| Garbled::Text)?;
    if !text.is_empty() && !text.ends_with('\n') {
        return Err(Garbled::Row);
    }
    let row = |line: &str| line.split('\t').map(|cell| Some(cell.to_owned())).collect();
    Ok(text.split_terminator('\n').map(row).collect())
}

/// How long an attempt's patience is, as engines read it: whole milliseconds, at least one.
pub fn patience(wait: Duration) -> u64 {
    u64::try_from(wait.as_millis()).unwrap_or(u64::MAX).max(1)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_line_comes_whole_however_it_is_cut() {
        let sent =
            b"9b1f 200 sheets=2,toil=120.5,room=64 4\r\na\tb\n\r\nt1 alive l=util:0.61;queue:2;zz:1\r\n";
        for cut in 0..sent.len() {
            let mut buffer = BytesMut::from(&sent[..cut]);
            let mut lines = Vec::new();
            while let Some(line) = next(&mut buffer).unwrap() {
                lines.push(line);
            }
            buffer.extend_from_slice(&sent[cut..]);
            while let Some(line) = next(&mut buffer).unwrap() {
                lines.push(line);
            }
            assert_eq!(lines.len(), 2, "cut at {cut}");
            assert_eq!(lines[0].fields.sheets, Some(2));
            assert_eq!(lines[0].fields.usage, Some(Usage { work_ms: 120.5, memory_mb: 64.0 }));
            assert_eq!(rows(&lines[0].body).unwrap(), vec![vec![Some("a".to_owned()), Some("b".to_owned())]]);
            assert_eq!(lines[1].fields.report.unwrap().busy, Some(0.61));
        }
    }

    #[test]
    fn what_is_not_the_protocol_is_garbled() {
        for bad in [
            "x 201 - 0\r\n",
            "x\r\n",
            "x 200 - 99999999\r\n",
            "x 200 sheets=-1 0\r\n",
            "x 200 - 1\r\nabcd",
            "\r\n",
        ] {
            assert!(next(&mut BytesMut::from(bad)).is_err(), "{bad:?}");
        }
        assert!(next(&mut BytesMut::from(&vec![b'x'; LONGEST_LINE + 1][..])).is_err());
    }
}
