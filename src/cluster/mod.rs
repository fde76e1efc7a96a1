//! Runs a [`sanddyke_cluster`] node, through which the managers of a fleet communicate with each other (`[cluster]`).
//!
//! The node has its own thread, runtime, descriptors and disk, so that no request waits for a peer or for the voter's
//! disk. It is compiled only with the feature `cluster`, because its dependencies are a fifth of the program's size and
//! the platform does not use it.

pub mod backup;
mod handle;
#[cfg(feature = "cluster")]
mod node_driver;
#[cfg(feature = "cluster")]
mod peer_transport;
#[cfg(feature = "cluster")]
mod process;
#[cfg(feature = "cluster")]
pub mod restart_controller;
mod view;
#[cfg(feature = "cluster")]
mod voter_disk;

pub use handle::{Checkpoint, Cluster, CommandError};
#[cfg(feature = "cluster")]
pub use node_driver::{JoinedCluster, start};
#[cfg(feature = "cluster")]
pub use process::ProcessControl;
pub use view::{ClusterView, LeaseView, MemberView, MessageCounters};

use crate::lifecycle::LifecycleHandle;
use sanddyke_lifecycle::Phase;
use std::collections::BTreeMap;
use std::time::Duration;

/// Name of the lease whose holder controls rolling restarts.
pub const ROLLING_RESTART_LEASE: &str = "warden";
/// Interval at which the lifecycle of this process is checked.
const LIFECYCLE_POLL_INTERVAL: Duration = Duration::from_millis(25);

/// A change of a lease, reported to the task that does the work under it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseEvent {
    /// This manager has acquired the lease.
    Acquired,
    /// The voters have saved a checkpoint that this manager requested.
    CheckpointSaved,
    /// The lease is being handed over. The task finishes the operations that it has begun, begins no more, and then
    /// calls [`Cluster::work_finished`].
    FinishWork,
    /// This manager no longer holds the lease, because it was released, expired, or was lost.
    Ended,
}

/// A lease that this manager holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct HeldLease {
    fencing_token: u64,
    /// By the monotonic clock of this process.
    expires_at_us: u64,
    /// The lease is being handed over, and no further operation may begin under it.
    is_finishing: bool,
}

/// The leases that this manager holds, by name of the lease.
type HeldLeases = BTreeMap<String, HeldLease>;

/// Hands over all leases while this process is drained or shuts down, and allows new acquisitions after a drain.
/// Returns once shutdown has begun.
pub async fn follow_lifecycle(cluster: Cluster, lifecycle: LifecycleHandle) {
    let mut was_draining = false;
    loop {
        let is_shutting_down = lifecycle.is_shutting_down();
        let is_draining = is_shutting_down || matches!(lifecycle.phase(), Phase::Drained);
        if is_draining != was_draining {
            was_draining = is_draining;
            cluster.set_draining(is_draining).await;
        }
        if is_shutting_down {
            return;
        }
        tokio::time::sleep(LIFECYCLE_POLL_INTERVAL).await;
    }
}
