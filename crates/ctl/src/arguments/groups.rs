//! Types of the sub-commands of `groups`. Their doc comments are the help texts.

use clap::Subcommand;

#[derive(Debug, Subcommand)]
pub enum GroupCommand {
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
