//! Finds the end of a token of a response whose bytes arrive in parts.

use super::response_reader::{self, Column};
use super::{
    COLMETADATA, DONE, DONEINPROC, DONEPROC, ENVCHANGE, ERROR, INFO, LOGINACK, NBCROW, ORDER, RETURNSTATUS,
    ROW,
};
use crate::tds::value::{self, TextLength, ValueType};

/// The length of the token type.
const TYPE_BYTES: usize = 1;
/// The length of DONE, DONEPROC and DONEINPROC: status, command and row count.
const DONE_BYTES: usize = TYPE_BYTES + 2 + 2 + 8;
/// The length of RETURNSTATUS.
const RETURNSTATUS_BYTES: usize = TYPE_BYTES + 4;
/// The length of the column count of COLMETADATA.
const COLUMN_COUNT_BYTES: usize = 2;
/// The length of a column's user type and flags.
const COLUMN_FLAGS_BYTES: usize = 4 + 2;

/// The part of a token that has been found so far. Each byte is examined once, so the cost does not depend on the number
/// of parts in which a token arrives.
#[derive(Debug, Default)]
pub struct TokenExtent {
    /// The length of the parts that are complete.
    bytes: usize,
    /// The number of complete elements: columns of COLMETADATA, values of a row.
    elements: usize,
    /// The next chunk belongs to a PLP value whose header has been found.
    in_plp: bool,
}

impl TokenExtent {
    /// Returns whether the token at the front of `data` is complete, or is invalid. `columns` are the columns of the last
    /// COLMETADATA. Between two calls for one token, bytes may only be appended to `data`.
    pub fn is_complete(&mut self, columns: &[Column], data: &[u8]) -> bool {
        let Some(kind) = data.first() else { return false };
        match *kind {
            ERROR | INFO | LOGINACK | ENVCHANGE | ORDER => {
                length_u16(data, TYPE_BYTES).is_some_and(|length| data.len() >= TYPE_BYTES + 2 + length)
            }
            RETURNSTATUS => data.len() >= RETURNSTATUS_BYTES,
            DONE | DONEPROC | DONEINPROC => data.len() >= DONE_BYTES,
            COLMETADATA => self.has_columns(data).is_some(),
            ROW => self.has_values(columns, &[], TYPE_BYTES, data).is_some(),
            NBCROW => {
                let values = TYPE_BYTES + columns.len().div_ceil(8);
                let null_bitmap = data.get(TYPE_BYTES..values);
                null_bitmap.is_some_and(|nulls| self.has_values(columns, nulls, values, data).is_some())
            }
            // An unknown token has no known length.
            _ => true,
        }
    }

    /// Returns `None` if a column is incomplete.
    fn has_columns(&mut self, data: &[u8]) -> Option<()> {
        let count = length_u16(data, TYPE_BYTES)?;
        if count > usize::from(response_reader::MAX_COLUMNS) {
            return Some(());
        }
        self.bytes = self.bytes.max(TYPE_BYTES + COLUMN_COUNT_BYTES);
        while self.elements < count {
            let value_type = self.bytes + COLUMN_FLAGS_BYTES;
            let Some(type_bytes) = value::type_bytes(*data.get(value_type)?) else { return Some(()) };
            let name = value_type + type_bytes;
            self.complete_element(data, name + 1 + 2 * length_u8(data, name)?)?;
        }
        Some(())
    }

    /// Returns `None` if a value is incomplete. The values begin at `start`.
    fn has_values(&mut self, columns: &[Column], nulls: &[u8], start: usize, data: &[u8]) -> Option<()> {
        self.bytes = self.bytes.max(start);
        while let Some(column) = columns.get(self.elements) {
            let is_null = response_reader::is_null(nulls, self.elements);
            let end = match column.value_type {
                _ if is_null => self.bytes,
                ValueType::Text { length: TextLength::Unlimited, .. } => self.plp_end(data)?,
                ValueType::Text { length: TextLength::Limited, .. } => {
                    let length = length_u16(data, self.bytes)?;
                    self.bytes + 2 + if length == usize::from(value::USHORT_MAX_LENGTH) { 0 } else { length }
                }
                ValueType::Number(_) => self.bytes + 1 + length_u8(data, self.bytes)?,
                ValueType::Fixed(kind) => self.bytes + value::fixed_bytes(kind),
            };
            self.complete_element(data, end)?;
        }
        Some(())
    }

    /// Returns the end of a PLP value, and records its complete chunks.
    fn plp_end(&mut self, data: &[u8]) -> Option<usize> {
        if !self.in_plp {
            let header = data.get(self.bytes..)?.first_chunk::<8>()?;
            let after_header = self.bytes + header.len();
            if u64::from_le_bytes(*header) == value::PLP_NULL {
                return Some(after_header);
            }
            self.bytes = after_header;
            self.in_plp = true;
        }
        loop {
            let length = u32::from_le_bytes(*data.get(self.bytes..)?.first_chunk::<4>()?) as usize;
            let end = self.bytes + size_of::<u32>() + length;
            if length == 0 {
                return Some(end);
            }
            if data.len() < end {
                return None;
            }
            self.bytes = end;
        }
    }

    /// Records that an element ends at `end`; `None` if it is incomplete.
    fn complete_element(&mut self, data: &[u8], end: usize) -> Option<()> {
        if data.len() < end {
            return None;
        }
        self.bytes = end;
        self.elements += 1;
        self.in_plp = false;
        Some(())
    }
}

fn length_u8(data: &[u8], at: usize) -> Option<usize> {
    data.get(at).copied().map(usize::from)
}

fn length_u16(data: &[u8], at: usize) -> Option<usize> {
    let bytes = data.get(at..)?.first_chunk::<2>()?;
    Some(usize::from(u16::from_le_bytes(*bytes)))
}
