//! Merges traces of managers whose clocks differ into one file.
//!
//! A merged file lists its managers with their clock offsets, and each record has its manager's number. A merged input
//! file is split into its managers again, so the result does not depend on the order of the files or on earlier
//! merges.

use crate::clocks::{ClockConstraints, ClockError, LocalTime, Offset};
use crate::{Entry, Event, Header, Manager, Reader, TraceError, Writer};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::io::{Read, Seek, Write};
use thiserror::Error;

/// Maximum number of managers in one file. A manager's number shares the 64 bits of [`crate::Record::key`] with the
/// request's number.
pub const MAX_MANAGERS: usize = 1000;

/// Maximum number of attempts that are held for matching. Beyond it all of them are discarded. This bounds the memory
/// and loses only constraints.
const MAX_TRACKED_ATTEMPTS: usize = 1_000_000;

/// Why files cannot be merged.
#[derive(Debug, Error)]
pub enum MergeError {
    /// A trace file cannot be read or written.
    #[error("{0}")]
    Trace(#[from] TraceError),
    /// The clock offsets cannot be estimated.
    #[error("{0}")]
    Clocks(#[from] ClockError),
    /// The manager with this name is in two of the files.
    #[error("manager {0} is in two of the files")]
    DuplicateManager(String),
    /// The files contain this many managers, more than [`MAX_MANAGERS`].
    #[error("the files contain {0} managers; a merged file holds at most {MAX_MANAGERS}")]
    TooManyManagers(usize),
}

/// The result of a merge.
#[derive(Debug, Clone, PartialEq, serde::Serialize)]
pub struct Merged {
    /// The estimated clock offsets, sorted by the managers' names.
    pub offsets: Vec<Offset>,
    /// Number of constraints between two clocks from which the offsets were estimated.
    #[serde(rename = "ties")]
    pub constraints: u64,
    /// Number of records in the merged file.
    pub records: u64,
}

/// Merges files into one file whose records are ordered by estimated true time.
///
/// `open` opens the file at a position from 0 to `files - 1`. It is called once for each file, and twice more for each
/// manager of the file.
///
/// # Errors
/// Fails if a file cannot be read or written, a manager is in two files, there are more than [`MAX_MANAGERS`], or the
/// clock offsets cannot be estimated.
pub fn merge<R: Read + Seek, W: Write>(
    files: usize,
    mut open: impl FnMut(usize) -> Result<Reader<R>, TraceError>,
    out: W,
) -> Result<Merged, MergeError> {
    let sources = list_sources(files, &mut open)?;
    let constraints = collect_constraints(&sources, &mut open)?;
    let offsets = constraints.offsets()?;
    let writer = Writer::new(out, merged_header(&sources, &offsets))?;
    let readers: Result<Vec<_>, _> =
        sources.iter().map(|source| SourceReader::open(source, &mut open)).collect();
    let records = RecordMerger::new(readers?, &offsets)?.write_to(writer)?;
    Ok(Merged { offsets, constraints: constraints.count(), records })
}

/// One manager in one of the input files.
struct Source {
    /// Position of the file, as passed to `open`.
    file: usize,
    /// Number of the manager in that file; 0 in an unmerged file.
    number_in_file: u32,
    manager: Manager,
}

/// Lists the managers of all files, sorted by name.
fn list_sources<R: Read + Seek>(
    files: usize,
    open: &mut impl FnMut(usize) -> Result<Reader<R>, TraceError>,
) -> Result<Vec<Source>, MergeError> {
    let mut sources: Vec<Source> = Vec::new();
    for file in 0..files {
        for source in file_sources(file, open(file)?.header()) {
            if sources.iter().any(|known| known.manager.name == source.manager.name) {
                return Err(MergeError::DuplicateManager(source.manager.name));
            }
            sources.push(source);
        }
    }
    if sources.len() > MAX_MANAGERS {
        return Err(MergeError::TooManyManagers(sources.len()));
    }
    sources.sort_by(|a, b| a.manager.name.cmp(&b.manager.name));
    Ok(sources)
}

fn file_sources(file: usize, header: &Header) -> Vec<Source> {
    if header.managers.is_empty() {
        let manager = Manager { name: header.manager.clone(), unix_us: header.unix_us, ..Manager::default() };
        return vec![Source { file, number_in_file: 0, manager }];
    }
    let numbered = header.managers.iter().cloned().zip(1..);
    numbered.map(|(manager, number_in_file)| Source { file, number_in_file, manager }).collect()
}

fn merged_header(sources: &[Source], offsets: &[Offset]) -> Header {
    let managers = sources.iter().zip(offsets).map(|(source, offset)| Manager {
        offset_us: offset.ahead_us,
        error_bound_us: offset.error_bound_us,
        ..source.manager.clone()
    });
    Header {
        manager: "merged".to_owned(),
        unix_us: sources.first().map_or(0, |source| source.manager.unix_us),
        managers: managers.collect(),
        ..Header::default()
    }
}

/// Reads the records of one manager.
struct SourceReader<R> {
    reader: Reader<R>,
    number_in_file: u32,
}

impl<R: Read + Seek> SourceReader<R> {
    fn open(
        source: &Source,
        open: &mut impl FnMut(usize) -> Result<Reader<R>, TraceError>,
    ) -> Result<SourceReader<R>, TraceError> {
        Ok(SourceReader { reader: open(source.file)?, number_in_file: source.number_in_file })
    }
}

impl<R: Read + Seek> Iterator for SourceReader<R> {
    type Item = Result<Entry, TraceError>;

    fn next(&mut self) -> Option<Self::Item> {
        let manager = self.number_in_file;
        self.reader.find(|entry| match entry {
            Ok(entry) => entry.record.manager == manager,
            Err(_) => true,
        })
    }
}

/// Identifies one attempt of a client. Attempts with the same idempotency key belong to the same request.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct AttemptKey {
    idempotency_key: String,
    /// Number of the client's attempt, from 1.
    client_attempt: u32,
}

/// The times at which an attempt was received and its response was sent.
#[derive(Debug, Clone, Copy, Default)]
struct AttemptTimes {
    received: Option<LocalTime>,
    responded: Option<LocalTime>,
}

/// Derives clock constraints from retries: a client's next attempt is received after the response to the previous
/// one.
fn collect_constraints<R: Read + Seek>(
    sources: &[Source],
    open: &mut impl FnMut(usize) -> Result<Reader<R>, TraceError>,
) -> Result<ClockConstraints, TraceError> {
    let mut constraints = ClockConstraints::new(sources.iter().map(|source| source.manager.name.clone()));
    let mut attempts: HashMap<AttemptKey, AttemptTimes> = HashMap::new();
    for source in sources {
        if let Some(manager) = constraints.position(&source.manager.name) {
            collect_attempts(SourceReader::open(source, open)?, manager, &mut attempts)?;
        }
    }
    for (key, times) in &attempts {
        let next_key = AttemptKey { client_attempt: key.client_attempt + 1, ..key.clone() };
        let next_received = attempts.get(&next_key).and_then(|next| next.received);
        if let (Some(responded), Some(next_received)) = (times.responded, next_received) {
            constraints.add(responded, next_received);
        }
    }
    Ok(constraints)
}

/// Collects the times of one manager's attempts that have an idempotency key and an attempt number.
fn collect_attempts<R: Read + Seek>(
    entries: SourceReader<R>,
    manager: usize,
    attempts: &mut HashMap<AttemptKey, AttemptTimes>,
) -> Result<(), TraceError> {
    let mut open_requests: HashMap<u64, AttemptKey> = HashMap::new();
    for entry in entries {
        let entry = entry?;
        let record = &entry.record;
        let now = LocalTime { manager, at_us: record.at_us };
        match &record.event {
            Some(Event::RequestReceived(received)) if received.key > 0 && received.client_attempt > 0 => {
                let idempotency_key = entry.string(received.key).to_owned();
                let key = AttemptKey { idempotency_key, client_attempt: received.client_attempt };
                attempts.entry(key.clone()).or_default().received = Some(now);
                open_requests.insert(record.request, key);
            }
            Some(Event::Response(_)) => {
                if let Some(key) = open_requests.remove(&record.request) {
                    attempts.entry(key).or_default().responded = Some(now);
                }
            }
            _ => {}
        }
        if attempts.len() > MAX_TRACKED_ATTEMPTS {
            attempts.clear();
        }
    }
    Ok(())
}

/// Heap entry for the next record of a source, ordered by time, then by source, which is the order of the managers'
/// names.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct NextRecord {
    /// Time on the first manager's clock (us).
    at_us: i64,
    /// Position in the list of sources.
    source: usize,
}

/// Merges the records of all sources. Only the next record of each source is held, besides the readers' blocks.
struct RecordMerger<'a, R> {
    readers: Vec<SourceReader<R>>,
    offsets: &'a [Offset],
    next_records: BinaryHeap<Reverse<NextRecord>>,
    /// The next record of each source; `None` at the end of the source.
    next_entries: Vec<Option<Entry>>,
    /// Time of the last record read from each source (us, on the first manager's clock).
    last_at_us: Vec<i64>,
}

impl<R: Read + Seek> RecordMerger<'_, R> {
    fn new(readers: Vec<SourceReader<R>>, offsets: &[Offset]) -> Result<RecordMerger<'_, R>, TraceError> {
        let sources = readers.len();
        let mut merger = RecordMerger {
            readers,
            offsets,
            next_records: BinaryHeap::new(),
            next_entries: Vec::new(),
            last_at_us: vec![i64::MIN; sources],
        };
        for source in 0..sources {
            let entry = merger.read(source)?;
            merger.next_entries.push(entry);
        }
        Ok(merger)
    }

    /// Reads the next record of a source, adds it to the heap and returns it.
    fn read(&mut self, source: usize) -> Result<Option<Entry>, TraceError> {
        let entry = self.readers[source].next().transpose()?;
        if let Some(entry) = &entry {
            // The maximum preserves the order of a manager's records if its clock went backwards.
            let at_us = (entry.record.at_us - self.offsets[source].ahead_us).max(self.last_at_us[source]);
            self.last_at_us[source] = at_us;
            self.next_records.push(Reverse(NextRecord { at_us, source }));
        }
        Ok(entry)
    }

    /// Writes all records and returns their number.
    fn write_to<W: Write>(mut self, mut writer: Writer<W>) -> Result<u64, TraceError> {
        let mut records = 0;
        while let Some(Reverse(NextRecord { source, .. })) = self.next_records.pop() {
            let following = self.read(source)?;
            let Some(entry) = std::mem::replace(&mut self.next_entries[source], following) else { continue };
            let manager = source as u32 + 1;
            let string = |reference: u32| entry.string(reference).to_owned();
            writer.copy_as(&entry.record, &entry.bytes, manager, string)?;
            records += 1;
        }
        writer.finish()?;
        Ok(records)
    }
}
