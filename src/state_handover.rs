//! What one process of this program leaves for the next under the same name and socket: read at the start,
//! written once a second while it serves. Off where the socket is the process's own, or `$TMPDIR` is not set.

use crate::clock::{Clock, Micros};
use crate::core::{HandoverState, Input};
use crate::lifecycle::LifecycleHandle;
use crate::service::{ServiceEnded, ServiceHandle};
use sanddyke_snapshot::SnapshotFile;
use std::path::PathBuf;
use std::time::Duration;

/// Time between two snapshots.
const EVERY: Duration = Duration::from_secs(1);
/// What is older tells of other traffic: rates are over 2 s and windows over 10 s. A new version is up within 6 s.
const OLDEST: Duration = Duration::from_secs(30);
/// A new version says yes after so long at the latest, also where engines say nothing: it must within 6 s.
const HEARD_WITHIN: Micros = Micros(2_000_000);
/// Time between two looks whether engines were heard.
const LOOK_EVERY: Duration = Duration::from_millis(10);

/// A process that leaves says so often how many connections of clients it still has, and one that has taken over
/// looks as often.
const WORD_EVERY: Duration = Duration::from_millis(100);
/// Word that is older is of a process that is gone.
const WORD_LASTS: Duration = Duration::from_secs(1);

/// Where a process that leaves says how many connections it still has.
pub fn leaving(name: &str) -> Option<SnapshotFile> {
    place(&format!("{name}-leaving"))
}

/// Says how many connections of clients this process still has, until it ends.
pub async fn leave(place: SnapshotFile, clock: Clock, lifecycle: LifecycleHandle) {
    loop {
        let word = (lifecycle.connections() as u64).to_le_bytes();
        if let Err(error) = place.write(&word, clock.unix_ms()) {
            return log::warn!("handover: the next process is not told of open connections: {error}");
        }
        tokio::time::sleep(WORD_EVERY).await;
    }
}

/// Tells the service how many of the connections that clients may have another process of this manager holds,
/// for as long as this one does not leave itself: both count as one.
pub async fn beside(place: SnapshotFile, handle: ServiceHandle, clock: Clock, lifecycle: LifecycleHandle) {
    let mut told = 0;
    while !lifecycle.is_shutting_down() {
        // None, one that is old, and one that can't be read all say that nobody is there.
        let word = place.read(clock.unix_ms(), WORD_LASTS).ok().flatten();
        let word = word.and_then(|(bytes, _)| <[u8; 8]>::try_from(bytes).ok()).map_or(0, u64::from_le_bytes);
        let word = usize::try_from(word).unwrap_or(usize::MAX);
        if word != told {
            told = word;
            if handle.notify(Input::PeerProcessConnections(word)).await.is_err() {
                return;
            }
        }
        tokio::time::sleep(WORD_EVERY).await;
    }
}

/// Where snapshots of a manager of this name are kept, if they are.
pub fn place(name: &str) -> Option<SnapshotFile> {
    let folder = PathBuf::from(std::env::var_os("TMPDIR")?);
    Some(SnapshotFile::new(&folder, name))
}

/// Has the service go on from the snapshot that is there. One that can't be used costs one line in the log.
pub async fn take(place: &SnapshotFile, handle: &ServiceHandle, clock: &Clock) -> Result<(), ServiceEnded> {
    if let Err(error) = place.remove_stale_parts() {
        log::warn!("handover: what was left aside stays: {error}");
    }
    let found = match place.read(clock.unix_ms(), OLDEST) {
        Ok(None) => return Ok(()),
        Ok(Some((payload, age))) => serde_json::from_slice::<HandoverState>(&payload)
            .map(|handover| (handover, age))
            .map_err(|error| error.to_string()),
        Err(unfit) => Err(unfit.to_string()),
    };
    match found {
        Ok((handover, age)) => {
            let (classes, engines) = (handover.classes.len(), handover.engines.len());
            let ms = age.as_millis();
            log::info!("handover: goes on from {classes} classes and {engines} engines, {ms} ms old");
            let age = Micros(i64::try_from(age.as_micros()).unwrap_or(i64::MAX));
            handle.notify(Input::RestoreState(Box::new(handover), age)).await
        }
        Err(why) => {
            log::warn!("handover: a snapshot is left out: {why}");
            Ok(())
        }
    }
}

/// Leaves snapshots until the program is about to end: from then on, they are the next one's to write.
pub async fn keep(place: SnapshotFile, handle: ServiceHandle, clock: Clock, lifecycle: LifecycleHandle) {
    let mut well = true;
    loop {
        tokio::time::sleep(EVERY).await;
        let Ok(handover) = handle.handover_state().await else { return };
        if lifecycle.is_shutting_down() {
            return;
        }
        let place = place.clone();
        let written = tokio::task::spawn_blocking(move || {
            let payload = serde_json::to_vec(&handover).map_err(|error| error.to_string())?;
            place.write(&payload, clock.unix_ms()).map_err(|error| error.to_string())
        });
        let written = written.await.unwrap_or_else(|error| Err(error.to_string()));
        match &written {
            Err(why) if well => log::warn!("handover: no snapshot is left: {why}"),
            Ok(()) if !well => log::info!("handover: snapshots are left again"),
            _ => {}
        }
        well = written.is_ok();
    }
}

/// Waits until enough engines were heard, or it has taken too long.
pub async fn heard(handle: &ServiceHandle, clock: &Clock) -> Result<(), ServiceEnded> {
    let until = clock.now() + HEARD_WITHIN;
    while !handle.engines_checked().await? {
        if clock.now() >= until {
            log::warn!("most engines have said nothing yet: ready without their word");
            break;
        }
        tokio::time::sleep(LOOK_EVERY).await;
    }
    Ok(())
}
