//! Writes a trace block by block.

use crate::frame::{self, BlockKind, FORMAT_VERSION, MAGIC, MAX_PAYLOAD_BYTES};
use crate::strings::with_manager;
use crate::{Block, BlockSummary, Event, Header, Index, Record, Strings, TraceError, remap};
use prost::Message;
use std::collections::{BTreeMap, BTreeSet};
use std::io::Write;

/// Total length of records and strings (bytes, uncompressed) at which a block is written.
pub const BLOCK_BYTES: usize = 128 * 1024;
/// Maximum length of an encoded record. The other half of a block's payload is left for the strings.
const MAX_RECORD_BYTES: usize = MAX_PAYLOAD_BYTES / 2;

/// Writes a trace. Without [`Writer::finish`] the file has no index, and the records of the last block are lost unless
/// [`Writer::flush`] wrote them. The written records are readable without the index.
#[derive(Debug)]
pub struct Writer<W> {
    out: W,
    /// Offset of the next block.
    offset: u64,
    block: OpenBlock,
    index: Index,
    /// Positions of the tenants in [`Index::tenants`], by name.
    tenant_positions: BTreeMap<String, u32>,
}

/// The block that is being filled.
#[derive(Debug, Default)]
struct OpenBlock {
    strings: Strings,
    records: Vec<Vec<u8>>,
    record_bytes: usize,
    first_us: i64,
    last_us: i64,
    /// Keys ([`Record::key`]) of the requests in the block.
    requests: BTreeSet<u64>,
    /// Positions in [`Index::tenants`] of the tenants in the block.
    tenants: BTreeSet<u32>,
}

impl OpenBlock {
    fn add(&mut self, record: &Record, bytes: Vec<u8>) {
        let is_first = self.records.is_empty();
        self.first_us = if is_first { record.at_us } else { self.first_us.min(record.at_us) };
        self.last_us = if is_first { record.at_us } else { self.last_us.max(record.at_us) };
        if record.request > 0 {
            self.requests.insert(record.key());
        }
        self.record_bytes += bytes.len();
        self.records.push(bytes);
    }

    fn is_full(&self) -> bool {
        self.record_bytes + self.strings.bytes() >= BLOCK_BYTES
    }

    /// The index entry of the block, which is written at this offset.
    fn summary(&self, offset: u64) -> BlockSummary {
        let mut previous = 0;
        let mut difference = |request: &u64| request - std::mem::replace(&mut previous, *request);
        BlockSummary {
            offset,
            first_us: self.first_us,
            last_us: self.last_us,
            records: self.records.len() as u64,
            requests: self.requests.iter().map(&mut difference).collect(),
            tenants: self.tenants.iter().copied().collect(),
        }
    }
}

impl<W: Write> Writer<W> {
    /// Starts a trace with its header. The header's format version is replaced by [`FORMAT_VERSION`].
    pub fn new(mut out: W, header: Header) -> Result<Writer<W>, TraceError> {
        out.write_all(&MAGIC)?;
        let header = Header { format_version: FORMAT_VERSION, ..header };
        let header_bytes = frame::write(&mut out, BlockKind::Header, &header.encode_to_vec())?;
        Ok(Writer {
            out,
            offset: MAGIC.len() as u64 + header_bytes,
            block: OpenBlock::default(),
            index: Index::default(),
            tenant_positions: BTreeMap::new(),
        })
    }

    /// Returns the reference to a string in the current block, to which the string is added if it is new. The reference
    /// is valid only for the next record.
    pub fn string(&mut self, text: &str) -> u32 {
        self.block.strings.reference(text)
    }

    /// Writes a record whose references were returned by [`Writer::string`] since the previous record.
    pub fn write(&mut self, record: &Record) -> Result<(), TraceError> {
        self.add(record, record.encode_to_vec())
    }

    /// Copies an encoded record of another file with all its fields. `text` returns the string of a reference in that
    /// file.
    pub fn copy(
        &mut self,
        record: &Record,
        bytes: &[u8],
        mut text: impl FnMut(u32) -> String,
    ) -> Result<(), TraceError> {
        let strings = &mut self.block.strings;
        let copied = remap(bytes, &mut |reference| strings.reference(&text(reference)));
        let copied = copied.ok_or(TraceError::TooLarge(bytes.len()))?;
        // The index is built from the references of the current block, not from those of the other file.
        let record = Record::decode(&copied[..]).unwrap_or_else(|_| record.clone());
        self.add(&record, copied)
    }

    /// Copies an encoded record like [`Writer::copy`] and sets its manager's number to `manager`.
    pub fn copy_as(
        &mut self,
        record: &Record,
        bytes: &[u8],
        manager: u32,
        text: impl FnMut(u32) -> String,
    ) -> Result<(), TraceError> {
        let bytes = with_manager(bytes, manager).ok_or(TraceError::TooLarge(bytes.len()))?;
        self.copy(record, &bytes, text)
    }

    fn add(&mut self, record: &Record, bytes: Vec<u8>) -> Result<(), TraceError> {
        if bytes.len() > MAX_RECORD_BYTES {
            return Err(TraceError::TooLarge(bytes.len()));
        }
        self.block.add(record, bytes);
        self.index_tenant(record);
        self.count_event(record);
        if self.block.is_full() { self.flush() } else { Ok(()) }
    }

    fn index_tenant(&mut self, record: &Record) {
        let reference = match &record.event {
            Some(Event::RequestReceived(received)) => received.tenant,
            Some(Event::TenantChanged(changed)) => changed.tenant,
            _ => 0,
        };
        if reference == 0 {
            return;
        }
        let name = self.block.strings.text(reference).to_owned();
        let next_position = self.tenant_positions.len() as u32;
        let position = *self.tenant_positions.entry(name.clone()).or_insert(next_position);
        if position == next_position {
            self.index.tenants.push(name);
        }
        self.block.tenants.insert(position);
    }

    fn count_event(&mut self, record: &Record) {
        let tag = record.event_tag();
        let counts = &mut self.index.kinds;
        counts.resize(counts.len().max(tag + 1), 0);
        counts[tag] += 1;
    }

    /// Writes the current block, unless it is empty, and flushes the output.
    pub fn flush(&mut self) -> Result<(), TraceError> {
        if self.block.records.is_empty() {
            return Ok(());
        }
        let block = std::mem::take(&mut self.block);
        let summary = block.summary(self.offset);
        let encoded = Block { strings: block.strings.all().to_vec(), records: block.records }.encode_to_vec();
        let block_bytes = frame::write(&mut self.out, BlockKind::Records, &encoded)?;
        self.index.blocks.push(summary);
        self.offset += block_bytes;
        self.out.flush()?;
        Ok(())
    }

    /// Writes the last block, the index and its offset, and returns the output.
    pub fn finish(mut self) -> Result<W, TraceError> {
        self.flush()?;
        frame::write(&mut self.out, BlockKind::Index, &self.index.encode_to_vec())?;
        self.out.write_all(&self.offset.to_le_bytes())?;
        self.out.flush()?;
        Ok(self.out)
    }
}
