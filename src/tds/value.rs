//! Reads and writes values and their types (MS-TDS 2.2.5.4). Types that neither clients nor engines use are rejected.

use super::{ParseResult, from_utf16, utf16};
use crate::sql::{FiniteFloat, Literal};
use winnow::Parser;
use winnow::binary::{le_f32, le_f64, le_i16, le_i32, le_i64, le_u16, le_u32, le_u64, u8 as byte};
use winnow::error::ContextError;
use winnow::token::take;

// Variable-length types (MS-TDS 2.2.5.4.2).
const NVARCHAR: u8 = 0xe7;
const NCHAR: u8 = 0xef;
const VARCHAR: u8 = 0xa7;
const CHAR: u8 = 0xaf;
const INTN: u8 = 0x26;
const BITN: u8 = 0x68;
const FLTN: u8 = 0x6d;

// Fixed-length types (MS-TDS 2.2.5.4.1).
const INT1: u8 = 0x30;
const BIT: u8 = 0x32;
const INT2: u8 = 0x34;
const INT4: u8 = 0x38;
const FLT4: u8 = 0x3b;
const FLT8: u8 = 0x3e;
const INT8: u8 = 0x7f;

/// As the length of a type, it marks a type without a limit (`max`). As the length of a value, it marks a null
/// (`CHARBIN_NULL`).
pub(super) const USHORT_MAX_LENGTH: u16 = 0xffff;
/// The length that marks a null of a type without a limit. Values of such types are sent as partially length-prefixed
/// (PLP) data.
pub(super) const PLP_NULL: u64 = u64::MAX;
/// The collation of the columns that are written, `SQL_Latin1_General_CP1_CI_AS`.
const COLLATION: [u8; 5] = [0x09, 0x04, 0xd0, 0x00, 0x34];
/// The maximum size of text of a type with a limit.
const MAX_LIMITED_BYTES: usize = 8000;
/// The maximum size of a PLP value that is read.
const MAX_PLP_BYTES: usize = 1 << 20;

/// The encoding of text.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TextEncoding {
    /// UTF-16, little endian.
    Utf16,
    /// Single-byte text. It is read as UTF-8, whatever its collation.
    Bytes,
}

/// The length limit of a text type. Values with and without a limit are encoded differently.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TextLength {
    /// At most 8000 bytes.
    Limited,
    /// No limit (`max`); values are PLP data.
    Unlimited,
}

impl TextLength {
    /// Returns the limit of a type that can hold text of this many bytes.
    pub fn for_bytes(bytes: usize) -> TextLength {
        if bytes > MAX_LIMITED_BYTES { TextLength::Unlimited } else { TextLength::Limited }
    }
}

/// The type of a value.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ValueType {
    /// Text.
    Text {
        /// The encoding of values.
        encoding: TextEncoding,
        /// The length limit of values.
        length: TextLength,
    },
    /// An integer, a bit or a float of variable length, by its type byte. A length byte precedes each value.
    Number(u8),
    /// An integer, a bit or a float of fixed length, by its type byte.
    Fixed(u8),
}

/// A decoded value.
#[derive(Debug, Clone, PartialEq)]
pub enum Value {
    /// A null.
    Null,
    /// Text.
    Text(String),
    /// A bit.
    Bit(u8),
    /// A whole number.
    Integer(i64),
    /// A floating-point number of four bytes.
    Real(f32),
    /// A floating-point number of eight bytes.
    Float(f64),
}

impl Value {
    /// Returns the value as text; `None` for a null.
    pub fn into_text(self) -> Option<String> {
        match self {
            Value::Null => None,
            Value::Text(text) => Some(text),
            Value::Bit(bit) => Some(bit.to_string()),
            Value::Integer(number) => Some(number.to_string()),
            Value::Real(number) => Some(number.to_string()),
            Value::Float(number) => Some(number.to_string()),
        }
    }

    /// Returns the value as an SQL literal; `None` if SQL has none for it.
    pub fn into_literal(self) -> Option<Literal> {
        Some(match self {
            Value::Null => Literal::Null,
            Value::Text(text) => Literal::Text(text),
            Value::Bit(bit) => Literal::Bit(bit != 0),
            Value::Integer(number) => Literal::Integer(number),
            Value::Real(number) => Literal::Float(FiniteFloat::new(f64::from(number))?),
            Value::Float(number) => Literal::Float(FiniteFloat::new(number)?),
        })
    }
}

/// Reads a type.
///
/// # Errors
///
/// The type is not supported, or the input is incomplete.
pub fn read_type(input: &mut &[u8]) -> ParseResult<ValueType> {
    let kind = byte.parse_next(input)?;
    match kind {
        NVARCHAR | NCHAR | VARCHAR | CHAR => {
            let (length, _collation) = (le_u16, take(5usize)).parse_next(input)?;
            let is_wide = matches!(kind, NVARCHAR | NCHAR);
            let encoding = if is_wide { TextEncoding::Utf16 } else { TextEncoding::Bytes };
            let length =
                if length == USHORT_MAX_LENGTH { TextLength::Unlimited } else { TextLength::Limited };
            Ok(ValueType::Text { encoding, length })
        }
        INTN | BITN | FLTN => {
            let _length = byte.parse_next(input)?;
            Ok(ValueType::Number(kind))
        }
        INT1 | BIT | INT2 | INT4 | FLT4 | FLT8 | INT8 => Ok(ValueType::Fixed(kind)),
        _ => Err(ContextError::new()),
    }
}

/// Returns the length of the type with this type byte, including that byte; `None` if the type is not supported.
pub(super) fn type_bytes(kind: u8) -> Option<usize> {
    match kind {
        NVARCHAR | NCHAR | VARCHAR | CHAR => Some(1 + size_of::<u16>() + COLLATION.len()),
        INTN | BITN | FLTN => Some(1 + size_of::<u8>()),
        INT1 | BIT | INT2 | INT4 | FLT4 | FLT8 | INT8 => Some(1),
        _ => None,
    }
}

/// Returns the length of a value of the fixed-length type with this type byte.
pub(super) fn fixed_bytes(kind: u8) -> usize {
    match kind {
        INT1 | BIT => 1,
        INT2 => 2,
        INT4 | FLT4 => 4,
        _ => 8,
    }
}

/// Reads a number of `length` bytes. `kind` is its variable-length type.
fn parse_number(kind: u8, length: u8, input: &mut &[u8]) -> ParseResult<Value> {
    Ok(match (kind, length) {
        (_, 0) => Value::Null,
        (BITN, 1) => Value::Bit(byte.parse_next(input)?),
        (INTN, 1) => Value::Integer(byte.parse_next(input)?.into()),
        (INTN, 2) => Value::Integer(le_i16.parse_next(input)?.into()),
        (INTN, 4) => Value::Integer(le_i32.parse_next(input)?.into()),
        (INTN, 8) => Value::Integer(le_i64.parse_next(input)?),
        (FLTN, 4) => Value::Real(le_f32.parse_next(input)?),
        (FLTN, 8) => Value::Float(le_f64.parse_next(input)?),
        _ => return Err(ContextError::new()),
    })
}

fn decode_text(encoding: TextEncoding, bytes: &[u8]) -> ParseResult<Value> {
    let text = match encoding {
        TextEncoding::Utf16 => from_utf16(bytes),
        TextEncoding::Bytes => String::from_utf8(bytes.to_vec()).ok(),
    };
    text.map(Value::Text).ok_or_else(ContextError::new)
}

/// Reads a value of a type.
///
/// # Errors
///
/// The value is malformed or too long, or the input is incomplete.
pub fn read(value_type: ValueType, input: &mut &[u8]) -> ParseResult<Value> {
    match value_type {
        ValueType::Text { encoding, length: TextLength::Limited } => match le_u16.parse_next(input)? {
            USHORT_MAX_LENGTH => Ok(Value::Null),
            length => decode_text(encoding, take(length).parse_next(input)?),
        },
        ValueType::Text { encoding, length: TextLength::Unlimited } => parse_plp_text(encoding, input),
        ValueType::Number(kind) => {
            let length = byte.parse_next(input)?;
            parse_number(kind, length, input)
        }
        ValueType::Fixed(kind) => match kind {
            BIT => parse_number(BITN, 1, input),
            INT1 => parse_number(INTN, 1, input),
            INT2 => parse_number(INTN, 2, input),
            INT4 => parse_number(INTN, 4, input),
            INT8 => parse_number(INTN, 8, input),
            FLT4 => parse_number(FLTN, 4, input),
            _ => parse_number(FLTN, 8, input),
        },
    }
}

/// Reads PLP text: a total length, which may be unknown and is not checked, then chunks. An empty chunk terminates it.
fn parse_plp_text(encoding: TextEncoding, input: &mut &[u8]) -> ParseResult<Value> {
    if le_u64.parse_next(input)? == PLP_NULL {
        return Ok(Value::Null);
    }
    let mut bytes = Vec::new();
    loop {
        let length = le_u32.parse_next(input)?;
        if length == 0 {
            return decode_text(encoding, &bytes);
        }
        let chunk: &[u8] = take(length).parse_next(input)?;
        if bytes.len() + chunk.len() > MAX_PLP_BYTES {
            return Err(ContextError::new());
        }
        bytes.extend_from_slice(chunk);
    }
}

/// Writes the type of a text column, `nvarchar` with the given length limit.
pub fn put_text_type(out: &mut Vec<u8>, length: TextLength) {
    let length = match length {
        TextLength::Limited => MAX_LIMITED_BYTES as u16,
        TextLength::Unlimited => USHORT_MAX_LENGTH,
    };
    out.push(NVARCHAR);
    out.extend(length.to_le_bytes());
    out.extend(COLLATION);
}

/// Writes a value of a column whose type [`put_text_type`] has written; `None` is a null.
pub fn put_text(out: &mut Vec<u8>, length: TextLength, text: Option<&str>) {
    match (length, text.map(utf16)) {
        (TextLength::Limited, None) => out.extend(USHORT_MAX_LENGTH.to_le_bytes()),
        (TextLength::Limited, Some(bytes)) => {
            out.extend((bytes.len() as u16).to_le_bytes());
            out.extend(bytes);
        }
        (TextLength::Unlimited, None) => out.extend(PLP_NULL.to_le_bytes()),
        (TextLength::Unlimited, Some(bytes)) => {
            out.extend((bytes.len() as u64).to_le_bytes());
            if !bytes.is_empty() {
                out.extend((bytes.len() as u32).to_le_bytes());
                out.extend(bytes);
            }
            out.extend(0u32.to_le_bytes());
        }
    }
}
