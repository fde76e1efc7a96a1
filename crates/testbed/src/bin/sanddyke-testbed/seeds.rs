//! The sub-commands that run many seeds: `simulate` and `fleet`.

use crate::CommandOutcome;
use sanddyke_cluster::simulation::{self, DisabledSafeguard, SimulationPlan, SimulationSummary};
use sanddyke_testbed::faults;
use std::ops::Range;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// Number of simulations, and of fault sequences, if no environment variable is set.
const DEFAULT_SIMULATIONS: u64 = 300;
const DEFAULT_FAULT_SEQUENCES: u64 = 6;

/// A seed whose run failed. Values are ordered by seed.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct FailedSeed {
    seed: u64,
    reason: String,
}

/// The number in an environment variable; `None` if it is not set or not a number.
pub fn variable(name: &str) -> Option<u64> {
    std::env::var(name).ok().and_then(|text| text.parse().ok())
}

/// The range of seeds from two environment variables, which contain the first seed and the number of runs.
///
/// If only the first seed is set, the range consists of that seed.
pub fn seeds(first_variable: &str, runs_variable: &str, default_runs: u64) -> Range<u64> {
    let first = variable(first_variable);
    let default_runs = if first.is_some() { 1 } else { default_runs };
    let first = first.unwrap_or(1);
    first..first + variable(runs_variable).unwrap_or(default_runs)
}

/// Prints the failed seeds and the numbers of passed and failed runs.
fn print_failures(failed: &[FailedSeed], runs: u64) -> CommandOutcome {
    for FailedSeed { seed, reason } in failed {
        println!("seed {seed}: {reason}");
    }
    println!("{} passed, {} failed", runs - failed.len() as u64, failed.len());
    if failed.is_empty() { CommandOutcome::Passed } else { CommandOutcome::RunFailed }
}

/// Simulates fleets on virtual time, with one thread per core.
pub fn simulate() -> CommandOutcome {
    let seeds = seeds("SANDDYKE_SIM_SEED", "SANDDYKE_SIM_RUNS", DEFAULT_SIMULATIONS);
    let next_seed = AtomicU64::new(seeds.start);
    let results = Mutex::new(SimulationResults::default());
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                loop {
                    let seed = next_seed.fetch_add(1, Ordering::Relaxed);
                    if seed >= seeds.end {
                        return;
                    }
                    let result = simulation::run(SimulationPlan::from_seed(seed, DisabledSafeguard::None));
                    let mut results = results.lock().unwrap_or_else(PoisonError::into_inner);
                    match result {
                        Ok(summary) => results.summaries.push(summary),
                        Err(error) => results.failed.push(FailedSeed { seed, reason: error.to_string() }),
                    }
                }
            });
        }
    });
    let mut results = results.into_inner().unwrap_or_else(PoisonError::into_inner);
    results.failed.sort();
    print_summaries(&results.summaries);
    print_failures(&results.failed, seeds.end - seeds.start)
}

#[derive(Default)]
struct SimulationResults {
    summaries: Vec<SimulationSummary>,
    failed: Vec<FailedSeed>,
}

fn print_summaries(summaries: &[SimulationSummary]) {
    let operations: u64 = summaries.iter().map(|summary| summary.operations).sum();
    let fenced: u64 = summaries.iter().map(|summary| summary.fenced_operations).sum();
    let grants: u64 = summaries.iter().map(|summary| summary.grants).sum();
    println!(
        "{operations} acts, {fenced} kept out by their number, {grants} grants; after the last fault a holder within:"
    );
    let mut recovery_times_ms: Vec<u64> =
        summaries.iter().map(|summary| summary.recovery_time_us / 1000).collect();
    recovery_times_ms.sort_unstable();
    let quantile_ms = |quantile: f64| {
        let position = (recovery_times_ms.len() as f64 * quantile) as usize;
        recovery_times_ms.get(position.min(recovery_times_ms.len().saturating_sub(1))).copied()
    };
    println!(
        "half {:?} ms, nine in ten {:?} ms, all {:?} ms",
        quantile_ms(0.5),
        quantile_ms(0.9),
        quantile_ms(1.0)
    );
}

/// Runs fault sequences on fleets of processes, one after another.
pub async fn run_fault_sequences(program: &Path, seconds: u64) -> CommandOutcome {
    let seeds = seeds("SANDDYKE_FAULT_SEED", "SANDDYKE_FAULT_RUNS", DEFAULT_FAULT_SEQUENCES);
    let runs = seeds.end - seeds.start;
    let mut failed = Vec::new();
    println!(
        "{:>6} {:>9} {:>7} {:>7} {:>6} {:>15}",
        "seed", "managers", "faults", "grants", "acts", "longest gap ms"
    );
    for seed in seeds {
        match faults::run_sequence(program, seed, Duration::from_secs(seconds)).await {
            Ok(summary) => println!(
                "{seed:>6} {:>9} {:>7} {:>7} {:>6} {:>15}",
                summary.managers, summary.faults, summary.grants, summary.operations, summary.longest_gap_ms
            ),
            Err(error) => {
                println!("{seed:>6} {error}");
                failed.push(FailedSeed { seed, reason: error.to_string() });
            }
        }
    }
    print_failures(&failed, runs)
}
