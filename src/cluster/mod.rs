//! The fleet, where managers communicate with each other (`[cluster]`): the driver of a [`sanddyke_cluster`] node. It has
//! its own thread, runtime, descriptors and disk, so that no request ever waits for a peer or for the voter's disk. It is
//! built with the feature `cluster` only: its dependencies are a fifth of the program's size, and the platform does not
//! use it.

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

/// Name of the lease of the rolling-restart controller.
pub const ROLLING_RESTART_LEASE: &str = "warden";
/// How often the program's lifecycle is checked.
const LIFECYCLE_POLL_INTERVAL: Duration = Duration::from_millis(25);

/// A change of a lease, for the task that does its work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseEvent {
    /// This manager holds the lease.
    Acquired,
    /// The checkpoint that was to be saved is saved.
    CheckpointSaved,
    /// Finish what was begun, begin nothing more, and report with [`Cluster::work_finished`].
    FinishWork,
    /// This manager no longer holds the lease.
    Ended,
}

/// A lease that this manager holds. Times are of the program's clock, in microseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct HeldLease {
    fencing_token: u64,
    expires_at_us: u64,
    /// It is being handed over: no further act may begin.
    is_finishing: bool,
}

/// The leases that this manager holds, by name.
type HeldLeases = BTreeMap<String, HeldLease>;

/// Hands leases over while the program is drained or shuts down, and acquires them again after a drain.
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
