//! Counting requests, attempts, latencies and service by tenant and class.

use crate::{Entry, Event, Reader, RequestReceived, Response, TraceError};
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::{BTreeMap, HashMap};
use std::io::{Read, Seek};

/// Maximum number of requests in progress at once. Past it, all of them count as unfinished and are forgotten, so
/// that a file without responses cannot exhaust the memory.
const MAX_OPEN_REQUESTS: usize = 1_000_000;
/// Range and precision (decimal digits) of the latency histograms: from 1 us to an hour.
const MIN_LATENCY_US: u64 = 1;
const MAX_LATENCY_US: u64 = 3_600_000_000;
const LATENCY_DIGITS: u8 = 2;

/// Requests of one tenant in one class.
#[derive(Debug, Clone, PartialEq, Default, Serialize)]
pub struct SummaryRow {
    /// The tenant.
    pub tenant: String,
    /// The query class.
    pub class: String,
    /// Number of received requests.
    #[serde(rename = "taken")]
    pub received: u64,
    /// Number of responses by how the request ended.
    pub ends: BTreeMap<String, u64>,
    /// Number of responses by the code of their reason.
    pub reasons: BTreeMap<String, u64>,
    /// Number of dispatched attempts.
    pub attempts: u64,
    /// Work of served requests, as single-thread time (ms).
    pub work_ms: f64,
    /// Median latency of served requests (ms).
    pub p50_ms: f64,
    /// 95th percentile of the latency of served requests (ms).
    pub p95_ms: f64,
    /// 99th percentile of the latency of served requests (ms).
    pub p99_ms: f64,
}

/// A tenant's quota and the service that it got; printed as a JSON array of both.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
#[serde(into = "(Option<f64>, f64)")]
pub struct ServiceFraction {
    /// Quota as a fraction of the total capacity, where the file states it.
    pub quota: Option<f64>,
    /// Fraction of all work of served requests.
    pub fraction: f64,
}

impl From<ServiceFraction> for (Option<f64>, f64) {
    fn from(service: ServiceFraction) -> (Option<f64>, f64) {
        (service.quota, service.fraction)
    }
}

/// The figures of a file.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Summary {
    /// One row for each tenant and class, in that order.
    pub rows: Vec<SummaryRow>,
    /// Number of ended attempts by engine and outcome.
    pub engines: BTreeMap<String, BTreeMap<String, u64>>,
    /// Quota and service of each tenant.
    pub service: BTreeMap<String, ServiceFraction>,
    /// Requests without a response.
    pub unfinished: u64,
    /// Records that the recorder dropped.
    pub dropped: u64,
}

/// Counts the requests, attempts and service of a file.
pub fn summary<R: Read + Seek>(reader: &mut Reader<R>) -> Result<Summary, TraceError> {
    let mut counter = Counter::default();
    for entry in reader.by_ref() {
        counter.add(&entry?);
    }
    Ok(counter.finish())
}

/// A row that is being counted.
struct OpenRow {
    row: SummaryRow,
    latency_us: Histogram<u64>,
}

/// A request that has no response yet.
struct OpenRequest {
    /// Position in [`Counter::rows`].
    row: usize,
    received_us: i64,
    work_us: u64,
}

#[derive(Default)]
struct Counter {
    rows: Vec<OpenRow>,
    row_positions: HashMap<(String, String), usize>,
    open_requests: HashMap<u64, OpenRequest>,
    engines: BTreeMap<String, BTreeMap<String, u64>>,
    quotas: BTreeMap<String, f64>,
    /// Requests that were forgotten at [`MAX_OPEN_REQUESTS`].
    forgotten: u64,
    dropped: u64,
}

impl Counter {
    fn add(&mut self, entry: &Entry) {
        let key = entry.record.key();
        let text = |reference: u32| entry.string(reference).to_owned();
        match &entry.record.event {
            Some(Event::RequestReceived(received)) => self.add_request(entry, received),
            Some(Event::AttemptDispatched(_)) => {
                if let Some(request) = self.open_requests.get(&key) {
                    self.rows[request.row].row.attempts += 1;
                }
            }
            Some(Event::AttemptEnded(ended)) => {
                let outcomes = self.engines.entry(text(ended.engine)).or_default();
                *outcomes.entry(text(ended.outcome)).or_default() += 1;
                if let Some(request) = self.open_requests.get_mut(&key) {
                    request.work_us = ended.work_us;
                }
            }
            Some(Event::Response(response)) => self.add_response(entry, response),
            Some(Event::TenantChanged(tenant)) => {
                self.quotas.insert(text(tenant.tenant), tenant.quota);
            }
            Some(Event::RecordsDropped(dropped)) => self.dropped += dropped.records,
            _ => {}
        }
    }

    fn add_request(&mut self, entry: &Entry, received: &RequestReceived) {
        let row = self.row_position(entry.string(received.tenant), entry.string(received.class));
        self.rows[row].row.received += 1;
        if self.open_requests.len() >= MAX_OPEN_REQUESTS {
            self.forgotten += self.open_requests.len() as u64;
            self.open_requests.clear();
        }
        let request = OpenRequest { row, received_us: entry.record.at_us, work_us: 0 };
        self.open_requests.insert(entry.record.key(), request);
    }

    fn row_position(&mut self, tenant: &str, class: &str) -> usize {
        let next_position = self.rows.len();
        let name = (tenant.to_owned(), class.to_owned());
        let position = *self.row_positions.entry(name).or_insert(next_position);
        if position == next_position {
            self.rows.push(OpenRow::new(tenant, class));
        }
        position
    }

    fn add_response(&mut self, entry: &Entry, response: &Response) {
        let Some(request) = self.open_requests.remove(&entry.record.key()) else { return };
        let open_row = &mut self.rows[request.row];
        let end = entry.string(response.end);
        if end == "served" {
            let latency_us = (entry.record.at_us - request.received_us).max(1) as u64;
            open_row.row.work_ms += request.work_us as f64 / 1000.0;
            open_row.latency_us.saturating_record(latency_us);
        }
        *open_row.row.ends.entry(end.to_owned()).or_default() += 1;
        if response.reason > 0 {
            let reason = entry.string(response.reason).to_owned();
            *open_row.row.reasons.entry(reason).or_default() += 1;
        }
    }

    fn finish(self) -> Summary {
        let service = self.service();
        let mut rows: Vec<SummaryRow> = self.rows.into_iter().map(OpenRow::finish).collect();
        rows.sort_by(|a, b| (&a.tenant, &a.class).cmp(&(&b.tenant, &b.class)));
        let unfinished = self.open_requests.len() as u64 + self.forgotten;
        Summary { rows, engines: self.engines, service, unfinished, dropped: self.dropped }
    }

    fn service(&self) -> BTreeMap<String, ServiceFraction> {
        let total_work_ms: f64 = self.rows.iter().map(|open_row| open_row.row.work_ms).sum();
        let mut service: BTreeMap<String, ServiceFraction> = BTreeMap::new();
        for OpenRow { row, .. } in &self.rows {
            let quota = self.quotas.get(&row.tenant).copied();
            let tenant =
                service.entry(row.tenant.clone()).or_insert(ServiceFraction { quota, fraction: 0.0 });
            tenant.fraction += row.work_ms / total_work_ms.max(f64::MIN_POSITIVE);
        }
        service
    }
}

impl OpenRow {
    fn new(tenant: &str, class: &str) -> OpenRow {
        let row = SummaryRow { tenant: tenant.to_owned(), class: class.to_owned(), ..SummaryRow::default() };
        let latency_us = Histogram::new_with_bounds(MIN_LATENCY_US, MAX_LATENCY_US, LATENCY_DIGITS)
            .expect("constant bounds are valid");
        OpenRow { row, latency_us }
    }

    fn finish(self) -> SummaryRow {
        let percentile_ms = |quantile: f64| self.latency_us.value_at_quantile(quantile) as f64 / 1000.0;
        SummaryRow {
            p50_ms: percentile_ms(0.5),
            p95_ms: percentile_ms(0.95),
            p99_ms: percentile_ms(0.99),
            ..self.row
        }
    }
}
