//! The results of an experiment: a row for each tenant, a table of the service by second, and a chart of it.

use crate::TestbedError;
use crate::client::{End, Outcome};
use crate::experiment::Experiment;
use hdrhistogram::Histogram;
use plotters::prelude::*;
use serde::Serialize;
use std::fmt::Write;
use std::path::Path;

/// Maximum number of tenants in the chart.
const MAX_CHART_LINES: usize = 8;
/// Unit, range and precision (decimal digits) of the latency histograms: from 0.1 ms to an hour.
const LATENCY_TICKS_PER_S: f64 = 10_000.0;
const LATENCY_TICKS_PER_MS: f64 = 10.0;
const MAX_LATENCY_TICKS: u64 = 36_000_000;
const LATENCY_DIGITS: u8 = 3;

/// The results of one tenant. The field names are the columns of the CSV file and the keys of the JSON output.
#[derive(Debug, Clone, Serialize)]
pub struct Row {
    /// The tenant.
    pub tenant: String,
    /// Quota, as a fraction of all service.
    pub share: f64,
    /// Fraction of the work of all served requests.
    pub service: f64,
    /// Work of its served requests, as a fraction of the capacity of the engines.
    pub of_capacity: f64,
    /// Number of requests.
    pub asked: u64,
    /// Number of served requests.
    pub served: u64,
    /// Number of requests whose last attempt was rejected.
    pub refused: u64,
    /// Number of failed requests.
    pub failed: u64,
    /// Number of requests without a response within their deadline.
    pub unanswered: u64,
    /// Number of requests that were not sent, because too many were in flight.
    pub unsent: u64,
    /// Number of attempts.
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
    /// The experiment's title.
    pub title: String,
    /// One row for each tenant.
    pub rows: Vec<Row>,
    /// For each second, the work of the served requests of each tenant, as a fraction of the capacity of the engines.
    pub seconds: Vec<Vec<f64>>,
    /// Number of requests that each engine has received.
    pub engines: Vec<u64>,
    /// Maximum difference between a tenant's fraction of the service and its quota (percentage points).
    pub worst_points: f64,
}

/// The work that all tenants together got and could have got in the measured time.
struct Totals {
    served_work_ms: f64,
    capacity_ms: f64,
}

/// Work of the served requests, as single-thread time (ms).
fn served_work_ms(outcomes: &[&Outcome]) -> f64 {
    let served = outcomes.iter().filter(|outcome| outcome.end == End::Served);
    served.map(|outcome| outcome.work_ms).sum()
}

impl Row {
    /// Counts one tenant's outcomes.
    fn of(tenant: &str, share: f64, outcomes: &[&Outcome], totals: &Totals) -> Row {
        let count = |end: End| outcomes.iter().filter(|outcome| outcome.end == end).count() as u64;
        let work_ms = served_work_ms(outcomes);
        let mut latency = Histogram::<u64>::new_with_bounds(1, MAX_LATENCY_TICKS, LATENCY_DIGITS)
            .expect("constant bounds are valid");
        for outcome in outcomes.iter().filter(|outcome| outcome.end == End::Served) {
            latency.saturating_record(((outcome.ended_s - outcome.sent_s) * LATENCY_TICKS_PER_S) as u64);
        }
        let percentile_ms = |quantile: f64| latency.value_at_quantile(quantile) as f64 / LATENCY_TICKS_PER_MS;
        Row {
            tenant: tenant.to_owned(),
            share,
            service: if totals.served_work_ms > 0.0 { work_ms / totals.served_work_ms } else { 0.0 },
            of_capacity: work_ms / totals.capacity_ms,
            asked: outcomes.len() as u64,
            served: count(End::Served),
            refused: count(End::Rejected),
            failed: count(End::Failed),
            unanswered: count(End::TimedOut),
            unsent: count(End::Unsent),
            tries: outcomes.iter().map(|outcome| u64::from(outcome.attempts)).sum(),
            p50_ms: percentile_ms(0.5),
            p95_ms: percentile_ms(0.95),
            p99_ms: percentile_ms(0.99),
        }
    }
}

impl Report {
    /// Counts the outcomes. Those that ended outside of the measured time count in [`Report::seconds`] only.
    pub fn of(experiment: &Experiment, outcomes: &[Outcome]) -> Report {
        let measured_time = experiment.from_s..experiment.seconds;
        let is_measured = |outcome: &&Outcome| measured_time.contains(&outcome.ended_s);
        let measured: Vec<&Outcome> = outcomes.iter().filter(is_measured).collect();
        let totals = Totals {
            served_work_ms: served_work_ms(&measured),
            capacity_ms: experiment.capacity() * (experiment.seconds - experiment.from_s),
        };
        let named = experiment.named();
        let shares = experiment.shares();
        let mut rows = Vec::new();
        for (index, (name, _)) in named.iter().enumerate() {
            let own: Vec<&Outcome> =
                measured.iter().copied().filter(|outcome| outcome.tenant == index).collect();
            rows.push(Row::of(name, shares[index], &own, &totals));
        }
        let mut seconds = vec![vec![0.0; named.len()]; experiment.seconds.ceil() as usize];
        for outcome in outcomes.iter().filter(|outcome| outcome.end == End::Served) {
            if let Some(second) = seconds.get_mut(outcome.ended_s as usize) {
                second[outcome.tenant] += outcome.work_ms / experiment.capacity();
            }
        }
        let worst_points = rows.iter().map(|row| (row.service - row.share).abs() * 100.0).fold(0.0, f64::max);
        Report { title: experiment.title.clone(), rows, seconds, engines: Vec::new(), worst_points }
    }

    /// The rows as CSV.
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

    /// The seconds as CSV.
    pub fn seconds_csv(&self) -> String {
        let names: Vec<&str> = self.rows.iter().map(|row| row.tenant.as_str()).collect();
        let mut text = format!("second,{}\n", names.join(","));
        for (second, parts) in self.seconds.iter().enumerate() {
            let parts: Vec<String> = parts.iter().map(|part| format!("{part:.4}")).collect();
            let _ = writeln!(text, "{second},{}", parts.join(","));
        }
        text
    }

    /// A chart of the service of each tenant by second, with its share as a thin line.
    pub fn chart(&self, path: &Path) -> Result<(), TestbedError> {
        let failed = |error: String| TestbedError::Chart(error);
        let root = SVGBackend::new(path, (900, 480)).into_drawing_area();
        root.fill(&WHITE).map_err(|error| failed(error.to_string()))?;
        let most = self.seconds.iter().flatten().fold(0.1, |most: f64, part| most.max(*part)) * 1.1;
        let mut chart = ChartBuilder::on(&root)
            .caption(&self.title, ("sans-serif", 18))
            .margin(10)
            .x_label_area_size(36)
            .y_label_area_size(48)
            .build_cartesian_2d(0.0..self.seconds.len() as f64, 0.0..most)
            .map_err(|error| failed(error.to_string()))?;
        let mut mesh = chart.configure_mesh();
        let drawn = mesh.x_desc("seconds").y_desc("work served, of what the engines can do").draw();
        drawn.map_err(|error| failed(error.to_string()))?;
        for (index, row) in self.rows.iter().enumerate().take(MAX_CHART_LINES) {
            let color = Palette99::pick(index).to_rgba();
            let points = self.seconds.iter().enumerate().map(|(at, parts)| (at as f64 + 0.5, parts[index]));
            let line = LineSeries::new(points, color.stroke_width(2));
            chart
                .draw_series(line)
                .map_err(|error| failed(error.to_string()))?
                .label(format!("{} (share {:.2})", row.tenant, row.share))
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color.stroke_width(2)));
            let share = [(0.0, row.share), (self.seconds.len() as f64, row.share)];
            let thin = LineSeries::new(share, color.mix(0.4).stroke_width(1));
            chart.draw_series(thin).map_err(|error| failed(error.to_string()))?;
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
    /// The label below the group.
    pub name: String,
    /// The values of the bars.
    pub values: [f64; BARS_PER_GROUP],
}

/// Number of bars in each group.
const BARS_PER_GROUP: usize = 3;

/// Draws groups of bars on a logarithmic scale as an SVG chart; `names` are those of the bars, in the legend.
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
    // One more than there are groups: with fewer the library names every second one.
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
