//! Cutting the records of selected requests out of a file.

use super::copy::copy_where;
use crate::{Entry, Event, Reader, TraceError};
use roaring::RoaringTreemap;
use std::io::{Read, Seek, Write};

/// Criteria for requests; a request is selected where it meets all that are given.
///
/// The `Debug` form is written to the header of the cut file, so the names are part of the output.
#[derive(Debug, Clone, Default)]
pub struct Filter {
    /// Received at this time or later (us on the manager's clock).
    pub from_us: Option<i64>,
    /// Received before this time (us).
    pub until_us: Option<i64>,
    /// Tenant of the request.
    pub tenant: Option<String>,
    /// Query class of the request.
    pub class: Option<String>,
    /// Number of the request.
    pub request: Option<u64>,
    /// How the request ended, such as `served`.
    pub end: Option<String>,
}

impl Filter {
    fn contains_time(&self, at_us: i64) -> bool {
        self.from_us.is_none_or(|from_us| at_us >= from_us)
            && self.until_us.is_none_or(|until_us| at_us < until_us)
    }

    /// Whether the entry records the reception of a request that meets all criteria except the end.
    fn matches_reception(&self, entry: &Entry) -> bool {
        let Some(Event::RequestReceived(received)) = &entry.record.event else { return false };
        let matches = |criterion: &Option<String>, reference: u32| {
            criterion.as_ref().is_none_or(|name| entry.string(reference) == name)
        };
        self.contains_time(entry.record.at_us)
            && self.request.is_none_or(|request| entry.record.request == request)
            && matches(&self.tenant, received.tenant)
            && matches(&self.class, received.class)
    }

    /// Whether the entry records a response with the wanted end.
    fn matches_end(&self, entry: &Entry) -> bool {
        match (&entry.record.event, &self.end) {
            (Some(Event::Response(response)), Some(end)) => entry.string(response.end) == end,
            _ => false,
        }
    }
}

/// Finds the keys of the requests that meet the filter, in one pass over the file.
pub fn select<R: Read + Seek>(reader: &mut Reader<R>, filter: &Filter) -> Result<RoaringTreemap, TraceError> {
    let mut received = RoaringTreemap::new();
    let mut with_end = RoaringTreemap::new();
    for entry in reader.by_ref() {
        let entry = entry?;
        if filter.matches_reception(&entry) {
            received.insert(entry.record.key());
        }
        if filter.matches_end(&entry) {
            with_end.insert(entry.record.key());
        }
    }
    Ok(if filter.end.is_some() { received & with_end } else { received })
}

/// Copies all records of the selected requests, and the records of no request within the filter's time range.
///
/// Returns the number of copied records.
pub fn cut<R: Read + Seek, W: Write>(
    reader: &mut Reader<R>,
    selected: &RoaringTreemap,
    filter: &Filter,
    out: W,
) -> Result<u64, TraceError> {
    let step = format!("cut: {filter:?}");
    copy_where(reader, out, step, |entry| match entry.record.request {
        0 => filter.contains_time(entry.record.at_us),
        _ => selected.contains(entry.record.key()),
    })
}
