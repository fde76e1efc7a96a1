//! The lease of scheduled backups: one backup of the store in each period, whichever manager holds the lease.
//!
//! Periods are counted from the Unix epoch, so that they are the same for every manager. A backup is named after its
//! period, and appears under that name only once it is complete and if there is none (`Store::backup`); the lease's
//! checkpoint is the last completed period. So if a holder crashes before its checkpoint is saved, the next one finds
//! the file; if a holder is suspended in the middle, it finds the name taken when it resumes. Neither makes a second one.

use super::{Cluster, LeaseEvent};
use crate::clock::Clock;
use crate::tenants::TenantService;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;

/// Name of the lease.
pub const LEASE_NAME: &str = "backup";
/// How often a holder checks whether a period has begun.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// How long a holder waits after a failed backup.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Does the work of the lease as long as the program runs.
pub async fn run(
    cluster: Cluster,
    mut events: mpsc::Receiver<LeaseEvent>,
    tenant_service: Arc<TenantService>,
    clock: Clock,
    period_ms: u64,
) {
    let mut polls = tokio::time::interval(POLL_INTERVAL);
    polls.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            event = events.recv() => match event {
                // No backup is in progress between two polls.
                Some(LeaseEvent::FinishWork) => cluster.work_finished(LEASE_NAME).await,
                Some(LeaseEvent::Acquired | LeaseEvent::CheckpointSaved | LeaseEvent::Ended) => {}
                None => return,
            },
            _ = polls.tick() => back_up_if_due(&cluster, &tenant_service, &clock, period_ms).await,
        }
    }
}

/// Makes the backup of the current period, if this manager holds the lease and there is none.
async fn back_up_if_due(cluster: &Cluster, tenant_service: &TenantService, clock: &Clock, period_ms: u64) {
    let period = clock.unix_ms() / period_ms;
    let checkpoint = cluster.checkpoint(LEASE_NAME);
    let last_period: Option<u64> = checkpoint.text.parse().ok();
    if last_period.is_some_and(|last_period| last_period >= period) {
        return;
    }
    let Some(fencing_token) = cluster.may_act(LEASE_NAME) else { return };
    match tenant_service.write_periodic_backup(&format!("period-{period}.redb"), fencing_token).await {
        Ok(is_written) => {
            let message = if is_written { "backup written" } else { "backup already present" };
            let at_us = clock.unix_us();
            log::info!(lease = LEASE_NAME, period, fencing_token, at_us; "{message}");
            cluster.save_checkpoint(LEASE_NAME, checkpoint.index, period.to_string()).await;
            // The checkpoint is seen after some round trips of the voters; until then the next poll finds the file.
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Err(error) => {
            log::error!(lease = LEASE_NAME, period, fencing_token; "backup failed: {error}");
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
}
