//! The subcommand `soak`. It runs the randomized fault soak for a range of seeds and prints the violations.

use crate::CommandOutcome;
use crate::seeds::{seeds, variable};
use sanddyke_testbed::soak::{self, SoakSummary, oracle};
use std::path::Path;
use std::time::Duration;

/// Number of seeds without `SANDDYKE_SOAK_RUNS`.
const DEFAULT_SEEDS: u64 = 2;
/// Seconds of requests and faults for each seed, without `SANDDYKE_SOAK_SECONDS`.
const DEFAULT_SECONDS: u64 = 20;
/// At most this many violations of a seed are printed with their timelines.
const MAX_TIMELINES: usize = 3;

/// Runs the seeds one after another, and prints their violations and summaries. Fails if any seed fails.
pub async fn run_seeds(program: &Path) -> CommandOutcome {
    let seeds = seeds("SANDDYKE_SOAK_SEED", "SANDDYKE_SOAK_RUNS", DEFAULT_SEEDS);
    let seconds = variable("SANDDYKE_SOAK_SECONDS").unwrap_or(DEFAULT_SECONDS);
    let runs = seeds.end - seeds.start;
    let mut failed = 0;
    for seed in seeds {
        match soak::run(program, seed, Duration::from_secs(seconds)).await {
            Ok(summary) => {
                print_timelines(&summary);
                let SoakSummary { processes, requests, attempts, faults, violations, .. } = &summary;
                println!(
                    "soak seed={seed} processes={processes} requests={requests} attempts={attempts} \
                     faults={faults} violations={}",
                    violations.len()
                );
                failed += u64::from(!violations.is_empty());
            }
            Err(error) => {
                println!("soak seed={seed} could not be played: {error}");
                failed += 1;
            }
        }
    }
    println!("{} passed, {failed} failed", runs - failed);
    if failed == 0 { CommandOutcome::Passed } else { CommandOutcome::RunFailed }
}

fn print_timelines(summary: &SoakSummary) {
    for violation in &summary.violations {
        println!("RULE BROKEN {violation}");
    }
    for violation in summary.violations.iter().take(MAX_TIMELINES) {
        println!("timeline of {violation}:");
        for line in oracle::timeline(&summary.records, violation) {
            println!("  {line}");
        }
    }
}
