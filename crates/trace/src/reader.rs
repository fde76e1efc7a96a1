//! Reads a trace record by record and skips its corrupted ranges.

use crate::frame::{BlockKind, FORMAT_VERSION, FRAME_BYTES, FRAME_MARKER, Frame, MAGIC};
use crate::{Block, Header, Index, Record, Strings, TraceError};
use prost::Message;
use std::collections::VecDeque;
use std::io::{Read, Seek, SeekFrom};
use std::sync::Arc;

/// Size of the buffer for the search for the next intact block.
const SEARCH_BYTES: usize = 64 * 1024;
/// Length of the trailer of a file, which is the offset of the index as a 64-bit number.
const INDEX_OFFSET_BYTES: u64 = 8;

/// A byte range of the file that cannot be read or decoded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// Offset of the first byte of the range.
    pub offset: u64,
    /// Offset of the next readable byte, or the length of the file.
    pub until: u64,
    /// Why the range cannot be read, for display.
    pub reason: &'static str,
}

/// A record with the string table that its references point into.
#[derive(Debug, Clone)]
pub struct Entry {
    /// The decoded record, without fields of later versions.
    pub record: Record,
    /// The encoded record, with all fields including those of later versions.
    pub bytes: Vec<u8>,
    /// The string table of the record's block.
    pub strings: Arc<Strings>,
}

impl Entry {
    /// Returns the string of a reference, or an empty string if the table has no such reference.
    pub fn string(&self, reference: u32) -> &str {
        self.strings.text(reference)
    }
}

/// An intact block with its decompressed payload.
struct ReadBlock {
    kind: BlockKind,
    payload: Vec<u8>,
    /// Offset of the next block.
    end: u64,
}

/// Reads a trace sequentially. At most one block is held in memory.
#[derive(Debug)]
pub struct Reader<R> {
    input: R,
    header: Header,
    /// Offset of the next block.
    offset: u64,
    /// Length of the file (bytes).
    length: u64,
    /// Records of the current block that have not been returned yet.
    entries: VecDeque<Entry>,
    faults: Vec<Fault>,
    index: Option<Index>,
    blocks: u64,
}

impl<R: Read + Seek> Reader<R> {
    /// Opens a trace and reads its header. If the header is corrupted, [`Reader::header`] returns an empty one.
    ///
    /// # Errors
    /// Fails if the input cannot be read, is not a trace, or has a later format version.
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

    /// Reads the first block if it is an intact header. Otherwise the position stays, and reading of records starts at
    /// this block.
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

    /// The header of the file; empty if it is corrupted.
    pub fn header(&self) -> &Header {
        &self.header
    }

    /// The unreadable ranges found so far.
    pub fn faults(&self) -> &[Fault] {
        &self.faults
    }

    /// The number of intact blocks of records read so far.
    pub fn blocks(&self) -> u64 {
        self.blocks
    }

    /// The index; `None` until reading has reached it, or if the file has none.
    pub fn index(&self) -> Option<&Index> {
        self.index.as_ref()
    }

    /// Reads the index at the end of the file. The position for reading records does not change.
    ///
    /// Returns `None` if the file has no intact index.
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

    /// Moves the read position to the block at this offset, which is taken from the index.
    pub fn seek_to_block(&mut self, offset: u64) {
        self.offset = offset;
        self.entries.clear();
    }

    /// Reads the block at an offset. Returns `None` if there is no intact block.
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

    /// Searches for the next intact block at or after `from` and returns its offset.
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
            // Consecutive reads overlap because a marker may cross the end of a buffer.
            offset += (length - (FRAME_MARKER.len() - 1)).max(1) as u64;
        }
        Ok(None)
    }

    /// Reads blocks until there are entries to return. Returns false at the end of the file.
    fn fill_entries(&mut self) -> Result<bool, TraceError> {
        while self.entries.is_empty() {
            let remaining_bytes = self.length.saturating_sub(self.offset);
            // After the index, only the trailer with its offset is left.
            if remaining_bytes == 0 || (remaining_bytes == INDEX_OFFSET_BYTES && self.index.is_some()) {
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
                None => self.skip_corrupted_range()?,
            }
        }
        Ok(true)
    }

    fn decode_records(&mut self, read: &ReadBlock) {
        self.blocks += 1;
        let Ok(block) = Block::decode(&read.payload[..]) else {
            return self.add_fault(read.end, "block of records is not a valid protobuf message");
        };
        let strings = Arc::new(Strings::from(block.strings));
        for bytes in block.records {
            match Record::decode(&bytes[..]) {
                Ok(record) => self.entries.push_back(Entry { record, bytes, strings: strings.clone() }),
                Err(_) => self.add_fault(read.end, "record is not a valid protobuf message"),
            }
        }
    }

    fn skip_corrupted_range(&mut self) -> Result<(), TraceError> {
        let next_block = self.find_block(self.offset + 1)?;
        let until = next_block.unwrap_or(self.length);
        let reason = if next_block.is_some() { "damaged" } else { "truncated or damaged" };
        self.add_fault(until, reason);
        self.offset = until;
        Ok(())
    }

    /// Records a fault that begins at the current block and ends before offset `until`.
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
