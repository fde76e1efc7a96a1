//! What an experiment showed: one row a tenant, a table of seconds, and a chart of both.

use crate::TestbedError;
use crate::client::{End, Outcome};
use crate::experiment::Experiment;
use hdrhistogram::Histogram;
use plotters::prelude::*;
use serde::Serialize;
use std::fmt::Write;
use std::path::Path;

/// Tenants with a line of their own in the chart.
const MOST_LINES: usize = 8;

/// One tenant's row.
#[derive(Debug, Clone, Serialize)]
pub struct Row {
    /// The tenant.
    pub tenant: String,
    /// Its share.
    pub share: f64,
    /// Its part of the work that was served.
    pub service: f64,
    /// Work that was served of it, as a part of what the engines could do.
    pub of_capacity: f64,
    /// Requests that its clients sent first tries of.
    pub asked: u64,
    /// Served.
    pub served: u64,
    /// Refused at their last try.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// Without an answer in their time.
    pub unanswered: u64,
    /// Not sent: its clients had too many open.
    pub unsent: u64,
    /// Tries in all.
    pub tries: u64,
    /// Latency of what was served (ms): median, 95th and 99th percentile.
    pub p50_ms: f64,
    /// 95th percentile.
    pub p95_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
}

/// All rows, and the work served in each second.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// The experiment's title.
    pub title: String,
    /// One row a tenant.
    pub rows: Vec<Row>,
    /// Of each second, the work served of each tenant as a part of what the engines can do.
    pub seconds: Vec<Vec<f64>>,
    /// Requests that each engine was sent.
    pub engines: Vec<u64>,
    /// Greatest distance of a tenant's part of the service from its share, in points.
    pub worst_points: f64,
}

impl Report {
    /// Counts outcomes.
    pub fn of(experiment: &Experiment, outcomes: &[Outcome]) -> Report {
        let (named, shares) = (experiment.named(), experiment.shares());
        let counts = |outcome: &&Outcome| (experiment.from_s..experiment.seconds).contains(&outcome.ended_s);
        let served = |outcome: &&Outcome| outcome.end == End::Served;
        let work = |outcome: &Outcome| outcome.work_ms;
        let whole: f64 = outcomes.iter().filter(counts).filter(served).map(work).sum();
        let could = experiment.capacity() * (experiment.seconds - experiment.from_s);
        let row = |(index, (name, _)): (usize, &(String, &crate::experiment::Tenant))| {
            let own: Vec<&Outcome> =
                outcomes.iter().filter(counts).filter(|outcome| outcome.tenant == index).collect();
            let count = |end: End| own.iter().filter(|outcome| outcome.end == end).count() as u64;
            let done: f64 =
                own.iter().filter(|outcome| outcome.end == End::Served).map(|one| one.work_ms).sum();
            // Three digits from 0.1 ms to an hour: such bounds are always taken.
            let mut latency = Histogram::<u64>::new_with_bounds(1, 36_000_000, 3).expect("good bounds");
            for outcome in own.iter().filter(|outcome| outcome.end == End::Served) {
                latency.saturating_record(((outcome.ended_s - outcome.sent_s) * 10_000.0) as u64);
            }
            let at = |part: f64| latency.value_at_quantile(part) as f64 / 10.0;
            Row {
                tenant: name.clone(),
                share: shares[index],
                service: if whole > 0.0 { done / whole } else { 0.0 },
                of_capacity: done / could,
                asked: own.len() as u64,
                served: count(End::Served),
                refused: count(End::Rejected),
                failed: count(End::Failed),
                unanswered: count(End::TimedOut),
                unsent: count(End::Unsent),
                tries: own.iter().map(|outcome| u64::from(outcome.attempts)).sum(),
                p50_ms: at(0.5),
                p95_ms: at(0.95),
                p99_ms: at(0.99),
            }
        };
        let rows: Vec<Row> = named.iter().enumerate().map(row).collect();
        let mut seconds = vec![vec![0.0; named.len()]; experiment.seconds.ceil() as usize];
        for outcome in outcomes.iter().filter(served) {
            if let Some(second) = seconds.get_mut(outcome.ended_s as usize) {
                second[outcome.tenant] += outcome.work_ms / experiment.capacity();
            }
        }
        let worst = rows.iter().map(|row| (row.service - row.share).abs() * 100.0).fold(0.0, f64::max);
        Report { title: experiment.title.clone(), rows, seconds, engines: Vec::new(), worst_points: worst }
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
        for (index, row) in self.rows.iter().enumerate().take(MOST_LINES) {
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
