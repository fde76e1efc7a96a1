//! Applies the steps of a rolling restart to this process, and reports its status.

use crate::clock::Clock;
use crate::lifecycle::LifecycleHandle;
use sanddyke_cluster::rolling_restart::{MemberStatus, RestartStep};
use sanddyke_lifecycle::{Event, Phase};
use std::sync::Arc;
use tokio::sync::Notify;

/// Access to the lifecycle of this process, and the signal to exit for a restart.
#[derive(Debug, Clone)]
pub struct ProcessControl {
    /// Lifecycle that the steps are applied to.
    pub lifecycle: LifecycleHandle,
    /// Notified when this process is to exit. The process supervisor starts it again.
    pub restart: Arc<Notify>,
}

impl ProcessControl {
    /// The current status of this manager.
    pub fn status(&self, clock: &Clock) -> MemberStatus {
        MemberStatus {
            ready: self.lifecycle.is_ready(),
            drained: self.lifecycle.phase() == Phase::Drained,
            open_requests: (self.lifecycle.unanswered_requests() + self.lifecycle.open_connections()) as u64,
            reported_at_us: clock.now().0.unsigned_abs(),
        }
    }

    /// Applies a step of a rolling restart. Ignores a step that names another incarnation.
    pub fn apply_step(&self, step: RestartStep, local_incarnation: u64) {
        let result = match step {
            RestartStep::ReportStatus => return,
            RestartStep::Quiesce { incarnation } | RestartStep::Restart { incarnation }
                if incarnation != local_incarnation =>
            {
                return;
            }
            RestartStep::Quiesce { .. } => self.lifecycle.apply(Event::Quiesce),
            RestartStep::Resume => self.lifecycle.apply(Event::Resume),
            RestartStep::Restart { .. } => {
                self.restart.notify_one();
                return;
            }
        };
        if let Err(error) = result {
            log::info!(step:%, error:%; "rolling restart: step is not possible now");
        }
    }
}
