//! Writes a trace, block by block.

use crate::frame::{self, FORM, Kind, MAGIC};
use crate::strings::with_manager;
use crate::{Block, BlockSummary, Event, Header, Index, Record, Strings, TraceError, remap};
use prost::Message;
use std::collections::{BTreeMap, BTreeSet};
use std::io::Write;

/// A block is written once its records and strings have so many bytes.
pub const BLOCK_BYTES: usize = 128 * 1024;

/// A trace that is being written. Without [`Writer::finish`] it has no index, and reads all the same.
#[derive(Debug)]
pub struct Writer<W> {
    out: W,
    offset: u64,
    strings: Strings,
    records: Vec<Vec<u8>>,
    bytes: usize,
    indexed: BlockSummary,
    requests: BTreeSet<u64>,
    tenants: BTreeSet<u32>,
    index: Index,
    tenant_numbers: BTreeMap<String, u32>,
}

impl<W: Write> Writer<W> {
    /// Begins a trace with its header.
    pub fn new(mut out: W, header: Header) -> Result<Writer<W>, TraceError> {
        out.write_all(&MAGIC)?;
        let header = Header { format_version: FORM, ..header };
        let length = frame::write(&mut out, Kind::Header, &header.encode_to_vec())?;
        Ok(Writer {
            out,
            offset: MAGIC.len() as u64 + length,
            strings: Strings::default(),
            records: Vec::new(),
            bytes: 0,
            indexed: BlockSummary::default(),
            requests: BTreeSet::new(),
            tenants: BTreeSet::new(),
            index: Index::default(),
            tenant_numbers: BTreeMap::new(),
        })
    }

    /// The number of a string in the block that is being filled: for the next record only.
    pub fn string(&mut self, text: &str) -> u32 {
        self.strings.number(text)
    }

    /// Writes a record whose strings have numbers of this block.
    pub fn write(&mut self, record: &Record) -> Result<(), TraceError> {
        self.add(record, record.encode_to_vec())
    }

    /// Copies a record of another file as it stands there; `name` gives the strings of its numbers.
    pub fn copy(
        &mut self,
        record: &Record,
        bytes: &[u8],
        mut name: impl FnMut(u32) -> String,
    ) -> Result<(), TraceError> {
        let strings = &mut self.strings;
        let copied = remap(bytes, &mut |number| strings.number(&name(number)));
        let copied = copied.ok_or(TraceError::TooLarge(bytes.len()))?;
        // What the index wants to know of it has the numbers of its new block.
        let known = Record::decode(&copied[..]).unwrap_or_else(|_| record.clone());
        self.add(&known, copied)
    }

    /// Copies a record of a manager that has this number in the file that is written.
    pub fn copy_as(
        &mut self,
        record: &Record,
        bytes: &[u8],
        manager: u32,
        name: impl FnMut(u32) -> String,
    ) -> Result<(), TraceError> {
        let bytes = with_manager(bytes, manager).ok_or(TraceError::TooLarge(bytes.len()))?;
        self.copy(record, &bytes, name)
    }

    fn add(&mut self, record: &Record, bytes: Vec<u8>) -> Result<(), TraceError> {
        if bytes.len() > frame::LONGEST / 2 {
            return Err(TraceError::TooLarge(bytes.len()));
        }
        let first = self.records.is_empty();
        let indexed = &mut self.indexed;
        indexed.first_us = if first { record.at_us } else { indexed.first_us.min(record.at_us) };
        indexed.last_us = if first { record.at_us } else { indexed.last_us.max(record.at_us) };
        if record.request > 0 {
            self.requests.insert(record.key());
        }
        let tenant = match &record.event {
            Some(Event::RequestReceived(taken)) => taken.tenant,
            Some(Event::TenantChanged(tenant)) => tenant.tenant,
            _ => 0,
        };
        if tenant > 0 {
            let next = self.tenant_numbers.len() as u32;
            let name = self.strings.text(tenant).to_owned();
            let number = *self.tenant_numbers.entry(name.clone()).or_insert(next);
            if number == next {
                self.index.tenants.push(name);
            }
            self.tenants.insert(number);
        }
        let kind = record.event_tag();
        self.index.kinds.resize(self.index.kinds.len().max(kind + 1), 0);
        self.index.kinds[kind] += 1;
        self.bytes += bytes.len();
        self.records.push(bytes);
        if self.bytes + self.strings.bytes() >= BLOCK_BYTES { self.flush() } else { Ok(()) }
    }

    /// Writes out the block that is being filled.
    pub fn flush(&mut self) -> Result<(), TraceError> {
        if self.records.is_empty() {
            return Ok(());
        }
        let strings = std::mem::take(&mut self.strings);
        let records = std::mem::take(&mut self.records);
        let many = records.len() as u64;
        let block = Block { strings: strings.all().to_vec(), records };
        let length = frame::write(&mut self.out, Kind::Records, &block.encode_to_vec())?;
        let mut before = 0;
        let requests = std::mem::take(&mut self.requests).into_iter();
        let requests = requests.map(|request| request - std::mem::replace(&mut before, request)).collect();
        let tenants = std::mem::take(&mut self.tenants).into_iter().collect();
        let indexed = std::mem::take(&mut self.indexed);
        self.index.blocks.push(BlockSummary {
            offset: self.offset,
            records: many,
            requests,
            tenants,
            ..indexed
        });
        self.offset += length;
        self.bytes = 0;
        self.out.flush()?;
        Ok(())
    }

    /// Writes what is left, and the index.
    pub fn finish(mut self) -> Result<W, TraceError> {
        self.flush()?;
        frame::write(&mut self.out, Kind::Index, &self.index.encode_to_vec())?;
        self.out.write_all(&self.offset.to_le_bytes())?;
        self.out.flush()?;
        Ok(self.out)
    }
}
