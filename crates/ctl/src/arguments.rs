//! Types of the command line, with a module for each resource. Their doc comments are the help texts.

mod fleet;
mod groups;
mod tenants;
mod tokens;

pub use fleet::FleetCommand;
pub use groups::GroupCommand;
pub use tenants::{TenantCommand, TenantSpec};
pub use tokens::TokenCommand;

use clap::{Parser, Subcommand};
use std::path::PathBuf;

const AFTER_HELP: &str = "Exit codes: 0 done; 1 output can't be written; 2 the command line is wrong; 3 a file can't be \
used; 4 the service can't be reached; 5 the token does not allow it; 6 not there; 7 another change came first, or it \
is there already; 8 refused otherwise; 9 the service failed.\n\nThe profile file is \
~/.config/sanddyke/ctl.toml:\n  [profiles.default]\n  url = \"https://sanddyke.example:8081\"\n  \
token_file = \"/home/me/.config/sanddyke/token\"\n  ca = \"/etc/ssl/sanddyke-ca.pem\"\n\nExamples:\n  \
sanddykectl tenants list\n  sanddykectl tenants create glannau --weight 3 --limit requests_per_s=50\n  \
sanddykectl tenants plan glannau --weight 5\n  sanddykectl --json shares";

/// Operate a running sanddyke.
#[derive(Debug, Parser)]
#[command(version, after_help = AFTER_HELP)]
pub struct Arguments {
    /// The service's address, as https://host:port.
    #[arg(long, global = true, env = "SANDDYKE_URL")]
    pub url: Option<String>,
    /// A file that holds the bearer token.
    #[arg(long, global = true, env = "SANDDYKE_TOKEN_FILE")]
    pub token_file: Option<PathBuf>,
    /// The bearer token, from the environment only: a command line can be seen by others.
    #[arg(long, hide = true, env = "SANDDYKE_TOKEN", hide_env_values = true)]
    pub token: Option<String>,
    /// The file of profiles.
    #[arg(long, global = true, env = "SANDDYKECTL_PROFILES", value_name = "FILE")]
    pub profiles: Option<PathBuf>,
    /// The profile to use; "default", or the only one.
    #[arg(long, global = true, env = "SANDDYKECTL_PROFILE", value_name = "NAME")]
    pub profile: Option<String>,
    /// Print JSON.
    #[arg(long, global = true)]
    pub json: bool,
    #[command(subcommand)]
    pub command: Command,
}

#[derive(Debug, Subcommand)]
pub enum Command {
    /// Tenants.
    #[command(subcommand)]
    Tenants(TenantCommand),
    /// Groups of tenants.
    #[command(subcommand)]
    Groups(GroupCommand),
    /// Tokens of the administration API.
    #[command(subcommand)]
    Tokens(TokenCommand),
    /// The effective share of each tenant.
    Shares,
    /// Who the token is.
    Whoami,
    /// Engines.
    Engines,
    /// Open requests.
    Requests,
    /// End an open request: its client is answered at once.
    #[command(after_help = "Example:\n  sanddykectl cancel 00000000000000a7")]
    Cancel {
        /// The client's name for it, as `requests` shows it.
        name: String,
    },
    /// Who changed what, the newest first.
    #[command(after_help = "Example:\n  sanddykectl audit --tenant glannau --last 20")]
    Audit {
        /// Of one tenant only.
        #[arg(long)]
        tenant: Option<String>,
        /// So many entries.
        #[arg(long, default_value_t = 50)]
        last: usize,
    },
    /// Print changes as they come, one JSON object a line.
    #[command(after_help = "Example:\n  sanddykectl watch --after 120 | tee changes.jsonl")]
    Watch {
        /// Begin after this generation; from now on where it is absent.
        #[arg(long)]
        after: Option<u64>,
        /// End after so many.
        #[arg(long)]
        count: Option<usize>,
    },
    /// Print all tenants and groups as TOML.
    Export,
    /// Make tenants and groups agree with TOML, all at once.
    #[command(after_help = "Example:\n  sanddykectl import tenants.toml --prune --dry-run")]
    Import {
        /// The document; `-` for standard input.
        file: PathBuf,
        /// Remove what it does not name.
        #[arg(long)]
        prune: bool,
        /// Tell what it would do, and change nothing.
        #[arg(long)]
        dry_run: bool,
    },
    /// Write a backup of the store into the service's folder for them.
    Backup,
    /// The fleet: members, voters, duties and their holders, rolls.
    #[command(subcommand)]
    Fleet(FleetCommand),
    /// Print a shell's completions.
    #[command(after_help = "Example:\n  sanddykectl completions bash > /etc/bash_completion.d/sanddykectl")]
    Completions {
        /// The shell.
        shell: clap_complete::Shell,
    },
}
