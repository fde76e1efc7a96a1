//! Handover of state between two processes of one manager, which share the clients' socket: the old one writes a
//! snapshot of its learned state once a second while it serves, and the new one restores it at its start. While the
//! old one shuts down it publishes its open connections, which count against the new one's limit.
//!
//! It is off where the socket belongs to one process alone, and where `$TMPDIR` is not set.

use crate::clock::{Clock, Micros};
use crate::core::{HandoverState, Input};
use crate::lifecycle::LifecycleHandle;
use crate::service::{ServiceEnded, ServiceHandle};
use sanddyke_snapshot::{SnapshotError, SnapshotFile};
use std::path::PathBuf;
use std::time::Duration;
use thiserror::Error;

/// Time between two snapshots.
const SNAPSHOT_INTERVAL: Duration = Duration::from_secs(1);
/// An older snapshot describes other traffic: rates are over 2 s and windows over 10 s. A new version is up within
/// 6 s.
const MAX_SNAPSHOT_AGE: Duration = Duration::from_secs(30);
/// A new process reports ready after this time at the latest, also where engines do not answer: the platform gives
/// it 6 s.
const MAX_ENGINE_WAIT: Micros = Micros(2_000_000);
/// Time between two looks whether engines have answered.
const ENGINE_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Time between two counts that a process publishes while it shuts down; the next process reads as often.
const CONNECTIONS_INTERVAL: Duration = Duration::from_millis(100);
/// An older count is of a process that has ended.
const MAX_CONNECTIONS_AGE: Duration = Duration::from_secs(1);

/// Why a snapshot was not written or not restored.
#[derive(Debug, Error)]
enum HandoverError {
    #[error(transparent)]
    Snapshot(#[from] SnapshotError),
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    #[error(transparent)]
    WriterTask(#[from] tokio::task::JoinError),
}

/// Where the learned state of a manager of this name is stored; `None` where `$TMPDIR` is not set.
pub fn snapshot_file(name: &str) -> Option<SnapshotFile> {
    let folder = PathBuf::from(std::env::var_os("TMPDIR")?);
    Some(SnapshotFile::new(&folder, name))
}

/// Where a process of this name that shuts down publishes its open connections.
pub fn connections_file(name: &str) -> Option<SnapshotFile> {
    snapshot_file(&format!("{name}-leaving"))
}

/// Publishes the number of clients' connections that this process still has, until it ends.
pub async fn publish_connections(file: SnapshotFile, clock: Clock, lifecycle: LifecycleHandle) {
    loop {
        let count = (lifecycle.open_connections() as u64).to_le_bytes();
        if let Err(error) = file.write(&count, clock.unix_ms()) {
            log::warn!("handover: publishing the open connections failed: {error}");
            return;
        }
        tokio::time::sleep(CONNECTIONS_INTERVAL).await;
    }
}

/// Notifies the service of the clients' connections that another process of this manager still has: both count
/// against one limit. It ends when this process shuts down itself.
pub async fn watch_peer_connections(
    file: SnapshotFile,
    service: ServiceHandle,
    clock: Clock,
    lifecycle: LifecycleHandle,
) {
    let mut notified = 0;
    while !lifecycle.is_shutting_down() {
        let connections = read_connections(&file, &clock);
        if connections != notified {
            notified = connections;
            if service.notify(Input::PeerProcessConnections(connections)).await.is_err() {
                return;
            }
        }
        tokio::time::sleep(CONNECTIONS_INTERVAL).await;
    }
}

/// The published connections; 0 where the file is missing, outdated or unreadable, as no process is there then.
fn read_connections(file: &SnapshotFile, clock: &Clock) -> usize {
    let snapshot = file.read(clock.unix_ms(), MAX_CONNECTIONS_AGE).ok().flatten();
    let bytes = snapshot.and_then(|snapshot| <[u8; 8]>::try_from(snapshot.payload).ok());
    let connections = bytes.map_or(0, u64::from_le_bytes);
    usize::try_from(connections).unwrap_or(usize::MAX)
}

/// Restores the service's learned state from the snapshot, if there is one. One that can't be used costs a line in
/// the log.
pub async fn restore_snapshot(
    file: &SnapshotFile,
    service: &ServiceHandle,
    clock: &Clock,
) -> Result<(), ServiceEnded> {
    if let Err(error) = file.remove_stale_parts() {
        log::warn!("handover: removing stale temporary files failed: {error}");
    }
    let (state, age) = match read_snapshot(file, clock) {
        Ok(Some(found)) => found,
        Ok(None) => return Ok(()),
        Err(error) => {
            log::warn!("handover: a snapshot is left out: {error}");
            return Ok(());
        }
    };
    log::info!(
        "handover: goes on from {} classes and {} engines, {} ms old",
        state.classes.len(),
        state.engines.len(),
        age.as_millis()
    );
    let age = Micros(i64::try_from(age.as_micros()).unwrap_or(i64::MAX));
    service.notify(Input::RestoreState { state: Box::new(state), age }).await
}

fn read_snapshot(
    file: &SnapshotFile,
    clock: &Clock,
) -> Result<Option<(HandoverState, Duration)>, HandoverError> {
    let Some(snapshot) = file.read(clock.unix_ms(), MAX_SNAPSHOT_AGE)? else { return Ok(None) };
    let state = serde_json::from_slice(&snapshot.payload)?;
    Ok(Some((state, snapshot.age)))
}

/// Writes snapshots until this process shuts down: from then on, the file is the next process's to write.
pub async fn write_snapshots(
    file: SnapshotFile,
    service: ServiceHandle,
    clock: Clock,
    lifecycle: LifecycleHandle,
) {
    let mut last_write_succeeded = true;
    loop {
        tokio::time::sleep(SNAPSHOT_INTERVAL).await;
        let Ok(state) = service.handover_state().await else { return };
        if lifecycle.is_shutting_down() {
            return;
        }
        let result = write_snapshot(file.clone(), state, clock).await;
        // Only a change is logged: a full disk would fill the log once a second.
        match &result {
            Err(error) if last_write_succeeded => log::warn!("handover: writing a snapshot failed: {error}"),
            Ok(()) if !last_write_succeeded => log::info!("handover: snapshots are written again"),
            _ => {}
        }
        last_write_succeeded = result.is_ok();
    }
}

/// Writes one snapshot on a thread for blocking calls.
async fn write_snapshot(file: SnapshotFile, state: HandoverState, clock: Clock) -> Result<(), HandoverError> {
    let write = move || {
        let payload = serde_json::to_vec(&state)?;
        file.write(&payload, clock.unix_ms())?;
        Ok(())
    };
    tokio::task::spawn_blocking(write).await?
}

/// Waits until enough engines have answered a health check, or 2 s have passed.
pub async fn wait_for_engines(service: &ServiceHandle, clock: &Clock) -> Result<(), ServiceEnded> {
    let give_up_at = clock.now() + MAX_ENGINE_WAIT;
    while !service.engines_checked().await? {
        if clock.now() >= give_up_at {
            log::warn!("too few engines have answered a health check: ready without them");
            break;
        }
        tokio::time::sleep(ENGINE_POLL_INTERVAL).await;
    }
    Ok(())
}
