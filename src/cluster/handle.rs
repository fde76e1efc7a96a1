//! [`Cluster`], the handle through which the tasks of this process send commands to the node and read its latest state.

use super::{ClusterView, HeldLeases};
use crate::clock::Clock;
#[cfg(feature = "cluster")]
use sanddyke_cluster::rolling_restart::{MemberStatuses, RestartStep};
use std::sync::Arc;
use thiserror::Error;
use tokio::sync::{mpsc, oneshot, watch};

/// A command to the node. The node driver executes it.
#[cfg_attr(not(feature = "cluster"), allow(dead_code))]
#[derive(Debug)]
pub(super) enum NodeCommand {
    SaveCheckpoint {
        lease: String,
        based_on: u64,
        checkpoint: String,
    },
    #[cfg(feature = "cluster")]
    SendRestartStep {
        member: String,
        step: RestartStep,
    },
    WorkFinished {
        lease: String,
    },
    HandOver {
        lease: String,
        reply: Reply,
    },
    Admit {
        voter: String,
        reply: Reply,
    },
    SetDraining(bool),
    Leave {
        reply: oneshot::Sender<()>,
    },
}

/// Channel for the result of a command.
pub(super) type Reply = oneshot::Sender<Result<(), CommandError>>;

/// Why a command was rejected. The administration API returns these texts.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum CommandError {
    /// The lease can't be handed over, because this manager does not hold it.
    #[error("{lease} is not held here")]
    NotHeld {
        /// Name of the lease that the command referred to.
        lease: String,
    },
    /// The voter was not admitted: this manager is not the leader, or the voter is not waiting for admission.
    #[error("{reason}")]
    AdmissionRejected {
        /// Cause, as text for operators.
        reason: String,
    },
    /// The node driver stopped before it replied, because this process is shutting down.
    #[error("the program ends")]
    ShuttingDown,
}

/// A checkpoint of a lease, and the index of the log entry that saved it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Checkpoint {
    /// Index of the log entry; 0 if there is no checkpoint.
    pub index: u64,
    /// Progress of the work under the lease, in the format of the task that does this work. Empty if there is none.
    pub text: String,
}

/// Handle to the fleet. All clones refer to the node of this process.
#[derive(Debug, Clone)]
pub struct Cluster {
    pub(super) commands: mpsc::Sender<NodeCommand>,
    pub(super) view: watch::Receiver<Arc<ClusterView>>,
    pub(super) held: watch::Receiver<HeldLeases>,
    #[cfg(feature = "cluster")]
    pub(super) statuses: watch::Receiver<MemberStatuses>,
    pub(super) name: Arc<str>,
    pub(super) clock: Clock,
}

impl Cluster {
    /// The latest published view of the fleet, as this manager sees it.
    pub fn view(&self) -> Arc<ClusterView> {
        self.view.borrow().clone()
    }

    /// Returns the fencing token for an operation under the lease; `None` if no operation may begin now, because this
    /// manager does not hold the lease, it has expired, or it is being handed over. To be called right before each
    /// operation.
    pub fn fencing_token_for_operation(&self, lease: &str) -> Option<u64> {
        let now_us = self.clock.now().0.unsigned_abs();
        let held = self.held.borrow();
        let held = held.get(lease)?;
        (now_us < held.expires_at_us && !held.is_finishing).then_some(held.fencing_token)
    }

    /// The configured name of this manager.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// The latest checkpoint of a lease that this manager knows. Index 0 and an empty text if it knows none.
    pub fn checkpoint(&self, lease: &str) -> Checkpoint {
        let view = self.view.borrow();
        let lease = view.lease(lease);
        lease.map_or_else(Checkpoint::default, |lease| Checkpoint {
            index: lease.checkpoint_index,
            text: lease.checkpoint.clone(),
        })
    }

    /// The latest status that each manager has reported to this one, by manager.
    #[cfg(feature = "cluster")]
    pub fn statuses(&self) -> MemberStatuses {
        self.statuses.borrow().clone()
    }

    /// Sends a step of a rolling restart to the manager named `member`. Does nothing unless this manager holds the
    /// lease.
    #[cfg(feature = "cluster")]
    pub async fn send_restart_step(&self, member: &str, step: RestartStep) {
        self.send(NodeCommand::SendRestartStep { member: member.to_owned(), step }).await;
    }

    async fn send(&self, command: NodeCommand) {
        // Sending fails only if the driver's thread has ended, and this thread runs until the process exits.
        let _shutting_down = self.commands.send(command).await;
    }

    async fn call(&self, command: impl FnOnce(Reply) -> NodeCommand) -> Result<(), CommandError> {
        let (reply, result) = oneshot::channel();
        self.send(command(reply)).await;
        result.await.unwrap_or(Err(CommandError::ShuttingDown))
    }

    /// Requests that a checkpoint be saved. The voters reject it if another checkpoint was saved after the one at log
    /// index `based_on`.
    pub async fn save_checkpoint(&self, lease: &str, based_on: u64, checkpoint: String) {
        self.send(NodeCommand::SaveCheckpoint { lease: lease.to_owned(), based_on, checkpoint }).await;
    }

    /// Reports that the work under a lease that is being handed over is finished, so the lease can be released.
    pub async fn work_finished(&self, lease: &str) {
        self.send(NodeCommand::WorkFinished { lease: lease.to_owned() }).await;
    }

    /// Starts the handover of a lease from this manager to the next one.
    ///
    /// # Errors
    /// If this manager does not hold the lease.
    pub async fn hand_over(&self, lease: &str) -> Result<(), CommandError> {
        self.call(|reply| NodeCommand::HandOver { lease: lease.to_owned(), reply }).await
    }

    /// Admits a voter whose file was lost. It joins the group under its new id.
    ///
    /// # Errors
    /// If this manager is not the leader, or the voter is not waiting for admission.
    pub async fn admit(&self, voter: &str) -> Result<(), CommandError> {
        self.call(|reply| NodeCommand::Admit { voter: voter.to_owned(), reply }).await
    }

    /// Starts (`true`) or ends (`false`) draining. A draining manager hands over all its leases and acquires none.
    pub async fn set_draining(&self, is_draining: bool) {
        self.send(NodeCommand::SetDraining(is_draining)).await;
    }

    /// Leaves the fleet. Returns once this manager holds no lease and the messages to the other managers are queued.
    pub async fn leave(&self) {
        let (reply, left) = oneshot::channel();
        self.send(NodeCommand::Leave { reply }).await;
        let _shutting_down = left.await;
    }
}
