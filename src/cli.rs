//! The command line: `serve` is what the program is for, the others help to run it.

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

/// Why a command failed.
#[derive(Debug, Error)]
pub enum Failed {
    /// The configuration can't be used.
    #[error("{0}")]
    Config(#[from] ConfigError),
    /// The store can't be used.
    #[error("{0}")]
    Store(#[from] StoreError),
    /// The changes are refused.
    #[error("nothing was changed: {0}")]
    Refused(#[from] ChangeError),
    /// The document can't be used.
    #[error("{0}: {1}")]
    Document(PathBuf, String),
    /// Output can't be written.
    #[error("{0}")]
    Output(#[from] std::io::Error),
}

impl Failed {
    /// The exit code.
    pub fn code(&self) -> ExitCode {
        match self {
            Failed::Output(_) => ExitCode::FAILURE,
            Failed::Config(_) => ExitCode::from(3),
            Failed::Store(_) => ExitCode::from(4),
            Failed::Refused(_) | Failed::Document(..) => ExitCode::from(5),
        }
    }
}

fn print(text: &str) -> Result<(), Failed> {
    let mut out = std::io::stdout().lock();
    out.write_all(text.as_bytes())?;
    Ok(out.flush()?)
}

fn document(path: &Path) -> Result<Document, Failed> {
    let wrong = |why: String| Failed::Document(path.to_owned(), why);
    let text = match path.as_os_str() == "-" {
        true => std::io::read_to_string(std::io::stdin()),
        false => std::fs::read_to_string(path),
    };
    let text = text.map_err(|error| wrong(error.to_string()))?;
    let document: Document = toml::from_str(&text).map_err(|error| wrong(error.to_string()))?;
    match document.format {
        FORMAT => Ok(document),
        other => Err(wrong(format!("format: must be {FORMAT}, is {other}"))),
    }
}

/// Runs a command other than `serve`.
pub fn run(command: Command, config: Option<PathBuf>) -> Result<(), Failed> {
    match command {
        Command::Serve => Ok(()),
        Command::Check { file } => {
            let read = Config::from(&Source::File(config.unwrap_or(file)), &Clock::start())?;
            let tenants = read.front.tenants.len();
            let classes = read.front.classes.join(", ");
            print(&format!("{}: good: {tenants} tenants, classes {classes}\n", read.name))
        }
        Command::Schema => print(&format!("{:#}\n", config::schema())),
        Command::Openapi => print(&format!("{:#}\n", openapi::openapi())),
        Command::Export { store } => {
            let (_, loaded) = Store::open_existing(&store)?;
            let text = toml::to_string(&Document::of(&loaded.registry));
            print(&text.map_err(|error| Failed::Document(store, error.to_string()))?)
        }
        Command::Import { store, document: path, prune, dry_run } => {
            let meant = document(&path)?;
            let (store, loaded) = Store::open(&store)?;
            let plan = loaded.registry.plan(&meant.changes(&loaded.registry, prune))?;
            let many = plan.records.len();
            if dry_run {
                return print(&format!("{many} changes would be made, {} shares moved\n", plan.moved.len()));
            }
            if many > 0 {
                let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
                let at_ms = u64::try_from(now.as_millis()).unwrap_or(u64::MAX);
                store.commit(&Commit::of("import", at_ms, &plan.after, plan.records))?;
            }
            print(&format!("{many} changes made\n"))
        }
        Command::Backup { store, to } => {
            let (store, _) = Store::open_existing(&store)?;
            store.backup(&to)?;
            print(&format!("{}\n", to.display()))
        }
        Command::Restore { backup, store } => {
            let kept = sanddyke_store::restore(&backup, &store)?;
            let kept = kept.map_or(String::new(), |kept| format!("; what was there is {}", kept.display()));
            print(&format!("{} is restored{kept}\n", store.display()))
        }
    }
}
