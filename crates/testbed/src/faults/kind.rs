//! The kinds of faults, and how each is injected and removed.

use crate::TestbedError;
use crate::fleet::{CutDirection, Fleet};
use std::fmt;

/// A kind of fault that is injected into one manager, usually the lease holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultKind {
    /// The process is killed.
    Killed,
    /// The process is suspended, and resumed when the fault is removed.
    Suspended,
    /// Messages from the manager are lost.
    OutgoingCut,
    /// Messages to the manager are lost.
    IncomingCut,
    /// Messages in both directions are lost.
    CutOff,
    /// The manager shuts down gracefully.
    Terminated,
    /// The manager is drained, and resumed when the fault is removed.
    Drained,
    /// The lease is handed over with a call of the administration API.
    HandedOver,
}

impl FaultKind {
    /// All kinds. The order determines which kind a random number selects, and the order of the table.
    pub const ALL: [FaultKind; 8] = [
        FaultKind::Killed,
        FaultKind::Suspended,
        FaultKind::OutgoingCut,
        FaultKind::IncomingCut,
        FaultKind::CutOff,
        FaultKind::Terminated,
        FaultKind::Drained,
        FaultKind::HandedOver,
    ];

    /// Whether the lease holder can hand its lease over itself, without waiting for its expiry.
    pub fn is_planned(self) -> bool {
        matches!(self, FaultKind::Terminated | FaultKind::Drained | FaultKind::HandedOver)
    }

    /// Injects the fault.
    pub(super) async fn inject(self, fleet: &mut Fleet, manager: usize) -> Result<(), TestbedError> {
        let all: Vec<usize> = (0..fleet.size()).collect();
        match self {
            FaultKind::Killed => fleet.kill(manager).await?,
            FaultKind::Suspended => fleet.suspend(manager).await?,
            FaultKind::OutgoingCut => fleet.cut(manager, &all, CutDirection::Outgoing),
            FaultKind::IncomingCut => fleet.cut(manager, &all, CutDirection::Incoming),
            FaultKind::CutOff => fleet.cut(manager, &all, CutDirection::Both),
            FaultKind::Terminated => fleet.terminate(manager).await?,
            FaultKind::Drained => {
                fleet.call_operations_endpoint(manager, "POST", "/admin/quiesce").await?;
            }
            FaultKind::HandedOver => {
                // The call is rejected if another manager holds the lease by now.
                let _ = fleet.call(manager, "POST", "/v1/fleet/duties/backup/hand-over").await;
            }
        }
        Ok(())
    }

    /// Removes the fault.
    pub(super) async fn remove(self, fleet: &mut Fleet, manager: usize) -> Result<(), TestbedError> {
        match self {
            FaultKind::Killed | FaultKind::Terminated => fleet.start_manager(manager)?,
            FaultKind::Suspended => fleet.resume(manager).await?,
            FaultKind::OutgoingCut | FaultKind::IncomingCut | FaultKind::CutOff => {
                fleet.links.clear_faults();
            }
            FaultKind::Drained => {
                fleet.call_operations_endpoint(manager, "POST", "/admin/resume").await?;
            }
            FaultKind::HandedOver => {}
        }
        Ok(())
    }
}

/// Formats the name in tables and charts.
impl fmt::Display for FaultKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            FaultKind::Killed => "killed",
            FaultKind::Suspended => "stopped",
            FaultKind::OutgoingCut => "mute",
            FaultKind::IncomingCut => "deaf",
            FaultKind::CutOff => "cut off",
            FaultKind::Terminated => "told to end",
            FaultKind::Drained => "drained",
            FaultKind::HandedOver => "handed over",
        })
    }
}
