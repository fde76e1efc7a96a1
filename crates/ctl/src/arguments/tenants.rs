//! Types of the sub-commands of `tenants`. Their doc comments are the help texts.

use clap::{Args, Subcommand};

/// What a tenant is; what is not given stays, or has its default.
#[derive(Debug, Default, Args)]
pub struct TenantSpec {
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
pub enum TenantCommand {
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
        spec: TenantSpec,
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
        spec: TenantSpec,
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
        spec: TenantSpec,
        /// If it were removed.
        #[arg(long, conflicts_with = "create")]
        remove: bool,
        /// If it were made.
        #[arg(long)]
        create: bool,
    },
}
