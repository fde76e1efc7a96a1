//! Controls rolling restarts ([`sanddyke_cluster::rolling_restart`]) while this manager holds their lease. The state of
//! the rolling restart is the checkpoint of the lease, so the next holder continues from it.

use super::{Checkpoint, Cluster, LeaseEvent};
use crate::clock::Clock;
use sanddyke_cluster::lease::MAX_CHECKPOINT_BYTES;
use sanddyke_cluster::rolling_restart::{
    AdvanceOutcome, InvalidTransition, LEASE_NAME, MemberStep, Observations, PlannedMember, RestartMode,
    RestartState, RestartStep, RollingRestart,
};
use std::time::Duration;
use thiserror::Error;
use tokio::sync::mpsc;

/// Interval at which the rolling restart is advanced and the managers are polled for their status.
const STEP_INTERVAL: Duration = Duration::from_millis(100);
/// If a checkpoint is not saved within this time, the controller derives it again from the latest one.
const CHECKPOINT_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval at which the latest checkpoint is read while one is being saved.
const CHECKPOINT_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// An operator's command fails if its checkpoint is not saved within this time.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(2);

/// A command that an operator sends through the administration API.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OperatorCommand {
    /// Start a rolling restart.
    Start {
        /// Whether each manager is only drained, or also restarted.
        mode: RestartMode,
        /// Maximum number of managers that are drained or restarted at once.
        max_active: usize,
    },
    /// Pause, resume or cancel the current rolling restart.
    SetState(RestartState),
}

/// Why an operator's command was rejected. The administration API returns these texts.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum OperatorCommandError {
    /// This manager does not hold the lease of the controller.
    #[error("ask the holder of {LEASE_NAME}: {}", holder.as_deref().unwrap_or("nobody holds it now"))]
    NotController {
        /// Name of the manager that holds the lease; `None` if none is known.
        holder: Option<String>,
    },
    /// A rolling restart that has not ended exists, so none can be started.
    #[error("a roll is open: take it back first")]
    AlreadyOpen,
    /// No rolling restart exists whose state could be changed.
    #[error("there is no roll")]
    NoRollingRestart,
    /// The requested state can't follow the current one.
    #[error(transparent)]
    InvalidTransition(#[from] InvalidTransition),
    /// The encoded state exceeds [`MAX_CHECKPOINT_BYTES`].
    #[error("too many managers for one roll: {bytes} bytes of {MAX_CHECKPOINT_BYTES}")]
    TooManyMembers {
        /// Size of the encoded state, in bytes.
        bytes: usize,
    },
    /// The voters did not save the checkpoint within `COMMAND_TIMEOUT`. They may still save it later.
    #[error("the voters did not take it in time: look whether it was")]
    NotSaved,
    /// The controller saved another checkpoint at the same time, and the command had no effect.
    #[error("the roll took a step at the same moment: try again")]
    Overtaken,
}

/// Advances the rolling restart whenever this manager holds the lease. Returns when the sender of lease events is
/// dropped.
pub async fn run(cluster: Cluster, mut events: mpsc::Receiver<LeaseEvent>, clock: Clock) {
    let mut steps = tokio::time::interval(STEP_INTERVAL);
    steps.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut observations = Observations::default();
    loop {
        tokio::select! {
            event = events.recv() => match event {
                Some(LeaseEvent::Acquired) => observations = Observations::default(),
                Some(LeaseEvent::FinishWork) => cluster.work_finished(LEASE_NAME).await,
                Some(LeaseEvent::CheckpointSaved | LeaseEvent::Ended) => {}
                None => return,
            },
            _ = steps.tick() => advance(&cluster, &mut events, &mut observations, &clock).await,
        }
    }
}

/// Advances the rolling restart by one step, if one is unfinished and this manager holds the lease.
async fn advance(
    cluster: &Cluster,
    events: &mut mpsc::Receiver<LeaseEvent>,
    observations: &mut Observations,
    clock: &Clock,
) {
    if cluster.fencing_token_for_operation(LEASE_NAME).is_none() {
        return;
    }
    let checkpoint = cluster.checkpoint(LEASE_NAME);
    let Some(mut restart) = RollingRestart::from_checkpoint(&checkpoint.text) else { return };
    if !restart.is_unfinished() {
        return;
    }
    observations.statuses = cluster.statuses();
    match restart.advance(clock.now().0.unsigned_abs(), observations) {
        AdvanceOutcome::StateChanged => {
            log::info!("rolling restart: {}", restart.to_checkpoint());
            save(cluster, events, &checkpoint, &restart).await;
        }
        AdvanceOutcome::SendSteps(steps) => {
            for MemberStep { member, step } in steps {
                cluster.send_restart_step(&member, step).await;
            }
            poll_statuses(cluster, &restart).await;
        }
    }
}

/// Requests the status of all managers that are not active. Active managers report it in response to their step.
async fn poll_statuses(cluster: &Cluster, restart: &RollingRestart) {
    let view = cluster.view();
    let others = view.members.iter().map(|member| member.name.as_str());
    for name in others.chain([cluster.name()]) {
        if !restart.active().any(|active| active == name) {
            cluster.send_restart_step(name, RestartStep::ReportStatus).await;
        }
    }
}

/// Saves the state of a rolling restart. Waits until the latest checkpoint changes, to this state or to that of an
/// operator's command, or until [`CHECKPOINT_TIMEOUT`]. In each case the caller derives the next step from the latest
/// checkpoint.
async fn save(
    cluster: &Cluster,
    events: &mut mpsc::Receiver<LeaseEvent>,
    previous: &Checkpoint,
    restart: &RollingRestart,
) {
    cluster.save_checkpoint(LEASE_NAME, previous.index, restart.to_checkpoint()).await;
    let _timed_out = tokio::time::timeout(CHECKPOINT_TIMEOUT, async {
        while cluster.checkpoint(LEASE_NAME).index == previous.index {
            match events.try_recv() {
                Ok(LeaseEvent::FinishWork) => return cluster.work_finished(LEASE_NAME).await,
                Ok(_) | Err(mpsc::error::TryRecvError::Empty) => {
                    tokio::time::sleep(CHECKPOINT_POLL_INTERVAL).await;
                }
                Err(mpsc::error::TryRecvError::Disconnected) => return,
            }
        }
    })
    .await;
}

/// Executes an operator's command.
///
/// # Errors
/// If this manager does not hold the lease, the command is invalid in the current state, or the resulting checkpoint
/// was not saved.
pub async fn execute(cluster: &Cluster, command: OperatorCommand) -> Result<(), OperatorCommandError> {
    if cluster.fencing_token_for_operation(LEASE_NAME).is_none() {
        let holder = cluster.view().lease(LEASE_NAME).and_then(|lease| lease.holder.clone());
        return Err(OperatorCommandError::NotController { holder });
    }
    let previous = cluster.checkpoint(LEASE_NAME);
    let current = RollingRestart::from_checkpoint(&previous.text);
    let restart = match command {
        OperatorCommand::Start { mode, max_active } => {
            if current.is_some_and(|current| current.is_unfinished()) {
                return Err(OperatorCommandError::AlreadyOpen);
            }
            RollingRestart::new(mode, max_active, all_members(cluster), cluster.name())
        }
        OperatorCommand::SetState(state) => {
            let mut restart = current.ok_or(OperatorCommandError::NoRollingRestart)?;
            restart.transition_to(state)?;
            restart
        }
    };
    let checkpoint = restart.to_checkpoint();
    if checkpoint.len() > MAX_CHECKPOINT_BYTES {
        return Err(OperatorCommandError::TooManyMembers { bytes: checkpoint.len() });
    }
    cluster.save_checkpoint(LEASE_NAME, previous.index, checkpoint).await;
    wait_for_checkpoint(cluster, &previous).await?;
    if has_taken_effect(cluster, command) { Ok(()) } else { Err(OperatorCommandError::Overtaken) }
}

/// All managers that are up, including this one.
fn all_members(cluster: &Cluster) -> Vec<PlannedMember> {
    let view = cluster.view();
    let mut members: Vec<PlannedMember> = view
        .members
        .iter()
        .map(|member| PlannedMember { name: member.name.clone(), zone: member.zone.clone() })
        .collect();
    members.push(PlannedMember { name: cluster.name().to_owned(), zone: view.zone.clone() });
    members
}

async fn wait_for_checkpoint(cluster: &Cluster, previous: &Checkpoint) -> Result<(), OperatorCommandError> {
    let changed = async {
        while cluster.checkpoint(LEASE_NAME).index == previous.index {
            tokio::time::sleep(CHECKPOINT_POLL_INTERVAL).await;
        }
    };
    tokio::time::timeout(COMMAND_TIMEOUT, changed).await.map_err(|_| OperatorCommandError::NotSaved)
}

/// Returns whether the latest checkpoint reflects the command. The controller may have saved another checkpoint at the
/// same time, after that of the command or instead of it.
fn has_taken_effect(cluster: &Cluster, command: OperatorCommand) -> bool {
    let checkpoint = cluster.checkpoint(LEASE_NAME);
    let Some(restart) = RollingRestart::from_checkpoint(&checkpoint.text) else { return false };
    let state = restart.state();
    match command {
        OperatorCommand::SetState(RestartState::Cancelling) => {
            matches!(state, RestartState::Cancelling | RestartState::Stopped)
        }
        OperatorCommand::SetState(RestartState::Paused) => state == RestartState::Paused,
        OperatorCommand::Start { .. } | OperatorCommand::SetState(_) => true,
    }
}

#[cfg(test)]
mod tests;
