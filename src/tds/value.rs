//! Values: their types as the wire tells them, and their text. Types that no one here sends are refused.

use super::{Out, from_utf16, utf16};
use winnow::Parser;
use winnow::binary::{le_f32, le_f64, le_i16, le_i32, le_i64, le_u16, le_u32, le_u64, u8 as byte};
use winnow::error::ContextError;
use winnow::token::take;

const NVARCHAR: u8 = 0xe7;
const NCHAR: u8 = 0xef;
const VARCHAR: u8 = 0xa7;
const CHAR: u8 = 0xaf;
const INTN: u8 = 0x26;
const BITN: u8 = 0x68;
const FLTN: u8 = 0x6d;
/// The length that stands for "any".
const MAX: u16 = 0xffff;
const COLLATION: [u8; 5] = [0x09, 0x04, 0xd0, 0x00, 0x34];
/// The longest text, in bytes, of a column that is not "any".
const LONGEST_PLAIN: usize = 8000;
const LONGEST_VALUE: usize = 1 << 20;

/// The type of a value.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Type {
    /// Text, as UTF-16 or bytes, of bounded length or any.
    Text {
        /// Whether it is UTF-16.
        wide: bool,
        /// Whether it is of any length.
        any: bool,
    },
    /// A whole number, a bit or a float, with its length before it.
    Number(u8),
    /// One of fixed length.
    Fixed(u8),
}

/// A value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Value {
    /// Missing.
    Null,
    /// Text.
    Text(String),
    /// A number, as text.
    Number(String),
}

impl Value {
    /// Its text; `None` where it is missing.
    pub fn into_text(self) -> Option<String> {
        match self {
            Value::Null => None,
            Value::Text(text) | Value::Number(text) => Some(text),
        }
    }

    /// It as a literal of SQL.
    pub fn literal(&self) -> String {
        match self {
            Value::Null => "NULL".to_owned(),
            Value::Number(text) => text.clone(),
            Value::Text(text) => format!("N'{}'", text.replace('\'', "''")),
        }
    }
}

/// Reads a type.
pub fn read_type(input: &mut &[u8]) -> Out<Type> {
    let kind = byte.parse_next(input)?;
    match kind {
        NVARCHAR | NCHAR | VARCHAR | CHAR => {
            let (length, _collation) = (le_u16, take(5usize)).parse_next(input)?;
            Ok(Type::Text { wide: matches!(kind, NVARCHAR | NCHAR), any: length == MAX })
        }
        INTN | BITN | FLTN => {
            let _length = byte.parse_next(input)?;
            Ok(Type::Number(kind))
        }
        0x30 | 0x32 | 0x34 | 0x38 | 0x3b | 0x3e | 0x7f => Ok(Type::Fixed(kind)),
        _ => Err(ContextError::new()),
    }
}

fn number(kind: u8, length: u8, input: &mut &[u8]) -> Out<Value> {
    let text = match (kind, length) {
        (_, 0) => return Ok(Value::Null),
        (INTN | BITN, 1) => byte.parse_next(input)?.to_string(),
        (INTN, 2) => le_i16.parse_next(input)?.to_string(),
        (INTN, 4) => le_i32.parse_next(input)?.to_string(),
        (INTN, 8) => le_i64.parse_next(input)?.to_string(),
        (FLTN, 4) => le_f32.parse_next(input)?.to_string(),
        (FLTN, 8) => le_f64.parse_next(input)?.to_string(),
        _ => return Err(ContextError::new()),
    };
    Ok(Value::Number(text))
}

fn text(wide: bool, bytes: &[u8]) -> Out<Value> {
    let text = if wide { from_utf16(bytes) } else { String::from_utf8(bytes.to_vec()).ok() };
    text.map(Value::Text).ok_or_else(ContextError::new)
}

/// Reads a value of a type.
pub fn read(kind: Type, input: &mut &[u8]) -> Out<Value> {
    match kind {
        Type::Text { wide, any: false } => match le_u16.parse_next(input)? {
            MAX => Ok(Value::Null),
            length => text(wide, take(length).parse_next(input)?),
        },
        Type::Text { wide, any: true } => {
            if le_u64.parse_next(input)? == u64::MAX {
                return Ok(Value::Null);
            }
            let mut bytes = Vec::new();
            loop {
                let length = le_u32.parse_next(input)?;
                if length == 0 {
                    return text(wide, &bytes);
                }
                let part: &[u8] = take(length).parse_next(input)?;
                if bytes.len() + part.len() > LONGEST_VALUE {
                    return Err(ContextError::new());
                }
                bytes.extend_from_slice(part);
            }
        }
        Type::Number(kind) => {
            let length = byte.parse_next(input)?;
            number(kind, length, input)
        }
        Type::Fixed(kind) => match kind {
            0x30 | 0x32 => number(INTN, 1, input),
            0x34 => number(INTN, 2, input),
            0x38 => number(INTN, 4, input),
            0x7f => number(INTN, 8, input),
            0x3b => number(FLTN, 4, input),
            _ => number(FLTN, 8, input),
        },
    }
}

/// Whether text of so many bytes needs a column of any length.
pub fn is_long(bytes: usize) -> bool {
    bytes > LONGEST_PLAIN
}

/// Writes the type of a column of text.
pub fn put_text_type(out: &mut Vec<u8>, any: bool) {
    out.push(NVARCHAR);
    out.extend(if any { MAX } else { LONGEST_PLAIN as u16 }.to_le_bytes());
    out.extend(COLLATION);
}

/// Writes a text of such a column.
pub fn put_text(out: &mut Vec<u8>, any: bool, text: Option<&str>) {
    match (any, text.map(utf16)) {
        (false, None) => out.extend(MAX.to_le_bytes()),
        (false, Some(bytes)) => {
            out.extend((bytes.len() as u16).to_le_bytes());
            out.extend(bytes);
        }
        (true, None) => out.extend(u64::MAX.to_le_bytes()),
        (true, Some(bytes)) => {
            out.extend((bytes.len() as u64).to_le_bytes());
            if !bytes.is_empty() {
                out.extend((bytes.len() as u32).to_le_bytes());
                out.extend(bytes);
            }
            out.extend(0u32.to_le_bytes());
        }
    }
}
