//! One function for each sub-command.

use crate::arguments::{Arguments, Command, FilterArguments};
use crate::error::CommandError;
use crate::files::{check_readable, open, open_trace, read_error, write_complete};
use crate::output::{print_info, print_merged, print_summary};
use sanddyke_trace::generate::{Plan, generate};
use sanddyke_trace::merge::merge;
use sanddyke_trace::tools::{self, Filter};
use serde_json::json;
use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::{Path, PathBuf};

/// Length of the secret for pseudonyms (bytes): that of the hash.
const SECRET_BYTES: usize = 32;

type Result = std::result::Result<(), CommandError>;

/// Runs the sub-command and prints its result to `out`.
pub fn run(arguments: &Arguments, out: &mut impl Write) -> Result {
    let json = arguments.json;
    match &arguments.command {
        Command::Info { file } => info(file, json, out),
        Command::Cat { file } => cat(file, json, out),
        Command::Verify { file } => verify(file, json, out),
        Command::Recover { file, out: to } => recover(file, to, out),
        Command::Cut { file, filter, out: to } => cut(file, filter, to, out),
        Command::Anonymise { file, out: to } => anonymise(file, to, out),
        Command::Merge { files, out: to } => merge_files(files, to, json, out),
        Command::Summary { file } => summary(file, json, out),
        Command::Story { file, id } => story(file, *id, json, out),
        Command::Generate { requests, managers, skew_ms, seed, tenants, out_dir } => {
            let clock_offset_us = |number: usize| (skew_ms * 1000.0 * number as f64) as i64;
            let plan = Plan {
                requests: *requests,
                clock_offsets_us: (0..(*managers).max(1)).map(clock_offset_us).collect(),
                seed: *seed,
                tenants: (*tenants).max(1),
            };
            generate_files(&plan, out_dir, out)
        }
    }
}

fn info(file: &Path, json: bool, out: &mut impl Write) -> Result {
    let mut reader = open(file)?;
    let info = tools::info(&mut reader).map_err(|error| read_error(file, error))?;
    if json {
        writeln!(out, "{:#}", json!(info))?;
    } else {
        print_info(&info, out)?;
    }
    check_readable(&reader)
}

fn cat(file: &Path, json: bool, out: &mut impl Write) -> Result {
    let mut reader = open(file)?;
    for entry in reader.by_ref() {
        let entry = entry.map_err(|error| read_error(file, error))?;
        let at_us = entry.record.at_us;
        let request = entry.record.request;
        let description = tools::describe(&entry);
        if json {
            writeln!(out, "{}", json!({"at_us": at_us, "request": request, "what": description}))?;
        } else {
            writeln!(out, "{:>14.3} ms {request:>8}  {description}", at_us as f64 / 1000.0)?;
        }
    }
    check_readable(&reader)
}

fn verify(file: &Path, json: bool, out: &mut impl Write) -> Result {
    let mut reader = open(file)?;
    let defects = tools::verify(&mut reader).map_err(|error| read_error(file, error))?;
    if json {
        writeln!(out, "{:#}", json!({"good": defects.is_empty(), "wrong": defects}))?;
    } else if defects.is_empty() {
        writeln!(out, "good")?;
    } else {
        for defect in &defects {
            writeln!(out, "{defect}")?;
        }
    }
    match defects.len() {
        0 => Ok(()),
        count => Err(CommandError::Damaged(count)),
    }
}

fn recover(file: &Path, to: &Path, out: &mut impl Write) -> Result {
    let mut reader = open(file)?;
    let recovered = write_complete(to, |part| tools::recover(&mut reader, part))?;
    for fault in reader.faults() {
        writeln!(out, "missing: bytes {} to {}: {}", fault.offset, fault.until, fault.reason)?;
    }
    writeln!(out, "{recovered} records")?;
    Ok(())
}

fn cut(file: &Path, arguments: &FilterArguments, to: &Path, out: &mut impl Write) -> Result {
    let filter = Filter::from(arguments);
    let selected = tools::select(&mut open(file)?, &filter).map_err(|error| read_error(file, error))?;
    let mut reader = open(file)?;
    let copied = write_complete(to, |part| tools::cut(&mut reader, &selected, &filter, part))?;
    writeln!(out, "{} requests, {copied} records", selected.len())?;
    check_readable(&reader)
}

fn anonymise(file: &Path, to: &Path, out: &mut impl Write) -> Result {
    let mut secret = [0; SECRET_BYTES];
    // Without a source of random numbers the pseudonyms would hide nothing.
    getrandom::fill(&mut secret).map_err(|error| std::io::Error::other(error.to_string()))?;
    let mut reader = open(file)?;
    let copied = write_complete(to, |part| tools::anonymise(&mut reader, &secret, part))?;
    writeln!(out, "{copied} records")?;
    check_readable(&reader)
}

fn merge_files(files: &[PathBuf], to: &Path, json: bool, out: &mut impl Write) -> Result {
    let temporary = to.with_extension("part");
    let writer = BufWriter::new(File::create(&temporary)?);
    let merged =
        merge(files.len(), |number| open_trace(&files[number]), writer).map_err(CommandError::Merge)?;
    std::fs::rename(&temporary, to)?;
    if json {
        writeln!(out, "{:#}", json!(merged))?;
    } else {
        print_merged(&merged, out)?;
    }
    Ok(())
}

fn summary(file: &Path, json: bool, out: &mut impl Write) -> Result {
    let mut reader = open(file)?;
    let summary = tools::summary(&mut reader).map_err(|error| read_error(file, error))?;
    if json {
        writeln!(out, "{:#}", json!(summary))?;
    } else {
        print_summary(&summary, out)?;
    }
    check_readable(&reader)
}

fn story(file: &Path, request: u64, json: bool, out: &mut impl Write) -> Result {
    let mut reader = open(file)?;
    let mut first_us = None;
    for entry in reader.by_ref() {
        let entry = entry.map_err(|error| read_error(file, error))?;
        if entry.record.request != request {
            continue;
        }
        let start_us = *first_us.get_or_insert(entry.record.at_us);
        let after_ms = (entry.record.at_us - start_us) as f64 / 1000.0;
        let description = tools::describe(&entry);
        if json {
            writeln!(out, "{}", json!({"after_ms": after_ms, "what": description}))?;
        } else {
            writeln!(out, "{after_ms:>+12.3} ms  {description}")?;
        }
    }
    if first_us.is_none() {
        return Err(CommandError::NoRequest(request));
    }
    check_readable(&reader)
}

fn generate_files(plan: &Plan, folder: &Path, out: &mut impl Write) -> Result {
    std::fs::create_dir_all(folder)?;
    let path = |manager: usize| folder.join(format!("m{manager}.trace"));
    generate(plan, |manager| File::create(path(manager)).map(BufWriter::new))
        .map_err(|source| CommandError::Write { path: folder.to_owned(), source })?;
    for manager in 0..plan.clock_offsets_us.len() {
        writeln!(out, "{}", path(manager).display())?;
    }
    Ok(())
}
