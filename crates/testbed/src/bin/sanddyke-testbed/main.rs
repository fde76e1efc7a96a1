//! `sanddyke-testbed`: runs experiments, simulations and measurements, and writes their results.

mod arguments;
mod demo;
mod experiment;
mod measurements;
mod seeds;
mod soak;

use arguments::{Arguments, Command};
use clap::Parser;
use sanddyke_testbed::TestbedError;
use sanddyke_testbed::tds_load::Plan;
use std::process::ExitCode;
use std::time::Duration;

/// Exit code if a measured result is outside its bound.
const OUT_OF_BOUNDS: u8 = 3;

/// Result of a sub-command that could be run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CommandOutcome {
    /// All runs completed, and every result is within its bound.
    Passed,
    /// A measured result is outside its bound.
    OutOfBounds,
    /// At least one run failed, and its error was printed.
    RunFailed,
}

impl From<CommandOutcome> for ExitCode {
    fn from(outcome: CommandOutcome) -> ExitCode {
        match outcome {
            CommandOutcome::Passed => ExitCode::SUCCESS,
            CommandOutcome::OutOfBounds => ExitCode::from(OUT_OF_BOUNDS),
            CommandOutcome::RunFailed => ExitCode::FAILURE,
        }
    }
}

fn run(command: Command) -> Result<CommandOutcome, TestbedError> {
    if let Command::Simulate = command {
        return Ok(seeds::simulate());
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        match command {
            Command::Run { file, program, out, json } => experiment::run(&file, &program, out, json).await,
            Command::Demo { program } => demo::run(&program).await,
            Command::Simulate => Ok(seeds::simulate()),
            Command::Fleet { program, seconds } => Ok(seeds::run_fault_sequences(&program, seconds).await),
            Command::Soak { program } => Ok(soak::run_seeds(&program).await),
            Command::Duties { program, times, lease_ms, out } => {
                measurements::lease_gaps(&program, times as usize, lease_ms, out).await
            }
            Command::TdsLoad { program, rounds, clients, seconds, rate, work_ms } => {
                let plan = Plan {
                    programs: program,
                    rounds: rounds as usize,
                    clients: clients as usize,
                    duration: Duration::from_secs(seconds),
                    rate,
                    work: Duration::from_millis(work_ms),
                };
                measurements::tds_load(&plan).await
            }
            Command::Second { program, seconds, out } => {
                measurements::operations_endpoint(&program, seconds, out).await
            }
        }
    })
}

fn main() -> ExitCode {
    match run(Arguments::parse().command) {
        Ok(outcome) => outcome.into(),
        Err(error) => {
            eprintln!("sanddyke-testbed: {error}");
            ExitCode::FAILURE
        }
    }
}
