//! The sub-command `run`: runs an experiment from a file.

use crate::CommandOutcome;
use sanddyke_testbed::TestbedError;
use sanddyke_testbed::experiment::Experiment;
use sanddyke_testbed::report::Report;
use std::path::{Path, PathBuf};

/// Maximum number of tenants in the printed table. The CSV file contains all tenants.
const MAX_PRINTED_ROWS: usize = 40;

/// Runs the experiment, writes the results to the folder `out`, if any, and prints them.
pub async fn run(
    file: &Path,
    program: &Path,
    out: Option<PathBuf>,
    json: bool,
) -> Result<CommandOutcome, TestbedError> {
    let experiment = Experiment::read(file)?;
    let allowed_points = experiment.within_points;
    let report = sanddyke_testbed::run(experiment, program).await?;
    if let Some(folder) = out {
        let name = file.file_stem().map_or("run".to_owned(), |name| name.to_string_lossy().into_owned());
        write_files(&report, &folder, &name)?;
    }
    if json {
        println!("{}", serde_json::to_string_pretty(&report).unwrap_or_default());
    } else {
        print_table(&report);
    }
    match allowed_points {
        Some(allowed_points) if report.worst_points > allowed_points => Ok(CommandOutcome::OutOfBounds),
        _ => Ok(CommandOutcome::Passed),
    }
}

fn write_files(report: &Report, folder: &Path, name: &str) -> Result<(), TestbedError> {
    std::fs::create_dir_all(folder)?;
    std::fs::write(folder.join(format!("{name}.csv")), report.csv())?;
    std::fs::write(folder.join(format!("{name}-seconds.csv")), report.seconds_csv())?;
    report.chart(&folder.join(format!("{name}.svg")))
}

fn print_table(report: &Report) {
    println!("{}", report.title);
    println!(
        "{:<16} {:>6} {:>8} {:>7} {:>7} {:>7} {:>7} {:>6} {:>8} {:>8}",
        "tenant", "share", "service", "asked", "served", "refused", "failed", "lost", "p50 ms", "p99 ms"
    );
    for row in report.rows.iter().take(MAX_PRINTED_ROWS) {
        println!(
            "{:<16} {:>6.3} {:>8.3} {:>7} {:>7} {:>7} {:>7} {:>6} {:>8.1} {:>8.1}",
            row.tenant,
            row.share,
            row.service,
            row.asked,
            row.served,
            row.refused,
            row.failed,
            row.unanswered + row.unsent,
            row.p50_ms,
            row.p99_ms
        );
    }
    println!("worst distance from a share: {:.2} points", report.worst_points);
}
