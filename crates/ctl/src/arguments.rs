//! The command line.

use clap::{Args, Parser, Subcommand};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::path::PathBuf;

const CODES: &str = "Exit codes: 0 done; 1 output can't be written; 2 the command line is wrong; 3 a file can't be \
used; 4 the service can't be reached; 5 the token does not allow it; 6 not there; 7 another change came first, or it \
is there already; 8 refused otherwise; 9 the service failed.\n\nThe profile file is \
~/.config/sanddyke/ctl.toml:\n  [profiles.default]\n  url = \"https://sanddyke.example:8081\"\n  \
token_file = \"/home/me/.config/sanddyke/token\"\n  ca = \"/etc/ssl/sanddyke-ca.pem\"\n\nExamples:\n  \
sanddykectl tenants list\n  sanddykectl tenants create glannau --weight 3 --limit requests_per_s=50\n  \
sanddykectl tenants plan glannau --weight 5\n  sanddykectl --json shares";

/// Operate a running sanddyke.
#[derive(Debug, Parser)]
#[command(version, after_help = CODES)]
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

/// The file of profiles.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Profiles {
    pub profiles: BTreeMap<String, Profile>,
}

/// Where a service is, and who calls.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Profile {
    pub url: Option<String>,
    pub token_file: Option<PathBuf>,
    pub ca: Option<PathBuf>,
    pub certificate: Option<PathBuf>,
    pub private_key: Option<PathBuf>,
}

#[derive(Debug, Subcommand)]
pub enum Command {
    /// Tenants.
    #[command(subcommand)]
    Tenants(Tenants),
    /// Groups of tenants.
    #[command(subcommand)]
    Groups(Groups),
    /// Tokens of the administration API.
    #[command(subcommand)]
    Tokens(Tokens),
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
    Fleet(Fleet),
    /// Print a shell's completions.
    #[command(after_help = "Example:\n  sanddykectl completions bash > /etc/bash_completion.d/sanddykectl")]
    Completions {
        /// The shell.
        shell: clap_complete::Shell,
    },
}

/// What a tenant is; what is not given stays, or has its default.
#[derive(Debug, Default, Args)]
pub struct Spec {
    /// Weight among its siblings.
    #[arg(long)]
    pub weight: Option<f64>,
    /// Requests a second that count as within its share.
    #[arg(long)]
    pub quota_rps: Option<f64>,
    /// Its group; empty for none.
    #[arg(long)]
    pub group: Option<String>,
    /// A limit as KEY=VALUE, an empty value takes it away: requests_per_s, burst, open_requests,
    /// statement_bytes, result_bytes, classes, time_budget_ms.
    #[arg(long = "limit", value_name = "KEY=VALUE")]
    pub limits: Vec<String>,
    /// A label as KEY=VALUE, an empty value takes it away.
    #[arg(long = "label", value_name = "KEY=VALUE")]
    pub labels: Vec<String>,
}

#[derive(Debug, Subcommand)]
pub enum Fleet {
    /// The fleet as the manager that is asked sees it.
    Show,
    /// Hand a duty over to the next in order: asked of its holder.
    #[command(after_help = "Example:\n  sanddykectl --profile m2 fleet hand-over backup")]
    HandOver {
        /// The duty.
        duty: String,
    },
    /// Let a voter in whose file was lost, under its new number: asked of the leader. Never where the old file may come
    /// back: two voters would stand for one.
    Admit {
        /// The voter's name.
        name: String,
    },
    /// Have managers take turns at being drained: asked of the holder of the duty `warden`.
    #[command(
        after_help = "Examples:\n  sanddykectl fleet roll\n  sanddykectl fleet roll --restart --most 2"
    )]
    Roll {
        /// Restart them: what runs them must start them again.
        #[arg(long)]
        restart: bool,
        /// So many at once, all of one zone.
        #[arg(long, default_value_t = 1)]
        most: usize,
    },
    /// Begin no further turns of the roll for now.
    Pause,
    /// Go on with the roll.
    Resume,
    /// Take the roll back: those whose turn it is go back to work.
    TakeBack,
}

#[derive(Debug, Subcommand)]
pub enum Tenants {
    /// All tenants.
    #[command(after_help = "Example:\n  sanddykectl tenants list --state suspended")]
    List {
        /// Of one state: active, suspended, draining.
        #[arg(long)]
        state: Option<String>,
        /// Of one group.
        #[arg(long)]
        group: Option<String>,
    },
    /// One tenant, with its share and what is under way.
    Show {
        /// Its name.
        name: String,
    },
    /// Make a tenant.
    #[command(
        after_help = "Example:\n  sanddykectl tenants create glannau --weight 3 --limit open_requests=40"
    )]
    Create {
        /// Its name.
        name: String,
        #[command(flatten)]
        spec: Spec,
        /// A key under which this may be tried again: one tenant is made.
        #[arg(long)]
        key: Option<String>,
    },
    /// Change a tenant; what is not given stays.
    #[command(after_help = "Example:\n  sanddykectl tenants set glannau --weight 5 --limit burst=")]
    Set {
        /// Its name.
        name: String,
        #[command(flatten)]
        spec: Spec,
    },
    /// Refuse its new requests until it is resumed.
    Suspend {
        /// Its name.
        name: String,
    },
    /// Take its requests again.
    Resume {
        /// Its name.
        name: String,
    },
    /// Refuse its new requests for good, before it is removed.
    Drain {
        /// Its name.
        name: String,
    },
    /// Remove it; what is under way is answered.
    Remove {
        /// Its name.
        name: String,
    },
    /// Tell what a change would do to everyone's share, and change nothing.
    #[command(
        after_help = "Examples:\n  sanddykectl tenants plan glannau --weight 5\n  sanddykectl tenants plan new \
--create --weight 2\n  sanddykectl tenants plan glannau --remove"
    )]
    Plan {
        /// Its name.
        name: String,
        #[command(flatten)]
        spec: Spec,
        /// If it were removed.
        #[arg(long, conflicts_with = "create")]
        remove: bool,
        /// If it were made.
        #[arg(long)]
        create: bool,
    },
}

#[derive(Debug, Subcommand)]
pub enum Groups {
    /// All groups.
    List,
    /// One group.
    Show {
        /// Its name.
        name: String,
    },
    /// Make a group.
    #[command(after_help = "Example:\n  sanddykectl groups create county --weight 2")]
    Create {
        /// Its name.
        name: String,
        /// Its weight.
        #[arg(long)]
        weight: Option<f64>,
    },
    /// Change a group's weight.
    Set {
        /// Its name.
        name: String,
        /// Its weight.
        #[arg(long)]
        weight: f64,
    },
    /// Remove a group that has no members.
    Remove {
        /// Its name.
        name: String,
    },
}

#[derive(Debug, Subcommand)]
pub enum Tokens {
    /// All tokens, without their secrets.
    List,
    /// Make a token; its secret is printed this once.
    #[command(
        after_help = "Example:\n  sanddykectl tokens create tenant_admin --tenant glannau --note portal"
    )]
    Create {
        /// operator, viewer or tenant_admin.
        role: String,
        /// A tenant that a tenant_admin is bound to.
        #[arg(long = "tenant")]
        tenants: Vec<String>,
        /// Words of your own.
        #[arg(long, default_value = "")]
        note: String,
        /// When it ends (Unix time, ms).
        #[arg(long)]
        expires_ms: Option<u64>,
    },
    /// Give a token another secret.
    Rotate {
        /// Its id.
        id: String,
        /// How long the old secret is taken still (s).
        #[arg(long, default_value_t = 300)]
        overlap_s: u64,
    },
    /// Take a token back at once.
    Remove {
        /// Its id.
        id: String,
    },
}
