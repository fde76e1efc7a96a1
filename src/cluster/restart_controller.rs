//! The controller of rolling restarts ([`sanddyke_cluster::rolling_restart`]): the work of its lease. The holder advances
//! the rolling restart in the lease's checkpoint; the next holder continues from there.

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

/// How often the rolling restart is advanced, and managers are asked for their status.
const STEP_INTERVAL: Duration = Duration::from_millis(100);
/// A checkpoint that is not saved by then is derived anew.
const CHECKPOINT_TIMEOUT: Duration = Duration::from_millis(500);
/// How often the checkpoint is polled while it is being saved.
const CHECKPOINT_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// How long an operator's command waits until its checkpoint is saved.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(2);

/// An operator's command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OperatorCommand {
    /// Start a rolling restart.
    Start {
        /// What is done to each manager.
        mode: RestartMode,
        /// How many managers at once.
        max_active: usize,
    },
    /// Pause, resume or cancel it.
    SetState(RestartState),
}

/// Why an operator's command was rejected. The texts are those of the administration API.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum OperatorCommandError {
    /// This manager does not hold the lease.
    #[error("ask the holder of {LEASE_NAME}: {}", holder.as_deref().unwrap_or("nobody holds it now"))]
    NotController {
        /// Name of the manager that does.
        holder: Option<String>,
    },
    /// There is one that has not ended.
    #[error("a roll is open: take it back first")]
    AlreadyOpen,
    /// There is none.
    #[error("there is no roll")]
    NoRollingRestart,
    /// The requested state does not follow on the current one.
    #[error(transparent)]
    InvalidTransition(#[from] InvalidTransition),
    /// Its state exceeds the limit of a checkpoint.
    #[error("too many managers for one roll: {bytes} bytes of {MAX_CHECKPOINT_BYTES}")]
    TooManyMembers {
        /// Size of its state, in bytes.
        bytes: usize,
    },
    /// The voters did not save the checkpoint in time.
    #[error("the voters did not take it in time: look whether it was")]
    NotSaved,
    /// Another checkpoint was saved instead.
    #[error("the roll took a step at the same moment: try again")]
    Overtaken,
}

/// Controls rolling restarts as long as the program runs and this manager holds the lease.
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

/// Advances the rolling restart that is in progress, if there is one and this manager holds the lease.
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

/// Asks all managers without a step for their status.
async fn poll_statuses(cluster: &Cluster, restart: &RollingRestart) {
    let view = cluster.view();
    let others = view.members.iter().map(|member| member.name.as_str());
    for name in others.chain([cluster.name()]) {
        if !restart.active().any(|active| active == name) {
            cluster.send_restart_step(name, RestartStep::ReportStatus).await;
        }
    }
}

/// Saves a rolling restart, and waits until another checkpoint is seen, this one or an operator's, or until a timeout.
/// In each case the next step is derived from the checkpoint that is seen then.
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

/// Carries out an operator's command.
///
/// # Errors
/// If this manager does not hold the lease, the command does not fit the current state, or it was not saved.
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

/// All managers, this one included.
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

/// The controller may have saved a checkpoint at the same moment: after the command's, or instead of it.
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
