//! What the command's sub-commands do, on readers and writers: each reads its file record by record, and holds
//! no more of it than the stories that are open.

use crate::{Entry, Event, Header, Reader, Record, TraceError, Writer};
use hdrhistogram::Histogram;
use hmac::{Hmac, KeyInit, Mac};
use roaring::RoaringTreemap;
use serde::Serialize;
use sha2::Sha256;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::io::{Read, Seek, Write};

/// Stories that may be open at once in a summary; past that the oldest count as cut short.
const MOST_OPEN: usize = 1_000_000;
/// Words of the format's own, which anonymising leaves.
const VOCABULARY: &[&str] = &[
    "served",
    "refused",
    "failed",
    "cancelled",
    "left",
    "invalid",
    "start",
    "stop",
    "configuration",
    "ready",
    "draining",
    "gone",
    "active",
    "suspended",
    "removed",
    "http",
    "tds",
    "no_room",
    "no_time",
    "lighter",
    "share",
    "Served",
    "ServerError",
    "Full",
    "TimedOut",
    "NoConnection",
    "ConnectionLost",
    "Spoilt",
    "Cancelled",
    "NotSent",
    "tenant_unknown",
    "tenant_suspended",
    "tenant_draining",
    "tenant_removed",
    "tenant_class",
    "tenant_statement_bytes",
    "tenant_result_bytes",
    "tenant_open",
    "tenant_rate",
];

/// What a file is.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Info {
    /// Its form.
    pub form: u32,
    /// The manager's name.
    pub manager: String,
    /// The program's version.
    pub program: String,
    /// What made it of others.
    pub made_by: Vec<String>,
    /// Whole blocks of records.
    pub blocks: u64,
    /// Records.
    pub records: u64,
    /// Records of each kind, by the field's number.
    pub kinds: BTreeMap<usize, u64>,
    /// First and last time (us on the manager's clock).
    pub from_us: i64,
    /// Last time.
    pub until_us: i64,
    /// Whether it ends with an index.
    pub indexed: bool,
    /// Parts that can't be read: from, until (bytes), and why.
    pub faults: Vec<(u64, u64, String)>,
}

/// Reads a file whole, and tells what it is and what is wrong with it.
pub fn info<R: Read + Seek>(reader: &mut Reader<R>) -> Result<Info, TraceError> {
    let (mut records, mut kinds) = (0, BTreeMap::new());
    let (mut from_us, mut until_us) = (i64::MAX, i64::MIN);
    for entry in reader.by_ref() {
        let record = entry?.record;
        records += 1;
        *kinds.entry(record.event_tag()).or_default() += 1;
        (from_us, until_us) = (from_us.min(record.at_us), until_us.max(record.at_us));
    }
    let header = reader.header().clone();
    let faults = reader.faults().iter().map(|fault| (fault.offset, fault.until, fault.why.to_owned()));
    Ok(Info {
        form: header.format_version,
        manager: header.manager,
        program: header.program,
        made_by: header.derivation,
        blocks: reader.blocks(),
        records,
        kinds,
        from_us: if records > 0 { from_us } else { 0 },
        until_us: if records > 0 { until_us } else { 0 },
        indexed: reader.index().is_some(),
        faults: faults.collect(),
    })
}

/// Compares the index with the records; gives what does not agree.
pub fn verify<R: Read + Seek>(reader: &mut Reader<R>) -> Result<Vec<String>, TraceError> {
    let index = reader.seek_index()?;
    let told = info(reader)?;
    let mut wrong: Vec<String> =
        told.faults.iter().map(|(from, until, why)| format!("bytes {from} to {until}: {why}")).collect();
    match index {
        None => wrong.push("there is no index: the file was not finished".to_owned()),
        Some(index) => {
            let records: u64 = index.blocks.iter().map(|block| block.records).sum();
            if records != told.records || index.blocks.len() as u64 != told.blocks {
                wrong.push(format!("the index tells of {records} records, the file has {}", told.records));
            }
            for (kind, count) in told.kinds {
                if index.kinds.get(kind) != Some(&count) {
                    wrong.push(format!("records of kind {kind}: the index does not tell of {count}"));
                }
            }
        }
    }
    Ok(wrong)
}

fn copy_all<R: Read + Seek, W: Write>(
    reader: &mut Reader<R>,
    out: W,
    step: String,
    mut wanted: impl FnMut(&Entry) -> bool,
) -> Result<u64, TraceError> {
    let mut header = reader.header().clone();
    header.derivation.push(step);
    let mut writer = Writer::new(out, header)?;
    let mut copied = 0;
    for entry in reader.by_ref() {
        let entry = entry?;
        if wanted(&entry) {
            writer.copy(&entry.record, &entry.bytes, |number| entry.string(number).to_owned())?;
            copied += 1;
        }
    }
    writer.finish()?;
    Ok(copied)
}

/// Writes a whole file of what can be read of a broken one; gives how many records that is.
pub fn recover<R: Read + Seek, W: Write>(reader: &mut Reader<R>, out: W) -> Result<u64, TraceError> {
    copy_all(reader, out, "recover".to_owned(), |_| true)
}

/// Which stories are wanted: all that is given must fit.
#[derive(Debug, Clone, Default)]
pub struct Filter {
    /// Taken at this time or later (us).
    pub from_us: Option<i64>,
    /// Taken before this time.
    pub until_us: Option<i64>,
    /// Of one tenant.
    pub tenant: Option<String>,
    /// Of one class.
    pub class: Option<String>,
    /// One request.
    pub request: Option<u64>,
    /// With this end.
    pub end: Option<String>,
}

impl Filter {
    fn taken(&self, entry: &Entry) -> bool {
        let Some(Event::RequestReceived(taken)) = &entry.record.event else { return false };
        let at = entry.record.at_us;
        let is =
            |wanted: &Option<String>, number| wanted.as_ref().is_none_or(|name| entry.string(number) == name);
        self.from_us.is_none_or(|from| at >= from)
            && self.until_us.is_none_or(|until| at < until)
            && self.request.is_none_or(|request| entry.record.request == request)
            && is(&self.tenant, taken.tenant)
            && is(&self.class, taken.class)
    }
}

/// The requests whose stories are wanted: one pass over the file.
pub fn select<R: Read + Seek>(reader: &mut Reader<R>, filter: &Filter) -> Result<RoaringTreemap, TraceError> {
    let (mut taken, mut ended) = (RoaringTreemap::new(), RoaringTreemap::new());
    for entry in reader.by_ref() {
        let entry = entry?;
        if filter.taken(&entry) {
            taken.insert(entry.record.key());
        }
        if let (Some(Event::Response(answer)), Some(end)) = (&entry.record.event, &filter.end)
            && entry.string(answer.end) == end
        {
            ended.insert(entry.record.key());
        }
    }
    Ok(if filter.end.is_some() { taken & ended } else { taken })
}

/// Copies whole stories, and what is about no request and falls into the filter's time.
pub fn cut<R: Read + Seek, W: Write>(
    reader: &mut Reader<R>,
    wanted: &RoaringTreemap,
    filter: &Filter,
    out: W,
) -> Result<u64, TraceError> {
    let step = format!("cut: {filter:?}");
    let in_time = |at: i64| {
        filter.from_us.is_none_or(|from| at >= from) && filter.until_us.is_none_or(|until| at < until)
    };
    copy_all(reader, out, step, |entry| match entry.record.request {
        0 => in_time(entry.record.at_us),
        _ => wanted.contains(entry.record.key()),
    })
}

/// Copies a file with its names replaced: tenants, requests, keys, engines, zones. Words of the format and classes
/// stay; what a later version added is left out, as it may tell anything. The names come of a secret that is made here and
/// kept nowhere: who has the file can't try names out, and the same name in another file is another.
pub fn anonymise<R: Read + Seek, W: Write>(
    reader: &mut Reader<R>,
    secret: &[u8; 32],
    out: W,
) -> Result<u64, TraceError> {
    // The manager, its version and times of day tell who it was; so do the steps that made the file.
    let number = |(number, manager): (usize, crate::Manager)| crate::Manager {
        name: format!("anonymous-{number}"),
        unix_us: 0,
        ..manager
    };
    let managers = reader.header().managers.clone().into_iter().enumerate().map(number).collect();
    let (manager, made_by) = ("anonymous".to_owned(), vec!["anonymise".to_owned()]);
    let header = Header { manager, derivation: made_by, managers, ..Header::default() };
    let mut writer = Writer::new(out, header)?;
    let vocabulary: HashSet<&str> = VOCABULARY.iter().copied().collect();
    let mut classes: HashSet<String> = HashSet::new();
    let hidden = |text: &str| {
        // A key of this length is always taken.
        let mut mac = Hmac::<Sha256>::new_from_slice(secret).expect("a key of any length");
        mac.update(text.as_bytes());
        let bytes = mac.finalize().into_bytes();
        bytes[..8].iter().map(|byte| format!("{byte:02x}")).collect::<String>()
    };
    let (mut copied, mut first) = (0, None);
    for entry in reader.by_ref() {
        let entry = entry?;
        if let Some(Event::RequestReceived(taken)) = &entry.record.event {
            classes.insert(entry.string(taken.class).to_owned());
        }
        let from = *first.get_or_insert(entry.record.at_us);
        // Times count from the first record on; what is not known here does not go along.
        let record = Record { at_us: entry.record.at_us - from, ..entry.record.clone() };
        let bytes = prost::Message::encode_to_vec(&record);
        writer.copy(&record, &bytes, |number| match entry.string(number) {
            "" => String::new(),
            text if vocabulary.contains(text) || classes.contains(text) => text.to_owned(),
            text => format!("x{}", hidden(text)),
        })?;
        copied += 1;
    }
    writer.finish()?;
    Ok(copied)
}

/// Ends and times of one tenant's requests of one class.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Row {
    /// The tenant.
    pub tenant: String,
    /// The class.
    pub class: String,
    /// Requests taken.
    pub taken: u64,
    /// Ends, by name.
    pub ends: BTreeMap<String, u64>,
    /// Reasons, by code.
    pub reasons: BTreeMap<String, u64>,
    /// Attempts that were sent.
    pub attempts: u64,
    /// Work that was served (ms).
    pub work_ms: f64,
    /// Latency of what was served (ms): median, 95th and 99th percentile.
    pub p50_ms: f64,
    /// 95th percentile.
    pub p95_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
}

/// A file in figures.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Summary {
    /// One row a tenant and class.
    pub rows: Vec<Row>,
    /// Ends of attempts by engine and outcome.
    pub engines: BTreeMap<String, BTreeMap<String, u64>>,
    /// Of each tenant, its share where the file tells it, and its part of the work served.
    pub service: BTreeMap<String, (Option<f64>, f64)>,
    /// Stories without an answer.
    pub unfinished: u64,
    /// Records that were dropped when it was recorded.
    pub dropped: u64,
}

struct Counted {
    row: Row,
    latency: Histogram<u64>,
}

struct Open {
    row: usize,
    taken_us: i64,
    work_us: u64,
}

/// Counts a file.
pub fn summary<R: Read + Seek>(reader: &mut Reader<R>) -> Result<Summary, TraceError> {
    let mut rows: Vec<Counted> = Vec::new();
    let mut numbers: HashMap<(String, String), usize> = HashMap::new();
    let mut open: HashMap<u64, Open> = HashMap::new();
    let mut engines: BTreeMap<String, BTreeMap<String, u64>> = BTreeMap::new();
    let mut shares: BTreeMap<String, f64> = BTreeMap::new();
    let (mut cut_short, mut dropped) = (0, 0);
    for entry in reader.by_ref() {
        let entry = entry?;
        let (record, text) = (&entry.record, |number| entry.string(number).to_owned());
        match &record.event {
            Some(Event::RequestReceived(taken)) => {
                let (tenant, class) = (text(taken.tenant), text(taken.class));
                let next = rows.len();
                let number = *numbers.entry((tenant.clone(), class.clone())).or_insert(next);
                if number == next {
                    rows.push(Counted::new(tenant, class));
                }
                rows[number].row.taken += 1;
                if open.len() >= MOST_OPEN {
                    cut_short += open.len() as u64;
                    open.clear();
                }
                open.insert(record.key(), Open { row: number, taken_us: record.at_us, work_us: 0 });
            }
            Some(Event::AttemptDispatched(_)) => {
                if let Some(story) = open.get(&record.key()) {
                    rows[story.row].row.attempts += 1;
                }
            }
            Some(Event::AttemptEnded(ended)) => {
                let of = engines.entry(text(ended.engine)).or_default();
                *of.entry(text(ended.outcome)).or_default() += 1;
                if let Some(story) = open.get_mut(&record.key()) {
                    story.work_us = ended.work_us;
                }
            }
            Some(Event::Response(answer)) => {
                let Some(story) = open.remove(&record.key()) else { continue };
                let counted = &mut rows[story.row];
                let end = text(answer.end);
                if end == "served" {
                    counted.row.work_ms += story.work_us as f64 / 1000.0;
                    counted.latency.saturating_record((record.at_us - story.taken_us).max(1) as u64);
                }
                *counted.row.ends.entry(end).or_default() += 1;
                if answer.reason > 0 {
                    *counted.row.reasons.entry(text(answer.reason)).or_default() += 1;
                }
            }
            Some(Event::TenantChanged(tenant)) => drop(shares.insert(text(tenant.tenant), tenant.quota)),
            Some(Event::RecordsDropped(lost)) => dropped += lost.records,
            _ => {}
        }
    }
    let whole: f64 = rows.iter().map(|counted| counted.row.work_ms).sum();
    let mut service: BTreeMap<String, (Option<f64>, f64)> = BTreeMap::new();
    for counted in &rows {
        let tenant = &counted.row.tenant;
        let part = service.entry(tenant.clone()).or_insert((shares.get(tenant).copied(), 0.0));
        part.1 += counted.row.work_ms / whole.max(f64::MIN_POSITIVE);
    }
    let mut rows: Vec<Row> = rows.into_iter().map(Counted::done).collect();
    rows.sort_by(|a, b| (&a.tenant, &a.class).cmp(&(&b.tenant, &b.class)));
    Ok(Summary { rows, engines, service, unfinished: open.len() as u64 + cut_short, dropped })
}

impl Counted {
    fn new(tenant: String, class: String) -> Counted {
        let row = Row {
            tenant,
            class,
            taken: 0,
            ends: BTreeMap::new(),
            reasons: BTreeMap::new(),
            attempts: 0,
            work_ms: 0.0,
            p50_ms: 0.0,
            p95_ms: 0.0,
            p99_ms: 0.0,
        };
        // Two digits, from 1 us to an hour: such bounds are always taken.
        Counted { row, latency: Histogram::new_with_bounds(1, 3_600_000_000, 2).expect("good bounds") }
    }

    fn done(self) -> Row {
        let at = |part: f64| self.latency.value_at_quantile(part) as f64 / 1000.0;
        Row { p50_ms: at(0.5), p95_ms: at(0.95), p99_ms: at(0.99), ..self.row }
    }
}

/// One record in words.
pub fn words(entry: &Entry) -> String {
    let text = |number: u32| entry.string(number);
    let known = |known: &Option<crate::EngineSnapshot>| {
        known.as_ref().map_or("-".to_owned(), |known| {
            let (engine, own, others) = (text(known.engine), known.own_in_flight, known.other_in_flight);
            format!(
                "{engine} (own {own}, others {others:.1}, slow {:.2}, weight {:.3})",
                known.slowdown, known.weight
            )
        })
    };
    match &entry.record.event {
        Some(Event::RequestReceived(taken)) => format!(
            "taken: {} of {}, {} bytes, {:.0} ms to go, try {}",
            text(taken.class),
            text(taken.tenant),
            taken.statement_bytes,
            taken.budget_us as f64 / 1000.0,
            taken.client_attempt.max(1)
        ),
        Some(Event::RequestQueued(held)) => format!("held: {}", text(held.reason)),
        Some(Event::Decision(decision)) => format!(
            "decided: {} ({}), not {}",
            known(&decision.selected),
            text(decision.reason),
            known(&decision.alternative)
        ),
        Some(Event::AttemptDispatched(sent)) => {
            format!("attempt {} sent to {}", sent.attempt, text(sent.engine))
        }
        Some(Event::AttemptProgress(note)) => {
            format!("attempt {}: {} {}", note.attempt, text(note.measure), note.value)
        }
        Some(Event::AttemptEnded(ended)) => {
            let (outcome, engine) = (text(ended.outcome), text(ended.engine));
            format!(
                "attempt {} ended on {engine}: {outcome}, {:.1} ms of work",
                ended.attempt,
                ended.work_us as f64 / 1000.0
            )
        }
        Some(Event::Response(answer)) => {
            let reason = if answer.reason > 0 { format!(", {}", text(answer.reason)) } else { String::new() };
            format!("answered: {}{reason}, {} bytes", text(answer.end), answer.bytes)
        }
        Some(Event::EngineChanged(engine)) => {
            format!("engine {}: {}", text(engine.engine), text(engine.state))
        }
        Some(Event::TenantChanged(tenant)) => {
            format!("tenant {}: {}, share {:.4}", text(tenant.tenant), text(tenant.state), tenant.quota)
        }
        Some(Event::ProgramEvent(program)) => format!("program: {}", text(program.name)),
        Some(Event::RecordsDropped(dropped)) => {
            format!("{} records dropped: {}", dropped.records, text(dropped.reason))
        }
        None => format!("a record of a later version, {} bytes", entry.bytes.len()),
    }
}
