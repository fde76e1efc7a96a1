//! `sanddyke-rig`: runs experiments and keeps what they show.

use clap::{Parser, Subcommand};
use sanddyke_rig::experiment::Experiment;
use sanddyke_rig::report::Report;
use sanddyke_rig::{RigError, run, second};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Experiments on a sanddyke process with emulated engines.
#[derive(Debug, Parser)]
#[command(
    version,
    after_help = "Exit codes: 0 done; 1 the experiment could not be run; 2 the command line is \
wrong; 3 a tenant's service was off its share by more than the experiment allows, or an answer was late."
)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Run an experiment.
    #[command(after_help = "Example:\n  sanddyke-rig run experiments/flood.toml --out docs/measurements")]
    Run {
        /// The experiment.
        file: PathBuf,
        /// The program.
        #[arg(long, default_value = "target/release/sanddyke")]
        program: PathBuf,
        /// Where tables and charts are written, under the experiment's name.
        #[arg(long)]
        out: Option<PathBuf>,
        /// Print the report as JSON.
        #[arg(long)]
        json: bool,
    },
    /// Measure how long the second address takes to answer, under four conditions. Needs taskset.
    #[command(after_help = "Example:\n  sanddyke-rig second --seconds 30 --out docs/measurements")]
    Second {
        /// The program.
        #[arg(long, default_value = "target/release/sanddyke")]
        program: PathBuf,
        /// How long each condition is measured.
        #[arg(long, default_value_t = 30, value_parser = clap::value_parser!(u64).range(1..=300))]
        seconds: u64,
        /// Where the table and the chart are written.
        #[arg(long)]
        out: Option<PathBuf>,
    },
}

fn measure_second(program: &Path, seconds: u64, out: Option<PathBuf>) -> Result<bool, RigError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let rows = runtime.block_on(second::run(program, seconds))?;
    print!("{}", second::csv(&rows));
    if let Some(folder) = out {
        std::fs::create_dir_all(&folder)?;
        std::fs::write(folder.join("second.csv"), second::csv(&rows))?;
        second::chart(&rows, &folder.join("second.svg"))?;
    }
    Ok(rows.iter().all(|row| row.late == 0))
}

fn keep(report: &Report, folder: &Path, name: &str) -> Result<(), RigError> {
    std::fs::create_dir_all(folder)?;
    std::fs::write(folder.join(format!("{name}.csv")), report.csv())?;
    std::fs::write(folder.join(format!("{name}-seconds.csv")), report.seconds_csv())?;
    report.chart(&folder.join(format!("{name}.svg")))
}

fn table(report: &Report) {
    println!("{}", report.title);
    println!(
        "{:<16} {:>6} {:>8} {:>7} {:>7} {:>7} {:>7} {:>6} {:>8} {:>8}",
        "tenant", "share", "service", "asked", "served", "refused", "failed", "lost", "p50 ms", "p99 ms"
    );
    for row in report.rows.iter().take(40) {
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

fn main() -> ExitCode {
    let (file, program, out, json) = match Arguments::parse().command {
        Command::Run { file, program, out, json } => (file, program, out, json),
        Command::Second { program, seconds, out } => {
            return match measure_second(&program, seconds, out) {
                Ok(true) => ExitCode::SUCCESS,
                Ok(false) => ExitCode::from(3),
                Err(error) => {
                    eprintln!("sanddyke-rig: {error}");
                    ExitCode::FAILURE
                }
            };
        }
    };
    let ran = Experiment::read(&file).and_then(|experiment| {
        let allowed = experiment.within_points;
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        Ok((runtime.block_on(run(experiment, &program))?, allowed))
    });
    let kept = ran.and_then(|(report, allowed)| {
        let name = file.file_stem().map_or("run".to_owned(), |name| name.to_string_lossy().into_owned());
        out.map_or(Ok(()), |folder| keep(&report, &folder, &name))?;
        Ok((report, allowed))
    });
    match kept {
        Ok((report, allowed)) => {
            match json {
                true => println!("{}", serde_json::to_string_pretty(&report).unwrap_or_default()),
                false => table(&report),
            }
            let off = allowed.is_some_and(|points| report.worst_points > points);
            if off { ExitCode::from(3) } else { ExitCode::SUCCESS }
        }
        Err(error) => {
            eprintln!("sanddyke-rig: {error}");
            ExitCode::FAILURE
        }
    }
}
