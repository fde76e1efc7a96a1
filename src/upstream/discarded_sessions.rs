//! Counts the sessions with engines that were closed before they carried a request.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Why a session was closed before it carried a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DiscardReason {
    /// The engine sent something although nothing was requested.
    UnexpectedData,
    /// The engine closed it.
    ClosedByEngine,
    /// No request came within the idle timeout.
    Idle,
}

impl DiscardReason {
    /// All reasons, in the order of their numbers.
    const ALL: [DiscardReason; 3] =
        [DiscardReason::UnexpectedData, DiscardReason::ClosedByEngine, DiscardReason::Idle];

    /// The reason in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            DiscardReason::UnexpectedData => "unexpected_data",
            DiscardReason::ClosedByEngine => "closed_by_engine",
            DiscardReason::Idle => "idle",
        }
    }
}

/// The number of discarded sessions since the start of the process, by reason. Clones share it.
#[derive(Debug, Clone, Default)]
pub struct DiscardedSessions(Arc<[AtomicU64; DiscardReason::ALL.len()]>);

impl DiscardedSessions {
    /// Counts a session.
    pub fn count(&self, reason: DiscardReason) {
        self.0[reason as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the number of sessions for each reason.
    pub fn by_reason(&self) -> impl Iterator<Item = (&'static str, u64)> + '_ {
        DiscardReason::ALL
            .iter()
            .map(|reason| (reason.name(), self.0[*reason as usize].load(Ordering::Relaxed)))
    }
}
