//! The workload manager's executable: parses the command line, and runs the server or another command.
#![forbid(unsafe_code)]

mod cli;
mod server;

use clap::Parser;
use cli::{Arguments, Command};
use sanddyke::clock::Clock;
use sanddyke::config::{Config, Source};
use sanddyke_socket_activation::{parse_descriptor, take_listener};
use server::{ACCEPT_FD_VARIABLE, ServerError, StartOptions};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::ExitCode;

fn main() -> ExitCode {
    let Arguments { config, command } = Arguments::parse();
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    match command.unwrap_or(Command::Serve) {
        Command::Serve => match serve(config) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                log::error!("{error}");
                ExitCode::FAILURE
            }
        },
        other => match cli::run(other, config) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("sanddyke: {error}");
                error.code()
            }
        },
    }
}

/// Reads the configuration and runs the server on this thread until its graceful shutdown is complete.
fn serve(config_file: Option<PathBuf>) -> Result<(), ServerError> {
    let source = config_file.map_or(Source::Environment, Source::File);
    let clock = Clock::start();
    let config = Config::load(&source, &clock)?;
    // Must come before anything else is opened: if no socket was inherited, no descriptor with the number may be open.
    let inherited_listener = inherit_listener(config.listen)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(server::run(StartOptions { source, clock, config, inherited_listener }))
}

/// Returns the inherited listening socket for HTTP clients, or `None` if the process was started without one.
fn inherit_listener(address: Option<SocketAddr>) -> Result<Option<TcpListener>, ServerError> {
    let Ok(descriptor) = std::env::var(ACCEPT_FD_VARIABLE) else { return Ok(None) };
    let address = address.ok_or(ServerError::InheritedSocketWithoutAddress)?;
    let descriptor = parse_descriptor(&descriptor)?;
    Ok(Some(take_listener(descriptor, address)?))
}
