//! Types of the sub-commands of `fleet`. Their doc comments are the help texts.

use clap::Subcommand;

#[derive(Debug, Subcommand)]
pub enum FleetCommand {
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
