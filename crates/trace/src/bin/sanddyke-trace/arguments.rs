//! The command line. Doc comments of the types are its help texts.

use clap::{Args, Parser, Subcommand};
use sanddyke_trace::tools::Filter;
use std::path::PathBuf;

const AFTER_HELP: &str = "Exit codes: 0 done; 1 output can't be written; 2 the command line is wrong; 3 the file can't be \
read; 4 the file is damaged, and what could be read was; 5 no such request; 6 the files can't be merged.\n\nExamples:\n  \
sanddyke-trace info m1.trace\n  sanddyke-trace cut m1.trace --tenant glannau --end refused --out part.trace\n  \
sanddyke-trace story m1.trace 4711\n  sanddyke-trace generate --requests 100000 --managers 3 --skew-ms 2 --out-dir traces";

/// Traces of requests and of the decisions made about them.
#[derive(Debug, Parser)]
#[command(version, after_help = AFTER_HELP)]
pub struct Arguments {
    /// Print JSON.
    #[arg(long, global = true)]
    pub json: bool,
    #[command(subcommand)]
    pub command: Command,
}

#[derive(Debug, Subcommand)]
pub enum Command {
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
        filter: FilterArguments,
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
pub struct FilterArguments {
    /// Taken at this time or later (ms on the manager's clock).
    #[arg(long, allow_negative_numbers = true)]
    pub from_ms: Option<f64>,
    /// Taken before this time (ms).
    #[arg(long, allow_negative_numbers = true)]
    pub until_ms: Option<f64>,
    /// Of one tenant.
    #[arg(long)]
    pub tenant: Option<String>,
    /// Of one class.
    #[arg(long)]
    pub class: Option<String>,
    /// One request.
    #[arg(long)]
    pub request: Option<u64>,
    /// With one end: served, refused, failed, cancelled, left, invalid.
    #[arg(long)]
    pub end: Option<String>,
}

impl From<&FilterArguments> for Filter {
    fn from(arguments: &FilterArguments) -> Filter {
        let to_us = |ms: Option<f64>| ms.map(|ms| (ms * 1000.0) as i64);
        Filter {
            from_us: to_us(arguments.from_ms),
            until_us: to_us(arguments.until_ms),
            tenant: arguments.tenant.clone(),
            class: arguments.class.clone(),
            request: arguments.request,
            end: arguments.end.clone(),
        }
    }
}
