//! Reads the tokens of a response.

use super::{
    COLMETADATA, DONE, DONE_ATTN, DONE_ERROR, DONE_MORE, DONEINPROC, DONEPROC, ENVCHANGE, ERROR, INFO,
    LOGINACK, NBCROW, ORDER, RETURNSTATUS, ROW,
};
use crate::core::Row;
use crate::tds::value::{self, ValueType};
use crate::tds::{ParseResult, from_utf16};
use winnow::Parser;
use winnow::binary::{le_u8, le_u16, le_u32, le_u64};
use winnow::combinator::repeat;
use winnow::error::ContextError;
use winnow::token::take;

/// The maximum number of columns in a result.
pub(super) const MAX_COLUMNS: u16 = 256;
/// The column count that means that the token has no metadata (`NoMetaData`).
const NO_METADATA: u16 = 0xffff;

/// A column of a result.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Column {
    /// The name; empty if the engine sent none.
    pub name: String,
    /// The type of the column's values.
    pub value_type: ValueType,
}

/// A token of an engine's response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Token {
    /// COLMETADATA: the columns of the rows that follow.
    Columns(Vec<Column>),
    /// ROW or NBCROW: one row.
    Row(Row),
    /// ERROR.
    Error {
        /// The error number.
        number: u32,
        /// The error text.
        text: String,
    },
    /// INFO: a message that reports no error.
    Info {
        /// The message number.
        number: u32,
        /// The message text.
        text: String,
    },
    /// LOGINACK: the login succeeded.
    LoginAck,
    /// DONE, DONEPROC or DONEINPROC: a statement has completed.
    Done {
        /// Whether more results follow (`DONE_MORE`).
        more: bool,
        /// Whether the statement failed (`DONE_ERROR`).
        error: bool,
        /// Whether the token acknowledges an Attention (`DONE_ATTN`).
        attention: bool,
    },
    /// ENVCHANGE, ORDER or RETURNSTATUS, whose data is ignored.
    Other,
}

/// The fields of ERROR and INFO that are used. Both tokens have the same layout.
struct ServerMessage {
    number: u32,
    text: String,
}

fn parse_message(input: &mut &[u8]) -> ParseResult<ServerMessage> {
    let length = le_u16.parse_next(input)?;
    let mut data: &[u8] = take(length).parse_next(input)?;
    let data = &mut data;
    let (number, _state, _class, count) = (le_u32, le_u8, le_u8, le_u16).parse_next(data)?;
    let text: &[u8] = take(usize::from(count) * 2).parse_next(data)?;
    let text = from_utf16(text).ok_or_else(ContextError::new)?;
    Ok(ServerMessage { number, text })
}

/// Reads text that is preceded by its length in one byte (`B_VARCHAR`).
pub(super) fn parse_b_varchar(input: &mut &[u8]) -> ParseResult<String> {
    let count = le_u8.parse_next(input)?;
    let text: &[u8] = take(usize::from(count) * 2).parse_next(input)?;
    from_utf16(text).ok_or_else(ContextError::new)
}

fn parse_columns(input: &mut &[u8]) -> ParseResult<Vec<Column>> {
    let count = le_u16.parse_next(input)?;
    if count == NO_METADATA {
        return Ok(Vec::new());
    }
    if count > MAX_COLUMNS {
        return Err(ContextError::new());
    }
    let column = |input: &mut &[u8]| {
        let _user_type_and_flags = (le_u32, le_u16).parse_next(input)?;
        let value_type = value::read_type(input)?;
        let name = parse_b_varchar(input)?;
        Ok(Column { name, value_type })
    };
    repeat(usize::from(count), column).parse_next(input)
}

/// Whether the null bitmap of NBCROW marks the value of the column with this index.
pub(super) fn is_null(null_bitmap: &[u8], index: usize) -> bool {
    null_bitmap.get(index / 8).is_some_and(|bits| bits >> (index % 8) & 1 == 1)
}

/// Reads the values of a row. `null_bitmap` is that of NBCROW, with a bit set for each null; it is empty for ROW.
fn parse_row(columns: &[Column], null_bitmap: &[u8], input: &mut &[u8]) -> ParseResult<Row> {
    let mut row = Row::with_capacity(columns.len());
    for (index, column) in columns.iter().enumerate() {
        row.push(if is_null(null_bitmap, index) {
            None
        } else {
            value::read(column.value_type, input)?.into_text()
        });
    }
    Ok(row)
}

/// Returns whether the input begins with the last DONE, DONEPROC or DONEINPROC of a response. The token is complete.
pub fn is_last_done(input: &[u8]) -> bool {
    let is_done = matches!(input.first(), Some(&(DONE | DONEPROC | DONEINPROC)));
    is_done && matches!(read(&[], &mut &input[..]), Ok(Token::Done { more: false, .. }))
}

/// Reads the next token. `columns` are the columns of the last [`Token::Columns`].
///
/// # Errors
///
/// The token is unknown or malformed, or the input is incomplete.
pub fn read(columns: &[Column], input: &mut &[u8]) -> ParseResult<Token> {
    match le_u8.parse_next(input)? {
        COLMETADATA => parse_columns(input).map(Token::Columns),
        ROW => parse_row(columns, &[], input).map(Token::Row),
        NBCROW => {
            let null_bitmap: &[u8] = take(columns.len().div_ceil(8)).parse_next(input)?;
            parse_row(columns, null_bitmap, input).map(Token::Row)
        }
        ERROR => {
            let ServerMessage { number, text } = parse_message(input)?;
            Ok(Token::Error { number, text })
        }
        INFO => {
            let ServerMessage { number, text } = parse_message(input)?;
            Ok(Token::Info { number, text })
        }
        kind @ (LOGINACK | ENVCHANGE | ORDER) => {
            let length = le_u16.parse_next(input)?;
            let _data: &[u8] = take(length).parse_next(input)?;
            Ok(if kind == LOGINACK { Token::LoginAck } else { Token::Other })
        }
        RETURNSTATUS => le_u32.parse_next(input).map(|_| Token::Other),
        DONE | DONEPROC | DONEINPROC => {
            let (status, _command, _count) = (le_u16, le_u16, le_u64).parse_next(input)?;
            let has = |bit: u16| status & bit != 0;
            Ok(Token::Done { more: has(DONE_MORE), error: has(DONE_ERROR), attention: has(DONE_ATTN) })
        }
        _ => Err(ContextError::new()),
    }
}
