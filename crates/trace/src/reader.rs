//! Reading a trace record by record, and past its damaged parts.

use crate::frame::{BlockKind, FORMAT_VERSION, FRAME_BYTES, FRAME_MARKER, Frame, MAGIC};
use crate::{Block, Header, Index, Record, Strings, TraceError};
use prost::Message;
use std::collections::VecDeque;
use std::io::{Read, Seek, SeekFrom};
use std::sync::Arc;

/// Bytes read at once in the search for the next intact block.
const SEARCH_BYTES: usize = 64 * 1024;
/// Length of the offset of the index at the end of a file.
const INDEX_OFFSET_BYTES: u64 = 8;

/// A part of the file that cannot be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// Offset of its first byte.
    pub offset: u64,
    /// Offset of the next readable byte, or the length of the file.
    pub until: u64,
    /// What is wrong with it.
    pub reason: &'static str,
}

/// A record with the strings that it refers to.
#[derive(Debug, Clone)]
pub struct Entry {
    /// The record, without fields of a later version.
    pub record: Record,
    /// The encoded record, with all fields.
    pub bytes: Vec<u8>,
    /// The string table of its block.
    pub strings: Arc<Strings>,
}

impl Entry {
    /// The string of a reference; empty where there is none.
    pub fn string(&self, reference: u32) -> &str {
        self.strings.text(reference)
    }
}

/// A block that was read and is intact.
struct ReadBlock {
    kind: BlockKind,
    payload: Vec<u8>,
    /// Offset of the next block.
    end: u64,
}

/// Reads a trace from its beginning to its end, with the memory of one block.
#[derive(Debug)]
pub struct Reader<R> {
    input: R,
    header: Header,
    /// Offset of the next block.
    offset: u64,
    /// Length of the file.
    length: u64,
    /// Records of the current block that are still to be returned.
    entries: VecDeque<Entry>,
    faults: Vec<Fault>,
    index: Option<Index>,
    blocks: u64,
}

impl<R: Read + Seek> Reader<R> {
    /// Opens a trace and reads its header; a damaged header is replaced by an empty one.
    ///
    /// # Errors
    /// Fails where the input cannot be read, is not a trace, or has a later format version.
    pub fn new(mut input: R) -> Result<Reader<R>, TraceError> {
        let length = input.seek(SeekFrom::End(0))?;
        input.seek(SeekFrom::Start(0))?;
        let mut magic = [0; MAGIC.len()];
        if length < MAGIC.len() as u64 {
            return Err(TraceError::NotATrace);
        }
        input.read_exact(&mut magic)?;
        if magic != MAGIC {
            return Err(TraceError::NotATrace);
        }
        let mut reader = Reader {
            input,
            header: Header::default(),
            offset: MAGIC.len() as u64,
            length,
            entries: VecDeque::new(),
            faults: Vec::new(),
            index: None,
            blocks: 0,
        };
        reader.read_header()?;
        Ok(reader)
    }

    /// Reads the first block where it is an intact header. Any other is left to the reading of records.
    fn read_header(&mut self) -> Result<(), TraceError> {
        let Some(block) = self.read_block(self.offset)? else { return Ok(()) };
        if block.kind != BlockKind::Header {
            return Ok(());
        }
        if let Ok(header) = Header::decode(&block.payload[..]) {
            if header.format_version > FORMAT_VERSION {
                return Err(TraceError::LaterVersion(header.format_version));
            }
            self.header = header;
            self.offset = block.end;
        }
        Ok(())
    }

    /// The header of the file.
    pub fn header(&self) -> &Header {
        &self.header
    }

    /// The parts that could not be read so far.
    pub fn faults(&self) -> &[Fault] {
        &self.faults
    }

    /// The number of intact blocks of records so far.
    pub fn blocks(&self) -> u64 {
        self.blocks
    }

    /// The index, once reading has reached it; `None` where the file has none.
    pub fn index(&self) -> Option<&Index> {
        self.index.as_ref()
    }

    /// Reads the index at the end of the file; reading of records continues where it was.
    pub fn seek_index(&mut self) -> Result<Option<Index>, TraceError> {
        if self.length < INDEX_OFFSET_BYTES + MAGIC.len() as u64 {
            return Ok(None);
        }
        let mut offset = [0; INDEX_OFFSET_BYTES as usize];
        self.input.seek(SeekFrom::Start(self.length - INDEX_OFFSET_BYTES))?;
        self.input.read_exact(&mut offset)?;
        let offset = u64::from_le_bytes(offset);
        if offset >= self.length {
            return Ok(None);
        }
        let index = self.read_block(offset)?.filter(|block| block.kind == BlockKind::Index);
        Ok(index.and_then(|block| Index::decode(&block.payload[..]).ok()))
    }

    /// Continues reading at the block with this offset, which is in the index.
    pub fn go_to(&mut self, offset: u64) {
        self.offset = offset;
        self.entries.clear();
    }

    /// Reads the block at an offset; `None` where there is no intact one.
    fn read_block(&mut self, offset: u64) -> Result<Option<ReadBlock>, TraceError> {
        if offset + FRAME_BYTES as u64 > self.length {
            return Ok(None);
        }
        let mut frame = [0; FRAME_BYTES];
        self.input.seek(SeekFrom::Start(offset))?;
        self.input.read_exact(&mut frame)?;
        let Some(frame) = Frame::read(&frame) else { return Ok(None) };
        let end = offset + (FRAME_BYTES + frame.stored_bytes) as u64;
        if end > self.length {
            return Ok(None);
        }
        let mut stored = vec![0; frame.stored_bytes];
        self.input.read_exact(&mut stored)?;
        let payload = frame.payload(&stored);
        Ok(payload.map(|payload| ReadBlock { kind: frame.kind, payload, end }))
    }

    /// The offset of the next intact block.
    fn find_block(&mut self, from: u64) -> Result<Option<u64>, TraceError> {
        let mut offset = from;
        let mut buffer = vec![0; SEARCH_BYTES];
        while offset + FRAME_BYTES as u64 <= self.length {
            let length = usize::try_from(self.length - offset).unwrap_or(SEARCH_BYTES).min(SEARCH_BYTES);
            self.input.seek(SeekFrom::Start(offset))?;
            self.input.read_exact(&mut buffer[..length])?;
            let windows = buffer[..length].windows(FRAME_MARKER.len()).zip(offset..);
            let markers = windows.filter(|(window, _)| *window == FRAME_MARKER);
            let candidates: Vec<u64> = markers.map(|(_, candidate)| candidate).collect();
            for candidate in candidates {
                if self.read_block(candidate)?.is_some() {
                    return Ok(Some(candidate));
                }
            }
            // The parts overlap, because a marker may cross the end of one.
            offset += (length - (FRAME_MARKER.len() - 1)).max(1) as u64;
        }
        Ok(None)
    }

    /// Reads blocks until there are entries; false at the end of the file.
    fn fill_entries(&mut self) -> Result<bool, TraceError> {
        while self.entries.is_empty() {
            let left = self.length.saturating_sub(self.offset);
            // Only the offset of the index follows the index.
            if left == 0 || (left == INDEX_OFFSET_BYTES && self.index.is_some()) {
                return Ok(false);
            }
            match self.read_block(self.offset)? {
                Some(block) => {
                    match block.kind {
                        BlockKind::Records => self.decode_records(&block),
                        BlockKind::Index => self.index = Index::decode(&block.payload[..]).ok(),
                        BlockKind::Header | BlockKind::Other(_) => {}
                    }
                    self.offset = block.end;
                }
                None => self.skip_damaged_part()?,
            }
        }
        Ok(true)
    }

    fn decode_records(&mut self, read: &ReadBlock) {
        self.blocks += 1;
        let Ok(block) = Block::decode(&read.payload[..]) else {
            return self.add_fault(read.end, "a block that is no message");
        };
        let strings = Arc::new(Strings::from(block.strings));
        for bytes in block.records {
            match Record::decode(&bytes[..]) {
                Ok(record) => self.entries.push_back(Entry { record, bytes, strings: strings.clone() }),
                Err(_) => self.add_fault(read.end, "a record that is no message"),
            }
        }
    }

    fn skip_damaged_part(&mut self) -> Result<(), TraceError> {
        let next_block = self.find_block(self.offset + 1)?;
        let until = next_block.unwrap_or(self.length);
        let reason = if next_block.is_some() { "damaged" } else { "cut short or damaged" };
        self.add_fault(until, reason);
        self.offset = until;
        Ok(())
    }

    /// Adds a fault that begins at the current block.
    fn add_fault(&mut self, until: u64, reason: &'static str) {
        self.faults.push(Fault { offset: self.offset, until, reason });
    }
}

impl<R: Read + Seek> Iterator for Reader<R> {
    type Item = Result<Entry, TraceError>;

    fn next(&mut self) -> Option<Self::Item> {
        match self.fill_entries() {
            Ok(true) => self.entries.pop_front().map(Ok),
            Ok(false) => None,
            Err(error) => Some(Err(error)),
        }
    }
}

#[cfg(test)]
mod tests;
