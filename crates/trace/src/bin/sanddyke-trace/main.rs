//! `sanddyke-trace`: inspects, recovers, cuts, anonymises, merges, summarises and generates trace files.
#![forbid(unsafe_code)]

mod arguments;
mod commands;
mod error;
mod files;
mod output;

use arguments::Arguments;
use clap::Parser;
use error::CommandError;
use std::io::{BufWriter, ErrorKind, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let mut out = BufWriter::new(std::io::stdout().lock());
    let result = commands::run(&arguments, &mut out).and_then(|()| Ok(out.flush()?));
    match result {
        Ok(()) => ExitCode::SUCCESS,
        // The reader of a pipe, such as `head`, has read enough.
        Err(CommandError::Output(error)) if error.kind() == ErrorKind::BrokenPipe => ExitCode::SUCCESS,
        Err(error) => {
            // What was printed before the error is of use; a failure to print it adds nothing to the error.
            let _ = out.flush();
            eprintln!("sanddyke-trace: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}
