//! Merging traces of managers whose clocks differ. A merged file names its managers with their offsets, and each
//! record its manager, so that merging is undone before it is done anew: whatever files are merged first, and in
//! whatever order, the result is the same.

use crate::clocks::{Clocks, Offset, Untold};
use crate::{Entry, Event, Header, Manager, Reader, TraceError, Writer};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::io::{Read, Seek, Write};
use thiserror::Error;

/// Tries that may wait for the one that ties them, in all; past that those that wait are given up.
const MOST_WAITING: usize = 1_000_000;

/// Why files are not merged.
#[derive(Debug, Error)]
pub enum MergeError {
    /// Reading or writing failed.
    #[error("{0}")]
    Trace(#[from] TraceError),
    /// The clocks can't be told.
    #[error("{0}")]
    Clocks(#[from] Untold),
    /// Two files tell of one manager.
    #[error("{0} is in two of the files")]
    Twice(String),
    /// More managers than numbers.
    #[error("at most {MOST_MANAGERS} managers")]
    TooMany,
}

/// Managers in one file: their numbers stand above the requests'.
pub const MOST_MANAGERS: usize = 1000;

/// What was merged, and how sure the order is.
#[derive(Debug, Clone, PartialEq, serde::Serialize)]
pub struct Merged {
    /// The managers' clocks.
    pub offsets: Vec<Offset>,
    /// Pairs that tied two managers.
    pub ties: u64,
    /// Records.
    pub records: u64,
}

/// The managers that a file tells of: more than one where it was merged.
fn managers(header: &Header) -> Vec<Manager> {
    match header.managers.is_empty() {
        true => vec![Manager { name: header.manager.clone(), unix_us: header.unix_us, ..Manager::default() }],
        false => header.managers.clone(),
    }
}

/// One manager's records of a file.
struct Source<R> {
    reader: Reader<R>,
    /// Its number in that file, 0 where the file has one.
    inside: u32,
    name: String,
}

impl<R: Read + Seek> Source<R> {
    fn next(&mut self) -> Option<Result<Entry, TraceError>> {
        let inside = self.inside;
        self.reader.find(|entry| entry.as_ref().map_or(true, |entry| entry.record.manager == inside))
    }
}

/// The last try of a key at a manager: by the clock of that one, when it was taken and answered.
#[derive(Debug, Clone, Copy, Default)]
struct Try {
    taken: Option<(usize, i64)>,
    answered: Option<(usize, i64)>,
}

/// Ties of the clocks: a key's next try comes after the answer to the one before.
fn tie<R: Read + Seek>(
    source: &mut Source<R>,
    clocks: &mut Clocks,
    tries: &mut HashMap<(String, u32), Try>,
) -> Result<(), TraceError> {
    let Some(manager) = clocks.number(&source.name) else { return Ok(()) };
    let mut open: HashMap<u64, (String, u32)> = HashMap::new();
    while let Some(entry) = source.next() {
        let entry = entry?;
        let (record, at) = (&entry.record, (manager, entry.record.at_us));
        match &record.event {
            Some(Event::RequestReceived(taken)) if taken.key > 0 && taken.client_attempt > 0 => {
                let key = (entry.string(taken.key).to_owned(), taken.client_attempt);
                tries.entry(key.clone()).or_default().taken = Some(at);
                open.insert(record.request, key);
            }
            Some(Event::Response(_)) => {
                if let Some(key) = open.remove(&record.request) {
                    tries.entry(key).or_default().answered = Some(at);
                }
            }
            _ => {}
        }
        if tries.len() > MOST_WAITING {
            tries.clear();
        }
    }
    Ok(())
}

/// Merges files; `open` opens each as often as it has managers, and once more.
pub fn merge<R: Read + Seek, W: Write>(
    files: usize,
    mut open: impl FnMut(usize) -> Result<Reader<R>, TraceError>,
    out: W,
) -> Result<Merged, MergeError> {
    let mut all: Vec<(usize, u32, Manager)> = Vec::new();
    for file in 0..files {
        let reader = open(file)?;
        let merged = !reader.header().managers.is_empty();
        for (number, manager) in managers(reader.header()).into_iter().enumerate() {
            if all.iter().any(|(_, _, known)| known.name == manager.name) {
                return Err(MergeError::Twice(manager.name));
            }
            all.push((file, if merged { number as u32 + 1 } else { 0 }, manager));
        }
    }
    if all.len() > MOST_MANAGERS {
        return Err(MergeError::TooMany);
    }
    all.sort_by(|a, b| a.2.name.cmp(&b.2.name));
    let mut source = |(file, inside, manager): &(usize, u32, Manager)| -> Result<Source<R>, TraceError> {
        Ok(Source { reader: open(*file)?, inside: *inside, name: manager.name.clone() })
    };
    let mut clocks = Clocks::new(all.iter().map(|(_, _, manager)| manager.name.clone()));
    let mut tries = HashMap::new();
    for one in &all {
        tie(&mut source(one)?, &mut clocks, &mut tries)?;
    }
    for ((key, number), one) in &tries {
        let next = tries.get(&(key.clone(), number + 1));
        if let (Some(answered), Some(taken)) = (one.answered, next.and_then(|next| next.taken)) {
            clocks.tie(answered, taken);
        }
    }
    let offsets = clocks.offsets()?;
    let told = all.iter().zip(&offsets).map(|((_, _, manager), offset)| Manager {
        offset_us: offset.ahead_us,
        error_bound_us: offset.within_us,
        ..manager.clone()
    });
    let unix_us = all.first().map_or(0, |(_, _, manager)| manager.unix_us);
    let header =
        Header { manager: "merged".to_owned(), unix_us, managers: told.collect(), ..Header::default() };
    let mut writer = Writer::new(out, header)?;
    let mut sources = all.iter().map(&mut source).collect::<Result<Vec<_>, _>>()?;
    // Of each manager the next record: by its time on the first one's clock, then by its manager's name.
    let mut heads: BinaryHeap<Reverse<(i64, usize)>> = BinaryHeap::new();
    let mut waiting: Vec<Option<Entry>> = Vec::new();
    let mut last = vec![i64::MIN; sources.len()];
    let mut place = |number: usize, entry: &Entry| {
        // A manager's own order stays, also where its records stand out of time.
        let at = (entry.record.at_us - offsets[number].ahead_us).max(last[number]);
        last[number] = at;
        Reverse((at, number))
    };
    for (number, source) in sources.iter_mut().enumerate() {
        let entry = source.next().transpose()?;
        heads.extend(entry.as_ref().map(|entry| place(number, entry)));
        waiting.push(entry);
    }
    let mut records = 0;
    while let Some(Reverse((_, number))) = heads.pop() {
        let next = sources[number].next().transpose()?;
        heads.extend(next.as_ref().map(|entry| place(number, entry)));
        let Some(entry) = std::mem::replace(&mut waiting[number], next) else { continue };
        let manager = number as u32 + 1;
        writer.copy_as(&entry.record, &entry.bytes, manager, |number| entry.string(number).to_owned())?;
        records += 1;
    }
    writer.finish()?;
    Ok(Merged { offsets, ties: clocks.ties(), records })
}
