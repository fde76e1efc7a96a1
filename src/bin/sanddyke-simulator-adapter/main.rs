//! The decisions of `sanddyke` on the simulator's wire: one [`sanddyke::Scheduler`] for each simulated workload manager,
//! fed from standard input.
//!
//! [`session`] reads batches of lines and answers each, [`lines`] splits a line into its fields, [`instance`] turns
//! the lines for one manager into events of its gateway, and [`actions`] writes the gateway's actions.
#![forbid(unsafe_code)]

mod actions;
mod error;
mod instance;
mod lines;
mod session;

use error::AdapterError;
use std::io::{self, BufWriter, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("sanddyke-simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), AdapterError> {
    let stdin = io::stdin().lock();
    let mut stdout = BufWriter::new(io::stdout().lock());
    session::run(stdin, &mut stdout)?;
    stdout.flush().map_err(AdapterError::Flush)
}
