//! Runs the decision module of `sanddyke` under the simulator's protocol on standard input and output. Each simulated
//! workload manager is one [`sanddyke::Scheduler`].
//!
//! [`session`] reads batches of lines and answers each, [`lines`] splits a line into its fields, [`instance`] converts
//! the lines for one manager into events of its scheduler, and [`actions`] writes the scheduler's actions.
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
