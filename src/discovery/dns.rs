//! DNS messages (RFC 1035) as far as the name service uses them: one question, and answers of SRV, A, TXT
//! and SOA records, with names that may be compressed.

use super::DiscoveryError;
use std::collections::HashMap;
use winnow::Parser;
use winnow::binary::{be_u8, be_u16, be_u32, length_take};
use winnow::combinator::repeat;
use winnow::error::ContextError;
use winnow::token::take;

const SRV: u16 = 33;
const A: u16 = 1;
const TXT: u16 = 16;
const SOA: u16 = 6;
const INTERNET: u16 = 1;
/// The most pointers followed in one name, and its longest form: names can be made to point in circles.
const MOST_JUMPS: usize = 32;
const LONGEST_NAME: usize = 255;

type Out<T> = Result<T, ContextError>;

/// An SRV record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// Its priority.
    pub priority: u16,
    /// Its weight.
    pub weight: u16,
    /// Its port.
    pub port: u16,
    /// Its target's name.
    pub target: String,
}

/// What an answer holds.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Answer {
    /// The serial of its SOA record.
    pub serial: Option<u32>,
    /// Its SRV records.
    pub services: Vec<Service>,
    /// Its A records.
    pub addresses: HashMap<String, [u8; 4]>,
    /// Its TXT records.
    pub texts: HashMap<String, Vec<String>>,
}

/// A question for the SRV records of a name.
pub fn question(id: u16, name: &str) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(64);
    bytes.extend(id.to_be_bytes());
    bytes.extend([0x01, 0x00, 0, 1, 0, 0, 0, 0, 0, 0]);
    for label in name.split('.').filter(|label| !label.is_empty()) {
        let label = &label.as_bytes()[..label.len().min(63)];
        bytes.push(label.len() as u8);
        bytes.extend(label);
    }
    bytes.push(0);
    bytes.extend(SRV.to_be_bytes());
    bytes.extend(INTERNET.to_be_bytes());
    bytes
}

enum Label<'a> {
    End,
    Text(&'a [u8]),
    Pointer(usize),
}

fn label<'a>(input: &mut &'a [u8]) -> Out<Label<'a>> {
    let length = be_u8(input)?;
    match length >> 6 {
        0 if length == 0 => Ok(Label::End),
        0 => take(length).parse_next(input).map(Label::Text),
        3 => Ok(Label::Pointer(usize::from(length & 0x3f) << 8 | usize::from(be_u8(input)?))),
        _ => Err(ContextError::new()),
    }
}

/// Reads a name, which may go on elsewhere in the message; lower case, without the last dot.
fn name(message: &[u8], input: &mut &[u8]) -> Out<String> {
    let mut text = String::new();
    let mut elsewhere: Option<&[u8]> = None;
    let mut jumps = 0;
    loop {
        let read = match &mut elsewhere {
            Some(place) => label(place)?,
            None => label(input)?,
        };
        match read {
            Label::End => return Ok(text),
            Label::Text(part) => {
                if !text.is_empty() {
                    text.push('.');
                }
                text.push_str(&String::from_utf8_lossy(part).to_ascii_lowercase());
            }
            Label::Pointer(at) => {
                elsewhere = Some(message.get(at..).ok_or_else(ContextError::new)?);
                jumps += 1;
            }
        }
        if text.len() > LONGEST_NAME || jumps > MOST_JUMPS {
            return Err(ContextError::new());
        }
    }
}

struct Header {
    flags: u16,
    counts: [u16; 4],
}

fn header(input: &mut &[u8]) -> Out<Header> {
    let (_, flags, a, b, c, d) = (be_u16, be_u16, be_u16, be_u16, be_u16, be_u16).parse_next(input)?;
    Ok(Header { flags, counts: [a, b, c, d] })
}

fn record(message: &[u8], input: &mut &[u8], answer: &mut Answer) -> Out<()> {
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
            answer.services.push(Service { priority, weight, port, target: name(message, data)? });
        }
        A => {
            let bytes: [u8; 4] =
                (be_u8, be_u8, be_u8, be_u8).map(|(a, b, c, d)| [a, b, c, d]).parse_next(data)?;
            answer.addresses.insert(owner, bytes);
        }
        TXT => {
            let part = length_take(be_u8).map(|part: &[u8]| String::from_utf8_lossy(part).into_owned());
            let parts: Vec<String> = repeat(0.., part).parse_next(data)?;
            answer.texts.entry(owner).or_default().extend(parts);
        }
        SOA => {
            let (_host, _mail) = (name(message, data)?, name(message, data)?);
            answer.serial = Some(be_u32(data)?);
        }
        _ => {}
    }
    Ok(())
}

/// Reads an answer.
pub fn read(message: &[u8]) -> Result<Answer, DiscoveryError> {
    let mut input = message;
    let head = header(&mut input).map_err(|_| DiscoveryError::Unreadable)?;
    if head.flags & 0x8000 == 0 {
        return Err(DiscoveryError::Unreadable);
    }
    if head.flags & 0x0200 != 0 {
        return Err(DiscoveryError::Truncated);
    }
    if head.flags & 0x000f != 0 {
        return Err(DiscoveryError::Code((head.flags & 0x000f) as u8));
    }
    let mut answer = Answer::default();
    for _ in 0..head.counts[0] {
        name(message, &mut input).map_err(|_| DiscoveryError::Unreadable)?;
        let asked: Out<(u16, u16)> = (be_u16, be_u16).parse_next(&mut input);
        asked.map_err(|_| DiscoveryError::Unreadable)?;
    }
    for _ in 0..head.counts[1..].iter().map(|count| u32::from(*count)).sum() {
        record(message, &mut input, &mut answer).map_err(|_| DiscoveryError::Unreadable)?;
    }
    Ok(answer)
}

#[cfg(test)]
mod tests {
    use super::*;

    /// An answer with one engine, its names compressed.
    fn sample() -> Vec<u8> {
        let mut bytes = question(7, "_api._tcp.svc.local");
        bytes[2] = 0x84;
        bytes[7] = 1; // one SRV
        bytes[9] = 1; // one SOA
        bytes[11] = 2; // A and TXT
        bytes.extend(b"\xc0\x0c\0\x21\0\x01\0\0\0\0\0\x17\0\0\0\x28\x1f\x90\x04s-0a\x04east\x05hosts\0");
        let target = bytes.len() - 17;
        bytes.extend(
            b"\xc0\x0c\0\x06\0\x01\0\0\0\0\0\x18\xc0\x0c\xc0\x0c\0\0\0\x2a\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0",
        );
        bytes.extend([0xc0, target as u8]);
        bytes.extend(b"\0\x01\0\x01\0\0\0\0\0\x04\x7f\0\0\x09");
        bytes.extend([0xc0, target as u8]);
        bytes.extend(b"\0\x10\0\x01\0\0\0\0\0\x13\x08kind=std\x09started=0");
        bytes
    }

    #[test]
    fn an_answer_is_read() {
        let answer = read(&sample()).unwrap();
        assert_eq!(answer.serial, Some(42));
        let target = "s-0a.east.hosts".to_owned();
        assert_eq!(
            answer.services,
            vec![Service { priority: 0, weight: 40, port: 8080, target: target.clone() }]
        );
        assert_eq!(answer.addresses[&target], [127, 0, 0, 9]);
        assert_eq!(answer.texts[&target], vec!["kind=std", "started=0"]);
    }

    #[test]
    fn what_is_cut_short_or_points_in_circles_is_no_answer() {
        let whole = sample();
        for cut in 0..whole.len() {
            assert!(read(&whole[..cut]).is_err(), "cut at {cut}");
        }
        let mut truncated = whole.clone();
        truncated[2] |= 0x02;
        assert!(matches!(read(&truncated), Err(DiscoveryError::Truncated)));
        let mut circle = whole;
        circle[12..14].copy_from_slice(&[0xc0, 0x0c]);
        assert!(read(&circle).is_err());
    }
}
