//! The command line. `serve` runs the server; the other commands check configurations and manage stores. Doc comments
//! of arguments and commands are the help texts.

use clap::{Parser, Subcommand};
use sanddyke::admin::openapi;
use sanddyke::clock::Clock;
use sanddyke::config::{self, Config, ConfigError, Source};
use sanddyke_store::{Commit, Store, StoreError};
use sanddyke_tenancy::{ChangeError, Document, FORMAT};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{SystemTime, UNIX_EPOCH};
use thiserror::Error;

/// A workload manager in front of query engines with limited memory.
#[derive(Debug, Parser)]
#[command(version, after_help = EXIT_CODES)]
pub struct Arguments {
    /// The configuration: TOML, or JSON where its name ends in .json. Without it, the files that LB_CONFIG or
    /// SANDDYKE_CONFIG name.
    #[arg(long, global = true, value_name = "FILE")]
    pub config: Option<PathBuf>,
    #[command(subcommand)]
    pub command: Option<Command>,
}

const EXIT_CODES: &str = "Exit codes: 0 done; 1 the program could not go on; 2 the command line is wrong; \
3 the configuration can't be used; 4 the store can't be used; 5 a change was refused.\n\n\
Examples:\n  sanddyke --config deploy/operator.toml\n  sanddyke check deploy/hosted.toml\n  \
sanddyke export /var/lib/sanddyke/state.redb > tenants.toml";

/// What to do.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Serve clients until SIGTERM (the default).
    Serve,
    /// Say whether a configuration can be used, and name the key that can't.
    #[command(after_help = "Example:\n  sanddyke check deploy/hosted.toml && systemctl reload sanddyke")]
    Check {
        /// The configuration.
        file: PathBuf,
    },
    /// Print the JSON schema of the configuration.
    Schema,
    /// Print the OpenAPI document of the administration API.
    Openapi,
    /// Print the tenants and groups of a store as TOML. The program must not have it open: there,
    /// `sanddykectl export` does this.
    #[command(after_help = "Example:\n  sanddyke export state.redb > tenants.toml")]
    Export {
        /// The store.
        store: PathBuf,
    },
    /// Make the tenants and groups of a store agree with TOML, all at once. The store is made where it is not
    /// there.
    #[command(after_help = "Example:\n  sanddyke import state.redb tenants.toml --prune --dry-run")]
    Import {
        /// The store.
        store: PathBuf,
        /// The document, as `export` prints it; `-` for standard input.
        document: PathBuf,
        /// Remove what the document does not name.
        #[arg(long)]
        prune: bool,
        /// Say what would be changed, and change nothing.
        #[arg(long)]
        dry_run: bool,
    },
    /// Write a copy of a store that no process has open. Where the program runs, `sanddykectl backup` does this.
    Backup {
        /// The store.
        store: PathBuf,
        /// The copy; there must be no such file.
        to: PathBuf,
    },
    /// Put a backup in a store's place; what was there is kept beside it.
    Restore {
        /// The backup.
        backup: PathBuf,
        /// The store.
        store: PathBuf,
    },
}

/// Exit code: the configuration is invalid or can't be read.
const EXIT_CONFIG: u8 = 3;
/// Exit code: the store can't be opened, read or written.
const EXIT_STORE: u8 = 4;
/// Exit code: a change or a document was rejected.
const EXIT_CHANGE_REJECTED: u8 = 5;

/// An error that ends a command.
#[derive(Debug, Error)]
pub enum CommandError {
    /// The configuration is invalid or can't be read.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The store can't be opened, read or written.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// A change of the document is not allowed, so none is made.
    #[error("no change was made: {0}")]
    ChangeRejected(#[from] ChangeError),
    /// A document of tenants can't be read, parsed or serialized.
    #[error("{path}: {reason}", path = .path.display())]
    Document {
        /// The file of the document, or the store from which it was exported.
        path: PathBuf,
        /// The error message of the cause.
        reason: String,
    },
    /// The standard output can't be written.
    #[error(transparent)]
    Output(#[from] std::io::Error),
}

impl CommandError {
    /// Returns the exit code of the process.
    pub fn code(&self) -> ExitCode {
        match self {
            CommandError::Output(_) => ExitCode::FAILURE,
            CommandError::Config(_) => ExitCode::from(EXIT_CONFIG),
            CommandError::Store(_) => ExitCode::from(EXIT_STORE),
            CommandError::ChangeRejected(_) | CommandError::Document { .. } => {
                ExitCode::from(EXIT_CHANGE_REJECTED)
            }
        }
    }
}

/// Runs a command other than `serve`.
pub fn run(command: Command, config: Option<PathBuf>) -> Result<(), CommandError> {
    match command {
        Command::Serve => Ok(()),
        Command::Check { file } => check(config.unwrap_or(file)),
        Command::Schema => print(&format!("{:#}\n", config::schema())),
        Command::Openapi => print(&format!("{:#}\n", openapi::openapi())),
        Command::Export { store } => export(store),
        Command::Import { store, document, prune, dry_run } => import(&store, &document, prune, dry_run),
        Command::Backup { store, to } => backup(&store, &to),
        Command::Restore { backup, store } => restore(&backup, &store),
    }
}

fn check(file: PathBuf) -> Result<(), CommandError> {
    let config = Config::load(&Source::File(file), &Clock::start())?;
    let tenants = config.service_settings.tenants.len();
    let classes = config.service_settings.classes.join(", ");
    print(&format!("{}: good: {tenants} tenants, classes {classes}\n", config.name))
}

fn export(store: PathBuf) -> Result<(), CommandError> {
    let (_, loaded) = Store::open_existing(&store)?;
    let text = toml::to_string(&Document::of(&loaded.registry));
    print(&text.map_err(|error| CommandError::Document { path: store, reason: error.to_string() })?)
}

fn import(store: &Path, document: &Path, prune: bool, dry_run: bool) -> Result<(), CommandError> {
    let document = read_document(document)?;
    let (store, loaded) = Store::open(store)?;
    let plan = loaded.registry.plan(&document.changes(&loaded.registry, prune))?;
    let change_count = plan.records.len();
    if dry_run {
        let moved_count = plan.share_changes.len();
        return print(&format!("{change_count} changes would be made, {moved_count} shares moved\n"));
    }
    if change_count > 0 {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let now_ms = u64::try_from(now.as_millis()).unwrap_or(u64::MAX);
        store.commit(&Commit::of("import", now_ms, &plan.after, plan.records))?;
    }
    print(&format!("{change_count} changes made\n"))
}

fn backup(store: &Path, to: &Path) -> Result<(), CommandError> {
    let (store, _) = Store::open_existing(store)?;
    store.backup(to)?;
    print(&format!("{}\n", to.display()))
}

fn restore(backup: &Path, store: &Path) -> Result<(), CommandError> {
    let replaced = sanddyke_store::restore(backup, store)?;
    let suffix = replaced.map_or(String::new(), |path| format!("; what was there is {}", path.display()));
    print(&format!("{} is restored{suffix}\n", store.display()))
}

/// Reads a document of tenants and groups. The path `-` is the standard input.
fn read_document(path: &Path) -> Result<Document, CommandError> {
    let error = |reason: String| CommandError::Document { path: path.to_owned(), reason };
    let text = if path.as_os_str() == "-" {
        std::io::read_to_string(std::io::stdin())
    } else {
        std::fs::read_to_string(path)
    };
    let text = text.map_err(|source| error(source.to_string()))?;
    let document: Document = toml::from_str(&text).map_err(|source| error(source.to_string()))?;
    if document.format != FORMAT {
        return Err(error(format!("format: must be {FORMAT}, is {}", document.format)));
    }
    Ok(document)
}

fn print(text: &str) -> Result<(), CommandError> {
    let mut out = std::io::stdout().lock();
    out.write_all(text.as_bytes())?;
    Ok(out.flush()?)
}
