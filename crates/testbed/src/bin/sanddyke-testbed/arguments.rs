//! The command line. Doc comments of the types are its help texts.

use clap::{Parser, Subcommand};
use std::path::PathBuf;

/// Experiments on a sanddyke process with emulated engines.
#[derive(Debug, Parser)]
#[command(
    version,
    after_help = "Exit codes: 0 done; 1 the experiment could not be run; 2 the command line is \
wrong; 3 a tenant's service was off its share by more than the experiment allows, or an answer was late."
)]
pub struct Arguments {
    #[command(subcommand)]
    pub command: Command,
}

#[derive(Debug, Subcommand)]
pub enum Command {
    /// Run an experiment.
    #[command(after_help = "Example:\n  sanddyke-testbed run experiments/flood.toml --out docs/measurements")]
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
    /// Start two emulated engines and three managers on loopback, say how to ask, and what to stop next. Ctrl-C ends all.
    Demo {
        /// The program, built with the feature `cluster`.
        #[arg(long, default_value = "target/release/sanddyke")]
        program: PathBuf,
    },
    /// Play fleets on virtual time: SANDDYKE_SIM_SEED plays one seed, SANDDYKE_SIM_RUNS that many from it.
    Simulate,
    /// Play faults between processes: SANDDYKE_FAULT_SEED plays one seed, SANDDYKE_FAULT_RUNS that many from it.
    Fleet {
        /// The program, built with the feature `cluster`.
        #[arg(long, default_value = "target/release/sanddyke")]
        program: PathBuf,
        /// How long faults come in each play.
        #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(1..=600))]
        seconds: u64,
    },
    /// Play faults between processes, clients and engines: SANDDYKE_SOAK_SEED plays one seed, SANDDYKE_SOAK_RUNS that
    /// many from it, SANDDYKE_SOAK_SECONDS for each.
    Soak {
        /// The program.
        #[arg(long, default_value = "target/release/sanddyke")]
        program: PathBuf,
    },
    /// Measure how long a duty is without a holder, by what befalls the one that holds it.
    Duties {
        /// The program, built with the feature `cluster`.
        #[arg(long, default_value = "target/release/sanddyke")]
        program: PathBuf,
        /// How often each fault is tried.
        #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u64).range(1..=100))]
        times: u64,
        /// The lease, in ms.
        #[arg(long, default_value_t = 1500, value_parser = clap::value_parser!(u64).range(500..=60_000))]
        lease_ms: u64,
        /// Where the table and the chart are written.
        #[arg(long)]
        out: Option<PathBuf>,
    },
    /// Measure how long the second address takes to answer, under four conditions. Needs taskset.
    #[command(after_help = "Example:\n  sanddyke-testbed second --seconds 30 --out docs/measurements")]
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
    /// Compare versions of the program with an engine over TDS: throughput, latency, sockets and memory.
    #[command(after_help = "Example:\n  sanddyke-testbed tds-load --program before/sanddyke --program \
target/release/sanddyke --rate 600 --seconds 65")]
    TdsLoad {
        /// A version of the program. May be given several times.
        #[arg(long, default_value = "target/release/sanddyke")]
        program: Vec<PathBuf>,
        /// How often each version is measured, in turn.
        #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u64).range(1..=100))]
        rounds: u64,
        /// The number of clients.
        #[arg(long, default_value_t = 16, value_parser = clap::value_parser!(u64).range(1..=500))]
        clients: u64,
        /// How long each measurement lasts.
        #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u64).range(1..=300))]
        seconds: u64,
        /// Requests a second of all clients together; as many as are answered if it is absent.
        #[arg(long, default_value_t = 0.0)]
        rate: f64,
        /// The time after which the engine answers a request, in ms.
        #[arg(long, default_value_t = 0)]
        work_ms: u64,
    },
}
