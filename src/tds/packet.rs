//! Packets, and the messages that they carry.

use super::{Malformed, Out};
use bytes::{Buf, BytesMut};
use winnow::Parser;
use winnow::binary::{be_u8, be_u16};

/// A batch of SQL.
pub const SQL_BATCH: u8 = 0x01;
/// A call of a procedure.
pub const RPC: u8 = 0x03;
/// An answer.
pub const RESULT: u8 = 0x04;
/// An attention: the client stops waiting.
pub const ATTENTION: u8 = 0x06;
/// A login.
pub const LOGIN7: u8 = 0x10;
/// What comes before a login.
pub const PRELOGIN: u8 = 0x12;

const END_OF_MESSAGE: u8 = 0x01;
const IGNORE: u8 = 0x02;
const HEADER: usize = 8;
/// The size of the packets that are sent.
pub const PACKET: usize = 4096;
/// The longest message taken, from a client or an engine.
pub const LONGEST_MESSAGE: usize = 4 << 20;

/// A whole message.
#[derive(Debug, PartialEq, Eq)]
pub struct Message {
    /// Its type.
    pub kind: u8,
    /// What it carries.
    pub data: Vec<u8>,
}

/// A packet.
#[derive(Debug, PartialEq, Eq)]
pub struct Packet {
    /// The type of its message.
    pub kind: u8,
    /// Whether its message ends here.
    pub last: bool,
    /// Whether its message is to be passed over.
    pub ignore: bool,
    /// What it carries.
    pub data: BytesMut,
}

fn header(input: &mut &[u8]) -> Out<(u8, u8, usize)> {
    let (kind, status, length) = (be_u8, be_u8, be_u16).parse_next(input)?;
    Ok((kind, status, usize::from(length)))
}

/// Takes the next packet off the front of what was received, where it is there whole.
pub fn next_packet(buffer: &mut BytesMut) -> Result<Option<Packet>, Malformed> {
    if buffer.len() < HEADER {
        return Ok(None);
    }
    let (kind, status, length) = header(&mut &buffer[..]).map_err(|_| Malformed::Packet)?;
    let known = matches!(kind, SQL_BATCH | RPC | RESULT | ATTENTION | LOGIN7 | PRELOGIN | 0x07 | 0x0e | 0x11);
    if length < HEADER || !known {
        return Err(Malformed::Packet);
    }
    if buffer.len() < length {
        return Ok(None);
    }
    buffer.advance(HEADER);
    let data = buffer.split_to(length - HEADER);
    let (last, ignore) = (status & END_OF_MESSAGE != 0, status & IGNORE != 0);
    Ok(Some(Packet { kind, last, ignore, data }))
}

/// Puts packets together to messages.
#[derive(Debug, Default)]
pub struct Messages {
    open: Option<Message>,
}

impl Messages {
    /// Takes the next whole message off the front of what was received.
    pub fn next(&mut self, buffer: &mut BytesMut) -> Result<Option<Message>, Malformed> {
        while let Some(packet) = next_packet(buffer)? {
            // An attention may come in the midst of a message, which it then ends.
            let same = self.open.as_ref().is_some_and(|open| open.kind == packet.kind);
            let mut open = match self.open.take().filter(|_| same) {
                Some(open) => open,
                None => Message { kind: packet.kind, data: Vec::new() },
            };
            if open.data.len() + packet.data.len() > LONGEST_MESSAGE {
                return Err(Malformed::Long);
            }
            open.data.extend_from_slice(&packet.data);
            match (packet.last, packet.ignore) {
                (true, true) => {}
                (true, false) => return Ok(Some(open)),
                (false, _) => self.open = Some(open),
            }
        }
        Ok(None)
    }
}

/// A message as packets.
pub fn message(kind: u8, data: &[u8]) -> Vec<u8> {
    let mut out = Vec::with_capacity(data.len() + HEADER * (1 + data.len() / PACKET));
    let parts: Vec<&[u8]> = data.chunks(PACKET - HEADER).collect();
    let parts: &[&[u8]] = if parts.is_empty() { &[&[]] } else { &parts };
    for (at, part) in parts.iter().enumerate() {
        let status = u8::from(at + 1 == parts.len());
        out.extend([kind, status]);
        out.extend(((part.len() + HEADER) as u16).to_be_bytes());
        out.extend([0, 0, (at + 1) as u8, 0]);
        out.extend_from_slice(part);
    }
    out
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_message_comes_whole_however_its_packets_are_cut() {
        let data: Vec<u8> = (0..10_000u32).map(|at| at as u8).collect();
        let sent = message(SQL_BATCH, &data);
        for cut in (0..sent.len()).step_by(7) {
            let (mut messages, mut buffer) = (Messages::default(), BytesMut::from(&sent[..cut]));
            assert_eq!(messages.next(&mut buffer).unwrap(), None, "cut at {cut}");
            buffer.extend_from_slice(&sent[cut..]);
            let whole = messages.next(&mut buffer).unwrap().unwrap();
            assert_eq!((whole.kind, &whole.data), (SQL_BATCH, &data));
        }
    }

    #[test]
    fn packets_that_cannot_be_are_malformed() {
        assert!(next_packet(&mut BytesMut::from(&[1, 1, 0, 7, 0, 0, 0, 0][..])).is_err());
        assert!(next_packet(&mut BytesMut::from(&b"GET / HTTP/1.1\r\n"[..])).is_err());
    }
}
