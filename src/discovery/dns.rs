//! The part of DNS (RFC 1035) that the name service uses: queries with one question, and responses with SRV (RFC 2782),
//! A, TXT and SOA records. Names in responses may be compressed.

use super::DiscoveryError;
use std::collections::HashMap;
use winnow::Parser;
use winnow::binary::{be_u8, be_u16, be_u32, length_take};
use winnow::combinator::repeat;
use winnow::error::ContextError;
use winnow::token::take;

/// Record types.
const SRV: u16 = 33;
const A: u16 = 1;
const TXT: u16 = 16;
const SOA: u16 = 6;
/// The Internet class.
const INTERNET: u16 = 1;
/// Header flags: the message is a response; it is truncated; the bits of the response code.
const FLAG_RESPONSE: u16 = 0x8000;
const FLAG_TRUNCATED: u16 = 0x0200;
const CODE_MASK: u16 = 0x000f;
/// Header of a query after its id: recursion desired, one question, no records.
const QUERY_FLAGS_AND_COUNTS: [u8; 10] = [0x01, 0x00, 0, 1, 0, 0, 0, 0, 0, 0];
/// Length limit of a label (RFC 1035, section 2.3.4).
const MAX_LABEL_BYTES: usize = 63;
/// Limits of a name's length and of the compression pointers followed in one name. Pointers can form a cycle.
const MAX_NAME_BYTES: usize = 255;
const MAX_POINTERS: usize = 32;

type Parsed<T> = Result<T, ContextError>;

/// An SRV record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SrvRecord {
    /// 0 for a ready engine; any other value says that the engine is draining.
    pub priority: u16,
    /// Ten times the engine's relative size.
    pub weight: u16,
    /// TCP port on which the engine listens.
    pub port: u16,
    /// Name of the target, which owns the engine's A and TXT records.
    pub target: String,
}

/// The records of a response.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Response {
    /// Serial of the SOA record; `None` without that record.
    pub serial: Option<u32>,
    /// All SRV records, in the order of the message.
    pub srv_records: Vec<SrvRecord>,
    /// Addresses of the A records by owner name.
    pub addresses: HashMap<String, [u8; 4]>,
    /// Strings of the TXT records by owner name.
    pub texts: HashMap<String, Vec<String>>,
}

/// Builds a query for the SRV records of a name.
pub fn query(id: u16, name: &str) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(64);
    bytes.extend(id.to_be_bytes());
    bytes.extend(QUERY_FLAGS_AND_COUNTS);
    for label in name.split('.').filter(|label| !label.is_empty()) {
        let label = &label.as_bytes()[..label.len().min(MAX_LABEL_BYTES)];
        bytes.push(label.len() as u8);
        bytes.extend(label);
    }
    bytes.push(0);
    bytes.extend(SRV.to_be_bytes());
    bytes.extend(INTERNET.to_be_bytes());
    bytes
}

/// One element of an encoded name. `Pointer` is an offset in the message at which the name continues.
enum Label<'a> {
    End,
    Text(&'a [u8]),
    Pointer(usize),
}

fn label<'a>(input: &mut &'a [u8]) -> Parsed<Label<'a>> {
    let length = be_u8(input)?;
    match length >> 6 {
        0 if length == 0 => Ok(Label::End),
        0 => take(length).parse_next(input).map(Label::Text),
        3 => Ok(Label::Pointer(usize::from(length & 0x3f) << 8 | usize::from(be_u8(input)?))),
        _ => Err(ContextError::new()),
    }
}

/// Parses a name, which may continue at another offset of the message. Returns it in lower case, without the final dot.
fn name(message: &[u8], input: &mut &[u8]) -> Parsed<String> {
    let mut text = String::new();
    let mut pointer_target: Option<&[u8]> = None;
    let mut pointers = 0;
    loop {
        let read = match &mut pointer_target {
            Some(rest) => label(rest)?,
            None => label(input)?,
        };
        match read {
            Label::End => return Ok(text),
            Label::Text(text_part) => {
                if !text.is_empty() {
                    text.push('.');
                }
                text.push_str(&String::from_utf8_lossy(text_part).to_ascii_lowercase());
            }
            Label::Pointer(offset) => {
                pointer_target = Some(message.get(offset..).ok_or_else(ContextError::new)?);
                pointers += 1;
            }
        }
        if text.len() > MAX_NAME_BYTES || pointers > MAX_POINTERS {
            return Err(ContextError::new());
        }
    }
}

struct Header {
    flags: u16,
    questions: u16,
    /// Number of records in all sections together.
    records: u32,
}

fn header(input: &mut &[u8]) -> Parsed<Header> {
    let (_id, flags, questions) = (be_u16, be_u16, be_u16).parse_next(input)?;
    let (answers, authorities, additional) = (be_u16, be_u16, be_u16).parse_next(input)?;
    let records = [answers, authorities, additional].map(u32::from).into_iter().sum();
    Ok(Header { flags, questions, records })
}

/// Parses one record into the response. Records of unknown types and classes are skipped.
fn record(message: &[u8], input: &mut &[u8], response: &mut Response) -> Parsed<()> {
    let owner = name(message, input)?;
    let (kind, class, _ttl) = (be_u16, be_u16, be_u32).parse_next(input)?;
    let mut data: &[u8] = length_take(be_u16).parse_next(input)?;
    if class != INTERNET {
        return Ok(());
    }
    let data = &mut data;
    match kind {
        SRV => {
            let (priority, weight, port) = (be_u16, be_u16, be_u16).parse_next(data)?;
            response.srv_records.push(SrvRecord { priority, weight, port, target: name(message, data)? });
        }
        A => {
            let bytes: [u8; 4] =
                (be_u8, be_u8, be_u8, be_u8).map(|(a, b, c, d)| [a, b, c, d]).parse_next(data)?;
            response.addresses.insert(owner, bytes);
        }
        TXT => {
            let part = length_take(be_u8).map(|part: &[u8]| String::from_utf8_lossy(part).into_owned());
            let parts: Vec<String> = repeat(0.., part).parse_next(data)?;
            response.texts.entry(owner).or_default().extend(parts);
        }
        SOA => {
            let (_host, _mail) = (name(message, data)?, name(message, data)?);
            response.serial = Some(be_u32(data)?);
        }
        _ => {}
    }
    Ok(())
}

/// Parses a response.
///
/// # Errors
/// Fails if the message is not a complete DNS response, is truncated, or has an error code.
pub fn parse(message: &[u8]) -> Result<Response, DiscoveryError> {
    let mut input = message;
    let header = header(&mut input).map_err(|_| DiscoveryError::Malformed)?;
    if header.flags & FLAG_RESPONSE == 0 {
        return Err(DiscoveryError::Malformed);
    }
    if header.flags & FLAG_TRUNCATED != 0 {
        return Err(DiscoveryError::Truncated);
    }
    if header.flags & CODE_MASK != 0 {
        return Err(DiscoveryError::ErrorCode((header.flags & CODE_MASK) as u8));
    }
    sections(message, &mut input, &header).map_err(|_| DiscoveryError::Malformed)
}

fn sections(message: &[u8], input: &mut &[u8], header: &Header) -> Parsed<Response> {
    for _ in 0..header.questions {
        name(message, input)?;
        let _type_and_class: (u16, u16) = (be_u16, be_u16).parse_next(input)?;
    }
    let mut response = Response::default();
    for _ in 0..header.records {
        record(message, input, &mut response)?;
    }
    Ok(response)
}

#[cfg(test)]
mod tests;
