//! `sanddyke-trace`: looks at traces, mends, cuts and counts them.
#![forbid(unsafe_code)]

use clap::{Args, Parser, Subcommand};
use sanddyke_trace::generate::{Plan, generate};
use sanddyke_trace::merge::{MergeError, merge};
use sanddyke_trace::tools::{self, Filter, Summary};
use sanddyke_trace::{Reader, TraceError};
use serde_json::json;
use std::fs::File;
use std::io::{BufReader, BufWriter, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use thiserror::Error;

const CODES: &str = "Exit codes: 0 done; 1 output can't be written; 2 the command line is wrong; 3 the file can't be \
read; 4 the file is damaged, and what could be read was; 5 no such request; 6 the files can't be merged.\n\nExamples:\n  \
sanddyke-trace info m1.trace\n  sanddyke-trace cut m1.trace --tenant glannau --end refused --out part.trace\n  \
sanddyke-trace story m1.trace 4711\n  sanddyke-trace generate --requests 100000 --managers 3 --skew-ms 2 --out-dir traces";

/// Traces of requests and of the decisions made about them.
#[derive(Debug, Parser)]
#[command(version, after_help = CODES)]
struct Arguments {
    /// Print JSON.
    #[arg(long, global = true)]
    json: bool,
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// What a file is, and what can't be read of it.
    Info {
        /// The trace.
        file: PathBuf,
    },
    /// Print records in words, or as JSON lines.
    Cat {
        /// The trace.
        file: PathBuf,
    },
    /// Whether all of a file can be read, and its index agrees with it.
    Verify {
        /// The trace.
        file: PathBuf,
    },
    /// Write a whole file of what can be read of a broken one.
    Recover {
        /// The broken trace.
        file: PathBuf,
        /// Where the whole one is written.
        #[arg(long)]
        out: PathBuf,
    },
    /// Copy whole stories of requests that fit all that is given.
    Cut {
        /// The trace.
        file: PathBuf,
        #[command(flatten)]
        filter: Wanted,
        /// Where the part is written.
        #[arg(long)]
        out: PathBuf,
    },
    /// Copy a file with its names replaced, for good.
    Anonymise {
        /// The trace.
        file: PathBuf,
        /// Where the copy is written.
        #[arg(long)]
        out: PathBuf,
    },
    /// Merge traces of several managers into one, by what must have come in order at two of them.
    Merge {
        /// The traces; merged ones among them are taken apart first.
        #[arg(required = true, num_args = 2..)]
        files: Vec<PathBuf>,
        /// Where the merged one is written.
        #[arg(long)]
        out: PathBuf,
    },
    /// Count: ends, reasons, attempts, percentiles, service against share.
    Summary {
        /// The trace.
        file: PathBuf,
    },
    /// Tell one request's story, line by line.
    Story {
        /// The trace.
        file: PathBuf,
        /// The request's number.
        id: u64,
    },
    /// Make synthetic traces.
    Generate {
        /// Requests of clients.
        #[arg(long, default_value_t = 10_000)]
        requests: u64,
        /// Managers, each with a trace of its own.
        #[arg(long, default_value_t = 1)]
        managers: usize,
        /// How far each next manager's clock is ahead (ms).
        #[arg(long, default_value_t = 0.0)]
        skew_ms: f64,
        /// Seed.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Tenants.
        #[arg(long, default_value_t = 12)]
        tenants: u32,
        /// The folder, which is made.
        #[arg(long)]
        out_dir: PathBuf,
    },
}

#[derive(Debug, Args)]
struct Wanted {
    /// Taken at this time or later (ms on the manager's clock).
    #[arg(long, allow_negative_numbers = true)]
    from_ms: Option<f64>,
    /// Taken before this time (ms).
    #[arg(long, allow_negative_numbers = true)]
    until_ms: Option<f64>,
    /// Of one tenant.
    #[arg(long)]
    tenant: Option<String>,
    /// Of one class.
    #[arg(long)]
    class: Option<String>,
    /// One request.
    #[arg(long)]
    request: Option<u64>,
    /// With one end: served, refused, failed, cancelled, left, invalid.
    #[arg(long)]
    end: Option<String>,
}

#[derive(Debug, Error)]
enum Failed {
    #[error("{0}: {1}")]
    Read(PathBuf, TraceError),
    #[error("{0}: {1}")]
    Write(PathBuf, TraceError),
    #[error("{0}")]
    Output(#[from] std::io::Error),
    #[error("not merged: {0}")]
    Merge(MergeError),
    #[error("no request {0}")]
    NoRequest(u64),
    #[error("{0} parts of the file can't be read")]
    Damaged(usize),
}

impl Failed {
    fn code(&self) -> u8 {
        match self {
            Failed::Output(_) | Failed::Write(..) => 1,
            Failed::Read(..) => 3,
            Failed::Damaged(_) => 4,
            Failed::NoRequest(_) => 5,
            Failed::Merge(_) => 6,
        }
    }
}

type In = Reader<BufReader<File>>;

fn open(path: &Path) -> Result<In, Failed> {
    let failed = |error: TraceError| Failed::Read(path.to_owned(), error);
    let file = File::open(path).map_err(|error| failed(error.into()))?;
    Reader::new(BufReader::new(file)).map_err(failed)
}

/// Writes a file under another name first: under its own it is whole.
fn create<T>(path: &Path, write: impl FnOnce(BufWriter<File>) -> Result<T, TraceError>) -> Result<T, Failed> {
    let part = path.with_extension("part");
    let failed = |error: TraceError| Failed::Write(path.to_owned(), error);
    let file = File::create(&part).map_err(|error| failed(error.into()))?;
    let made = write(BufWriter::new(file)).map_err(failed)?;
    std::fs::rename(&part, path).map_err(|error| failed(error.into()))?;
    Ok(made)
}

fn faults(reader: &In) -> Result<(), Failed> {
    for fault in reader.faults() {
        eprintln!("sanddyke-trace: bytes {} to {}: {}", fault.offset, fault.until, fault.reason);
    }
    match reader.faults().len() {
        0 => Ok(()),
        many => Err(Failed::Damaged(many)),
    }
}

fn show(summary: &Summary, out: &mut impl Write) -> std::io::Result<()> {
    writeln!(
        out,
        "{:<20} {:<10} {:>8} {:>8} {:>8} {:>8} {:>9} {:>9} {:>9}",
        "tenant", "class", "taken", "served", "refused", "failed", "p50 ms", "p95 ms", "p99 ms"
    )?;
    for row in &summary.rows {
        let end = |name: &str| row.ends.get(name).copied().unwrap_or(0);
        writeln!(
            out,
            "{:<20} {:<10} {:>8} {:>8} {:>8} {:>8} {:>9.1} {:>9.1} {:>9.1}",
            row.tenant,
            row.class,
            row.received,
            end("served"),
            end("refused"),
            end("failed"),
            row.p50_ms,
            row.p95_ms,
            row.p99_ms
        )?;
    }
    for (engine, outcomes) in &summary.engines {
        let outcomes: Vec<String> = outcomes.iter().map(|(name, count)| format!("{name} {count}")).collect();
        writeln!(out, "engine {engine}: {}", outcomes.join(", "))?;
    }
    writeln!(out, "without an answer: {}; dropped records: {}", summary.unfinished, summary.dropped)
}

fn run(arguments: &Arguments, out: &mut impl Write) -> Result<(), Failed> {
    let json = arguments.json;
    match &arguments.command {
        Command::Info { file } => {
            let mut reader = open(file)?;
            let info = tools::info(&mut reader).map_err(|error| Failed::Read(file.clone(), error))?;
            let value = json!(info);
            match json {
                true => writeln!(out, "{value:#}")?,
                false => {
                    for (key, value) in value.as_object().into_iter().flatten() {
                        writeln!(out, "{key:<10} {value}")?;
                    }
                }
            }
            faults(&reader)
        }
        Command::Cat { file } => {
            let mut reader = open(file)?;
            for entry in reader.by_ref() {
                let entry = entry.map_err(|error| Failed::Read(file.clone(), error))?;
                let (at_us, request, words) =
                    (entry.record.at_us, entry.record.request, tools::describe(&entry));
                match json {
                    true => writeln!(out, "{}", json!({"at_us": at_us, "request": request, "what": words}))?,
                    false => writeln!(out, "{:>14.3} ms {request:>8}  {words}", at_us as f64 / 1000.0)?,
                }
            }
            faults(&reader)
        }
        Command::Verify { file } => {
            let mut reader = open(file)?;
            let wrong = tools::verify(&mut reader).map_err(|error| Failed::Read(file.clone(), error))?;
            match json {
                true => writeln!(out, "{:#}", json!({"good": wrong.is_empty(), "wrong": wrong}))?,
                false if wrong.is_empty() => writeln!(out, "good")?,
                false => wrong.iter().try_for_each(|line| writeln!(out, "{line}"))?,
            }
            if wrong.is_empty() { Ok(()) } else { Err(Failed::Damaged(wrong.len())) }
        }
        Command::Recover { file, out: to } => {
            let mut reader = open(file)?;
            let copied = create(to, |part| tools::recover(&mut reader, part))?;
            for fault in reader.faults() {
                writeln!(out, "missing: bytes {} to {}: {}", fault.offset, fault.until, fault.reason)?;
            }
            Ok(writeln!(out, "{copied} records")?)
        }
        Command::Cut { file, filter, out: to } => {
            let us = |ms: Option<f64>| ms.map(|ms| (ms * 1000.0) as i64);
            let filter = Filter {
                from_us: us(filter.from_ms),
                until_us: us(filter.until_ms),
                tenant: filter.tenant.clone(),
                class: filter.class.clone(),
                request: filter.request,
                end: filter.end.clone(),
            };
            let wanted = tools::select(&mut open(file)?, &filter);
            let wanted = wanted.map_err(|error| Failed::Read(file.clone(), error))?;
            let mut reader = open(file)?;
            let copied = create(to, |part| tools::cut(&mut reader, &wanted, &filter, part))?;
            writeln!(out, "{} requests, {copied} records", wanted.len())?;
            faults(&reader)
        }
        Command::Anonymise { file, out: to } => {
            let mut secret = [0; 32];
            // Without a source of random numbers nothing would be hidden.
            getrandom::fill(&mut secret).map_err(|error| std::io::Error::other(error.to_string()))?;
            let mut reader = open(file)?;
            let copied = create(to, |part| tools::anonymise(&mut reader, &secret, part))?;
            writeln!(out, "{copied} records")?;
            faults(&reader)
        }
        Command::Merge { files, out: to } => {
            let part = to.with_extension("part");
            let written = File::create(&part)?;
            let read = |number: usize| -> Result<In, TraceError> {
                Reader::new(BufReader::new(File::open(&files[number])?))
            };
            let merged = merge(files.len(), read, BufWriter::new(written)).map_err(Failed::Merge)?;
            std::fs::rename(&part, to)?;
            match json {
                true => writeln!(out, "{:#}", json!(merged))?,
                false => {
                    for offset in &merged.offsets {
                        let (name, ahead, within) = (&offset.manager, offset.ahead_us, offset.within_us);
                        writeln!(out, "{name}: {ahead} us ahead, within {within} us")?;
                    }
                    writeln!(out, "{} ties, {} records", merged.ties, merged.records)?;
                }
            }
            Ok(())
        }
        Command::Summary { file } => {
            let mut reader = open(file)?;
            let summary = tools::summary(&mut reader).map_err(|error| Failed::Read(file.clone(), error))?;
            match json {
                true => writeln!(out, "{:#}", json!(summary))?,
                false => show(&summary, out)?,
            }
            faults(&reader)
        }
        Command::Story { file, id } => {
            let mut reader = open(file)?;
            let mut first = None;
            for entry in reader.by_ref() {
                let entry = entry.map_err(|error| Failed::Read(file.clone(), error))?;
                if entry.record.request == *id {
                    let from = *first.get_or_insert(entry.record.at_us);
                    let (after, words) =
                        ((entry.record.at_us - from) as f64 / 1000.0, tools::describe(&entry));
                    match json {
                        true => writeln!(out, "{}", json!({"after_ms": after, "what": words}))?,
                        false => writeln!(out, "{after:>+12.3} ms  {words}")?,
                    }
                }
            }
            if first.is_some() { faults(&reader) } else { Err(Failed::NoRequest(*id)) }
        }
        Command::Generate { requests, managers, skew_ms, seed, tenants, out_dir } => {
            std::fs::create_dir_all(out_dir)?;
            let skews_us = (0..(*managers).max(1)).map(|number| (skew_ms * 1000.0 * number as f64) as i64);
            let plan = Plan {
                requests: *requests,
                skews_us: skews_us.collect(),
                seed: *seed,
                tenants: (*tenants).max(1),
            };
            let path = |manager: usize| out_dir.join(format!("m{manager}.trace"));
            generate(&plan, |manager| File::create(path(manager)).map(BufWriter::new))
                .map_err(|error| Failed::Write(out_dir.clone(), error))?;
            (0..plan.skews_us.len()).try_for_each(|manager| writeln!(out, "{}", path(manager).display()))?;
            Ok(())
        }
    }
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let mut out = BufWriter::new(std::io::stdout().lock());
    let done = run(&arguments, &mut out).and_then(|()| Ok(out.flush()?));
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(Failed::Output(error)) if error.kind() == std::io::ErrorKind::BrokenPipe => ExitCode::SUCCESS,
        Err(failed) => {
            let _shown = out.flush();
            eprintln!("sanddyke-trace: {failed}");
            ExitCode::from(failed.code())
        }
    }
}
