//! Describing a file as a whole, and checking its index.

use crate::{Fault, Index, Reader, TraceError};
use serde::Serialize;
use std::collections::BTreeMap;
use std::io::{Read, Seek};

/// A part of a file that cannot be read; printed as a JSON array of its fields.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(into = "(u64, u64, String)")]
pub struct UnreadableRange {
    /// Offset of its first byte.
    pub from: u64,
    /// Offset of the next readable byte, or the length of the file.
    pub until: u64,
    /// What is wrong with it.
    pub reason: String,
}

impl From<&Fault> for UnreadableRange {
    fn from(fault: &Fault) -> UnreadableRange {
        UnreadableRange { from: fault.offset, until: fault.until, reason: fault.reason.to_owned() }
    }
}

impl From<UnreadableRange> for (u64, u64, String) {
    fn from(range: UnreadableRange) -> (u64, u64, String) {
        (range.from, range.until, range.reason)
    }
}

/// What a file contains.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Info {
    /// Version of the file format.
    #[serde(rename = "form")]
    pub format_version: u32,
    /// Name of the manager.
    pub manager: String,
    /// Version of the program that recorded the trace.
    pub program: String,
    /// The tool steps that derived this file from others, oldest first.
    #[serde(rename = "made_by")]
    pub derivation: Vec<String>,
    /// Number of complete blocks of records.
    pub blocks: u64,
    /// Number of records.
    pub records: u64,
    /// Number of records of each kind of event, by its protobuf tag.
    #[serde(rename = "kinds")]
    pub records_by_tag: BTreeMap<usize, u64>,
    /// Earliest time (us on the manager's clock), 0 in an empty file.
    pub from_us: i64,
    /// Latest time (us), 0 in an empty file.
    pub until_us: i64,
    /// Whether the file ends with an index.
    pub indexed: bool,
    /// The unreadable parts.
    #[serde(rename = "faults")]
    pub unreadable: Vec<UnreadableRange>,
}

/// Reads a file to its end and describes its contents and its unreadable parts.
pub fn info<R: Read + Seek>(reader: &mut Reader<R>) -> Result<Info, TraceError> {
    let mut records = 0;
    let mut records_by_tag = BTreeMap::new();
    let mut from_us = i64::MAX;
    let mut until_us = i64::MIN;
    for entry in reader.by_ref() {
        let record = entry?.record;
        records += 1;
        *records_by_tag.entry(record.event_tag()).or_default() += 1;
        from_us = from_us.min(record.at_us);
        until_us = until_us.max(record.at_us);
    }
    let header = reader.header().clone();
    Ok(Info {
        format_version: header.format_version,
        manager: header.manager,
        program: header.program,
        derivation: header.derivation,
        blocks: reader.blocks(),
        records,
        records_by_tag,
        from_us: if records > 0 { from_us } else { 0 },
        until_us: if records > 0 { until_us } else { 0 },
        indexed: reader.index().is_some(),
        unreadable: reader.faults().iter().map(UnreadableRange::from).collect(),
    })
}

/// Checks that all of a file can be read and that its index agrees with the records.
///
/// Returns one line for each defect; an intact file has none.
pub fn verify<R: Read + Seek>(reader: &mut Reader<R>) -> Result<Vec<String>, TraceError> {
    let index = reader.seek_index()?;
    let info = info(reader)?;
    let mut defects: Vec<String> = Vec::new();
    for UnreadableRange { from, until, reason } in &info.unreadable {
        defects.push(format!("bytes {from} to {until}: {reason}"));
    }
    match index {
        None => defects.push("there is no index: the file was not finished".to_owned()),
        Some(index) => defects.extend(index_defects(&index, &info)),
    }
    Ok(defects)
}

fn index_defects(index: &Index, info: &Info) -> Vec<String> {
    let mut defects = Vec::new();
    let indexed_records: u64 = index.blocks.iter().map(|block| block.records).sum();
    if indexed_records != info.records || index.blocks.len() as u64 != info.blocks {
        defects.push(format!("the index tells of {indexed_records} records, the file has {}", info.records));
    }
    for (tag, count) in &info.records_by_tag {
        if index.kinds.get(*tag) != Some(count) {
            defects.push(format!("records of kind {tag}: the index does not tell of {count}"));
        }
    }
    defects
}
