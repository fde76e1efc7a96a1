//! Blocks in their frames.

use crate::TraceError;
use std::io::Write;

/// How a file begins.
pub const MAGIC: [u8; 8] = *b"SDTRACE\x01";
/// The form that is written, and the newest that is read.
pub const FORM: u32 = 1;
/// How a block begins: readers look for it past what is damaged.
pub const MARK: [u8; 4] = [0xd7, b'S', b'D', 0xb1];
/// Bytes of a frame before its payload.
pub const FRAME: usize = 24;
/// The longest payload, as it is stored and as it is read.
pub const LONGEST: usize = 8 << 20;

/// What a block holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// The header, in the first block.
    Header,
    /// Records.
    Records,
    /// The index, in the last block.
    Index,
    /// Something of a later version: copied, not read.
    Other(u8),
}

impl Kind {
    fn byte(self) -> u8 {
        match self {
            Kind::Header => 0,
            Kind::Records => 1,
            Kind::Index => 2,
            Kind::Other(byte) => byte,
        }
    }

    fn of(byte: u8) -> Kind {
        match byte {
            0 => Kind::Header,
            1 => Kind::Records,
            2 => Kind::Index,
            other => Kind::Other(other),
        }
    }
}

/// How a payload is stored.
const STORED: u8 = 0;
const LZ4: u8 = 1;

/// A frame as it was read.
#[derive(Debug, Clone, Copy)]
pub struct Frame {
    /// What the block holds.
    pub kind: Kind,
    codec: u8,
    raw: usize,
    /// Bytes of the payload as it is stored.
    pub stored: usize,
    checksum: u32,
}

/// Writes a block; gives its length with its frame.
pub fn write(out: &mut impl Write, kind: Kind, payload: &[u8]) -> Result<u64, TraceError> {
    if payload.len() > LONGEST {
        return Err(TraceError::TooLarge(payload.len()));
    }
    let packed = lz4_flex::block::compress(payload);
    let (codec, stored) = if packed.len() < payload.len() { (LZ4, &packed[..]) } else { (STORED, payload) };
    let mut frame = [0; FRAME];
    frame[..4].copy_from_slice(&MARK);
    (frame[4], frame[5]) = (kind.byte(), codec);
    frame[8..12].copy_from_slice(&(payload.len() as u32).to_le_bytes());
    frame[12..16].copy_from_slice(&(stored.len() as u32).to_le_bytes());
    frame[16..20].copy_from_slice(&crc32fast::hash(stored).to_le_bytes());
    let own = crc32fast::hash(&frame[..20]);
    frame[20..].copy_from_slice(&own.to_le_bytes());
    out.write_all(&frame)?;
    out.write_all(stored)?;
    Ok((FRAME + stored.len()) as u64)
}

fn number(bytes: &[u8], at: usize) -> u32 {
    bytes.get(at..at + 4).and_then(|four| four.try_into().ok()).map_or(0, u32::from_le_bytes)
}

impl Frame {
    /// Reads a frame; `None` where these bytes are none, or a damaged one.
    pub fn read(bytes: &[u8; FRAME]) -> Option<Frame> {
        let whole = bytes[..4] == MARK && number(bytes, 20) == crc32fast::hash(&bytes[..20]);
        let (raw, stored) = (number(bytes, 8) as usize, number(bytes, 12) as usize);
        let frame =
            Frame { kind: Kind::of(bytes[4]), codec: bytes[5], raw, stored, checksum: number(bytes, 16) };
        Some(frame).filter(|_| whole && raw <= LONGEST && stored <= LONGEST)
    }

    /// The payload of what is stored; `None` where that is damaged.
    pub fn payload(&self, stored: &[u8]) -> Option<Vec<u8>> {
        if stored.len() != self.stored || crc32fast::hash(stored) != self.checksum {
            return None;
        }
        match self.codec {
            STORED => Some(stored.to_vec()),
            LZ4 => lz4_flex::block::decompress(stored, self.raw).ok().filter(|raw| raw.len() == self.raw),
            _ => None,
        }
    }
}
