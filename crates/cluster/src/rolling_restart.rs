//! Rolling restart: managers are drained or restarted a few of one zone at a time while the rest serve. The holder of
//! the lease [`LEASE_NAME`] controls it. Its state is the lease's checkpoint, so the next holder continues from it.
//!
//! ```text
//!   planned --start--> Draining --drained, no open requests--> Returning --ready (restarted: new incarnation)--> done
//!                          \------- not within [`MEMBER_TIMEOUT_US`]: the roll stops, and says why -------/
//! ```
//!
//! Each change is saved before it is acted on. A step may be sent twice, by two holders one after another, and does no
//! harm. The recipient checks the sender's fencing token.

mod status;

pub use status::{MemberStatus, MemberStatuses, Observations, ReportedStatus};

use crate::lease_holder::Micros;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Name of the lease of the rolling-restart controller.
pub const LEASE_NAME: &str = "warden";
/// Time limit of each stage of a member, in microseconds: twice the longest deadline of a request (25 s), and some.
pub const MEMBER_TIMEOUT_US: Micros = 60_000_000;

/// What is done to each manager.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RestartMode {
    /// It is drained, and resumes.
    Drain,
    /// It is drained and exits; its supervisor starts it again.
    Restart,
}

/// State of a rolling restart.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RestartState {
    /// It is in progress.
    Running,
    /// Active members return to work; no other is started.
    Paused,
    /// Active members resume work, then it stops.
    #[serde(rename = "taken_back")]
    Cancelling,
    /// It has stopped before its end.
    Stopped,
    /// All members are done.
    Done,
}

impl std::fmt::Display for RestartState {
    /// The name that the administration API's problem texts have.
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

/// A state that an operator requested does not follow on the current one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the roll is {current}")]
pub struct InvalidTransition {
    /// The current state.
    pub current: RestartState,
    /// The requested state.
    pub requested: RestartState,
}

/// A step that a manager is asked to take. The order of variants is that of the wire format.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RestartStep {
    /// Report the status.
    ReportStatus,
    /// Drain, if this is still the manager's incarnation: the step may arrive at the next one.
    Quiesce {
        /// Number of the incarnation.
        incarnation: u64,
    },
    /// Resume work.
    Resume,
    /// Exit, if this is still the manager's incarnation.
    Restart {
        /// Number of the incarnation.
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
    /// The step.
    pub step: RestartStep,
}

/// Result of advancing a rolling restart.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Progress {
    /// Its state has changed, and is to be saved before any step is sent.
    Changed,
    /// Its state is unchanged: these steps are to be sent.
    Steps(Vec<MemberStep>),
}

/// A member that is not started yet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlannedMember {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Stage {
    Draining,
    Returning,
}

/// A member that is started and not done.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct ActiveMember {
    name: String,
    zone: String,
    /// Number of its incarnation when it was started: after a restart it is another.
    #[serde(rename = "life")]
    incarnation: u64,
    stage: Stage,
}

impl ActiveMember {
    /// The step that the member is still to take in its stage; `None` if the stage is complete.
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

/// A rolling restart. Its JSON form is the lease's checkpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RollingRestart {
    #[serde(rename = "how")]
    mode: RestartMode,
    /// Maximum number of active members, all of one zone.
    #[serde(rename = "most")]
    max_active: usize,
    state: RestartState,
    #[serde(rename = "left")]
    planned: Vec<PlannedMember>,
    #[serde(rename = "now")]
    active: Vec<ActiveMember>,
    done: Vec<String>,
    /// Why it stopped.
    #[serde(rename = "why", default, skip_serializing_if = "String::is_empty")]
    stop_reason: String,
}

impl RollingRestart {
    /// Of these members zone by zone; the controller itself (`last`) is the last one.
    pub fn new(
        mode: RestartMode,
        max_active: usize,
        mut members: Vec<PlannedMember>,
        last: &str,
    ) -> RollingRestart {
        members.sort_by_key(|member| (member.name == last, member.zone.clone(), member.name.clone()));
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

    /// Reads the checkpoint of the lease; `None` if it holds no rolling restart.
    pub fn from_checkpoint(checkpoint: &str) -> Option<RollingRestart> {
        serde_json::from_str(checkpoint).ok()
    }

    /// The checkpoint of the lease.
    pub fn to_checkpoint(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// The current state.
    pub fn state(&self) -> RestartState {
        self.state
    }

    /// Whether it has not ended: it may still change by itself.
    pub fn is_open(&self) -> bool {
        !matches!(self.state, RestartState::Stopped | RestartState::Done)
    }

    /// Names of the members that are started and not done.
    pub fn active(&self) -> impl Iterator<Item = &str> {
        self.active.iter().map(|member| member.name.as_str())
    }

    /// Sets the state that an operator requested.
    ///
    /// # Errors
    /// If it does not follow on the current one.
    pub fn transition_to(&mut self, requested: RestartState) -> Result<(), InvalidTransition> {
        let is_valid = match (self.state, requested) {
            (RestartState::Running, RestartState::Paused | RestartState::Cancelling)
            | (RestartState::Paused, RestartState::Running | RestartState::Cancelling) => true,
            // A stopped one continues where it was: with the member that did not return.
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

    /// Advances as far as the observations allow.
    pub fn advance(&mut self, now: Micros, observations: &mut Observations) -> Progress {
        if !self.is_open() {
            observations.clear_stage_times();
            return Progress::Steps(Vec::new());
        }
        let before = self.clone();
        let steps = self.advance_active(now, observations);
        if self.state == RestartState::Running {
            self.start_members(observations);
        }
        self.finish();
        if *self == before { Progress::Steps(steps) } else { Progress::Changed }
    }

    /// Moves each active member to its next stage, if its stage is complete. Gives the steps still to be taken.
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
            // Once an operator resumes it, each member has its full time again.
            observations.clear_stage_times();
        }
        steps
    }

    /// Starts planned members, of one zone at a time, so that the others serve. A member without a status, or one that
    /// is not ready, is skipped for now.
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

    /// Ends it if no member is active any more.
    fn finish(&mut self) {
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
