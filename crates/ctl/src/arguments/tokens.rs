//! Types of the sub-commands of `tokens`. Their doc comments are the help texts.

use clap::Subcommand;

#[derive(Debug, Subcommand)]
pub enum TokenCommand {
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
