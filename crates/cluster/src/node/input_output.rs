//! Inputs and outputs of a node.

use crate::lease_holder::LeaseEffect;
use crate::membership::Member;
use crate::rolling_restart::{MemberStatus, ReportedStatus, RestartStep};
use std::net::SocketAddr;

/// An input of a node.
#[derive(Debug)]
pub enum Input<'a> {
    /// Time has passed. The caller passes this input at least once in [`crate::voter::TICK_US`].
    Tick,
    /// An encoded message was received from another manager.
    Message(&'a [u8]),
    /// The work under a lease that is being handed over is finished.
    WorkFinished {
        /// Name of the lease.
        lease: &'a str,
    },
    /// Save the progress of the work under a lease.
    SaveCheckpoint {
        /// Name of the lease.
        lease: &'a str,
        /// Log index of the checkpoint that the new one is derived from.
        based_on: u64,
        /// Text of the new checkpoint.
        checkpoint: String,
    },
    /// Send a step of a rolling restart to a manager. Ignored unless this manager holds the controller's lease.
    SendRestartStep {
        /// Name of the manager that is to apply the step.
        member: &'a str,
        /// What the manager is to do.
        step: RestartStep,
    },
    /// Report the status of this manager to the controller of a rolling restart.
    SendStatus {
        /// Address of the controller. It may be that of this manager.
        to: SocketAddr,
        /// Status of this manager at the time of the report.
        status: MemberStatus,
    },
    /// Hand over one lease.
    HandOver {
        /// Name of the lease.
        lease: &'a str,
    },
    /// Start (`true`) or end (`false`) draining. A draining manager hands over all its leases and acquires none.
    SetDraining(bool),
    /// This manager leaves the fleet.
    Leave,
}

/// An output of a node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Send a message. It may be lost.
    Send {
        /// Address of the recipient.
        to: SocketAddr,
        /// The encoded message.
        bytes: Vec<u8>,
    },
    /// A change of a lease. The node handles [`LeaseEffect::Submit`] itself and does not output it.
    Lease(LeaseEffect),
    /// A member joined, or became reachable again.
    MemberUp(Member),
    /// A member left or does not respond.
    MemberDown(Member),
    /// Apply a step of a rolling restart to this process, and report the status with [`Input::SendStatus`].
    RestartStep {
        /// Address to which the status is reported.
        reply_to: SocketAddr,
        /// What this process is to do.
        step: RestartStep,
    },
    /// A manager reported its status to this one.
    MemberStatus(ReportedStatus),
    /// An event that the caller logs.
    LogEvent(LogEvent),
}

/// An event that is logged and has no other effect on the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LogEvent {
    /// The other members had considered this manager down, and it rejoined as the same incarnation.
    Rejoined,
    /// A message was not sent, because it exceeds [`super::MAX_MESSAGE_BYTES`].
    MessageTooLong,
    /// The voter of this manager has started to vote.
    VotingStarted {
        /// Number of voters of the group, including this one, as far as this manager knows.
        voters: usize,
    },
    /// The voter of this manager can't start to vote.
    VoteUnavailable {
        /// Cause, as text for operators.
        reason: String,
    },
    /// The voter of this manager has stopped voting.
    VotingStopped {
        /// Cause, as text for operators.
        reason: String,
    },
    /// The leader of the voters changed, or is no longer known.
    LeaderChanged {
        /// Name of the manager whose voter is the leader; `None` if no leader is known.
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
