//! Reads a trace record by record, past what is damaged.

use crate::frame::{FORM, FRAME, Frame, Kind, MAGIC, MARK};
use crate::{Block, Header, Index, Record, Strings, TraceError};
use prost::Message;
use std::collections::VecDeque;
use std::io::{Read, Seek, SeekFrom};
use std::sync::Arc;

/// Bytes read at once while a whole block is sought.
const SEARCH: usize = 64 * 1024;

/// A part of the file that can't be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// Where it begins.
    pub offset: u64,
    /// Where what can be read begins again, or the file ends.
    pub until: u64,
    /// What is wrong.
    pub reason: &'static str,
}

/// A record with the strings that it names.
#[derive(Debug, Clone)]
pub struct Entry {
    /// The record, as far as it is known.
    pub record: Record,
    /// Its bytes: all of it.
    pub bytes: Vec<u8>,
    /// The strings of its block.
    pub strings: Arc<Strings>,
}

impl Entry {
    /// The string of a number.
    pub fn string(&self, number: u32) -> &str {
        self.strings.text(number)
    }
}

/// Reads a trace from its beginning to its end, in the memory of one block.
#[derive(Debug)]
pub struct Reader<R> {
    input: R,
    header: Header,
    at: u64,
    length: u64,
    entries: VecDeque<Entry>,
    faults: Vec<Fault>,
    index: Option<Index>,
    blocks: u64,
}

impl<R: Read + Seek> Reader<R> {
    /// Opens a trace: reads its magic and its header. One whose header is damaged has an empty one.
    pub fn new(mut input: R) -> Result<Reader<R>, TraceError> {
        let length = input.seek(SeekFrom::End(0))?;
        input.seek(SeekFrom::Start(0))?;
        let mut magic = [0; MAGIC.len()];
        if length < MAGIC.len() as u64 {
            return Err(TraceError::NoTrace);
        }
        input.read_exact(&mut magic)?;
        if magic != MAGIC {
            return Err(TraceError::NoTrace);
        }
        let at = MAGIC.len() as u64;
        let header = Header::default();
        let (entries, faults) = (VecDeque::new(), Vec::new());
        let mut reader = Reader { input, header, at, length, entries, faults, index: None, blocks: 0 };
        if let Some((Kind::Header, payload, next)) = reader.block(at)?
            && let Ok(header) = Header::decode(&payload[..])
        {
            if header.format_version > FORM {
                return Err(TraceError::Newer(header.format_version));
            }
            (reader.header, reader.at) = (header, next);
        }
        Ok(reader)
    }

    /// What the file is of.
    pub fn header(&self) -> &Header {
        &self.header
    }

    /// What could not be read so far.
    pub fn faults(&self) -> &[Fault] {
        &self.faults
    }

    /// Whole blocks of records read so far.
    pub fn blocks(&self) -> u64 {
        self.blocks
    }

    /// The index, once the end was reached; `None` where the file has none.
    pub fn index(&self) -> Option<&Index> {
        self.index.as_ref()
    }

    /// The index, sought at the end of the file; reading goes on where it was.
    pub fn seek_index(&mut self) -> Result<Option<Index>, TraceError> {
        if self.length < 8 + MAGIC.len() as u64 {
            return Ok(None);
        }
        let mut offset = [0; 8];
        self.input.seek(SeekFrom::Start(self.length - 8))?;
        self.input.read_exact(&mut offset)?;
        let offset = u64::from_le_bytes(offset);
        let found = if offset < self.length { self.block(offset)? } else { None };
        Ok(match found {
            Some((Kind::Index, payload, _)) => Index::decode(&payload[..]).ok(),
            _ => None,
        })
    }

    /// Goes on reading at a block, whose offset the index tells.
    pub fn go_to(&mut self, offset: u64) {
        self.at = offset;
        self.entries.clear();
    }

    /// The block at an offset, where it is whole: what it holds, its payload, and where the next begins.
    fn block(&mut self, at: u64) -> Result<Option<(Kind, Vec<u8>, u64)>, TraceError> {
        if at + FRAME as u64 > self.length {
            return Ok(None);
        }
        let mut bytes = [0; FRAME];
        self.input.seek(SeekFrom::Start(at))?;
        self.input.read_exact(&mut bytes)?;
        let Some(frame) = Frame::read(&bytes) else { return Ok(None) };
        let next = at + (FRAME + frame.stored) as u64;
        if next > self.length {
            return Ok(None);
        }
        let mut stored = vec![0; frame.stored];
        self.input.read_exact(&mut stored)?;
        Ok(frame.payload(&stored).map(|payload| (frame.kind, payload, next)))
    }

    /// Where the next whole block begins.
    fn seek_block(&mut self, from: u64) -> Result<Option<u64>, TraceError> {
        let (mut at, mut bytes) = (from, vec![0; SEARCH]);
        while at + FRAME as u64 <= self.length {
            let many = usize::try_from(self.length - at).unwrap_or(SEARCH).min(SEARCH);
            self.input.seek(SeekFrom::Start(at))?;
            self.input.read_exact(&mut bytes[..many])?;
            let marks = bytes[..many].windows(MARK.len()).enumerate();
            let marks: Vec<u64> =
                marks.filter(|(_, four)| *four == MARK).map(|(place, _)| at + place as u64).collect();
            for mark in marks {
                if self.block(mark)?.is_some() {
                    return Ok(Some(mark));
                }
            }
            // A mark may stand across the border of two parts.
            at += (many - (MARK.len() - 1)).max(1) as u64;
        }
        Ok(None)
    }

    fn more(&mut self) -> Result<bool, TraceError> {
        while self.entries.is_empty() {
            // The offset of the index stands behind it.
            let left = self.length.saturating_sub(self.at);
            if left == 0 || (left == 8 && self.index.is_some()) {
                return Ok(false);
            }
            match self.block(self.at)? {
                Some((Kind::Records, payload, next)) => {
                    self.blocks += 1;
                    match Block::decode(&payload[..]) {
                        Ok(block) => self.fill(block, next),
                        Err(_) => self.fault(self.at, next, "a block that is no message"),
                    }
                    self.at = next;
                }
                Some((Kind::Index, payload, next)) => {
                    self.index = Index::decode(&payload[..]).ok();
                    self.at = next;
                }
                Some((_, _, next)) => self.at = next,
                None => {
                    let (from, found) = (self.at, self.seek_block(self.at + 1)?);
                    let until = found.unwrap_or(self.length);
                    let reason = if found.is_some() { "damaged" } else { "cut short or damaged" };
                    self.fault(from, until, reason);
                    self.at = until;
                }
            }
        }
        Ok(true)
    }

    fn fill(&mut self, block: Block, next: u64) {
        let strings = Arc::new(Strings::of(block.strings));
        for bytes in block.records {
            match Record::decode(&bytes[..]) {
                Ok(record) => self.entries.push_back(Entry { record, bytes, strings: strings.clone() }),
                Err(_) => self.fault(self.at, next, "a record that is no message"),
            }
        }
    }

    fn fault(&mut self, offset: u64, until: u64, reason: &'static str) {
        self.faults.push(Fault { offset, until, reason });
    }
}

impl<R: Read + Seek> Iterator for Reader<R> {
    type Item = Result<Entry, TraceError>;

    fn next(&mut self) -> Option<Self::Item> {
        match self.more() {
            Ok(true) => self.entries.pop_front().map(Ok),
            Ok(false) => None,
            Err(error) => Some(Err(error)),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::frame;
    use std::io::Cursor;

    /// Guards against reading a file whose fields may mean other things.
    #[test]
    fn a_later_form_is_told() {
        let file = |form| {
            let mut file = MAGIC.to_vec();
            let header = Header { format_version: form, ..Header::default() };
            frame::write(&mut file, Kind::Header, &header.encode_to_vec()).unwrap();
            Reader::new(Cursor::new(file))
        };
        assert!(file(FORM).is_ok());
        assert!(matches!(file(FORM + 1).unwrap_err(), TraceError::Newer(form) if form == FORM + 1));
    }
}
