//! The kinds of faults, how each is injected and removed.

use crate::TestbedError;
use crate::fleet::{CutDirection, Fleet};
use std::fmt;

/// A kind of fault of one manager, usually the one that holds the lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultKind {
    /// Its process is killed.
    Killed,
    /// Its process is suspended for longer than its lease, and resumes.
    Suspended,
    /// What it sends is lost.
    OutgoingCut,
    /// What is sent to it is lost.
    IncomingCut,
    /// Both.
    CutOff,
    /// It shuts down gracefully.
    Terminated,
    /// It is drained, and resumed.
    Drained,
    /// An operator hands its lease over.
    HandedOver,
}

impl FaultKind {
    /// All kinds, in the order of the random draws and of the table.
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

    /// Whether the holder can hand its lease over itself.
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
                // Rejected where another manager holds the lease by now.
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

/// The name in tables and charts.
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
