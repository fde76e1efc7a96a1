//! Encoding and decoding of block frames, and compression of the payload.
//!
//! A frame is the header of a block: its kind, codec, lengths and checksums. Numbers are little-endian.
//!
//! ```text
//! byte  0  marker              byte 12  length of the payload as stored
//!       4  kind of the block        16  CRC-32 of the payload as stored
//!       5  codec                    20  CRC-32 of bytes 0 to 19
//!       8  length of the payload    24  payload as stored
//! ```

use crate::TraceError;
use std::io::Write;

/// The first bytes of a trace file.
pub const MAGIC: [u8; 8] = *b"SDTRACE\x01";
/// The format version that is written, and the latest that can be read.
pub const FORMAT_VERSION: u32 = 1;
/// The first bytes of a frame. Readers search for them to resume after a corrupted range.
pub const FRAME_MARKER: [u8; 4] = [0xd7, b'S', b'D', 0xb1];
/// Length of a frame without its payload (bytes).
pub const FRAME_BYTES: usize = 24;
/// Maximum length of a payload, both as stored and decompressed. It bounds what a reader allocates for an untrusted
/// file.
pub const MAX_PAYLOAD_BYTES: usize = 8 << 20;

const KIND_OFFSET: usize = 4;
const CODEC_OFFSET: usize = 5;
const RAW_LENGTH_OFFSET: usize = 8;
const STORED_LENGTH_OFFSET: usize = 12;
const PAYLOAD_CHECKSUM_OFFSET: usize = 16;
const FRAME_CHECKSUM_OFFSET: usize = 20;

/// The content type of a block.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BlockKind {
    /// The header of the file. It is the first block.
    Header,
    /// Event records with their string table.
    Records,
    /// The index of the blocks of records. It is the last block.
    Index,
    /// A kind defined by a later version. Readers skip it.
    Other(u8),
}

impl From<u8> for BlockKind {
    fn from(byte: u8) -> BlockKind {
        match byte {
            0 => BlockKind::Header,
            1 => BlockKind::Records,
            2 => BlockKind::Index,
            other => BlockKind::Other(other),
        }
    }
}

impl From<BlockKind> for u8 {
    fn from(kind: BlockKind) -> u8 {
        match kind {
            BlockKind::Header => 0,
            BlockKind::Records => 1,
            BlockKind::Index => 2,
            BlockKind::Other(byte) => byte,
        }
    }
}

/// Codec of an uncompressed payload.
const CODEC_STORED: u8 = 0;
/// Codec of a payload that is compressed as one LZ4 block.
const CODEC_LZ4: u8 = 1;

/// A decoded frame, without its payload.
#[derive(Debug, Clone, Copy)]
pub struct Frame {
    /// The content type of the block.
    pub kind: BlockKind,
    /// Length of the payload as stored (bytes).
    pub stored_bytes: usize,
    codec: u8,
    raw_bytes: usize,
    payload_checksum: u32,
}

/// Writes a block and returns its length including the frame (bytes).
///
/// The payload is compressed only if that makes it shorter.
///
/// # Errors
/// [`TraceError::TooLarge`] if the payload exceeds [`MAX_PAYLOAD_BYTES`]; [`TraceError::Io`] if writing fails.
pub fn write(out: &mut impl Write, kind: BlockKind, payload: &[u8]) -> Result<u64, TraceError> {
    if payload.len() > MAX_PAYLOAD_BYTES {
        return Err(TraceError::TooLarge(payload.len()));
    }
    let compressed = lz4_flex::block::compress(payload);
    let (codec, stored) = match compressed.len() < payload.len() {
        true => (CODEC_LZ4, &compressed[..]),
        false => (CODEC_STORED, payload),
    };
    let mut frame = [0; FRAME_BYTES];
    frame[..FRAME_MARKER.len()].copy_from_slice(&FRAME_MARKER);
    frame[KIND_OFFSET] = kind.into();
    frame[CODEC_OFFSET] = codec;
    put_u32(&mut frame, RAW_LENGTH_OFFSET, payload.len() as u32);
    put_u32(&mut frame, STORED_LENGTH_OFFSET, stored.len() as u32);
    put_u32(&mut frame, PAYLOAD_CHECKSUM_OFFSET, crc32fast::hash(stored));
    let frame_checksum = crc32fast::hash(&frame[..FRAME_CHECKSUM_OFFSET]);
    put_u32(&mut frame, FRAME_CHECKSUM_OFFSET, frame_checksum);
    out.write_all(&frame)?;
    out.write_all(stored)?;
    Ok((FRAME_BYTES + stored.len()) as u64)
}

fn put_u32(frame: &mut [u8; FRAME_BYTES], offset: usize, value: u32) {
    frame[offset..offset + 4].copy_from_slice(&value.to_le_bytes());
}

fn get_u32(frame: &[u8; FRAME_BYTES], offset: usize) -> u32 {
    let mut bytes = [0; 4];
    bytes.copy_from_slice(&frame[offset..offset + 4]);
    u32::from_le_bytes(bytes)
}

impl Frame {
    /// Decodes a frame. Returns `None` if the bytes are not a frame, its checksum does not match, or a length exceeds
    /// [`MAX_PAYLOAD_BYTES`].
    pub fn read(bytes: &[u8; FRAME_BYTES]) -> Option<Frame> {
        let frame_checksum = crc32fast::hash(&bytes[..FRAME_CHECKSUM_OFFSET]);
        let is_intact =
            bytes.starts_with(&FRAME_MARKER) && get_u32(bytes, FRAME_CHECKSUM_OFFSET) == frame_checksum;
        let frame = Frame {
            kind: bytes[KIND_OFFSET].into(),
            stored_bytes: get_u32(bytes, STORED_LENGTH_OFFSET) as usize,
            codec: bytes[CODEC_OFFSET],
            raw_bytes: get_u32(bytes, RAW_LENGTH_OFFSET) as usize,
            payload_checksum: get_u32(bytes, PAYLOAD_CHECKSUM_OFFSET),
        };
        let fits = frame.raw_bytes <= MAX_PAYLOAD_BYTES && frame.stored_bytes <= MAX_PAYLOAD_BYTES;
        (is_intact && fits).then_some(frame)
    }

    /// Decompresses the stored payload. Returns `None` if its length or checksum does not match, or its codec is
    /// unknown.
    pub fn payload(&self, stored: &[u8]) -> Option<Vec<u8>> {
        if stored.len() != self.stored_bytes || crc32fast::hash(stored) != self.payload_checksum {
            return None;
        }
        match self.codec {
            CODEC_STORED => Some(stored.to_vec()),
            CODEC_LZ4 => {
                let payload = lz4_flex::block::decompress(stored, self.raw_bytes).ok()?;
                (payload.len() == self.raw_bytes).then_some(payload)
            }
            _ => None,
        }
    }
}
