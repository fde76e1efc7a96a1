//! The program's lifecycle ([`sanddyke_lifecycle`]) as all its tasks see it: doors and health checks read it, signals and
//! the second address move it, and connections wait here to be told that they shall end.

use sanddyke_lifecycle::{Event, Lifecycle, ListenSocket, Phase, TransitionError};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// An open connection that says nothing is closed so long after clients were first sent away. Until then a
/// request on it is answered, and the connection ends with its answer: fewer requests cross a close. Clients
/// learn within 0.3 s that they should go elsewhere (they are asked ten times a second, and stop 0.2 s after).
const PART_AFTER: Duration = Duration::from_millis(500);
/// Where the socket ends with the process, clients still come for so long after SIGTERM: new connections for
/// 0.4 s and requests on open ones for a further 0.2 s, as the platform has it, and some more.
const STILL_COMING: Duration = Duration::from_millis(800);

/// Connections that a socket's queue holds (the `listen` of tokio's own sockets).
const QUEUED: usize = 1024;

/// The lifecycle, and since when it stands where it does.
#[derive(Debug, Clone, Copy)]
struct Moment {
    lifecycle: Lifecycle,
    since: Instant,
}

/// What a program knows of its own lifecycle. Clones are of one lifecycle.
#[derive(Debug, Clone)]
pub struct LifecycleHandle {
    now: Arc<watch::Sender<Moment>>,
    unanswered: Arc<AtomicUsize>,
    connections: Arc<AtomicUsize>,
}

/// Something of which the program waits for the last before it ends: a request that was read and not yet
/// answered whole, or a connection that may still bring one.
#[derive(Debug)]
pub struct Counted(Arc<AtomicUsize>);

impl Counted {
    fn new(all: &Arc<AtomicUsize>) -> Counted {
        all.fetch_add(1, Ordering::Relaxed);
        Counted(all.clone())
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl LifecycleHandle {
    /// The lifecycle of a program that has just started.
    pub fn new(socket: ListenSocket) -> LifecycleHandle {
        let now = Moment { lifecycle: Lifecycle::new(socket), since: Instant::now() };
        let counts = (Arc::default(), Arc::default());
        LifecycleHandle {
            now: Arc::new(watch::Sender::new(now)),
            unanswered: counts.0,
            connections: counts.1,
        }
    }

    /// Tells what has happened; gives the phase that the program is in then, or why it can't be.
    pub fn apply(&self, event: Event) -> Result<Phase, TransitionError> {
        let mut result = Ok(None);
        self.now.send_if_modified(|moment| {
            result = moment.lifecycle.apply(event);
            let changed = matches!(result, Ok(Some(_)));
            if changed {
                moment.since = Instant::now();
            }
            changed
        });
        match result? {
            Some(phase) => log::info!("lifecycle: {phase}, by {event:?}"),
            None => log::debug!("lifecycle: {event:?} changes nothing"),
        }
        Ok(self.phase())
    }

    fn lifecycle(&self) -> Lifecycle {
        self.now.borrow().lifecycle
    }

    /// Where it stands.
    pub fn phase(&self) -> Phase {
        self.lifecycle().phase()
    }

    /// Whether a health check finds the service well.
    pub fn is_ready(&self) -> bool {
        self.lifecycle().is_ready()
    }

    /// Whether the program is about to end.
    pub fn is_shutting_down(&self) -> bool {
        self.lifecycle().is_shutting_down()
    }

    /// Whether new connections are accepted.
    pub fn accepts_connections(&self) -> bool {
        self.lifecycle().accepts_connections()
    }

    /// Whether a connection stays open for its client's next request.
    pub fn keeps_idle_connections(&self) -> bool {
        self.lifecycle().keeps_idle_connections()
    }

    /// Ends when an open connection that brings nothing shall be closed.
    pub async fn close_idle(&self) {
        self.after(|phase| match phase {
            Phase::Starting | Phase::Ready => None,
            Phase::Stopping => Some(STILL_COMING),
            Phase::Drained | Phase::HandedOver | Phase::Ended => Some(PART_AFTER),
        })
        .await;
    }

    /// Ends when no new connections are accepted any more: at once where others accept on the socket, and else once
    /// nobody comes. Gives how many may stand in the socket's queue that nobody else takes.
    pub async fn stop_accepting(&self) -> usize {
        self.after(|phase| match phase {
            Phase::Starting | Phase::Ready | Phase::Drained => None,
            Phase::Stopping => Some(STILL_COMING),
            Phase::HandedOver | Phase::Ended => Some(Duration::ZERO),
        })
        .await;
        if self.phase() == Phase::Stopping { QUEUED } else { 0 }
    }

    /// Ends once the lifecycle has stood for so long in a phase that such a time is given for.
    async fn after(&self, wait: impl Fn(Phase) -> Option<Duration>) {
        let mut told = self.now.subscribe();
        loop {
            let moment = *told.borrow_and_update();
            let waited = async {
                match wait(moment.lifecycle.phase()) {
                    Some(wait) => tokio::time::sleep_until(moment.since + wait).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = waited => return,
                // The sender is `self`'s: it outlives this.
                _ = told.changed() => {}
            }
        }
    }

    /// Counts a request until the value is dropped.
    pub fn request(&self) -> Counted {
        Counted::new(&self.unanswered)
    }

    /// Requests read and not yet answered whole.
    pub fn unanswered(&self) -> usize {
        self.unanswered.load(Ordering::Relaxed)
    }

    /// Counts a connection that may bring a request, until the value is dropped.
    pub fn connection(&self) -> Counted {
        Counted::new(&self.connections)
    }

    /// Connections that may bring a request.
    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }
}

#[cfg(test)]
mod tests;
