//! Rolling restart. Drains or restarts the managers, a few of one zone at a time, while the others serve.
//!
//! The holder of the lease [`LEASE_NAME`] is the controller. The state of the rolling restart is the checkpoint of that
//! lease, so the next holder continues from it.
//!
//! ```text
//!   planned --start--> Draining --drained, no open requests--> Returning --ready (restarted: new incarnation)--> done
//!                          \---- not within [`MEMBER_TIMEOUT_US`]: the rolling restart stops with a reason ----/
//! ```
//!
//! A change of state is saved before any step that depends on it is sent. Steps are idempotent, because two successive
//! holders may send the same one. The receiving manager checks the sender's fencing token.

mod status;

pub use status::{MemberStatus, MemberStatuses, Observations, ReportedStatus};

use crate::lease_holder::Micros;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Name of the lease whose holder controls rolling restarts.
pub const LEASE_NAME: &str = "warden";
/// Time limit of each stage of a member, in microseconds. It exceeds twice the longest deadline of a request (25 s).
pub const MEMBER_TIMEOUT_US: Micros = 60_000_000;

/// What a rolling restart does to each manager.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RestartMode {
    /// The manager is drained and then resumes work, without a restart.
    Drain,
    /// The manager is drained and exits. Its process supervisor starts it again.
    Restart,
}

/// State of a rolling restart.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RestartState {
    /// Members are drained or restarted one group after another.
    Running,
    /// Active members complete their stages. No planned member is started.
    Paused,
    /// An operator cancelled the rolling restart. Active members resume work, then the state becomes `Stopped`.
    #[serde(rename = "taken_back")]
    Cancelling,
    /// The rolling restart ended before all members were done: it was cancelled, or a member exceeded
    /// [`MEMBER_TIMEOUT_US`].
    Stopped,
    /// All members were drained or restarted.
    Done,
}

impl std::fmt::Display for RestartState {
    /// The name of the state in the problem texts of the administration API.
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        out.write_str(match self {
            RestartState::Running => "Running",
            RestartState::Paused => "Paused",
            RestartState::Cancelling => "TakenBack",
            RestartState::Stopped => "Stopped",
            RestartState::Done => "Done",
        })
    }
}

/// An operator requested a state that can't follow the current one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the roll is {current}")]
pub struct InvalidTransition {
    /// State of the rolling restart, which the rejected request did not change.
    pub current: RestartState,
    /// State that the operator requested.
    pub requested: RestartState,
}

/// A step that the controller requests of a manager. The wire format depends on the order of variants.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RestartStep {
    /// Report the status and do nothing else.
    ReportStatus,
    /// Drain. Ignored by another incarnation of the manager, at which the step may arrive after a restart.
    Quiesce {
        /// Number of the incarnation that is to drain.
        incarnation: u64,
    },
    /// End draining and accept requests again.
    Resume,
    /// Exit. Ignored by another incarnation of the manager.
    Restart {
        /// Number of the incarnation that is to exit.
        incarnation: u64,
    },
}

impl std::fmt::Display for RestartStep {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        out.write_str(match self {
            RestartStep::ReportStatus => "report status",
            RestartStep::Quiesce { .. } => "quiesce",
            RestartStep::Resume => "resume",
            RestartStep::Restart { .. } => "restart",
        })
    }
}

/// A step for one manager.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberStep {
    /// Name of the manager.
    pub member: String,
    /// What the manager is to do.
    pub step: RestartStep,
}

/// Result of [`RollingRestart::advance`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AdvanceOutcome {
    /// The state has changed. The caller has to save it before any step is sent.
    StateChanged,
    /// The state is unchanged. The caller has to send these steps.
    SendSteps(Vec<MemberStep>),
}

/// A manager that is yet to be drained or restarted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlannedMember {
    /// Name of the manager.
    pub name: String,
    /// Zone of the manager. Members that are active at the same time are of one zone.
    pub zone: String,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Stage {
    Draining,
    Returning,
}

/// A manager that is being drained or restarted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct ActiveMember {
    name: String,
    zone: String,
    /// Number of the manager's incarnation when its first stage began. A higher number shows that it has restarted.
    #[serde(rename = "life")]
    incarnation: u64,
    stage: Stage,
}

impl ActiveMember {
    /// The step that the member has yet to take in its stage; `None` if the stage is complete.
    fn pending_step(
        &self,
        mode: RestartMode,
        state: RestartState,
        reported: Option<&ReportedStatus>,
    ) -> Option<RestartStep> {
        let has_restarted = reported.is_some_and(|reported| reported.incarnation.number > self.incarnation);
        let is_ready = reported.is_some_and(|reported| reported.status.ready);
        let is_drained =
            reported.is_some_and(|reported| reported.status.drained && reported.status.open_requests == 0);
        let incarnation = self.incarnation;
        if state == RestartState::Cancelling {
            return (!is_ready).then_some(RestartStep::Resume);
        }
        match (self.stage, mode) {
            (Stage::Draining, RestartMode::Drain) if is_drained => None,
            (Stage::Draining, RestartMode::Restart) if has_restarted => None,
            (Stage::Draining, RestartMode::Restart) if is_drained => {
                Some(RestartStep::Restart { incarnation })
            }
            (Stage::Draining, _) => Some(RestartStep::Quiesce { incarnation }),
            (Stage::Returning, RestartMode::Drain) if is_ready => None,
            (Stage::Returning, RestartMode::Restart) if is_ready && has_restarted => None,
            (Stage::Returning, _) => Some(RestartStep::Resume),
        }
    }

    fn timeout_reason(&self) -> String {
        let expected = match self.stage {
            Stage::Draining => "drained",
            Stage::Returning => "ready",
        };
        format!("{} was not {expected} within {} s", self.name, MEMBER_TIMEOUT_US / 1_000_000)
    }
}

/// State of a rolling restart. Its JSON form is the checkpoint of the lease [`LEASE_NAME`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RollingRestart {
    #[serde(rename = "how")]
    mode: RestartMode,
    /// Maximum number of active members. All active members are of one zone.
    #[serde(rename = "most")]
    max_active: usize,
    state: RestartState,
    #[serde(rename = "left")]
    planned: Vec<PlannedMember>,
    #[serde(rename = "now")]
    active: Vec<ActiveMember>,
    done: Vec<String>,
    /// Why the state is `Stopped`; empty in other states.
    #[serde(rename = "why", default, skip_serializing_if = "String::is_empty")]
    stop_reason: String,
}

impl RollingRestart {
    /// Plans a rolling restart of these members, zone by zone. The member named `last_member` comes last; it is the
    /// controller itself.
    pub fn new(
        mode: RestartMode,
        max_active: usize,
        mut members: Vec<PlannedMember>,
        last_member: &str,
    ) -> RollingRestart {
        members.sort_by_key(|member| (member.name == last_member, member.zone.clone(), member.name.clone()));
        RollingRestart {
            mode,
            max_active: max_active.max(1),
            state: RestartState::Running,
            planned: members,
            active: Vec::new(),
            done: Vec::new(),
            stop_reason: String::new(),
        }
    }

    /// Decodes the checkpoint of the lease; `None` if it contains no rolling restart.
    pub fn from_checkpoint(checkpoint: &str) -> Option<RollingRestart> {
        serde_json::from_str(checkpoint).ok()
    }

    /// Encodes the state as the checkpoint of the lease.
    pub fn to_checkpoint(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Current state, as of the last call of [`Self::advance`] or [`Self::transition_to`].
    pub fn state(&self) -> RestartState {
        self.state
    }

    /// Whether the rolling restart has not ended, also while it is paused. Only then [`Self::advance`] changes it.
    pub fn is_unfinished(&self) -> bool {
        !matches!(self.state, RestartState::Stopped | RestartState::Done)
    }

    /// Names of the members that are being drained or restarted.
    pub fn active(&self) -> impl Iterator<Item = &str> {
        self.active.iter().map(|member| member.name.as_str())
    }

    /// Sets the state that an operator requested.
    ///
    /// # Errors
    /// If the requested state can't follow the current one.
    pub fn transition_to(&mut self, requested: RestartState) -> Result<(), InvalidTransition> {
        let is_valid = match (self.state, requested) {
            (RestartState::Running, RestartState::Paused | RestartState::Cancelling)
            | (RestartState::Paused, RestartState::Running | RestartState::Cancelling) => true,
            // Continues with the members that were active when the rolling restart stopped.
            (RestartState::Stopped, RestartState::Running) => true,
            _ => false,
        };
        if !is_valid {
            return Err(InvalidTransition { current: self.state, requested });
        }
        self.state = requested;
        self.stop_reason.clear();
        Ok(())
    }

    /// Advances the rolling restart as far as the reported statuses allow.
    pub fn advance(&mut self, now: Micros, observations: &mut Observations) -> AdvanceOutcome {
        if !self.is_unfinished() {
            observations.clear_stage_times();
            return AdvanceOutcome::SendSteps(Vec::new());
        }
        let before = self.clone();
        let steps = self.advance_active(now, observations);
        if self.state == RestartState::Running {
            self.start_members(observations);
        }
        self.update_final_state();
        if *self == before { AdvanceOutcome::SendSteps(steps) } else { AdvanceOutcome::StateChanged }
    }

    /// Moves each active member whose stage is complete to its next stage. Returns the steps that the other active
    /// members have yet to take.
    fn advance_active(&mut self, now: Micros, observations: &mut Observations) -> Vec<MemberStep> {
        let mut steps = Vec::new();
        let mut timeout_reason = None;
        for member in &mut self.active {
            let reported = observations.statuses.get(&member.name);
            let step = member.pending_step(self.mode, self.state, reported);
            match step {
                Some(step) => steps.push(MemberStep { member: member.name.clone(), step }),
                None if member.stage == Stage::Draining && self.state != RestartState::Cancelling => {
                    member.stage = Stage::Returning;
                }
                None => self.done.push(member.name.clone()),
            }
            let is_returning = member.stage == Stage::Returning;
            let stage_us = observations.time_in_stage_us(&member.name, is_returning, now);
            if step.is_some() && stage_us > MEMBER_TIMEOUT_US {
                timeout_reason = Some(member.timeout_reason());
            }
        }
        let done = &self.done;
        self.active.retain(|member| !done.contains(&member.name));
        observations.retain_stage_times(|name| self.active.iter().any(|member| member.name == name));
        if let Some(reason) = timeout_reason {
            self.state = RestartState::Stopped;
            self.stop_reason = reason;
            // Each member has its full time limit again once an operator resumes the rolling restart.
            observations.clear_stage_times();
        }
        steps
    }

    /// Starts planned members, of one zone at a time, so that the members of the other zones serve. A member that has
    /// reported no status or is not ready is skipped until a later call.
    fn start_members(&mut self, observations: &Observations) {
        for member in std::mem::take(&mut self.planned) {
            let has_capacity = self.active.len() < self.max_active
                && self.active.iter().all(|active| active.zone == member.zone);
            match observations.statuses.get(&member.name) {
                Some(reported) if has_capacity && reported.status.ready => self.active.push(ActiveMember {
                    name: member.name,
                    zone: member.zone,
                    incarnation: reported.incarnation.number,
                    stage: Stage::Draining,
                }),
                _ => self.planned.push(member),
            }
        }
    }

    /// Sets the final state once no member is active: `Done` if none is planned either, `Stopped` after a cancellation.
    fn update_final_state(&mut self) {
        if !self.active.is_empty() {
            return;
        }
        match self.state {
            RestartState::Running if self.planned.is_empty() => self.state = RestartState::Done,
            RestartState::Cancelling => {
                self.state = RestartState::Stopped;
                self.stop_reason = "it was taken back".to_owned();
            }
            _ => {}
        }
    }
}

#[cfg(test)]
mod tests;
