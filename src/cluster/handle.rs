//! The handle of the program's tasks to the fleet: commands to the node, and its latest state.

use super::{ClusterView, HeldLeases};
use crate::clock::Clock;
#[cfg(feature = "cluster")]
use sanddyke_cluster::rolling_restart::{MemberStatuses, RestartStep};
use std::sync::Arc;
use thiserror::Error;
use tokio::sync::{mpsc, oneshot, watch};

/// A command to the node, handled by its driver.
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

/// Where the result of a command is sent.
pub(super) type Reply = oneshot::Sender<Result<(), CommandError>>;

/// Why a command was rejected. The texts are those of the administration API.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum CommandError {
    /// The lease is not held by this manager.
    #[error("{lease} is not held here")]
    NotHeld {
        /// Name of the lease.
        lease: String,
    },
    /// The voter was not admitted.
    #[error("{reason}")]
    AdmissionRejected {
        /// Why not.
        reason: String,
    },
    /// The program is shutting down.
    #[error("the program ends")]
    ShuttingDown,
}

/// A checkpoint of a lease with its log index.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Checkpoint {
    /// Log index; 0 if there is no checkpoint.
    pub index: u64,
    /// Progress of the lease's work.
    pub text: String,
}

/// Handle to the fleet. Clones refer to the same node.
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
    /// The fleet as this manager sees it.
    pub fn view(&self) -> Arc<ClusterView> {
        self.view.borrow().clone()
    }

    /// The fencing token to act under, if an act of the lease may begin now. To be called right before each act.
    pub fn fencing_token_for_operation(&self, lease: &str) -> Option<u64> {
        let now_us = self.clock.now().0.unsigned_abs();
        let held = self.held.borrow();
        let held = held.get(lease)?;
        (now_us < held.expires_at_us && !held.is_finishing).then_some(held.fencing_token)
    }

    /// Name of this manager.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// The latest checkpoint of a lease that is known here.
    pub fn checkpoint(&self, lease: &str) -> Checkpoint {
        let view = self.view.borrow();
        let lease = view.lease(lease);
        lease.map_or_else(Checkpoint::default, |lease| Checkpoint {
            index: lease.checkpoint_index,
            text: lease.checkpoint.clone(),
        })
    }

    /// Status of the managers, as they reported it to this one.
    #[cfg(feature = "cluster")]
    pub fn statuses(&self) -> MemberStatuses {
        self.statuses.borrow().clone()
    }

    /// Sends a manager a step of a rolling restart, if this manager holds the lease.
    #[cfg(feature = "cluster")]
    pub async fn send_restart_step(&self, member: &str, step: RestartStep) {
        self.send(NodeCommand::SendRestartStep { member: member.to_owned(), step }).await;
    }

    async fn send(&self, command: NodeCommand) {
        // The driver's thread runs as long as the program.
        let _shutting_down = self.commands.send(command).await;
    }

    async fn call(&self, command: impl FnOnce(Reply) -> NodeCommand) -> Result<(), CommandError> {
        let (reply, result) = oneshot::channel();
        self.send(command(reply)).await;
        result.await.unwrap_or(Err(CommandError::ShuttingDown))
    }

    /// Requests that a checkpoint be saved, unless another one was saved since the one that it is based on.
    pub async fn save_checkpoint(&self, lease: &str, based_on: u64, checkpoint: String) {
        self.send(NodeCommand::SaveCheckpoint { lease: lease.to_owned(), based_on, checkpoint }).await;
    }

    /// Reports that the work of a lease that is being handed over is finished.
    pub async fn work_finished(&self, lease: &str) {
        self.send(NodeCommand::WorkFinished { lease: lease.to_owned() }).await;
    }

    /// Hands a lease that this manager holds over to the next one.
    ///
    /// # Errors
    /// If this manager does not hold it.
    pub async fn hand_over(&self, lease: &str) -> Result<(), CommandError> {
        self.call(|reply| NodeCommand::HandOver { lease: lease.to_owned(), reply }).await
    }

    /// Admits a voter whose file was lost, under its new id.
    ///
    /// # Errors
    /// If this manager is not the leader, or the voter does not wait for admission.
    pub async fn admit(&self, voter: &str) -> Result<(), CommandError> {
        self.call(|reply| NodeCommand::Admit { voter: voter.to_owned(), reply }).await
    }

    /// Hands all leases over and acquires none (`true`), or acquires leases again (`false`).
    pub async fn set_draining(&self, is_draining: bool) {
        self.send(NodeCommand::SetDraining(is_draining)).await;
    }

    /// Leaves the fleet; returns once the others are notified.
    pub async fn leave(&self) {
        let (reply, left) = oneshot::channel();
        self.send(NodeCommand::Leave { reply }).await;
        let _shutting_down = left.await;
    }
}
