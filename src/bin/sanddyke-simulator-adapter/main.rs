//! The decisions of `sanddyke` on the simulator's wire: one [`sanddyke::Gateway`] for each
//! simulated front, fed from standard input.
#![forbid(unsafe_code)]

mod wire;

use std::io::{self, BufWriter, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    let stdin = io::stdin().lock();
    let mut stdout = BufWriter::new(io::stdout().lock());
    let result = wire::run(stdin, &mut stdout).and_then(|()| stdout.flush().map_err(|e| e.to_string()));
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("sanddyke-simulator-adapter: {message}");
            ExitCode::FAILURE
        }
    }
}
