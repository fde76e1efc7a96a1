//! String tables, and translation of the references in encoded records from one table to another.
//!
//! The translation uses only the protobuf encoding, not the message types, so it also applies to fields and events of
//! later versions.

use prost::encoding::{WireType, decode_key, decode_varint, encode_key, encode_varint};
use std::collections::HashMap;
use std::ops::RangeInclusive;

/// Numbers of the varint fields that are references to strings, in every message nested in a record.
const REFERENCE_FIELDS: RangeInclusive<u32> = 16..=31;
/// Tag of [`crate::Record::manager`].
const MANAGER_FIELD: u32 = 14;
/// Maximum nesting depth at which references are translated. It bounds the recursion for untrusted files.
const MAX_DEPTH: u32 = 8;

/// A string table. References count from 1; 0 is the empty string.
#[derive(Debug, Clone, Default)]
pub struct Strings {
    references: HashMap<String, u32>,
    all: Vec<String>,
    bytes: usize,
}

impl From<Vec<String>> for Strings {
    /// Builds the string table of a block that was read.
    fn from(all: Vec<String>) -> Strings {
        let references = all.iter().zip(1..).map(|(text, reference)| (text.clone(), reference)).collect();
        let bytes = all.iter().map(String::len).sum();
        Strings { references, all, bytes }
    }
}

impl Strings {
    /// Returns the reference to a string, which is added if it is new.
    pub fn reference(&mut self, text: &str) -> u32 {
        if text.is_empty() {
            return 0;
        }
        if let Some(reference) = self.references.get(text) {
            return *reference;
        }
        self.bytes += text.len();
        self.all.push(text.to_owned());
        let reference = self.all.len() as u32;
        self.references.insert(text.to_owned(), reference);
        reference
    }

    /// Returns the string of a reference, or an empty string if the table has no such reference.
    pub fn text(&self, reference: u32) -> &str {
        let position = (reference as usize).checked_sub(1);
        position.and_then(|position| self.all.get(position)).map_or("", String::as_str)
    }

    /// All strings, in the order of their references.
    pub fn all(&self) -> &[String] {
        &self.all
    }

    /// Total length of the strings (bytes).
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

/// Copies an encoded record and translates its references to strings. All other fields are copied unchanged.
///
/// Returns `None` if the bytes are not a valid protobuf message.
pub fn remap(record: &[u8], translate: &mut impl FnMut(u32) -> u32) -> Option<Vec<u8>> {
    remap_message(record, translate, 0)
}

fn remap_message(mut bytes: &[u8], translate: &mut impl FnMut(u32) -> u32, depth: u32) -> Option<Vec<u8>> {
    let mut out = Vec::with_capacity(bytes.len() + 8);
    while !bytes.is_empty() {
        let (field, wire_type) = decode_key(&mut bytes).ok()?;
        encode_key(field, wire_type, &mut out);
        match wire_type {
            WireType::Varint => {
                let value = decode_varint(&mut bytes).ok()?;
                // The record's own fields are numbers. Only the messages nested in it contain references.
                let is_reference = depth > 0 && REFERENCE_FIELDS.contains(&field);
                let value = match u32::try_from(value) {
                    Ok(reference) if is_reference => translate(reference).into(),
                    _ => value,
                };
                encode_varint(value, &mut out);
            }
            WireType::SixtyFourBit => out.extend(take(&mut bytes, 8)?),
            WireType::ThirtyTwoBit => out.extend(take(&mut bytes, 4)?),
            WireType::LengthDelimited => {
                let inner = take_length_delimited(&mut bytes)?;
                // In this format every length-delimited field is a message.
                let inner = match depth < MAX_DEPTH {
                    true => remap_message(inner, translate, depth + 1)?,
                    false => inner.to_vec(),
                };
                encode_varint(inner.len() as u64, &mut out);
                out.extend(inner);
            }
            WireType::StartGroup | WireType::EndGroup => return None,
        }
    }
    Some(out)
}

/// Copies an encoded record and replaces its manager's number; 0 removes it.
///
/// Returns `None` if the bytes are not a valid protobuf message.
pub fn with_manager(record: &[u8], manager: u32) -> Option<Vec<u8>> {
    let mut bytes = record;
    let mut out = Vec::with_capacity(record.len() + 3);
    while !bytes.is_empty() {
        let field_start = bytes;
        let (field, wire_type) = decode_key(&mut bytes).ok()?;
        match wire_type {
            WireType::Varint => {
                decode_varint(&mut bytes).ok()?;
            }
            WireType::SixtyFourBit => {
                take(&mut bytes, 8)?;
            }
            WireType::ThirtyTwoBit => {
                take(&mut bytes, 4)?;
            }
            WireType::LengthDelimited => {
                take_length_delimited(&mut bytes)?;
            }
            WireType::StartGroup | WireType::EndGroup => return None,
        }
        if field != MANAGER_FIELD {
            out.extend(&field_start[..field_start.len() - bytes.len()]);
        }
    }
    if manager > 0 {
        encode_key(MANAGER_FIELD, WireType::Varint, &mut out);
        encode_varint(manager.into(), &mut out);
    }
    Some(out)
}

fn take_length_delimited<'a>(bytes: &mut &'a [u8]) -> Option<&'a [u8]> {
    let length = usize::try_from(decode_varint(bytes).ok()?).ok()?;
    take(bytes, length)
}

fn take<'a>(bytes: &mut &'a [u8], length: usize) -> Option<&'a [u8]> {
    let (taken, rest) = bytes.split_at_checked(length)?;
    *bytes = rest;
    Some(taken)
}
