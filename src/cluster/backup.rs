//! Scheduled backups of the store. The holder of the lease [`LEASE_NAME`] writes one backup in each period.
//!
//! Periods are counted from the Unix epoch, so all managers agree on them. A backup is named after its period. It
//! appears under this name only once it is complete, and never replaces an existing file (`Store::backup`). The
//! checkpoint of the lease is the last completed period. A period therefore never gets a second backup: if a holder
//! crashes before its checkpoint is saved, the next holder finds the file, and if a holder is suspended during a
//! backup, it finds the name in use when it resumes.

use super::{Cluster, LeaseEvent};
use crate::clock::Clock;
use crate::tenants::TenantService;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;

/// Name of the lease whose holder writes the backups.
pub const LEASE_NAME: &str = "backup";
/// Interval at which each manager checks whether a backup is due.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Delay after a failed backup before the next attempt to write it.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Writes the due backups whenever this manager holds the lease. Returns when the sender of lease events is dropped.
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
                // A poll awaits its backup, so none is in progress here and the lease can be released.
                Some(LeaseEvent::FinishWork) => cluster.work_finished(LEASE_NAME).await,
                Some(LeaseEvent::Acquired | LeaseEvent::CheckpointSaved | LeaseEvent::Ended) => {}
                None => return,
            },
            _ = polls.tick() => back_up_if_due(&cluster, &tenant_service, &clock, period_ms).await,
        }
    }
}

/// Writes the backup of the current period, if this manager holds the lease and the checkpoint shows no such backup.
async fn back_up_if_due(cluster: &Cluster, tenant_service: &TenantService, clock: &Clock, period_ms: u64) {
    let period = clock.unix_ms() / period_ms;
    let checkpoint = cluster.checkpoint(LEASE_NAME);
    let last_period: Option<u64> = checkpoint.text.parse().ok();
    if last_period.is_some_and(|last_period| last_period >= period) {
        return;
    }
    let Some(fencing_token) = cluster.fencing_token_for_operation(LEASE_NAME) else { return };
    match tenant_service.write_periodic_backup(&format!("period-{period}.redb"), fencing_token).await {
        Ok(is_written) => {
            let message = if is_written { "backup written" } else { "backup already present" };
            let at_us = clock.unix_us();
            log::info!(lease = LEASE_NAME, period, fencing_token, at_us; "{message}");
            cluster.save_checkpoint(LEASE_NAME, checkpoint.index, period.to_string()).await;
            // The saved checkpoint becomes visible here after some round trips between the voters. A poll before that
            // finds the existing file.
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Err(error) => {
            log::error!(lease = LEASE_NAME, period, fencing_token; "backup failed: {error}");
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
}
