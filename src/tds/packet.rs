//! Packets, and the messages that they carry (MS-TDS 2.2.3).

use super::{ParseResult, TdsError};
use bytes::{Buf, BytesMut};
use winnow::Parser;
use winnow::binary::{be_u8, be_u16};

// Types of messages (MS-TDS 2.2.3.1.1).

/// A batch of SQL.
pub const SQL_BATCH: u8 = 0x01;
/// A call of a procedure.
pub const RPC: u8 = 0x03;
/// A response (tabular result).
pub const RESULT: u8 = 0x04;
/// An attention: the client cancels its request.
pub const ATTENTION: u8 = 0x06;
/// Bulk load data.
const BULK_LOAD: u8 = 0x07;
/// A request to the transaction manager.
const TRANSACTION_MANAGER: u8 = 0x0e;
/// A login.
pub const LOGIN7: u8 = 0x10;
/// A token of integrated authentication.
const SSPI: u8 = 0x11;
/// The negotiation before a login.
pub const PRELOGIN: u8 = 0x12;

// Bits of a packet's status (MS-TDS 2.2.3.1.2).
const END_OF_MESSAGE: u8 = 0x01;
const IGNORE: u8 = 0x02;

const HEADER_BYTES: usize = 8;
/// The size of the packets that are sent, which is the default of SQL Server.
pub const PACKET_BYTES: usize = 4096;
/// The longest message that is read, from a client or an engine. A value of ours.
pub const MAX_MESSAGE_BYTES: usize = 4 << 20;

/// A complete message.
#[derive(Debug, PartialEq, Eq)]
pub struct Message {
    /// The type.
    pub kind: u8,
    /// The data of its packets.
    pub data: Vec<u8>,
}

/// A packet.
#[derive(Debug, PartialEq, Eq)]
pub struct Packet {
    /// The type of its message.
    pub kind: u8,
    /// Whether it is the last of its message.
    pub last: bool,
    /// Whether its message is to be ignored.
    pub ignore: bool,
    /// The data.
    pub data: BytesMut,
}

/// A packet's header, as far as it is used.
struct Header {
    kind: u8,
    status: u8,
    /// The length of the packet, with the header.
    length: usize,
}

impl Header {
    fn has(&self, status: u8) -> bool {
        self.status & status != 0
    }

    fn is_valid(&self) -> bool {
        let known = matches!(
            self.kind,
            SQL_BATCH | RPC | RESULT | ATTENTION | BULK_LOAD | TRANSACTION_MANAGER | LOGIN7 | SSPI | PRELOGIN
        );
        known && self.length >= HEADER_BYTES
    }
}

fn parse_header(input: &mut &[u8]) -> ParseResult<Header> {
    let (kind, status, length) = (be_u8, be_u8, be_u16).parse_next(input)?;
    Ok(Header { kind, status, length: usize::from(length) })
}

/// Takes the next packet off the front of what was received; `None` if it is not complete yet.
///
/// # Errors
///
/// The header is invalid.
pub fn next_packet(buffer: &mut BytesMut) -> Result<Option<Packet>, TdsError> {
    if buffer.len() < HEADER_BYTES {
        return Ok(None);
    }
    let header = parse_header(&mut &buffer[..]).map_err(|_| TdsError::PacketHeader)?;
    if !header.is_valid() {
        return Err(TdsError::PacketHeader);
    }
    if buffer.len() < header.length {
        return Ok(None);
    }
    buffer.advance(HEADER_BYTES);
    let data = buffer.split_to(header.length - HEADER_BYTES);
    let last = header.has(END_OF_MESSAGE);
    let ignore = header.has(IGNORE);
    Ok(Some(Packet { kind: header.kind, last, ignore, data }))
}

/// Assembles messages from packets.
#[derive(Debug, Default)]
pub struct Messages {
    incomplete: Option<Message>,
}

impl Messages {
    /// Takes the next complete message off the front of what was received; `None` if there is none yet.
    ///
    /// # Errors
    ///
    /// A packet's header is invalid, or the message is too long.
    pub fn next(&mut self, buffer: &mut BytesMut) -> Result<Option<Message>, TdsError> {
        while let Some(packet) = next_packet(buffer)? {
            let mut message = self.message_of(packet.kind);
            if message.data.len() + packet.data.len() > MAX_MESSAGE_BYTES {
                return Err(TdsError::MessageTooLong);
            }
            message.data.extend_from_slice(&packet.data);
            match (packet.last, packet.ignore) {
                (true, true) => {}
                (true, false) => return Ok(Some(message)),
                (false, _) => self.incomplete = Some(message),
            }
        }
        Ok(None)
    }

    /// The message that a packet of this type belongs to. An attention may be sent in the middle of another message,
    /// which is discarded then.
    fn message_of(&mut self, kind: u8) -> Message {
        let incomplete = self.incomplete.take().filter(|message| message.kind == kind);
        incomplete.unwrap_or(Message { kind, data: Vec::new() })
    }
}

/// Writes a message as packets.
pub fn message(kind: u8, data: &[u8]) -> Vec<u8> {
    let mut out = Vec::with_capacity(data.len() + HEADER_BYTES * (1 + data.len() / PACKET_BYTES));
    let parts: Vec<&[u8]> = data.chunks(PACKET_BYTES - HEADER_BYTES).collect();
    // A message without data has one packet all the same.
    let parts: &[&[u8]] = if parts.is_empty() { &[&[]] } else { &parts };
    for (index, part) in parts.iter().enumerate() {
        let last = index + 1 == parts.len();
        let status = if last { END_OF_MESSAGE } else { 0 };
        let number = (index + 1) as u8;
        out.extend([kind, status]);
        out.extend(((part.len() + HEADER_BYTES) as u16).to_be_bytes());
        out.extend([0, 0, number, 0]); // no process id; no window
        out.extend_from_slice(part);
    }
    out
}

#[cfg(test)]
mod tests;
