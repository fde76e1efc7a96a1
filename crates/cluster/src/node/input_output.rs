//! Inputs and outputs of a node.

use crate::lease_holder::LeaseEffect;
use crate::membership::Member;
use crate::rolling_restart::{MemberStatus, ReportedStatus, RestartStep};
use std::net::SocketAddr;

/// An input of a node.
#[derive(Debug)]
pub enum Input<'a> {
    /// Time has passed: at least once in [`crate::voter::TICK_US`].
    Tick,
    /// A message was received.
    Message(&'a [u8]),
    /// The work of a lease that is being handed over is finished.
    WorkFinished {
        /// Name of the lease.
        lease: &'a str,
    },
    /// Save the progress of a lease's work.
    SaveCheckpoint {
        /// Name of the lease.
        lease: &'a str,
        /// Index of the checkpoint that the new one was derived from.
        based_on: u64,
        /// The new checkpoint.
        checkpoint: String,
    },
    /// Send a manager a step of a rolling restart. Ignored unless this manager holds the lease.
    SendRestartStep {
        /// Name of the manager.
        member: &'a str,
        /// The step.
        step: RestartStep,
    },
    /// Report the status of this manager.
    SendStatus {
        /// Address of the controller of the rolling restart.
        to: SocketAddr,
        /// The status.
        status: MemberStatus,
    },
    /// Hand one lease over.
    HandOver {
        /// Name of the lease.
        lease: &'a str,
    },
    /// Hand all leases over and acquire none (`true`), or acquire leases again (`false`).
    SetDraining(bool),
    /// This manager leaves the fleet.
    Leave,
}

/// An output of a node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Send a message. It may be lost.
    Send {
        /// Its recipient.
        to: SocketAddr,
        /// The encoded message.
        bytes: Vec<u8>,
    },
    /// A change of a lease. [`LeaseEffect::Submit`] is handled by the node itself.
    Lease(LeaseEffect),
    /// A member joined.
    MemberUp(Member),
    /// A member left or does not respond.
    MemberDown(Member),
    /// Take a step of a rolling restart, and report the status.
    RestartStep {
        /// Where to report it.
        reply_to: SocketAddr,
        /// The step.
        step: RestartStep,
    },
    /// A manager reported its status.
    MemberStatus(ReportedStatus),
    /// An event for the log.
    LogEvent(LogEvent),
}

/// An event for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LogEvent {
    /// The other members had considered this manager down; it rejoined.
    Rejoined,
    /// A message exceeds the limit and is not sent.
    MessageTooLong,
    /// This manager votes.
    VotingStarted {
        /// Number of voters of the group, as far as it is known.
        voters: usize,
    },
    /// This manager is set up as a voter and does not vote.
    VoteUnavailable {
        /// Why not.
        reason: String,
    },
    /// This manager no longer votes.
    VotingStopped {
        /// Why not.
        reason: String,
    },
    /// The voters have another leader, or none.
    LeaderChanged {
        /// Name of the leader's manager.
        leader: Option<String>,
    },
}

impl std::fmt::Display for LogEvent {
    /// The text of the log line.
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            LogEvent::Rejoined => {
                out.write_str("rejoined after the other members considered this manager down")
            }
            LogEvent::MessageTooLong => out.write_str("a message exceeds the size limit and is not sent"),
            LogEvent::VotingStarted { voters } => write!(out, "voting started in a group of {voters}"),
            LogEvent::VoteUnavailable { reason } => write!(out, "no vote: {reason}"),
            LogEvent::VotingStopped { reason } => write!(out, "voting stopped: {reason}"),
            LogEvent::LeaderChanged { leader } => {
                write!(out, "leader of the voters: {}", leader.as_deref().unwrap_or("none"))
            }
        }
    }
}
