//! `sanddykectl`: operates the tenants, groups, tokens, engines and requests of a running service.
//!
//! It prints tables, or JSON with `--json`. Only complete results are written to standard output; errors are written to
//! standard error.
#![forbid(unsafe_code)]

mod arguments;
mod commands;
mod error;
mod profile;
mod table;

use arguments::Arguments;
use clap::Parser;
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    match commands::run(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("sanddykectl: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}
