//! Handover of state between two consecutive processes of one manager that share the listening socket for clients.
//! The old process writes a snapshot of its learned state once a second while it serves, and the new one restores it
//! at its start. While the old process shuts down, it publishes the number of its open connections, which count
//! against the new process's limit.
//!
//! The handover is off if the socket is exclusive to one process, or if `$TMPDIR` is not set.

use crate::clock::{Clock, Micros};
use crate::core::{HandoverState, Input};
use crate::lifecycle::LifecycleHandle;
use crate::service::{ServiceEnded, ServiceHandle};
use sanddyke_snapshot::{SnapshotError, SnapshotFile};
use std::path::PathBuf;
use std::time::Duration;
use thiserror::Error;

/// Interval between two snapshots.
const SNAPSHOT_INTERVAL: Duration = Duration::from_secs(1);
/// An older snapshot is rejected, because its rates (measured over 2 s) and windows (10 s) describe outdated traffic.
/// A new version starts within 6 s.
const MAX_SNAPSHOT_AGE: Duration = Duration::from_secs(30);
/// A new process reports ready after this time even if engines do not answer. The platform allows 6 s for a start.
const MAX_ENGINE_WAIT: Micros = Micros(2_000_000);
/// Interval at which the new process checks whether engines have answered.
const ENGINE_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Interval at which a process that shuts down publishes its connection count, and at which the next process reads it.
const CONNECTION_COUNT_INTERVAL: Duration = Duration::from_millis(100);
/// An older connection count is from a process that has ended.
const MAX_CONNECTION_COUNT_AGE: Duration = Duration::from_secs(1);

/// An error of writing or restoring a snapshot.
#[derive(Debug, Error)]
enum HandoverError {
    #[error(transparent)]
    Snapshot(#[from] SnapshotError),
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    #[error(transparent)]
    WriterTask(#[from] tokio::task::JoinError),
}

/// Returns the file for the learned state of the manager with this name, or `None` if `$TMPDIR` is not set.
pub fn snapshot_file(name: &str) -> Option<SnapshotFile> {
    let folder = PathBuf::from(std::env::var_os("TMPDIR")?);
    Some(SnapshotFile::new(&folder, name))
}

/// Returns the file in which a process of the manager with this name publishes its open connections while it shuts
/// down, or `None` if `$TMPDIR` is not set.
pub fn connections_file(name: &str) -> Option<SnapshotFile> {
    snapshot_file(&format!("{name}-leaving"))
}

/// Publishes the number of this process's open client connections until the process ends or a write fails.
pub async fn publish_connections(file: SnapshotFile, clock: Clock, lifecycle: LifecycleHandle) {
    loop {
        let count = (lifecycle.open_connections() as u64).to_le_bytes();
        if let Err(error) = file.write(&count, clock.unix_ms()) {
            log::warn!("handover: publishing the open connections failed: {error}");
            return;
        }
        tokio::time::sleep(CONNECTION_COUNT_INTERVAL).await;
    }
}

/// Notifies the service of the number of client connections that another process of this manager still has, as both
/// count against one limit. Ends when this process shuts down.
pub async fn watch_peer_connections(
    file: SnapshotFile,
    service: ServiceHandle,
    clock: Clock,
    lifecycle: LifecycleHandle,
) {
    let mut last_notified = 0;
    while !lifecycle.is_shutting_down() {
        let connections = read_connections(&file, &clock);
        if connections != last_notified {
            last_notified = connections;
            if service.notify(Input::PeerProcessConnections(connections)).await.is_err() {
                return;
            }
        }
        tokio::time::sleep(CONNECTION_COUNT_INTERVAL).await;
    }
}

/// Returns the published connection count. It is 0 if the file is missing, outdated or unreadable, because then there
/// is no other process.
fn read_connections(file: &SnapshotFile, clock: &Clock) -> usize {
    let snapshot = file.read(clock.unix_ms(), MAX_CONNECTION_COUNT_AGE).ok().flatten();
    let bytes = snapshot.and_then(|snapshot| <[u8; 8]>::try_from(snapshot.payload).ok());
    let connections = bytes.map_or(0, u64::from_le_bytes);
    usize::try_from(connections).unwrap_or(usize::MAX)
}

/// Restores the service's learned state from the snapshot, if there is one. A snapshot that is invalid or too old is
/// logged and ignored.
pub async fn restore_snapshot(
    file: &SnapshotFile,
    service: &ServiceHandle,
    clock: &Clock,
) -> Result<(), ServiceEnded> {
    if let Err(error) = file.remove_stale_temporary_files() {
        log::warn!("handover: removing stale temporary files failed: {error}");
    }
    let (state, age) = match read_snapshot(file, clock) {
        Ok(Some(found)) => found,
        Ok(None) => return Ok(()),
        Err(error) => {
            log::warn!("handover: snapshot ignored: {error}");
            return Ok(());
        }
    };
    log::info!(
        "handover: learned state restored: {} classes, {} engines, {} ms old",
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

/// Writes snapshots until this process shuts down. From then on only the next process writes the file.
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
        // Only the first failure and the first success after it are logged: a full disk would otherwise cause a log
        // line a second.
        match &result {
            Err(error) if last_write_succeeded => log::warn!("handover: writing a snapshot failed: {error}"),
            Ok(()) if !last_write_succeeded => {
                log::info!("handover: snapshots are written again after a failure")
            }
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

/// Waits until enough engines have answered a health check, at most for 2 s.
pub async fn wait_for_engines(service: &ServiceHandle, clock: &Clock) -> Result<(), ServiceEnded> {
    let deadline = clock.now() + MAX_ENGINE_WAIT;
    while !service.engines_checked().await? {
        if clock.now() >= deadline {
            log::warn!(
                "too few engines have answered a health check after {} ms; starting without them",
                MAX_ENGINE_WAIT.as_ms()
            );
            break;
        }
        tokio::time::sleep(ENGINE_POLL_INTERVAL).await;
    }
    Ok(())
}
