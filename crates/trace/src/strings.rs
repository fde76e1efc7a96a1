//! Tables of strings, and the copying of records from one table to another without reading what they mean.

use prost::encoding::{WireType, decode_key, decode_varint, encode_key, encode_varint};
use std::collections::HashMap;

/// Fields whose varints are numbers of strings, in every message within a record.
const STRING_FIELDS: std::ops::RangeInclusive<u32> = 16..=31;
/// The field of the request in a record, and its time: they are no messages.
const DEEPEST: u32 = 8;

/// A table of strings: each has one number, from 1 on; 0 is the empty one.
#[derive(Debug, Clone, Default)]
pub struct Strings {
    numbers: HashMap<String, u32>,
    all: Vec<String>,
    bytes: usize,
}

impl Strings {
    /// The table of a block.
    pub fn of(all: Vec<String>) -> Strings {
        let numbers = all.iter().zip(1..).map(|(text, number)| (text.clone(), number)).collect();
        let bytes = all.iter().map(String::len).sum();
        Strings { numbers, all, bytes }
    }

    /// The number of a string, which is added where it is new.
    pub fn number(&mut self, text: &str) -> u32 {
        if text.is_empty() {
            return 0;
        }
        if let Some(number) = self.numbers.get(text) {
            return *number;
        }
        self.bytes += text.len();
        self.all.push(text.to_owned());
        let number = self.all.len() as u32;
        self.numbers.insert(text.to_owned(), number);
        number
    }

    /// The string of a number; empty where there is none.
    pub fn text(&self, number: u32) -> &str {
        let at = (number as usize).checked_sub(1);
        at.and_then(|at| self.all.get(at)).map_or("", String::as_str)
    }

    /// All strings, in the order of their numbers.
    pub fn all(&self) -> &[String] {
        &self.all
    }

    /// Bytes of all strings.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

/// Copies a record's bytes, with the numbers of its strings changed; fields that nobody here knows go along.
/// `None` where the bytes are no message.
pub fn remap(record: &[u8], change: &mut impl FnMut(u32) -> u32) -> Option<Vec<u8>> {
    message(record, change, 0)
}

/// Copies a record's bytes with another manager's number (field 14), 0 for none.
pub fn with_manager(record: &[u8], manager: u32) -> Option<Vec<u8>> {
    const MANAGER: u32 = 14;
    let (mut bytes, mut out) = (record, Vec::with_capacity(record.len() + 3));
    while !bytes.is_empty() {
        let before = bytes;
        let (field, kind) = decode_key(&mut bytes).ok()?;
        match kind {
            WireType::Varint => drop(decode_varint(&mut bytes).ok()?),
            WireType::SixtyFourBit => drop(take(&mut bytes, 8)?),
            WireType::ThirtyTwoBit => drop(take(&mut bytes, 4)?),
            WireType::LengthDelimited => {
                let length = usize::try_from(decode_varint(&mut bytes).ok()?).ok()?;
                take(&mut bytes, length)?;
            }
            WireType::StartGroup | WireType::EndGroup => return None,
        }
        if field != MANAGER {
            out.extend(&before[..before.len() - bytes.len()]);
        }
    }
    if manager > 0 {
        encode_key(MANAGER, WireType::Varint, &mut out);
        encode_varint(manager.into(), &mut out);
    }
    Some(out)
}

fn message(mut bytes: &[u8], change: &mut impl FnMut(u32) -> u32, depth: u32) -> Option<Vec<u8>> {
    let mut out = Vec::with_capacity(bytes.len() + 8);
    while !bytes.is_empty() {
        let (field, kind) = decode_key(&mut bytes).ok()?;
        encode_key(field, kind, &mut out);
        match kind {
            WireType::Varint => {
                let value = decode_varint(&mut bytes).ok()?;
                // The record's own fields are below 16: only messages within it hold strings.
                let string = depth > 0 && STRING_FIELDS.contains(&field);
                let number = u32::try_from(value).ok().filter(|_| string);
                encode_varint(number.map_or(value, |number| change(number).into()), &mut out);
            }
            WireType::SixtyFourBit => out.extend(take(&mut bytes, 8)?),
            WireType::ThirtyTwoBit => out.extend(take(&mut bytes, 4)?),
            WireType::LengthDelimited => {
                let length = usize::try_from(decode_varint(&mut bytes).ok()?).ok()?;
                let inner = take(&mut bytes, length)?;
                // Every length-delimited field of a record is a message, by the format's rule.
                let inner = if depth < DEEPEST { message(inner, change, depth + 1)? } else { inner.to_vec() };
                encode_varint(inner.len() as u64, &mut out);
                out.extend(inner);
            }
            WireType::StartGroup | WireType::EndGroup => return None,
        }
    }
    Some(out)
}

fn take<'a>(bytes: &mut &'a [u8], length: usize) -> Option<&'a [u8]> {
    let (taken, rest) = bytes.split_at_checked(length)?;
    *bytes = rest;
    Some(taken)
}
