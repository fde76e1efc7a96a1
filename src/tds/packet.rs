//! Reads and writes packets, and assembles messages from them (MS-TDS 2.2.3).

use super::{ParseResult, TdsError};
use bytes::{Buf, BytesMut};
use winnow::Parser;
use winnow::binary::{be_u8, be_u16};

// Message types (MS-TDS 2.2.3.1.1).

/// SQL batch.
pub const SQL_BATCH: u8 = 0x01;
/// Remote procedure call (RPC).
pub const RPC: u8 = 0x03;
/// Tabular result: the type of all responses.
pub const TABULAR_RESULT: u8 = 0x04;
/// Attention signal, with which a client cancels its request.
pub const ATTENTION: u8 = 0x06;
/// Bulk load data. Recognised, but not supported.
const BULK_LOAD: u8 = 0x07;
/// Transaction manager request. Recognised, but not supported.
const TRANSACTION_MANAGER: u8 = 0x0e;
/// LOGIN7.
pub const LOGIN7: u8 = 0x10;
/// SSPI token of integrated authentication. Recognised, but not supported.
const SSPI: u8 = 0x11;
/// PRELOGIN: negotiates encryption before the login.
pub const PRELOGIN: u8 = 0x12;

// Status bits of a packet header (MS-TDS 2.2.3.1.2).
const END_OF_MESSAGE: u8 = 0x01;
const IGNORE: u8 = 0x02;

const HEADER_BYTES: usize = 8;
/// The maximum size of packets that are sent, which is SQL Server's default.
pub const PACKET_BYTES: usize = 4096;
/// The maximum size of a message that is read, from a client or an engine.
pub const MAX_MESSAGE_BYTES: usize = 4 << 20;
/// The maximum size of a message that is read from a client before its login (MS-TDS 2.2.6.4 limits LOGIN7 to it).
pub const MAX_LOGIN_MESSAGE_BYTES: usize = 128 * 1024 - 1;

/// A complete message.
#[derive(Debug, PartialEq, Eq)]
pub struct Message {
    /// The message type, such as [`SQL_BATCH`].
    pub kind: u8,
    /// The data of all its packets, without their headers.
    pub data: Vec<u8>,
}

/// A complete packet.
#[derive(Debug, PartialEq, Eq)]
pub struct Packet {
    /// The type of the message that the packet belongs to.
    pub kind: u8,
    /// Whether the packet is the last of its message.
    pub last: bool,
    /// Whether the message must be ignored. Valid only in the last packet.
    pub ignore: bool,
    /// The data, without the header.
    pub data: BytesMut,
}

/// The fields of a packet header that are used.
struct Header {
    kind: u8,
    status: u8,
    /// The length of the packet, including the header.
    length: usize,
}

impl Header {
    fn has(&self, status: u8) -> bool {
        self.status & status != 0
    }

    fn is_valid(&self) -> bool {
        let known = matches!(
            self.kind,
            SQL_BATCH
                | RPC
                | TABULAR_RESULT
                | ATTENTION
                | BULK_LOAD
                | TRANSACTION_MANAGER
                | LOGIN7
                | SSPI
                | PRELOGIN
        );
        known && self.length >= HEADER_BYTES
    }
}

fn parse_header(input: &mut &[u8]) -> ParseResult<Header> {
    let (kind, status, length) = (be_u8, be_u8, be_u16).parse_next(input)?;
    Ok(Header { kind, status, length: usize::from(length) })
}

/// Removes the next packet from the front of the receive buffer; `None` if it is incomplete.
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
#[derive(Debug)]
pub struct MessageAssembler {
    max_message_bytes: usize,
    incomplete: Option<Message>,
}

impl MessageAssembler {
    /// Creates an assembler of messages of at most `max_message_bytes`.
    pub fn new(max_message_bytes: usize) -> MessageAssembler {
        MessageAssembler { max_message_bytes, incomplete: None }
    }

    /// Changes the maximum size of messages.
    pub fn set_max_message_bytes(&mut self, max_message_bytes: usize) {
        self.max_message_bytes = max_message_bytes;
    }

    /// Returns the memory of the message that is incomplete.
    pub fn memory_bytes(&self) -> usize {
        self.incomplete.as_ref().map_or(0, |message| message.data.capacity())
    }

    /// Removes packets from the front of the receive buffer up to the end of the next message, and returns the message;
    /// `None` if the message is incomplete. Messages that must be ignored are skipped.
    ///
    /// # Errors
    ///
    /// A packet header is invalid, or the message exceeds its maximum size.
    pub fn next(&mut self, buffer: &mut BytesMut) -> Result<Option<Message>, TdsError> {
        while let Some(packet) = next_packet(buffer)? {
            let mut message = self.message_for_packet(packet.kind);
            if message.data.len() + packet.data.len() > self.max_message_bytes {
                return Err(TdsError::MessageTooLong { max_bytes: self.max_message_bytes });
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

    /// Returns the message that a packet of this type belongs to. A client may send an Attention in the middle of
    /// another message, whose packets are then dropped.
    fn message_for_packet(&mut self, kind: u8) -> Message {
        let incomplete = self.incomplete.take().filter(|message| message.kind == kind);
        incomplete.unwrap_or(Message { kind, data: Vec::new() })
    }
}

/// Encodes a message as packets of at most [`PACKET_BYTES`].
pub fn message(kind: u8, data: &[u8]) -> Vec<u8> {
    let mut out = Vec::with_capacity(data.len() + HEADER_BYTES * (1 + data.len() / PACKET_BYTES));
    let parts: Vec<&[u8]> = data.chunks(PACKET_BYTES - HEADER_BYTES).collect();
    // A message without data consists of one empty packet.
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
