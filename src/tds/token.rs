//! Tokens of an answer, and what a batch or a call asks.

use super::value::{self, Type, Value};
use super::{Malformed, Out, from_utf16, put_short, utf16};
use crate::core::{Row, Table};
use crate::sql;
use winnow::Parser;
use winnow::binary::{le_u8, le_u16, le_u32, le_u64};
use winnow::combinator::repeat;
use winnow::error::ContextError;
use winnow::token::take;

const COLMETADATA: u8 = 0x81;
const RETURNSTATUS: u8 = 0x79;
const ORDER: u8 = 0xa9;
const ERROR: u8 = 0xaa;
const INFO: u8 = 0xab;
const LOGINACK: u8 = 0xad;
const ROW: u8 = 0xd1;
const NBCROW: u8 = 0xd2;
const ENVCHANGE: u8 = 0xe3;
const DONE: u8 = 0xfd;
const DONEPROC: u8 = 0xfe;
const DONEINPROC: u8 = 0xff;

const DONE_MORE: u16 = 0x01;
const DONE_ERROR: u16 = 0x02;
const DONE_COUNT: u16 = 0x10;
const DONE_ATTN: u16 = 0x20;
const MOST_COLUMNS: u16 = 256;
const MOST_PARAMETERS: usize = 256;
const SP_EXECUTESQL: u16 = 10;

/// A token of an answer, as an engine sends it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Token {
    /// The columns.
    Columns(Vec<(String, Type)>),
    /// A row.
    Row(Row),
    /// An error.
    Error {
        /// Its number.
        number: u32,
        /// Its text.
        text: String,
    },
    /// Word that is no error.
    Info {
        /// Its number.
        number: u32,
        /// Its text.
        text: String,
    },
    /// The login is granted.
    LoginAck,
    /// A statement is over.
    Done {
        /// More follows.
        more: bool,
        /// It failed.
        error: bool,
        /// It is the word on an attention.
        attention: bool,
    },
    /// Nothing that is heeded.
    Other,
}

fn message(input: &mut &[u8]) -> Out<(u32, String)> {
    let length = le_u16.parse_next(input)?;
    let mut data: &[u8] = take(length).parse_next(input)?;
    let data = &mut data;
    let (number, _state, _class, count) = (le_u32, le_u8, le_u8, le_u16).parse_next(data)?;
    let text: &[u8] = take(usize::from(count) * 2).parse_next(data)?;
    Ok((number, from_utf16(text).ok_or_else(ContextError::new)?))
}

fn short(input: &mut &[u8]) -> Out<String> {
    let count = le_u8.parse_next(input)?;
    let text: &[u8] = take(usize::from(count) * 2).parse_next(input)?;
    from_utf16(text).ok_or_else(ContextError::new)
}

fn columns(input: &mut &[u8]) -> Out<Vec<(String, Type)>> {
    let count = le_u16.parse_next(input)?;
    if count == 0xffff {
        return Ok(Vec::new());
    }
    if count > MOST_COLUMNS {
        return Err(ContextError::new());
    }
    let column = |input: &mut &[u8]| {
        let _user_type_and_flags = (le_u32, le_u16).parse_next(input)?;
        let kind = value::read_type(input)?;
        Ok((short(input)?, kind))
    };
    repeat(usize::from(count), column).parse_next(input)
}

fn row(columns: &[(String, Type)], nulls: &[u8], input: &mut &[u8]) -> Out<Row> {
    let mut row = Row::with_capacity(columns.len());
    for (at, (_, kind)) in columns.iter().enumerate() {
        let null = nulls.get(at / 8).is_some_and(|bits| bits >> (at % 8) & 1 == 1);
        row.push(if null { None } else { value::read(*kind, input)?.into_text() });
    }
    Ok(row)
}

/// Reads the next token; `columns` are those of the rows that come.
pub fn read(columns_now: &[(String, Type)], input: &mut &[u8]) -> Out<Token> {
    match le_u8.parse_next(input)? {
        COLMETADATA => columns(input).map(Token::Columns),
        ROW => row(columns_now, &[], input).map(Token::Row),
        NBCROW => {
            let nulls: &[u8] = take(columns_now.len().div_ceil(8)).parse_next(input)?;
            row(columns_now, nulls, input).map(Token::Row)
        }
        ERROR => message(input).map(|(number, text)| Token::Error { number, text }),
        INFO => message(input).map(|(number, text)| Token::Info { number, text }),
        kind @ (LOGINACK | ENVCHANGE | ORDER) => {
            let length = le_u16.parse_next(input)?;
            let _data: &[u8] = take(length).parse_next(input)?;
            Ok(if kind == LOGINACK { Token::LoginAck } else { Token::Other })
        }
        RETURNSTATUS => le_u32.parse_next(input).map(|_| Token::Other),
        DONE | DONEPROC | DONEINPROC => {
            let (status, _command, _count) = (le_u16, le_u16, le_u64).parse_next(input)?;
            let told = |bit: u16| status & bit != 0;
            Ok(Token::Done { more: told(DONE_MORE), error: told(DONE_ERROR), attention: told(DONE_ATTN) })
        }
        _ => Err(ContextError::new()),
    }
}

fn skip_headers(input: &mut &[u8]) -> Out<()> {
    let length = le_u32.parse_next(input)? as usize;
    let rest = length.checked_sub(4).ok_or_else(ContextError::new)?;
    take(rest).void().parse_next(input)
}

/// Reads a batch: its statement.
pub fn read_batch(data: &[u8]) -> Result<String, Malformed> {
    let mut input = data;
    let headers = skip_headers(&mut input);
    headers.ok().and_then(|()| from_utf16(input)).ok_or(Malformed::Message("SQLBatch"))
}

fn parameter(input: &mut &[u8]) -> Out<(String, Value)> {
    let name = short(input)?;
    let _status = le_u8.parse_next(input)?;
    let kind = value::read_type(input)?;
    Ok((name, value::read(kind, input)?))
}

fn call(input: &mut &[u8]) -> Out<String> {
    skip_headers(input)?;
    let named = match le_u16.parse_next(input)? {
        0xffff => le_u16.parse_next(input)? == SP_EXECUTESQL,
        count => {
            let name: &[u8] = take(usize::from(count) * 2).parse_next(input)?;
            from_utf16(name).is_some_and(|name| name.eq_ignore_ascii_case("sp_executesql"))
        }
    };
    let _flags = le_u16.parse_next(input)?;
    let parameters: Vec<(String, Value)> = repeat(0..=MOST_PARAMETERS, parameter).parse_next(input)?;
    let mut parameters = parameters.into_iter();
    let statement = parameters.next().and_then(|(_, value)| value.into_text());
    let statement = statement.filter(|_| named && input.is_empty()).ok_or_else(ContextError::new)?;
    let bound: Vec<(String, String)> =
        parameters.skip(1).map(|(name, value)| (name, value.literal())).collect();
    Ok(sql::bind(&statement, &bound))
}

/// Reads a call of `sp_executesql`: its statement, with the parameters in their places.
pub fn read_call(data: &[u8]) -> Result<String, Malformed> {
    call(&mut &data[..]).map_err(|_| Malformed::Message("call of sp_executesql"))
}

/// A batch, with the headers that it needs.
pub fn batch(statement: &str) -> Vec<u8> {
    let mut out = Vec::with_capacity(22 + statement.len() * 2);
    out.extend(22u32.to_le_bytes());
    out.extend(18u32.to_le_bytes());
    out.extend(2u16.to_le_bytes()); // transaction descriptor
    out.extend([0; 8]);
    out.extend(1u32.to_le_bytes()); // requests out
    out.extend(utf16(statement));
    out
}

/// Whether a response is to a batch or to a call of a procedure.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseKind {
    /// A batch.
    Batch,
    /// A call of a procedure.
    Call,
}

fn put_done(out: &mut Vec<u8>, kind: ResponseKind, status: u16, count: u64) {
    if kind == ResponseKind::Call {
        out.push(RETURNSTATUS);
        out.extend(u32::from(status & DONE_ERROR != 0).to_le_bytes());
    }
    out.push(if kind == ResponseKind::Call { DONEPROC } else { DONE });
    out.extend(status.to_le_bytes());
    out.extend(0xc1u16.to_le_bytes()); // of a SELECT
    out.extend(count.to_le_bytes());
}

/// A whole result.
pub fn table(kind: ResponseKind, table: &Table) -> Vec<u8> {
    let mut out = Vec::new();
    let width = table.rows.iter().map(Vec::len).max().unwrap_or(0).max(table.columns.len());
    if width > 0 {
        let longest = |at: usize| {
            let cells = table.rows.iter().filter_map(|row| row.get(at)?.as_deref());
            cells.map(|text| text.encode_utf16().count() * 2).max().unwrap_or(0)
        };
        let any: Vec<bool> = (0..width).map(|at| value::is_long(longest(at))).collect();
        out.push(COLMETADATA);
        out.extend((width as u16).to_le_bytes());
        for (at, any) in any.iter().enumerate() {
            out.extend([0, 0, 0, 0, 0x09, 0]); // no user type; may be missing, may be changed
            value::put_text_type(&mut out, *any);
            let unnamed = format!("column{}", at + 1);
            put_short(&mut out, table.columns.get(at).unwrap_or(&unnamed));
        }
        for row in &table.rows {
            out.push(ROW);
            for (at, any) in any.iter().enumerate() {
                value::put_text(&mut out, *any, row.get(at).and_then(|cell| cell.as_deref()));
            }
        }
    }
    put_done(&mut out, kind, DONE_COUNT, table.rows.len() as u64);
    out
}

/// An error, and the end of the answer.
pub fn error(kind: ResponseKind, number: u32, severity: u8, text: &str) -> Vec<u8> {
    let text: String = text.chars().take(1000).collect();
    let mut data = Vec::new();
    data.extend(number.to_le_bytes());
    data.extend([1, severity]);
    data.extend((text.encode_utf16().count() as u16).to_le_bytes());
    data.extend(utf16(&text));
    put_short(&mut data, "sanddyke");
    put_short(&mut data, "");
    data.extend(0u32.to_le_bytes());
    let mut out = vec![ERROR];
    out.extend((data.len() as u16).to_le_bytes());
    out.extend(data);
    put_done(&mut out, kind, DONE_ERROR, 0);
    out
}

/// The one word on an attention.
pub fn attention_done() -> Vec<u8> {
    let mut out = Vec::new();
    put_done(&mut out, ResponseKind::Batch, DONE_ATTN, 0);
    out
}

fn env_change(out: &mut Vec<u8>, kind: u8, new: &str, old: &str) {
    let mut data = vec![kind];
    put_short(&mut data, new);
    put_short(&mut data, old);
    out.push(ENVCHANGE);
    out.extend((data.len() as u16).to_le_bytes());
    out.extend(data);
}

/// The answer to a login that is granted.
pub fn login_ack(database: &str) -> Vec<u8> {
    let mut out = Vec::new();
    env_change(&mut out, 1, database, "master");
    let size = super::packet::PACKET.to_string();
    env_change(&mut out, 4, &size, &size);
    let mut data = vec![1];
    data.extend([0x74, 0, 0, 0x04]);
    put_short(&mut data, "sanddyke");
    data.extend([16, 0, 0, 0]);
    out.push(LOGINACK);
    out.extend((data.len() as u16).to_le_bytes());
    out.extend(data);
    put_done(&mut out, ResponseKind::Batch, 0, 0);
    out
}

#[cfg(test)]
mod tests {
    use super::*;

    fn read_all(data: &[u8]) -> Vec<Token> {
        let (mut input, mut columns, mut tokens) = (data, Vec::new(), Vec::new());
        while !input.is_empty() {
            let token = read(&columns, &mut input).unwrap();
            if let Token::Columns(told) = &token {
                columns.clone_from(told);
            }
            tokens.push(token);
        }
        tokens
    }

    #[test]
    fn a_result_comes_back_as_it_was() {
        let long = "x".repeat(5000);
        let rows: Vec<Row> = vec![vec![Some("a".into()), None], vec![Some(String::new()), Some(long)]];
        let sent = Table { columns: vec!["day".into()], rows: rows.clone() };
        let tokens = read_all(&table(ResponseKind::Batch, &sent));
        let back: Vec<Row> = tokens
            .iter()
            .filter_map(|one| match one {
                Token::Row(row) => Some(row.clone()),
                _ => None,
            })
            .collect();
        assert_eq!(back, rows);
        assert_eq!(tokens.last(), Some(&Token::Done { more: false, error: false, attention: false }));
    }

    #[test]
    fn what_is_cut_is_not_read() {
        let data = error(ResponseKind::Batch, 40501, 16, "busy");
        for cut in 0..data.len() - 13 {
            assert!(read(&[], &mut &data[..cut]).is_err(), "cut at {cut}");
        }
        assert!(read_call(&[0xff; 40]).is_err());
        assert!(read_batch(&[1, 0, 0, 0, 1]).is_err());
    }
}
