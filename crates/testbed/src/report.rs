//! The results of an experiment: a row for each tenant, and a table and a chart of the service per second.

use crate::TestbedError;
use crate::client::{Outcome, RequestStatus};
use crate::experiment::Experiment;
use hdrhistogram::Histogram;
use plotters::prelude::*;
use serde::Serialize;
use std::fmt::Write;
use std::path::Path;

/// Maximum number of tenants in the chart; further ones are omitted.
const MAX_CHART_LINES: usize = 8;
/// Unit, range and precision (decimal digits) of the latency histograms: from 0.1 ms to an hour.
const LATENCY_TICKS_PER_S: f64 = 10_000.0;
const LATENCY_TICKS_PER_MS: f64 = 10.0;
const MAX_LATENCY_TICKS: u64 = 36_000_000;
const LATENCY_DIGITS: u8 = 3;

/// The results of one tenant. The field names are the columns of the CSV file and the keys of the JSON output.
#[derive(Debug, Clone, Serialize)]
pub struct Row {
    /// Name of the tenant.
    pub tenant: String,
    /// Quota, as a fraction of all service.
    pub share: f64,
    /// Work of the tenant's served requests, as a fraction of the work of all served requests.
    pub service: f64,
    /// Work of the tenant's served requests, as a fraction of the capacity of the engines.
    pub of_capacity: f64,
    /// Number of requests.
    pub asked: u64,
    /// Number of served requests.
    pub served: u64,
    /// Number of requests whose last attempt was rejected.
    pub refused: u64,
    /// Number of failed requests.
    pub failed: u64,
    /// Number of requests without a response within the deadline.
    pub unanswered: u64,
    /// Number of requests that were not sent, because too many of the tenant were open.
    pub unsent: u64,
    /// Number of attempts of all requests.
    pub tries: u64,
    /// Median latency of the served requests (ms).
    pub p50_ms: f64,
    /// 95th percentile of the latency of the served requests (ms).
    pub p95_ms: f64,
    /// 99th percentile of the latency of the served requests (ms).
    pub p99_ms: f64,
}

/// The results of an experiment.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// Title of the experiment.
    pub title: String,
    /// One row for each tenant.
    pub rows: Vec<Row>,
    /// For each second, the work of the served requests of each tenant, as a fraction of the capacity of the engines.
    pub seconds: Vec<Vec<f64>>,
    /// Number of requests received by each engine.
    pub engines: Vec<u64>,
    /// Maximum difference between a tenant's fraction of the service and its quota (percentage points).
    pub worst_points: f64,
}

/// Served work of all tenants and capacity of the engines in the measured time, as single-thread time (ms).
struct Totals {
    served_work_ms: f64,
    capacity_ms: f64,
}

/// Total work of the served requests, as single-thread time (ms).
fn served_work_ms(outcomes: &[&Outcome]) -> f64 {
    let served = outcomes.iter().filter(|outcome| outcome.status == RequestStatus::Served);
    served.map(|outcome| outcome.work_ms).sum()
}

impl Row {
    /// Aggregates one tenant's outcomes.
    fn from_outcomes(tenant: &str, share: f64, outcomes: &[&Outcome], totals: &Totals) -> Row {
        let count =
            |status: RequestStatus| outcomes.iter().filter(|outcome| outcome.status == status).count() as u64;
        let work_ms = served_work_ms(outcomes);
        let mut latency = Histogram::<u64>::new_with_bounds(1, MAX_LATENCY_TICKS, LATENCY_DIGITS)
            .expect("constant bounds are valid");
        for outcome in outcomes.iter().filter(|outcome| outcome.status == RequestStatus::Served) {
            latency.saturating_record(((outcome.ended_s - outcome.sent_s) * LATENCY_TICKS_PER_S) as u64);
        }
        let percentile_ms = |quantile: f64| latency.value_at_quantile(quantile) as f64 / LATENCY_TICKS_PER_MS;
        Row {
            tenant: tenant.to_owned(),
            share,
            service: if totals.served_work_ms > 0.0 { work_ms / totals.served_work_ms } else { 0.0 },
            of_capacity: work_ms / totals.capacity_ms,
            asked: outcomes.len() as u64,
            served: count(RequestStatus::Served),
            refused: count(RequestStatus::Rejected),
            failed: count(RequestStatus::Failed),
            unanswered: count(RequestStatus::TimedOut),
            unsent: count(RequestStatus::Unsent),
            tries: outcomes.iter().map(|outcome| u64::from(outcome.attempts)).sum(),
            p50_ms: percentile_ms(0.5),
            p95_ms: percentile_ms(0.95),
            p99_ms: percentile_ms(0.99),
        }
    }
}

impl Report {
    /// Aggregates the outcomes. Those that ended outside the measured time count in [`Report::seconds`] only.
    pub fn from_outcomes(experiment: &Experiment, outcomes: &[Outcome]) -> Report {
        let measured_time = experiment.from_s..experiment.seconds;
        let is_measured = |outcome: &&Outcome| measured_time.contains(&outcome.ended_s);
        let measured: Vec<&Outcome> = outcomes.iter().filter(is_measured).collect();
        let totals = Totals {
            served_work_ms: served_work_ms(&measured),
            capacity_ms: experiment.capacity_ms_per_s() * (experiment.seconds - experiment.from_s),
        };
        let named_tenants = experiment.named_tenants();
        let quotas = experiment.quotas();
        let mut rows = Vec::new();
        for (index, (name, _)) in named_tenants.iter().enumerate() {
            let own: Vec<&Outcome> =
                measured.iter().copied().filter(|outcome| outcome.tenant == index).collect();
            rows.push(Row::from_outcomes(name, quotas[index], &own, &totals));
        }
        let mut seconds = vec![vec![0.0; named_tenants.len()]; experiment.seconds.ceil() as usize];
        for outcome in outcomes.iter().filter(|outcome| outcome.status == RequestStatus::Served) {
            if let Some(second) = seconds.get_mut(outcome.ended_s as usize) {
                second[outcome.tenant] += outcome.work_ms / experiment.capacity_ms_per_s();
            }
        }
        let worst_points = rows.iter().map(|row| (row.service - row.share).abs() * 100.0).fold(0.0, f64::max);
        Report { title: experiment.title.clone(), rows, seconds, engines: Vec::new(), worst_points }
    }

    /// Formats the rows as CSV.
    pub fn csv(&self) -> String {
        let mut text = "tenant,share,service,of_capacity,asked,served,refused,failed,unanswered,unsent,tries,p50_ms,p95_ms,p99_ms\n".to_owned();
        for row in &self.rows {
            // Writing to a string cannot fail.
            let _ = writeln!(
                text,
                "{},{:.4},{:.4},{:.4},{},{},{},{},{},{},{},{:.1},{:.1},{:.1}",
                row.tenant,
                row.share,
                row.service,
                row.of_capacity,
                row.asked,
                row.served,
                row.refused,
                row.failed,
                row.unanswered,
                row.unsent,
                row.tries,
                row.p50_ms,
                row.p95_ms,
                row.p99_ms
            );
        }
        text
    }

    /// Formats the service per second as CSV.
    pub fn seconds_csv(&self) -> String {
        let names: Vec<&str> = self.rows.iter().map(|row| row.tenant.as_str()).collect();
        let mut text = format!("second,{}\n", names.join(","));
        for (second, fractions) in self.seconds.iter().enumerate() {
            let fractions: Vec<String> = fractions.iter().map(|fraction| format!("{fraction:.4}")).collect();
            let _ = writeln!(text, "{second},{}", fractions.join(","));
        }
        text
    }

    /// Draws an SVG chart of the service of each tenant per second, with the tenant's quota as a thin line.
    pub fn chart(&self, path: &Path) -> Result<(), TestbedError> {
        let failed = |error: String| TestbedError::Chart(error);
        let root = SVGBackend::new(path, (900, 480)).into_drawing_area();
        root.fill(&WHITE).map_err(|error| failed(error.to_string()))?;
        let y_max = self.seconds.iter().flatten().fold(0.1, |max: f64, fraction| max.max(*fraction)) * 1.1;
        let mut chart = ChartBuilder::on(&root)
            .caption(&self.title, ("sans-serif", 18))
            .margin(10)
            .x_label_area_size(36)
            .y_label_area_size(48)
            .build_cartesian_2d(0.0..self.seconds.len() as f64, 0.0..y_max)
            .map_err(|error| failed(error.to_string()))?;
        let mut mesh = chart.configure_mesh();
        let drawn = mesh.x_desc("seconds").y_desc("work served, of what the engines can do").draw();
        drawn.map_err(|error| failed(error.to_string()))?;
        for (index, row) in self.rows.iter().enumerate().take(MAX_CHART_LINES) {
            let color = Palette99::pick(index).to_rgba();
            let points = self
                .seconds
                .iter()
                .enumerate()
                .map(|(second, fractions)| (second as f64 + 0.5, fractions[index]));
            let line = LineSeries::new(points, color.stroke_width(2));
            chart
                .draw_series(line)
                .map_err(|error| failed(error.to_string()))?
                .label(format!("{} (share {:.2})", row.tenant, row.share))
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color.stroke_width(2)));
            let quota = [(0.0, row.share), (self.seconds.len() as f64, row.share)];
            let quota_line = LineSeries::new(quota, color.mix(0.4).stroke_width(1));
            chart.draw_series(quota_line).map_err(|error| failed(error.to_string()))?;
        }
        let mut labels = chart.configure_series_labels();
        let drawn = labels.background_style(WHITE.mix(0.8)).border_style(BLACK).draw();
        drawn.map_err(|error| failed(error.to_string()))?;
        root.present().map_err(|error| failed(error.to_string()))
    }
}

/// A group of three bars in a chart.
#[derive(Debug, Clone, PartialEq)]
pub struct BarGroup {
    /// Label below the group.
    pub name: String,
    /// Heights of the bars, from left to right.
    pub values: [f64; BARS_PER_GROUP],
}

/// Number of bars in each group.
const BARS_PER_GROUP: usize = 3;

/// Draws groups of bars on a logarithmic scale as an SVG chart. `names` are the bars' names in the legend.
pub fn bars(
    title: &str,
    names: [&str; BARS_PER_GROUP],
    groups: &[BarGroup],
    path: &Path,
) -> Result<(), TestbedError> {
    let failed = |error: String| TestbedError::Chart(error);
    let root = SVGBackend::new(path, (900, 480)).into_drawing_area();
    root.fill(&WHITE).map_err(|error| failed(error.to_string()))?;
    let all = || groups.iter().flat_map(|group| group.values.iter().copied());
    let min = all().fold(f64::INFINITY, f64::min).max(0.001) / 2.0;
    let max = all().fold(0.01, f64::max) * 2.0;
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(36)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..groups.len() as f64, (min..max).log_scale())
        .map_err(|error| failed(error.to_string()))?;
    let label = |at: &f64| groups.get(*at as usize).map_or(String::new(), |group| group.name.clone());
    let mut mesh = chart.configure_mesh();
    // With fewer than one more label than groups, the library labels only every second group.
    let drawn = mesh.disable_x_mesh().x_labels(groups.len() + 1).x_label_formatter(&label).draw();
    drawn.map_err(|error| failed(error.to_string()))?;
    for (index, name) in names.into_iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let bar = |(at, group): (usize, &BarGroup)| {
            let from = at as f64 + 0.1 + 0.27 * index as f64;
            Rectangle::new([(from, min), (from + 0.25, group.values[index].max(min))], color.filled())
        };
        let drawn = chart.draw_series(groups.iter().enumerate().map(bar));
        let legend = move |(x, y)| Rectangle::new([(x, y - 5), (x + 12, y + 5)], color.filled());
        drawn.map_err(|error| failed(error.to_string()))?.label(name).legend(legend);
    }
    let mut labels = chart.configure_series_labels();
    let drawn = labels.background_style(WHITE.mix(0.8)).border_style(BLACK).draw();
    drawn.map_err(|error| failed(error.to_string()))?;
    root.present().map_err(|error| failed(error.to_string()))
}
